"""The daemon, with its messages to peers led through proxies before them.

An instance advertises the address that it binds, so that no proxy can stand
there. Here every instance has a host of its own on the loopback network; what it
sends to a peer goes to the proxy's host beside the peer's, and comes from its own
host, by which the proxy knows it.
"""

# First, since it ignores a signal that may come before its settings are read.
from dahliaarch_node.main import main

# isort: split

from typing import Any
from unittest.mock import patch

from zmq.asyncio import Context, Socket

from .hosts import proxy_host


class _LedSocket(Socket):
    """A socket whose connections go through proxies."""

    own_host = ''

    def bind(self, addr: str) -> Any:
        """Bind, and remember the host."""
        _LedSocket.own_host = _host(addr)
        return super().bind(addr)

    def connect(self, addr: str) -> Any:
        """Connect to the proxy before a peer."""
        return super().connect(_led(addr))

    def disconnect(self, addr: str | bytes) -> Any:
        """Disconnect from it."""
        return super().disconnect(_led(addr if isinstance(addr, str) else addr.decode()))


class _LedContext(Context):
    _socket_class = _LedSocket


def _host(endpoint: str) -> str:
    return endpoint.removeprefix('tcp://').partition(':')[0]


def _led(endpoint: str) -> str:
    """Return an endpoint with the own host as its source and the proxy's as its target."""
    host = _host(endpoint)
    return f'tcp://{_LedSocket.own_host}:0;{endpoint.removeprefix("tcp://").replace(host, proxy_host(host))}'


if __name__ == '__main__':
    with patch('dahliaarch_node.peers.core.Context', _LedContext):
        main()
