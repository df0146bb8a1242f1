"""Tests for the HTTP server and client over loopback."""

import asyncio
from collections.abc import Awaitable, Callable

import pytest
from paddleshunt_node.aio.httpclient import HttpClient, NoResponseError, NotSentError
from paddleshunt_node.aio.httpserver import Exchange, HttpServer, Response, ServerLimits
from paddleshunt_platform.standins.ports import free_port


class Handler:
    """Echoes bodies, and defers the responses of `/held`."""

    def __init__(self) -> None:
        self.held: list[Exchange] = []
        self.abandoned_exchanges: list[Exchange] = []

    def handle(self, exchange: Exchange) -> None:
        if exchange.request.path == "/held":
            self.held.append(exchange)
            return
        exchange.respond(Response(200, exchange.request.body, "text/plain"))

    def abandoned(self, exchange: Exchange) -> None:
        self.abandoned_exchanges.append(exchange)


def run_scenario(
    scenario: Callable[[HttpServer, Handler, str], Awaitable[None]],
    limits: ServerLimits | None = None,
) -> None:
    async def run() -> None:
        handler = Handler()
        server = HttpServer(handler, limits)
        port = free_port()
        await server.start(f"127.0.0.1:{port}")
        await scenario(server, handler, f"127.0.0.1:{port}")
        server.stop_listening()

    asyncio.run(asyncio.wait_for(run(), 20))


async def raw_response(address: str, *parts: bytes) -> bytes:
    """Send raw bytes, and return all that the server sends until it closes the connection."""
    host, _, port = address.rpartition(":")
    reader, writer = await asyncio.open_connection(host, int(port))
    for part in parts:
        writer.write(part)
    response = await reader.read()
    writer.close()
    return response


async def until(condition: Callable[[], bool]) -> None:
    while not condition():
        await asyncio.sleep(0.01)


def test_calls_reuse_connection() -> None:
    async def scenario(_server: HttpServer, _handler: Handler, address: str) -> None:
        client = HttpClient(address)
        for body in (b"one", b"two"):
            assert (await client.call("POST", "/", 5.0, body)).body == body
        assert client.connection_count == 1

    run_scenario(scenario)


def test_deferred_response() -> None:
    async def scenario(_server: HttpServer, handler: Handler, address: str) -> None:
        call = asyncio.ensure_future(HttpClient(address).call("GET", "/held", 5.0))
        await until(lambda: bool(handler.held))
        handler.held[0].respond(Response(503, headers=[("Retry-After", "2")]))
        response = await call
        assert (response.status, response.headers["retry-after"]) == (503, "2")

    run_scenario(scenario)


def test_disconnect_before_the_response_is_reported() -> None:
    async def scenario(_server: HttpServer, handler: Handler, address: str) -> None:
        with pytest.raises(NoResponseError):
            await HttpClient(address).call("GET", "/held", 0.1)
        await until(lambda: bool(handler.abandoned_exchanges))
        handler.held[0].respond(Response(200))

    run_scenario(scenario)


def test_refused_connection_is_not_sent_error() -> None:
    async def run() -> None:
        with pytest.raises(NotSentError):
            await HttpClient(f"127.0.0.1:{free_port()}").call("GET", "/", 1.0)

    asyncio.run(run())


def test_oversized_body_is_rejected() -> None:
    async def scenario(_server: HttpServer, _handler: Handler, address: str) -> None:
        response = await HttpClient(address).call("POST", "/", 5.0, b"x" * 2000)
        assert response.status == 413

    run_scenario(scenario, ServerLimits(body_bytes=1000))


def test_connection_without_request_times_out() -> None:
    async def scenario(_server: HttpServer, _handler: Handler, address: str) -> None:
        assert await raw_response(address) == b""

    run_scenario(scenario, ServerLimits(header_timeout=0.1))


def test_invalid_http_is_rejected() -> None:
    async def scenario(_server: HttpServer, _handler: Handler, address: str) -> None:
        assert (await raw_response(address, b"nonsense\r\n\r\n")).startswith(b"HTTP/1.1 400")

    run_scenario(scenario)


def test_closing_server_closes_connections_after_the_response() -> None:
    async def scenario(server: HttpServer, _handler: Handler, address: str) -> None:
        server.closing = True
        client = HttpClient(address)
        response = await client.call("GET", "/", 5.0)
        assert response.headers["connection"] == "close"
        await client.call("GET", "/", 5.0)
        assert client.connection_count == 2

    run_scenario(scenario)


def test_pipelined_requests_are_answered_in_order() -> None:
    async def scenario(_server: HttpServer, _handler: Handler, address: str) -> None:
        first = b"POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\n\r\none"
        last = b"POST / HTTP/1.1\r\nHost: h\r\nConnection: close\r\nContent-Length: 3\r\n\r\ntwo"
        response = await raw_response(address, first + last)
        assert response.index(b"\r\n\r\none") < response.index(b"\r\n\r\ntwo")
        assert response.count(b"Connection: close") == 1

    run_scenario(scenario)


def test_chunked_body() -> None:
    async def scenario(_server: HttpServer, _handler: Handler, address: str) -> None:
        response = await raw_response(
            address,
            b"POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n",
            b"Connection: close\r\n\r\n2\r\non\r\n1\r\ne\r\n0\r\n\r\n",
        )
        assert response.endswith(b"\r\n\r\none")

    run_scenario(scenario)


def test_response_to_head_has_no_body() -> None:
    async def scenario(_server: HttpServer, _handler: Handler, address: str) -> None:
        response = await raw_response(
            address,
            b"HEAD / HTTP/1.1\r\nHost: h\r\nContent-Length: 1\r\n",
            b"Connection: close\r\n\r\nx",
        )
        assert b"Content-Length: 1" in response
        assert response.endswith(b"\r\n\r\n")

    run_scenario(scenario)


@pytest.mark.parametrize("complete", [True, False], ids=["complete", "incomplete"])
def test_oversized_head_is_rejected(complete: bool) -> None:
    async def scenario(_server: HttpServer, _handler: Handler, address: str) -> None:
        head = b"GET / HTTP/1.1\r\nHost: h\r\nX-Long: " + b"x" * 3000
        response = await raw_response(address, head, b"\r\n\r\n" if complete else b"")
        assert response.startswith(b"HTTP/1.1 431")

    run_scenario(scenario, ServerLimits(header_bytes=1000))


def test_timeout_closes_idle_connections(monkeypatch: pytest.MonkeyPatch) -> None:
    """Otherwise each later call could time out on another dead connection."""

    async def scenario(server: HttpServer, _handler: Handler, address: str) -> None:
        client = HttpClient(address)
        await asyncio.gather(*(client.call("POST", "/", 5.0, b"x") for _ in range(6)))
        assert client.connection_count == 6
        for connection in server.open_connections:
            monkeypatch.setattr(connection, "data_received", lambda data: None)
        with pytest.raises(NoResponseError):
            await client.call("POST", "/", 0.2, b"lost")
        assert (await client.call("POST", "/", 0.2, b"found")).body == b"found"

    run_scenario(scenario)
