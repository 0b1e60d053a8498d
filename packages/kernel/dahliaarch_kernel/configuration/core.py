"""One version of the configuration, whole."""

from collections.abc import Iterable
from typing import NamedTuple


class AdviceTerms(NamedTuple):
    """What asking the outside policy for workers costs, times in seconds.

    Parameters
    ----------
    decision_s : float
        Time that each call takes.
    per_worker_s : float
        Time beside that for each worker that is named.
    valid_s : float
        How long the tickets of an answer hold.
    """

    decision_s: float
    per_worker_s: float
    valid_s: float


class Queue(NamedTuple):
    """A route of callers to the service whose workers run its jobs.

    Parameters
    ----------
    name : str
        Name of the queue.
    host : str
        Host name that callers ask for.
    path_prefix : str
        Beginning of the path; the longest match wins.
    service : str
        Service whose workers run the tasks.
    priority : int
        0 goes first and may preempt others.
    max_attempts : int
        Failed runs of one task after which the job fails.
    stretch : float
        Multiple of the longest chain of work that the objective allows.
    target_latency_s : float
        Seconds that the objective allows beside the work.
    timeout_s : float
        Longest time for one request.
    public : bool
        Whether calls need no key.
    advice : AdviceTerms or None
        Set when an outside policy decides which workers may run a step.
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
    """What the configuration says of a service.

    Parameters
    ----------
    name : str
        Name of the service.
    workers_check_capacity : bool
        Whether workers refuse a task that does not fit.
    powered_off : bool
        Whether its machines are a reserve that is switched off.
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
        Keys in force.
    guaranteed_accelerators : int
        Accelerators that its jobs of priority 0 may use at any time.
    """

    name: str
    keys: tuple[str, ...] = ()
    guaranteed_accelerators: int = 0


class HttpLimits(NamedTuple):
    """Bounds on callers' requests.

    Parameters
    ----------
    header_bytes : int
        Largest header section.
    body_bytes : int
        Largest body.
    header_timeout_s : float
        Longest wait for a header section that has begun.
    idle_timeout_s : float
        How long an idle connection is kept.
    """

    header_bytes: int = 16_384
    body_bytes: int = 262_144
    header_timeout_s: float = 3.0
    idle_timeout_s: float = 15.0


class Configuration(NamedTuple):
    """One version of everything that operators decide.

    Parameters
    ----------
    version : int
        Grows with every accepted change.
    queue_by_name : dict
        Queues.
    queues_by_host : dict
        The same by the host that callers ask for, the longest path prefix first:
        a request looks only at the queues of its own host.
    service_by_name : dict
        Services.
    account_by_name : dict
        Client accounts.
    account_by_key : dict
        Name of the account that holds a key.
    limits : HttpLimits
        Bounds on requests.
    """

    version: int
    queue_by_name: dict[str, Queue]
    queues_by_host: dict[str, tuple[Queue, ...]]
    service_by_name: dict[str, ServiceSettings]
    account_by_name: dict[str, Account]
    account_by_key: dict[str, str]
    limits: HttpLimits = HttpLimits()


class ConfigurationParts(NamedTuple):
    """What a configuration is built from, without its indices; fields as there."""

    version: int
    queues: Iterable[Queue] = ()
    services: Iterable[ServiceSettings] = ()
    accounts: Iterable[Account] = ()
    limits: HttpLimits = HttpLimits()


def build_configuration(parts: ConfigurationParts) -> Configuration:
    """Return a configuration with its indices."""
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
