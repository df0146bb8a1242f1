from paddleshunt_core.table import (
    EMPTY_TABLE,
    RECENT_EDITS,
    Row,
    TableController,
    changes,
    revise,
)

HALL = Row("results", "hall", 1, 8, 8)
DEPOT = Row("results", "depot", 1, 8, 8)


def test_only_a_higher_revision_is_adopted() -> None:
    table = TableController()
    first = revise(EMPTY_TABLE, [HALL], "one")
    second = revise(first, [HALL, DEPOT], "two")
    assert table.adopt(second)
    assert not table.adopt(first)
    assert not table.adopt(second)
    assert table.document == second


def test_store_with_a_lower_revision_is_reported_and_not_adopted() -> None:
    table = TableController()
    first = revise(EMPTY_TABLE, [HALL], "one")
    table.adopt(revise(first, [DEPOT], "two"))
    assert not table.adopt_from_store(first)
    assert table.store_went_back_to == 1
    assert not table.adopt_from_store(None)
    assert table.store_went_back_to == 0
    assert table.revision == 2


def test_recent_edits_are_bounded_and_keep_the_newest() -> None:
    document = EMPTY_TABLE
    for number in range(RECENT_EDITS + 5):
        document = revise(document, [HALL], f"edit-{number}")
    assert len(document.recent_edits) == RECENT_EDITS
    assert document.recent_edits[-1] == f"edit-{RECENT_EDITS + 4}"


def test_changes_are_the_rows_that_differ() -> None:
    heavier = Row("results", "hall", 2, 8, 8)
    found = changes([HALL], [heavier, DEPOT])
    assert [(c.site, c.before, c.after) for c in found] == [
        ("depot", None, DEPOT),
        ("hall", HALL, heavier),
    ]
