"""An HTTP/1.1 client for one address, with a connection pool, time-outs and no retries.

httptools parses the responses. The class of an error shows whether the request may have been sent.
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
"""Seconds for a connection to be established."""

MAX_RESPONSE_BYTES = 16 << 20
"""Maximum size of a response body."""

FIRST_FINAL_STATUS = 200
"""Lowest status of a final response; lower ones are interim."""


class CallError(Exception):
    """A call got no response."""


@final
class NotSentError(CallError):
    """The request was not sent, as no connection could be established."""


@final
class WithdrawnError(CallError):
    """The request was not sent, as `may_send` returned False."""


@final
class NoResponseError(CallError):
    """The request was sent without a valid response; it may have been processed, or may yet be."""


@final
@dataclass(frozen=True, slots=True)
class HttpResponse:
    """A complete response; header names are in lower case."""

    status: int
    headers: dict[str, str]
    body: bytes


@final
class HttpClient:
    """Client of one host:port. Each call uses a connection exclusively; idle ones are reused."""

    def __init__(self, address: str) -> None:
        self._host, self._port = split_address(address)
        self._address = address
        self._idle: list[_Connection] = []
        self.connection_count = 0
        """Number of connections made so far."""

    async def call(
        self,
        method: str,
        target: str,
        timeout: float,
        body: bytes = b"",
        headers: tuple[tuple[str, str], ...] = (),
        may_send: Callable[[], bool] | None = None,
    ) -> HttpResponse:
        """Send a request and return the response; raises `CallError`.

        `may_send` is called once a connection is open; the request is written without awaiting
        anything in between.
        """
        connection = await self._take_connection()
        if may_send is not None and not may_send():
            self._idle.append(connection)
            raise WithdrawnError("request withdrawn before it was sent")
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
            response = await connection.exchange(head, body, timeout)
        except (TimeoutError, OSError) as error:
            connection.close()
            if isinstance(error, TimeoutError):
                self._close_unproven(began)
            raise NoResponseError(str(error) or "timed out") from error
        except asyncio.CancelledError:
            connection.close()
            raise
        if connection.is_open:
            self._idle.append(connection)
        return response

    def _close_unproven(self, since: float) -> None:
        """Close idle connections without a response since `since`, as they may be dead too."""
        unproven = [connection for connection in self._idle if connection.last_response < since]
        self._idle = [connection for connection in self._idle if connection.last_response >= since]
        for connection in unproven:
            connection.close()

    async def _take_connection(self) -> "_Connection":
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
        self.connection_count += 1
        return connection


@final
class _Connection(SharedBufferProtocol):
    """One pooled connection; httptools calls the `on_*` methods."""

    def __init__(self, loop: asyncio.AbstractEventLoop) -> None:
        self._loop = loop
        self._parser = httptools.HttpResponseParser(self)
        self._transport: asyncio.Transport | None = None
        self._pending: asyncio.Future[HttpResponse] | None = None
        self._headers: dict[str, str] = {}
        self._body = bytearray()
        self.last_response = clock.now()
        """When the last response arrived, or the connection was made."""

    @property
    def is_open(self) -> bool:
        return self._transport is not None and not self._transport.is_closing()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        assert isinstance(transport, asyncio.Transport)  # noqa: S101
        self._transport = transport
        set_socket_options(transport, 2.0)

    def connection_lost(self, exc: Exception | None) -> None:
        self._transport = None
        self._fail(ConnectionResetError("connection closed"))

    def data_received(self, data: bytes) -> None:
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserError as error:
            self._abort(OSError(f"invalid HTTP response: {error}"))

    async def exchange(self, head: bytes, body: bytes, timeout: float) -> HttpResponse:
        if self._transport is None:
            raise ConnectionResetError("connection closed")
        self._pending = self._loop.create_future()
        self._transport.write(head + body)
        # Cheaper than asyncio.timeout, which looks up the running loop several times.
        timer = self._loop.call_later(timeout, self._fail, TimeoutError("timed out"))
        try:
            return await self._pending
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
            self._abort(OSError("response body too long"))

    def on_message_complete(self) -> None:
        self.last_response = clock.now()
        status = self._parser.get_status_code()
        if status < FIRST_FINAL_STATUS:
            return
        if not self._parser.should_keep_alive() and self._transport is not None:
            self._transport.close()
        if self._pending is not None and not self._pending.done():
            self._pending.set_result(HttpResponse(status, self._headers, bytes(self._body)))

    def _abort(self, error: Exception) -> None:
        self._fail(error)
        self.close()

    def _fail(self, error: Exception) -> None:
        if self._pending is not None and not self._pending.done():
            self._pending.set_exception(error)
