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

ME = Incarnation("a", "1")


def test_message_comes_back_as_it_was() -> None:
    envelope = Envelope(PROTOCOL_VERSION, ME, "a:1", ME, Query("id"))
    assert decode(encode(envelope)) == envelope
    assert body_tag(envelope.body) == "query"


def test_another_protocol_version_is_refused() -> None:
    raw = encode(Envelope(PROTOCOL_VERSION + 1, ME, "a:1", ME, Query("id")))
    found = decode(raw)
    assert isinstance(found, BadMessage)
    assert "protocol version 2" in found.reason


@pytest.mark.parametrize("raw", [b"", b"\x00", msgspec.msgpack.encode([1, 2])], ids=repr)
def test_other_bytes_are_refused(raw: bytes) -> None:
    assert isinstance(decode(raw), BadMessage)
