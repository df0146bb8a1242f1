"""What lost runners show of the queues whose tasks were at work on them.

On a busy fleet every queue is at work on nearly every runner, so that one was there says nothing.
A task that takes runners down shows itself by its second run: it meets a second lost runner, soon
after its start. A sound task that was beside it is as likely to meet a second lost runner as any
task is. So the evidence against a queue is how unlikely its tasks' second losses are by chance.

A runner that only fell silent may be cut off or slow to answer: nothing crashed. While lives that
fell silent do answer again, a silence is evidence only once it has lasted longer than they take,
or the life is known to have ended.
"""

from collections import Counter
from collections.abc import Collection, Iterable
from dataclasses import dataclass, replace
from typing import final

from paddleshunt_core.leased.losses import TOGETHER_SECONDS
from paddleshunt_core.leased.runnerlife import RunnerLife
from paddleshunt_core.leased.wire import (
    LossId,
    LossUpdate,
    RunnerLost,
    RunnerReturned,
    RunnerSilent,
    TaskId,
)

WINDOW_SECONDS = 10.0
"""Seconds for which a loss is evidence: a task is tried again within its caller's patience."""

MOST_CHANCE = 0.02
"""Probability of a queue's second losses by chance, up to which they are no chance."""

LEAST_PRESENT = 0.75
"""Share of the lost runners on which a guilty queue was at work, at the least; two share them."""

SHORTEST_WORK = 0.02
"""Seconds that a task had worked at the least: a silence is not noticed closer than that."""

MOST_KEPT = 256
"""Losses that are kept as evidence at once."""

MOST_RETURNED = 256
"""Lives that answered again, remembered so that an older word of silence is not followed."""

PATIENCE = 2.0
"""How many times as long as a runner's lease a silence lasts until it is evidence while most end.

A queue that does crash runners then is confined so much later (1.4 s); most returns come sooner.
"""


Work = dict[str, dict[TaskId, float]]
"""Seconds of work of each task on one runner, by queue."""


@final
@dataclass(frozen=True, slots=True)
class _Seen:
    """A runner that fell silent: when this process learned of it, and what was at work."""

    at: float
    loss: LossId
    work: Work
    ended: bool = False
    """Whether the life is known to have ended, as another one answers in its place."""

    def of(self, queue: str) -> dict[TaskId, float]:
        """Return the seconds of work of the tasks of a queue."""
        return self.work.get(queue, {})


@final
@dataclass(frozen=True, slots=True)
class _Second:
    """A task's run that met a lost runner after an earlier run had met one."""

    worked: float
    """Seconds that it had run."""
    first: LossId
    again: LossId


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
    losses: frozenset[LossId] = frozenset()
    """What it is made of: the second losses, and the first ones of the same tasks."""


@final
class Suspicions:
    """The losses that one entry has heard of lately. Times are steady seconds."""

    def __init__(self, again: float) -> None:
        self._again = again
        """Seconds from a loss until what was lost can be at work again: a runner's lease."""
        self._seen: dict[LossId, _Seen] = {}
        """In the order in which they were learned; of each life the latest silence only."""
        self._met: Counter[TaskId] = Counter()
        """On how many of these runners a task was at work."""
        self._returned: dict[RunnerLife, tuple[int, float]] = {}
        """Of lives that answered again: the latest silence that ended so, and when it was learned.

        The one that was learned last is the last.
        """
        self._ripe: set[LossId] = set()
        """What was evidence when `ripe` was asked last."""

    def __bool__(self) -> bool:
        return bool(self._seen)

    @property
    def ripens(self) -> bool:
        """Whether a silence may yet become evidence by lasting longer."""
        return not self._seen.keys() <= self._ripe

    def learn(self, now: float, news: LossUpdate) -> bool:
        """Follow a word on a runner; return whether it was news."""
        self._expire(now)
        loss = news.loss
        if isinstance(news, RunnerReturned):
            return self._undo(now, loss)
        if isinstance(news, RunnerLost):
            return self._lost(now, news, now - news.ago_ms / 1000, ended=bool(news.ended))
        return self._lost(now, news, now, ended=False)

    def ripe(self, now: float) -> set[LossId]:
        """Return the losses that have become evidence since this was asked last."""
        self._expire(now)
        ripe = {each.loss for each in self._evident(now)}
        new = ripe - self._ripe
        self._ripe = ripe
        return new

    def has_returned(self, loss: LossId) -> bool:
        """Whether the life has answered since it fell silent so."""
        returned = self._returned.get(loss.incarnation)
        return returned is not None and loss.silent_ms <= returned[0]

    def doubtful(self, now: float, losses: Iterable[LossId]) -> set[LossId]:
        """Return those of the losses that are no evidence any more, other than by their age."""
        evident = {each.loss for each in self._evident(now)}
        known = self._seen.keys() - evident
        return {loss for loss in losses if self.has_returned(loss) or loss in known}

    def lost_again(self, losses: Collection[LossId] | None = None) -> set[str]:
        """Return the queues of tasks that met two lost runners, one of them in `losses` if given.

        Only of these there can be evidence.
        """
        seen = self._seen.values() if losses is None else [self._seen[loss] for loss in losses]
        return {
            queue
            for each in seen
            for queue, tasks in each.work.items()
            if any(self._met[task] > 1 for task in tasks)
        }

    def queues(self, loss: LossId) -> set[str]:
        """Return the queues that were at work on a runner that fell silent."""
        return set(self._seen[loss].work)

    def at_work(self) -> set[str]:
        """Return the queues that were at work on runners that fell silent."""
        return {queue for seen in self._seen.values() for queue in seen.work}

    def met(self, task: TaskId) -> bool:
        """Whether a task was at work on a runner that fell silent."""
        return task in self._met

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
            for each in self._evident(now)
            if each.at > since and not any(each.of(other) for other in explained)
        ]
        seen.sort(key=lambda each: each.at)
        seconds = _second_losses(queue, seen)
        if not seconds:
            return None
        at_work = [each for each in seen if each.of(queue)]
        if len(at_work) < LEAST_PRESENT * len(seen):
            return None
        # What was at work on one lost runner runs again on one, where it meets as many losses by
        # chance as there are in its time.
        rate = (len(seen) - len(seconds)) / (WINDOW_SECONDS * max(1, targets))
        again = sum(each.at <= now - self._again for each in at_work)
        length = 2 * _median([worked for each in seen for worked in each.of(queue).values()])
        chance = _least_chance([rate * again * min(each.worked, length) for each in seconds])
        if chance > MOST_CHANCE:
            return None
        made_of = frozenset(loss for each in seconds for loss in (each.first, each.again))
        return Evidence(len(seconds), chance, len(seen), made_of)

    def _evident(self, now: float) -> list[_Seen]:
        """Return the silences that show something now.

        A life that came back lately may do so again, and any life while most come back: of these
        only silences that have lasted longer than returns take.
        """
        back = {life for life, (_, at) in self._returned.items() if at >= now - WINDOW_SECONDS}
        out = {loss.incarnation for loss in self._seen} - back
        mostly_back = len(back) >= len(out)
        outlasted = now - PATIENCE * self._again
        return [
            each
            for each in self._seen.values()
            if each.ended
            or each.at <= outlasted
            or not (mostly_back or each.loss.incarnation in back)
        ]

    def _lost(self, now: float, news: RunnerLost | RunnerSilent, at: float, *, ended: bool) -> bool:
        """Note a silence that was learned of `at` a time; return whether that is news."""
        loss = news.loss
        if loss in self._seen:
            return ended and self._end(loss)
        if self.has_returned(loss) or at <= now - WINDOW_SECONDS:
            return False
        known = [other.silent_ms for other in self._seen if other.incarnation == loss.incarnation]
        if known and loss.silent_ms < max(known):
            return False
        for silent_ms in known:
            # The same life is silent anew: it had answered meanwhile.
            self._undo(now, LossId.for_incarnation(loss.incarnation, silent_ms))
        work: Work = {}
        for task, queue, ms in zip(news.tasks, news.queues, news.worked_ms, strict=False):
            work.setdefault(queue, {})[task] = max(SHORTEST_WORK, ms / 1000)
        self._seen[loss] = _Seen(at, loss, work, ended)
        self._met.update(task for tasks in work.values() for task in tasks)
        if len(self._seen) > MOST_KEPT:
            self._forget(next(iter(self._seen)))
        return True

    def _end(self, loss: LossId) -> bool:
        """Note that a life that was silent has ended; return whether that is news."""
        known = self._seen[loss]
        self._seen[loss] = replace(known, ended=True)
        return not known.ended

    def _undo(self, now: float, loss: LossId) -> bool:
        """Take back what a life's silence shows, and that of any earlier one."""
        if self.has_returned(loss):
            return False
        self._returned.pop(loss.incarnation, None)
        self._returned[loss.incarnation] = (loss.silent_ms, now)
        if len(self._returned) > MOST_RETURNED:
            del self._returned[next(iter(self._returned))]
        for known in list(self._seen):
            if self.has_returned(known):
                self._forget(known)
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


def _second_losses(queue: str, seen: list[_Seen]) -> list[_Second]:
    """Return the second losses of tasks of a queue, that of the shortest run first.

    Of runners that fell silent together one counts at most: the shortest run. One on which tasks
    of several queues were lost again tells nothing.
    """
    first: dict[TaskId, tuple[int, LossId]] = {}
    shortest: dict[int, _Second] = {}
    group, began = 0, float("-inf")
    for each in seen:
        if each.at > began + TOGETHER_SECONDS:
            group, began = group + 1, each.at
        again: dict[str, _Second] = {}
        for name, tasks in each.work.items():
            met = [
                _Second(worked, before, each.loss)
                for task, worked in tasks.items()
                for number, before in [first.setdefault(task, (group, each.loss))]
                if number < group
            ]
            if met:
                again[name] = min(met, key=_worked)
        if again.keys() == {queue}:
            shortest[group] = min(again[queue], shortest.get(group, again[queue]), key=_worked)
    return sorted(shortest.values(), key=_worked)


def _worked(second: _Second) -> float:
    return second.worked
