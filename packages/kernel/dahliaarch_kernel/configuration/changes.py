"""Incremental changes between versions of the configuration.

Consecutive versions of a configuration with a thousand queues differ in few
entries. Instances therefore send each other only the changed entries, and
versions held in memory share the unchanged ones.
"""

from collections.abc import Iterable, Mapping
from typing import NamedTuple, Protocol, TypeVar

from ..errors import DahliaarchError
from .core import Account, build_configuration, Configuration, ConfigurationParts, HttpLimits, Queue, ServiceSettings


class _NamedEntry(Protocol):
    @property
    def name(self) -> str:
        """Unique name of the entry among entries of its type."""


Entry = TypeVar('Entry', bound=_NamedEntry)

# Base version of a change that carries a complete configuration.
NO_VERSION = -1


class ChangeMismatchError(DahliaarchError):
    """The base version of a change is not the current version."""


class ConfigurationChange(NamedTuple):
    """Entries to update and remove to get from one version to another.

    Parameters
    ----------
    base : int
        Version that the change applies to; `NO_VERSION` for a complete configuration.
    version : int
        Version that results from the change.
    queues, services, accounts : tuple
        Added and modified entries.
    gone_queues, gone_services, gone_accounts : tuple of str
        Names of removed entries.
    limits : HttpLimits
        Limits on requests; always complete, also when unchanged.
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
    """Return the change that turns ``before`` into ``after``."""
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
    """Return the configuration after a change; unchanged entries are shared with ``before``.

    Raises
    ------
    ChangeMismatchError
        If the base of the change is not the version of ``before``.
    """
    if before.version != change.base:
        raise ChangeMismatchError(
            f'current version is {before.version}, but the change applies to version {change.base}'
        )
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
