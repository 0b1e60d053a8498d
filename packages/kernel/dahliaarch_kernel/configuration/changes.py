"""The difference between two versions of the configuration.

A version of a thousand queues differs from the one before it by little; what
travels between instances, and what a version holds in memory beside another,
is that difference.
"""

from collections.abc import Iterable, Mapping
from typing import NamedTuple, Protocol, TypeVar

from ..errors import DahliaarchError
from .core import Account, build_configuration, Configuration, ConfigurationParts, HttpLimits, Queue, ServiceSettings


class _NamedEntry(Protocol):
    @property
    def name(self) -> str:
        """Name by which an entry is found."""


Entry = TypeVar('Entry', bound=_NamedEntry)

# Version that a whole configuration builds on.
NO_VERSION = -1


class ChangeMismatchError(DahliaarchError):
    """A change builds on another version than the present one."""


class ConfigurationChange(NamedTuple):
    """What turns one version into another.

    Parameters
    ----------
    base : int
        Version that it builds on; `NO_VERSION` for a whole configuration.
    version : int
        Version that it leads to.
    queues, services, accounts : tuple
        Entries that are new or differ.
    gone_queues, gone_services, gone_accounts : tuple of str
        Names of entries that are left out.
    limits : HttpLimits
        Bounds on requests, whole.
    """

    base: int
    version: int
    queues: tuple[Queue, ...] = ()
    services: tuple[ServiceSettings, ...] = ()
    accounts: tuple[Account, ...] = ()
    gone_queues: tuple[str, ...] = ()
    gone_services: tuple[str, ...] = ()
    gone_accounts: tuple[str, ...] = ()
    limits: HttpLimits = HttpLimits()


EMPTY_CONFIGURATION = build_configuration(ConfigurationParts(NO_VERSION))


def diff_configurations(before: Configuration, after: Configuration) -> ConfigurationChange:
    """Return the change that leads from one configuration to another."""
    return ConfigurationChange(
        base=before.version,
        version=after.version,
        queues=_changed_entries(before.queue_by_name, after.queue_by_name),
        services=_changed_entries(before.service_by_name, after.service_by_name),
        accounts=_changed_entries(before.account_by_name, after.account_by_name),
        gone_queues=_removed_names(before.queue_by_name, after.queue_by_name),
        gone_services=_removed_names(before.service_by_name, after.service_by_name),
        gone_accounts=_removed_names(before.account_by_name, after.account_by_name),
        limits=after.limits,
    )


def apply_change(before: Configuration, change: ConfigurationChange) -> Configuration:
    """Return the configuration that a change leads to; equal entries are shared.

    Raises
    ------
    ChangeMismatchError
        When the change builds on another version.
    """
    if before.version != change.base:
        raise ChangeMismatchError(f'version {before.version}, but the change builds on {change.base}')
    return build_configuration(
        ConfigurationParts(
            version=change.version,
            queues=_merge_entries(before.queue_by_name, change.queues, change.gone_queues),
            services=_merge_entries(before.service_by_name, change.services, change.gone_services),
            accounts=_merge_entries(before.account_by_name, change.accounts, change.gone_accounts),
            limits=change.limits,
        )
    )


def _changed_entries(before: Mapping[str, Entry], after: Mapping[str, Entry]) -> tuple[Entry, ...]:
    return tuple(entry for name, entry in after.items() if before.get(name) != entry)


def _removed_names(before: Mapping[str, Entry], after: Mapping[str, Entry]) -> tuple[str, ...]:
    return tuple(name for name in before if name not in after)


def _merge_entries(
    before: Mapping[str, Entry], changed: Iterable[Entry], removed_names: Iterable[str]
) -> Iterable[Entry]:
    merged = dict(before)
    for name in removed_names:
        merged.pop(name, None)
    merged.update((entry.name, entry) for entry in changed)
    return merged.values()
