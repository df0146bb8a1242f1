"""Limits how often a task is retried after runs that may have started.

The limits bound the harm of a task that can't end or that crashes its runners, so each unsuccessful
run counts, and a runner that may have crashed counts like one that has. A job that reaches a limit
is given up with an unknown outcome rather than as failed: its last run may have succeeded, or been
stopped by its lease, before its runner was lost.
"""

from typing import final

from paddleshunt_core.events import Log, note
from paddleshunt_core.leased.jobs import JobRecord, TaskPhase, TaskRecord
from paddleshunt_core.leased.losses import LossHistory
from paddleshunt_core.leased.outcomes import GivenUp
from paddleshunt_core.leased.wire import LossUpdate, RunnerReturned, RunnerSilent

MAX_LOST_RUNNERS = 2
"""Number of runners lost while running a task after which it is not retried.

With a higher limit, more tasks that share a runner with it would be lost than jobs saved
(docs/design/crashing-tasks.md).
"""

MAX_LOST_RUNS = 3
"""Number of lost runners and of runs lost with a session, together, after which it is not retried.

It applies if at least one runner was lost: a session that ended may conceal the loss of another.
"""

MAX_RETRIES = 8
"""Number of unsuccessful runs, for any reason, after which a task is not retried.

A task that is not at fault may meet a lost, a hanging and a slow runner in turn, and has some left.
"""

ENDED_RUNNERS = "ended_runners"
SILENT_RUNNERS = "silent_runners"
LOST_SESSIONS = "lost_sessions"
RETRIES = "retries"
"""Reasons for which a job is given up."""


@final
class Retries:
    """Decides whether an entry's jobs are retried or given up, by the losses it knows of."""

    def __init__(self) -> None:
        self._losses = LossHistory()

    def known_losses(self, now: float) -> list[LossUpdate]:
        """Return the remembered losses of runners, to send to another entry."""
        return self._losses.export(now)

    def learn(self, now: float, update: LossUpdate, source: str) -> list[Log]:
        """Record an update on a lost runner, and return its log lines; none if it was known.

        `RunnerSilent` is ignored here, as the runner's tasks may still be running.
        """
        if isinstance(update, RunnerSilent) or not self._losses.apply(now, update):
            return []
        runner = str(update.loss.incarnation)
        if isinstance(update, RunnerReturned):
            return [note("runner_return_learned", runner=runner, source=source)]
        tasks, ended = len(update.tasks), len(update.ended)
        return [note("runner_loss_learned", runner=runner, tasks=tasks, ended=ended, source=source)]

    def outcome_on_submit(self, now: float, job: JobRecord) -> GivenUp | None:
        """Return the outcome of a submitted job that must not be started; None if it may be.

        Ended runners count against a job for as long as it keeps being resubmitted.
        """
        outcome = self.outcome(now, job)
        if outcome is not None and outcome.reason == ENDED_RUNNERS:
            for task in job.tasks:
                self._losses.extend_retention(now, task.id)
        return outcome

    def outcome(self, now: float, job: JobRecord) -> GivenUp | None:
        """Return the outcome of a job that must not be retried; None if it may be."""
        self._losses.expire(now)
        exhausted = self._exhausted(job)
        return None if exhausted is None else exhausted[1]

    def given_up_log(self, job: JobRecord, outcome: GivenUp) -> Log:
        """Return the log line of a job that is given up, with the counts of the task at fault."""
        fields: dict[str, str | int | float] = {"reason": outcome.reason}
        exhausted = self._exhausted(job)
        if exhausted is not None:
            task = exhausted[0]
            fields |= {
                "index": task.id.index,
                "runners": ",".join(map(str, self._losses.runners(task.id))),
                "ended": ",".join(map(str, self._losses.ended(task.id))),
                "losses": task.losses,
                "retries": task.retries,
            }
        return note("job_given_up", job.request.key, **fields)

    def _exhausted(self, job: JobRecord) -> tuple[TaskRecord, GivenUp] | None:
        """Return the first unfinished task that must not be retried, and its job's outcome."""
        open_tasks = (task for task in job.tasks if task.phase is not TaskPhase.DONE)
        outcomes = ((task, self._task_outcome(task)) for task in open_tasks)
        return next(((task, outcome) for task, outcome in outcomes if outcome is not None), None)

    def _task_outcome(self, task: TaskRecord) -> GivenUp | None:
        """Return the outcome of the job of a task that must not be retried; None if it may be."""
        runners = self._counted_losses(task)
        if runners >= MAX_LOST_RUNNERS:
            ended = len(self._losses.ended(task.id))
            return GivenUp(ENDED_RUNNERS if ended >= MAX_LOST_RUNNERS else SILENT_RUNNERS)
        if runners and runners + task.losses >= MAX_LOST_RUNS:
            return GivenUp(LOST_SESSIONS)
        return GivenUp(RETRIES) if task.retries >= MAX_RETRIES else None

    def _counted_losses(self, task: TaskRecord) -> int:
        """Return how many of the runners that were lost while running a task it may have crashed.

        One loss that is correlated with others, as with an outage of a rack or a hall, is excused.
        """
        incarnations = self._losses.runners(task.id)
        any_correlated = any(
            self._losses.was_correlated(each, task.id.job) for each in incarnations
        )
        return len(incarnations) - any_correlated
