"""Tests for `StoreFollower`."""

import asyncio
import time

from paddleshunt_core.leased.catalog import EMPTY_CATALOG, Catalog
from paddleshunt_core.leased.evacuation import EvacuatedHalls
from paddleshunt_core.leased.wire import EntryAddress
from paddleshunt_node.aio.logwriter import LogWriter
from paddleshunt_node.aio.metrics import Metrics
from paddleshunt_node.aio.ports import OperatorUpdate, StoreUnavailableError
from paddleshunt_node.aio.process import ProcessContext
from paddleshunt_node.aio.storefollower import StoreFollower

ENTRY = EntryAddress("e1", "10.0.0.1:7720")
MAX_ANNOUNCE_DELAY = 2.0
"""Seconds after the store's recovery within which an address must be announced again."""


class Store:
    """A store that can be made unavailable."""

    def __init__(self) -> None:
        self.up = True
        self.announced: list[float] = []
        self.update = OperatorUpdate()

    async def next_update(self) -> OperatorUpdate:
        await asyncio.sleep(0.05)
        if not self.up:
            raise StoreUnavailableError("down")
        return self.update

    async def announce(self, entry: EntryAddress, seconds: float) -> None:
        if not self.up:
            raise StoreUnavailableError("down")
        self.announced.append(time.monotonic())

    async def withdraw(self) -> None:
        pass

    async def entries(self) -> list[EntryAddress]:
        return []


class Owner:
    catalog = EMPTY_CATALOG

    def __init__(self) -> None:
        self.calls: list[str] = []

    def adopt_catalog(self, catalog: Catalog, source: str) -> None:
        self.catalog = catalog
        self.calls.append("catalog")

    def apply_evacuations(self, evacuated: EvacuatedHalls, source: str) -> None:
        self.calls.append("evacuated")

    def lacks_entries(self) -> bool:
        return False

    def entry_discovered(self, entry: EntryAddress) -> None:
        pass


def test_address_is_announced_again_when_the_store_recovers() -> None:
    async def scenario() -> None:
        store = Store()
        context = ProcessContext(LogWriter("error"), Metrics())
        follower = StoreFollower(store, context, ENTRY, Owner())
        tasks = [
            asyncio.ensure_future(follower.follow()),
            asyncio.ensure_future(follower.announce()),
        ]
        await asyncio.sleep(0.2)
        assert len(store.announced) == 1
        store.up = False
        await asyncio.sleep(0.5)
        store.up = True
        recovered_at = time.monotonic()
        while len(store.announced) < 2:
            await asyncio.sleep(0.01)
        assert time.monotonic() - recovered_at < MAX_ANNOUNCE_DELAY
        for task in tasks:
            task.cancel()

    asyncio.run(asyncio.wait_for(scenario(), 20))
