"""Parsing of addresses, listening sockets and socket options."""

import asyncio
import re
import socket
from collections.abc import Callable

from paddleshunt_node import listening

MAX_HOST_LENGTH = 253
"""Maximum characters of a host name in DNS."""

MAX_LABEL_LENGTH = 63
"""Maximum characters of one label of a host name in DNS."""
MAX_PORT = 65535

_HOST = re.compile(r"[A-Za-z0-9._:%\[\]-]+", re.ASCII)
_PORT = re.compile(r"[0-9]{1,5}", re.ASCII)


class AddressError(ValueError):
    """A text is no valid host:port."""


def split_address(address: str) -> tuple[str, int]:
    """Return the host and the port of host:port; raises `AddressError`."""
    host, _, port = address.rpartition(":")
    if not _is_host(host):
        raise AddressError(f"no valid host in {address[:MAX_HOST_LENGTH]!r}")
    if not _PORT.fullmatch(port) or not 0 <= int(port) <= MAX_PORT:
        raise AddressError(f"no valid port in {address[:MAX_HOST_LENGTH]!r}")
    return host, int(port)


def _is_host(host: str) -> bool:
    if len(host) > MAX_HOST_LENGTH or not _HOST.fullmatch(host):
        return False
    return all(0 < len(part) <= MAX_LABEL_LENGTH for part in host.split("."))


async def serve(factory: Callable[[], asyncio.BaseProtocol], address: str) -> asyncio.Server:
    """Serve at host:port, on the socket that already listens there if any.

    Raises `AddressError` or `OSError`.
    """
    split_address(address)
    loop = asyncio.get_running_loop()
    listener = listening.take_listener(address)
    return await loop.create_server(factory, sock=listener, backlog=listening.BACKLOG)


def set_socket_options(transport: asyncio.BaseTransport, silence: float) -> None:
    """Disable Nagle's algorithm, and limit unacknowledged data to `silence` seconds."""
    sock = transport.get_extra_info("socket")
    if sock is None:
        return
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, round(silence * 1000))
