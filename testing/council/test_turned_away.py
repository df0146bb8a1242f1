"""A store that turns an entry away and takes its address: it is back soon after the store is."""

import asyncio

import pytest
from councilsystem import until_true
from paddleshunt_core.leased.catalog import EMPTY_CATALOG, Catalog
from paddleshunt_core.leased.evacuation import EvacuatedHalls
from paddleshunt_core.leased.wire import EntryAddress
from paddleshunt_council.store import ENTRIES_PREFIX, Store
from paddleshunt_node.aio import storefollower
from paddleshunt_node.aio.logwriter import LogWriter
from paddleshunt_node.aio.metrics import Metrics
from paddleshunt_node.aio.process import ProcessContext
from paddleshunt_node.aio.storefollower import StoreFollower
from paddleshunt_platform.standins.ports import free_port
from soakstore import SoakStore

ENTRY = EntryAddress("e1", "10.0.0.1:7720")
KEY = ENTRIES_PREFIX + ENTRY.name
AWAY_CALLS = 3
"""Calls that fail while the store is away: by then, the entry has noticed."""

BACK_CALLS = 8
"""Calls in which the address must be back: a watch or two, and one round of announcing."""

BACK_SECONDS = 15.0
"""Seconds in which it must be back, also on a busy machine."""

MOST_PAUSE = 0.5
"""Seconds between two calls of an entry whose store is away."""

RARE_SECONDS = 3600.0
"""Seconds between rounds that are none of the reasons why the address is back."""

CONFIG = b'{"version":3,"routes":[],"services":[],"limits":{}}'


class Owner:
    """An entry that knows others."""

    catalog = EMPTY_CATALOG

    def adopt_catalog(self, catalog: Catalog, source: str) -> None:
        self.catalog = catalog

    def apply_evacuations(self, evacuated: EvacuatedHalls, source: str) -> None:
        pass

    def lacks_entries(self) -> bool:
        return False

    def entry_discovered(self, entry: EntryAddress) -> None:
        pass


async def _back(store: SoakStore, fault: str) -> int:
    """Turn the entry away and take its key; return how many calls it took to be back."""
    port = free_port()
    await store.listen("e1", ("127.0.0.1", port))
    store.put("op/config", CONFIG)
    around = ProcessContext(LogWriter("error"), Metrics())
    client = Store(f"127.0.0.1:{port}", 1000)
    follower = StoreFollower(client, around, ENTRY, Owner())
    loops = (store.run(), follower.follow(), follower.announce())
    tasks = [asyncio.ensure_future(loop) for loop in loops]
    await until_true(lambda: store.has(KEY))
    await until_true(lambda: bool(store._watches))
    if fault == "refused":
        store.faults.turned_away = {"e1"}
    elif fault == "silent":
        store.faults.down = True
    store.end_leases()
    assert not store.has(KEY)
    away = store.calls + (AWAY_CALLS if fault != "unseen" else 0)
    await until_true(lambda: store.calls >= away)
    assert not store.has(KEY)
    store.faults.turned_away = set()
    store.faults.down = False
    began = store.calls
    await asyncio.wait_for(until_true(lambda: store.has(KEY)), BACK_SECONDS)
    for task in tasks:
        task.cancel()
    return store.calls - began


@pytest.mark.parametrize("fault", ["refused", "silent"])
def test_an_entry_that_was_turned_away_is_announced_again_soon(
    monkeypatch: pytest.MonkeyPatch, fault: str
) -> None:
    monkeypatch.setattr(storefollower, "ANNOUNCE_SECONDS", RARE_SECONDS)
    assert storefollower.STORE_RETRY_SECONDS <= MOST_PAUSE
    assert asyncio.run(asyncio.wait_for(_back(SoakStore(), fault), 60)) <= BACK_CALLS


def test_an_address_that_went_unseen_is_back_with_the_next_round(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(storefollower, "ANNOUNCE_SECONDS", 3.0)
    assert asyncio.run(asyncio.wait_for(_back(SoakStore(), "unseen"), 60)) <= BACK_CALLS
