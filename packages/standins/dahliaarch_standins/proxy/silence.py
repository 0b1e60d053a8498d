"""Makes a socket deaf, so that its peer finds nobody there.

A proxy that only stops to forward still acknowledges: the keep-alive probes of
its peer are answered by the kernel, as those of a connection behind a cut are
not.
"""

import ctypes
import socket
import struct
from typing import Any

# Linux: attach a packet filter, which sees what comes for the socket.
_SO_ATTACH_FILTER = 26
# Its only instruction (BPF_RET | BPF_K) keeps 0 bytes of each packet.
_RETURN = 0x06
_DROP_ALL = ctypes.create_string_buffer(struct.pack('HBBI', _RETURN, 0, 0, 0))
# Number of instructions, and where they are.
_PROGRAM = struct.pack('HP', 1, ctypes.addressof(_DROP_ALL))


def deafen(raw: socket.socket | Any) -> None:
    """Let a socket receive nothing any more: no bytes, acknowledgements or probes."""
    raw.setsockopt(socket.SOL_SOCKET, _SO_ATTACH_FILTER, _PROGRAM)
