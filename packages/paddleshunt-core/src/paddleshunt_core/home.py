"""The home: accepts submissions whose id names it, places their tasks and answers their entries.

A home keeps a record of each id until its window has passed, so that no submission runs twice. It
sends a task to a second target only after the first one has reported that it did not start it and
never will.
"""

from collections.abc import Iterable
from typing import final

from paddleshunt_core.effects import Effect, Send
from paddleshunt_core.events import Log
from paddleshunt_core.forecast import Forecast
from paddleshunt_core.homelimits import HomeLimits
from paddleshunt_core.ids import Incarnation
from paddleshunt_core.idwindow import IdWindow
from paddleshunt_core.inquiries import Inquiries, stuck_tasks
from paddleshunt_core.job import Job
from paddleshunt_core.links import FULL_SECONDS, Link, Outstanding, TaskKey
from paddleshunt_core.messages import (
    Absent,
    Answer,
    Assign,
    Body,
    PeerInfo,
    Query,
    Report,
    Running,
    Submit,
    Task,
    TaskBatch,
    TaskResult,
)
from paddleshunt_core.outcomes import (
    Complete,
    NotAccepted,
    NotRun,
    Outcome,
    outcome_tag,
)
from paddleshunt_core.placement import Placement, Plan
from paddleshunt_core.records import Records, conflict_answer
from paddleshunt_core.waste import Waste

STOP_MARGIN = 0.25
"""Seconds before its deadline at which a job stops assigning tasks and revokes queued ones."""

REPORT_FRESH_SECONDS = 0.2
"""Seconds for which a gate's report of its load takes precedence over an entry's."""


@final
class Home:
    """State of one home. Call `flush` after each batch of inputs to place tasks."""

    def __init__(
        self,
        me: Incarnation,
        limits: HomeLimits,
        placement: Placement,
        waste: Waste | None = None,
    ) -> None:
        self._waste = waste or Waste()
        self._inquiries = Inquiries(self._waste)
        self._limits = limits
        self._ids = IdWindow(me, limits.window, limits.skew)
        self._placement = placement
        self._jobs: dict[str, Job] = {}
        self._records = Records(limits.answer_bytes)
        self._links: dict[Incarnation, Link] = {}
        self._closed_sites: set[str] = set()
        self._forecast = Forecast(self._jobs, self._links, placement, limits.initial_task_seconds)
        self.leaving = False

    @property
    def jobs(self) -> int:
        """Submissions without an outcome."""
        return len(self._jobs)

    def describe(self) -> dict[str, object]:
        """Return a summary of the state for a dump."""
        return {
            "jobs": len(self._jobs),
            "waiting_tasks": self._forecast.waiting_tasks(),
            "closed_ids": len(self._records),
            "kept_answer_bytes": self._records.kept_bytes,
            "task_seconds": round(self._forecast.task_seconds, 4),
            "leaving": self.leaving,
            "links": {str(link.incarnation): link.describe() for link in self._links.values()},
        }

    def submit(self, now: float, entry: Incarnation, address: str, message: Submit) -> list[Effect]:
        """Accept a submission, join a running one with the same id, or answer from the record."""
        name = message.submission
        job = self._jobs.get(name)
        if job is not None:
            return [Send(entry, address, self._attach(job, entry, address, message))]
        answer = self._records.find(name, message.digest)
        if answer is not None:
            return [Send(entry, address, answer)]
        refusal = self._ids.rejection(now, name)
        if refusal is not None:
            return [Send(entry, address, Answer(name, message.digest, refusal, message.repeatable))]
        return self._accept(now, entry, address, message)

    def query(self, now: float, entry: Incarnation, address: str, message: Query) -> list[Effect]:
        """Answer with a submission's state; the outcome of a running one follows once settled."""
        name = message.submission
        job = self._jobs.get(name)
        if job is not None:
            job.waiters[entry] = address
            return [Send(entry, address, Running(name, message.digest))]
        answer = self._records.find(name, message.digest)
        if answer is not None:
            return [Send(entry, address, answer)]
        refusal = self._ids.rejection(now, name)
        body: Body = (
            Absent(name, message.digest)
            if refusal is None
            else Answer(name, message.digest, refusal)
        )
        return [Send(entry, address, body)]

    def update_peers(self, now: float, peers: Iterable[PeerInfo], closed_sites: set[str]) -> None:
        """Update the service's targets and closed sites from an entry's view."""
        self._closed_sites = closed_sites
        listed: set[Incarnation] = set()
        for peer in peers:
            listed.add(peer.incarnation)
            link = self._link(now, peer)
            link.suspect = peer.suspect
            link.leaving = peer.leaving or link.leaving
            if now - link.load_at > REPORT_FRESH_SECONDS or peer.load.slots != link.load.slots:
                link.update_load(now, peer.load, peer.clock_ms)
                self._placement.record_load(link)
        for incarnation, link in list(self._links.items()):
            if incarnation not in listed and not link.outstanding:
                del self._links[incarnation]
            elif incarnation not in listed:
                link.suspect = True

    def target_ended(self, now: float, incarnation: Incarnation) -> list[Effect]:
        """Mark the tasks at a target that has ended as lost."""
        link = self._links.pop(incarnation, None)
        if link is None:
            return []
        effects: list[Effect] = []
        for submission, index in link.outstanding:
            job = self._jobs.get(submission)
            if job is not None:
                job.mark_lost(index, f"its target {incarnation.host} has ended")
                effects += self._settle(now, job)
        return effects

    def report(self, now: float, gate: Incarnation, message: Report) -> list[Effect]:
        """Process a gate's report on this home's tasks."""
        link = self._links.get(gate)
        if link is None or not link.accept_report(message):
            self._waste.repeated += 1
            return []
        touched: dict[str, Job] = {}
        for result in message.results:
            self._record_result(now, link, result, touched)
        for refs in message.refused:
            for index in refs.indexes:
                self._requeue(link, (refs.submission, index), message.seen_seq, touched)
        for refs in message.running:
            for index in refs.indexes:
                self._record_started(link, (refs.submission, index), touched)
        link.update_load_from(now, message, self._placement.pipeline)
        self._placement.record_load(link)
        if message.refused and not message.answers:
            link.full_until = now + FULL_SECONDS
        effects: list[Effect] = []
        for job in touched.values():
            effects += self._settle(now, job)
        if link.gap and not link.inquiry:
            effects.append(self._inquiries.inquire(now, link, list(link.outstanding), revoke=False))
        return effects

    def undelivered(self, now: float, gate: Incarnation, message: Body) -> list[Effect]:
        """Requeue the tasks of a message that was certainly never sent."""
        link = self._links.get(gate)
        if link is None or not isinstance(message, Assign):
            return []
        touched: dict[str, Job] = {}
        for batch in message.batches:
            for task in batch.tasks:
                self._requeue(link, (batch.submission, task.index), message.seq, touched)
        link.full_until = now + FULL_SECONDS
        effects: list[Effect] = []
        for job in touched.values():
            effects += self._settle(now, job)
        return effects

    def tick(self, now: float) -> list[Effect]:
        """Enforce deadlines, inquire about slow tasks and remove records of expired ids."""
        effects = self._shed(now)
        for job in list(self._jobs.values()):
            if now >= job.deadline - STOP_MARGIN and not job.stopping:
                effects += self._stop(now, job, "deadline")
            if now >= job.deadline:
                effects += self._settle(now, job, at_deadline=True)
        effects += self._revoke_queued(now)
        effects += self._inquiries.inquire_slow(now, self._links.values())
        self._records.forget(now)
        return effects

    def flush(self, now: float) -> list[Effect]:
        """Place waiting tasks, and return one message for each target that is assigned some."""
        if not any(job.waiting for job in self._jobs.values()):
            return []
        number = self._inquiries.next_number()
        plan = self._placement.plan(self._links.values(), now, self._closed_sites)
        for job in self._jobs.values():
            if not self._place(now, plan, job, number):
                break
        effects: list[Effect] = []
        for link in self._links.values():
            if link.batches:
                batches = list(link.batches.values())
                link.batches = {}
                body = Assign(number, link.stamp_ms(now), link.acked, batches)
                effects.append(Send(link.incarnation, link.address, body))
        return effects

    def _attach(self, job: Job, entry: Incarnation, address: str, message: Submit) -> Body:
        if job.digest != message.digest:
            return conflict_answer(job.submission, message.digest)
        job.waiters[entry] = address
        return Running(job.submission, job.digest)

    def _accept(
        self, now: float, entry: Incarnation, address: str, message: Submit
    ) -> list[Effect]:
        if len(self._jobs) + len(self._records) >= self._limits.max_records:
            outcome = NotAccepted("the home holds too many ids", 1000)
            answer = Answer(message.submission, message.digest, outcome, message.repeatable)
            return [Send(entry, address, answer)]
        job = Job(
            submission=message.submission,
            service=message.service,
            digest=message.digest,
            repeatable=message.repeatable,
            deadline=now + message.deadline_ms / 1000,
            payloads=message.tasks,
            waiters={entry: address},
        )
        refusal = self._overload_refusal(now, len(message.tasks), job.deadline)
        self._jobs[job.submission] = job
        if refusal is not None:
            return self._close(now, job, refusal)
        return [Log("accepted", job.submission, {"tasks": len(job.payloads), "entry": entry.host})]

    def _overload_refusal(self, now: float, tasks: int, deadline: float) -> NotRun | None:
        """Return a refusal if the tasks aren't expected to end before the deadline."""
        if self.leaving:
            return NotRun("the home is leaving", 0)
        waiting = self._forecast.waiting_tasks()
        if waiting + tasks > self._limits.max_waiting_tasks:
            return NotRun("too many tasks wait", int(self._forecast.wait(now, waiting) * 1000))
        wait = self._forecast.wait(now, waiting + tasks)
        if now + wait > deadline - STOP_MARGIN:
            return NotRun("overloaded", int(wait * 500))
        return None

    def _shed(self, now: float) -> list[Effect]:
        """Stop the jobs that aren't expected to end in time and have no task assigned yet.

        Jobs are checked in the order in which their tasks are placed, as each one that is stopped
        shortens the wait of those behind it.
        """
        effects: list[Effect] = []
        ahead = 0
        for job in list(self._jobs.values()):
            unassigned = len(job.waiting) == len(job.payloads)
            end = now + self._forecast.wait(now, ahead + len(job.waiting))
            if unassigned and end > job.deadline - STOP_MARGIN:
                effects += self._stop(now, job, "overloaded")
            ahead += len(job.waiting)
        return effects

    def _link(self, now: float, peer: PeerInfo) -> Link:
        link = self._links.get(peer.incarnation)
        if link is None:
            ahead = peer.clock_ms / 1000 - now
            link = Link(peer.incarnation, peer.address, peer.site, peer.load, now, ahead)
            self._links[peer.incarnation] = link
        return link

    def _record_result(
        self, now: float, link: Link, result: TaskResult, touched: dict[str, Job]
    ) -> None:
        out = link.outstanding.pop((result.submission, result.index), None)
        job = self._jobs.get(result.submission)
        if out is None or job is None:
            self._waste.discarded += 1
            return
        touched[job.submission] = job
        if result.ok is None:
            job.mark_lost(result.index, "how it ended is not known any more")
            return
        self._forecast.record_duration(now - out.sent)
        job.finish(result.index, ok=result.ok, payload=result.payload)

    def _requeue(self, link: Link, key: TaskKey, seen_seq: int, touched: dict[str, Job]) -> None:
        """Requeue a refused task, unless it was sent again in a message the gate hasn't seen."""
        out = link.outstanding.get(key)
        if out is None or out.seq > seen_seq:
            return
        del link.outstanding[key]
        job = self._jobs.get(key[0])
        if job is not None:
            job.put_back(key[1])
            touched[job.submission] = job

    def _record_started(self, link: Link, key: TaskKey, touched: dict[str, Job]) -> None:
        out = link.outstanding.get(key)
        job = self._jobs.get(key[0])
        if out is not None and job is not None:
            out.started = True
            job.confirm_started(key[1])
            touched[job.submission] = job

    def _place(self, now: float, plan: Plan, job: Job, number: int) -> bool:
        """Assign the job's waiting tasks; return False when no target can take more.

        `number` is the sequence number of the messages that will carry them.
        """
        while job.waiting:
            link = plan.next_target()
            if link is None:
                return False
            index = job.assign_next()
            batch = link.batches.get(job.submission)
            if batch is None:
                expires_ms = max(0, int((job.deadline - now) * 1000))
                batch = TaskBatch(job.submission, job.service, expires_ms, [])
                link.batches[job.submission] = batch
            batch.tasks.append(Task(index, job.payloads[index]))
            link.outstanding[(job.submission, index)] = Outstanding(number, now, now)
        return True

    def _stop(self, now: float, job: Job, reason: str) -> list[Effect]:
        """Stop assigning the job's tasks, and revoke those that may not have started."""
        job.stop(reason)
        effects = self._settle(now, job)
        if job.submission in self._jobs:
            effects += self._inquiries.revoke_job(now, job.submission, self._links.values())
        return effects

    def _revoke_queued(self, now: float) -> list[Effect]:
        """Revoke tasks that are queued at one target while another one has free slots."""
        stuck = [link for link in self._links.values() if stuck_tasks(now, link)]
        if not stuck:
            return []
        plan = self._placement.plan(self._links.values(), now, self._closed_sites)
        return self._inquiries.revoke_queued(now, stuck) if plan.free_slots else []

    def _settle(self, now: float, job: Job, *, at_deadline: bool = False) -> list[Effect]:
        """Answer the job's entries if its outcome is settled."""
        if job.submission not in self._jobs:
            return []
        # Only outcomes of stopped jobs carry a retry delay, so it isn't estimated for others.
        retry_after = (
            self._forecast.wait(now, self._forecast.waiting_tasks()) if job.stopping else 0.0
        )
        outcome = job.settled_outcome(
            at_deadline=at_deadline, retry_after_ms=int(retry_after * 1000)
        )
        if outcome is None:
            return []
        effects: list[Effect] = []
        if not isinstance(outcome, Complete):
            effects += self._inquiries.revoke_job(now, job.submission, self._links.values())
        self._drop_outstanding(job)
        return effects + self._close(now, job, outcome)

    def _drop_outstanding(self, job: Job) -> None:
        for link in self._links.values():
            for key in [key for key in link.outstanding if key[0] == job.submission]:
                del link.outstanding[key]

    def _close(self, now: float, job: Job, outcome: Outcome) -> list[Effect]:
        """Record the outcome and send it to all entries that wait for it."""
        del self._jobs[job.submission]
        answer = Answer(job.submission, job.digest, outcome, job.repeatable)
        self._records.close(answer, self._ids.forget_at(now, job.submission))
        tag = outcome_tag(outcome)
        results = len(outcome.results) if isinstance(outcome, Complete) else 0
        effects: list[Effect] = [
            Send(entry, address, answer) for entry, address in job.waiters.items()
        ]
        return [*effects, Log("answered", job.submission, {"outcome": tag, "results": results})]
