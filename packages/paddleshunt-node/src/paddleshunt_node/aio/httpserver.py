"""An HTTP/1.1 server that holds requests and notices callers that leave.

httptools reads HTTP; a connection carries one request at a time.
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
"""Requests that may wait on one connection for the answer to an earlier one."""


@final
@dataclass(frozen=True, slots=True)
class Request:
    """A whole request; header names are in lower case."""

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
    """A whole answer."""

    status: int
    body: bytes = b""
    content_type: str = ""
    headers: list[tuple[str, str]] = field(default_factory=list)


@final
@dataclass(slots=True)
class ServerLimits:
    """Bounds on requests, which a new configuration may change: bytes, and seconds."""

    header_bytes: int = 16384
    body_bytes: int = 262144
    header_timeout: float = 3.0
    idle_timeout: float = 15.0


class Handler(Protocol):
    """Answers requests, at once or later, with `Exchange.respond`."""

    def handle(self, exchange: "Exchange") -> None:
        """Take a request."""

    def abandoned(self, exchange: "Exchange") -> None:
        """Take word that the caller left before it was answered."""


@final
class Exchange:
    """One request and the way to answer it."""

    def __init__(self, connection: "_Connection", request: Request, number: int) -> None:
        self._connection = connection
        self.request = request
        self.number = number

    def respond(self, response: Response) -> None:
        """Answer; a caller that has left is not told."""
        self._connection.respond(self, response)


@final
class HttpServer:
    """Listens at one address. Set `closing` to end connections with their next answer."""

    def __init__(self, handler: Handler, limits: ServerLimits | None = None) -> None:
        self.handler = handler
        self.limits = limits or ServerLimits()
        self.closing = False
        self.numbers = 0
        self.open: set[_Connection] = set()
        self.loop: asyncio.AbstractEventLoop
        self._server: asyncio.Server | None = None

    async def start(self, address: str) -> None:
        """Listen at host:port; raises `OSError`."""
        self.loop = asyncio.get_running_loop()
        self._server = await serve(lambda: _Connection(self), address)

    def stop_listening(self) -> None:
        """Take no new connections; those that are open go on."""
        if self._server is not None:
            self._server.close()

    def close_idle(self) -> None:
        """End the connections that carry no request now."""
        for connection in list(self.open):
            connection.close_if_idle()


@final
class _Connection(SharedBufferProtocol):
    """One connection; httptools calls the methods named `on_...`."""

    def __init__(self, server: HttpServer) -> None:
        self._server = server
        self._parser = httptools.HttpRequestParser(self)
        self._transport: asyncio.Transport | None = None
        self.written = 0
        """Bytes that were handed to it."""
        self._target = b""
        self._headers: dict[str, str] = {}
        self._head_bytes = 0
        self._unread_head = 0
        self._in_head = False
        self._body = bytearray()
        self._reading = False
        self._refused = 0
        self._last = False
        """Whether the connection ends with the answer that is due."""
        self._exchange: Exchange | None = None
        self._requests: deque[tuple[Request, bool]] = deque()
        """Whole requests that were not handed on yet, and whether each is the connection's last."""
        self._timer: asyncio.TimerHandle | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        assert isinstance(transport, asyncio.Transport)  # noqa: S101
        self._transport = transport
        set_socket_options(transport, self._server.limits.idle_timeout)
        self._server.open.add(self)
        self._wait_for(self._server.limits.header_timeout)

    def data_received(self, data: bytes) -> None:
        if self._refused:
            return
        try:
            self._parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade):
            self._refused = self._refused or BAD_REQUEST
        if self._in_head:
            self._unread_head += len(data)
            self._check_head(self._unread_head)
        if len(self._requests) > MAX_PIPELINED:
            self._refused = self._refused or BAD_REQUEST
        self._next()

    def eof_received(self) -> bool:
        return False

    @property
    def transport(self) -> asyncio.Transport | None:
        """Where it writes; None once it has ended."""
        return self._transport

    def connection_lost(self, exc: Exception | None) -> None:
        self._transport = None
        self._server.open.discard(self)
        self._stop_timer()
        self._requests.clear()
        exchange = self._exchange
        if exchange is not None:
            self._exchange = None
            self._server.handler.abandoned(exchange)

    def respond(self, exchange: Exchange, response: Response) -> None:
        if self._exchange is not exchange or self._transport is None:
            return
        self._exchange = None
        self._write(response, with_body=exchange.request.method != "HEAD")
        if self._last or self._server.closing:
            self._transport.close()
            return
        self._wait_for(self._server.limits.idle_timeout)
        self._next()

    def close_if_idle(self) -> None:
        idle = self._exchange is None and not self._requests and not self._reading
        if idle and self._transport is not None:
            self._transport.close()

    def on_message_begin(self) -> None:
        self._target = b""
        self._headers = {}
        self._head_bytes = 0
        self._unread_head = 0
        self._body.clear()
        self._reading = True
        self._in_head = True
        if self._exchange is None:
            self._wait_for(self._server.limits.header_timeout)

    def on_url(self, url: bytes) -> None:
        self._target += url
        self._head_bytes += len(url)

    def on_header(self, name: bytes, value: bytes) -> None:
        self._headers[name.decode("latin-1").lower()] = value.decode("latin-1")
        self._head_bytes += len(name) + len(value)
        self._check_head(self._head_bytes)

    def on_headers_complete(self) -> None:
        self._in_head = False

    def on_body(self, body: bytes) -> None:
        self._body += body
        if len(self._body) > self._server.limits.body_bytes:
            self._refused = self._refused or BODY_TOO_LARGE

    def on_message_complete(self) -> None:
        self._reading = False
        if self._refused:
            return
        request = Request(
            self._parser.get_method().decode("latin-1"),
            self._target.decode("latin-1"),
            self._headers,
            bytes(self._body),
        )
        self._requests.append((request, not self._parser.should_keep_alive()))

    def _check_head(self, size: int) -> None:
        if size > self._server.limits.header_bytes:
            self._refused = self._refused or HEAD_TOO_LARGE

    def _next(self) -> None:
        """Hand on the next whole request, or refuse what can't be read."""
        if self._exchange is not None or self._transport is None:
            return
        if self._requests:
            self._stop_timer()
            self._server.numbers += 1
            request, self._last = self._requests.popleft()
            exchange = self._exchange = Exchange(self, request, self._server.numbers)
            self._server.handler.handle(exchange)
        elif self._refused:
            self._last = True
            self._write(Response(self._refused), with_body=True)
            self._transport.close()

    def _write(self, response: Response, *, with_body: bool) -> None:
        assert self._transport is not None  # noqa: S101
        headers = [("Content-Length", str(len(response.body))), *response.headers]
        if response.content_type:
            headers.append(("Content-Type", response.content_type))
        if self._server.closing or self._last:
            headers.append(("Connection", "close"))
        head = response_head(response.status, headers)
        answer = head + response.body if with_body else head
        self.written += len(answer)
        self._transport.write(answer)

    def _wait_for(self, seconds: float) -> None:
        self._stop_timer()
        self._timer = self._server.loop.call_later(seconds, self._timed_out)

    def _timed_out(self) -> None:
        if self._transport is not None and self._exchange is None:
            self._transport.close()

    def _stop_timer(self) -> None:
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
