"""Which addresses are dialled, and when."""

import asyncio

import pytest
from paddleshunt_core.leased.refusals import Refusal
from paddleshunt_core.leased.wire import Frame, Hello
from paddleshunt_node.aio import dialer
from paddleshunt_node.aio.dialer import Dialer
from paddleshunt_node.aio.framing import PeerLink
from paddleshunt_platform.standins.ports import free_port


class Handler:
    """Notes which connections were made."""

    def __init__(self) -> None:
        self.made = asyncio.Event()

    def connection_opened(self, link: PeerLink) -> None:
        self.made.set()

    def hello_received(self, link: PeerLink, hello: Hello) -> None:
        pass

    def frame_received(self, link: PeerLink, frame: Frame) -> None:
        pass

    def message_refused(self, link: PeerLink, refusal: Refusal) -> None:
        pass

    def connection_closed(self, link: PeerLink) -> None:
        pass


async def _listen(port: int) -> asyncio.Server:
    return await asyncio.start_server(lambda *_: None, "127.0.0.1", port)


def test_an_address_just_heard_of_is_dialled_without_waiting_for_a_round() -> None:
    async def scene() -> None:
        port = free_port()
        server = await _listen(port)
        handler = Handler()
        # No round runs here: only the word of the address can bring the connection.
        Dialer(handler, "own", 1.0, lambda _: True).want(0.0, f"127.0.0.1:{port}")
        await asyncio.wait_for(handler.made.wait(), 10)
        server.close()

    asyncio.run(scene())


def test_an_address_that_may_not_be_dialled_is_left_alone() -> None:
    async def scene() -> None:
        port = free_port()
        server = await _listen(port)
        handler = Handler()
        Dialer(handler, "own", 1.0, lambda _: False).want(0.0, f"127.0.0.1:{port}")
        await asyncio.sleep(0.1)
        assert not handler.made.is_set()
        server.close()

    asyncio.run(scene())


@pytest.mark.parametrize(
    ("connected", "missing", "pause"),
    [
        (False, True, dialer.LONELY_RETRY_SECONDS),
        (True, True, dialer.RETRY_SECONDS),
        (True, False, dialer.CALM_SECONDS),
    ],
    ids=["lonely", "one_missing", "all_connected"],
)
def test_rounds_are_short_only_while_connections_are_missing(
    connected: bool, missing: bool, pause: float, monkeypatch: pytest.MonkeyPatch
) -> None:
    pauses: list[float] = []

    async def sleep(seconds: float) -> None:
        pauses.append(seconds)
        raise asyncio.CancelledError

    async def scene() -> None:
        port = free_port()
        server = await _listen(port)
        handler = Handler()
        keeper = Dialer(handler, "own", 1.0, lambda _: True)
        if connected:
            keeper.want(0.0, f"127.0.0.1:{port}")
            await asyncio.wait_for(handler.made.wait(), 10)
        if missing:
            keeper.seeds({f"127.0.0.1:{free_port()}"})
        monkeypatch.setattr(dialer.asyncio, "sleep", sleep)
        with pytest.raises(asyncio.CancelledError):
            await keeper.run()
        server.close()

    asyncio.run(scene())
    assert pauses == [pause]


def test_a_connection_that_had_stood_is_dialled_again_as_soon_as_it_ends(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(dialer, "RETRY_SECONDS", 0.05)

    async def scene() -> None:
        port = free_port()
        writers: list[asyncio.StreamWriter] = []
        server = await asyncio.start_server(lambda _, w: writers.append(w), "127.0.0.1", port)
        handler = Handler()
        # No round runs here either.
        found = Dialer(handler, "own", 1.0, lambda _: True)
        monkeypatch.setattr(handler, "connection_closed", found.lost)
        found.want(0.0, f"127.0.0.1:{port}")
        await asyncio.wait_for(handler.made.wait(), 10)
        await asyncio.sleep(0.1)
        handler.made.clear()
        writers[0].close()
        await asyncio.wait_for(handler.made.wait(), 10)
        server.close()

    asyncio.run(scene())
