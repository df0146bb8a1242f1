"""Writes the heads of HTTP/1.1 messages. Reading them is httptools' part."""

from collections.abc import Iterable
from http import HTTPStatus

CRLF = b"\r\n"

_STATUS_LINES = {s.value: f"HTTP/1.1 {s.value} {s.phrase}\r\n".encode() for s in HTTPStatus}


class HeaderError(ValueError):
    """A header would break the message."""


def request_head(method: str, target: str, headers: Iterable[tuple[str, str]]) -> bytes:
    """Return a request's head; raises `HeaderError`."""
    if " " in target or not target.isascii() or not target.isprintable():
        raise HeaderError(f"target {target!r}")
    return f"{method} {target} HTTP/1.1\r\n".encode("ascii") + _lines(headers) + CRLF


def response_head(status: int, headers: Iterable[tuple[str, str]]) -> bytes:
    """Return an answer's head; raises `HeaderError`."""
    return _STATUS_LINES[status] + _lines(headers) + CRLF


def _lines(headers: Iterable[tuple[str, str]]) -> bytes:
    text = []
    for name, value in headers:
        if not name.isascii() or not (name + value).isprintable() or ":" in name:
            raise HeaderError(f"header {name!r}: {value!r}")
        text.append(f"{name}: {value}\r\n")
    return "".join(text).encode("latin-1")
