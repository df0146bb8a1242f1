"""Identity of one incarnation of a runner.

A restarted runner may register under its previous id, so an id alone does not identify it.
"""

from typing import final

import msgspec


@final
class RunnerIncarnation(msgspec.Struct, frozen=True, order=True):
    """A runner's id and its start time under that id (ms since 1970, by its host's clock).

    `born` distinguishes incarnations but does not order them, as the clock may be set back between
    them. It is 0 if unknown.
    """

    id: str
    born: int = 0

    def __str__(self) -> str:
        return f"{self.id}@{self.born}" if self.born else self.id

    def may_be_same(self, other: "RunnerIncarnation") -> bool:
        """Whether both may be the same incarnation; an unknown start time matches any."""
        start_unknown = not self.born or not other.born
        return self.id == other.id and (start_unknown or self.born == other.born)

    def has_same_id(self, other: "RunnerIncarnation") -> bool:
        """Whether both have one id, so that either may execute an order sent to the other."""
        return self.id == other.id


def format_incarnation(incarnation: RunnerIncarnation | None) -> str:
    """Return the name of an incarnation for log lines; empty for None."""
    return "" if incarnation is None else str(incarnation)
