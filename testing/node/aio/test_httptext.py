"""Tests for the formatting of HTTP message heads."""

import pytest
from paddleshunt_node.aio.httptext import HeaderError, request_head, response_head


def test_heads_are_formatted() -> None:
    assert request_head("GET", "/a?b=c", [("Host", "h:1")]) == (
        b"GET /a?b=c HTTP/1.1\r\nHost: h:1\r\n\r\n"
    )
    assert response_head(503, [("Retry-After", "1")]) == (
        b"HTTP/1.1 503 Service Unavailable\r\nRetry-After: 1\r\n\r\n"
    )


@pytest.mark.parametrize(
    ("target", "headers"),
    [("/a b", []), ("/\r\n", []), ("/", [("X", "a\r\nY: b")]), ("/", [("X:", "a")])],
    ids=["space-in-target", "line-end-in-target", "line-end-in-value", "colon-in-name"],
)
def test_invalid_characters_are_rejected(target: str, headers: list[tuple[str, str]]) -> None:
    with pytest.raises(HeaderError):
        request_head("GET", target, headers)
