"""Items of the store of which some can't be read."""

import pytest
from paddleshunt_core.leased.evacuation import EvacuatedHalls
from paddleshunt_core.leased.refusals import Refusal, Word
from paddleshunt_council.store import Store
from standins import StoreStandIn
from storescene import ENTRY, config, item, listed, play, raw_store

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
    page = listed(odd, item("op/config", config(3)), item("op/evacuate/hall", b"{}"))
    refused: list[Refusal] = []

    async def scene(store: Store, standin: StoreStandIn) -> None:
        word = await store.next_update()
        assert word.catalog is not None and word.catalog.version == 3
        assert word.evacuated == EvacuatedHalls(7, ("hall",))
        assert [one.word for one in refused] == [Word.STORE_ITEM]

    play(scene, raw_store(page)(), refused.append)


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
    refused: list[Refusal] = []

    async def scene(store: Store, standin: StoreStandIn) -> None:
        standin.put("paddleshunt/entries/e9", odd)
        await store.announce(ENTRY, 12.0)
        assert await store.entries() == [ENTRY]
        expected = [(Word.ADDRESS, "paddleshunt/entries/e9")]
        assert [(one.word, one.sender) for one in refused] == expected

    play(scene, StoreStandIn(), refused.append)


class OddStore(StoreStandIn):
    """A store that gives one item in another shape."""

    odd = ""

    def _item(self, key: str) -> dict[str, object]:
        told = super()._item(key)
        return {**told, "value": 5} if key == self.odd else told


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


@pytest.mark.parametrize("known", [True, False])
def test_an_evacuation_whose_item_can_not_be_read_holds(known: bool) -> None:
    """That the item is there is the operator's word, whatever else it says."""

    async def scene(store: Store, standin: OddStore) -> None:
        standin.put("op/config", config(3))
        if known:
            standin.put("op/evacuate/hall", b"{}")
            await store.next_update()
        standin.odd = "op/evacuate/hall"
        standin.put("op/evacuate/hall", b"{}")
        standin.put("op/evacuate/depot", b"{}")
        standin.history_gone = True
        word = await store.next_update()
        assert word.evacuated is not None and word.evacuated.halls == ("depot", "hall")

    play(scene, OddStore())


def test_an_evacuation_that_names_no_hall_is_refused() -> None:
    refused: list[Refusal] = []

    async def scene(store: Store, standin: StoreStandIn) -> None:
        standin.put("op/config", config(3))
        standin.put("op/evacuate/", b"{}")
        word = await store.next_update()
        assert word.evacuated is not None and word.evacuated.halls == ()
        assert [one.word for one in refused] == [Word.EVACUATION]

    play(scene, StoreStandIn(), refused.append)


def test_an_event_that_can_not_be_read_is_seen_by_reading_all() -> None:
    async def scene(store: Store, standin: OddStore) -> None:
        standin.put("op/config", config(3))
        await store.next_update()
        standin.odd = "op/evacuate/hall"
        standin.put("op/evacuate/hall", b"{}")
        await store.next_update()
        standin.odd = ""
        word = await store.next_update()
        assert word.evacuated is not None and word.evacuated.halls == ("hall",)

    play(scene, OddStore())


def test_an_evacuation_is_taken_back_beside_an_item_that_can_not_be_read() -> None:
    async def scene(store: Store, standin: KeylessStore) -> None:
        standin.put("op/config", config(3))
        standin.put("op/evacuate/hall", b"{}")
        standin.put("op/odd", b"{}")
        word = await store.next_update()
        assert word.evacuated is not None and word.evacuated.halls == ("hall",)
        standin.remove("op/evacuate/hall")
        word = await store.next_update()
        assert word.evacuated is not None and word.evacuated.halls == ()

    play(scene, KeylessStore())


def test_an_item_that_is_ahead_of_the_store_does_not_hide_what_comes() -> None:
    async def scene(store: Store, standin: AheadStore) -> None:
        standin.put("op/config", config(3))
        await store.next_update()
        standin.put("op/evacuate/ahead", b"{}")
        await store.next_update()
        standin.put("op/config", config(4))
        word = await store.next_update()
        assert word.catalog is not None and word.catalog.version == 4

    play(scene, AheadStore())
