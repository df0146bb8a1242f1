"""What an entry says to the other entries and to its targets about who lives."""

import asyncio
from collections.abc import Awaitable, Callable
from typing import cast

import msgspec
import pytest
from paddleshunt_core.leased.catalog import EMPTY, Catalog
from paddleshunt_core.leased.catalogspread import ASK_SECONDS
from paddleshunt_core.leased.evacuation import EvacuatedHalls, Evacuations
from paddleshunt_core.leased.refusals import Refusal, Word
from paddleshunt_core.leased.resources import Resources
from paddleshunt_core.leased.speeds import Speeds
from paddleshunt_core.leased.targets import TargetRecord
from paddleshunt_core.leased.wire import (
    CatalogNews,
    CatalogVersion,
    Entries,
    EntryAddress,
    EntryChanges,
    Frame,
    Health,
    Hello,
    KindSpeed,
    LossId,
    LossNews,
    PackedCatalog,
    RunnerLost,
    RunnerReport,
    RunnerReturned,
    RunnerSilent,
    RunnerState,
    SpeedNews,
    TaskId,
)
from paddleshunt_node.aio import entrypeers
from paddleshunt_node.aio.catalogpack import pack, unpack
from paddleshunt_node.aio.entrypeers import EntryPeers
from paddleshunt_node.aio.framing import PeerLink

OWN = EntryAddress("e0", "127.0.0.1:1", "life")
LOST = RunnerLost(LossId("i-1", 1000), [TaskId("job", 0, 0)])
RETURNED = RunnerReturned(LOST.loss)
READY, GOOD, ROOM = RunnerState.READY, Health.GOOD, Resources(8000, 8000, 0)
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
        self.targets: list[tuple[int, str]] = []
        self.losses = [LOST]
        self.speeds = Speeds()
        self.told_kinds: list[tuple[SpeedNews, str]] = []
        self.heard: list[tuple[LossNews, str]] = []
        self.refused: list[Refusal] = []
        self.adopted: list[tuple[Catalog, str]] = []
        self.asked: list[str] = []
        self.handed_out: list[tuple[str, int]] = []

    def refuse(self, refusal: Refusal) -> None:
        self.refused.append(refusal)

    def adopt(self, catalog: Catalog, source: str) -> None:
        self.adopted.append((catalog, source))

    def asked_for_catalog(self, peer: str) -> None:
        self.asked.append(peer)

    def handed_out_catalog(self, peer: str, packed_bytes: int) -> None:
        self.handed_out.append((peer, packed_bytes))

    def learn(self, evacuated: EvacuatedHalls, source: str) -> None:
        pass

    def found(self, entry: EntryAddress) -> None:
        pass

    def known_losses(self) -> list[RunnerLost]:
        return self.losses

    def targets_held(self) -> int:
        return 43

    def told_targets(self, targets: int, source: str) -> None:
        self.targets.append((targets, source))

    def told_loss(self, news: LossNews, source: str) -> None:
        self.heard.append((news, source))

    def told_speeds(self, news: SpeedNews, source: str) -> None:
        self.told_kinds.append((news, source))

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


def test_at_a_pressed_link_rounds_are_rarer_and_carry_no_list(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    links = [Link() for _ in range(4)]
    monkeypatch.setattr(entrypeers, "SHED_GOSSIP_SECONDS", 4 * ROUND)

    async def scene(peers: EntryPeers, owner: Owner) -> None:
        peers.sheds = True
        gossip = asyncio.ensure_future(peers.gossip_for_ever())
        await asyncio.sleep(3.5 * ROUND)
        gossip.cancel()

    play(monkeypatch, links, scene)
    assert [len(link.frames) for link in links] == [1] * 4
    assert not any(isinstance(b, Entries) for link in links for b in link.frames[0].bodies)


def test_a_round_tells_how_many_targets_an_entry_has(monkeypatch: pytest.MonkeyPatch) -> None:
    link = Link()

    async def scene(peers: EntryPeers, owner: Owner) -> None:
        gossip = asyncio.ensure_future(peers.gossip_for_ever())
        await asyncio.sleep(ROUND / 2)
        gossip.cancel()
        link.peer = "e7"
        for frame in link.frames:
            peers.heard(cast("PeerLink", link), frame)
        assert owner.targets == [(43, "e7")]

    play(monkeypatch, [link], scene)


def test_another_entry_counts_as_heard_for_a_while(monkeypatch: pytest.MonkeyPatch) -> None:
    async def scene(peers: EntryPeers, owner: Owner) -> None:
        assert not peers.heard_within(10.0)
        peers.note(entry(1))
        assert peers.heard_within(10.0)
        await asyncio.sleep(0.05)
        assert not peers.heard_within(0.01)

    play(monkeypatch, [Link()], scene)


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


def test_a_new_configuration_is_not_handed_whole_to_entries_that_have_not_asked(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    links = [Link() for _ in range(34)]

    async def scene(peers: EntryPeers, owner: Owner) -> None:
        owner.catalog = Catalog(7, [], [])
        peers.tell_catalog(owner.catalog)
        for link in links:
            # As its rounds of gossip say until the store has told it as well.
            peers.heard(cast("PeerLink", link), Frame(1, 0, 0, 0, [CatalogVersion(6)]))
        await asyncio.sleep(ROUND)
        bodies = [body for link in links for frame in link.frames for body in frame.bodies]
        assert not [body for body in bodies if isinstance(body, CatalogNews)]
        assert bodies.count(CatalogVersion(7)) == len(links)

    play(monkeypatch, links, scene)


def test_an_entry_that_asks_is_handed_the_configuration_once(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    link = Link()
    link.peer = "e7"

    async def scene(peers: EntryPeers, owner: Owner) -> None:
        owner.catalog = Catalog(7, [], [])
        peers.tell_catalog(owner.catalog)
        for _ in range(2):
            question = Frame(1, 0, 0, 0, [CatalogVersion(6, wanted=True)])
            peers.heard(cast("PeerLink", link), question)
        await asyncio.sleep(4 * entrypeers.SPREAD_PAUSE)
        assert [unpack(body) for body in packed(link)] == [owner.catalog]
        assert owner.handed_out == [("e7", len(pack(owner.catalog).content))]

    play(monkeypatch, [], scene)


def test_an_entry_that_is_behind_asks_one_of_those_that_are_not(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    links = [Link() for _ in range(5)]

    async def scene(peers: EntryPeers, owner: Owner) -> None:
        for number, link in enumerate(links):
            link.peer = f"e{number}"
            version = CatalogVersion(number)
            peers.heard(cast("PeerLink", link), Frame(1, 0, 0, 0, [version]))
        await asyncio.sleep(ASK_SECONDS[1] + 4 * entrypeers.SPREAD_PAUSE)
        asked = [link.peer for link in links if link.frames]
        assert len(asked) == 1
        assert asked != ["e0"]
        assert owner.asked == asked

    play(monkeypatch, links, scene)


def test_a_configuration_that_another_entry_hands_on_is_adopted(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    link = Link()
    link.peer = "e7"
    catalog = Catalog(7, [], [])

    async def scene(peers: EntryPeers, owner: Owner) -> None:
        for body in (pack(catalog), CatalogNews(catalog), PackedCatalog(8, b"odd")):
            peers.heard(cast("PeerLink", link), Frame(1, 0, 0, 0, [body]))
        assert owner.adopted == [(catalog, "e7")] * 2
        assert [refusal.word for refusal in owner.refused] == [Word.CONFIGURATION]

    play(monkeypatch, [], scene)


def packed(link: Link) -> list[PackedCatalog]:
    bodies = [body for frame in link.frames for body in frame.bodies]
    return [body for body in bodies if isinstance(body, PackedCatalog)]


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


KINDS = SpeedNews([KindSpeed("svc", "b", 1700, 120)])


def learned(speeds: Speeds) -> None:
    """Let an entry learn that one kind is slower than another."""
    targets = []
    for number, kind in enumerate("ab"):
        record = TargetRecord(f"t{number}", "hall", "1")
        record.update_report(
            0.0, RunnerReport("svc", "i", READY, GOOD, ROOM, ROOM, (kind,), kind=kind)
        )
        targets.append(record)
    for _ in range(100):
        speeds.compare_tasks(0.4, [(targets[0], 0.28), (targets[1], 0.68)])


def test_an_entry_that_is_met_hears_how_slow_kinds_of_hosts_are(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    link = Link()

    async def scene(peers: EntryPeers, owner: Owner) -> None:
        learned(owner.speeds)
        peers.opened(link)  # type: ignore[arg-type]
        assert owner.speeds.known() in link.frames[-1].bodies

    play(monkeypatch, [], scene)


def test_a_round_tells_of_kinds_of_hosts_only_what_has_changed(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    links = [Link()]

    async def scene(peers: EntryPeers, owner: Owner) -> None:
        learned(owner.speeds)
        task = asyncio.create_task(peers.gossip_for_ever())
        await asyncio.sleep(4.5 * ROUND)
        task.cancel()

    play(monkeypatch, links, scene)
    told = [body for frame in links[0].frames for body in frame.bodies if type(body) is SpeedNews]
    assert len(told) == 1


def test_another_entrys_word_on_kinds_of_hosts_is_followed(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    link = Link()
    link.peer = "e7"

    async def scene(peers: EntryPeers, owner: Owner) -> None:
        peers.heard(link, Frame(1, 0, 0, 0, [KINDS]))  # type: ignore[arg-type]
        assert owner.told_kinds == [(KINDS, "e7")]

    play(monkeypatch, [], scene)
