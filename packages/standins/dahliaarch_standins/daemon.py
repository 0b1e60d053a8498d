"""The daemon, with its connections to peers routed through proxies.

An instance advertises the address that it binds, so a proxy cannot listen there.
Each instance therefore has its own host address on the loopback network. It
connects to the address of the proxy that belongs to the peer, with its own host
as the source address, by which the proxy identifies the sender.
"""

# Imported first: it ignores a signal that may arrive before the settings are read.
from dahliaarch_node.main import main

# isort: split

from typing import Any
from unittest.mock import patch

from zmq.asyncio import Context, Socket

from .hosts import proxy_host


class _ProxiedSocket(Socket):
    """A socket that connects to the proxies of its peers."""

    own_host = ''

    def bind(self, addr: str) -> Any:
        """Bind, and record the host as the source address of connections."""
        _ProxiedSocket.own_host = _host(addr)
        return super().bind(addr)

    def connect(self, addr: str) -> Any:
        """Connect to the proxy of a peer."""
        return super().connect(_proxied_endpoint(addr))

    def disconnect(self, addr: str | bytes) -> Any:
        """Disconnect from the proxy of a peer."""
        return super().disconnect(_proxied_endpoint(addr if isinstance(addr, str) else addr.decode()))


class _ProxiedContext(Context):
    _socket_class = _ProxiedSocket


def _host(endpoint: str) -> str:
    return endpoint.removeprefix('tcp://').partition(':')[0]


def _proxied_endpoint(endpoint: str) -> str:
    """Return the ZeroMQ endpoint of the peer's proxy, with the own host as source address."""
    host = _host(endpoint)
    return f'tcp://{_ProxiedSocket.own_host}:0;{endpoint.removeprefix("tcp://").replace(host, proxy_host(host))}'


if __name__ == '__main__':
    with patch('dahliaarch_node.peers.core.Context', _ProxiedContext):
        main()
