"""Connections between processes: length-prefixed MessagePack messages over TCP."""

import asyncio
from typing import Protocol, final

import msgspec
from paddleshunt_core.leased.refusals import DECODE_ERRORS, InputKind, Refusal
from paddleshunt_core.leased.wire import Frame, Hello

from paddleshunt_node.aio import clock
from paddleshunt_node.aio.sharedbuffer import SharedBufferProtocol
from paddleshunt_node.aio.sockets import set_socket_options

LENGTH_BYTES = 4
"""Size of the big-endian length prefix."""

MAX_MESSAGE_BYTES = 8 << 20
"""Maximum size of a message; a larger one closes the connection."""

_hello_decoder = msgspec.msgpack.Decoder(Hello)
_frame_decoder = msgspec.msgpack.Decoder(Frame)
_encoder = msgspec.msgpack.Encoder()


class PeerHandler(Protocol):
    """Receives the events of connections."""

    def connection_opened(self, link: "PeerLink") -> None:
        """Called when the connection has been made."""

    def hello_received(self, link: "PeerLink", hello: Hello) -> None:
        """Called for the hello, the peer's first message."""

    def frame_received(self, link: "PeerLink", frame: Frame) -> None:
        """Called for each frame."""

    def message_refused(self, link: "PeerLink", refusal: Refusal) -> None:
        """Called for an invalid message, before the connection is closed."""

    def connection_closed(self, link: "PeerLink") -> None:
        """Called when the connection has ended."""


@final
class PeerLink(SharedBufferProtocol):
    """One connection to a peer; `peer` is its name, empty until its hello arrives.

    `ack_timeout` is the time-out of unacknowledged data, in seconds.
    """

    def __init__(self, handler: PeerHandler, ack_timeout: float) -> None:
        self._handler = handler
        self._ack_timeout = ack_timeout
        self._buffer = bytearray()
        self._transport: asyncio.Transport | None = None
        self.peer = ""
        self.created_at = clock.now()
        """When the connection was dialled or accepted."""
        self.written = 0
        """Bytes written so far."""

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Configure the new connection and notify the handler."""
        assert isinstance(transport, asyncio.Transport)  # noqa: S101
        self._transport = transport
        set_socket_options(transport, self._ack_timeout)
        self._handler.connection_opened(self)

    def data_received(self, data: bytes) -> None:
        """Buffer received bytes, and handle the complete messages."""
        self._buffer += data
        while len(self._buffer) >= LENGTH_BYTES:
            length = int.from_bytes(self._buffer[:LENGTH_BYTES], "big")
            if length > MAX_MESSAGE_BYTES:
                self._refuse(f"message too long: {length} bytes")
                return
            if len(self._buffer) < LENGTH_BYTES + length:
                return
            message = bytes(self._buffer[LENGTH_BYTES : LENGTH_BYTES + length])
            del self._buffer[: LENGTH_BYTES + length]
            if not self._handle(message):
                return

    def connection_lost(self, exc: Exception | None) -> None:
        """Notify the handler that the connection has ended."""
        self._transport = None
        self._handler.connection_closed(self)

    def send(self, message: Hello | Frame) -> None:
        """Send a message; drop it if the connection has ended."""
        if self._transport is None or self._transport.is_closing():
            return
        packed = _encoder.encode(message)
        self.written += LENGTH_BYTES + len(packed)
        self._transport.write(len(packed).to_bytes(LENGTH_BYTES, "big") + packed)

    @property
    def transport(self) -> asyncio.Transport | None:
        """The connection's transport; None once it has ended."""
        return self._transport

    @property
    def is_open(self) -> bool:
        """Whether messages can be sent."""
        return self._transport is not None and not self._transport.is_closing()

    def close(self) -> None:
        """Abort the connection, dropping unsent messages."""
        if self._transport is not None:
            self._transport.abort()

    def _handle(self, message: bytes) -> bool:
        """Decode a message and pass it on; return whether the connection is still open."""
        if self.peer:
            try:
                frame = _frame_decoder.decode(message)
            except DECODE_ERRORS as problem:
                self._refuse(str(problem))
                return False
            self._handler.frame_received(self, frame)
        else:
            try:
                hello = _hello_decoder.decode(message)
            except DECODE_ERRORS as problem:
                self._refuse(str(problem))
                return False
            if not hello.name:
                self._refuse("hello without a name")
                return False
            self.peer = hello.name
            self._handler.hello_received(self, hello)
        return self._transport is not None

    def _refuse(self, problem: str) -> None:
        """Report an invalid message, and close the connection."""
        kind = InputKind.FRAME if self.peer else InputKind.GREETING
        self._handler.message_refused(
            self, Refusal(kind, self.peer or self._remote_host(), problem)
        )
        self.close()

    def _remote_host(self) -> str:
        """Return the peer's host, or "" if it is unknown."""
        address = self._transport and self._transport.get_extra_info("peername")
        return str(address[0]) if address else ""
