import pytest
from fakestore import FakeStore
from paddleshunt_core.table import EMPTY_TABLE, EditConflict, Row, revise
from paddleshunt_platform.store import Unanswered, Unreachable, Value
from paddleshunt_platform.tableedit import (
    Applied,
    NotApplied,
    OutcomeUnknown,
    apply_edit,
    read_table,
)

HALL = Row("results", "hall", 1, 8, 8)
DEPOT = Row("results", "depot", 1, 8, 8)


@pytest.fixture
def store() -> FakeStore:
    store = FakeStore()
    assert isinstance(edit(store, [HALL], 0, "first"), Applied)
    return store


def edit(store: FakeStore, rows: list[Row], base: int, name: str) -> object:
    return apply_edit(store, rows, base, name, sleep=lambda seconds: None)


def test_conflict_has_the_changes_of_the_other_edit(store: FakeStore) -> None:
    assert isinstance(edit(store, [HALL, DEPOT], 1, "one"), Applied)
    late = edit(store, [HALL], 1, "two")
    assert isinstance(late, EditConflict)
    assert (late.base, late.found) == (1, 2)
    assert [change.after for change in late.changes] == [DEPOT]
    stored = read_table(store)
    assert not isinstance(stored, NotApplied)
    assert stored.document.edit == "one"


def test_lost_answer_is_settled_by_reading_the_own_edit(store: FakeStore) -> None:
    store.lose_answers = 1
    found = edit(store, [DEPOT], 1, "mine")
    assert isinstance(found, Applied)
    assert found.document.edit == "mine"


def test_own_edit_is_found_behind_a_later_one(store: FakeStore) -> None:
    store.lose_answers = 1
    written = store.written

    def overtake(value: Value) -> None:
        store.written = written
        edit(store, [HALL], 2, "other")

    store.written = overtake
    assert isinstance(edit(store, [DEPOT], 1, "mine"), Applied)


def test_edit_without_an_answer_has_an_unknown_outcome(store: FakeStore) -> None:
    class SilentStore(FakeStore):
        def compare_and_swap(self, key: str, data: bytes, version: int) -> object:
            return Unanswered("lost")

    silent_store = SilentStore()
    silent_store.values = store.values
    assert edit(silent_store, [DEPOT], 1, "mine") == OutcomeUnknown("mine", "lost")


def test_store_down_is_not_applied(store: FakeStore) -> None:
    store.down = True
    assert isinstance(edit(store, [DEPOT], 1, "mine"), NotApplied)


def test_unreachable_at_the_write_is_not_applied(store: FakeStore) -> None:
    class UnreachableStore(FakeStore):
        def compare_and_swap(self, key: str, data: bytes, version: int) -> object:
            return Unreachable("refused")

    unreachable_store = UnreachableStore()
    unreachable_store.values = store.values
    assert isinstance(edit(unreachable_store, [DEPOT], 1, "mine"), NotApplied)


def test_edit_of_a_restored_store_continues_the_revisions_in_force(store: FakeStore) -> None:
    in_force = revise(revise(revise(EMPTY_TABLE, [HALL], "a"), [HALL], "b"), [DEPOT], "c")
    conflict = apply_edit(store, [HALL], 1, "mine", in_force)
    assert isinstance(conflict, EditConflict)
    applied = apply_edit(store, [HALL], 3, "mine", in_force)
    assert isinstance(applied, Applied)
    assert applied.document.revision == 4
