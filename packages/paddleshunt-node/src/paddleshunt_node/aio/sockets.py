"""Addresses, and socket options for links that may fall silent."""

import asyncio
import socket


def split_address(address: str) -> tuple[str, int]:
    """Return the host and the port of host:port."""
    host, _, port = address.rpartition(":")
    return host, int(port)


def prepare(transport: asyncio.BaseTransport, silence: float) -> None:
    """Send small writes at once, and break a connection that is silent for `silence` seconds."""
    sock = transport.get_extra_info("socket")
    if sock is None:
        return
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, round(silence * 1000))
