"""A proxy in front of an instance, for the messages of its peers."""

from collections.abc import Mapping

from anyio.abc import SocketAttribute, SocketStream

from dahliaarch_platform.settings import Address

from .core import FaultProxy
from .links import HostLinks, Route


class PeerProxy(FaultProxy):
    """Routes each connection over the links of both its hosts.

    Parameters
    ----------
    target : Address
        Address of the instance.
    links_by_host : mapping
        Links of each instance, by its host address.

    Attributes
    ----------
    cut_hosts : frozenset of str
        Host addresses of the instances between which and the target all bytes are dropped.
    """

    def __init__(self, target: Address, links_by_host: Mapping[str, HostLinks]) -> None:
        """Create the proxy; `listen` starts it."""
        super().__init__(target)
        self._links_by_host = links_by_host
        self.cut_hosts: frozenset[str] = frozenset()

    def _route(self, caller: SocketStream) -> Route:
        host = caller.extra(SocketAttribute.remote_address)[0]
        caller_links = self._links_by_host[str(host)]
        target_links = self._links_by_host[self.target.host]
        return Route((caller_links.outgoing, target_links.incoming), (target_links.outgoing, caller_links.incoming))

    def _is_cut(self, caller_host: str) -> bool:
        return caller_host in self.cut_hosts or super()._is_cut(caller_host)
