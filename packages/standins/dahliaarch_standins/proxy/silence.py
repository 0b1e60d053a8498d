"""Makes a socket drop all incoming packets, so that its peer finds it unreachable.

If a proxy merely stops forwarding, the kernel still acknowledges packets and
answers the keep-alive probes of the peer, unlike after a network partition.
"""

import ctypes
import socket
import struct
from typing import Any

# Linux socket option that attaches a packet filter to the incoming packets of a socket.
_SO_ATTACH_FILTER = 26
# The only instruction of the filter (BPF_RET | BPF_K) keeps 0 bytes of each packet.
_RETURN = 0x06
_DROP_ALL = ctypes.create_string_buffer(struct.pack('HBBI', _RETURN, 0, 0, 0))
# struct sock_fprog: the number of instructions and their address.
_PROGRAM = struct.pack('HP', 1, ctypes.addressof(_DROP_ALL))


def drop_incoming_packets(raw: socket.socket | Any) -> None:
    """Drop all packets that a socket receives: data, acknowledgements and keep-alive probes."""
    raw.setsockopt(socket.SOL_SOCKET, _SO_ATTACH_FILTER, _PROGRAM)
