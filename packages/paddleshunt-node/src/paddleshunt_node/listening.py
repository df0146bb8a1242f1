"""Sockets that listen from early in a process's start, before most modules are imported.

After a power loss, callers and runners connect before the process is ready. On a listening socket
their connections wait in the backlog; a refused client would retry only much later.
"""

import socket
from collections.abc import Iterable

BACKLOG = 1024
"""Connections that may wait to be accepted; exceeds what one host gets during a start."""

_early_sockets: dict[str, socket.socket] = {}
"""Early sockets not yet handed out, by address."""


def listen_early(addresses: Iterable[str]) -> None:
    """Listen at these addresses (host:port), for `take_listener` to hand out; raises `OSError`."""
    for address in addresses:
        _early_sockets[address] = _listen(address)


def take_listener(address: str) -> socket.socket:
    """Return a socket listening at host:port, the early one if it exists; raises `OSError`."""
    early_socket = _early_sockets.pop(address, None)
    return _listen(address) if early_socket is None else early_socket


def close_early() -> None:
    """Close the early sockets that were not handed out."""
    while _early_sockets:
        _early_sockets.popitem()[1].close()


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
