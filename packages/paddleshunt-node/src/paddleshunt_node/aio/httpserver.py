"""An HTTP/1.1 server that holds requests and notices callers that leave.

h11 reads and writes HTTP; a connection carries one request at a time.
"""

import asyncio
from dataclasses import dataclass, field
from typing import Protocol, final

import h11

from paddleshunt_node.aio.reading import ReadingProtocol
from paddleshunt_node.aio.sockets import prepare


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

    async def start(self, host: str, port: int) -> None:
        """Listen; raises `OSError`."""
        loop = self.loop = asyncio.get_running_loop()
        self._server = await loop.create_server(lambda: _Connection(self), host, port, backlog=1024)

    def stop_listening(self) -> None:
        """Take no new connections; those that are open go on."""
        if self._server is not None:
            self._server.close()

    def close_idle(self) -> None:
        """End the connections that carry no request now."""
        for connection in list(self.open):
            connection.close_if_idle()


@final
class _Connection(ReadingProtocol):
    def __init__(self, server: HttpServer) -> None:
        self._server = server
        self._http = h11.Connection(
            h11.SERVER, max_incomplete_event_size=server.limits.header_bytes
        )
        self._transport: asyncio.Transport | None = None
        self._head: h11.Request | None = None
        self._body = bytearray()
        self._exchange: Exchange | None = None
        self._timer: asyncio.TimerHandle | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        assert isinstance(transport, asyncio.Transport)  # noqa: S101
        self._transport = transport
        prepare(transport, self._server.limits.idle_timeout)
        self._server.open.add(self)
        self._wait_for(self._server.limits.header_timeout)

    def data_received(self, data: bytes) -> None:
        self._http.receive_data(data)
        if self._exchange is None:
            self._read()

    def eof_received(self) -> bool:
        return False

    def connection_lost(self, exc: Exception | None) -> None:
        self._transport = None
        self._server.open.discard(self)
        self._stop_timer()
        exchange = self._exchange
        if exchange is not None:
            self._exchange = None
            self._server.handler.abandoned(exchange)

    def respond(self, exchange: Exchange, response: Response) -> None:
        if self._exchange is not exchange or self._transport is None:
            return
        self._exchange = None
        self._write(response)
        self._next()

    def close_if_idle(self) -> None:
        if self._exchange is None and self._head is None and self._transport is not None:
            self._transport.close()

    def _read(self) -> None:
        try:
            while self._exchange is None and self._take(self._http.next_event()):
                pass
        except h11.RemoteProtocolError as error:
            self._reject(error.error_status_hint)

    def _take(self, event: object) -> bool:
        """Take one event of the parser; return whether to go on."""
        if isinstance(event, h11.Request):
            self._head = event
            self._wait_for(self._server.limits.header_timeout)
        elif isinstance(event, h11.Data):
            self._body += event.data
            if len(self._body) > self._server.limits.body_bytes:
                self._reject(413)
                return False
        elif isinstance(event, h11.EndOfMessage):
            self._begin()
        else:
            return False
        return True

    def _begin(self) -> None:
        head = self._head
        assert head is not None  # noqa: S101
        self._stop_timer()
        headers = {name.decode("latin-1"): value.decode("latin-1") for name, value in head.headers}
        request = Request(
            head.method.decode("latin-1"),
            head.target.decode("latin-1"),
            headers,
            bytes(self._body),
        )
        self._body.clear()
        self._server.numbers += 1
        exchange = self._exchange = Exchange(self, request, self._server.numbers)
        self._server.handler.handle(exchange)

    def _write(self, response: Response) -> None:
        assert self._transport is not None  # noqa: S101
        headers = [("Content-Length", str(len(response.body))), *response.headers]
        if response.content_type:
            headers.append(("Content-Type", response.content_type))
        if self._server.closing:
            headers.append(("Connection", "close"))
        head = h11.Response(status_code=response.status, headers=headers)
        parts = [self._http.send(head)]
        if response.body:
            parts.append(self._http.send(h11.Data(data=response.body)))
        parts.append(self._http.send(h11.EndOfMessage()))
        self._transport.write(b"".join(part for part in parts if part))

    def _next(self) -> None:
        """Make ready for the next request, or end the connection."""
        if self._transport is None:
            return
        self._head = None
        if self._http.our_state is h11.MUST_CLOSE or self._http.our_state is h11.ERROR:
            self._transport.close()
            return
        try:
            self._http.start_next_cycle()
        except h11.LocalProtocolError:
            self._transport.close()
            return
        self._wait_for(self._server.limits.idle_timeout)
        self._read()

    def _reject(self, status: int) -> None:
        """Answer a request that can't be read, and end the connection."""
        if self._transport is None:
            return
        if self._http.our_state in (h11.IDLE, h11.SEND_RESPONSE):
            self._write(Response(status, headers=[("Connection", "close")]))
        self._transport.close()

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
