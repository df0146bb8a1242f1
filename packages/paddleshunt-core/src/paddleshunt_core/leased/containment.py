"""Confines a queue whose tasks seem to take runners down to a few targets, and lets it out again.

What shows it are losses that targets tell and entries share, so all entries see the same evidence
and choose the same targets; nothing else is said and nothing is stored. A confined queue's jobs
start on its few targets or are refused; the others use these only if there is no room elsewhere.
After a while without a loss the queue gets twice as many targets, and so on until it is free. If
too little is left of the evidence, as a runner answers again, it is free at once.
"""

from collections.abc import Callable, Iterable
from dataclasses import dataclass, field
from typing import final

from paddleshunt_core.events import Log, note
from paddleshunt_core.leased.bulkhead import Bulkhead, rank
from paddleshunt_core.leased.catalog import Queue
from paddleshunt_core.leased.jobs import JobRecord
from paddleshunt_core.leased.room import RoomNow
from paddleshunt_core.leased.suspicion import Evidence, Suspicions
from paddleshunt_core.leased.targets import TargetRecord
from paddleshunt_core.leased.wire import LossId, LossUpdate, RunnerReturned

QUIET_SECONDS = 1.5
"""Seconds without a loss, with a target that takes work, after which a queue gets more targets.

Where one task a second takes a runner down, three such times in four show one.
"""

LONGEST_RETRY_SECONDS = 10.0
"""Longest time after which a refused caller is told to come back; seldom is it confined longer."""

CLEARLY = 10.0
"""How many times less likely by chance the losses under one queue are that explain another's.

Of two guilty queues neither is so; of a queue whose tasks were beside a guilty one's it is.
"""

MOST_APART = 16
"""Queues with tasks on lost runners up to which these are run apart from one another.

With more of them a hall or a rack was lost, which is no task's doing.
"""

MOST_NAMED = 16
"""Targets that one line names."""


Targets = Callable[[], Iterable[TargetRecord]]
"""Returns the targets in halls that are not evacuated; asked only when there is evidence."""


@final
@dataclass(slots=True)
class _Confinement:
    """One confined queue. Times are steady seconds."""

    bulkhead: Bulkhead
    evidence: Evidence
    since: float
    """From when on losses were evidence against it."""
    began: float
    width: int = 1
    """How many times its usual share of targets it has."""
    quiet: float = 0.0
    """Seconds without a loss at this width."""
    checked: float = 0.0
    losses: int = 0
    """Further losses while it was confined."""
    cleared: dict[str, float] = field(default_factory=dict)
    """Queues released as it was confined, which explained them: their `since` before."""

    def lost(self, now: float) -> None:
        """Note a further loss: it has the fewest targets again, and its quiet time begins anew."""
        self.losses += 1
        self.width = 1
        self.quiet = 0.0
        self.checked = now

    def steps(self) -> int:
        """Return how often it has yet to get more targets until it is free."""
        steps, members = 0, max(1, len(self.bulkhead.members))
        while 2 * members < self.bulkhead.known:
            members *= 2
            steps += 1
        return max(1, steps)

    def free_after(self) -> float:
        """Return the seconds after which it is free if nothing more is lost."""
        return self.steps() * QUIET_SECONDS - self.quiet


@final
class Containment:
    """The confined queues as one entry sees them."""

    def __init__(self, again: float) -> None:
        """`again`: seconds from a loss of a runner until what was lost can be at work again."""
        self._suspicions = Suspicions(again)
        self._services: dict[str, str] = {}
        """Service of each queue that had a job here."""
        self._confined: dict[str, _Confinement] = {}
        self._judged: dict[str, float] = {}
        """When a queue was released last: what was lost before is no evidence any more."""

    def __len__(self) -> int:
        return len(self._confined)

    @property
    def is_waiting(self) -> bool:
        """Whether the passing of time may change something."""
        return bool(self._confined) or self._suspicions.ripens

    def describe(self) -> dict[str, object]:
        """Return a summary of the confined queues for a dump."""
        return {
            queue: {
                "targets": sorted(confined.bulkhead.members),
                "of": confined.bulkhead.known,
                "width": confined.width,
                "losses": confined.losses,
                "free_after_s": round(confined.free_after(), 2),
            }
            for queue, confined in self._confined.items()
        }

    # What is learned.

    def serves(self, now: float, queue: Queue, targets: Targets) -> list[Log]:
        """Note which service runs a queue's tasks; what was lost before may say something then."""
        known = self._services.get(queue.name)
        self._services[queue.name] = queue.service
        if known == queue.service:
            return []
        return self._confine(now, targets, self._suspicions.lost_again())

    def learn(self, now: float, news: LossUpdate, targets: Targets) -> tuple[bool, list[Log]]:
        """Follow a word on a runner; return whether it was news, and what it leads to."""
        if not self._suspicions.learn(now, news):
            return False, []
        logs = self._judge(now, targets)
        if isinstance(news, RunnerReturned):
            logs += self._take_back(now, news.loss, targets)
        return True, logs

    def follow(self, now: float, targets: Iterable[TargetRecord], room: RoomNow) -> list[Log]:
        """Act on the passing of time; `targets` are those in halls that are not evacuated."""
        known = list(targets)
        logs = self._judge(now, lambda: known)
        for queue, confined in list(self._confined.items()):
            usable = room.usable(confined.bulkhead.service)
            logs += self._follow(now, queue, confined, known, usable)
        return logs

    # What follows from it.

    def is_confined(self, queue: Queue) -> bool:
        """Whether a queue is confined."""
        return queue.name in self._confined

    def targets(self, job: JobRecord, usable: list[TargetRecord]) -> list[TargetRecord]:
        """Return those of the usable targets that a job may have tasks on.

        A queue that is not confined uses the others' bulkheads if there is no room elsewhere. Its
        tasks that met a lost runner go where they meet no other queue's: so one that takes a second
        runner down is told from those that were beside it.
        """
        confined = self._confined.get(job.queue.name)
        if confined is not None:
            return [target for target in usable if target.name in confined.bulkhead.members]
        if self._has_met(job):
            return self._apart(job, usable) or usable
        if not self._confined:
            return usable
        walled = frozenset[str]().union(*(c.bulkhead.members for c in self._confined.values()))
        rest = [target for target in usable if target.name not in walled]
        return rest if any(_has_room(job, target) for target in rest) else usable

    def may_go_elsewhere(self, job: JobRecord) -> bool:
        """Whether what has no place on its `targets` may go to any usable one."""
        return not self.is_confined(job.queue) and not self._has_met(job)

    def rivals(self, job: JobRecord, held: Iterable[JobRecord]) -> Iterable[JobRecord]:
        """Return those of the held jobs that wait for the same targets."""
        if not self._confined:
            return held
        if job.queue.name in self._confined:
            return [other for other in held if other.queue.name == job.queue.name]
        return [other for other in held if other.queue.name not in self._confined]

    def holds(self, job: JobRecord) -> bool:
        """Whether a job is to wait: its queue has the fewest targets, and it met a lost runner.

        The one that took the runner down is among these, and would cost another.
        """
        confined = self._confined.get(job.queue.name)
        if confined is None or confined.width > 1:
            return False
        return self._has_met(job)

    def refuses(self, job: JobRecord, room: RoomNow) -> float | None:
        """Return after how many seconds a job is to be asked for again that has no target now."""
        confined = self._confined.get(job.queue.name)
        if confined is None:
            return None
        if any(_can_run(job, t) for t in self.targets(job, room.usable(job.queue.service))):
            return None
        return min(LONGEST_RETRY_SECONDS, confined.free_after())

    # Inside.

    def _apart(self, job: JobRecord, usable: list[TargetRecord]) -> list[TargetRecord]:
        """Return the targets with room that are the job's queue's among those with suspects."""
        service = job.queue.service
        queues = [q for q in self._suspicions.at_work() if self._services.get(q) == service]
        if len(queues) > MOST_APART:
            return []
        return [
            target
            for target in usable
            if _has_room(job, target)
            and min(queues, key=lambda q: rank(q, target.name), default="") == job.queue.name
        ]

    def _judge(self, now: float, targets: Targets) -> list[Log]:
        """Act on the losses that have become evidence."""
        new = self._suspicions.ripe(now)
        if not new:
            return []
        for queue in set[str]().union(*map(self._suspicions.queues, new)):
            if queue in self._confined:
                self._confined[queue].lost(now)
        return self._confine(now, targets, self._suspicions.lost_again(new))

    def _take_back(self, now: float, returned: LossId, targets: Targets) -> list[Log]:
        """Release the queues against which too little is left, as a runner answers again."""
        logs: list[Log] = []
        again: set[str] = set()
        for queue, confined in list(self._confined.items()):
            doubtful = self._suspicions.doubtful(now, confined.evidence.losses)
            if not doubtful:
                continue
            known = confined.bulkhead.known
            left = self._suspicions.evidence(now, queue, confined.since, known, ())
            logs.append(_taken_back_note(queue, returned, doubtful, left))
            if left is not None:
                confined.evidence = left
                continue
            logs.append(self._release(now, queue, "taken_back"))
            # What is left may tell more with the next loss, also of those it seemed to explain.
            self._judged[queue] = confined.since
            for other, since in confined.cleared.items():
                if self._judged[other] == confined.began:
                    self._judged[other] = since
                    again.add(other)
        return logs + self._confine(now, targets, again)

    def _confine(self, now: float, targets: Targets, queues: set[str]) -> list[Log]:
        """Confine those of some queues that have enough against them."""
        known = list(targets()) if queues else []
        logs: list[Log] = []
        while (worst := self._worst(now, known, queues)) is not None:
            queue, bulkhead, evidence = worst
            since = self._judged.get(queue, float("-inf"))
            self._confined[queue] = _Confinement(bulkhead, evidence, since, now, checked=now)
            logs += [_confined_note(queue, bulkhead, evidence), *self._clear(now, queue)]
        return logs

    def _has_met(self, job: JobRecord) -> bool:
        """Whether a waiting task of a job was at work on a runner that fell silent."""
        return bool(self._suspicions) and any(
            self._suspicions.met(task.id) for task in job.waiting()
        )

    def _worst(
        self, now: float, targets: list[TargetRecord], queues: set[str]
    ) -> tuple[str, Bulkhead, Evidence] | None:
        """Return the queue with the most against it, if one is to be confined."""
        found: list[tuple[str, Bulkhead, Evidence]] = []
        for queue in queues & self._services.keys() - self._confined.keys():
            bulkhead = Bulkhead(queue, self._services[queue])
            bulkhead.choose(now, targets, 1)
            evidence = self._evidence(now, queue, bulkhead.known)
            if evidence is not None and not bulkhead.leaves_little():
                found.append((queue, bulkhead, evidence))
        return min(found, key=lambda each: (each[2].chance, each[0]), default=None)

    def _evidence(self, now: float, queue: str, targets: int) -> Evidence | None:
        """Return why a queue is to be confined, beside those with more against them."""
        since = self._judged.get(queue, float("-inf"))
        evidence = self._suspicions.evidence(now, queue, since, targets, ())
        if evidence is None:
            return None
        worse = [
            q for q, c in self._confined.items() if CLEARLY * c.evidence.chance <= evidence.chance
        ]
        return self._suspicions.evidence(now, queue, since, targets, worse)

    def _clear(self, now: float, queue: str) -> list[Log]:
        """Release queues of which nothing is left but what one that was just confined explains."""
        logs: list[Log] = []
        worst = self._confined[queue].evidence.chance
        for other, confined in list(self._confined.items()):
            if other == queue or confined.evidence.chance < CLEARLY * worst:
                continue
            known = confined.bulkhead.known
            if not self._suspicions.evidence(now, other, confined.since, known, (queue,)):
                self._confined[queue].cleared[other] = confined.since
                logs.append(self._release(now, other, f"explained_by_{queue}"))
        return logs

    def _release(self, now: float, queue: str, reason: str) -> Log:
        confined = self._confined.pop(queue)
        self._judged[queue] = now
        fields: dict[str, str | int | float] = {
            "queue": queue,
            "reason": reason,
            "after_ms": round((now - confined.began) * 1000),
            "losses": confined.losses,
            "targets": confined.bulkhead.known,
        }
        return note("queue_released", **fields)

    def _follow(
        self,
        now: float,
        queue: str,
        confined: _Confinement,
        targets: list[TargetRecord],
        usable: list[TargetRecord],
    ) -> list[Log]:
        bulkhead = confined.bulkhead
        passed = now - confined.checked
        confined.checked = now
        if any(target.name in bulkhead.members for target in usable):
            confined.quiet += passed
        if confined.quiet >= QUIET_SECONDS:
            confined.width *= 2
            confined.quiet = 0.0
        bulkhead.choose(now, targets, confined.width)
        if not bulkhead.leaves_little():
            return []
        return [self._release(now, queue, "quiet")]


def _can_run(job: JobRecord, target: TargetRecord) -> bool:
    label = job.request.label
    return target.could_run(job.request.need) and (not label or target.has_label(label))


def _has_room(job: JobRecord, target: TargetRecord) -> bool:
    return job.request.need.fits(target.free) and _can_run(job, target)


def _confined_note(queue: str, bulkhead: Bulkhead, evidence: Evidence) -> Log:
    """Return the line that says why a queue is confined, and to what."""
    return note(
        "queue_confined",
        queue=queue,
        targets=",".join(sorted(bulkhead.members)[:MOST_NAMED]),
        of=bulkhead.known,
        second_losses=evidence.second_losses,
        lives=evidence.lives,
        chance=round(evidence.chance, 6),
        runners=_named(evidence.losses),
    )


def _taken_back_note(
    queue: str, returned: LossId, doubtful: Iterable[LossId], left: Evidence | None
) -> Log:
    """Return the line that says which evidence against a queue no longer counts, and what is left.

    `returned`: the runner that answers again, by which others' silence may tell less as well.
    """
    return note(
        "queue_evidence_taken_back",
        queue=queue,
        answers=str(returned.incarnation),
        runners=_named(doubtful),
        second_losses_left=0 if left is None else left.second_losses,
    )


def _named(losses: Iterable[LossId]) -> str:
    """Return the lives of some losses, as one line names them."""
    return ",".join(sorted({str(loss.incarnation) for loss in losses})[:MOST_NAMED])
