"""The divider: when an entry writes a row's allotment, and in which turn among the entries."""

from typing import final

from paddleshunt_core.allotments import Allotment, Holder, divide
from paddleshunt_core.effects import Effect, WriteAllotment
from paddleshunt_core.members import Members
from paddleshunt_core.table import Row, TableController

WRITE_DELAY = 2.0
"""Seconds by which each next entry waits before it writes an allotment in another's stead."""

REWRITE_SECONDS = 0.5
"""Seconds before an allotment is written again that has not come back from the store."""

DIVIDE_SECONDS = 0.25
"""Seconds between two looks whether an allotment should change."""

RowKey = tuple[str, str]
"""Service and site, the key of a row."""


@final
class Divider:
    """The allotments that one entry follows, and those that it should write."""

    def __init__(self, members: Members, table: TableController) -> None:
        self._members = members
        self._table = table
        self._allotments: dict[RowKey, Allotment] = {}
        self._due_since: dict[RowKey, float] = {}
        self._next_look = 0.0

    def find(self, service: str, site: str) -> Allotment | None:
        """Return a row's allotment."""
        return self._allotments.get((service, site))

    def all(self) -> list[Allotment]:
        """Return all allotments."""
        return list(self._allotments.values())

    def adopt(self, allotment: Allotment) -> bool:
        """Follow an allotment if its revision is higher; return whether it was."""
        key = (allotment.service, allotment.site)
        known = self._allotments.get(key)
        if known is not None and allotment.revision <= known.revision:
            return False
        self._allotments[key] = allotment
        self._members.stale_allotments.add(key)
        return True

    def tick(self, now: float, rank: int) -> list[Effect]:
        """Return the writes that are due; `rank` is how many live entries come before this one.

        Only rows are looked at whose targets, table row or allotment changed, or whose last look
        found something to write.
        """
        if now < self._next_look or not self._members.hosts_known:
            return []
        self._next_look = now + DIVIDE_SECONDS
        due = self._members.stale_allotments | self._due_since.keys()
        self._members.stale_allotments.clear()
        rows = [self._table.row(*key) for key in sorted(due)]
        effects: list[Effect] = []
        for row in rows:
            effects += self._look(now, row, rank) if row is not None else []
        return effects

    def _look(self, now: float, row: Row, rank: int) -> list[Effect]:
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
        # If the write is lost or comes second, it is due again a while later.
        self._due_since[key] = now + REWRITE_SECONDS
        return [WriteAllotment(following)]
