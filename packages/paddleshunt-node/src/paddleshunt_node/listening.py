"""Sockets that listen from early in a process's start on, before most of it is imported.

After a loss of power callers and runners are there before the processes are. Who connects to a
socket that listens waits for the rest of the start; who finds none comes back much later.
"""

import socket
from collections.abc import Iterable

BACKLOG = 1024
"""Connections that may wait to be taken; more than come to one host while a process starts."""

_early: dict[str, socket.socket] = {}
"""The sockets that nothing has taken yet, by their address."""


def listen_early(addresses: Iterable[str]) -> None:
    """Listen at these addresses (host:port) until `take_listener` hands them out; raises `OSError`."""
    for address in addresses:
        _early[address] = _listen(address)


def take_listener(address: str) -> socket.socket:
    """Return a socket that listens at host:port, an early one if there is; raises `OSError`."""
    early = _early.pop(address, None)
    return _listen(address) if early is None else early


def close_early() -> None:
    """Close what nothing has taken."""
    while _early:
        _early.popitem()[1].close()


def _listen(address: str) -> socket.socket:
    host, _, port = address.rpartition(":")
    listener = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    try:
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        listener.bind((host, int(port)))
        listener.listen(BACKLOG)
        listener.setblocking(False)
    except OSError:
        listener.close()
        raise
    return listener
