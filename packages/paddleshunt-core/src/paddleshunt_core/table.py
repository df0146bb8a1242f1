"""The operators' table, with one row for each service and site, and the document that holds it.

The document has a revision that only increases. An edit names the revision it is based on; if two
edits are based on the same revision, the later one fails with the changes of the other.
"""

from dataclasses import dataclass
from typing import final

import msgspec

MAX_LIMIT = 1_000_000
"""Maximum weight or limit of a row."""

RECENT_EDITS = 64
"""Edit ids kept in the document, so that a client finds its edit after a lost answer."""


@final
class Row(msgspec.Struct, frozen=True, array_like=True, order=True):
    """Weight of a service at a site, and the limits for all its targets there together."""

    service: str
    site: str
    weight: int
    max_running: int
    max_in_flight: int


@final
class TableDocument(msgspec.Struct, frozen=True):
    """The table as stored; `recent_edits` has the newest edit id last."""

    revision: int
    edit: str
    recent_edits: list[str]
    rows: list[Row]


EMPTY_TABLE = TableDocument(0, "", [], [])


@final
@dataclass(frozen=True, slots=True)
class RowChange:
    """A row that differs between two tables; None means that the row is absent."""

    service: str
    site: str
    before: Row | None
    after: Row | None


@final
@dataclass(frozen=True, slots=True)
class EditConflict:
    """The table has changed since revision `base` of the edit; `changes` are those changes."""

    base: int
    found: int
    changes: tuple[RowChange, ...]


def revise(current: TableDocument, rows: list[Row], edit: str) -> TableDocument:
    """Return the next document after `current`, with `rows` instead of its rows."""
    recent = [*current.recent_edits, edit][-RECENT_EDITS:]
    return TableDocument(current.revision + 1, edit, recent, sorted(rows))


def changes(before: list[Row], after: list[Row]) -> tuple[RowChange, ...]:
    """Return the rows that differ, ordered by service and site."""
    old = {(row.service, row.site): row for row in before}
    new = {(row.service, row.site): row for row in after}
    differing = [key for key in sorted(old.keys() | new.keys()) if old.get(key) != new.get(key)]
    return tuple(RowChange(*key, old.get(key), new.get(key)) for key in differing)


@final
class TableController:
    """The table in force in one process; only a higher revision is adopted."""

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
        """Adopt the stored document, or set `store_went_back_to` if its revision is lower."""
        found = document.revision if document else 0
        self.store_went_back_to = found if found < self.revision else None
        return document is not None and self.adopt(document)

    def rows_of(self, service: str) -> list[Row]:
        """Return the rows of a service; empty if the table has none."""
        return self._services.get(service, [])

    def row(self, service: str, site: str) -> Row | None:
        """Return the row of a service at a site."""
        return next((row for row in self.rows_of(service) if row.site == site), None)
