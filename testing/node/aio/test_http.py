"""The HTTP server and client together, over loopback."""

import asyncio
from collections.abc import Awaitable, Callable

import pytest
from paddleshunt_node.aio.httpclient import HttpClient, NoResponseError, NotSentError
from paddleshunt_node.aio.httpserver import Exchange, HttpServer, Response, ServerLimits
from paddleshunt_platform.standins.ports import free_port


class Handler:
    """Echoes bodies, and holds what goes to `/held`."""

    def __init__(self) -> None:
        self.held: list[Exchange] = []
        self.left: list[Exchange] = []

    def handle(self, exchange: Exchange) -> None:
        if exchange.request.path == "/held":
            self.held.append(exchange)
            return
        exchange.respond(Response(200, exchange.request.body, "text/plain"))

    def abandoned(self, exchange: Exchange) -> None:
        self.left.append(exchange)


def play(
    scene: Callable[[HttpServer, Handler, str], Awaitable[None]],
    limits: ServerLimits | None = None,
) -> None:
    async def run() -> None:
        handler = Handler()
        server = HttpServer(handler, limits)
        port = free_port()
        await server.start(f"127.0.0.1:{port}")
        await scene(server, handler, f"127.0.0.1:{port}")
        server.stop_listening()

    asyncio.run(asyncio.wait_for(run(), 20))


async def answer_to(address: str, *parts: bytes) -> bytes:
    """Return all that is answered to raw bytes until the server ends the connection."""
    host, _, port = address.rpartition(":")
    reader, writer = await asyncio.open_connection(host, int(port))
    for part in parts:
        writer.write(part)
    answer = await reader.read()
    writer.close()
    return answer


async def until(condition: Callable[[], bool]) -> None:
    while not condition():
        await asyncio.sleep(0.01)


def test_calls_reuse_a_connection() -> None:
    async def scene(_server: HttpServer, _handler: Handler, address: str) -> None:
        client = HttpClient(address)
        for body in (b"one", b"two"):
            assert (await client.call("POST", "/", 5.0, body)).body == body
        assert client.connections == 1

    play(scene)


def test_a_held_request_is_answered_later() -> None:
    async def scene(_server: HttpServer, handler: Handler, address: str) -> None:
        call = asyncio.ensure_future(HttpClient(address).call("GET", "/held", 5.0))
        await until(lambda: bool(handler.held))
        handler.held[0].respond(Response(503, headers=[("Retry-After", "2")]))
        answer = await call
        assert (answer.status, answer.headers["retry-after"]) == (503, "2")

    play(scene)


def test_a_caller_that_leaves_is_noticed_while_it_waits() -> None:
    async def scene(_server: HttpServer, handler: Handler, address: str) -> None:
        with pytest.raises(NoResponseError):
            await HttpClient(address).call("GET", "/held", 0.1)
        await until(lambda: bool(handler.left))
        handler.held[0].respond(Response(200))

    play(scene)


def test_nothing_listens() -> None:
    async def run() -> None:
        with pytest.raises(NotSentError):
            await HttpClient(f"127.0.0.1:{free_port()}").call("GET", "/", 1.0)

    asyncio.run(run())


def test_a_body_over_the_limit_is_refused() -> None:
    async def scene(_server: HttpServer, _handler: Handler, address: str) -> None:
        answer = await HttpClient(address).call("POST", "/", 5.0, b"x" * 2000)
        assert answer.status == 413

    play(scene, ServerLimits(body_bytes=1000))


def test_a_connection_without_a_request_is_ended() -> None:
    async def scene(_server: HttpServer, _handler: Handler, address: str) -> None:
        assert await answer_to(address) == b""

    play(scene, ServerLimits(header_timeout=0.1))


def test_what_is_no_http_is_refused() -> None:
    async def scene(_server: HttpServer, _handler: Handler, address: str) -> None:
        assert (await answer_to(address, b"nonsense\r\n\r\n")).startswith(b"HTTP/1.1 400")

    play(scene)


def test_a_closing_server_ends_connections_with_the_answer() -> None:
    async def scene(server: HttpServer, _handler: Handler, address: str) -> None:
        server.closing = True
        client = HttpClient(address)
        answer = await client.call("GET", "/", 5.0)
        assert answer.headers["connection"] == "close"
        await client.call("GET", "/", 5.0)
        assert client.connections == 2

    play(scene)


def test_requests_sent_together_are_answered_in_order() -> None:
    async def scene(_server: HttpServer, _handler: Handler, address: str) -> None:
        first = b"POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\n\r\none"
        last = b"POST / HTTP/1.1\r\nHost: h\r\nConnection: close\r\nContent-Length: 3\r\n\r\ntwo"
        answer = await answer_to(address, first + last)
        assert answer.index(b"\r\n\r\none") < answer.index(b"\r\n\r\ntwo")
        assert answer.count(b"Connection: close") == 1

    play(scene)


def test_a_body_in_chunks_is_read_whole() -> None:
    async def scene(_server: HttpServer, _handler: Handler, address: str) -> None:
        answer = await answer_to(
            address,
            b"POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n",
            b"Connection: close\r\n\r\n2\r\non\r\n1\r\ne\r\n0\r\n\r\n",
        )
        assert answer.endswith(b"\r\n\r\none")

    play(scene)


def test_an_answer_to_head_has_no_body() -> None:
    async def scene(_server: HttpServer, _handler: Handler, address: str) -> None:
        answer = await answer_to(
            address,
            b"HEAD / HTTP/1.1\r\nHost: h\r\nContent-Length: 1\r\n",
            b"Connection: close\r\n\r\nx",
        )
        assert b"Content-Length: 1" in answer
        assert answer.endswith(b"\r\n\r\n")

    play(scene)


@pytest.mark.parametrize("ended", [True, False], ids=["whole", "endless"])
def test_a_head_over_the_limit_is_refused(ended: bool) -> None:
    async def scene(_server: HttpServer, _handler: Handler, address: str) -> None:
        head = b"GET / HTTP/1.1\r\nHost: h\r\nX-Long: " + b"x" * 3000
        answer = await answer_to(address, head, b"\r\n\r\n" if ended else b"")
        assert answer.startswith(b"HTTP/1.1 431")

    play(scene, ServerLimits(header_bytes=1000))


def test_one_silent_connection_is_the_last_that_is_tried(monkeypatch: pytest.MonkeyPatch) -> None:
    """Idle connections of the same age would time out one by one."""

    async def scene(server: HttpServer, _handler: Handler, address: str) -> None:
        client = HttpClient(address)
        await asyncio.gather(*(client.call("POST", "/", 5.0, b"x") for _ in range(6)))
        assert client.connections == 6
        for connection in server.open:
            monkeypatch.setattr(connection, "data_received", lambda data: None)
        with pytest.raises(NoResponseError):
            await client.call("POST", "/", 0.2, b"lost")
        assert (await client.call("POST", "/", 0.2, b"found")).body == b"found"

    play(scene)
