"""Heads of HTTP messages."""

import pytest
from paddleshunt_node.aio.httptext import HeaderError, request_head, response_head


def test_heads_are_written() -> None:
    assert request_head("GET", "/a?b=c", [("Host", "h:1")]) == (
        b"GET /a?b=c HTTP/1.1\r\nHost: h:1\r\n\r\n"
    )
    assert response_head(503, [("Retry-After", "1")]) == (
        b"HTTP/1.1 503 Service Unavailable\r\nRetry-After: 1\r\n\r\n"
    )


@pytest.mark.parametrize(
    ("target", "headers"),
    [("/a b", []), ("/\r\n", []), ("/", [("X", "a\r\nY: b")]), ("/", [("X:", "a")])],
    ids=["blank", "line-end", "value", "name"],
)
def test_what_would_break_a_head_is_refused(target: str, headers: list[tuple[str, str]]) -> None:
    with pytest.raises(HeaderError):
        request_head("GET", target, headers)
