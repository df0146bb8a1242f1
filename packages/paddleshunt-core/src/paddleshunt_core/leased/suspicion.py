"""What lost runners show of the queues whose tasks were at work on them.

On a busy fleet every queue is at work on nearly every runner, so that one was there says nothing.
A task that takes runners down shows itself by its second run: it meets a second lost runner, soon
after its start. A sound task that was beside it is as likely to meet a second lost runner as any
task is. So the evidence against a queue is how unlikely its tasks' second losses are by chance.
"""

from collections import Counter, deque
from collections.abc import Collection
from dataclasses import dataclass
from typing import final

from paddleshunt_core.leased.wire import LossId, LossNews, RunnerLost, RunnerReturned, TaskId

WINDOW_SECONDS = 10.0
"""Seconds for which a loss is evidence: a task is tried again within its caller's patience."""

TOGETHER_SECONDS = 0.15
"""Runners that fall silent within so many seconds of one another have one cause outside of them.

It is longer than the looks that notice a silence are apart.
"""

MOST_CHANCE = 0.02
"""Probability of a queue's second losses by chance, up to which they are no chance."""

LEAST_PRESENT = 0.75
"""Share of the lost runners on which a guilty queue was at work, at the least; two share them."""

SHORTEST_WORK = 0.02
"""Seconds that a task had worked at the least: a silence is not noticed closer than that."""

MOST_KEPT = 256
"""Losses that are kept as evidence at once."""

MOST_RETURNED = 64
"""Runners that answered again, remembered so that an older word of silence is not followed."""


Work = dict[str, dict[TaskId, float]]
"""Seconds of work of each task on one runner, by queue."""


@final
@dataclass(frozen=True, slots=True)
class _Seen:
    """A runner that fell silent: when this process learned of it, and what was at work."""

    at: float
    loss: LossId
    work: Work

    def of(self, queue: str) -> dict[TaskId, float]:
        """Return the seconds of work of the tasks of a queue."""
        return self.work.get(queue, {})


@final
@dataclass(frozen=True, slots=True)
class Evidence:
    """Why a queue is held guilty."""

    second_losses: int
    """Lost runners, of different moments, with a task of it that had met one before."""
    chance: float
    """How probable that is of sound tasks, at most."""
    lives: int
    """Runners that fell silent in the time that counts."""


@final
class Suspicions:
    """The losses that one entry has heard of lately. Times are steady seconds."""

    def __init__(self, again: float) -> None:
        self._again = again
        """Seconds from a loss until what was lost can be at work again."""
        self._seen: dict[LossId, _Seen] = {}
        """In the order in which they were learned."""
        self._met: Counter[TaskId] = Counter()
        """On how many of these runners a task was at work."""
        self._returned: deque[LossId] = deque(maxlen=MOST_RETURNED)

    def __bool__(self) -> bool:
        return bool(self._seen)

    def learn(self, now: float, news: LossNews) -> bool:
        """Follow a word on a runner; return whether it was news."""
        self._expire(now)
        if isinstance(news, RunnerReturned):
            return self._undo(news.loss)
        if news.loss in self._seen or news.loss in self._returned:
            return False
        ago = news.ago_ms / 1000 if isinstance(news, RunnerLost) else 0.0
        if ago >= WINDOW_SECONDS:
            return False
        work: Work = {}
        for task, queue, ms in zip(news.tasks, news.queues, news.worked_ms, strict=False):
            work.setdefault(queue, {})[task] = max(SHORTEST_WORK, ms / 1000)
        self._seen[news.loss] = _Seen(now - ago, news.loss, work)
        self._met.update(task for tasks in work.values() for task in tasks)
        if len(self._seen) > MOST_KEPT:
            self._forget(next(iter(self._seen)))
        return True

    def lost_again(self, loss: LossId | None = None) -> set[str]:
        """Return the queues of tasks that met two lost runners, one of them `loss` if it is given.

        Only of these there can be evidence.
        """
        seen = self._seen.values() if loss is None else [self._seen[loss]]
        return {
            queue
            for each in seen
            for queue, tasks in each.work.items()
            if any(self._met[task] > 1 for task in tasks)
        }

    def at_work(self) -> set[str]:
        """Return the queues that were at work on runners that fell silent."""
        return {queue for seen in self._seen.values() for queue in seen.work}

    def met(self, task: TaskId) -> bool:
        """Whether a task was at work on a runner that fell silent."""
        return task in self._met

    def last(self, queue: str, since: float) -> float | None:
        """Return when a runner fell silent last, after `since`, with a task of the queue."""
        times = (seen.at for seen in self._seen.values() if seen.at > since and seen.of(queue))
        return max(times, default=None)

    def evidence(
        self, now: float, queue: str, since: float, targets: int, explained: Collection[str]
    ) -> Evidence | None:
        """Return why a queue is held guilty by what came after `since`; None if it is not.

        `targets`: how many runners its service has, as far as is known. Runners on which one of the
        `explained` queues was at work don't count.
        """
        self._expire(now)
        seen = [
            each
            for each in self._seen.values()
            if each.at > since and not any(each.of(other) for other in explained)
        ]
        seen.sort(key=lambda each: each.at)
        ages = _second_losses(queue, seen)
        if not ages:
            return None
        at_work = [each for each in seen if each.of(queue)]
        if len(at_work) < LEAST_PRESENT * len(seen):
            return None
        # What was at work on one lost runner runs again on one, where it meets as many losses by
        # chance as there are in its time.
        rate = (len(seen) - len(ages)) / (WINDOW_SECONDS * max(1, targets))
        again = sum(each.at <= now - self._again for each in at_work)
        length = 2 * _median([worked for each in seen for worked in each.of(queue).values()])
        chance = _least_chance([rate * again * min(age, length) for age in ages])
        return Evidence(len(ages), chance, len(seen)) if chance <= MOST_CHANCE else None

    def _undo(self, loss: LossId) -> bool:
        if loss in self._returned:
            return False
        self._returned.append(loss)
        if loss in self._seen:
            self._forget(loss)
        return True

    def _expire(self, now: float) -> None:
        for loss, seen in list(self._seen.items()):
            if seen.at < now - WINDOW_SECONDS:
                self._forget(loss)

    def _forget(self, loss: LossId) -> None:
        for tasks in self._seen.pop(loss).work.values():
            for task in tasks:
                self._met[task] -= 1
                if not self._met[task]:
                    del self._met[task]


def _median(values: list[float]) -> float:
    values.sort()
    middle = len(values) // 2
    return (values[middle] + values[~middle]) / 2


def _least_chance(expected: list[float]) -> float:
    """Return how probable it is at the least that so many second losses come by chance.

    The n-th of `expected` is how many as short as the n-th are to be expected.
    """
    least, factorial = 1.0, 1
    for count, usual in enumerate(expected, 1):
        factorial *= count
        least = min(least, usual**count / factorial)
    return least


def _second_losses(queue: str, seen: list[_Seen]) -> list[float]:
    """Return how long tasks of a queue ran that were lost again, the shortest first.

    Of runners that fell silent together one counts at most: the shortest run. One on which tasks
    of several queues were lost again tells nothing.
    """
    first: dict[TaskId, int] = {}
    shortest: dict[int, float] = {}
    group, began = 0, float("-inf")
    for each in seen:
        if each.at > began + TOGETHER_SECONDS:
            group, began = group + 1, each.at
        again: dict[str, float] = {}
        for name, tasks in each.work.items():
            met = [
                worked for task, worked in tasks.items() if first.setdefault(task, group) < group
            ]
            if met:
                again[name] = min(met)
        if again.keys() == {queue}:
            shortest[group] = min(again[queue], shortest.get(group, again[queue]))
    return sorted(shortest.values())
