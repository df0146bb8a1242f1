"""What an entry says to the other entries and to its targets about who lives."""

import asyncio
from collections.abc import Awaitable, Callable

import msgspec
import pytest
from paddleshunt_core.leased.catalog import EMPTY, Catalog
from paddleshunt_core.leased.evacuation import EvacuatedHalls, Evacuations
from paddleshunt_core.leased.wire import (
    Entries,
    EntryAddress,
    EntryChanges,
    Frame,
    Hello,
    LossId,
    LossNews,
    RunnerLost,
    RunnerReturned,
    RunnerSilent,
    TaskId,
)
from paddleshunt_node.aio import entrypeers
from paddleshunt_node.aio.entrypeers import EntryPeers

OWN = EntryAddress("e0", "127.0.0.1:1", "life")
LOST = RunnerLost(LossId("i-1", 1000), [TaskId("job", 0, 0)])
RETURNED = RunnerReturned(LOST.loss)
SILENT = RunnerSilent(LOST.loss, LOST.tasks, ["q"], [10])
ROUND = 0.05
BEAT_BYTES = 60
"""Bytes that a round may bring another entry: two versions, and the frame around them."""


class Owner:
    """An entry that notes what its targets are told."""

    def __init__(self) -> None:
        self.catalog: Catalog = EMPTY
        self.evacuations = Evacuations()
        self.told: list[EntryChanges] = []
        self.losses = [LOST]
        self.heard: list[tuple[LossNews, str]] = []

    def adopt(self, catalog: Catalog, source: str) -> None:
        pass

    def learn(self, evacuated: EvacuatedHalls, source: str) -> None:
        pass

    def found(self, entry: EntryAddress) -> None:
        pass

    def known_losses(self) -> list[RunnerLost]:
        return self.losses

    def told_loss(self, news: LossNews, source: str) -> None:
        self.heard.append((news, source))

    def tell_targets(self, changes: EntryChanges) -> None:
        self.told.append(changes)


class Link:
    """A connection that notes what it is given."""

    peer = ""

    def __init__(self) -> None:
        self.frames: list[Frame] = []

    def send(self, message: Frame) -> None:
        self.frames.append(message)


def entry(number: int) -> EntryAddress:
    return EntryAddress(f"frontend-civic-hall-{number}", f"10.1.0.{number}:7720", "0123456789ab")


def play(
    monkeypatch: pytest.MonkeyPatch,
    links: list[Link],
    scene: Callable[[EntryPeers, Owner], Awaitable[None]],
) -> None:
    async def run() -> None:
        owner = Owner()
        peers = EntryPeers(owner, OWN, Hello("e0", "life", True, "hall", OWN.address, 0, 0), 1.0)
        monkeypatch.setattr(peers._dialer, "links", lambda: links)
        monkeypatch.setattr(peers._dialer, "want", lambda now, address: None)
        await scene(peers, owner)

    monkeypatch.setattr(entrypeers, "GOSSIP_SECONDS", ROUND)
    asyncio.run(asyncio.wait_for(run(), 20))


@pytest.mark.parametrize("entries", [10, 40])
def test_a_round_costs_the_same_for_each_entry_however_many_there_are(
    monkeypatch: pytest.MonkeyPatch, entries: int
) -> None:
    links = [Link() for _ in range(entries)]

    async def scene(peers: EntryPeers, owner: Owner) -> None:
        for number in range(entries):
            peers.note(entry(number))
        for link in links:
            link.frames.clear()
        gossip = asyncio.ensure_future(peers.gossip_for_ever())
        await asyncio.sleep(ROUND / 2)
        gossip.cancel()
        whole = [link for link in links if len(link.frames) == 2]
        assert len(whole) == 1
        assert all(len(msgspec.msgpack.encode(link.frames[0])) < BEAT_BYTES for link in links)
        assert whole[0].frames[1].bodies == [Entries(peers.live())]

    play(monkeypatch, links, scene)


def test_each_other_entry_gets_the_whole_list_in_turn(monkeypatch: pytest.MonkeyPatch) -> None:
    links = [Link() for _ in range(4)]

    async def scene(peers: EntryPeers, owner: Owner) -> None:
        gossip = asyncio.ensure_future(peers.gossip_for_ever())
        await asyncio.sleep(4.5 * ROUND)
        gossip.cancel()

    play(monkeypatch, links, scene)
    lists = [[b for f in link.frames for b in f.bodies if isinstance(b, Entries)] for link in links]
    assert all(lists)


def test_targets_are_told_changes_only_and_several_at_once(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    async def scene(peers: EntryPeers, owner: Owner) -> None:
        for number in (1, 2, 3):
            peers.note(entry(number))
        await asyncio.sleep(3 * entrypeers.TELL_PAUSE)
        assert owner.told == [EntryChanges([entry(1), entry(2), entry(3)], [])]
        assert peers.told() == sorted([OWN, entry(1), entry(2), entry(3)])
        monkeypatch.setattr(entrypeers, "ENTRY_FRESH", 0.0)
        gossip = asyncio.ensure_future(peers.gossip_for_ever())
        await asyncio.sleep(3 * ROUND)
        gossip.cancel()
        gone = EntryChanges([], [entry(number).name for number in (1, 2, 3)])
        assert owner.told[1:] == [gone]

    play(monkeypatch, [], scene)


@pytest.mark.parametrize("news", [LOST, RETURNED, SILENT], ids=["lost", "returned", "silent"])
def test_a_word_on_a_lost_runner_goes_to_all_other_entries(
    monkeypatch: pytest.MonkeyPatch, news: LossNews
) -> None:
    links = [Link(), Link()]

    async def scene(peers: EntryPeers, owner: Owner) -> None:
        peers.tell_loss(news)
        assert [link.frames[-1].bodies for link in links] == [[news], [news]]

    play(monkeypatch, links, scene)


def test_an_entry_that_is_met_is_told_of_the_runners_lost_before(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    link = Link()

    async def scene(peers: EntryPeers, owner: Owner) -> None:
        peers.opened(link)  # type: ignore[arg-type]
        assert LOST in link.frames[-1].bodies

    play(monkeypatch, [], scene)


@pytest.mark.parametrize("news", [LOST, RETURNED, SILENT], ids=["lost", "returned", "silent"])
def test_another_entrys_word_on_a_lost_runner_is_followed(
    monkeypatch: pytest.MonkeyPatch, news: LossNews
) -> None:
    link = Link()
    link.peer = "e7"

    async def scene(peers: EntryPeers, owner: Owner) -> None:
        peers.heard(link, Frame(1, 0, 0, 0, [news]))  # type: ignore[arg-type]
        assert owner.heard == [(news, "e7")]

    play(monkeypatch, [], scene)
