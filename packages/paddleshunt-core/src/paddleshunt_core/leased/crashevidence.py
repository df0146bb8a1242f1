"""Evidence from lost runners on which queue's tasks crash them.

On a busy fleet every queue has tasks on nearly every runner, so being present at one loss shows
nothing. A task that crashes runners is recognized on its retry: it is on a second lost runner,
soon after its start. A sound task that ran beside it is on a second lost runner only as often as
any task. So the evidence against a queue is how unlikely its tasks' repeat losses are by chance.

A silent runner may only be cut off or slow: nothing crashed. While silent runners do answer again,
a silence counts as evidence only once it has lasted longer than these returns take, or once the
incarnation is known to have ended.
"""

from collections import Counter
from collections.abc import Collection, Iterable
from dataclasses import dataclass, replace
from typing import final

from paddleshunt_core.leased.losses import CORRELATION_SECONDS
from paddleshunt_core.leased.runnerincarnation import RunnerIncarnation
from paddleshunt_core.leased.wire import (
    LossId,
    LossUpdate,
    RunnerLost,
    RunnerReturned,
    RunnerSilent,
    TaskId,
)

WINDOW_SECONDS = 10.0
"""Seconds for which a loss counts as evidence; a caller retries a task sooner."""

MAX_PROBABILITY = 0.02
"""Highest probability of a queue's repeat losses by chance at which it is held responsible."""

MIN_PRESENT_SHARE = 0.75
"""Smallest share of the lost runners that must have run tasks of a queue held responsible.

Below 1, as two queues that crash runners share the losses.
"""

MIN_WORK_SECONDS = 0.02
"""Shortest run time assumed for a lost task, in seconds; silence isn't noticed faster."""

MAX_LOSSES = 256
"""Losses kept as evidence at once."""

MAX_RETURNED = 256
"""Returned incarnations kept, so that outdated messages on their silence are ignored."""

RETURN_WAIT_LEASES = 2.0
"""Runner leases that a silence must last to be evidence while most silent runners return.

It delays the confinement of a queue that does crash runners by as much.
"""


RunTimes = dict[str, dict[TaskId, float]]
"""Seconds that each task had run on one runner, by queue."""


@final
@dataclass(frozen=True, slots=True)
class _Silence:
    """A runner that fell silent, when this process learned of it, and which tasks it ran."""

    learned_at: float
    loss: LossId
    work: RunTimes
    ended: bool = False
    """Whether the incarnation is known to have ended, as a new one runs in its place."""

    def run_times(self, queue: str) -> dict[TaskId, float]:
        """Return the run times in seconds of a queue's tasks."""
        return self.work.get(queue, {})


@final
@dataclass(frozen=True, slots=True)
class _RepeatLoss:
    """A task's run on a lost runner, after an earlier run on another one."""

    worked: float
    """Seconds that the later run had lasted."""
    first_loss: LossId
    repeat: LossId


@final
@dataclass(frozen=True, slots=True)
class Evidence:
    """The evidence that a queue's tasks crash runners."""

    repeat_losses: int
    """Lost runners, at separate times, with a task that had been on a lost runner before."""
    probability: float
    """Upper bound of the probability that sound tasks show as many."""
    silent_runners: int
    """Runners that fell silent within the window."""
    losses: frozenset[LossId] = frozenset()
    """The repeat losses, and the first losses of the same tasks."""


@final
class CrashEvidence:
    """The recent losses known to one entry. Times are in monotonic seconds."""

    def __init__(self, restart_seconds: float) -> None:
        self._restart_seconds = restart_seconds
        """Seconds from a loss until the lost tasks can run again: a runner's lease."""
        self._silences: dict[LossId, _Silence] = {}
        """In the order in which they were learned; only the latest silence of each incarnation."""
        self._loss_counts: Counter[TaskId] = Counter()
        """Number of these runners that ran a task."""
        self._returned: dict[RunnerIncarnation, tuple[int, float]] = {}
        """The latest silence that ended by an answer and when that was learned, by incarnation.

        Ordered by the time at which it was learned.
        """
        self._known_evidence: set[LossId] = set()
        """The losses that counted as evidence at the last call of `take_new_evidence`."""

    def __bool__(self) -> bool:
        return bool(self._silences)

    @property
    def may_gain_evidence(self) -> bool:
        """Whether a silence may yet become evidence by lasting longer."""
        return not self._silences.keys() <= self._known_evidence

    def learn(self, now: float, update: LossUpdate) -> bool:
        """Process a loss message; return whether it was new."""
        self._expire(now)
        loss = update.loss
        if isinstance(update, RunnerReturned):
            return self._retract(now, loss)
        if isinstance(update, RunnerLost):
            return self._add(now, update, now - update.ago_ms / 1000, ended=bool(update.ended))
        return self._add(now, update, now, ended=False)

    def take_new_evidence(self, now: float) -> set[LossId]:
        """Return the losses that have become evidence since the last call."""
        self._expire(now)
        current = {each.loss for each in self._counting(now)}
        new = current - self._known_evidence
        self._known_evidence = current
        return new

    def has_returned(self, loss: LossId) -> bool:
        """Whether the incarnation has answered since it fell silent at that time."""
        returned = self._returned.get(loss.incarnation)
        return returned is not None and loss.silent_ms <= returned[0]

    def discounted(self, now: float, losses: Iterable[LossId]) -> set[LossId]:
        """Return the losses that no longer count as evidence, other than by age."""
        evident = {each.loss for each in self._counting(now)}
        pending = self._silences.keys() - evident
        return {loss for loss in losses if self.has_returned(loss) or loss in pending}

    def queues_with_repeat_losses(self, losses: Collection[LossId] | None = None) -> set[str]:
        """Return the queues with a task on two lost runners, one of them in `losses` if given.

        Only these queues can have evidence against them.
        """
        seen = (
            self._silences.values() if losses is None else [self._silences[loss] for loss in losses]
        )
        return {
            queue
            for each in seen
            for queue, tasks in each.work.items()
            if any(self._loss_counts[task] > 1 for task in tasks)
        }

    def queues_on(self, loss: LossId) -> set[str]:
        """Return the queues with tasks on a runner that fell silent."""
        return set(self._silences[loss].work)

    def queues_with_losses(self) -> set[str]:
        """Return the queues with tasks on any runner that fell silent."""
        return {queue for seen in self._silences.values() for queue in seen.work}

    def was_on_lost_runner(self, task: TaskId) -> bool:
        """Whether a task was on a runner that fell silent."""
        return task in self._loss_counts

    def evidence_against(
        self, now: float, queue: str, since: float, target_count: int, explaining: Collection[str]
    ) -> Evidence | None:
        """Return the evidence against a queue from losses after `since`; None if it is too weak.

        `target_count` is the number of known runners of its service. Losses of runners that ran a
        task of one of the `explaining` queues don't count.
        """
        self._expire(now)
        seen = [
            each
            for each in self._counting(now)
            if each.learned_at > since and not any(each.run_times(other) for other in explaining)
        ]
        seen.sort(key=lambda each: each.learned_at)
        repeats = _repeat_losses(queue, seen)
        if not repeats:
            return None
        present = [each for each in seen if each.run_times(queue)]
        if len(present) < MIN_PRESENT_SHARE * len(seen):
            return None
        # Repeat losses expected by chance: losses per runner and second, times the lost runners
        # whose tasks may have been retried, times the run time of a retry.
        rate = (len(seen) - len(repeats)) / (WINDOW_SECONDS * max(1, target_count))
        retried = sum(each.learned_at <= now - self._restart_seconds for each in present)
        length = 2 * _median([worked for each in seen for worked in each.run_times(queue).values()])
        probability = _lowest_probability(
            [rate * retried * min(each.worked, length) for each in repeats]
        )
        if probability > MAX_PROBABILITY:
            return None
        involved = frozenset(loss for each in repeats for loss in (each.first_loss, each.repeat))
        return Evidence(len(repeats), probability, len(seen), involved)

    def _counting(self, now: float) -> list[_Silence]:
        """Return the silences that count as evidence now.

        An incarnation that returned lately may return again; while most return, any may. The
        silences of those count only once they have lasted longer than returns take.
        """
        lately_returned = {
            incarnation
            for incarnation, (_, at) in self._returned.items()
            if at >= now - WINDOW_SECONDS
        }
        still_silent = {loss.incarnation for loss in self._silences} - lately_returned
        most_return = len(lately_returned) >= len(still_silent)
        long_silent_since = now - RETURN_WAIT_LEASES * self._restart_seconds
        return [
            each
            for each in self._silences.values()
            if each.ended
            or each.learned_at <= long_silent_since
            or not (most_return or each.loss.incarnation in lately_returned)
        ]

    def _add(
        self, now: float, update: RunnerLost | RunnerSilent, at: float, *, ended: bool
    ) -> bool:
        """Record a silence learned of at time `at`; return whether it was new."""
        loss = update.loss
        if loss in self._silences:
            return ended and self._mark_ended(loss)
        if self.has_returned(loss) or at <= now - WINDOW_SECONDS:
            return False
        known = [
            other.silent_ms for other in self._silences if other.incarnation == loss.incarnation
        ]
        if known and loss.silent_ms < max(known):
            return False
        for silent_ms in known:
            # The same incarnation is silent again, so it had answered in between.
            self._retract(now, LossId.for_incarnation(loss.incarnation, silent_ms))
        work: RunTimes = {}
        for task, queue, ms in zip(update.tasks, update.queues, update.worked_ms, strict=False):
            work.setdefault(queue, {})[task] = max(MIN_WORK_SECONDS, ms / 1000)
        self._silences[loss] = _Silence(at, loss, work, ended)
        self._loss_counts.update(task for tasks in work.values() for task in tasks)
        if len(self._silences) > MAX_LOSSES:
            self._forget(next(iter(self._silences)))
        return True

    def _mark_ended(self, loss: LossId) -> bool:
        """Record that a silent incarnation has ended; return whether that was new."""
        known = self._silences[loss]
        self._silences[loss] = replace(known, ended=True)
        return not known.ended

    def _retract(self, now: float, loss: LossId) -> bool:
        """Drop the evidence from an incarnation's silence, and from any earlier one."""
        if self.has_returned(loss):
            return False
        self._returned.pop(loss.incarnation, None)
        self._returned[loss.incarnation] = (loss.silent_ms, now)
        if len(self._returned) > MAX_RETURNED:
            del self._returned[next(iter(self._returned))]
        for known in list(self._silences):
            if self.has_returned(known):
                self._forget(known)
        return True

    def _expire(self, now: float) -> None:
        for loss, seen in list(self._silences.items()):
            if seen.learned_at < now - WINDOW_SECONDS:
                self._forget(loss)

    def _forget(self, loss: LossId) -> None:
        for tasks in self._silences.pop(loss).work.values():
            for task in tasks:
                self._loss_counts[task] -= 1
                if not self._loss_counts[task]:
                    del self._loss_counts[task]


def _median(values: list[float]) -> float:
    values.sort()
    middle = len(values) // 2
    return (values[middle] + values[~middle]) / 2


def _lowest_probability(expected: list[float]) -> float:
    """Return the lowest probability by chance, over all n, of the n repeat losses after least work.

    The n-th item of `expected` is the number expected by chance with runs as short as the n-th.
    That number is taken to be Poisson-distributed: n or more have at most a probability of
    `expected**n / n!`.
    """
    least, factorial = 1.0, 1
    for count, mean in enumerate(expected, 1):
        factorial *= count
        least = min(least, mean**count / factorial)
    return least


def _repeat_losses(queue: str, seen: list[_Silence]) -> list[_RepeatLoss]:
    """Return the repeat losses of a queue's tasks, the shortest run first.

    Of runners that fell silent within `CORRELATION_SECONDS`, only the one with the shortest run
    counts. A runner with repeat losses of several queues counts for none.
    """
    first_loss: dict[TaskId, tuple[int, LossId]] = {}
    shortest: dict[int, _RepeatLoss] = {}
    group, began = 0, float("-inf")
    for each in seen:
        if each.learned_at > began + CORRELATION_SECONDS:
            group, began = group + 1, each.learned_at
        by_queue: dict[str, _RepeatLoss] = {}
        for name, tasks in each.work.items():
            repeated = [
                _RepeatLoss(worked, earlier, each.loss)
                for task, worked in tasks.items()
                for number, earlier in [first_loss.setdefault(task, (group, each.loss))]
                if number < group
            ]
            if repeated:
                by_queue[name] = min(repeated, key=_run_time)
        if by_queue.keys() == {queue}:
            shortest[group] = min(
                by_queue[queue], shortest.get(group, by_queue[queue]), key=_run_time
            )
    return sorted(shortest.values(), key=_run_time)


def _run_time(repeat_loss: _RepeatLoss) -> float:
    return repeat_loss.worked
