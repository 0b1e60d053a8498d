"""Loopback addresses of instances and of their proxies."""

_INSTANCE_PREFIX = '127.0.10.'
_PROXY_PREFIX = '127.0.11.'


def instance_host(number: int) -> str:
    """Return the host of the instance with a zero-based number."""
    return f'{_INSTANCE_PREFIX}{number + 1}'


def proxy_host(host: str) -> str:
    """Return the host of the proxy for an instance's host."""
    return host.replace(_INSTANCE_PREFIX, _PROXY_PREFIX)
