"""Runners that were lost with what ran on them, and how often each task was among it.

A task that crashes its runner dies with it, and so do all that run beside it; nobody is told which
of them it was. So each loss is remembered with all that was at work, at the target that saw it and
at every entry, for longer than a caller goes on sending its job: the count of a task outlives the
entry that placed it.
"""

from dataclasses import dataclass
from dataclasses import replace as replace_field
from typing import final

from msgspec.structs import replace

from paddleshunt_core.leased.runnerlife import RunnerLife
from paddleshunt_core.leased.wire import LossId, LossUpdate, RunnerLost, RunnerReturned, TaskId

KEEP_SECONDS = 60.0
"""Seconds for which a loss is remembered: some tries of a caller, at 4 s and a pause each."""

MOST_REMEMBERED = 256
"""Losses that are remembered at once; about 300 KB with ten tasks each."""

MOST_RETURNED = 256
"""Lives that answered again, remembered so that an older word of their loss is not followed.

Some 40 KB. Each is one of the runners that an entry knows of, however often it falls silent.
"""


TOGETHER_SECONDS = 0.15
"""Runners that are lost within so many seconds of one another may have one cause outside of them.

It is longer than the looks that notice a loss are apart.
"""

SHARED_LOSSES = 2
"""Other runners, without a task of the same job, with which one is lost by such a cause.

Two tasks that crash their runners meet by chance; that three do so within a moment is rare.
"""


@final
@dataclass(frozen=True, slots=True)
class _Known:
    """A loss, when its teller learned of it, and since when it is kept."""

    at: float
    lost: RunnerLost
    kept: float


@final
@dataclass(frozen=True, slots=True)
class _Answered:
    """Since when a life had been silent the last time that it answered again, and when it did."""

    at: float
    silent_ms: int


@final
class LossBook:
    """The losses that one process knows of. Times are seconds of that process's clock.

    Of each life the newest word counts. One that falls silent again has answered in between, so
    that nothing of its earlier loss stands, also if nobody told of the answer here.
    """

    def __init__(self) -> None:
        self._losses: dict[RunnerLife, _Known] = {}
        """By life, in the order in which they were learned."""
        self._by_task: dict[TaskId, list[RunnerLife]] = {}
        self._answered: dict[RunnerLife, _Answered] = {}

    def follow(self, now: float, news: LossUpdate) -> bool:
        """Follow a word on a lost runner; return whether it was news. A silent one is none."""
        if isinstance(news, RunnerReturned):
            return self.returned(now, news.loss)
        return isinstance(news, RunnerLost) and self.learn(now, news)

    def learn(self, now: float, lost: RunnerLost) -> bool:
        """Remember a loss from when its teller learned of it; return whether it was news.

        One that is known is news once its life is known to have ended.
        """
        self.expire(now)
        incarnation, silent_ms = lost.loss.incarnation, lost.loss.silent_ms
        if self._has_answered(lost.loss):
            return False
        at = now - lost.ago_ms / 1000
        known = self._losses.get(incarnation)
        if known is not None:
            if silent_ms < known.lost.loss.silent_ms:
                return False
            if silent_ms == known.lost.loss.silent_ms:
                if set(lost.ended) <= set(known.lost.ended):
                    return False
                at = known.at
            self._forget(incarnation)
        self._losses[incarnation] = _Known(at, lost, at)
        for task in lost.tasks:
            self._by_task.setdefault(task, []).append(incarnation)
        if len(self._losses) > MOST_REMEMBERED:
            self._forget(next(iter(self._losses)))
        return True

    def returned(self, now: float, loss: LossId) -> bool:
        """Forget a loss, as the same life of the runner answers again; return whether it was news.

        The runner was cut off or stood still: nothing on it took it down.
        """
        self.expire(now)
        if self._has_answered(loss):
            return False
        self._answered.pop(loss.incarnation, None)
        self._answered[loss.incarnation] = _Answered(now, loss.silent_ms)
        if len(self._answered) > MOST_RETURNED:
            del self._answered[next(iter(self._answered))]
        known = self._losses.get(loss.incarnation)
        if known is not None and known.lost.loss.silent_ms <= loss.silent_ms:
            self._forget(loss.incarnation)
        return True

    def all(self, now: float) -> list[LossUpdate]:
        """Return what is remembered, to hand on; each loss says how long it has been known.

        It includes who answered again: whoever heard of the loss alone would count it.
        """
        self.expire(now)
        answered = [
            RunnerReturned(LossId.for_incarnation(incarnation, last.silent_ms))
            for incarnation, last in self._answered.items()
        ]
        known = self._losses.values()
        return [
            *answered,
            *(replace(each.lost, ago_ms=round((now - each.kept) * 1000)) for each in known),
        ]

    def expire(self, now: float) -> None:
        """Forget what is too old to say anything."""
        for incarnation, known in list(self._losses.items()):
            if now >= known.kept + KEEP_SECONDS:
                self._forget(incarnation)
        for incarnation, answered in list(self._answered.items()):
            if now < answered.at + KEEP_SECONDS:
                break
            del self._answered[incarnation]

    def keep(self, now: float, task: TaskId) -> None:
        """Remember for longer which lives have ended under a task, as it is asked for yet."""
        for incarnation in self.ended(task):
            self._losses[incarnation] = replace_field(self._losses[incarnation], kept=now)

    def runners(self, task: TaskId) -> list[RunnerLife]:
        """Return the lives of runners that were lost under a task; each may yet answer again."""
        return [*self._by_task.get(task, ())]

    def ended(self, task: TaskId) -> list[RunnerLife]:
        """Return the lives that are known to have ended since a task was seen at work on them."""
        lives = self._by_task.get(task, ())
        return [
            incarnation for incarnation in lives if task in self._losses[incarnation].lost.ended
        ]

    def was_shared(self, incarnation: RunnerLife, job: str) -> bool:
        """Whether a life was lost together with others that had no task of a job."""
        at = self._losses[incarnation].at
        others = [
            each
            for other, each in self._losses.items()
            if other != incarnation and abs(each.at - at) <= TOGETHER_SECONDS
            if not any(task.job == job for task in each.lost.tasks)
        ]
        return len(others) >= SHARED_LOSSES

    def _has_answered(self, loss: LossId) -> bool:
        """Whether the life is known to have answered since that loss."""
        answered = self._answered.get(loss.incarnation)
        return answered is not None and loss.silent_ms <= answered.silent_ms

    def _forget(self, incarnation: RunnerLife) -> None:
        for task in self._losses.pop(incarnation).lost.tasks:
            known = self._by_task[task]
            known.remove(incarnation)
            if not known:
                del self._by_task[task]
