"""Confinement of queues whose tasks crash runners, and their stepwise release.

The evidence comes from runner losses that targets report and entries share, so all entries reach
the same decision and choose the same targets without further messages or stored state. Jobs of a
confined queue start on its few targets or are refused; other queues use these targets only if there
is no room elsewhere. After each period without a loss the number of targets doubles, until the
queue is released. If lost runners answer again and too little evidence remains, the queue is
released at once.
"""

from collections.abc import Callable, Iterable
from dataclasses import dataclass, field
from typing import final

from paddleshunt_core.events import Log, note
from paddleshunt_core.leased.bulkhead import Bulkhead, rendezvous_rank
from paddleshunt_core.leased.catalog import Queue
from paddleshunt_core.leased.crashevidence import CrashEvidence, Evidence
from paddleshunt_core.leased.jobs import JobRecord
from paddleshunt_core.leased.targets import TargetRecord
from paddleshunt_core.leased.targetsnapshot import TargetSnapshot
from paddleshunt_core.leased.wire import LossId, LossUpdate, RunnerReturned

QUIET_SECONDS = 1.5
"""Seconds without a loss, while one of its targets is usable, after which a queue gets more.

If one task a second crashes its runner, three of four such intervals contain a crash.
"""

MAX_RETRY_SECONDS = 10.0
"""Longest `Retry-After` for a refused job, in seconds; queues are seldom confined for longer."""

EXPLAINED_RATIO = 10.0
"""Ratio of two queues' probabilities from which the lower one's tasks explain the other's losses.

Two queues that both crash runners don't differ that much. A queue whose tasks only ran beside the
crashing ones does.
"""

MAX_SEPARATED_QUEUES = 16
"""Queues with tasks on lost runners, up to which their retries run on separate targets.

More of them point to a lost hall or rack rather than to a task.
"""

MAX_LISTED = 16
"""Targets or runners listed in one log line."""


TargetSource = Callable[[], Iterable[TargetRecord]]
"""Returns the targets in halls that are not evacuated; called only if there is evidence."""


@final
@dataclass(slots=True)
class _Confinement:
    """One confined queue. Times are in seconds of the monotonic clock."""

    bulkhead: Bulkhead
    evidence: Evidence
    since: float
    """Time from which losses counted as evidence against it."""
    confined_at: float
    width: int = 1
    """Multiple of the usual share of targets that it has."""
    quiet_seconds: float = 0.0
    """Seconds without a loss at this width."""
    checked_at: float = 0.0
    """When `quiet_seconds` was last updated."""
    losses: int = 0
    """Further losses since it was confined."""
    explained_queues: dict[str, float] = field(default_factory=dict)
    """Queues released because this one explains their losses, with their `since` at that time."""

    def record_loss(self, now: float) -> None:
        """Record a further loss: back to the fewest targets, and the quiet period starts over."""
        self.losses += 1
        self.width = 1
        self.quiet_seconds = 0.0
        self.checked_at = now

    def steps(self) -> int:
        """Return how many times its targets have to double until it is released."""
        steps, members = 0, max(1, len(self.bulkhead.members))
        while 2 * members < self.bulkhead.eligible_count:
            members *= 2
            steps += 1
        return max(1, steps)

    def seconds_to_release(self) -> float:
        """Return the seconds until its release if nothing more is lost."""
        return self.steps() * QUIET_SECONDS - self.quiet_seconds


@final
class Containment:
    """The confined queues from the view of one entry."""

    def __init__(self, restart_seconds: float) -> None:
        """Start with no evidence.

        `restart_seconds` is the time from a loss until the lost tasks can run again, in seconds.
        """
        self._evidence_log = CrashEvidence(restart_seconds)
        self._services: dict[str, str] = {}
        """Service of each queue that had a job here."""
        self._confined: dict[str, _Confinement] = {}
        self._evidence_since: dict[str, float] = {}
        """When a queue was released last; earlier losses don't count as evidence."""

    def __len__(self) -> int:
        return len(self._confined)

    @property
    def depends_on_time(self) -> bool:
        """Whether time alone may change the state, so that `tick` must be called."""
        return bool(self._confined) or self._evidence_log.may_gain_evidence

    def describe(self) -> dict[str, object]:
        """Return a summary of the confined queues for a dump."""
        return {
            queue: {
                "targets": sorted(confined.bulkhead.members),
                "of": confined.bulkhead.eligible_count,
                "width": confined.width,
                "losses": confined.losses,
                "free_after_s": round(confined.seconds_to_release(), 2),
            }
            for queue, confined in self._confined.items()
        }

    def set_service(self, now: float, queue: Queue, targets: TargetSource) -> list[Log]:
        """Record which service runs a queue's tasks, and reconsider earlier losses."""
        known = self._services.get(queue.name)
        self._services[queue.name] = queue.service
        if known == queue.service:
            return []
        return self._confine(now, targets, self._evidence_log.queues_with_repeat_losses())

    def learn(
        self, now: float, update: LossUpdate, targets: TargetSource
    ) -> tuple[bool, list[Log]]:
        """Process a loss message; return whether it was new, and the resulting log lines."""
        if not self._evidence_log.learn(now, update):
            return False, []
        logs = self._process_new_evidence(now, targets)
        if isinstance(update, RunnerReturned):
            logs += self._retract(now, update.loss, targets)
        return True, logs

    def tick(
        self, now: float, targets: Iterable[TargetRecord], snapshot: TargetSnapshot
    ) -> list[Log]:
        """Release or widen queues as time passes; `targets` are those in halls not evacuated."""
        known = list(targets)
        logs = self._process_new_evidence(now, lambda: known)
        for queue, confined in list(self._confined.items()):
            usable = snapshot.usable(confined.bulkhead.service)
            logs += self._advance(now, queue, confined, known, usable)
        return logs

    def is_confined(self, queue: Queue) -> bool:
        """Whether a queue is confined."""
        return queue.name in self._confined

    def allowed_targets(self, job: JobRecord, usable: list[TargetRecord]) -> list[TargetRecord]:
        """Return the usable targets that a job may run on.

        Jobs of other queues run on a confined queue's targets only if there is no room elsewhere.
        Tasks that were running on a lost runner are retried on targets that no other queue with
        lost tasks uses, so that a task that crashes a second runner can be distinguished from those
        beside it.
        """
        confined = self._confined.get(job.queue.name)
        if confined is not None:
            return [target for target in usable if target.name in confined.bulkhead.members]
        if self._was_lost(job):
            return self._separated(job, usable) or usable
        if not self._confined:
            return usable
        reserved = frozenset[str]().union(*(c.bulkhead.members for c in self._confined.values()))
        others = [target for target in usable if target.name not in reserved]
        return others if any(_has_room(job, target) for target in others) else usable

    def may_use_other_targets(self, job: JobRecord) -> bool:
        """Whether tasks that don't fit on the allowed targets may use any usable one."""
        return not self.is_confined(job.queue) and not self._was_lost(job)

    def competing_jobs(self, job: JobRecord, held: Iterable[JobRecord]) -> Iterable[JobRecord]:
        """Return the held jobs that compete for the same targets."""
        if not self._confined:
            return held
        if job.queue.name in self._confined:
            return [other for other in held if other.queue.name == job.queue.name]
        return [other for other in held if other.queue.name not in self._confined]

    def must_wait(self, job: JobRecord) -> bool:
        """Whether a job must wait: its queue is at its narrowest, and a task was on a lost runner.

        That task may be the one that crashed the runner, and would crash another.
        """
        confined = self._confined.get(job.queue.name)
        if confined is None or confined.width > 1:
            return False
        return self._was_lost(job)

    def refusal_delay(self, job: JobRecord, snapshot: TargetSnapshot) -> float | None:
        """Return the seconds after which to retry a job that can't run now; None if it can."""
        confined = self._confined.get(job.queue.name)
        if confined is None:
            return None
        if any(
            _can_run(job, t) for t in self.allowed_targets(job, snapshot.usable(job.queue.service))
        ):
            return None
        return min(MAX_RETRY_SECONDS, confined.seconds_to_release())

    def _separated(self, job: JobRecord, usable: list[TargetRecord]) -> list[TargetRecord]:
        """Return the targets with room that are assigned to the job's queue.

        Rendezvous hashing assigns each target to one of the service's queues with losses.
        """
        service = job.queue.service
        queues = [
            q for q in self._evidence_log.queues_with_losses() if self._services.get(q) == service
        ]
        if len(queues) > MAX_SEPARATED_QUEUES:
            return []
        return [
            target
            for target in usable
            if _has_room(job, target)
            and min(queues, key=lambda q: rendezvous_rank(q, target.name), default="")
            == job.queue.name
        ]

    def _process_new_evidence(self, now: float, targets: TargetSource) -> list[Log]:
        """Act on losses that have become evidence."""
        new = self._evidence_log.take_new_evidence(now)
        if not new:
            return []
        for queue in set[str]().union(*map(self._evidence_log.queues_on, new)):
            if queue in self._confined:
                self._confined[queue].record_loss(now)
        return self._confine(now, targets, self._evidence_log.queues_with_repeat_losses(new))

    def _retract(self, now: float, returned: LossId, targets: TargetSource) -> list[Log]:
        """Release the queues with too little evidence left, as a runner has answered again."""
        logs: list[Log] = []
        reconsidered: set[str] = set()
        for queue, confined in list(self._confined.items()):
            discounted = self._evidence_log.discounted(now, confined.evidence.losses)
            if not discounted:
                continue
            eligible = confined.bulkhead.eligible_count
            left = self._evidence_log.evidence_against(now, queue, confined.since, eligible, ())
            logs.append(_retracted_log(queue, returned, discounted, left))
            if left is not None:
                confined.evidence = left
                continue
            logs.append(self._release(now, queue, "taken_back"))
            # The remaining losses may become evidence with the next one, also against the queues
            # that this one seemed to explain.
            self._evidence_since[queue] = confined.since
            for other, since in confined.explained_queues.items():
                if self._evidence_since[other] == confined.confined_at:
                    self._evidence_since[other] = since
                    reconsidered.add(other)
        return logs + self._confine(now, targets, reconsidered)

    def _confine(self, now: float, targets: TargetSource, queues: set[str]) -> list[Log]:
        """Confine those of the given queues that have enough evidence against them."""
        known = list(targets()) if queues else []
        logs: list[Log] = []
        while (worst := self._strongest(now, known, queues)) is not None:
            queue, bulkhead, evidence = worst
            since = self._evidence_since.get(queue, float("-inf"))
            self._confined[queue] = _Confinement(bulkhead, evidence, since, now, checked_at=now)
            logs += [_confined_log(queue, bulkhead, evidence), *self._release_explained(now, queue)]
        return logs

    def _was_lost(self, job: JobRecord) -> bool:
        """Whether a waiting task of a job was running on a runner that fell silent."""
        return bool(self._evidence_log) and any(
            self._evidence_log.was_on_lost_runner(task.id) for task in job.waiting()
        )

    def _strongest(
        self, now: float, targets: list[TargetRecord], queues: set[str]
    ) -> tuple[str, Bulkhead, Evidence] | None:
        """Return the queue with the strongest evidence, if any is to be confined."""
        found: list[tuple[str, Bulkhead, Evidence]] = []
        for queue in queues & self._services.keys() - self._confined.keys():
            bulkhead = Bulkhead(queue, self._services[queue])
            bulkhead.choose(now, targets, 1)
            evidence = self._evidence(now, queue, bulkhead.eligible_count)
            if evidence is not None and not bulkhead.is_too_wide():
                found.append((queue, bulkhead, evidence))
        return min(found, key=lambda each: (each[2].probability, each[0]), default=None)

    def _evidence(self, now: float, queue: str, target_count: int) -> Evidence | None:
        """Return the evidence against a queue that confined queues don't explain better."""
        since = self._evidence_since.get(queue, float("-inf"))
        evidence = self._evidence_log.evidence_against(now, queue, since, target_count, ())
        if evidence is None:
            return None
        worse = [
            q
            for q, c in self._confined.items()
            if EXPLAINED_RATIO * c.evidence.probability <= evidence.probability
        ]
        return self._evidence_log.evidence_against(now, queue, since, target_count, worse)

    def _release_explained(self, now: float, queue: str) -> list[Log]:
        """Release the queues whose losses the newly confined one explains."""
        logs: list[Log] = []
        worst = self._confined[queue].evidence.probability
        for other, confined in list(self._confined.items()):
            if other == queue or confined.evidence.probability < EXPLAINED_RATIO * worst:
                continue
            eligible = confined.bulkhead.eligible_count
            if not self._evidence_log.evidence_against(
                now, other, confined.since, eligible, (queue,)
            ):
                self._confined[queue].explained_queues[other] = confined.since
                logs.append(self._release(now, other, f"explained_by_{queue}"))
        return logs

    def _release(self, now: float, queue: str, reason: str) -> Log:
        confined = self._confined.pop(queue)
        self._evidence_since[queue] = now
        fields: dict[str, str | int | float] = {
            "queue": queue,
            "reason": reason,
            "after_ms": round((now - confined.confined_at) * 1000),
            "losses": confined.losses,
            "targets": confined.bulkhead.eligible_count,
        }
        return note("queue_released", **fields)

    def _advance(
        self,
        now: float,
        queue: str,
        confined: _Confinement,
        targets: list[TargetRecord],
        usable: list[TargetRecord],
    ) -> list[Log]:
        bulkhead = confined.bulkhead
        passed = now - confined.checked_at
        confined.checked_at = now
        if any(target.name in bulkhead.members for target in usable):
            confined.quiet_seconds += passed
        if confined.quiet_seconds >= QUIET_SECONDS:
            confined.width *= 2
            confined.quiet_seconds = 0.0
        bulkhead.choose(now, targets, confined.width)
        if not bulkhead.is_too_wide():
            return []
        return [self._release(now, queue, "quiet")]


def _can_run(job: JobRecord, target: TargetRecord) -> bool:
    label = job.request.label
    return target.could_run(job.request.need) and (not label or target.has_label(label))


def _has_room(job: JobRecord, target: TargetRecord) -> bool:
    return job.request.need.fits(target.free) and _can_run(job, target)


def _confined_log(queue: str, bulkhead: Bulkhead, evidence: Evidence) -> Log:
    """Return the log line for a confined queue, with its evidence and targets."""
    return note(
        "queue_confined",
        queue=queue,
        targets=",".join(sorted(bulkhead.members)[:MAX_LISTED]),
        of=bulkhead.eligible_count,
        second_losses=evidence.repeat_losses,
        lives=evidence.silent_runners,
        chance=round(evidence.probability, 6),
        runners=_format_incarnations(evidence.losses),
    )


def _retracted_log(
    queue: str, returned: LossId, discounted: Iterable[LossId], left: Evidence | None
) -> Log:
    """Return the log line for evidence that no longer counts.

    `returned` is the runner that answers again, which may also put other losses in doubt.
    """
    return note(
        "queue_evidence_taken_back",
        queue=queue,
        answers=str(returned.incarnation),
        runners=_format_incarnations(discounted),
        second_losses_left=0 if left is None else left.repeat_losses,
    )


def _format_incarnations(losses: Iterable[LossId]) -> str:
    """Return the runner incarnations of some losses as a comma-separated list."""
    return ",".join(sorted({str(loss.incarnation) for loss in losses})[:MAX_LISTED])
