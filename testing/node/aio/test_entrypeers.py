"""Tests for the gossip between entries and the announcement of entries to targets."""

import asyncio
from collections.abc import Awaitable, Callable
from typing import cast

import msgspec
import pytest
from paddleshunt_core.leased.catalog import EMPTY_CATALOG, Catalog
from paddleshunt_core.leased.catalogsync import REQUEST_DELAY_SECONDS
from paddleshunt_core.leased.evacuation import EvacuatedHalls, Evacuations
from paddleshunt_core.leased.refusals import InputKind, Refusal
from paddleshunt_core.leased.resources import Resources
from paddleshunt_core.leased.speeds import Speeds
from paddleshunt_core.leased.targets import TargetRecord
from paddleshunt_core.leased.wire import (
    CancelJobs,
    CancelledJob,
    CatalogUpdate,
    CatalogVersion,
    Entries,
    EntryAddress,
    EntryChanges,
    Frame,
    Health,
    Hello,
    JobsCancelled,
    KindSpeed,
    LossId,
    LossUpdate,
    PackedCatalog,
    RunnerLost,
    RunnerReport,
    RunnerReturned,
    RunnerSilent,
    RunnerState,
    SpeedUpdate,
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
MAX_ROUND_BYTES = 60
"""Maximum size of a round's frame to one entry: two versions and a count."""


class Owner:
    """A `PeerOwner` that records its calls."""

    def __init__(self) -> None:
        self.catalog: Catalog = EMPTY_CATALOG
        self.evacuations = Evacuations()
        self.notified: list[EntryChanges] = []
        self.target_counts: list[tuple[int, str]] = []
        self.losses = [LOST]
        self.speeds = Speeds()
        self.received_speeds: list[tuple[SpeedUpdate, str]] = []
        self.received_losses: list[tuple[LossUpdate, str]] = []
        self.refused: list[Refusal] = []
        self.adopted: list[tuple[Catalog, str]] = []
        self.requested_from: list[str] = []
        self.sent: list[tuple[str, int]] = []
        self.cancelled: list[CancelledJob] = []
        self.held: set[str] = set()
        """Keys of the jobs that this entry holds."""
        self.confirmed: list[tuple[str, str, bool]] = []

    def known_cancellations(self) -> list[CancelledJob]:
        return self.cancelled

    def receive_cancellation(self, job: CancelledJob, source: str) -> bool:
        self.cancelled.append(job)
        return job.key in self.held

    def cancellation_confirmed(self, entry: str, key: str, *, held: bool) -> None:
        self.confirmed.append((entry, key, held))

    def refuse(self, refusal: Refusal) -> None:
        self.refused.append(refusal)

    def adopt_catalog(self, catalog: Catalog, source: str) -> None:
        self.adopted.append((catalog, source))

    def catalog_requested(self, peer: str) -> None:
        self.requested_from.append(peer)

    def catalog_sent(self, peer: str, packed_bytes: int) -> None:
        self.sent.append((peer, packed_bytes))

    def apply_evacuations(self, evacuated: EvacuatedHalls, source: str) -> None:
        pass

    def entry_found(self, entry: EntryAddress) -> None:
        pass

    def known_losses(self) -> list[RunnerLost]:
        return self.losses

    def target_count(self) -> int:
        return 43

    def receive_target_count(self, targets: int, source: str) -> None:
        self.target_counts.append((targets, source))

    def receive_loss(self, update: LossUpdate, source: str) -> None:
        self.received_losses.append((update, source))

    def receive_speeds(self, update: SpeedUpdate, source: str) -> None:
        self.received_speeds.append((update, source))

    def notify_targets(self, changes: EntryChanges) -> None:
        self.notified.append(changes)


class Link:
    """A connection that records the frames sent over it."""

    peer = ""

    def __init__(self) -> None:
        self.frames: list[Frame] = []

    def send(self, message: Frame) -> None:
        self.frames.append(message)


def entry(number: int) -> EntryAddress:
    return EntryAddress(f"frontend-civic-hall-{number}", f"10.1.0.{number}:7720", "0123456789ab")


def run_scenario(
    monkeypatch: pytest.MonkeyPatch,
    links: list[Link],
    scenario: Callable[[EntryPeers, Owner], Awaitable[None]],
) -> None:
    async def run() -> None:
        owner = Owner()
        peers = EntryPeers(owner, OWN, Hello("e0", "life", True, "hall", OWN.address, 0, 0), 1.0)
        monkeypatch.setattr(peers._dialer, "links", lambda: links)
        monkeypatch.setattr(peers._dialer, "add", lambda now, address: None)
        await scenario(peers, owner)

    monkeypatch.setattr(entrypeers, "GOSSIP_SECONDS", ROUND)
    asyncio.run(asyncio.wait_for(run(), 20))


@pytest.mark.parametrize("entries", [10, 40])
def test_gossip_frame_size_is_independent_of_the_number_of_entries(
    monkeypatch: pytest.MonkeyPatch, entries: int
) -> None:
    links = [Link() for _ in range(entries)]

    async def scenario(peers: EntryPeers, owner: Owner) -> None:
        for number in range(entries):
            peers.record_entry(entry(number))
        for link in links:
            link.frames.clear()
        gossip = asyncio.ensure_future(peers.gossip_forever())
        await asyncio.sleep(ROUND / 2)
        gossip.cancel()
        with_list = [link for link in links if len(link.frames) == 2]
        assert len(with_list) == 1
        assert all(len(msgspec.msgpack.encode(link.frames[0])) < MAX_ROUND_BYTES for link in links)
        assert with_list[0].frames[1].bodies == [Entries(peers.live())]

    run_scenario(monkeypatch, links, scenario)


def test_entry_list_is_sent_to_each_entry_in_turn(monkeypatch: pytest.MonkeyPatch) -> None:
    links = [Link() for _ in range(4)]

    async def scenario(peers: EntryPeers, owner: Owner) -> None:
        gossip = asyncio.ensure_future(peers.gossip_forever())
        await asyncio.sleep(4.5 * ROUND)
        gossip.cancel()

    run_scenario(monkeypatch, links, scenario)
    lists = [[b for f in link.frames for b in f.bodies if isinstance(b, Entries)] for link in links]
    assert all(lists)


def test_overloaded_link_slows_gossip_and_omits_the_entry_list(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    links = [Link() for _ in range(4)]
    monkeypatch.setattr(entrypeers, "SHED_GOSSIP_SECONDS", 4 * ROUND)

    async def scenario(peers: EntryPeers, owner: Owner) -> None:
        peers.network_overloaded = True
        gossip = asyncio.ensure_future(peers.gossip_forever())
        await asyncio.sleep(3.5 * ROUND)
        gossip.cancel()

    run_scenario(monkeypatch, links, scenario)
    assert [len(link.frames) for link in links] == [1] * 4
    assert not any(isinstance(b, Entries) for link in links for b in link.frames[0].bodies)


def test_gossip_carries_the_target_count(monkeypatch: pytest.MonkeyPatch) -> None:
    link = Link()

    async def scenario(peers: EntryPeers, owner: Owner) -> None:
        gossip = asyncio.ensure_future(peers.gossip_forever())
        await asyncio.sleep(ROUND / 2)
        gossip.cancel()
        link.peer = "e7"
        for frame in link.frames:
            peers.frame_received(cast("PeerLink", link), frame)
        assert owner.target_counts == [(43, "e7")]

    run_scenario(monkeypatch, [link], scenario)


def test_any_seen_within_expires(monkeypatch: pytest.MonkeyPatch) -> None:
    async def scenario(peers: EntryPeers, owner: Owner) -> None:
        assert not peers.any_seen_within(10.0)
        peers.record_entry(entry(1))
        assert peers.any_seen_within(10.0)
        await asyncio.sleep(0.05)
        assert not peers.any_seen_within(0.01)

    run_scenario(monkeypatch, [Link()], scenario)


def test_targets_are_sent_changes_in_batches(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    async def scenario(peers: EntryPeers, owner: Owner) -> None:
        for number in (1, 2, 3):
            peers.record_entry(entry(number))
        await asyncio.sleep(3 * entrypeers.ANNOUNCE_DELAY_SECONDS)
        assert owner.notified == [EntryChanges([entry(1), entry(2), entry(3)], [])]
        assert peers.announced() == sorted([OWN, entry(1), entry(2), entry(3)])
        monkeypatch.setattr(entrypeers, "ENTRY_ALIVE_SECONDS", 0.0)
        gossip = asyncio.ensure_future(peers.gossip_forever())
        await asyncio.sleep(3 * ROUND)
        gossip.cancel()
        gone = EntryChanges([], [entry(number).name for number in (1, 2, 3)])
        assert owner.notified[1:] == [gone]

    run_scenario(monkeypatch, [], scenario)


def test_configuration_is_not_sent_without_a_request(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    links = [Link() for _ in range(34)]

    async def scenario(peers: EntryPeers, owner: Owner) -> None:
        owner.catalog = Catalog(7, [], [])
        peers.announce_catalog(owner.catalog)
        for link in links:
            # The peer's gossip still carries the old version.
            peers.frame_received(cast("PeerLink", link), Frame(1, 0, 0, 0, [CatalogVersion(6)]))
        await asyncio.sleep(ROUND)
        bodies = [body for link in links for frame in link.frames for body in frame.bodies]
        assert not [body for body in bodies if isinstance(body, CatalogUpdate)]
        assert bodies.count(CatalogVersion(7)) == len(links)

    run_scenario(monkeypatch, links, scenario)


def test_requested_configuration_is_sent_once(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    link = Link()
    link.peer = "e7"

    async def scenario(peers: EntryPeers, owner: Owner) -> None:
        owner.catalog = Catalog(7, [], [])
        peers.announce_catalog(owner.catalog)
        for _ in range(2):
            request = Frame(1, 0, 0, 0, [CatalogVersion(6, wanted=True)])
            peers.frame_received(cast("PeerLink", link), request)
        await asyncio.sleep(4 * entrypeers.MIN_SYNC_INTERVAL_SECONDS)
        assert [unpack(body) for body in packed(link)] == [owner.catalog]
        assert owner.sent == [("e7", len(pack(owner.catalog).content))]

    run_scenario(monkeypatch, [], scenario)


def test_outdated_entry_requests_the_configuration_from_one_newer_entry(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    links = [Link() for _ in range(5)]

    async def scenario(peers: EntryPeers, owner: Owner) -> None:
        for number, link in enumerate(links):
            link.peer = f"e{number}"
            version = CatalogVersion(number)
            peers.frame_received(cast("PeerLink", link), Frame(1, 0, 0, 0, [version]))
        await asyncio.sleep(REQUEST_DELAY_SECONDS[1] + 4 * entrypeers.MIN_SYNC_INTERVAL_SECONDS)
        requested = [link.peer for link in links if link.frames]
        assert len(requested) == 1
        assert requested != ["e0"]
        assert owner.requested_from == requested

    run_scenario(monkeypatch, links, scenario)


def test_received_configuration_is_adopted(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    link = Link()
    link.peer = "e7"
    catalog = Catalog(7, [], [])

    async def scenario(peers: EntryPeers, owner: Owner) -> None:
        for body in (pack(catalog), CatalogUpdate(catalog), PackedCatalog(8, b"odd")):
            peers.frame_received(cast("PeerLink", link), Frame(1, 0, 0, 0, [body]))
        assert owner.adopted == [(catalog, "e7")] * 2
        assert [refusal.kind for refusal in owner.refused] == [InputKind.CONFIGURATION]

    run_scenario(monkeypatch, [], scenario)


def packed(link: Link) -> list[PackedCatalog]:
    bodies = [body for frame in link.frames for body in frame.bodies]
    return [body for body in bodies if isinstance(body, PackedCatalog)]


@pytest.mark.parametrize("update", [LOST, RETURNED, SILENT], ids=["lost", "returned", "silent"])
def test_runner_loss_is_broadcast_to_all_entries(
    monkeypatch: pytest.MonkeyPatch, update: LossUpdate
) -> None:
    links = [Link(), Link()]

    async def scenario(peers: EntryPeers, owner: Owner) -> None:
        peers.broadcast_loss(update)
        assert [link.frames[-1].bodies for link in links] == [[update], [update]]

    run_scenario(monkeypatch, links, scenario)


def test_new_connection_is_sent_the_known_losses(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    link = Link()

    async def scenario(peers: EntryPeers, owner: Owner) -> None:
        peers.connection_opened(link)  # type: ignore[arg-type]
        assert LOST in link.frames[-1].bodies

    run_scenario(monkeypatch, [], scenario)


@pytest.mark.parametrize("update", [LOST, RETURNED, SILENT], ids=["lost", "returned", "silent"])
def test_received_runner_loss_is_passed_to_the_owner(
    monkeypatch: pytest.MonkeyPatch, update: LossUpdate
) -> None:
    link = Link()
    link.peer = "e7"

    async def scenario(peers: EntryPeers, owner: Owner) -> None:
        peers.frame_received(link, Frame(1, 0, 0, 0, [update]))  # type: ignore[arg-type]
        assert owner.received_losses == [(update, "e7")]

    run_scenario(monkeypatch, [], scenario)


KINDS = SpeedUpdate([KindSpeed("svc", "b", 1700, 120)])


def record_speeds(speeds: Speeds) -> None:
    """Record tasks that make one kind of host slower than another."""
    targets = []
    for number, kind in enumerate("ab"):
        record = TargetRecord(f"t{number}", "hall", "1")
        record.update_report(
            0.0, RunnerReport("svc", "i", READY, GOOD, ROOM, ROOM, (kind,), kind=kind)
        )
        targets.append(record)
    for _ in range(100):
        speeds.compare_tasks(0.4, [(targets[0], 0.28), (targets[1], 0.68)])


def test_new_connection_is_sent_the_known_speeds(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    link = Link()

    async def scenario(peers: EntryPeers, owner: Owner) -> None:
        record_speeds(owner.speeds)
        peers.connection_opened(link)  # type: ignore[arg-type]
        assert owner.speeds.export() in link.frames[-1].bodies

    run_scenario(monkeypatch, [], scenario)


def test_gossip_carries_only_changed_speeds(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    links = [Link()]

    async def scenario(peers: EntryPeers, owner: Owner) -> None:
        record_speeds(owner.speeds)
        task = asyncio.create_task(peers.gossip_forever())
        await asyncio.sleep(4.5 * ROUND)
        task.cancel()

    run_scenario(monkeypatch, links, scenario)
    sent = [body for frame in links[0].frames for body in frame.bodies if type(body) is SpeedUpdate]
    assert len(sent) == 1


def test_received_speeds_are_passed_to_the_owner(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    link = Link()
    link.peer = "e7"

    async def scenario(peers: EntryPeers, owner: Owner) -> None:
        peers.frame_received(link, Frame(1, 0, 0, 0, [KINDS]))  # type: ignore[arg-type]
        assert owner.received_speeds == [(KINDS, "e7")]

    run_scenario(monkeypatch, [], scenario)


def hello_of(number: int, *, handles_cancellations: bool = True) -> Hello:
    name, address = entry(number).name, entry(number).address
    return Hello(name, "life", True, "hall", address, 0, 0, handles_cancellations)


def peer_link(number: int) -> Link:
    link = Link()
    link.peer = entry(number).name
    return link


def cancelled_in(link: Link) -> list[str]:
    """Return the keys of the jobs that an entry was asked to cancel."""
    bodies = [body for frame in link.frames for body in frame.bodies]
    return [job.key for body in bodies if isinstance(body, CancelJobs) for job in body.jobs]


def test_cancellation_goes_to_all_entries_that_handle_it(monkeypatch: pytest.MonkeyPatch) -> None:
    """An entry that doesn't can't confirm it, so it is not acknowledged."""
    links = [peer_link(1), peer_link(2)]

    async def scenario(peers: EntryPeers, owner: Owner) -> None:
        peers.hello_received(cast("PeerLink", links[0]), hello_of(1))
        peers.hello_received(cast("PeerLink", links[1]), hello_of(2, handles_cancellations=False))
        asked = peers.broadcast_cancellation(CancelledJob("job"))
        assert asked == {entry(1).name, entry(2).name}
        assert [cancelled_in(link) for link in links] == [["job"], []]

    run_scenario(monkeypatch, links, scenario)


def test_new_connection_gets_the_known_cancellations(monkeypatch: pytest.MonkeyPatch) -> None:
    """An entry that was cut off or has just started may be sent a cancelled job."""
    link = peer_link(1)

    async def scenario(peers: EntryPeers, owner: Owner) -> None:
        owner.cancelled.append(CancelledJob("job", 1500))
        peers.hello_received(cast("PeerLink", link), hello_of(1))
        assert CancelJobs([CancelledJob("job", 1500)]) in link.frames[-1].bodies

    run_scenario(monkeypatch, [link], scenario)


def test_received_cancellation_is_confirmed(monkeypatch: pytest.MonkeyPatch) -> None:
    link = peer_link(1)

    async def scenario(peers: EntryPeers, owner: Owner) -> None:
        owner.held = {"b"}
        jobs = [CancelledJob("a"), CancelledJob("b", 20)]
        peers.frame_received(cast("PeerLink", link), Frame(1, 0, 0, 0, [CancelJobs(jobs)]))
        assert owner.cancelled == jobs
        assert link.frames[-1].bodies == [JobsCancelled(["a", "b"], ["b"])]

    run_scenario(monkeypatch, [link], scenario)


def test_confirmation_is_passed_on(monkeypatch: pytest.MonkeyPatch) -> None:
    link = peer_link(1)

    async def scenario(peers: EntryPeers, owner: Owner) -> None:
        frame = Frame(1, 0, 0, 0, [JobsCancelled(["a", "b"], ["b"])])
        peers.frame_received(cast("PeerLink", link), frame)
        assert owner.confirmed == [(link.peer, "a", False), (link.peer, "b", True)]

    run_scenario(monkeypatch, [link], scenario)
