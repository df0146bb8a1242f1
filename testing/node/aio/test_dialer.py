"""Tests for `Dialer`: which addresses are dialled, and when."""

import asyncio

import pytest
from paddleshunt_core.leased.refusals import Refusal
from paddleshunt_core.leased.wire import Frame, Hello
from paddleshunt_node.aio import dialer
from paddleshunt_node.aio.dialer import Dialer
from paddleshunt_node.aio.framing import PeerLink
from paddleshunt_platform.standins.ports import free_port


class Handler:
    """Records whether a connection was made."""

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


def test_new_address_is_dialled_at_once() -> None:
    async def scenario() -> None:
        port = free_port()
        server = await _listen(port)
        handler = Handler()
        # `run` isn't called, so that only `add` can dial.
        Dialer(handler, "own", 1.0, lambda _: True).add(0.0, f"127.0.0.1:{port}")
        await asyncio.wait_for(handler.made.wait(), 10)
        server.close()

    asyncio.run(scenario())


def test_disallowed_address_is_not_dialled() -> None:
    async def scenario() -> None:
        port = free_port()
        server = await _listen(port)
        handler = Handler()
        Dialer(handler, "own", 1.0, lambda _: False).add(0.0, f"127.0.0.1:{port}")
        await asyncio.sleep(0.1)
        assert not handler.made.is_set()
        server.close()

    asyncio.run(scenario())


@pytest.mark.parametrize(
    ("connected", "missing", "pause"),
    [
        (False, True, dialer.DISCONNECTED_RETRY_SECONDS),
        (True, True, dialer.RETRY_SECONDS),
        (True, False, dialer.CONNECTED_RETRY_SECONDS),
    ],
    ids=["disconnected", "one_missing", "all_connected"],
)
def test_pause_between_rounds_depends_on_missing_connections(
    connected: bool, missing: bool, pause: float, monkeypatch: pytest.MonkeyPatch
) -> None:
    pauses: list[float] = []

    async def sleep(seconds: float) -> None:
        pauses.append(seconds)
        raise asyncio.CancelledError

    async def scenario() -> None:
        port = free_port()
        server = await _listen(port)
        handler = Handler()
        keeper = Dialer(handler, "own", 1.0, lambda _: True)
        if connected:
            keeper.add(0.0, f"127.0.0.1:{port}")
            await asyncio.wait_for(handler.made.wait(), 10)
        if missing:
            keeper.set_seeds({f"127.0.0.1:{free_port()}"})
        monkeypatch.setattr(dialer.asyncio, "sleep", sleep)
        with pytest.raises(asyncio.CancelledError):
            await keeper.run()
        server.close()

    asyncio.run(scenario())
    assert pauses == [pause]


def test_lost_connection_is_redialled_at_once(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(dialer, "RETRY_SECONDS", 0.05)

    async def scenario() -> None:
        port = free_port()
        writers: list[asyncio.StreamWriter] = []
        server = await asyncio.start_server(lambda _, w: writers.append(w), "127.0.0.1", port)
        handler = Handler()
        # `run` isn't called, so that only `redial` can dial.
        dialing = Dialer(handler, "own", 1.0, lambda _: True)
        monkeypatch.setattr(handler, "connection_closed", dialing.redial)
        dialing.add(0.0, f"127.0.0.1:{port}")
        await asyncio.wait_for(handler.made.wait(), 10)
        await asyncio.sleep(0.1)
        handler.made.clear()
        writers[0].close()
        await asyncio.wait_for(handler.made.wait(), 10)
        server.close()

    asyncio.run(scenario())
