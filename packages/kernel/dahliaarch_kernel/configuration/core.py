"""Data model of one complete version of the configuration."""

from collections.abc import Iterable
from typing import NamedTuple


class AdviceTerms(NamedTuple):
    """Timing of calls to the external placement policy, in seconds.

    Parameters
    ----------
    decision_s : float
        Fixed duration of each call.
    per_worker_s : float
        Additional duration for each worker in the call.
    valid_s : float
        Validity period of the tickets in a reply.
    """

    decision_s: float
    per_worker_s: float
    valid_s: float


class Queue(NamedTuple):
    """A route from client requests to the service whose workers run the jobs.

    Parameters
    ----------
    name : str
        Name of the queue.
    host : str
        Host name of the requests.
    path_prefix : str
        Prefix of the request path; the queue with the longest matching prefix is used.
    service : str
        Service whose workers run the tasks.
    priority : int
        Priority class; 0 is the most urgent and may preempt the others.
    max_attempts : int
        Number of failed runs of one task after which the job fails.
    stretch : float
        Factor on the duration of the job's critical path in its latency objective.
    target_latency_s : float
        Seconds that the latency objective allows in addition to ``stretch``
        times the critical path.
    timeout_s : float
        Maximum duration of one request.
    public : bool
        Whether requests need no key.
    advice : AdviceTerms or None
        Set if an external policy decides which workers may run a step.
    """

    name: str
    host: str
    path_prefix: str
    service: str
    priority: int = 0
    max_attempts: int = 1
    stretch: float = 1.0
    target_latency_s: float = 0.0
    timeout_s: float = 3.0
    public: bool = False
    advice: AdviceTerms | None = None


class ServiceSettings(NamedTuple):
    """Settings of one service.

    Parameters
    ----------
    name : str
        Name of the service.
    workers_check_capacity : bool
        Whether workers refuse a task that exceeds their free capacity.
    powered_off : bool
        Whether its machines are a powered-off reserve.
    """

    name: str
    workers_check_capacity: bool = True
    powered_off: bool = False


class Account(NamedTuple):
    """A client account.

    Parameters
    ----------
    name : str
        Name of the account.
    keys : tuple of str
        Valid API keys.
    guaranteed_accelerators : int
        Accelerators guaranteed to its jobs of priority 0 at any time.
    """

    name: str
    keys: tuple[str, ...] = ()
    guaranteed_accelerators: int = 0


class HttpLimits(NamedTuple):
    """Limits on client requests.

    Parameters
    ----------
    header_bytes : int
        Maximum size of the header section.
    body_bytes : int
        Maximum size of the body.
    header_timeout_s : float
        Maximum time to receive a header section, from its first byte.
    idle_timeout_s : float
        Time after which an idle connection is closed.
    """

    header_bytes: int = 16_384
    body_bytes: int = 262_144
    header_timeout_s: float = 3.0
    idle_timeout_s: float = 15.0


class Configuration(NamedTuple):
    """One version of the operators' configuration, with lookup indices.

    Parameters
    ----------
    version : int
        Version number; increases with every accepted change.
    queue_by_name : dict
        Queues.
    queues_by_host : dict
        Queues of each host, in descending order of path prefix length, so that
        a request is matched only against the queues of its own host.
    service_by_name : dict
        Services.
    account_by_name : dict
        Client accounts.
    account_by_key : dict
        Name of the account that each key belongs to.
    limits : HttpLimits
        Limits on requests.
    """

    version: int
    queue_by_name: dict[str, Queue]
    queues_by_host: dict[str, tuple[Queue, ...]]
    service_by_name: dict[str, ServiceSettings]
    account_by_name: dict[str, Account]
    account_by_key: dict[str, str]
    limits: HttpLimits = HttpLimits()


class ConfigurationParts(NamedTuple):
    """Entries of a `Configuration` before its indices are built; the fields have the same meaning."""

    version: int
    queues: Iterable[Queue] = ()
    services: Iterable[ServiceSettings] = ()
    accounts: Iterable[Account] = ()
    limits: HttpLimits = HttpLimits()


def build_configuration(parts: ConfigurationParts) -> Configuration:
    """Build a configuration and its lookup indices."""
    queue_by_name = {queue.name: queue for queue in parts.queues}
    account_by_name = {account.name: account for account in parts.accounts}
    return Configuration(
        version=parts.version,
        queue_by_name=queue_by_name,
        queues_by_host=_group_by_host(queue_by_name.values()),
        service_by_name={service.name: service for service in parts.services},
        account_by_name=account_by_name,
        account_by_key={key: account.name for account in account_by_name.values() for key in account.keys},
        limits=parts.limits,
    )


def _group_by_host(queues: Iterable[Queue]) -> dict[str, tuple[Queue, ...]]:
    grouped: dict[str, list[Queue]] = {}
    for queue in queues:
        grouped.setdefault(queue.host, []).append(queue)
    return {
        host: tuple(sorted(host_queues, key=lambda queue: (-len(queue.path_prefix), queue.name)))
        for host, host_queues in grouped.items()
    }
