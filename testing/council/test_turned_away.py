"""A store that turns an entry away and takes its address: it is back soon after the store is."""

import asyncio
from time import monotonic

import pytest
from paddleshunt_core.leased.catalog import EMPTY, Catalog
from paddleshunt_core.leased.evacuation import EvacuatedHalls
from paddleshunt_core.leased.wire import EntryAddress
from paddleshunt_council.store import ENTRIES_PREFIX, Store
from paddleshunt_node.aio import storefollower
from paddleshunt_node.aio.logline import LogLines
from paddleshunt_node.aio.measures import Measures
from paddleshunt_node.aio.process import Surroundings
from paddleshunt_node.aio.storefollower import StoreFollower
from paddleshunt_platform.standins.ports import free_port
from soakstore import SoakStore

ENTRY = EntryAddress("e1", "10.0.0.1:7720")
KEY = ENTRIES_PREFIX + ENTRY.name
AWAY_SECONDS = 1.6
BACK_SECONDS = 2.0
"""Seconds after the store's return in which the address must be back."""

CONFIG = b'{"version":3,"routes":[],"services":[],"limits":{}}'


class Owner:
    """An entry that knows others."""

    catalog = EMPTY

    def adopt(self, catalog: Catalog, source: str) -> None:
        self.catalog = catalog

    def learn(self, evacuated: EvacuatedHalls, source: str) -> None:
        pass

    def lacks_entries(self) -> bool:
        return False

    def met(self, entry: EntryAddress) -> None:
        pass


async def _back(store: SoakStore, fault: str) -> float:
    """Turn the entry away and take its key; return the seconds that it took to be back."""
    port = free_port()
    await store.listen("e1", ("127.0.0.1", port))
    store.put("op/config", CONFIG)
    around = Surroundings(LogLines("error"), Measures())
    client = Store(f"127.0.0.1:{port}", 1000)
    follower = StoreFollower(client, around, ENTRY, Owner())
    loops = (store.run(), follower.follow(), follower.announce())
    tasks = [asyncio.ensure_future(loop) for loop in loops]
    await asyncio.sleep(0.5)
    assert store.has(KEY)
    if fault == "refused":
        store.faults.turned_away = {"e1"}
    elif fault == "silent":
        store.faults.down = True
    store.end_leases()
    assert not store.has(KEY)
    await asyncio.sleep(AWAY_SECONDS if fault != "unseen" else 0.0)
    store.faults.turned_away = set()
    store.faults.down = False
    began = monotonic()
    while not store.has(KEY):
        await asyncio.sleep(0.02)
    for task in tasks:
        task.cancel()
    return monotonic() - began


@pytest.mark.parametrize("fault", ["refused", "silent"])
def test_an_entry_that_was_turned_away_is_announced_again_soon(fault: str) -> None:
    took = asyncio.run(asyncio.wait_for(_back(SoakStore(), fault), 20))
    assert took < BACK_SECONDS


def test_an_address_that_went_unseen_is_back_with_the_next_round(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(storefollower, "ANNOUNCE_SECONDS", 3.0)
    took = asyncio.run(asyncio.wait_for(_back(SoakStore(), "unseen"), 20))
    assert took < 3.0 / 3 + 0.5
