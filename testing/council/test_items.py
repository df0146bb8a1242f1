"""Tests of invalid items in the store, which must not hide the valid ones."""

import pytest
from paddleshunt_core.leased.evacuation import EvacuatedHalls
from paddleshunt_core.leased.refusals import InputKind, Refusal
from paddleshunt_council.store import StoreClient
from standins import StoreStandIn
from storescene import ENTRY, config, item, listed, play, raw_store

INVALID_ITEMS: dict[str, object] = {
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


@pytest.mark.parametrize("invalid", INVALID_ITEMS.values(), ids=INVALID_ITEMS.keys())
def test_invalid_item_does_not_hide_the_others(invalid: object) -> None:
    page = listed(invalid, item("op/config", config(3)), item("op/evacuate/hall", b"{}"))
    refused: list[Refusal] = []

    async def scene(store: StoreClient, standin: StoreStandIn) -> None:
        update = await store.next_update()
        assert update.catalog is not None and update.catalog.version == 3
        assert update.evacuated == EvacuatedHalls(7, ("hall",))
        assert [one.kind for one in refused] == [InputKind.STORE_ITEM]

    play(scene, raw_store(page)(), refused.append)


INVALID_ADDRESSES = {
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


@pytest.mark.parametrize("invalid", INVALID_ADDRESSES.values(), ids=INVALID_ADDRESSES.keys())
def test_invalid_address_is_refused_and_the_others_are_kept(invalid: bytes) -> None:
    refused: list[Refusal] = []

    async def scene(store: StoreClient, standin: StoreStandIn) -> None:
        standin.put("paddleshunt/entries/e9", invalid)
        await store.announce(ENTRY, 12.0)
        assert await store.entries() == [ENTRY]
        expected = [(InputKind.ADDRESS, "paddleshunt/entries/e9")]
        assert [(one.kind, one.sender) for one in refused] == expected

    play(scene, StoreStandIn(), refused.append)


class InvalidItemStore(StoreStandIn):
    """A store that returns the item of one key with a value of another type."""

    invalid = ""

    def _item(self, key: str) -> dict[str, object]:
        item_fields = super()._item(key)
        return {**item_fields, "value": 5} if key == self.invalid else item_fields


class KeylessStore(StoreStandIn):
    """A store that returns one item with a key of another type."""

    def _item(self, key: str) -> dict[str, object]:
        item_fields = super()._item(key)
        return {**item_fields, "key": 5} if key == "op/invalid" else item_fields


class AheadRevisionStore(StoreStandIn):
    """A store that returns one item with a revision far ahead of its own."""

    def _item(self, key: str) -> dict[str, object]:
        item_fields = super()._item(key)
        return {**item_fields, "revision": 10**12} if key == "op/evacuate/ahead" else item_fields


@pytest.mark.parametrize("known", [True, False])
def test_unreadable_evacuation_item_still_evacuates(known: bool) -> None:
    """The item's key alone tells that the hall is evacuated."""

    async def scene(store: StoreClient, standin: InvalidItemStore) -> None:
        standin.put("op/config", config(3))
        if known:
            standin.put("op/evacuate/hall", b"{}")
            await store.next_update()
        standin.invalid = "op/evacuate/hall"
        standin.put("op/evacuate/hall", b"{}")
        standin.put("op/evacuate/depot", b"{}")
        standin.history_gone = True
        update = await store.next_update()
        assert update.evacuated is not None and update.evacuated.halls == ("depot", "hall")

    play(scene, InvalidItemStore())


def test_evacuation_without_a_hall_is_refused() -> None:
    refused: list[Refusal] = []

    async def scene(store: StoreClient, standin: StoreStandIn) -> None:
        standin.put("op/config", config(3))
        standin.put("op/evacuate/", b"{}")
        update = await store.next_update()
        assert update.evacuated is not None and update.evacuated.halls == ()
        assert [one.kind for one in refused] == [InputKind.EVACUATION]

    play(scene, StoreStandIn(), refused.append)


def test_unreadable_event_causes_a_full_read() -> None:
    async def scene(store: StoreClient, standin: InvalidItemStore) -> None:
        standin.put("op/config", config(3))
        await store.next_update()
        standin.invalid = "op/evacuate/hall"
        standin.put("op/evacuate/hall", b"{}")
        await store.next_update()
        standin.invalid = ""
        update = await store.next_update()
        assert update.evacuated is not None and update.evacuated.halls == ("hall",)

    play(scene, InvalidItemStore())


def test_evacuation_ends_beside_an_unreadable_item() -> None:
    async def scene(store: StoreClient, standin: KeylessStore) -> None:
        standin.put("op/config", config(3))
        standin.put("op/evacuate/hall", b"{}")
        standin.put("op/invalid", b"{}")
        update = await store.next_update()
        assert update.evacuated is not None and update.evacuated.halls == ("hall",)
        standin.remove("op/evacuate/hall")
        update = await store.next_update()
        assert update.evacuated is not None and update.evacuated.halls == ()

    play(scene, KeylessStore())


def test_item_with_a_future_revision_hides_no_later_event() -> None:
    async def scene(store: StoreClient, standin: AheadRevisionStore) -> None:
        standin.put("op/config", config(3))
        await store.next_update()
        standin.put("op/evacuate/ahead", b"{}")
        await store.next_update()
        standin.put("op/config", config(4))
        update = await store.next_update()
        assert update.catalog is not None and update.catalog.version == 4

    play(scene, AheadRevisionStore())
