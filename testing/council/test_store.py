"""The store's client, against its stand-in."""

import asyncio
import json

import pytest
from paddleshunt_core.leased.evacuation import EvacuatedHalls
from paddleshunt_council.store import Store
from paddleshunt_node.aio.ports import OperatorUpdate, StoreUnavailableError
from standins import StoreStandIn
from storescene import ENTRY, config, item, listed, play, raw_store


def test_the_configuration_is_read_and_followed() -> None:
    async def scene(store: Store, standin: StoreStandIn) -> None:
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


def test_a_forgotten_history_is_read_anew() -> None:
    async def scene(store: Store, standin: StoreStandIn) -> None:
        standin.put("op/config", config(3))
        await store.next_update()
        standin.put("op/config", config(4))
        standin.history_gone = True
        fresh = (await store.next_update()).catalog
        assert fresh is not None and fresh.version == 4

    play(scene, StoreStandIn())


def test_evacuations_come_with_the_configuration_and_are_followed() -> None:
    async def scene(store: Store, standin: StoreStandIn) -> None:
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


def test_an_evacuation_taken_back_behind_a_forgotten_history_is_known_by_its_absence() -> None:
    async def scene(store: Store, standin: StoreStandIn) -> None:
        standin.put("op/config", config(3))
        standin.put("op/evacuate/hall", b"{}")
        await store.next_update()
        standin.remove("op/evacuate/hall")
        standin.history_gone = True
        word = await store.next_update()
        assert word.evacuated == EvacuatedHalls(standin.revision, ())

    play(scene, StoreStandIn())


def test_a_watch_that_heard_nothing_does_not_move_on() -> None:
    async def scene(store: Store, standin: StoreStandIn) -> None:
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


def test_a_long_list_is_read_to_its_end() -> None:
    async def scene(store: Store, standin: StoreStandIn) -> None:
        standin.page = 1
        standin.put("op/config", config(3))
        standin.put("op/evacuate/depot", b"{}")
        standin.put("op/evacuate/hall", b"{}")
        word = await store.next_update()
        assert word.evacuated is not None and word.evacuated.halls == ("depot", "hall")

    play(scene, StoreStandIn())


@pytest.mark.parametrize("status", [429, 503])
def test_a_store_that_turns_calls_away_is_unavailable(status: int) -> None:
    async def scene(store: Store, standin: StoreStandIn) -> None:
        standin.status = status
        with pytest.raises(StoreUnavailableError, match=str(status)):
            await store.next_update()

    play(scene, StoreStandIn())


def test_entries_are_announced_under_a_lease_and_again_when_it_is_over() -> None:
    async def scene(store: Store, standin: StoreStandIn) -> None:
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
def test_an_address_that_was_taken_away_unseen_is_back_with_the_next_call(
    *, lease_too: bool
) -> None:
    async def scene(store: Store, standin: StoreStandIn) -> None:
        await store.announce(ENTRY, 12.0)
        standin.take_keys(lease_too=lease_too)
        assert await store.entries() == []
        await store.announce(ENTRY, 12.0)
        assert await store.entries() == [ENTRY]

    play(scene, StoreStandIn())


def test_an_address_is_put_anew_after_any_call_that_failed() -> None:
    """A stale read may still show a key that went while this host was turned away."""

    async def scene(store: Store, standin: StoreStandIn) -> None:
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


def test_keeping_an_address_costs_no_write_and_no_dear_read() -> None:
    async def scene(store: Store, standin: StoreStandIn) -> None:
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


def test_an_address_that_could_not_be_put_is_told() -> None:
    """The lease may be over before its key is put: the caller then tries again soon."""

    async def scene(store: Store, standin: StoreStandIn) -> None:
        standin.grants_over = True
        with pytest.raises(StoreUnavailableError):
            await store.announce(ENTRY, 12.0)
        standin.grants_over = False
        await store.announce(ENTRY, 12.0)
        assert await store.entries() == [ENTRY]

    play(scene, StoreStandIn())


def test_a_store_without_a_configuration_is_not_asked_all_the_time() -> None:
    async def scene(store: Store, standin: StoreStandIn) -> None:
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
def test_a_page_that_can_not_be_read_is_a_store_that_is_away(page: bytes) -> None:
    async def scene(store: Store, standin: StoreStandIn) -> None:
        with pytest.raises(StoreUnavailableError, match="unreadable"):
            await store.next_update()
        with pytest.raises(StoreUnavailableError, match="unreadable"):
            await store.entries()

    play(scene, raw_store(page)())


@pytest.mark.parametrize(
    "page", [b'{"at":9}', listed(more=True), b'{"at":9,"more":true}'], ids=["bare", "more", "both"]
)
def test_only_a_list_takes_an_evacuation_back(page: bytes) -> None:
    pages = [listed(item("op/config", config(3)), item("op/evacuate/hall", b"{}")), page]

    class OddStore(StoreStandIn):
        def _kv_range(self, asked: dict[str, object], path: str) -> tuple[int, object]:
            return 200, json.loads(pages[0])

    async def scene(store: Store, standin: OddStore) -> None:
        assert (await store.next_update()).evacuated == EvacuatedHalls(7, ("hall",))
        del pages[0]
        standin.history_gone = True
        with pytest.raises(StoreUnavailableError, match="without items"):
            await store.next_update()
        pages[0] = listed(item("op/config", config(3)))
        assert (await store.next_update()).evacuated == EvacuatedHalls(7, ())

    play(scene, OddStore())


def test_a_new_store_may_leave_out_that_it_is_empty() -> None:
    async def scene(store: Store, standin: StoreStandIn) -> None:
        assert (await store.next_update()).evacuated == EvacuatedHalls(1, ())
        assert await store.entries() == []

    play(scene, raw_store(b'{"at":1}')())


@pytest.mark.parametrize(
    "answer",
    [{"events": [{}]}, {"events": [5], "at": 0}, {"events": [{"key": "op/x", "revision": 1}]}],
    ids=["no-key", "no-item", "old"],
)
def test_events_without_a_revision_are_not_asked_for_all_the_time(
    answer: dict[str, object],
) -> None:
    class StuckStore(StoreStandIn):
        def _kv_watch(self, asked: dict[str, object], path: str) -> tuple[int, object]:
            return 200, answer

    async def scene(store: Store, standin: StuckStore) -> None:
        standin.put("op/config", config(3))
        await store.next_update()
        with pytest.raises(StoreUnavailableError, match="revision"):
            await store.next_update()

    play(scene, StuckStore())
