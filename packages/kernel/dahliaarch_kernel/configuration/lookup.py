"""Which queue a request is for, and whose key it carries."""

import hmac

from ..errors import DahliaarchError
from .core import Configuration, Queue


class RouteNotFound(DahliaarchError):
    """No queue matches the host and path of a request."""


class AccessDenied(DahliaarchError):
    """The key of a request is not in force."""


def find_queue(configuration: Configuration, host: str, path: str) -> Queue:
    """Return the queue of the longest path prefix that matches.

    Raises
    ------
    RouteNotFound
        When none does.
    """
    bare_host = host.partition(':')[0].lower()
    best: Queue | None = None
    for queue in configuration.queue_by_name.values():
        if queue.host != bare_host or not path.startswith(queue.path_prefix):
            continue
        if best is None or len(queue.path_prefix) > len(best.path_prefix):
            best = queue
    if best is None:
        raise RouteNotFound(f'no queue for {bare_host} {path}')
    return best


def authorize(configuration: Configuration, queue: Queue, key: str) -> str:
    """Return the account that a key belongs to; empty on a public queue.

    Raises
    ------
    AccessDenied
        When the queue needs a key and this one is not in force.
    """
    account = ''
    # Every key is compared in constant time, so that timing tells nothing.
    for known, owner in configuration.account_by_key.items():
        if hmac.compare_digest(known.encode(), key.encode()):
            account = owner
    if account or queue.public:
        return account
    raise AccessDenied('the key is not in force')
