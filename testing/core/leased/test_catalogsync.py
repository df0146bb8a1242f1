"""A configuration on its way to all entries: by the store, or from one entry to the other."""

import heapq
from dataclasses import dataclass, field
from itertools import pairwise
from random import Random

import pytest
from paddleshunt_core.leased.catalogsync import (
    ANSWER_SECONDS,
    ASK_SECONDS,
    BYTES_A_MEGABIT,
    LINK_SHARE,
    MAX_ANSWER_SECONDS,
    CatalogSync,
    RequestCatalog,
    SendCatalog,
)

SIZE = 262_144
"""Bytes of the largest configuration, not packed at all."""

APPLY = 4.0
"""Seconds in which a configuration has to be in force everywhere."""

GOSSIP = 0.4
WAY = 0.0014
NARROW, WIDE = 25.0, 200.0
"""Links of a fleet's entries, in megabits a second."""


@dataclass
class Entry:
    spread: CatalogSync
    mbps: float
    has: int = 1
    copies: int = 0
    sent: list[float] = field(default_factory=list)
    link_free_at: float = 0.0
    adopted_at: float | None = None


class Fleet:
    """Entries that spread a configuration, by a clock of their own."""

    def __init__(self, links: list[float], seed: int = 1) -> None:
        self.rng = Random(seed)
        self.entries = {
            f"e{n}": Entry(CatalogSync(Random(seed + n), mbps), mbps)
            for n, mbps in enumerate(links)
        }
        self.silent: set[str] = set()
        self.now = 0.0
        self._events: list[tuple[float, int, str, object]] = []
        self._numbers = iter(range(10**9))
        for name, entry in self.entries.items():
            entry.spread.set_version(1)
            self.at(self.rng.uniform(0, GOSSIP), name, "gossip")

    def at(self, when: float, name: str, event: object) -> None:
        heapq.heappush(self._events, (when, next(self._numbers), name, event))

    def store_tells(self, name: str, when: float) -> None:
        self.at(when, name, "store")

    def run(self, until: float) -> None:
        while self._events and self._events[0][0] <= until:
            self.now, _, name, event = heapq.heappop(self._events)
            self._happens(name, event)
            self._act(name)
        self.now = until

    def _happens(self, name: str, event: object) -> None:
        entry = self.entries[name]
        match event:
            case "store":
                self._adopt(name)
            case "gossip":
                self._tell_all(name)
                self.at(self.now + GOSSIP, name, "gossip")
            case "copy":
                entry.copies += 1
                self._adopt(name)
            case ("told", str(peer), int(version)):
                entry.spread.on_version(self.now, peer, version)
            case ("asked", str(peer), int(version)):
                entry.spread.on_request(peer, version)

    def _adopt(self, name: str) -> None:
        entry = self.entries[name]
        if entry.has < 2:
            entry.has = 2
            entry.adopted_at = self.now
            entry.spread.set_version(2)
            self._tell_all(name)

    def _tell_all(self, name: str) -> None:
        for other in self.entries:
            if other != name:
                self.at(self.now + WAY, other, ("told", name, self.entries[name].has))

    def _act(self, name: str) -> None:
        entry = self.entries[name]
        if name in self.silent:
            return
        for step in entry.spread.act(self.now):
            match step:
                case RequestCatalog(peer):
                    self.at(self.now + WAY, peer, ("asked", name, entry.has))
                case SendCatalog(peer):
                    entry.spread.handed_out(self.now, SIZE)
                    entry.sent.append(self.now)
                    begins = max(self.now, entry.link_free_at)
                    entry.link_free_at = begins + SIZE / (entry.mbps * BYTES_A_MEGABIT)
                    self.at(entry.link_free_at + WAY, peer, "copy")
        due = entry.spread.due()
        if due is not None:
            self.at(max(self.now + 0.02, due), name, "due")


def large_fleet(seed: int = 1) -> Fleet:
    return Fleet([WIDE] * 15 + [NARROW] * 20, seed)


def test_entries_that_the_store_tells_send_one_another_no_copy() -> None:
    fleet = large_fleet()
    for name in fleet.entries:
        fleet.store_tells(name, 1.0 + fleet.rng.uniform(0, ASK_SECONDS[0] / 2))
    fleet.run(3.0)
    assert all(entry.has == 2 for entry in fleet.entries.values())
    assert sum(entry.copies for entry in fleet.entries.values()) == 0


@pytest.mark.parametrize("seed", range(5))
@pytest.mark.parametrize("first", ["e0", "e34"], ids=["by-a-wide-link", "by-a-narrow-link"])
def test_one_entry_that_the_store_tells_is_enough(first: str, seed: int) -> None:
    fleet = large_fleet(seed)
    fleet.store_tells(first, 1.0)
    fleet.run(1.0 + APPLY)
    assert all(entry.has == 2 for entry in fleet.entries.values())
    others = [entry for name, entry in fleet.entries.items() if name != first]
    assert max(entry.copies for entry in others) <= 2
    assert sum(entry.copies for entry in others) <= 1.3 * len(others)


@pytest.mark.parametrize("entries", [10, 35, 140])
def test_copies_take_a_share_of_a_link_however_many_entries_there_are(entries: int) -> None:
    fleet = Fleet([NARROW] * entries)
    fleet.store_tells("e0", 1.0)
    fleet.run(8.0)
    assert all(entry.has == 2 for entry in fleet.entries.values())
    least_gap = SIZE / (NARROW * BYTES_A_MEGABIT * LINK_SHARE)
    for entry in fleet.entries.values():
        gaps = [later - sooner for sooner, later in pairwise(entry.sent)]
        assert all(gap >= least_gap - 1e-9 for gap in gaps)


def test_an_entry_that_does_not_answer_keeps_no_other_from_asking_elsewhere() -> None:
    fleet = large_fleet()
    fleet.silent = {f"e{number}" for number in range(10)}
    for name in fleet.silent:
        fleet.store_tells(name, 1.0)
    fleet.store_tells("e20", 1.0)
    fleet.run(1.0 + 2 * APPLY)
    assert all(entry.has == 2 for entry in fleet.entries.values())


def test_questions_that_get_no_answer_become_rarer() -> None:
    spread = CatalogSync(Random(1))
    spread.set_version(1)
    asked = []
    for now in (tick / 64 for tick in range(20 * 64)):
        spread.on_version(now, "e1", 2)
        asked += [now for step in spread.act(now) if isinstance(step, RequestCatalog)]
    gaps = [later - sooner for sooner, later in pairwise(asked)]
    expected = [min(MAX_ANSWER_SECONDS, ANSWER_SECONDS * 2**n) for n in range(len(gaps))]
    assert gaps == pytest.approx(expected, abs=1 / 32)


def test_an_entry_that_got_a_copy_elsewhere_is_not_sent_another() -> None:
    spread = CatalogSync(Random(1))
    spread.set_version(2)
    spread.on_request("e1", 1)
    spread.on_request("e2", 1)
    assert spread.act(0.0) == [SendCatalog("e1")]
    spread.handed_out(0.0, SIZE)
    spread.on_version(0.1, "e2", 2)
    assert spread.act(9.0) == []
    assert spread.due() is None


def test_no_copy_leaves_while_the_own_link_is_pressed() -> None:
    spread = CatalogSync(Random(1))
    spread.set_version(2)
    spread.on_request("e1", 1)
    assert spread.act(0.0, may_send=False) == []
    assert spread.act(0.1) == [SendCatalog("e1")]


def test_an_older_version_is_neither_asked_for_nor_asked_of() -> None:
    spread = CatalogSync(Random(1))
    spread.set_version(2)
    spread.on_version(0.0, "e1", 1)
    assert spread.due() is None
    spread.on_request("e2", 3)
    assert spread.act(5.0) == []


def test_an_entry_that_has_left_is_asked_no_more() -> None:
    spread = CatalogSync(Random(1))
    spread.set_version(1)
    spread.on_version(0.0, "e1", 2)
    spread.peer_left("e1")
    assert spread.act(1.0) == []
    assert spread.due() is None
