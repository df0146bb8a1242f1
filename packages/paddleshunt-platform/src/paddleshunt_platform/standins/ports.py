"""Ports for processes that are started on loopback to try or to test the system."""

import itertools
import os
import socket

FIRST_PORT = 15_000
PORTS = 15_000
"""Ports below the range that the kernel gives to outgoing connections, so none is lost to those."""

_turn = itertools.count(os.getpid() * 37)


def free_port() -> int:
    """Return a port that nothing listens on, another one at each call."""
    for number in itertools.islice(_turn, PORTS):
        port = FIRST_PORT + number % PORTS
        with socket.socket() as probe:
            try:
                probe.bind(("127.0.0.1", port))
            except OSError:
                continue
            return port
    raise OSError("no free port")
