"""The loop asks the kernel in every other round, and nothing that has come is passed over."""

import asyncio
import selectors
import socket
from collections.abc import Iterator

import pytest
from paddleshunt_node.aio.loop import call_after_pending_io, new_loop


@pytest.fixture
def loop() -> Iterator[asyncio.AbstractEventLoop]:
    made = new_loop()
    yield made
    made.close()


@pytest.fixture
def asked(monkeypatch: pytest.MonkeyPatch) -> list[float | None]:
    """Time-outs with which the kernel was asked."""
    seen: list[float | None] = []
    select = selectors.DefaultSelector.select

    def noting(self: selectors.DefaultSelector, timeout: float | None = None) -> object:
        seen.append(timeout)
        return select(self, timeout)

    monkeypatch.setattr(selectors.DefaultSelector, "select", noting)
    return seen


def test_rounds_that_need_not_wait_ask_by_turns(
    loop: asyncio.AbstractEventLoop, asked: list[float | None]
) -> None:
    async def twenty_rounds() -> None:
        for _ in range(20):
            await asyncio.sleep(0)

    loop.run_until_complete(twenty_rounds())
    assert 9 <= len(asked) <= 12


def test_a_loop_with_much_to_do_still_reads(loop: asyncio.AbstractEventLoop) -> None:
    async def read_while_busy() -> bytes:
        here, there = socket.socketpair()
        there.setblocking(False)
        here.sendall(b"word")
        reading = asyncio.ensure_future(loop.sock_recv(there, 10))
        for _ in range(4):
            await asyncio.sleep(0)
        assert reading.done()
        here.close()
        there.close()
        return reading.result()

    assert loop.run_until_complete(read_while_busy()) == b"word"


class _Peer(asyncio.Protocol):
    def __init__(self) -> None:
        self.ended = False

    def connection_lost(self, exc: Exception | None) -> None:
        self.ended = True


@pytest.mark.parametrize("before", [0, 1, 2, 3], ids=lambda rounds: f"{rounds}-rounds-before")
@pytest.mark.parametrize("ended_by_timer", [False, True], ids=["callback", "timer"])
@pytest.mark.parametrize("last_word", [b"", b"word"], ids=["silently", "after-a-word"])
def test_an_ended_connection_is_known_first(
    loop: asyncio.AbstractEventLoop, before: int, ended_by_timer: bool, last_word: bytes
) -> None:
    async def ended_when_called() -> bool:
        here, there = socket.socketpair()
        there.setblocking(False)
        _, peer = await loop.create_connection(_Peer, sock=there)
        for _ in range(before):
            await asyncio.sleep(0)
        called: asyncio.Future[bool] = loop.create_future()

        def end() -> None:
            here.sendall(last_word)
            here.close()
            call_after_pending_io(loop, lambda: called.set_result(peer.ended))

        if ended_by_timer:
            loop.call_later(0.001, end)
        else:
            loop.call_soon(end)
        return await called

    assert loop.run_until_complete(ended_when_called())
