"""Routing of requests to queues, and their authorization."""

import hmac

from ..errors import DahliaarchError
from .core import Configuration, Queue


class RouteNotFoundError(DahliaarchError):
    """No queue matches the host and path of a request."""


class AccessDeniedError(DahliaarchError):
    """A request has no valid key."""


def find_queue(configuration: Configuration, host: str, path: str) -> Queue:
    """Return the queue with the longest path prefix that matches a request.

    Raises
    ------
    RouteNotFoundError
        If no queue matches.
    """
    bare_host = host.partition(':')[0].lower()
    for queue in configuration.queues_by_host.get(bare_host, ()):
        if path.startswith(queue.path_prefix):
            return queue
    raise RouteNotFoundError(f'no queue matches host {bare_host} and path {path}')


def authorize(configuration: Configuration, queue: Queue, key: str) -> str:
    """Return the name of the account that a key belongs to.

    On a public queue, the name is empty if the key belongs to no account.

    Raises
    ------
    AccessDeniedError
        If the queue is not public and the key is not valid.
    """
    account = ''
    # Compares with every key, each in constant time, to prevent timing attacks.
    for account_key, account_name in configuration.account_by_key.items():
        if hmac.compare_digest(account_key.encode(), key.encode()):
            account = account_name
    if account or queue.public:
        return account
    raise AccessDeniedError('the key is not valid')
