"""A store that fails and drops an entry's address gets it back soon after it recovers."""

import asyncio

import pytest
from councilsystem import until_true
from paddleshunt_core.leased.catalog import EMPTY_CATALOG, Catalog
from paddleshunt_core.leased.evacuation import EvacuatedHalls
from paddleshunt_core.leased.wire import EntryAddress
from paddleshunt_council.store import ENTRIES_PREFIX, StoreClient
from paddleshunt_node.aio import storefollower
from paddleshunt_node.aio.logwriter import LogWriter
from paddleshunt_node.aio.metrics import Metrics
from paddleshunt_node.aio.process import ProcessContext
from paddleshunt_node.aio.storefollower import StoreFollower
from paddleshunt_platform.standins.ports import free_port
from soakstore import SoakStore

ENTRY = EntryAddress("e1", "10.0.0.1:7720")
KEY = ENTRIES_PREFIX + ENTRY.name
FAILED_CALLS = 3
"""Calls that fail before the store recovers, enough for the entry to notice the failure."""

MAX_RECOVERY_CALLS = 8
"""Calls after which the address must be back: two watches and one announcement."""

MAX_RECOVERY_SECONDS = 15.0
"""Seconds after which the address must be back, also on a busy host."""

MAX_RETRY_SECONDS = 0.5
"""Longest allowed pause between calls of an entry whose store is unavailable."""

DISABLED_INTERVAL = 3600.0
"""Seconds between announcements, too long for a regular one to restore the address."""

CONFIG = b'{"version":3,"routes":[],"services":[],"limits":{}}'


class EntryOwner:
    """An entry that needs no further entries."""

    catalog = EMPTY_CATALOG

    def adopt_catalog(self, catalog: Catalog, source: str) -> None:
        self.catalog = catalog

    def apply_evacuations(self, evacuated: EvacuatedHalls, source: str) -> None:
        pass

    def lacks_entries(self) -> bool:
        return False

    def entry_discovered(self, entry: EntryAddress) -> None:
        pass


async def _calls_until_restored(store: SoakStore, fault: str) -> int:
    """Cause the fault and drop the entry's key. Return the calls until the key is back."""
    port = free_port()
    await store.listen("e1", ("127.0.0.1", port))
    store.put("op/config", CONFIG)
    context = ProcessContext(LogWriter("error"), Metrics())
    client = StoreClient(f"127.0.0.1:{port}", 1000)
    follower = StoreFollower(client, context, ENTRY, EntryOwner())
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
    calls_noticed = store.calls + (FAILED_CALLS if fault != "unseen" else 0)
    await until_true(lambda: store.calls >= calls_noticed)
    assert not store.has(KEY)
    store.faults.turned_away = set()
    store.faults.down = False
    calls_before = store.calls
    await asyncio.wait_for(until_true(lambda: store.has(KEY)), MAX_RECOVERY_SECONDS)
    for task in tasks:
        task.cancel()
    return store.calls - calls_before


@pytest.mark.parametrize("fault", ["refused", "silent"])
def test_rejected_entry_is_published_again_soon(
    monkeypatch: pytest.MonkeyPatch, fault: str
) -> None:
    monkeypatch.setattr(storefollower, "ADDRESS_TTL_SECONDS", DISABLED_INTERVAL)
    assert storefollower.STORE_RETRY_SECONDS <= MAX_RETRY_SECONDS
    assert (
        asyncio.run(asyncio.wait_for(_calls_until_restored(SoakStore(), fault), 60))
        <= MAX_RECOVERY_CALLS
    )


def test_silently_removed_address_is_restored_by_the_next_round(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(storefollower, "ADDRESS_TTL_SECONDS", 3.0)
    assert (
        asyncio.run(asyncio.wait_for(_calls_until_restored(SoakStore(), "unseen"), 60))
        <= MAX_RECOVERY_CALLS
    )
