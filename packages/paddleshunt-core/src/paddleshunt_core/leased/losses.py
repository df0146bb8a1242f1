"""Runners that were lost with what ran on them, and how often each task was among it.

A task that crashes its runner dies with it, and so do all that run beside it; nobody is told which
of them it was. So each loss is remembered with all that was at work, at the target that saw it and
at every entry, for longer than a caller goes on sending its job: the count of a task outlives the
entry that placed it.
"""

from collections import deque
from typing import final

from msgspec.structs import replace

from paddleshunt_core.leased.wire import LossId, LossNews, RunnerLost, RunnerReturned, TaskId

KEEP_SECONDS = 60.0
"""Seconds for which a loss is remembered: some tries of a caller, at 4 s and a pause each."""

MOST_REMEMBERED = 256
"""Losses that are remembered at once; about 300 KB with ten tasks each."""

MOST_RETURNED = 64
"""Runners that answered again, remembered so that an older word of their loss is not followed."""


@final
class LossBook:
    """The losses that one process knows of. Times are seconds of that process's clock."""

    def __init__(self) -> None:
        self._losses: dict[LossId, tuple[float, RunnerLost]] = {}
        """In the order in which they were learned."""
        self._by_task: dict[TaskId, list[LossId]] = {}
        self._returned: deque[LossId] = deque(maxlen=MOST_RETURNED)

    def follow(self, now: float, news: LossNews) -> bool:
        """Follow a word on a lost runner; return whether it was news. A silent one is none."""
        if isinstance(news, RunnerReturned):
            return self.returned(news.loss)
        return isinstance(news, RunnerLost) and self.learn(now, news)

    def learn(self, now: float, lost: RunnerLost) -> bool:
        """Remember a loss from when its teller learned of it; return whether it was news.

        One that is known is news once its life is known to have ended.
        """
        self._expire(now)
        if lost.loss in self._returned:
            return False
        at = now - lost.ago_ms / 1000
        if lost.loss in self._losses:
            at, known = self._losses[lost.loss]
            if set(lost.ended) <= set(known.ended):
                return False
            self._forget(lost.loss)
        self._losses[lost.loss] = (at, lost)
        for task in lost.tasks:
            self._by_task.setdefault(task, []).append(lost.loss)
        if len(self._losses) > MOST_REMEMBERED:
            self._forget(next(iter(self._losses)))
        return True

    def returned(self, loss: LossId) -> bool:
        """Forget a loss, as the same life of the runner answers again; return whether it was news.

        The runner was cut off or stood still: nothing on it took it down.
        """
        if loss in self._returned:
            return False
        self._returned.append(loss)
        if loss in self._losses:
            self._forget(loss)
        return True

    def all(self, now: float) -> list[RunnerLost]:
        """Return what is remembered, to hand on; each says how long it has been known."""
        self._expire(now)
        return [
            replace(lost, ago_ms=round((now - at) * 1000)) for at, lost in self._losses.values()
        ]

    def runners(self, task: TaskId) -> list[str]:
        """Return the lives of runners that were lost under a task."""
        return [loss.runner for loss in self._by_task.get(task, ())]

    def ended(self, task: TaskId) -> list[str]:
        """Return the lives that are known to have ended with a task at work on them."""
        losses = self._by_task.get(task, ())
        return [loss.runner for loss in losses if task in self._losses[loss][1].ended]

    def _expire(self, now: float) -> None:
        for loss, (at, _) in list(self._losses.items()):
            if now >= at + KEEP_SECONDS:
                self._forget(loss)

    def _forget(self, loss: LossId) -> None:
        _, lost = self._losses.pop(loss)
        for task in lost.tasks:
            known = self._by_task[task]
            known.remove(loss)
            if not known:
                del self._by_task[task]
