"""How often a task is tried again after runs that may have begun, and when its job is given up.

Each way back to waiting counts: a run that was lost, stood still, was stopped or failed on a sick
runner. Without such a bound a task that can't end is tried for as long as its caller waits.
"""

from typing import final

from paddleshunt_core.events import Log, note
from paddleshunt_core.leased.jobs import JobRecord, TaskPhase, TaskRecord
from paddleshunt_core.leased.losses import LossBook
from paddleshunt_core.leased.outcomes import Failed
from paddleshunt_core.leased.wire import LossNews, RunnerLost, RunnerReturned, RunnerSilent

LOST_RUNNERS = 2
"""Runners lost under a task after which its job is given up, whatever else ran on them.

One more costs the neighbours on the third runner more than it spares sound jobs that were beside
the cause twice: measured in docs/design/crashing-tasks.md.
"""

LOST_RUNS = 3
"""Lost runs of a task after which its job is given up, if a runner was lost under one of them.

The others may have ended with their target or its session, which tells no reason.
"""

MOST_RETRIES = 8
"""Runs that may have begun without ending well, after which a task is not tried again.

A task that is no fault of this meets a lost, a hanging and a slow runner in turn and has some left.
"""

CRASHES = "crashes"
RETRIES = "retries"


@final
class Retries:
    """What an entry goes by when it tries a task again, or gives its job up."""

    def __init__(self) -> None:
        self._losses = LossBook()

    def known_losses(self, now: float) -> list[RunnerLost]:
        """Return what is remembered of lost runners, to hand on."""
        return self._losses.all(now)

    def learn(self, now: float, news: LossNews, source: str) -> list[Log]:
        """Follow a word on a lost runner; return the line about it, none if it was known.

        One that is only silent counts for nothing: what is at work on it may go on.
        """
        if isinstance(news, RunnerSilent) or not self._losses.follow(now, news):
            return []
        runner = news.loss.runner
        if isinstance(news, RunnerReturned):
            return [note("runner_return_learned", runner=runner, source=source)]
        tasks, ended = len(news.tasks), len(news.ended)
        return [note("runner_loss_learned", runner=runner, tasks=tasks, ended=ended, source=source)]

    def outcome(self, job: JobRecord) -> Failed | None:
        """Return how a job ends that is not to be tried again; None if it may be."""
        task = self._spent(job)
        return None if task is None else Failed(self._reason(task))

    def note_given_up(self, job: JobRecord, outcome: Failed) -> Log:
        """Return the line that says for which task a job is given up, and what that cost."""
        fields: dict[str, str | int | float] = {"reason": outcome.reason}
        task = self._spent(job)
        if task is not None:
            fields |= {
                "index": task.id.index,
                "runners": ",".join(self._losses.runners(task.id)),
                "ended": ",".join(self._losses.ended(task.id)),
                "losses": task.losses,
                "retries": task.retries,
            }
        return note("job_given_up", job.request.key, **fields)

    def _spent(self, job: JobRecord) -> TaskRecord | None:
        """Return a task that is not to be tried again; one that has ended well needs no try."""
        open_tasks = (task for task in job.tasks if task.phase is not TaskPhase.DONE)
        return next((task for task in open_tasks if self._reason(task)), None)

    def _reason(self, task: TaskRecord) -> str:
        """Return why a task is not to be tried again; empty if it may be."""
        runners = len(self._losses.runners(task.id))
        if runners >= LOST_RUNNERS or (runners and task.losses >= LOST_RUNS):
            return CRASHES
        return RETRIES if task.retries >= MOST_RETRIES else ""
