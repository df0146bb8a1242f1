import msgspec
import pytest
from paddleshunt_core.ids import Incarnation
from paddleshunt_core.messages import (
    PROTOCOL_VERSION,
    BadMessage,
    Envelope,
    Query,
    body_tag,
    decode,
    encode,
)

HOST = Incarnation("a", "1")


def test_message_round_trips() -> None:
    envelope = Envelope(PROTOCOL_VERSION, HOST, "a:1", HOST, Query("id"))
    assert decode(encode(envelope)) == envelope
    assert body_tag(envelope.body) == "query"


def test_another_protocol_version_is_refused() -> None:
    raw = encode(Envelope(PROTOCOL_VERSION + 1, HOST, "a:1", HOST, Query("id")))
    found = decode(raw)
    assert isinstance(found, BadMessage)
    assert "protocol version 2" in found.reason


@pytest.mark.parametrize("raw", [b"", b"\x00", msgspec.msgpack.encode([1, 2])], ids=repr)
def test_invalid_bytes_are_refused(raw: bytes) -> None:
    assert isinstance(decode(raw), BadMessage)
