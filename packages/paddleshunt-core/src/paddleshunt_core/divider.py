"""The divider: decides when an entry writes a row's allotment to the store.

Each entry waits for those that rank before it, so that usually only one writes.
"""

from typing import final

from paddleshunt_core.allotments import Allotment, Holder, divide
from paddleshunt_core.effects import Effect, WriteAllotment
from paddleshunt_core.members import Members
from paddleshunt_core.table import Row, TableController

WRITE_DELAY = 2.0
"""Seconds per rank that an entry waits for the entries before it to write an allotment."""

REWRITE_SECONDS = 0.5
"""Seconds after which an allotment is written again if the store hasn't returned it."""

DIVIDE_SECONDS = 0.25
"""Seconds between two checks for allotments that should change."""

RowKey = tuple[str, str]
"""Service and site, the key of a row."""


@final
class Divider:
    """The allotments that one entry has adopted, and those that it should write."""

    def __init__(self, members: Members, table: TableController) -> None:
        self._members = members
        self._table = table
        self._allotments: dict[RowKey, Allotment] = {}
        self._due_since: dict[RowKey, float] = {}
        self._next_check = 0.0

    def find(self, service: str, site: str) -> Allotment | None:
        """Return a row's allotment."""
        return self._allotments.get((service, site))

    def all(self) -> list[Allotment]:
        """Return all allotments."""
        return list(self._allotments.values())

    def adopt(self, allotment: Allotment) -> bool:
        """Adopt an allotment if its revision is higher; return whether it was."""
        key = (allotment.service, allotment.site)
        known = self._allotments.get(key)
        if known is not None and allotment.revision <= known.revision:
            return False
        self._allotments[key] = allotment
        self._members.stale_allotments.add(key)
        return True

    def tick(self, now: float, rank: int) -> list[Effect]:
        """Return the writes that are due; `rank` is how many live entries come before this one.

        Only checks rows whose targets, table row or allotment changed, or that have a write due.
        """
        if now < self._next_check or not self._members.hosts_known:
            return []
        self._next_check = now + DIVIDE_SECONDS
        due = self._members.stale_allotments | self._due_since.keys()
        self._members.stale_allotments.clear()
        rows = [self._table.row(*key) for key in sorted(due)]
        effects: list[Effect] = []
        for row in rows:
            effects += self._check_row(now, row, rank) if row is not None else []
        return effects

    def _check_row(self, now: float, row: Row, rank: int) -> list[Effect]:
        key = (row.service, row.site)
        holders = [
            Holder(member.incarnation, member.heartbeat.share_revision, member.leaving)
            for member in self._members.of_service(row.service)
            if member.site == row.site
        ]
        following = divide(row, self._allotments.get(key), holders, self._members.has_ended)
        if following is None:
            self._due_since.pop(key, None)
            return []
        since = self._due_since.setdefault(key, now)
        if now - since < rank * WRITE_DELAY:
            return []
        # Due again later, in case the write is lost or another entry's write comes first.
        self._due_since[key] = now + REWRITE_SECONDS
        return [WriteAllotment(following)]
