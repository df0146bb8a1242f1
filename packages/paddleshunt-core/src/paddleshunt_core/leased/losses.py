"""History of lost runners and the tasks that ran on them.

A task that crashes its runner is lost with all tasks beside it, and nothing shows which of them
caused it. So each loss is kept with all tasks that were running, at the target that saw it and at
every entry, for longer than a caller retries its job. This way a task's count of losses outlives
the entry that placed it.
"""

from dataclasses import dataclass
from dataclasses import replace as replace_field
from typing import final

from msgspec.structs import replace

from paddleshunt_core.leased.runnerincarnation import RunnerIncarnation
from paddleshunt_core.leased.wire import LossId, LossUpdate, RunnerLost, RunnerReturned, TaskId

RETENTION_SECONDS = 60.0
"""Seconds for which a loss is kept; a caller retries its job several times meanwhile."""

MAX_LOSSES = 256
"""Losses kept at once.

They take about 300 KB with ten tasks each.
"""

MAX_RETURNED = 256
"""Returned incarnations kept, so that outdated messages on their loss are ignored.

They take some 40 KB. Each is a runner that the entry knows, however often it falls silent.
"""


CORRELATION_SECONDS = 0.15
"""Seconds within which losses of several runners may have one external cause.

Longer than the interval of the polls that detect a loss.
"""

CORRELATED_LOSSES = 2
"""Other losses within that time, without a task of the same job, that show an external cause.

Two tasks that crash their runners may coincide; three within that time are rare.
"""


@final
@dataclass(frozen=True, slots=True)
class _Loss:
    """A loss, when its sender learned of it, and from when its retention counts."""

    learned_at: float
    lost: RunnerLost
    kept_since: float


@final
@dataclass(frozen=True, slots=True)
class _Return:
    """The last return of an incarnation: when it was learned, and when that silence began."""

    learned_at: float
    silent_ms: int


@final
class LossHistory:
    """The losses known to one process. Times are in seconds of that process's clock.

    For each incarnation the latest message counts. One that falls silent again must have answered
    in between, so its earlier loss is void even if no message on that answer arrived.
    """

    def __init__(self) -> None:
        self._losses: dict[RunnerIncarnation, _Loss] = {}
        """By incarnation, in the order in which they were learned."""
        self._by_task: dict[TaskId, list[RunnerIncarnation]] = {}
        self._returns: dict[RunnerIncarnation, _Return] = {}

    def apply(self, now: float, update: LossUpdate) -> bool:
        """Process a loss message; return whether it was new. `RunnerSilent` is ignored."""
        if isinstance(update, RunnerReturned):
            return self.returned(now, update.loss)
        return isinstance(update, RunnerLost) and self.learn(now, update)

    def learn(self, now: float, lost: RunnerLost) -> bool:
        """Record a loss as of the time its sender learned of it; return whether it was new.

        A known loss is new again once its incarnation is known to have ended.
        """
        self.expire(now)
        incarnation, silent_ms = lost.loss.incarnation, lost.loss.silent_ms
        if self._has_returned(lost.loss):
            return False
        at = now - lost.ago_ms / 1000
        known = self._losses.get(incarnation)
        if known is not None:
            if silent_ms < known.lost.loss.silent_ms:
                return False
            if silent_ms == known.lost.loss.silent_ms:
                if set(lost.ended) <= set(known.lost.ended):
                    return False
                at = known.learned_at
            self._forget(incarnation)
        self._losses[incarnation] = _Loss(at, lost, at)
        for task in lost.tasks:
            self._by_task.setdefault(task, []).append(incarnation)
        if len(self._losses) > MAX_LOSSES:
            self._forget(next(iter(self._losses)))
        return True

    def returned(self, now: float, loss: LossId) -> bool:
        """Drop a loss, as the same incarnation answers again; return whether that was new.

        The runner was unreachable or paused: no task crashed it.
        """
        self.expire(now)
        if self._has_returned(loss):
            return False
        self._returns.pop(loss.incarnation, None)
        self._returns[loss.incarnation] = _Return(now, loss.silent_ms)
        if len(self._returns) > MAX_RETURNED:
            del self._returns[next(iter(self._returns))]
        known = self._losses.get(loss.incarnation)
        if known is not None and known.lost.loss.silent_ms <= loss.silent_ms:
            self._forget(loss.incarnation)
        return True

    def export(self, now: float) -> list[LossUpdate]:
        """Return all losses and returns as messages for other processes.

        A loss carries the time since its retention started. Returns are included, as a
        receiver that knows only the loss would count it.
        """
        self.expire(now)
        returns = [
            RunnerReturned(LossId.for_incarnation(incarnation, last.silent_ms))
            for incarnation, last in self._returns.items()
        ]
        known = self._losses.values()
        return [
            *returns,
            *(replace(each.lost, ago_ms=round((now - each.kept_since) * 1000)) for each in known),
        ]

    def expire(self, now: float) -> None:
        """Drop entries older than the retention."""
        for incarnation, known in list(self._losses.items()):
            if now >= known.kept_since + RETENTION_SECONDS:
                self._forget(incarnation)
        for incarnation, last_return in list(self._returns.items()):
            if now < last_return.learned_at + RETENTION_SECONDS:
                break
            del self._returns[incarnation]

    def extend_retention(self, now: float, task: TaskId) -> None:
        """Restart the retention of a task's ended incarnations, as the task is still requested."""
        for incarnation in self.ended(task):
            self._losses[incarnation] = replace_field(self._losses[incarnation], kept_since=now)

    def runners(self, task: TaskId) -> list[RunnerIncarnation]:
        """Return the incarnations lost while they ran a task; each may yet answer again."""
        return [*self._by_task.get(task, ())]

    def ended(self, task: TaskId) -> list[RunnerIncarnation]:
        """Return the incarnations known to have ended since they were seen running a task."""
        incarnations = self._by_task.get(task, ())
        return [
            incarnation
            for incarnation in incarnations
            if task in self._losses[incarnation].lost.ended
        ]

    def was_correlated(self, incarnation: RunnerIncarnation, job: str) -> bool:
        """Whether an incarnation was lost along with others that ran no task of a job."""
        at = self._losses[incarnation].learned_at
        others = [
            each
            for other, each in self._losses.items()
            if other != incarnation and abs(each.learned_at - at) <= CORRELATION_SECONDS
            if not any(task.job == job for task in each.lost.tasks)
        ]
        return len(others) >= CORRELATED_LOSSES

    def _has_returned(self, loss: LossId) -> bool:
        """Whether the incarnation is known to have answered since that loss."""
        last_return = self._returns.get(loss.incarnation)
        return last_return is not None and loss.silent_ms <= last_return.silent_ms

    def _forget(self, incarnation: RunnerIncarnation) -> None:
        for task in self._losses.pop(incarnation).lost.tasks:
            known = self._by_task[task]
            known.remove(incarnation)
            if not known:
                del self._by_task[task]
