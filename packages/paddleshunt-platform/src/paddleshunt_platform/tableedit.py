"""Edits of the table in the store: compare-and-swap, and settling an answer that was lost."""

import time
from collections.abc import Callable
from dataclasses import dataclass
from typing import final

import msgspec
from paddleshunt_core.table import (
    EMPTY_TABLE,
    EditConflict,
    Row,
    TableDocument,
    changes,
    revise,
)

from paddleshunt_platform.store import (
    ABSENT,
    TABLE_KEY,
    Store,
    Unanswered,
    Unreachable,
    Value,
    VersionConflict,
    Written,
)

READ_BACKS = 10
"""How often a lost answer is looked up before the edit is given up as not known."""

READ_BACK_SECONDS = 1.0
"""Seconds between two of these."""


@final
@dataclass(frozen=True, slots=True)
class Applied:
    """The edit is accepted; `document` is what the store holds since."""

    document: TableDocument


@final
@dataclass(frozen=True, slots=True)
class NotApplied:
    """The edit did not take effect."""

    reason: str


@final
@dataclass(frozen=True, slots=True)
class OutcomeUnknown:
    """The store did not say whether the edit took effect, and could not be asked again."""

    edit: str
    reason: str


@final
@dataclass(frozen=True, slots=True)
class StoredTable:
    """The table document in the store, with its key's version (`ABSENT`: there is none)."""

    document: TableDocument
    version: int


EditOutcome = Applied | EditConflict | NotApplied | OutcomeUnknown


def read_table(store: Store) -> StoredTable | NotApplied:
    """Return the table that the store holds."""
    found = store.get(TABLE_KEY)
    if found is None:
        return StoredTable(EMPTY_TABLE, ABSENT)
    if not isinstance(found, Value):
        return NotApplied(f"the store can't be read: {found.reason}")
    try:
        document = msgspec.json.decode(found.data, type=TableDocument)
    except msgspec.MsgspecError as error:
        return NotApplied(f"the store's table can't be understood: {error}")
    return StoredTable(document, found.version)


def apply_edit(
    store: Store,
    rows: list[Row],
    base: int,
    edit: str,
    in_force: TableDocument = EMPTY_TABLE,
    sleep: Callable[[float], None] = time.sleep,
) -> EditOutcome:
    """Replace the table's rows if it is still at revision `base`.

    `in_force` is the newest table that entries follow. Where the store went back behind it, the
    edit follows that one, so that the new revision is above all that were ever in force.
    """
    stored = read_table(store)
    if isinstance(stored, NotApplied):
        return stored
    current = max(stored.document, in_force, key=lambda document: document.revision)
    if current.revision != base:
        return EditConflict(base, current.revision, changes(rows, current.rows))
    following = revise(current, rows, edit)
    done = store.compare_and_swap(TABLE_KEY, msgspec.json.encode(following), stored.version)
    match done:
        case Written():
            return Applied(following)
        case VersionConflict():
            return _conflict(store, rows, base)
        case Unreachable(reason):
            return NotApplied(f"the store can't be reached: {reason}")
        case Unanswered(reason):
            return _settle(store, rows, base, edit, reason, sleep)


def _conflict(store: Store, rows: list[Row], base: int) -> EditOutcome:
    found = read_table(store)
    if isinstance(found, NotApplied):
        return NotApplied("another edit came first")
    return EditConflict(base, found.document.revision, changes(rows, found.document.rows))


def _settle(
    store: Store,
    rows: list[Row],
    base: int,
    edit: str,
    reason: str,
    sleep: Callable[[float], None],
) -> EditOutcome:
    """Read back until the store tells whether the edit took effect.

    A write that still travels can take effect after a reading that shows the old revision. The
    edit therefore counts as not applied only once another revision stands in its place.
    """
    for _ in range(READ_BACKS):
        found = read_table(store)
        if isinstance(found, StoredTable):
            if edit in found.document.recent_edits:
                return Applied(found.document)
            if found.document.revision > base:
                return EditConflict(
                    base, found.document.revision, changes(rows, found.document.rows)
                )
        sleep(READ_BACK_SECONDS)
    return OutcomeUnknown(edit, reason)
