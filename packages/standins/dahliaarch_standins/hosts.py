"""Hosts on the loopback network for instances and for the proxies before them."""

_INSTANCES = '127.0.10.'
_PROXIES = '127.0.11.'


def instance_host(number: int) -> str:
    """Return the host of an instance, counted from 0."""
    return f'{_INSTANCES}{number + 1}'


def proxy_host(host: str) -> str:
    """Return the host of the proxy before an instance's."""
    return host.replace(_INSTANCES, _PROXIES)
