"""Tests for `PeerLink`: message framing, and the refusal of invalid messages."""

import asyncio
from typing import cast

import msgspec
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st
from paddleshunt_core.leased.refusals import InputKind, Refusal
from paddleshunt_core.leased.wire import CatalogVersion, Frame, Hello
from paddleshunt_node.aio.framing import MAX_MESSAGE_BYTES, PeerLink

HELLO = Hello("t1", "life", False, "hall", "10.0.0.1:7720", 0, 0)
FRAME = Frame(1, 0, 5, 5, [CatalogVersion(3)])


class Handler:
    """A `PeerHandler` that records its calls."""

    def __init__(self) -> None:
        self.hellos: list[Hello] = []
        self.frames: list[Frame] = []
        self.refusals: list[Refusal] = []

    def connection_opened(self, link: PeerLink) -> None:
        pass

    def hello_received(self, link: PeerLink, hello: Hello) -> None:
        self.hellos.append(hello)

    def frame_received(self, link: PeerLink, frame: Frame) -> None:
        self.frames.append(frame)

    def message_refused(self, link: PeerLink, refusal: Refusal) -> None:
        self.refusals.append(refusal)

    def connection_closed(self, link: PeerLink) -> None:
        pass


class Transport(asyncio.Transport):
    """A transport connected to 10.0.0.9 that records its abort."""

    aborted = False

    def get_extra_info(self, name: str, default: object = None) -> object:
        return ("10.0.0.9", 4242) if name == "peername" else default

    def is_closing(self) -> bool:
        return self.aborted

    def abort(self) -> None:
        self.aborted = True


def connect() -> tuple[PeerLink, Handler, Transport]:
    handler, transport = Handler(), Transport()
    link = PeerLink(handler, 1.0)
    link.connection_made(cast(asyncio.BaseTransport, transport))
    return link, handler, transport


def with_length(message: bytes) -> bytes:
    return len(message).to_bytes(4, "big") + message


def send_hello(link: PeerLink) -> None:
    link.data_received(with_length(msgspec.msgpack.encode(HELLO)))


BAD = {
    "empty": with_length(b""),
    "truncated": with_length(msgspec.msgpack.encode(FRAME)[:-1]),
    "another-type": with_length(msgspec.msgpack.encode({"first": 1})),
    "text": with_length(msgspec.msgpack.encode(["1", "2", 3, 4, []])),
    "invalid-utf8": with_length(b"\x95\x01\x00\x00\x00\x91\x92\x08\xa2\xff\xfe"),
    "deeply-nested": with_length(b"\x96\x01\x00\x00\x00\x90" + b"\x91" * 100_000),
    "too-long": (MAX_MESSAGE_BYTES + 1).to_bytes(4, "big"),
}


@pytest.mark.parametrize("data", BAD.values(), ids=BAD.keys())
def test_invalid_frame_is_refused_with_its_sender(data: bytes) -> None:
    link, handler, transport = connect()
    send_hello(link)
    link.data_received(data)
    assert [(one.kind, one.sender) for one in handler.refusals] == [(InputKind.FRAME, "t1")]
    assert transport.aborted
    assert handler.frames == []


@pytest.mark.parametrize("data", BAD.values(), ids=BAD.keys())
def test_invalid_hello_is_refused_with_its_host(data: bytes) -> None:
    link, handler, transport = connect()
    link.data_received(data)
    assert [(one.kind, one.sender) for one in handler.refusals] == [
        (InputKind.GREETING, "10.0.0.9")
    ]
    assert transport.aborted
    assert handler.hellos == []


def test_hello_without_name_is_refused() -> None:
    link, handler, transport = connect()
    nameless = msgspec.msgpack.encode(msgspec.structs.replace(HELLO, name=""))
    link.data_received(with_length(nameless))
    assert [one.problem for one in handler.refusals] == ["hello without a name"]
    assert transport.aborted


def test_messages_after_an_invalid_frame_are_ignored() -> None:
    link, handler, _ = connect()
    send_hello(link)
    good = with_length(msgspec.msgpack.encode(FRAME))
    link.data_received(good + BAD["text"] + good)
    assert handler.frames == [FRAME]


leaves = st.one_of(
    st.none(), st.booleans(), st.integers(-(2**63), 2**64 - 1), st.text(max_size=5), st.floats()
)
values = st.recursive(leaves, lambda inner: st.lists(inner, max_size=4), max_leaves=8)


@settings(max_examples=150, derandomize=True, database=None, deadline=None)
@given(message=values, cut=st.integers(0, 3), after_hello=st.booleans())
def test_any_input_is_decoded_or_refused(message: object, cut: int, after_hello: bool) -> None:
    link, handler, transport = connect()
    if after_hello:
        send_hello(link)
    raw = msgspec.msgpack.encode(message)
    link.data_received(with_length(raw[: max(0, len(raw) - cut)]))
    accepted = handler.frames if after_hello else handler.hellos
    assert len(accepted) + len(handler.refusals) == 1
    assert transport.aborted is bool(handler.refusals)


@settings(max_examples=150, derandomize=True, database=None, deadline=None)
@given(position=st.integers(0, 4), value=values)
def test_field_of_another_type_is_decoded_or_refused(position: int, value: object) -> None:
    link, handler, _ = connect()
    send_hello(link)
    fields = [1, 0, 5, 5, [[8, 3]]]
    fields[position] = value  # type: ignore[call-overload]
    link.data_received(with_length(msgspec.msgpack.encode(fields)))
    assert len(handler.frames) + len(handler.refusals) == 1
