"""Distribution of a configuration to all entries, by the store or between entries."""

import heapq
from dataclasses import dataclass, field
from itertools import pairwise
from random import Random

import pytest
from paddleshunt_core.leased.catalogsync import (
    ANSWER_TIMEOUT_SECONDS,
    BYTES_PER_MEGABIT,
    LINK_SHARE,
    MAX_ANSWER_TIMEOUT_SECONDS,
    REQUEST_DELAY_SECONDS,
    CatalogSync,
    RequestCatalog,
    SendCatalog,
)

SIZE = 262_144
"""Size of the largest configuration in bytes, uncompressed."""

MAX_APPLY_SECONDS = 4.0
"""Seconds within which a configuration must be in force everywhere."""

GOSSIP_SECONDS = 0.4
"""Interval at which an entry sends its version to the others."""

LATENCY = 0.0014
"""Network delay of a message, in seconds."""

NARROW, WIDE = 25.0, 200.0
"""Bandwidths of the entries' links, in megabits per second."""


@dataclass
class Entry:
    sync: CatalogSync
    mbps: float
    version_held: int = 1
    copies: int = 0
    sent: list[float] = field(default_factory=list)
    link_free_at: float = 0.0
    adopted_at: float | None = None


class Fleet:
    """Simulated entries that distribute a configuration, with a simulated clock."""

    def __init__(self, links: list[float], seed: int = 1) -> None:
        self.rng = Random(seed)
        self.entries = {
            f"e{n}": Entry(CatalogSync(Random(seed + n), mbps), mbps)
            for n, mbps in enumerate(links)
        }
        self.unresponsive: set[str] = set()
        self.now = 0.0
        self._events: list[tuple[float, int, str, object]] = []
        self._numbers = iter(range(10**9))
        for name, entry in self.entries.items():
            entry.sync.set_version(1)
            self.schedule(self.rng.uniform(0, GOSSIP_SECONDS), name, "gossip")

    def schedule(self, when: float, name: str, event: object) -> None:
        heapq.heappush(self._events, (when, next(self._numbers), name, event))

    def notify(self, name: str, when: float) -> None:
        self.schedule(when, name, "store")

    def run(self, until: float) -> None:
        while self._events and self._events[0][0] <= until:
            self.now, _, name, event = heapq.heappop(self._events)
            self._handle(name, event)
            self._act(name)
        self.now = until

    def _handle(self, name: str, event: object) -> None:
        entry = self.entries[name]
        match event:
            case "store":
                self._adopt(name)
            case "gossip":
                self._broadcast_version(name)
                self.schedule(self.now + GOSSIP_SECONDS, name, "gossip")
            case "copy":
                entry.copies += 1
                self._adopt(name)
            case ("version", str(peer), int(version)):
                entry.sync.on_version(self.now, peer, version)
            case ("request", str(peer), int(version)):
                entry.sync.on_request(peer, version)

    def _adopt(self, name: str) -> None:
        entry = self.entries[name]
        if entry.version_held < 2:
            entry.version_held = 2
            entry.adopted_at = self.now
            entry.sync.set_version(2)
            self._broadcast_version(name)

    def _broadcast_version(self, name: str) -> None:
        for other in self.entries:
            if other != name:
                self.schedule(
                    self.now + LATENCY, other, ("version", name, self.entries[name].version_held)
                )

    def _act(self, name: str) -> None:
        entry = self.entries[name]
        if name in self.unresponsive:
            return
        for step in entry.sync.act(self.now):
            match step:
                case RequestCatalog(peer):
                    self.schedule(self.now + LATENCY, peer, ("request", name, entry.version_held))
                case SendCatalog(peer):
                    entry.sync.copy_sent(self.now, SIZE)
                    entry.sent.append(self.now)
                    begins = max(self.now, entry.link_free_at)
                    entry.link_free_at = begins + SIZE / (entry.mbps * BYTES_PER_MEGABIT)
                    self.schedule(entry.link_free_at + LATENCY, peer, "copy")
        due = entry.sync.due()
        if due is not None:
            self.schedule(max(self.now + 0.02, due), name, "due")


def large_fleet(seed: int = 1) -> Fleet:
    return Fleet([WIDE] * 15 + [NARROW] * 20, seed)


def test_no_copies_are_sent_if_the_store_notifies_all() -> None:
    fleet = large_fleet()
    for name in fleet.entries:
        fleet.notify(name, 1.0 + fleet.rng.uniform(0, REQUEST_DELAY_SECONDS[0] / 2))
    fleet.run(3.0)
    assert all(entry.version_held == 2 for entry in fleet.entries.values())
    assert sum(entry.copies for entry in fleet.entries.values()) == 0


@pytest.mark.parametrize("seed", range(5))
@pytest.mark.parametrize("first", ["e0", "e34"], ids=["by-a-wide-link", "by-a-narrow-link"])
def test_one_notified_entry_is_enough(first: str, seed: int) -> None:
    fleet = large_fleet(seed)
    fleet.notify(first, 1.0)
    fleet.run(1.0 + MAX_APPLY_SECONDS)
    assert all(entry.version_held == 2 for entry in fleet.entries.values())
    others = [entry for name, entry in fleet.entries.items() if name != first]
    assert max(entry.copies for entry in others) <= 2
    assert sum(entry.copies for entry in others) <= 1.3 * len(others)


@pytest.mark.parametrize("entries", [10, 35, 140])
def test_copies_use_a_share_of_a_link_for_any_number_of_entries(entries: int) -> None:
    fleet = Fleet([NARROW] * entries)
    fleet.notify("e0", 1.0)
    fleet.run(8.0)
    assert all(entry.version_held == 2 for entry in fleet.entries.values())
    least_gap = SIZE / (NARROW * BYTES_PER_MEGABIT * LINK_SHARE)
    for entry in fleet.entries.values():
        gaps = [later - earlier for earlier, later in pairwise(entry.sent)]
        assert all(gap >= least_gap - 1e-9 for gap in gaps)


def test_another_entry_is_asked_if_one_does_not_answer() -> None:
    fleet = large_fleet()
    fleet.unresponsive = {f"e{number}" for number in range(10)}
    for name in fleet.unresponsive:
        fleet.notify(name, 1.0)
    fleet.notify("e20", 1.0)
    fleet.run(1.0 + 2 * MAX_APPLY_SECONDS)
    assert all(entry.version_held == 2 for entry in fleet.entries.values())


def test_unanswered_requests_back_off() -> None:
    sync = CatalogSync(Random(1))
    sync.set_version(1)
    asked = []
    for now in (tick / 64 for tick in range(20 * 64)):
        sync.on_version(now, "e1", 2)
        asked += [now for step in sync.act(now) if isinstance(step, RequestCatalog)]
    gaps = [later - earlier for earlier, later in pairwise(asked)]
    expected = [
        min(MAX_ANSWER_TIMEOUT_SECONDS, ANSWER_TIMEOUT_SECONDS * 2**n) for n in range(len(gaps))
    ]
    assert gaps == pytest.approx(expected, abs=1 / 32)


def test_no_copy_is_sent_to_an_entry_that_got_one_elsewhere() -> None:
    sync = CatalogSync(Random(1))
    sync.set_version(2)
    sync.on_request("e1", 1)
    sync.on_request("e2", 1)
    assert sync.act(0.0) == [SendCatalog("e1")]
    sync.copy_sent(0.0, SIZE)
    sync.on_version(0.1, "e2", 2)
    assert sync.act(9.0) == []
    assert sync.due() is None


def test_no_copy_is_sent_while_the_own_link_is_under_pressure() -> None:
    sync = CatalogSync(Random(1))
    sync.set_version(2)
    sync.on_request("e1", 1)
    assert sync.act(0.0, may_send=False) == []
    assert sync.act(0.1) == [SendCatalog("e1")]


def test_no_older_version_is_requested_or_sent() -> None:
    sync = CatalogSync(Random(1))
    sync.set_version(2)
    sync.on_version(0.0, "e1", 1)
    assert sync.due() is None
    sync.on_request("e2", 3)
    assert sync.act(5.0) == []


def test_an_entry_that_has_left_is_not_asked() -> None:
    sync = CatalogSync(Random(1))
    sync.set_version(1)
    sync.on_version(0.0, "e1", 2)
    sync.peer_left("e1")
    assert sync.act(1.0) == []
    assert sync.due() is None
