"""Connections between processes: msgspec messages, each behind its length, over TCP."""

import asyncio
from typing import Protocol, final

import msgspec
from paddleshunt_core.leased.refusals import DECODE_ERRORS, InputKind, Refusal
from paddleshunt_core.leased.wire import Frame, Hello

from paddleshunt_node.aio import clock
from paddleshunt_node.aio.sharedbuffer import SharedBufferProtocol
from paddleshunt_node.aio.sockets import set_socket_options

LENGTH_BYTES = 4
MAX_MESSAGE = 8 << 20
"""Bytes of a message, above which the connection is broken off."""

_hello = msgspec.msgpack.Decoder(Hello)
_frame = msgspec.msgpack.Decoder(Frame)
_encoder = msgspec.msgpack.Encoder()


class PeerHandler(Protocol):
    """Takes what comes over one connection."""

    def connection_opened(self, link: "PeerLink") -> None:
        """Take a connection that has just been made."""

    def hello_received(self, link: "PeerLink", hello: Hello) -> None:
        """Take the peer's greeting."""

    def frame_received(self, link: "PeerLink", frame: Frame) -> None:
        """Take a frame."""

    def message_refused(self, link: "PeerLink", refusal: Refusal) -> None:
        """Take note of a message that can't be read; the connection is broken off."""

    def connection_closed(self, link: "PeerLink") -> None:
        """Take the end of the connection."""


@final
class PeerLink(SharedBufferProtocol):
    """One connection. `peer` is the name in the peer's greeting, empty before it."""

    def __init__(self, handler: PeerHandler, silence: float) -> None:
        self._handler = handler
        self._silence = silence
        self._buffer = bytearray()
        self._transport: asyncio.Transport | None = None
        self.peer = ""
        self.created_at = clock.now()
        """When it was dialled or taken."""
        self.written = 0
        """Bytes that were handed to it."""

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Take the connection."""
        assert isinstance(transport, asyncio.Transport)  # noqa: S101
        self._transport = transport
        set_socket_options(transport, self._silence)
        self._handler.connection_opened(self)

    def data_received(self, data: bytes) -> None:
        """Take bytes and hand on the whole messages."""
        self._buffer += data
        while len(self._buffer) >= LENGTH_BYTES:
            length = int.from_bytes(self._buffer[:LENGTH_BYTES], "big")
            if length > MAX_MESSAGE:
                self._refuse(f"{length} bytes")
                return
            if len(self._buffer) < LENGTH_BYTES + length:
                return
            message = bytes(self._buffer[LENGTH_BYTES : LENGTH_BYTES + length])
            del self._buffer[: LENGTH_BYTES + length]
            if not self._handle(message):
                return

    def connection_lost(self, exc: Exception | None) -> None:
        """Take the end of the connection."""
        self._transport = None
        self._handler.connection_closed(self)

    def send(self, message: Hello | Frame) -> None:
        """Send a message; on a connection that has ended it is dropped."""
        if self._transport is None or self._transport.is_closing():
            return
        packed = _encoder.encode(message)
        self.written += LENGTH_BYTES + len(packed)
        self._transport.write(len(packed).to_bytes(LENGTH_BYTES, "big") + packed)

    @property
    def transport(self) -> asyncio.Transport | None:
        """Where it writes; None once it has ended."""
        return self._transport

    @property
    def is_open(self) -> bool:
        """Whether messages can be sent."""
        return self._transport is not None and not self._transport.is_closing()

    def close(self) -> None:
        """Break the connection off at once; what is not sent yet is dropped."""
        if self._transport is not None:
            self._transport.abort()

    def _handle(self, message: bytes) -> bool:
        if self.peer:
            try:
                frame = _frame.decode(message)
            except DECODE_ERRORS as problem:
                self._refuse(str(problem))
                return False
            self._handler.frame_received(self, frame)
        else:
            try:
                hello = _hello.decode(message)
            except DECODE_ERRORS as problem:
                self._refuse(str(problem))
                return False
            if not hello.name:
                self._refuse("no name")
                return False
            self.peer = hello.name
            self._handler.hello_received(self, hello)
        return self._transport is not None

    def _refuse(self, problem: str) -> None:
        """Break off a connection over which something came that can't be read."""
        word = InputKind.FRAME if self.peer else InputKind.GREETING
        self._handler.message_refused(self, Refusal(word, self.peer or self._remote(), problem))
        self.close()

    def _remote(self) -> str:
        """Return the host of a peer that has no name yet."""
        address = self._transport and self._transport.get_extra_info("peername")
        return str(address[0]) if address else ""
