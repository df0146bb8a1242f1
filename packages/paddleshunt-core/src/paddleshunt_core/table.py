"""The operators' table: one row for each service and site, and the document that holds it.

The document carries a revision that only grows. An edit names the revision it was made from; two
edits from the same revision conflict, and the later one is told what the other changed.
"""

from dataclasses import dataclass
from typing import final

import msgspec

MAX_LIMIT = 1_000_000
"""The largest weight or limit a row may hold."""

RECENT_EDITS = 64
"""Edit ids a document remembers, so that an operator can find its own edit after a lost answer."""


@final
class Row(msgspec.Struct, frozen=True, array_like=True, order=True):
    """Weight and limits of one service at one site; limits are for the row as a whole."""

    service: str
    site: str
    weight: int
    max_running: int
    max_in_flight: int


@final
class TableDocument(msgspec.Struct, frozen=True):
    """The table as the store holds it; `recent_edits` has the newest edit id last."""

    revision: int
    edit: str
    recent_edits: list[str]
    rows: list[Row]


EMPTY_TABLE = TableDocument(0, "", [], [])


@final
@dataclass(frozen=True, slots=True)
class RowChange:
    """A row that differs between two tables; None stands for a row that is not there."""

    service: str
    site: str
    before: Row | None
    after: Row | None


@final
@dataclass(frozen=True, slots=True)
class EditConflict:
    """The table moved on since the edit was made; `changes` is what others did meanwhile."""

    base: int
    found: int
    changes: tuple[RowChange, ...]


def revise(current: TableDocument, rows: list[Row], edit: str) -> TableDocument:
    """Return the document that follows `current` when `rows` replace its rows."""
    recent = [*current.recent_edits, edit][-RECENT_EDITS:]
    return TableDocument(current.revision + 1, edit, recent, sorted(rows))


def changes(before: list[Row], after: list[Row]) -> tuple[RowChange, ...]:
    """Return the rows that differ, in the order of service and site."""
    old = {(row.service, row.site): row for row in before}
    new = {(row.service, row.site): row for row in after}
    differing = [key for key in sorted(old.keys() | new.keys()) if old.get(key) != new.get(key)]
    return tuple(RowChange(*key, old.get(key), new.get(key)) for key in differing)


@final
class TableController:
    """The table in force in one process. It adopts a higher revision and nothing else, ever."""

    def __init__(self) -> None:
        self.document = EMPTY_TABLE
        self._services: dict[str, list[Row]] = {}
        self.store_went_back_to: int | None = None

    @property
    def revision(self) -> int:
        """The revision in force; 0 before the first table."""
        return self.document.revision

    def adopt(self, document: TableDocument) -> bool:
        """Put `document` in force if its revision is higher; return whether it was."""
        if document.revision <= self.revision:
            return False
        self.document = document
        self._services = {}
        for row in document.rows:
            self._services.setdefault(row.service, []).append(row)
        return True

    def adopt_from_store(self, document: TableDocument | None) -> bool:
        """Like `adopt`, and notice a store that holds less than is in force (None: nothing)."""
        found = document.revision if document else 0
        self.store_went_back_to = found if found < self.revision else None
        return document is not None and self.adopt(document)

    def rows_of(self, service: str) -> list[Row]:
        """Return the rows of a service; none if the table doesn't know it."""
        return self._services.get(service, [])

    def row(self, service: str, site: str) -> Row | None:
        """Return the row of a service at a site."""
        return next((row for row in self.rows_of(service) if row.site == site), None)
