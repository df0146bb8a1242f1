"""The subset of targets that a confined queue may use.

Rendezvous hashing of the queue's and the targets' names makes all entries choose the same ones
without coordination.
"""

from collections.abc import Iterable
from typing import final

from paddleshunt_core.leased.rendezvous import rendezvous_rank as rendezvous_rank
from paddleshunt_core.leased.targets import TargetRecord
from paddleshunt_core.leased.wire import RunnerState

TARGET_SHARE = 0.2
"""Share of a service's targets that a confined queue may use; at least one target.

While the queue's tasks crash runners, each of these targets loses its runner once in the time
that a runner needs to return.
"""

DOWN_GRACE_SECONDS = 5.0
"""Seconds for which a target whose runner is down stays in the bulkhead.

Replacing it at once would expose one runner after another to the queue's tasks.
"""


@final
class Bulkhead:
    """The targets chosen for one queue among those of its service. Times are monotonic seconds."""

    def __init__(self, queue: str, service: str) -> None:
        self._queue = queue
        self.service = service
        self._ranks: dict[str, int] = {}
        """Rendezvous ranks by target."""
        self._eligible_once: set[str] = set()
        """Targets that were eligible at some time."""
        self._down_since: dict[str, float] = {}
        """When the runner of each target was first seen down."""
        self.members: frozenset[str] = frozenset()
        self.eligible_count = 0
        """Number of eligible targets of the service, inside the bulkhead or outside."""

    def choose(self, now: float, targets: Iterable[TargetRecord], width: int) -> None:
        """Choose `width` times the usual share of the service's eligible targets."""
        eligible = [target.name for target in targets if self._is_eligible(now, target)]
        self._eligible_once.update(eligible)
        self.eligible_count = len(eligible)
        count = width * max(1, round(TARGET_SHARE * self.eligible_count))
        self.members = frozenset(sorted(eligible, key=self._rank)[:count])

    def is_too_wide(self) -> bool:
        """Whether it holds at least half of the targets, too many to protect other queues."""
        return 2 * len(self.members) >= self.eligible_count

    def _is_eligible(self, now: float, target: TargetRecord) -> bool:
        """Whether a target's runner accepts work, or went down only recently."""
        report = target.report
        if report is None:
            return target.name in self._eligible_once and self._in_grace_period(now, target.name)
        if report.service != self.service:
            return False
        if report.state is RunnerState.READY:
            self._down_since.pop(target.name, None)
            return True
        return report.state is RunnerState.DOWN and self._in_grace_period(now, target.name)

    def _in_grace_period(self, now: float, target: str) -> bool:
        return now < self._down_since.setdefault(target, now) + DOWN_GRACE_SECONDS

    def _rank(self, target: str) -> int:
        if target not in self._ranks:
            self._ranks[target] = rendezvous_rank(self._queue, target)
        return self._ranks[target]
