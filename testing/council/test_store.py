"""Tests of the store client against a stand-in of the store."""

import asyncio
import json

import pytest
from paddleshunt_core.leased.evacuation import EvacuatedHalls
from paddleshunt_council.store import StoreClient
from paddleshunt_node.aio.ports import OperatorUpdate, StoreUnavailableError
from standins import StoreStandIn
from storescene import ENTRY, config, item, listed, play, raw_store


def test_configuration_is_read_and_watched() -> None:
    async def scene(store: StoreClient, standin: StoreStandIn) -> None:
        assert (await store.next_update()).catalog is None
        standin.put("op/config", config(3))
        first = (await store.next_update()).catalog
        assert first is not None and first.version == 3
        assert first.queues[0].prefix == "/q/"
        standin.put("op/config", config(8))
        second = (await store.next_update()).catalog
        assert second is not None and second.version == 8
        assert (await store.next_update()).catalog is None

    play(scene, StoreStandIn())


def test_compacted_history_causes_a_full_read() -> None:
    async def scene(store: StoreClient, standin: StoreStandIn) -> None:
        standin.put("op/config", config(3))
        await store.next_update()
        standin.put("op/config", config(4))
        standin.history_gone = True
        fresh = (await store.next_update()).catalog
        assert fresh is not None and fresh.version == 4

    play(scene, StoreStandIn())


def test_evacuations_are_read_and_watched() -> None:
    async def scene(store: StoreClient, standin: StoreStandIn) -> None:
        standin.put("op/evacuate/depot", b"{}")
        standin.put("op/config", config(3))
        first = await store.next_update()
        assert first.catalog is not None
        assert first.evacuated == EvacuatedHalls(standin.revision, ("depot",))
        standin.put("op/evacuate/hall", b"{}")
        second = await store.next_update()
        assert second.evacuated == EvacuatedHalls(standin.revision, ("depot", "hall"))
        standin.remove("op/evacuate/depot")
        third = await store.next_update()
        assert third.evacuated == EvacuatedHalls(standin.revision, ("hall",))

    play(scene, StoreStandIn())


def test_full_read_ends_evacuations_that_were_removed() -> None:
    async def scene(store: StoreClient, standin: StoreStandIn) -> None:
        standin.put("op/config", config(3))
        standin.put("op/evacuate/hall", b"{}")
        await store.next_update()
        standin.remove("op/evacuate/hall")
        standin.history_gone = True
        update = await store.next_update()
        assert update.evacuated == EvacuatedHalls(standin.revision, ())

    play(scene, StoreStandIn())


def test_watch_without_events_keeps_its_revision() -> None:
    async def scene(store: StoreClient, standin: StoreStandIn) -> None:
        standin.put("op/config", config(3))
        await store.next_update()
        before = standin.revision
        standin.deaf = True
        standin.put("op/evacuate/hall", b"{}")
        assert await store.next_update() == OperatorUpdate()
        standin.deaf = False
        await store.next_update()
        asked = [asked for path, asked in standin.calls if path.endswith("kv-watch")]
        assert [int(str(row["depends_on"])) for row in asked] == [before, before]

    play(scene, StoreStandIn())


def test_all_pages_are_read() -> None:
    async def scene(store: StoreClient, standin: StoreStandIn) -> None:
        standin.page = 1
        standin.put("op/config", config(3))
        standin.put("op/evacuate/depot", b"{}")
        standin.put("op/evacuate/hall", b"{}")
        update = await store.next_update()
        assert update.evacuated is not None and update.evacuated.halls == ("depot", "hall")

    play(scene, StoreStandIn())


@pytest.mark.parametrize("status", [429, 503])
def test_rejected_call_raises_store_unavailable(status: int) -> None:
    async def scene(store: StoreClient, standin: StoreStandIn) -> None:
        standin.status = status
        with pytest.raises(StoreUnavailableError, match=str(status)):
            await store.next_update()

    play(scene, StoreStandIn())


def test_address_is_put_again_when_its_lease_expires() -> None:
    async def scene(store: StoreClient, standin: StoreStandIn) -> None:
        await store.announce(ENTRY, 12.0)
        assert await store.entries() == [ENTRY]
        await store.announce(ENTRY, 12.0)
        assert [path for path, _ in standin.calls].count("/paddleshunt/kv-txn") == 1
        standin.leases.clear()
        await store.announce(ENTRY, 12.0)
        assert [path for path, _ in standin.calls].count("/paddleshunt/kv-txn") == 2

    play(scene, StoreStandIn())


def writes(standin: StoreStandIn) -> int:
    return sum(
        path in ("/paddleshunt/kv-txn", "/paddleshunt/kv-lease") for path, _ in standin.calls
    )


@pytest.mark.parametrize("lease_too", [True, False], ids=["lease-revoked", "keys-alone"])
def test_removed_address_is_restored_by_the_next_announcement(*, lease_too: bool) -> None:
    async def scene(store: StoreClient, standin: StoreStandIn) -> None:
        await store.announce(ENTRY, 12.0)
        standin.take_keys(lease_too=lease_too)
        assert await store.entries() == []
        await store.announce(ENTRY, 12.0)
        assert await store.entries() == [ENTRY]

    play(scene, StoreStandIn())


def test_address_is_put_again_after_a_failed_call() -> None:
    """A stale read may still show a key that was removed while calls failed."""

    async def scene(store: StoreClient, standin: StoreStandIn) -> None:
        standin.put("op/config", config(3))
        await store.next_update()
        await store.announce(ENTRY, 12.0)
        standin.status = 503
        with pytest.raises(StoreUnavailableError):
            await store.next_update()
        standin.status = 200
        before = writes(standin)
        await store.announce(ENTRY, 12.0)
        assert writes(standin) == before + 1
        await store.announce(ENTRY, 12.0)
        assert writes(standin) == before + 1

    play(scene, StoreStandIn())


def test_renewal_needs_no_write_and_only_stale_reads() -> None:
    async def scene(store: StoreClient, standin: StoreStandIn) -> None:
        await store.announce(ENTRY, 12.0)
        standin.calls.clear()
        for _ in range(5):
            await store.announce(ENTRY, 12.0)
        assert writes(standin) == 0
        reads = [
            asked for path, asked in standin.calls if not path.startswith("/paddleshunt/kv-keep")
        ]
        assert len(standin.calls) == 10
        assert all(asked["stale"] == "1" for asked in reads)

    play(scene, StoreStandIn())


def test_lease_that_expires_before_the_put_raises() -> None:
    """The caller then retries soon, as the address isn't published."""

    async def scene(store: StoreClient, standin: StoreStandIn) -> None:
        standin.grants_over = True
        with pytest.raises(StoreUnavailableError):
            await store.announce(ENTRY, 12.0)
        standin.grants_over = False
        await store.announce(ENTRY, 12.0)
        assert await store.entries() == [ENTRY]

    play(scene, StoreStandIn())


def test_store_without_configuration_is_polled_slowly() -> None:
    async def scene(store: StoreClient, standin: StoreStandIn) -> None:
        loop = asyncio.get_running_loop()
        end = loop.time() + 0.5
        while loop.time() < end:
            await store.next_update()
        assert len(standin.calls) <= 5

    play(scene, StoreStandIn())


@pytest.mark.parametrize(
    "page",
    [
        b"",
        b"[]",
        listed()[:-9],
        listed(at=-7),
        listed(at=10**30),
        listed(at="7"),
        b"{}",
        b'{"items":[],"more":false}',
        b'{"items":5,"at":7}',
        b'{"at":7,"items":[' + b"[" * 100_000,
        b'{"at":7,"items":["\xff',
    ],
    ids=[
        "empty",
        "type",
        "cut",
        "negative",
        "huge",
        "text",
        "bare",
        "no-revision",
        "no-list",
        "deep",
        "bytes",
    ],
)
def test_unreadable_page_raises_store_unavailable(page: bytes) -> None:
    async def scene(store: StoreClient, standin: StoreStandIn) -> None:
        with pytest.raises(StoreUnavailableError, match="unreadable"):
            await store.next_update()
        with pytest.raises(StoreUnavailableError, match="unreadable"):
            await store.entries()

    play(scene, raw_store(page)())


@pytest.mark.parametrize(
    "page", [b'{"at":9}', listed(more=True), b'{"at":9,"more":true}'], ids=["bare", "more", "both"]
)
def test_page_without_list_ends_no_evacuation(page: bytes) -> None:
    pages = [listed(item("op/config", config(3)), item("op/evacuate/hall", b"{}")), page]

    class OddStore(StoreStandIn):
        def _kv_range(self, asked: dict[str, object], path: str) -> tuple[int, object]:
            return 200, json.loads(pages[0])

    async def scene(store: StoreClient, standin: OddStore) -> None:
        assert (await store.next_update()).evacuated == EvacuatedHalls(7, ("hall",))
        del pages[0]
        standin.history_gone = True
        with pytest.raises(StoreUnavailableError, match="without items"):
            await store.next_update()
        pages[0] = listed(item("op/config", config(3)))
        assert (await store.next_update()).evacuated == EvacuatedHalls(7, ())

    play(scene, OddStore())


def test_empty_store_may_omit_its_items() -> None:
    async def scene(store: StoreClient, standin: StoreStandIn) -> None:
        assert (await store.next_update()).evacuated == EvacuatedHalls(1, ())
        assert await store.entries() == []

    play(scene, raw_store(b'{"at":1}')())


@pytest.mark.parametrize(
    "answer",
    [{"events": [{}]}, {"events": [5], "at": 0}, {"events": [{"key": "op/x", "revision": 1}]}],
    ids=["no-key", "no-item", "old"],
)
def test_events_without_a_new_revision_raise(
    answer: dict[str, object],
) -> None:
    class StuckStore(StoreStandIn):
        def _kv_watch(self, asked: dict[str, object], path: str) -> tuple[int, object]:
            return 200, answer

    async def scene(store: StoreClient, standin: StuckStore) -> None:
        standin.put("op/config", config(3))
        await store.next_update()
        with pytest.raises(StoreUnavailableError, match="revision"):
            await store.next_update()

    play(scene, StuckStore())
