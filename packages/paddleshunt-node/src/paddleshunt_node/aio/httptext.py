"""Formatting of HTTP/1.1 message heads; httptools parses them."""

from collections.abc import Iterable
from http import HTTPStatus

CRLF = b"\r\n"

_STATUS_LINES = {s.value: f"HTTP/1.1 {s.value} {s.phrase}\r\n".encode() for s in HTTPStatus}


class HeaderError(ValueError):
    """A request target or header contains characters that aren't allowed there."""


def request_head(method: str, target: str, headers: Iterable[tuple[str, str]]) -> bytes:
    """Return the head of a request; raises `HeaderError`."""
    if " " in target or not target.isascii() or not target.isprintable():
        raise HeaderError(f"invalid request target {target!r}")
    return f"{method} {target} HTTP/1.1\r\n".encode("ascii") + _header_lines(headers) + CRLF


def response_head(status: int, headers: Iterable[tuple[str, str]]) -> bytes:
    """Return the head of a response; raises `HeaderError`."""
    return _STATUS_LINES[status] + _header_lines(headers) + CRLF


def _header_lines(headers: Iterable[tuple[str, str]]) -> bytes:
    lines = []
    for name, value in headers:
        if not name.isascii() or not (name + value).isprintable() or ":" in name:
            raise HeaderError(f"invalid header {name!r}: {value!r}")
        lines.append(f"{name}: {value}\r\n")
    return "".join(lines).encode("latin-1")
