"""The ports of a daemon stay reserved while it is down."""

import socket

from dahliaarch_standins.deployment.core import _reserve_port, free_ports


def test_a_reserved_port_is_left_to_its_daemon():
    """Guards against a killed daemon that cannot restart because another deployment was given its port."""
    port = free_ports(1)[0]
    assert not _reserve_port(port)
    with socket.create_server(('127.0.0.1', port)):
        assert not _reserve_port(port)
    assert not _reserve_port(port)
