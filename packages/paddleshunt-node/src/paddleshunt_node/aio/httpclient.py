"""An HTTP/1.1 client for one address: kept connections, time-outs, and nothing sent twice.

h11 reads and writes HTTP. A call that fails says whether the request provably never left.
"""

import asyncio
from dataclasses import dataclass
from typing import final

import h11

from paddleshunt_node.aio.reading import ReadingProtocol
from paddleshunt_node.aio.sockets import prepare

CONNECT_TIMEOUT = 0.4
"""Seconds for a connection to be made; the first packet may be lost."""

MAX_ANSWER = 16 << 20
"""Bytes of an answer."""


class CallError(Exception):
    """A call got no answer."""


@final
class NotSentError(CallError):
    """The request never left: no connection could be made."""


@final
class NoAnswerError(CallError):
    """The request may have been carried out, or may be yet."""


@final
@dataclass(frozen=True, slots=True)
class Answer:
    """A whole answer; header names are in lower case."""

    status: int
    headers: dict[str, str]
    body: bytes


@final
class HttpClient:
    """Calls one host:port. Each call has a connection to itself; idle ones are kept."""

    def __init__(self, address: str) -> None:
        host, _, port = address.rpartition(":")
        self._host = host
        self._port = int(port)
        self._address = address
        self._idle: list[_Connection] = []
        self.calls = 0
        self.connections = 0

    async def call(
        self,
        method: str,
        target: str,
        timeout: float,
        body: bytes = b"",
        headers: tuple[tuple[str, str], ...] = (),
    ) -> Answer:
        """Send a request and return the answer; raises `CallError`."""
        self.calls += 1
        connection = await self._connection()
        request = h11.Request(
            method=method,
            target=target,
            headers=[
                ("Host", self._address),
                ("Content-Length", str(len(body))),
                *((("Content-Type", "application/json"),) if body else ()),
                *headers,
            ],
        )
        try:
            answer = await connection.exchange(request, body, timeout)
        except (TimeoutError, OSError, h11.ProtocolError) as error:
            connection.close()
            raise NoAnswerError(str(error) or "timed out") from error
        except asyncio.CancelledError:
            connection.close()
            raise
        if connection.reusable:
            self._idle.append(connection)
        return answer

    def close(self) -> None:
        """End the kept connections."""
        for connection in self._idle:
            connection.close()
        self._idle.clear()

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
class _Connection(ReadingProtocol):
    def __init__(self, loop: asyncio.AbstractEventLoop) -> None:
        self._loop = loop
        self._http = h11.Connection(h11.CLIENT)
        self._transport: asyncio.Transport | None = None
        self._waiting: asyncio.Future[Answer] | None = None
        self._head: h11.Response | None = None
        self._body = bytearray()

    @property
    def is_open(self) -> bool:
        return self._transport is not None and not self._transport.is_closing()

    @property
    def reusable(self) -> bool:
        return self.is_open and self._http.our_state is h11.IDLE

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        assert isinstance(transport, asyncio.Transport)  # noqa: S101
        self._transport = transport
        prepare(transport, 2.0)

    def connection_lost(self, exc: Exception | None) -> None:
        self._transport = None
        self._fail(ConnectionResetError("connection ended"))

    def data_received(self, data: bytes) -> None:
        self._http.receive_data(data)
        try:
            while self._take(self._http.next_event()):
                pass
        except h11.RemoteProtocolError as error:
            self._fail(error)

    async def exchange(self, request: h11.Request, body: bytes, timeout: float) -> Answer:
        if self._transport is None:
            raise ConnectionResetError("connection ended")
        self._waiting = self._loop.create_future()
        parts = [self._http.send(request)]
        if body:
            parts.append(self._http.send(h11.Data(data=body)))
        parts.append(self._http.send(h11.EndOfMessage()))
        self._transport.write(b"".join(part for part in parts if part))
        # asyncio.timeout would ask for the running loop, a system call, several times.
        timer = self._loop.call_later(timeout, self._fail, TimeoutError("timed out"))
        try:
            return await self._waiting
        finally:
            timer.cancel()

    def close(self) -> None:
        if self._transport is not None:
            self._transport.abort()

    def _take(self, event: object) -> bool:
        if isinstance(event, h11.Response):
            self._head = event
        elif isinstance(event, h11.Data):
            self._body += event.data
            if len(self._body) > MAX_ANSWER:
                self._fail(OSError("answer too long"))
                return False
        elif isinstance(event, h11.EndOfMessage):
            self._finish()
            return False
        else:
            return False
        return True

    def _finish(self) -> None:
        head = self._head
        assert head is not None  # noqa: S101
        headers = {name.decode("latin-1"): value.decode("latin-1") for name, value in head.headers}
        answer = Answer(head.status_code, headers, bytes(self._body))
        self._head = None
        self._body.clear()
        if self._http.our_state is h11.DONE and self._http.their_state is h11.DONE:
            self._http.start_next_cycle()
        elif self._transport is not None:
            self._transport.close()
        if self._waiting is not None and not self._waiting.done():
            self._waiting.set_result(answer)

    def _fail(self, error: Exception) -> None:
        if self._waiting is not None and not self._waiting.done():
            self._waiting.set_exception(error)
