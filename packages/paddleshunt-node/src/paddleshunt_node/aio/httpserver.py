"""An HTTP/1.1 server that supports deferred responses and detects clients that disconnect.

httptools parses the requests; each connection processes one request at a time.
"""

import asyncio
from collections import deque
from dataclasses import dataclass, field
from typing import Protocol, final

import httptools

from paddleshunt_node.aio.httptext import response_head
from paddleshunt_node.aio.sharedbuffer import SharedBufferProtocol
from paddleshunt_node.aio.sockets import serve, set_socket_options

BAD_REQUEST = 400
BODY_TOO_LARGE = 413
HEAD_TOO_LARGE = 431

MAX_PIPELINED = 16
"""Requests that may be queued on one connection behind the one being processed."""


@final
@dataclass(frozen=True, slots=True)
class Request:
    """A complete request; header names are in lower case."""

    method: str
    target: str
    headers: dict[str, str]
    body: bytes

    @property
    def path(self) -> str:
        """The target without its query."""
        return self.target.partition("?")[0]


@final
@dataclass(frozen=True, slots=True)
class Response:
    """A complete response."""

    status: int
    body: bytes = b""
    content_type: str = ""
    headers: list[tuple[str, str]] = field(default_factory=list)


@final
@dataclass(slots=True)
class ServerLimits:
    """Limits on requests, in bytes and seconds; they may be changed while the server runs."""

    header_bytes: int = 16384
    body_bytes: int = 262144
    header_timeout: float = 3.0
    idle_timeout: float = 15.0


class Handler(Protocol):
    """Handles requests by calling `Exchange.respond`, at once or later."""

    def handle(self, exchange: "Exchange") -> None:
        """Handle a request."""

    def abandoned(self, exchange: "Exchange") -> None:
        """Handle a client's disconnect before the response."""


@final
class Exchange:
    """A request together with the means to respond to it."""

    def __init__(self, connection: "_Connection", request: Request, number: int) -> None:
        self._connection = connection
        self.request = request
        self.number = number

    def respond(self, response: Response) -> None:
        """Send the response; do nothing if the client has disconnected."""
        self._connection.respond(self, response)


@final
class HttpServer:
    """Serves one address. Set `closing` to close each connection after its next response."""

    def __init__(self, handler: Handler, limits: ServerLimits | None = None) -> None:
        self.handler = handler
        self.limits = limits or ServerLimits()
        self.closing = False
        self.request_count = 0
        self.open_connections: set[_Connection] = set()
        self.loop: asyncio.AbstractEventLoop
        self._server: asyncio.Server | None = None

    async def start(self, address: str) -> None:
        """Listen at host:port; raises `OSError`."""
        self.loop = asyncio.get_running_loop()
        self._server = await serve(lambda: _Connection(self), address)

    def stop_listening(self) -> None:
        """Accept no new connections; those that are open stay open."""
        if self._server is not None:
            self._server.close()

    def close_idle(self) -> None:
        """Close the connections without a pending request."""
        for connection in list(self.open_connections):
            connection.close_if_idle()


@final
class _Connection(SharedBufferProtocol):
    """One client's connection; httptools calls the `on_*` methods."""

    def __init__(self, server: HttpServer) -> None:
        self._server = server
        self._parser = httptools.HttpRequestParser(self)
        self._transport: asyncio.Transport | None = None
        self.written = 0
        """Bytes written so far."""
        self._target = b""
        self._headers: dict[str, str] = {}
        self._head_bytes = 0
        """Bytes of the parsed request target and headers."""
        self._received_head_bytes = 0
        """Bytes received while the head is incomplete."""
        self._in_head = False
        self._body = bytearray()
        self._in_message = False
        self._error_status = 0
        self._close_after_response = False
        """Whether to close the connection after the current response."""
        self._exchange: Exchange | None = None
        self._queued: deque[tuple[Request, bool]] = deque()
        """Queued requests, each with whether the connection closes after it."""
        self._timer: asyncio.TimerHandle | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        assert isinstance(transport, asyncio.Transport)  # noqa: S101
        self._transport = transport
        set_socket_options(transport, self._server.limits.idle_timeout)
        self._server.open_connections.add(self)
        self._start_timer(self._server.limits.header_timeout)

    def data_received(self, data: bytes) -> None:
        if self._error_status:
            return
        try:
            self._parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade):
            self._error_status = self._error_status or BAD_REQUEST
        if self._in_head:
            self._received_head_bytes += len(data)
            self._check_head_size(self._received_head_bytes)
        if len(self._queued) > MAX_PIPELINED:
            self._error_status = self._error_status or BAD_REQUEST
        self._handle_next()

    def eof_received(self) -> bool:
        return False

    @property
    def transport(self) -> asyncio.Transport | None:
        """The connection's transport; None once it has ended."""
        return self._transport

    def connection_lost(self, exc: Exception | None) -> None:
        self._transport = None
        self._server.open_connections.discard(self)
        self._stop_timer()
        self._queued.clear()
        exchange = self._exchange
        if exchange is not None:
            self._exchange = None
            self._server.handler.abandoned(exchange)

    def respond(self, exchange: Exchange, response: Response) -> None:
        if self._exchange is not exchange or self._transport is None:
            return
        self._exchange = None
        self._write(response, with_body=exchange.request.method != "HEAD")
        if self._close_after_response or self._server.closing:
            self._transport.close()
            return
        self._start_timer(self._server.limits.idle_timeout)
        self._handle_next()

    def close_if_idle(self) -> None:
        idle = self._exchange is None and not self._queued and not self._in_message
        if idle and self._transport is not None:
            self._transport.close()

    def on_message_begin(self) -> None:
        self._target = b""
        self._headers = {}
        self._head_bytes = 0
        self._received_head_bytes = 0
        self._body.clear()
        self._in_message = True
        self._in_head = True
        if self._exchange is None:
            self._start_timer(self._server.limits.header_timeout)

    def on_url(self, url: bytes) -> None:
        self._target += url
        self._head_bytes += len(url)

    def on_header(self, name: bytes, value: bytes) -> None:
        self._headers[name.decode("latin-1").lower()] = value.decode("latin-1")
        self._head_bytes += len(name) + len(value)
        self._check_head_size(self._head_bytes)

    def on_headers_complete(self) -> None:
        self._in_head = False

    def on_body(self, body: bytes) -> None:
        self._body += body
        if len(self._body) > self._server.limits.body_bytes:
            self._error_status = self._error_status or BODY_TOO_LARGE

    def on_message_complete(self) -> None:
        self._in_message = False
        if self._error_status:
            return
        request = Request(
            self._parser.get_method().decode("latin-1"),
            self._target.decode("latin-1"),
            self._headers,
            bytes(self._body),
        )
        self._queued.append((request, not self._parser.should_keep_alive()))

    def _check_head_size(self, size: int) -> None:
        if size > self._server.limits.header_bytes:
            self._error_status = self._error_status or HEAD_TOO_LARGE

    def _handle_next(self) -> None:
        """Handle the next queued request, or respond to an invalid one with its error."""
        if self._exchange is not None or self._transport is None:
            return
        if self._queued:
            self._stop_timer()
            self._server.request_count += 1
            request, self._close_after_response = self._queued.popleft()
            exchange = self._exchange = Exchange(self, request, self._server.request_count)
            self._server.handler.handle(exchange)
        elif self._error_status:
            self._close_after_response = True
            self._write(Response(self._error_status), with_body=True)
            self._transport.close()

    def _write(self, response: Response, *, with_body: bool) -> None:
        assert self._transport is not None  # noqa: S101
        headers = [("Content-Length", str(len(response.body))), *response.headers]
        if response.content_type:
            headers.append(("Content-Type", response.content_type))
        if self._server.closing or self._close_after_response:
            headers.append(("Connection", "close"))
        head = response_head(response.status, headers)
        message = head + response.body if with_body else head
        self.written += len(message)
        self._transport.write(message)

    def _start_timer(self, seconds: float) -> None:
        self._stop_timer()
        self._timer = self._server.loop.call_later(seconds, self._timed_out)

    def _timed_out(self) -> None:
        if self._transport is not None and self._exchange is None:
            self._transport.close()

    def _stop_timer(self) -> None:
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
