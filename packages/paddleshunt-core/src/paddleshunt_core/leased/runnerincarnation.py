"""One life of a runner: what its words, its runs and its losses are told apart by.

A runner may start again under the id that it had, so an id alone names no life.
"""

from typing import final

import msgspec


@final
class RunnerIncarnation(msgspec.Struct, frozen=True, order=True):
    """A runner's id, and when it started under it (ms since 1970, by its host's clock).

    `born` tells lives apart and does not order them: the clock may have been set back between them.
    0: it is not told.
    """

    id: str
    born: int = 0

    def __str__(self) -> str:
        return f"{self.id}@{self.born}" if self.born else self.id

    def may_be_same(self, other: "RunnerIncarnation") -> bool:
        """Whether both may be the same life, as far as they are told."""
        untold = not self.born or not other.born
        return self.id == other.id and (untold or self.born == other.born)

    def has_same_id(self, other: "RunnerIncarnation") -> bool:
        """Whether both are of one id: what is ordered of one may be carried out by the other."""
        return self.id == other.id


def format_incarnation(life: RunnerIncarnation | None) -> str:
    """Return how log lines name a life; empty for none."""
    return "" if life is None else str(life)
