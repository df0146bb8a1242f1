"""The few targets that a confined queue may use.

Entries choose them alike without a word to one another: those that stand first by a hash of the
queue's and the target's name.
"""

from collections.abc import Iterable
from typing import final

from paddleshunt_core.leased.rendezvous import rendezvous_rank as rendezvous_rank
from paddleshunt_core.leased.targets import TargetRecord
from paddleshunt_core.leased.wire import RunnerState

SHARE = 0.2
"""Share of a service's targets that a confined queue may use; it has one at least.

Each of them is a runner lost in each time that a runner needs to come back.
"""

STAY_SECONDS = 5.0
"""Seconds for which a target whose runner is away keeps its place.

If it lost it at once the queue's tasks would go on to one runner after another.
"""


@final
class Bulkhead:
    """The targets of one queue, of those of its service. Times are steady seconds."""

    def __init__(self, queue: str, service: str) -> None:
        self._queue = queue
        self.service = service
        self._ranks: dict[str, int] = {}
        """Places in the order of choice of all targets that had one once."""
        self._placed: set[str] = set()
        """Targets that had a place once."""
        self._away: dict[str, float] = {}
        """Since when the runner of a target is away that had its place before."""
        self.members: frozenset[str] = frozenset()
        self.known = 0
        """Targets of the service that have a place, in the bulkhead or beside it."""

    def choose(self, now: float, targets: Iterable[TargetRecord], width: int) -> None:
        """Choose `width` times the usual share of the service's targets."""
        placed = [target.name for target in targets if self._has_place(now, target)]
        self._placed.update(placed)
        self.known = len(placed)
        count = width * max(1, round(SHARE * self.known))
        self.members = frozenset(sorted(placed, key=self._rank)[:count])

    def leaves_little(self) -> bool:
        """Whether it has so many of the targets that it protects nobody any more."""
        return 2 * len(self.members) >= self.known

    def _has_place(self, now: float, target: TargetRecord) -> bool:
        """Whether a target's runner takes work, or has been away for a moment only."""
        report = target.report
        if report is None:
            return target.name in self._placed and self._may_return(now, target.name)
        if report.service != self.service:
            return False
        if report.state is RunnerState.READY:
            self._away.pop(target.name, None)
            return True
        return report.state is RunnerState.DOWN and self._may_return(now, target.name)

    def _may_return(self, now: float, target: str) -> bool:
        return now < self._away.setdefault(target, now) + STAY_SECONDS

    def _rank(self, target: str) -> int:
        if target not in self._ranks:
            self._ranks[target] = rendezvous_rank(self._queue, target)
        return self._ranks[target]
