"""Settings chosen by the project's operators, read from a TOML file and validated as a whole.

The platform's settings (addresses, bounds, rates) are in a separate file. This one holds the
policy and the limits.
"""

import os
import tomllib
from collections.abc import Mapping
from pathlib import Path
from typing import Any, NamedTuple

from dahliaarch_kernel.errors import SettingsError
from dahliaarch_kernel.policies import compile_policy, PolicySettings, SHIPPED_POLICIES
from dahliaarch_kernel.scheduler import Mechanism, SchedulerSettings

from .ownership import OwnershipSettings

PATH_VARIABLE = 'DAHLIAARCH_SETTINGS'

# Scheduler settings that are taken from the platform's file and can't be set here.
_PLATFORM_FIELDS = frozenset(('far_factor', 'stop_timeout_s', 'early_s'))
_WITHOUT = 'without'
_MAX_FILE_BYTES = 65_536
# Runs on a worker must outlast a few surveys that fail, in seconds.
_MIN_WORKER_LEASE_S = 3.0


class MetricsSettings(NamedTuple):
    """Settings of the metrics endpoint.

    Parameters
    ----------
    port : int
        Additional port for metrics, the same on every instance so that a collector needs no
        per-instance address. With 0, metrics are served at the readiness address only.
    """

    port: int = 0


class WorkerSettings(NamedTuple):
    """Settings of the leases on workers.

    Parameters
    ----------
    lease_s : float
        Duration of the lease that a survey grants to the runs on a worker, in seconds; less
        where workers allow less. Runs survive a takeover or an outage that is shorter, and
        the tasks of a worker that falls silent start elsewhere only after it.
    """

    lease_s: float = 6.0


class OwnSettings(NamedTuple):
    """Settings chosen by the project's operators.

    Parameters
    ----------
    policy : PolicySettings
        Scheduling policy: a built-in one or the operators' programs.
    scheduler : SchedulerSettings
        Limits and weights of the scheduler.
    ownership : OwnershipSettings
        Durations for the owner's lease.
    metrics : MetricsSettings
        Settings of the metrics endpoint.
    workers : WorkerSettings
        Settings of the leases on workers.
    """

    policy: PolicySettings = SHIPPED_POLICIES['first-come']
    scheduler: SchedulerSettings = SchedulerSettings()
    ownership: OwnershipSettings = OwnershipSettings()
    metrics: MetricsSettings = MetricsSettings()
    workers: WorkerSettings = WorkerSettings()


def read_own_settings() -> OwnSettings:
    """Read the file named by the environment variable `PATH_VARIABLE`, or return the defaults if it is unset.

    Raises
    ------
    SettingsError
        If a key is unknown or its value is invalid; the error names the key.
    PolicyError
        If a program of the policy does not compile.
    OSError
        If the file can't be read.
    """
    path = os.environ.get(PATH_VARIABLE, '')
    if not path:
        return OwnSettings()
    return parse_own_settings(Path(path).read_text(encoding='utf-8'))


def parse_own_settings(text: str) -> OwnSettings:
    """Parse and validate settings in TOML.

    Raises
    ------
    SettingsError
        If a key is unknown or its value is invalid; the error names the key.
    PolicyError
        If a program of the policy does not compile.
    """
    if len(text) > _MAX_FILE_BYTES:
        raise SettingsError('file', f'larger than {_MAX_FILE_BYTES} bytes')
    try:
        document = tomllib.loads(text)
    except tomllib.TOMLDecodeError as error:
        raise SettingsError('file', str(error)) from error
    _check_known_keys('', document, OwnSettings._fields)
    scheduler = _parse_scheduler(document)
    ownership = _parse_numbers('ownership', document, OwnershipSettings(), frozenset())
    metrics = _parse_numbers('metrics', document, MetricsSettings(), frozenset())
    return OwnSettings(
        _parse_policy(_get_table('policy', document)),
        scheduler,
        OwnershipSettings()._replace(**ownership),
        MetricsSettings()._replace(**metrics),
        _parse_workers(document),
    )


def _parse_policy(table: Mapping[str, Any]) -> PolicySettings:
    if not table:
        return SHIPPED_POLICIES['first-come']
    _check_known_keys('policy', table, PolicySettings._fields)
    for key, setting in table.items():
        if not isinstance(setting, str):
            raise SettingsError(f'policy.{key}', f'{setting!r} is not a string')
    name = table.get('name', 'own')
    policy = PolicySettings(**{**SHIPPED_POLICIES.get(name, PolicySettings(name))._asdict(), **table})
    compile_policy(policy)
    return policy


def _parse_scheduler(document: Mapping[str, Any]) -> SchedulerSettings:
    table = dict(_get_table('scheduler', document))
    without = _parse_mechanisms(table.pop(_WITHOUT, []))
    numbers = _parse_numbers('scheduler', {'scheduler': table}, SchedulerSettings(), _PLATFORM_FIELDS | {_WITHOUT})
    return SchedulerSettings()._replace(without=without, **numbers)


def _parse_workers(document: Mapping[str, Any]) -> WorkerSettings:
    workers = WorkerSettings()._replace(**_parse_numbers('workers', document, WorkerSettings(), frozenset()))
    if workers.lease_s < _MIN_WORKER_LEASE_S:
        raise SettingsError('workers.lease_s', f'{workers.lease_s!r} is less than {_MIN_WORKER_LEASE_S}')
    return workers


def _parse_mechanisms(names: object) -> frozenset[Mechanism]:
    known = ', '.join(Mechanism)
    if not isinstance(names, list):
        raise SettingsError(f'scheduler.{_WITHOUT}', f'{names!r} is not a list of: {known}')
    try:
        return frozenset(Mechanism(name) for name in names)
    except ValueError as error:
        raise SettingsError(f'scheduler.{_WITHOUT}', f'{error}; known values: {known}') from error


def _parse_numbers(name: str, document: Mapping[str, Any], defaults: Any, excluded: frozenset[str]) -> dict[str, Any]:
    table = _get_table(name, document)
    _check_known_keys(name, table, tuple(field for field in defaults._fields if field not in excluded))
    for key, setting in table.items():
        if isinstance(setting, bool) or not isinstance(setting, int | float) or setting < 0:
            raise SettingsError(f'{name}.{key}', f'{setting!r} is not a non-negative number')
    return {key: type(getattr(defaults, key))(setting) for key, setting in table.items()}


def _get_table(name: str, document: Mapping[str, Any]) -> Mapping[str, Any]:
    table = document.get(name, {})
    if not isinstance(table, dict):
        raise SettingsError(name, 'is not a table')
    return table


def _check_known_keys(where: str, table: Mapping[str, Any], known: tuple[str, ...]) -> None:
    for key in table:
        if key not in known:
            raise SettingsError(f'{where}.{key}'.lstrip('.'), f'unknown key; known keys: {", ".join(known)}')
