"""A proxy before an instance, for the messages of its peers."""

from collections.abc import Mapping

from anyio.abc import SocketAttribute, SocketStream

from dahliaarch_platform.settings import Address

from .core import FaultProxy
from .links import HostLinks, Route


class PeerProxy(FaultProxy):
    """Leads a connection over the links of both ends, known by their hosts.

    Parameters
    ----------
    target : Address
        The instance.
    links_by_host : mapping
        Links of every instance.
    """

    def __init__(self, target: Address, links_by_host: Mapping[str, HostLinks]) -> None:
        """Prepare; nothing listens yet."""
        super().__init__(target)
        self._links_by_host = links_by_host

    def _route(self, caller: SocketStream) -> Route:
        host = caller.extra(SocketAttribute.remote_address)[0]
        there = self._links_by_host[str(host)]
        here = self._links_by_host[self.target.host]
        return Route((there.outgoing, here.incoming), (here.outgoing, there.incoming))
