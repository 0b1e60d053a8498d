"""Which queue a request is for, and whose key it carries."""

import hmac

from ..errors import DahliaarchError
from .core import Configuration, Queue


class RouteNotFoundError(DahliaarchError):
    """No queue matches the host and path of a request."""


class AccessDeniedError(DahliaarchError):
    """The key of a request is not in force."""


def find_queue(configuration: Configuration, host: str, path: str) -> Queue:
    """Return the queue of the longest path prefix that matches.

    Raises
    ------
    RouteNotFoundError
        When none does.
    """
    bare_host = host.partition(':')[0].lower()
    for queue in configuration.queues_by_host.get(bare_host, ()):
        if path.startswith(queue.path_prefix):
            return queue
    raise RouteNotFoundError(f'no queue for {bare_host} {path}')


def authorize(configuration: Configuration, queue: Queue, key: str) -> str:
    """Return the account that a key belongs to; empty on a public queue.

    Raises
    ------
    AccessDeniedError
        When the queue needs a key and this one is not in force.
    """
    account = ''
    # Every key is compared in constant time, so that timing shows nothing.
    for account_key, account_name in configuration.account_by_key.items():
        if hmac.compare_digest(account_key.encode(), key.encode()):
            account = account_name
    if account or queue.public:
        return account
    raise AccessDeniedError('the key is not in force')
