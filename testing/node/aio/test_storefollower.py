"""An entry's address in the store, and the configuration from it."""

import asyncio
import time

from paddleshunt_core.leased.catalog import EMPTY, Catalog
from paddleshunt_core.leased.evacuation import EvacuatedHalls
from paddleshunt_core.leased.wire import EntryAddress
from paddleshunt_node.aio.logwriter import LogWriter
from paddleshunt_node.aio.metrics import Metrics
from paddleshunt_node.aio.ports import OperatorUpdate, StoreUnavailableError
from paddleshunt_node.aio.process import ProcessContext
from paddleshunt_node.aio.storefollower import StoreFollower

ENTRY = EntryAddress("e1", "10.0.0.1:7720")
BACK_SECONDS = 2.0
"""Seconds after the store's return in which a lapsed address must be back."""


class Store:
    """A store that can be down, and that forgets addresses meanwhile."""

    def __init__(self) -> None:
        self.up = True
        self.announced: list[float] = []
        self.word = OperatorUpdate()

    async def next_update(self) -> OperatorUpdate:
        await asyncio.sleep(0.05)
        if not self.up:
            raise StoreUnavailableError("down")
        return self.word

    async def announce(self, entry: EntryAddress, seconds: float) -> None:
        if not self.up:
            raise StoreUnavailableError("down")
        self.announced.append(time.monotonic())

    async def withdraw(self) -> None:
        pass

    async def entries(self) -> list[EntryAddress]:
        return []


class Owner:
    catalog = EMPTY

    def __init__(self) -> None:
        self.took: list[str] = []

    def adopt_catalog(self, catalog: Catalog, source: str) -> None:
        self.catalog = catalog
        self.took.append("catalog")

    def apply_evacuations(self, evacuated: EvacuatedHalls, source: str) -> None:
        self.took.append("evacuated")

    def lacks_entries(self) -> bool:
        return False

    def entry_discovered(self, entry: EntryAddress) -> None:
        pass


def test_an_address_that_may_have_lapsed_is_told_again_at_the_stores_return() -> None:
    async def scene() -> None:
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
        back = time.monotonic()
        while len(store.announced) < 2:
            await asyncio.sleep(0.01)
        assert time.monotonic() - back < BACK_SECONDS
        for task in tasks:
            task.cancel()

    asyncio.run(asyncio.wait_for(scene(), 20))
