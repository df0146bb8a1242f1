"""The store's client, against its stand-in."""

import asyncio
import base64
import json
from collections.abc import Awaitable, Callable

import pytest
from paddleshunt_core.leased.catalog import RequestLimits
from paddleshunt_core.leased.evacuation import EvacuatedHalls
from paddleshunt_core.leased.refusals import Refusal, Word
from paddleshunt_core.leased.wire import EntryAddress
from paddleshunt_council.catalog import CatalogError, read_catalog
from paddleshunt_council.store import Store
from paddleshunt_node.aio.httpserver import Exchange, Response
from paddleshunt_node.aio.ports import OperatorWord, StoreUnavailableError
from standins import StoreStandIn

ENTRY = EntryAddress("e1", "10.0.0.1:7720")


def config(version: int) -> bytes:
    route = {"name": "r", "host": "h", "path_prefix": "/q/", "service": "s", "stretch": 1.6}
    return json.dumps(
        {"version": version, "routes": [route], "services": [{"name": "s"}], "limits": {}}
    ).encode()


def play(scene: Callable[[Store, StoreStandIn], Awaitable[None]]) -> None:
    async def run() -> None:
        standin = StoreStandIn()
        await standin.start()
        await scene(Store(standin.address, 1000), standin)

    asyncio.run(asyncio.wait_for(run(), 20))


def test_the_configuration_is_read_and_followed() -> None:
    async def scene(store: Store, standin: StoreStandIn) -> None:
        assert (await store.next_word()).catalog is None
        standin.put("op/config", config(3))
        first = (await store.next_word()).catalog
        assert first is not None and first.version == 3
        assert first.queues[0].prefix == "/q/"
        standin.put("op/config", config(8))
        second = (await store.next_word()).catalog
        assert second is not None and second.version == 8
        assert (await store.next_word()).catalog is None

    play(scene)


def test_a_forgotten_history_is_read_anew() -> None:
    async def scene(store: Store, standin: StoreStandIn) -> None:
        standin.put("op/config", config(3))
        await store.next_word()
        standin.put("op/config", config(4))
        standin.history_gone = True
        fresh = (await store.next_word()).catalog
        assert fresh is not None and fresh.version == 4

    play(scene)


def test_evacuations_come_with_the_configuration_and_are_followed() -> None:
    async def scene(store: Store, standin: StoreStandIn) -> None:
        standin.put("op/evacuate/depot", b"{}")
        standin.put("op/config", config(3))
        first = await store.next_word()
        assert first.catalog is not None
        assert first.evacuated == EvacuatedHalls(standin.revision, ("depot",))
        standin.put("op/evacuate/hall", b"{}")
        second = await store.next_word()
        assert second.evacuated == EvacuatedHalls(standin.revision, ("depot", "hall"))
        standin.remove("op/evacuate/depot")
        third = await store.next_word()
        assert third.evacuated == EvacuatedHalls(standin.revision, ("hall",))

    play(scene)


def test_an_evacuation_taken_back_behind_a_forgotten_history_is_known_by_its_absence() -> None:
    async def scene(store: Store, standin: StoreStandIn) -> None:
        standin.put("op/config", config(3))
        standin.put("op/evacuate/hall", b"{}")
        await store.next_word()
        standin.remove("op/evacuate/hall")
        standin.history_gone = True
        word = await store.next_word()
        assert word.evacuated == EvacuatedHalls(standin.revision, ())

    play(scene)


def test_a_watch_that_heard_nothing_does_not_move_on() -> None:
    async def scene(store: Store, standin: StoreStandIn) -> None:
        standin.put("op/config", config(3))
        await store.next_word()
        before = standin.revision
        standin.deaf = True
        standin.put("op/evacuate/hall", b"{}")
        assert await store.next_word() == OperatorWord()
        standin.deaf = False
        await store.next_word()
        asked = [asked for path, asked in standin.calls if path.endswith("kv-watch")]
        assert [int(str(row["depends_on"])) for row in asked] == [before, before]

    play(scene)


def test_a_long_list_is_read_to_its_end() -> None:
    async def scene(store: Store, standin: StoreStandIn) -> None:
        standin.page = 1
        standin.put("op/config", config(3))
        standin.put("op/evacuate/depot", b"{}")
        standin.put("op/evacuate/hall", b"{}")
        word = await store.next_word()
        assert word.evacuated is not None and word.evacuated.halls == ("depot", "hall")

    play(scene)


def test_an_unreadable_configuration_is_passed_over_with_its_reason() -> None:
    async def scene() -> None:
        standin = StoreStandIn()
        await standin.start()
        refused: list[Refusal] = []
        store = Store(standin.address, 1000, refused.append)
        standin.put("op/config", b"{}")
        assert (await store.next_word()).catalog is None
        assert "routes" in refused[0].problem or "version" in refused[0].problem

    asyncio.run(asyncio.wait_for(scene(), 20))


@pytest.mark.parametrize("status", [429, 503])
def test_a_store_that_turns_calls_away_is_unavailable(status: int) -> None:
    async def scene(store: Store, standin: StoreStandIn) -> None:
        standin.status = status
        with pytest.raises(StoreUnavailableError, match=str(status)):
            await store.next_word()

    play(scene)


def test_entries_are_announced_under_a_lease_and_again_when_it_is_over() -> None:
    async def scene(store: Store, standin: StoreStandIn) -> None:
        await store.announce(ENTRY, 12.0)
        assert await store.entries() == [ENTRY]
        await store.announce(ENTRY, 12.0)
        assert [path for path, _ in standin.calls].count("/paddleshunt/kv-txn") == 1
        standin.leases.clear()
        await store.announce(ENTRY, 12.0)
        assert [path for path, _ in standin.calls].count("/paddleshunt/kv-txn") == 2

    play(scene)


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

    play(scene)


def test_an_address_is_put_anew_after_any_call_that_failed() -> None:
    """A stale read may still show a key that went while this host was turned away."""

    async def scene(store: Store, standin: StoreStandIn) -> None:
        standin.put("op/config", config(3))
        await store.next_word()
        await store.announce(ENTRY, 12.0)
        standin.status = 503
        with pytest.raises(StoreUnavailableError):
            await store.next_word()
        standin.status = 200
        before = writes(standin)
        await store.announce(ENTRY, 12.0)
        assert writes(standin) == before + 1
        await store.announce(ENTRY, 12.0)
        assert writes(standin) == before + 1

    play(scene)


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

    play(scene)


def test_an_address_that_could_not_be_put_is_told() -> None:
    """The lease may be over before its key is put: the caller then tries again soon."""

    async def scene(store: Store, standin: StoreStandIn) -> None:
        standin.grants_over = True
        with pytest.raises(StoreUnavailableError):
            await store.announce(ENTRY, 12.0)
        standin.grants_over = False
        await store.announce(ENTRY, 12.0)
        assert await store.entries() == [ENTRY]

    play(scene)


def test_an_unreadable_catalog_says_why() -> None:
    with pytest.raises(CatalogError, match="version"):
        read_catalog(b'{"routes": [], "services": []}')


def test_a_store_without_a_configuration_is_not_asked_all_the_time() -> None:
    async def scene(store: Store, standin: StoreStandIn) -> None:
        loop = asyncio.get_running_loop()
        end = loop.time() + 0.5
        while loop.time() < end:
            await store.next_word()
        assert len(standin.calls) <= 5

    play(scene)


def raw_store(page: bytes) -> type[StoreStandIn]:
    """Return a store whose ranges and watches answer with these bytes."""

    class RawStore(StoreStandIn):
        def handle(self, exchange: Exchange) -> None:
            exchange.respond(Response(200, page, "application/json"))

    return RawStore


def listed(*items: object, **fields: object) -> bytes:
    return json.dumps({"items": items, "more": False, "at": 7, **fields}).encode()


def item(key: str, value: bytes) -> dict[str, object]:
    return {"key": key, "value": base64.b64encode(value).decode(), "revision": 5}


ODD_ITEMS: dict[str, object] = {
    "no-item": 5,
    "null": None,
    "no-key": {"value": "e30="},
    "key-of-another-type": {"key": 5},
    "value-of-another-type": {"key": "op/x", "value": 5},
    "gone-of-another-type": {"key": "op/x", "gone": "no"},
    "huge-revision": {"key": "op/x", "revision": 10**30},
    "negative-revision": {"key": "op/x", "revision": -1},
    "long-key": {"key": "op/" + "x" * 5000},
}


@pytest.mark.parametrize("odd", ODD_ITEMS.values(), ids=ODD_ITEMS.keys())
def test_an_odd_item_hides_no_other(odd: object) -> None:
    async def scene() -> None:
        page = listed(odd, item("op/config", config(3)), item("op/evacuate/hall", b"{}"))
        standin = raw_store(page)()
        await standin.start()
        refused: list[Refusal] = []
        word = await Store(standin.address, 1000, refused.append).next_word()
        assert word.catalog is not None and word.catalog.version == 3
        assert word.evacuated == EvacuatedHalls(7, ("hall",))
        assert [one.word for one in refused] == [Word.STORE_ITEM]

    asyncio.run(asyncio.wait_for(scene(), 20))


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
    async def scene() -> None:
        standin = raw_store(page)()
        await standin.start()
        store = Store(standin.address, 1000)
        with pytest.raises(StoreUnavailableError, match="unreadable"):
            await store.next_word()
        with pytest.raises(StoreUnavailableError, match="unreadable"):
            await store.entries()

    asyncio.run(asyncio.wait_for(scene(), 20))


@pytest.mark.parametrize(
    "page", [b'{"at":9}', listed(more=True), b'{"at":9,"more":true}'], ids=["bare", "more", "both"]
)
def test_only_a_list_takes_an_evacuation_back(page: bytes) -> None:
    pages = [listed(item("op/config", config(3)), item("op/evacuate/hall", b"{}")), page]

    class OddStore(StoreStandIn):
        def _kv_range(self, asked: dict[str, object], path: str) -> tuple[int, object]:
            return 200, json.loads(pages[0])

    async def scene() -> None:
        standin = OddStore()
        await standin.start()
        store = Store(standin.address, 1000)
        assert (await store.next_word()).evacuated == EvacuatedHalls(7, ("hall",))
        del pages[0]
        standin.history_gone = True
        with pytest.raises(StoreUnavailableError, match="without items"):
            await store.next_word()
        pages[0] = listed(item("op/config", config(3)))
        assert (await store.next_word()).evacuated == EvacuatedHalls(7, ())

    asyncio.run(asyncio.wait_for(scene(), 20))


def test_a_new_store_may_leave_out_that_it_is_empty() -> None:
    async def scene() -> None:
        standin = raw_store(b'{"at":1}')()
        await standin.start()
        store = Store(standin.address, 1000)
        assert (await store.next_word()).evacuated == EvacuatedHalls(1, ())
        assert await store.entries() == []

    asyncio.run(asyncio.wait_for(scene(), 20))


ODD_ADDRESSES = {
    "no-port": b'["e9","10.0.0.9"]',
    "no-number": b'["e9","10.0.0.9:port"]',
    "huge-port": b'["e9","10.0.0.9:77200"]',
    "no-host": b'["e9",":7720"]',
    "blank": b'["e9","10.0.0.9 :7720"]',
    "long-part": b'["e9","' + b"a" * 100 + b':7720"]',
    "no-name": b'["","10.0.0.9:7720"]',
    "another-type": b'{"e9":5}',
    "cut": b'["e9","10.0',
    "deep": b"[" * 100_000,
}


@pytest.mark.parametrize("odd", ODD_ADDRESSES.values(), ids=ODD_ADDRESSES.keys())
def test_an_address_that_can_not_be_dialled_is_refused_and_the_others_hold(odd: bytes) -> None:
    async def scene() -> None:
        standin = StoreStandIn()
        await standin.start()
        refused: list[Refusal] = []
        store = Store(standin.address, 1000, refused.append)
        standin.put("paddleshunt/entries/e9", odd)
        await store.announce(ENTRY, 12.0)
        assert await store.entries() == [ENTRY]
        expected = [(Word.ADDRESS, "paddleshunt/entries/e9")]
        assert [(one.word, one.sender) for one in refused] == expected

    asyncio.run(asyncio.wait_for(scene(), 20))


def configured(**fields: object) -> bytes:
    return json.dumps({**json.loads(config(9)), **fields}).encode()


def route(name: str, **fields: object) -> dict[str, object]:
    return {"name": name, "host": "h", "path_prefix": f"/{name}/", "service": "s", **fields}


@pytest.mark.parametrize(
    "odd",
    [
        5,
        {},
        route("odd", service=7),
        route("odd", priority="high"),
        route("odd", stretch=-1),
        route("odd", target_latency_ms=-1),
        route("odd", service=""),
        route("odd", host="h" * 254),
        route("odd", path_prefix="/" * 2001),
    ],
    ids=[
        "type",
        "empty",
        "service",
        "priority",
        "stretch",
        "latency",
        "no-service",
        "long-host",
        "long-prefix",
    ],
)
def test_a_route_that_can_not_be_read_takes_no_other_down(odd: object) -> None:
    refused: list[Refusal] = []
    catalog = read_catalog(configured(routes=[route("a"), odd, route("b")]), refused.append)
    assert (catalog.version, [queue.name for queue in catalog.queues]) == (9, ["a", "b"])
    assert [one.word for one in refused] == [Word.ROUTE]


def test_limits_that_can_not_be_read_leave_the_usual_ones() -> None:
    refused: list[Refusal] = []
    limits = {"max_body_bytes": -1, "max_header_bytes": 1000, "idle_timeout_ms": "long"}
    catalog = read_catalog(configured(limits=limits), refused.append)
    assert catalog.limits == RequestLimits(header_bytes=1000)
    assert [(one.word, one.sender) for one in refused] == [
        (Word.CONFIGURATION, "limits.max_body_bytes"),
        (Word.CONFIGURATION, "limits.idle_timeout_ms"),
    ]


def test_limits_of_another_type_leave_the_usual_ones() -> None:
    refused: list[Refusal] = []
    assert read_catalog(configured(limits=[1000]), refused.append).limits == RequestLimits()
    assert [(one.word, one.sender) for one in refused] == [(Word.CONFIGURATION, "limits")]


def test_a_route_may_have_any_host_of_dns_and_a_name_between_slashes() -> None:
    odd = {"host": "h" * 253, "path_prefix": "/" + "n" * 200 + "/"}
    queue = read_catalog(configured(routes=[route("a", **odd)])).queues[0]
    assert (queue.host, queue.prefix) == (odd["host"], odd["path_prefix"])


def test_a_service_that_can_not_be_read_takes_no_other_down() -> None:
    refused: list[Refusal] = []
    catalog = read_catalog(configured(services=[5, {"name": "s"}]), refused.append)
    assert [service.name for service in catalog.services] == ["s"]
    assert [one.word for one in refused] == [Word.CONFIGURATION]


@pytest.mark.parametrize(
    "raw",
    [
        configured(version="9"),
        configured(version=-9),
        configured(version=10**30),
        configured(version=None),
        configured(routes={"a": 1}),
        configured(routes=[5]),
        config(9)[:-5],
        b"\xff\xfe",
        b"[" * 100_000,
    ],
    ids=["text", "negative", "huge", "none", "no-list", "no-route", "cut", "bytes", "deep"],
)
def test_a_configuration_that_can_not_be_read_leaves_the_one_in_force(raw: bytes) -> None:
    async def scene() -> None:
        standin = StoreStandIn()
        await standin.start()
        refused: list[Refusal] = []
        store = Store(standin.address, 1000, refused.append)
        standin.put("op/config", config(3))
        await store.next_word()
        standin.put("op/config", raw)
        assert (await store.next_word()).catalog is None
        assert (refused[-1].word, refused[-1].sender) == (Word.CONFIGURATION, "op/config")
        standin.put("op/config", config(10))
        word = await store.next_word()
        assert word.catalog is not None and word.catalog.version == 10

    asyncio.run(asyncio.wait_for(scene(), 20))


def test_a_configuration_that_goes_back_is_refused() -> None:
    async def scene() -> None:
        standin = StoreStandIn()
        await standin.start()
        refused: list[Refusal] = []
        store = Store(standin.address, 1000, refused.append)
        standin.put("op/config", config(8))
        await store.next_word()
        standin.put("op/config", config(5))
        assert (await store.next_word()).catalog is None
        assert [one.problem for one in refused] == ["version 5 after 8"]

    asyncio.run(asyncio.wait_for(scene(), 20))


@pytest.mark.parametrize("known", [True, False])
def test_an_evacuation_whose_item_can_not_be_read_holds(known: bool) -> None:
    """That the item is there is the operator's word, whatever else it says."""

    async def scene() -> None:
        standin = OddStore()
        await standin.start()
        store = Store(standin.address, 1000)
        standin.put("op/config", config(3))
        if known:
            standin.put("op/evacuate/hall", b"{}")
            await store.next_word()
        standin.odd = "op/evacuate/hall"
        standin.put("op/evacuate/hall", b"{}")
        standin.put("op/evacuate/depot", b"{}")
        standin.history_gone = True
        word = await store.next_word()
        assert word.evacuated is not None and word.evacuated.halls == ("depot", "hall")

    asyncio.run(asyncio.wait_for(scene(), 20))


def test_an_evacuation_that_names_no_hall_is_refused() -> None:
    async def scene() -> None:
        standin = StoreStandIn()
        await standin.start()
        refused: list[Refusal] = []
        store = Store(standin.address, 1000, refused.append)
        standin.put("op/config", config(3))
        standin.put("op/evacuate/", b"{}")
        word = await store.next_word()
        assert word.evacuated is not None and word.evacuated.halls == ()
        assert [one.word for one in refused] == [Word.EVACUATION]

    asyncio.run(asyncio.wait_for(scene(), 20))


class OddStore(StoreStandIn):
    """A store that gives one item in another shape."""

    odd = ""

    def _item(self, key: str) -> dict[str, object]:
        told = super()._item(key)
        return {**told, "value": 5} if key == self.odd else told


def test_an_event_that_can_not_be_read_is_seen_by_reading_all() -> None:
    async def scene() -> None:
        standin = OddStore()
        await standin.start()
        store = Store(standin.address, 1000)
        standin.put("op/config", config(3))
        await store.next_word()
        standin.odd = "op/evacuate/hall"
        standin.put("op/evacuate/hall", b"{}")
        await store.next_word()
        standin.odd = ""
        word = await store.next_word()
        assert word.evacuated is not None and word.evacuated.halls == ("hall",)

    asyncio.run(asyncio.wait_for(scene(), 20))


def test_an_evacuation_is_taken_back_beside_an_item_that_can_not_be_read() -> None:
    async def scene() -> None:
        standin = KeylessStore()
        await standin.start()
        store = Store(standin.address, 1000)
        standin.put("op/config", config(3))
        standin.put("op/evacuate/hall", b"{}")
        standin.put("op/odd", b"{}")
        word = await store.next_word()
        assert word.evacuated is not None and word.evacuated.halls == ("hall",)
        standin.remove("op/evacuate/hall")
        word = await store.next_word()
        assert word.evacuated is not None and word.evacuated.halls == ()

    asyncio.run(asyncio.wait_for(scene(), 20))


class KeylessStore(StoreStandIn):
    """A store that gives one item without its key."""

    def _item(self, key: str) -> dict[str, object]:
        told = super()._item(key)
        return {**told, "key": 5} if key == "op/odd" else told


class AheadStore(StoreStandIn):
    """A store of which one item names a revision of years to come."""

    def _item(self, key: str) -> dict[str, object]:
        told = super()._item(key)
        return {**told, "revision": 10**12} if key == "op/evacuate/ahead" else told


def test_an_item_that_is_ahead_of_the_store_does_not_hide_what_comes() -> None:
    async def scene() -> None:
        standin = AheadStore()
        await standin.start()
        store = Store(standin.address, 1000)
        standin.put("op/config", config(3))
        await store.next_word()
        standin.put("op/evacuate/ahead", b"{}")
        await store.next_word()
        standin.put("op/config", config(4))
        word = await store.next_word()
        assert word.catalog is not None and word.catalog.version == 4

    asyncio.run(asyncio.wait_for(scene(), 20))


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

    async def scene() -> None:
        standin = StuckStore()
        await standin.start()
        store = Store(standin.address, 1000)
        standin.put("op/config", config(3))
        await store.next_word()
        with pytest.raises(StoreUnavailableError, match="revision"):
            await store.next_word()

    asyncio.run(asyncio.wait_for(scene(), 20))
