"""Ports of daemons stay theirs while they are down."""

import socket

from dahliaarch_standins.deployment.core import _keep_port, free_ports


def test_a_kept_port_is_given_to_nobody_else_and_can_be_bound_by_its_daemon():
    """A killed daemon could not be started again: another deployment had been given its port meanwhile."""
    port = free_ports(1)[0]
    assert not _keep_port(port)
    with socket.create_server(('127.0.0.1', port)):
        assert not _keep_port(port)
    assert not _keep_port(port)
