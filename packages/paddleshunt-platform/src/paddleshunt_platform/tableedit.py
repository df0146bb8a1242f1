"""Edits of the table in the store by compare-and-swap; a lost answer is settled by reading back."""

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

MAX_READ_BACKS = 10
"""Reads after a lost answer before the edit's outcome counts as unknown."""

READ_BACK_SECONDS = 1.0
"""Seconds between these reads."""


@final
@dataclass(frozen=True, slots=True)
class Applied:
    """The edit took effect; `document` is what the store holds now."""

    document: TableDocument


@final
@dataclass(frozen=True, slots=True)
class NotApplied:
    """The edit did not take effect."""

    reason: str


@final
@dataclass(frozen=True, slots=True)
class OutcomeUnknown:
    """The answer was lost, and reading back didn't show whether the edit took effect."""

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
    """Return the table that the store holds, or why it can't be read."""
    found = store.get(TABLE_KEY)
    if found is None:
        return StoredTable(EMPTY_TABLE, ABSENT)
    if not isinstance(found, Value):
        return NotApplied(f"the store can't be read: {found.reason}")
    try:
        document = msgspec.json.decode(found.data, type=TableDocument)
    except msgspec.MsgspecError as error:
        return NotApplied(f"the store's table is invalid: {error}")
    return StoredTable(document, found.version)


def apply_edit(
    store: Store,
    rows: list[Row],
    base: int,
    edit: str,
    in_force: TableDocument = EMPTY_TABLE,
    sleep: Callable[[float], None] = time.sleep,
) -> EditOutcome:
    """Replace the table's rows if it is still at revision `base`; `edit` is the edit's id.

    `in_force` is the newest table that entries use. If the store holds an older one, as after a
    restore, the edit is based on `in_force`, so that revisions never repeat.
    """
    stored = read_table(store)
    if isinstance(stored, NotApplied):
        return stored
    current = max(stored.document, in_force, key=lambda document: document.revision)
    if current.revision != base:
        return EditConflict(base, current.revision, changes(rows, current.rows))
    revised = revise(current, rows, edit)
    written = store.compare_and_swap(TABLE_KEY, msgspec.json.encode(revised), stored.version)
    match written:
        case Written():
            return Applied(revised)
        case VersionConflict():
            return _conflict_outcome(store, rows, base)
        case Unreachable(reason):
            return NotApplied(f"the store can't be reached: {reason}")
        case Unanswered(reason):
            return _read_back_outcome(store, rows, base, edit, reason, sleep)


def _conflict_outcome(store: Store, rows: list[Row], base: int) -> EditOutcome:
    found = read_table(store)
    if isinstance(found, NotApplied):
        return NotApplied("another edit came first")
    return EditConflict(base, found.document.revision, changes(rows, found.document.rows))


def _read_back_outcome(
    store: Store,
    rows: list[Row],
    base: int,
    edit: str,
    reason: str,
    sleep: Callable[[float], None],
) -> EditOutcome:
    """Read back until the store shows whether the edit took effect.

    A delayed write can still take effect after a read that shows the old revision, so the edit
    counts as not applied only once another revision has taken its place.
    """
    for _ in range(MAX_READ_BACKS):
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
