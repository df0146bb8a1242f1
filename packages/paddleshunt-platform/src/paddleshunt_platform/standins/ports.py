"""Free ports on loopback for tests and demos."""

import itertools
import os
import socket

FIRST_PORT = 15_000
PORT_COUNT = 15_000
"""Number of ports, all below the kernel's range for outgoing connections."""

_offsets = itertools.count(os.getpid() * 37)


def free_port() -> int:
    """Return a port that nothing listens on; none repeats within `PORT_COUNT` attempts."""
    for offset in itertools.islice(_offsets, PORT_COUNT):
        port = FIRST_PORT + offset % PORT_COUNT
        with socket.socket() as probe:
            try:
                probe.bind(("127.0.0.1", port))
            except OSError:
                continue
            return port
    raise OSError("no free port")
