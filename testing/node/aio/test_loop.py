"""Tests that the event loop skips every other poll, and misses no I/O."""

import asyncio
import selectors
import socket
from collections.abc import Iterator

import pytest
from paddleshunt_node.aio.loop import call_after_pending_io, new_loop


@pytest.fixture
def loop() -> Iterator[asyncio.AbstractEventLoop]:
    event_loop = new_loop()
    yield event_loop
    event_loop.close()


@pytest.fixture
def polls(monkeypatch: pytest.MonkeyPatch) -> list[float | None]:
    """Time-outs of the polls."""
    timeouts: list[float | None] = []
    select = selectors.DefaultSelector.select

    def recording_select(self: selectors.DefaultSelector, timeout: float | None = None) -> object:
        timeouts.append(timeout)
        return select(self, timeout)

    monkeypatch.setattr(selectors.DefaultSelector, "select", recording_select)
    return timeouts


def test_every_other_non_blocking_poll_is_skipped(
    loop: asyncio.AbstractEventLoop, polls: list[float | None]
) -> None:
    async def twenty_iterations() -> None:
        for _ in range(20):
            await asyncio.sleep(0)

    loop.run_until_complete(twenty_iterations())
    assert 9 <= len(polls) <= 12


def test_busy_loop_still_reads(loop: asyncio.AbstractEventLoop) -> None:
    async def read_while_busy() -> bytes:
        local, remote = socket.socketpair()
        remote.setblocking(False)
        local.sendall(b"word")
        reading = asyncio.ensure_future(loop.sock_recv(remote, 10))
        for _ in range(4):
            await asyncio.sleep(0)
        assert reading.done()
        local.close()
        remote.close()
        return reading.result()

    assert loop.run_until_complete(read_while_busy()) == b"word"


class _Peer(asyncio.Protocol):
    def __init__(self) -> None:
        self.ended = False

    def connection_lost(self, exc: Exception | None) -> None:
        self.ended = True


@pytest.mark.parametrize("before", [0, 1, 2, 3], ids=lambda count: f"{count}-iterations-before")
@pytest.mark.parametrize("ended_by_timer", [False, True], ids=["callback", "timer"])
@pytest.mark.parametrize("last_data", [b"", b"word"], ids=["without-data", "after-data"])
def test_disconnect_is_handled_before_the_callback(
    loop: asyncio.AbstractEventLoop, before: int, ended_by_timer: bool, last_data: bytes
) -> None:
    async def ended_when_called() -> bool:
        local, remote = socket.socketpair()
        remote.setblocking(False)
        _, peer = await loop.create_connection(_Peer, sock=remote)
        for _ in range(before):
            await asyncio.sleep(0)
        called: asyncio.Future[bool] = loop.create_future()

        def end() -> None:
            local.sendall(last_data)
            local.close()
            call_after_pending_io(loop, lambda: called.set_result(peer.ended))

        if ended_by_timer:
            loop.call_later(0.001, end)
        else:
            loop.call_soon(end)
        return await called

    assert loop.run_until_complete(ended_when_called())
