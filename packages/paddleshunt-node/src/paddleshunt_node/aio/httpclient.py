"""An HTTP/1.1 client for one address: kept connections, time-outs, and nothing sent twice.

httptools reads HTTP. A call that fails says whether the request provably never left.
"""

import asyncio
from collections.abc import Callable
from dataclasses import dataclass
from typing import final

import httptools

from paddleshunt_node.aio import clock
from paddleshunt_node.aio.httptext import request_head
from paddleshunt_node.aio.sharedbuffer import SharedBufferProtocol
from paddleshunt_node.aio.sockets import set_socket_options, split_address

CONNECT_TIMEOUT = 0.4
"""Seconds for a connection to be made; the first packet may be lost."""

MAX_RESPONSE_BYTES = 16 << 20
"""Bytes of an answer."""

FIRST_FINAL_STATUS = 200
"""Answers below it only announce others."""


class CallError(Exception):
    """A call got no answer."""


@final
class NotSentError(CallError):
    """The request never left: no connection could be made."""


@final
class WithdrawnError(CallError):
    """The request never left: it was not to be sent any more."""


@final
class NoResponseError(CallError):
    """The request may have been carried out, or may be yet."""


@final
@dataclass(frozen=True, slots=True)
class HttpResponse:
    """A whole answer; header names are in lower case."""

    status: int
    headers: dict[str, str]
    body: bytes


@final
class HttpClient:
    """Calls one host:port. Each call has a connection to itself; idle ones are kept."""

    def __init__(self, address: str) -> None:
        self._host, self._port = split_address(address)
        self._address = address
        self._idle: list[_Connection] = []
        self.connections = 0

    async def call(
        self,
        method: str,
        target: str,
        timeout: float,
        body: bytes = b"",
        headers: tuple[tuple[str, str], ...] = (),
        may_send: Callable[[], bool] | None = None,
    ) -> HttpResponse:
        """Send a request and return the answer; raises `CallError`.

        `may_send` is asked once a connection is there, with nothing awaited until the request is
        written.
        """
        connection = await self._connection()
        if may_send is not None and not may_send():
            self._idle.append(connection)
            raise WithdrawnError("not to be sent any more")
        head = request_head(
            method,
            target,
            [
                ("Host", self._address),
                ("Content-Length", str(len(body))),
                *((("Content-Type", "application/json"),) if body else ()),
                *headers,
            ],
        )
        began = clock.now()
        try:
            answer = await connection.exchange(head, body, timeout)
        except (TimeoutError, OSError) as error:
            connection.close()
            if isinstance(error, TimeoutError):
                self._drop_unproven(began)
            raise NoResponseError(str(error) or "timed out") from error
        except asyncio.CancelledError:
            connection.close()
            raise
        if connection.is_open:
            self._idle.append(connection)
        return answer

    def _drop_unproven(self, since: float) -> None:
        """Close idle connections without an answer `since`: they may be as silent as another."""
        unproven = [connection for connection in self._idle if connection.answered < since]
        self._idle = [connection for connection in self._idle if connection.answered >= since]
        for connection in unproven:
            connection.close()

    async def _connection(self) -> "_Connection":
        while self._idle:
            connection = self._idle.pop()
            if connection.is_open:
                return connection
        loop = asyncio.get_running_loop()
        try:
            async with asyncio.timeout(CONNECT_TIMEOUT):
                _, connection = await loop.create_connection(
                    lambda: _Connection(loop), self._host, self._port
                )
        except (TimeoutError, OSError) as error:
            raise NotSentError(str(error) or "timed out") from error
        self.connections += 1
        return connection


@final
class _Connection(SharedBufferProtocol):
    """One connection; httptools calls the methods named `on_...`."""

    def __init__(self, loop: asyncio.AbstractEventLoop) -> None:
        self._loop = loop
        self._parser = httptools.HttpResponseParser(self)
        self._transport: asyncio.Transport | None = None
        self._waiting: asyncio.Future[HttpResponse] | None = None
        self._headers: dict[str, str] = {}
        self._body = bytearray()
        self.answered = clock.now()
        """When it last brought an answer, or was made."""

    @property
    def is_open(self) -> bool:
        return self._transport is not None and not self._transport.is_closing()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        assert isinstance(transport, asyncio.Transport)  # noqa: S101
        self._transport = transport
        set_socket_options(transport, 2.0)

    def connection_lost(self, exc: Exception | None) -> None:
        self._transport = None
        self._fail(ConnectionResetError("connection ended"))

    def data_received(self, data: bytes) -> None:
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserError as error:
            self._break_off(OSError(f"unreadable answer: {error}"))

    async def exchange(self, head: bytes, body: bytes, timeout: float) -> HttpResponse:
        if self._transport is None:
            raise ConnectionResetError("connection ended")
        self._waiting = self._loop.create_future()
        self._transport.write(head + body)
        # asyncio.timeout would ask for the running loop, a system call, several times.
        timer = self._loop.call_later(timeout, self._fail, TimeoutError("timed out"))
        try:
            return await self._waiting
        finally:
            timer.cancel()

    def close(self) -> None:
        if self._transport is not None:
            self._transport.abort()

    def on_message_begin(self) -> None:
        self._headers = {}
        self._body.clear()

    def on_header(self, name: bytes, value: bytes) -> None:
        self._headers[name.decode("latin-1").lower()] = value.decode("latin-1")

    def on_body(self, body: bytes) -> None:
        self._body += body
        if len(self._body) > MAX_RESPONSE_BYTES:
            self._break_off(OSError("answer too long"))

    def on_message_complete(self) -> None:
        self.answered = clock.now()
        status = self._parser.get_status_code()
        if status < FIRST_FINAL_STATUS:
            return
        if not self._parser.should_keep_alive() and self._transport is not None:
            self._transport.close()
        if self._waiting is not None and not self._waiting.done():
            self._waiting.set_result(HttpResponse(status, self._headers, bytes(self._body)))

    def _break_off(self, error: Exception) -> None:
        self._fail(error)
        self.close()

    def _fail(self, error: Exception) -> None:
        if self._waiting is not None and not self._waiting.done():
            self._waiting.set_exception(error)
