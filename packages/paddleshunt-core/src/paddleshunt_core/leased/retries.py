"""How often a task is tried again after runs that may have begun, and what its caller is told then.

Two questions are kept apart. Whether a task may be started again is a bound on harm: a task that
can't end, or takes its runners down, is tried for as long as its caller waits without one, so
each way back to waiting counts, and a runner that may have crashed counts like one that has. What
a caller may be told is bound by what is known. No target knows what a run did after it was seen
last: it may have ended well, or its lease may have run out, before its runner's life ended. So
a task that is not started again for lost runners has not failed: its outcome is unknown.
"""

from typing import final

from paddleshunt_core.events import Log, note
from paddleshunt_core.leased.jobs import JobRecord, TaskPhase, TaskRecord
from paddleshunt_core.leased.losses import LossBook
from paddleshunt_core.leased.outcomes import GivenUp
from paddleshunt_core.leased.wire import LossNews, RunnerReturned, RunnerSilent

MAX_LOST_RUNNERS = 2
"""Runners lost under a task after which it is not started again, whatever else ran on them.

One more costs the neighbours on the third runner more than it spares sound jobs that were beside
the cause twice: measured in docs/design/crashing-tasks.md.
"""

MAX_LOST_RUNS = 3
"""The same of lost runners and runs lost with their target or its session, if a runner was lost.

Why a session ended nobody tells: its runner may have been lost behind a cut.
"""

MAX_RETRIES = 8
"""Runs that may have begun without ending well, after which a task is not tried again.

A task that is no fault of this meets a lost, a hanging and a slow runner in turn and has some left.
"""

ENDED_RUNNERS = "ended_runners"
SILENT_RUNNERS = "silent_runners"
LOST_SESSIONS = "lost_sessions"
RETRIES = "retries"


@final
class Retries:
    """What an entry goes by when it tries a task again, or gives its job up."""

    def __init__(self) -> None:
        self._losses = LossBook()

    def known_losses(self, now: float) -> list[LossNews]:
        """Return what is remembered of lost runners, to hand on."""
        return self._losses.all(now)

    def learn(self, now: float, news: LossNews, source: str) -> list[Log]:
        """Follow a word on a lost runner; return the line about it, none if it was known.

        One that is only silent counts for nothing: what is at work on it may go on.
        """
        if isinstance(news, RunnerSilent) or not self._losses.follow(now, news):
            return []
        runner = str(news.loss.life)
        if isinstance(news, RunnerReturned):
            return [note("runner_return_learned", runner=runner, source=source)]
        tasks, ended = len(news.tasks), len(news.ended)
        return [note("runner_loss_learned", runner=runner, tasks=tasks, ended=ended, source=source)]

    def handed_in(self, now: float, job: JobRecord) -> GivenUp | None:
        """Return how a job ends that has just come and is not to be begun; None if it may be.

        What is known to have ended under it is remembered for as long as it is asked for.
        """
        outcome = self.outcome(now, job)
        if outcome is not None and outcome.reason == ENDED_RUNNERS:
            for task in job.tasks:
                self._losses.keep(now, task.id)
        return outcome

    def outcome(self, now: float, job: JobRecord) -> GivenUp | None:
        """Return how a job ends that is not to be tried again; None if it may be."""
        self._losses.expire(now)
        spent = self._spent(job)
        return None if spent is None else spent[1]

    def note_given_up(self, job: JobRecord, outcome: GivenUp) -> Log:
        """Return the line that says for which task a job is given up, and what that cost."""
        fields: dict[str, str | int | float] = {"reason": outcome.reason}
        spent = self._spent(job)
        if spent is not None:
            task = spent[0]
            fields |= {
                "index": task.id.index,
                "runners": ",".join(map(str, self._losses.runners(task.id))),
                "ended": ",".join(map(str, self._losses.ended(task.id))),
                "losses": task.losses,
                "retries": task.retries,
            }
        return note("job_given_up", job.request.key, **fields)

    def _spent(self, job: JobRecord) -> tuple[TaskRecord, GivenUp] | None:
        """Return a task that is not to be tried again, and why; one that is done needs no try."""
        open_tasks = (task for task in job.tasks if task.phase is not TaskPhase.DONE)
        spent = ((task, self._outcome(task)) for task in open_tasks)
        return next(((task, outcome) for task, outcome in spent if outcome is not None), None)

    def _outcome(self, task: TaskRecord) -> GivenUp | None:
        """Return how the job of a task ends that is not to be tried again; None if it may be."""
        runners = self._suspicious(task)
        if runners >= MAX_LOST_RUNNERS:
            ended = len(self._losses.ended(task.id))
            return GivenUp(ENDED_RUNNERS if ended >= MAX_LOST_RUNNERS else SILENT_RUNNERS)
        if runners and runners + task.losses >= MAX_LOST_RUNS:
            return GivenUp(LOST_SESSIONS)
        return GivenUp(RETRIES) if task.retries >= MAX_RETRIES else None

    def _suspicious(self, task: TaskRecord) -> int:
        """Return how many runners were lost under a task that it may have taken down.

        One that was lost beside others, as a rack or a hall is, counts for nothing, but only once:
        the bound on harm is one runner more then, and not more than that.
        """
        lives = self._losses.runners(task.id)
        shared = any(self._losses.was_shared(life, task.id.job) for life in lives)
        return len(lives) - shared
