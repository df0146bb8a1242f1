"""The state machine of an entry, which owns each job it admits until the caller is answered.

It refuses jobs that can't end in time, places tasks on targets according to their reports, places
them again once their runs can't be running any more, and answers when all tasks have ended. It does
no I/O: it is given requests, disconnects, frames and ticks, returns effects, and queues outgoing
messages in its sessions.
"""

from random import Random
from typing import final

from paddleshunt_core.events import Log, note
from paddleshunt_core.leased.admission import (
    NO_TARGET_WAIT,
    RETRY_SECONDS,
    capacity_log,
    expected_wait,
    has_capacity,
    refusal,
)
from paddleshunt_core.leased.assigner import Assigner
from paddleshunt_core.leased.bounds import COLD_OVERRUN, HALL_PREFERENCE, LeaseTimes
from paddleshunt_core.leased.cancellations import CancelledJobs
from paddleshunt_core.leased.catalog import Queue
from paddleshunt_core.leased.containment import Containment
from paddleshunt_core.leased.evacuation import EvacuatedHalls, Evacuations, evacuation_log
from paddleshunt_core.leased.jobs import (
    STALE_STEP,
    JobRecord,
    JobRequest,
    JobState,
    TaskPhase,
    TaskRecord,
    new_job,
)
from paddleshunt_core.leased.jobtable import JobTable
from paddleshunt_core.leased.livenesschecks import LivenessChecks
from paddleshunt_core.leased.outcomes import (
    AnswerJob,
    BroadcastLoss,
    Cancelled,
    Completed,
    Failed,
    GivenUp,
    JobOutcome,
    Refused,
)
from paddleshunt_core.leased.pausedetector import RESUME_GRACE_SECONDS, PauseDetector
from paddleshunt_core.leased.placement import Placement
from paddleshunt_core.leased.resourcerequests import ResourceRequests
from paddleshunt_core.leased.retries import Retries
from paddleshunt_core.leased.runtimeestimator import RuntimeEstimator
from paddleshunt_core.leased.session import Session, lower_quartile_echo_age
from paddleshunt_core.leased.speeds import Speeds, kind_speed_log
from paddleshunt_core.leased.targets import TargetRecord
from paddleshunt_core.leased.targetsnapshot import TargetSnapshot
from paddleshunt_core.leased.wire import (
    Body,
    CancelledJob,
    End,
    Ended,
    EvacuationUpdate,
    Frame,
    Health,
    Hello,
    LossUpdate,
    RunId,
    RunnerLost,
    RunnerReport,
    RunnerReturned,
    RunnerSilent,
    RunnerState,
    SpeedUpdate,
    Stop,
)

BACKOFF_SECONDS = 0.05
"""Seconds for which a target that could not start a task is sent no other."""

SETTLE_SECONDS = 0.5
"""Seconds after the first session during which too few targets are known to judge free capacity."""

LEAVING_LENGTH_FACTOR = 2.0
"""Time that a leaving entry allows a job, as a multiple of its expected length.

It covers errors of the prediction and one repeated run.

Predicted lengths are off by a fifth at the median.
"""

FORGET_SECONDS = 60.0
"""Seconds without a message after which the record of a target is deleted."""


NEVER_STARTED = (End.NOT_STARTED, End.NO_ROOM, End.STALE)
"""Ends of runs that never started."""


Effect = AnswerJob | BroadcastLoss | Log


@final
class Dispatcher:
    """The jobs and targets of one entry."""

    def __init__(
        self,
        times: LeaseTimes,
        hall: str,
        rng: Random,
        remote_factor: float = 1.0,
        caller_delay: float = 0.0,
        cold_overrun: float = COLD_OVERRUN,
        hall_preference: float = HALL_PREFERENCE,
    ) -> None:
        self._times = times
        self._caller_delay = caller_delay
        self._retries = Retries()
        self._speeds = Speeds()
        self._placement = Placement(
            hall, rng, remote_factor, self._speeds, hall_preference, cold_overrun
        )
        self._containment = Containment(times.hold)
        self._assigner = Assigner(self._placement, self._containment, self._speeds)
        self._jobs = JobTable()
        self._cancelled = CancelledJobs()
        self._targets: dict[str, TargetRecord] = {}
        self._estimator = RuntimeEstimator(self._placement, self._speeds)
        self._resource_requests = ResourceRequests()
        self._liveness = LivenessChecks(times, self._jobs)
        self._evacuations = Evacuations()
        self._placement_due = False
        """Whether a message arrived since the last placement that may allow a task to be placed."""
        self._last_session = 0
        """Number of the session opened last."""
        self._first_session_at: float | None = None
        """When the first session with a target was opened."""
        self._pauses = PauseDetector(times.session)
        self._exit_at: float | None = None
        """When this process exits, if it is leaving."""
        self.new_job_refusal: Refused | None = None
        """The outcome of new jobs while this host's link is overloaded; None to admit them."""

    @property
    def job_count(self) -> int:
        """Number of admitted jobs that are not answered yet."""
        return len(self._jobs)

    @property
    def has_new_jobs(self) -> bool:
        """Whether a job waits for `place_new_jobs`."""
        return any(not job.caller_confirmed for job in self._jobs.all())

    @property
    def confined_queue_count(self) -> int:
        """Number of queues confined to a few targets because their tasks crash runners."""
        return len(self._containment)

    def targets(self) -> list[TargetRecord]:
        """Return all known targets."""
        return list(self._targets.values())

    def echo_age(self, now: float) -> float | None:
        """Return the lower quartile of the ages of the targets' newest echoes, in seconds.

        Only sessions with placed runs count, as only these are renewed continuously. None if there
        are none.
        """
        busy = (t.session for t in self._targets.values() if t.connected and t.placed)
        return lower_quartile_echo_age(now, (session for session in busy if session is not None))

    def describe(self, now: float) -> dict[str, object]:
        """Return a summary of the state for the state dump."""
        return {
            "jobs": len(self._jobs),
            "cancelled_jobs": len(self._cancelled),
            "waiting_tasks": sum(len(job.waiting()) for job in self._jobs.all()),
            "evacuated_halls": self._evacuations.known.halls,
            "evacuations_revision": self._evacuations.known.revision,
            "kinds": self._speeds.snapshot(),
            "confined_queues": self._containment.describe(),
            "targets": {t.name: t.describe(now) for t in self._targets.values()},
        }

    def submit(self, now: float, caller: int, request: JobRequest, queue: Queue) -> list[Effect]:
        """Admit a job, or refuse it."""
        effects = self._handle_pause(now)
        if request.key in self._cancelled:
            cancelled = Cancelled("cancelled_before")
            return [*effects, AnswerJob(caller, request.key, cancelled, 0.0)]
        if self._pauses.recently_resumed(now):
            stood_still = Refused("stood_still", RESUME_GRACE_SECONDS)
            return [*effects, self._refuse(caller, request, stood_still)]
        existing = self._jobs.by_key(request.key)
        if existing is not None:
            return [*effects, self._hand_over(now, caller, existing)]
        if self.new_job_refusal is not None:
            return [*effects, self._refuse(caller, request, self.new_job_refusal)]
        expected = self._estimator.predict(queue, request)
        job = new_job(caller, request, queue, now, expected)
        job.earliest_placement = now + self._caller_delay
        job.caller_confirmed = self._caller_delay == 0
        given_up = self._retries.outcome_on_submit(now, job)
        if given_up is not None:
            log = self._retries.given_up_log(job, given_up)
            return [*effects, log, AnswerJob(caller, request.key, given_up, 0.0)]
        snapshot = self._snapshot(now)
        effects += self._containment.set_service(now, queue, self._open_targets)
        confined_delay = self._containment.refusal_delay(job, snapshot)
        if confined_delay is not None:
            refused_confined = Refused("confined", max(RETRY_SECONDS, confined_delay))
            return [*effects, self._refuse(caller, request, refused_confined)]
        fits_now = has_capacity(job, self._usable(job, snapshot))
        wait = 0.0 if fits_now else self._expected_wait(job, snapshot)
        if self._is_settling(now):
            wait = min(wait, NO_TARGET_WAIT)
        if (
            self._exit_at is not None
            and now + wait + LEAVING_LENGTH_FACTOR * job.length > self._exit_at
        ):
            leaving = Refused("leaving", 0.0, elsewhere=True)
            return [*effects, self._refuse(caller, request, leaving)]
        refused = refusal(now, job, wait, self._last_start(now, job), has_capacity=fits_now)
        if refused is not None:
            log = capacity_log(now, job, wait, snapshot)
            return [*effects, log, self._refuse(caller, request, refused)]
        self._jobs.add(job)
        fields: dict[str, str | int | float] = {
            "queue": queue.name,
            "tasks": request.count,
            "estimate_ms": round(request.estimate * 1000),
            "length_ms": round(expected.length * 1000),
            "age_ms": round(expected.age * 1000),
            "deadline_ms": round(request.deadline * 1000),
            "wait_ms": round(wait * 1000),
        }
        admitted = note("job_admitted", request.key, **fields)
        return [*effects, admitted, *self._place(now, snapshot)]

    def caller_left(self, now: float, caller: int) -> list[Effect]:
        """Stop the job of a caller that has disconnected."""
        effects = self._handle_pause(now)
        job = self._jobs.by_caller(caller)
        if job is None:
            return effects
        self._drop(job)
        age = round((now - job.arrived) * 1000)
        return [*effects, note("caller_left", job.request.key, after_ms=age), *self._place(now)]

    def cancel(self, now: float, cancelled: CancelledJob, source: str) -> tuple[bool, list[Effect]]:
        """Cancel a job, and start it no more if it is submitted again; return whether it was held.

        Its caller is answered, and the resources of its runs go to the jobs that wait for them.
        """
        effects = self._handle_pause(now)
        is_new = self._cancelled.add(now, cancelled)
        job = self._jobs.by_key(cancelled.key)
        held = job is not None
        if is_new or held:
            effects.append(note("job_cancelled", cancelled.key, held=int(held), source=source))
        if job is None:
            return False, effects
        answer = self._answer(now, job, Cancelled("cancelled"))
        return True, [*effects, answer, *self._place(now)]

    def known_cancellations(self, now: float) -> list[CancelledJob]:
        """Return the remembered cancelled jobs, to send to an entry that has just connected."""
        self._cancelled.expire(now)
        return self._cancelled.export(now)

    def job_state(self, key: str) -> JobState | None:
        """Return the state of a job that this entry holds or knows to be cancelled."""
        job = self._jobs.by_key(key)
        if job is None:
            return JobState.CANCELLED if key in self._cancelled else None
        return JobState.RUNNING if job.may_have_started else JobState.QUEUED

    def _is_settling(self, now: float) -> bool:
        return self._first_session_at is None or now < self._first_session_at + SETTLE_SECONDS

    def _hand_over(self, now: float, caller: int, job: JobRecord) -> AnswerJob:
        """Assign a resubmitted job to its new caller; the previous one has likely disconnected."""
        previous = self._jobs.hand_over(job, caller)
        outcome = GivenUp("came_again")
        return AnswerJob(previous, job.request.key, outcome, now - job.arrived)

    @property
    def evacuations(self) -> Evacuations:
        """The known evacuated halls."""
        return self._evacuations

    def handle_evacuations(
        self, now: float, evacuated: EvacuatedHalls, source: str
    ) -> list[Effect]:
        """Adopt a newer set of evacuated halls and send it to the targets; ignore an older one."""
        if not self._evacuations.learn(evacuated):
            return []
        for target in self._targets.values():
            if target.session is not None:
                target.session.send(EvacuationUpdate(self._evacuations.known))
        return [evacuation_log(self._evacuations, source), *self._place(now)]

    def known_losses(self, now: float) -> list[LossUpdate]:
        """Return the remembered losses of runners, to send to an entry that has just connected."""
        return self._retries.known_losses(now)

    def handle_loss_update(self, now: float, update: LossUpdate, source: str) -> list[Effect]:
        """Record an update on a lost runner, and give up jobs that have used up their retries.

        An update from a target is broadcast to the other entries; one from an entry is not, or it
        would circulate forever.
        """
        logs = self._retries.learn(now, update, source)
        is_new, containment_logs = self._containment.learn(now, update, self._open_targets)
        if not logs and not is_new:
            return []
        effects: list[Effect] = [*logs, *containment_logs]
        if source in self._targets:
            effects.append(BroadcastLoss(update))
        tasks = update.tasks if isinstance(update, RunnerLost) else []
        return [*effects, *self._give_up_exhausted(now, {task.job for task in tasks})]

    def _give_up_exhausted(self, now: float, keys: set[str]) -> list[Effect]:
        """Give up those of the jobs that have used up their retries."""
        effects: list[Effect] = []
        for key in keys:
            job = self._jobs.by_key(key)
            if job is not None:
                effects += self._give_up_if_exhausted(now, job)
        return effects

    def _give_up_if_exhausted(self, now: float, job: JobRecord) -> list[Effect]:
        """Give a job up if one of its tasks has used up its retries."""
        outcome = self._retries.outcome(now, job)
        if outcome is None:
            return []
        log = self._retries.given_up_log(job, outcome)
        return [log, self._answer(now, job, outcome)]

    @property
    def speeds(self) -> Speeds:
        """The known relative speeds of the kinds of hosts."""
        return self._speeds

    def handle_speed_update(self, now: float, update: SpeedUpdate, source: str) -> list[Effect]:
        """Adopt the speeds of kinds of hosts for which another entry has much more data."""
        adopted = self._speeds.merge(update)
        if adopted:
            self._speeds.refresh(now, self._targets.values())
        return [kind_speed_log(speed, source) for speed in adopted]

    def handle_hello(self, now: float, hello: Hello) -> tuple[Session | None, list[Effect]]:
        """Resume the session that a target's hello names, or open one if it names none.

        Return None as the session if the named one is over. A target names no session only if it
        has no state left of an earlier one.
        """
        target = self._targets.get(hello.name)
        if target is None:
            target = self._targets[hello.name] = TargetRecord(
                hello.name, hello.hall, hello.incarnation
            )
        target.connected = True
        target.record_contact(now)
        session = target.session
        if (
            session is not None
            and target.incarnation == hello.incarnation
            and session.number == hello.session
        ):
            session.resume(hello.received)
            return session, []
        if hello.session:
            target.connected = False
            return None, []
        return self._new_session(now, target, hello)

    def disconnected(self, now: float, name: str) -> None:
        """Record that a target's connection broke; its session may still be resumed."""
        target = self._targets.get(name)
        if target is not None:
            target.connected = False

    def session(self, name: str) -> Session | None:
        """Return the session with a target."""
        target = self._targets.get(name)
        return target.session if target else None

    def handle_frame(self, now: float, name: str, frame: Frame) -> list[Effect]:
        """Handle a frame received from a target."""
        effects = self._handle_pause(now)
        target = self._targets.get(name)
        if target is None or target.session is None or target.session.has_gap_before(frame):
            return effects
        bodies = target.session.accept(frame, round(now * 1000))
        target.record_contact(now)
        for body in bodies:
            effects += self._handle_body(now, target, frame, body)
        self._placement_due = self._placement_due or bool(bodies)
        return effects

    def needs_immediate_reply(self, now: float, name: str, frame: Frame) -> bool:
        """Whether to reply to a target's frame at once, which renews its lease.

        No reply is due shortly after a renewal. A frame without a later echo, such as the first one
        over a new connection, renewed nothing. Reports of an idle target are replied to less often.
        """
        target = self._targets.get(name)
        if target is None or target.session is None:
            return False
        reports = all(isinstance(body, RunnerReport) for body in frame.bodies)
        idle = not target.placed and bool(frame.bodies) and reports
        interval = self._times.min_idle_reply_interval if idle else self._times.min_reply_interval
        return now > target.session.renewed_ms / 1000 + interval

    def next_confirmation_deadline(self) -> float | None:
        """Return when `check_confirmations` is due; None if no target has to confirm."""
        return self._liveness.next_deadline()

    def check_confirmations(self, now: float) -> list[Effect]:
        """Move tasks off targets that have not confirmed in time that they are alive.

        None of these tasks can have started.
        """
        effects = self._handle_pause(now)
        logs = self._liveness.check(now)
        return [*effects, *logs, *self._place(now)] if logs else effects

    def place_new_jobs(self, now: float) -> list[Effect]:
        """Place new jobs that are old enough for a disconnect of their caller to be known.

        Call it only after the disconnects that have already occurred are handled. No other method
        places these jobs.
        """
        effects = self._handle_pause(now)
        for job in self._jobs.all():
            job.caller_confirmed = job.caller_confirmed or now >= job.earliest_placement
        return [*effects, *self._place(now)]

    def place_waiting(self, now: float) -> list[Effect]:
        """Place waiting tasks if a message has arrived since the last placement."""
        effects = self._handle_pause(now)
        return [*effects, *self._place(now)] if self._placement_due else effects

    def tick(self, now: float) -> list[Effect]:
        """Check timeouts, and place waiting tasks."""
        effects = self._handle_pause(now)
        self._cancelled.expire(now)
        for target in list(self._targets.values()):
            effects += self._check_target(now, target)
        self._speeds.tick(now, self._targets.values())
        if self._containment.depends_on_time:
            effects += self._containment.tick(now, self._open_targets(), self._snapshot(now))
        effects += self._place(now)
        snapshot = self._snapshot(now) if self.confined_queue_count else None
        for job in self._jobs.all():
            effects += self._check_job(now, job, snapshot)
        return effects

    def leave(self, exit_at: float) -> None:
        """Refuse from now on jobs that can't end before this process exits."""
        self._exit_at = exit_at

    def finish(self, now: float) -> list[Effect]:
        """Answer all remaining jobs, as the process exits."""
        return [
            self._give_up(now, job, "leaving", self._retry_after(now, job))
            for job in self._jobs.all()
        ]

    def _refuse(self, caller: int, request: JobRequest, refused: Refused) -> AnswerJob:
        """Refuse a job, or answer it as given up if an earlier submission may have run here."""
        ran = self._jobs.may_have_run(request.key)
        outcome: JobOutcome = GivenUp(refused.reason) if ran else refused
        return AnswerJob(caller, request.key, outcome, 0.0)

    def _check_job(
        self, now: float, job: JobRecord, confined_snapshot: TargetSnapshot | None
    ) -> list[Effect]:
        """Give a job up that can't end in time.

        `confined_snapshot` is given if any queue is confined.
        """
        if now > job.expires:
            return [self._give_up(now, job, "deadline", self._retry_after(now, job))]
        if not job.caller_confirmed:
            return []
        last_start = self._last_start(now, job)
        if self._exit_at is not None:
            last_start = min(last_start, self._exit_at - job.length)
        if not job.may_have_started and now > last_start:
            snapshot = self._snapshot(now)
            wait = self._expected_wait(job, snapshot)
            log = capacity_log(now, job, wait, snapshot)
            return [log, self._give_up(now, job, "no_room", max(RETRY_SECONDS, wait))]
        if not job.may_have_started and confined_snapshot is not None:
            confined_delay = self._containment.refusal_delay(job, confined_snapshot)
            if confined_delay is not None:
                return [self._give_up(now, job, "confined", max(RETRY_SECONDS, confined_delay))]
        return []

    def _last_start(self, now: float, job: JobRecord) -> float:
        """Return the latest start of a job for which there is no free capacity yet.

        It is later while targets are still connecting, as capacity is about to appear.
        """
        return job.useful_start if self._is_settling(now) else job.refuse_after

    def _give_up(self, now: float, job: JobRecord, reason: str, retry_after: float) -> AnswerJob:
        """Drop a job, and answer it as refused only if it can't have run."""
        ran = job.may_have_started or job.placed_before
        outcome = GivenUp(reason) if ran else Refused(reason, retry_after)
        return self._answer(now, job, outcome)

    def _retry_after(self, now: float, job: JobRecord) -> float:
        return max(RETRY_SECONDS, self._expected_wait(job, self._snapshot(now)))

    def _answer(self, now: float, job: JobRecord, outcome: JobOutcome) -> AnswerJob:
        self._drop(job)
        return AnswerJob(job.caller, job.request.key, outcome, now - job.arrived)

    def _drop(self, job: JobRecord) -> None:
        """Delete a job and stop its placed runs."""
        self._jobs.drop(job)
        by_target: dict[str, list[RunId]] = {}
        for task in job.tasks:
            if task.phase is TaskPhase.PLACED:
                by_target.setdefault(task.target, []).append(task.run)
        for name, runs in by_target.items():
            target = self._targets[name]
            if target.session is not None:
                target.session.send(Stop(runs))
            for run in runs:
                target.placed.discard(run)

    def _handle_pause(self, now: float) -> list[Effect]:
        """Give up all jobs after a pause of this process: callers may have gone elsewhere."""
        seconds = self._pauses.observe(now)
        if not seconds:
            return []
        fields: dict[str, str | int | float] = {
            "seconds": round(seconds, 2),
            "jobs": len(self._jobs),
        }
        effects: list[Effect] = [note("stood_still", **fields)]
        for job in self._jobs.all():
            effects.append(self._give_up(now, job, "stood_still", RESUME_GRACE_SECONDS))
        return effects

    def _new_session(
        self, now: float, target: TargetRecord, hello: Hello
    ) -> tuple[Session, list[Effect]]:
        """Open a session with a target and requeue the runs of its previous one, which are over."""
        self._last_session += 1
        if self._first_session_at is None:
            self._first_session_at = now
        target.incarnation = hello.incarnation
        target.hall = hello.hall
        session = target.session = Session(self._last_session, int(now * 1000))
        target.reset()
        if self._evacuations.known.revision:
            session.send(EvacuationUpdate(self._evacuations.known))
        lost = [*target.placed, *target.held]
        target.placed.clear()
        target.held.clear()
        fields: dict[str, str | int | float] = {
            "target": target.name,
            "session": self._last_session,
            "lost": len(lost),
        }
        log = note("session_opened", **fields)
        return session, [log, *self._requeue(now, lost, target.name, "session_replaced")]

    def _check_target(self, now: float, target: TargetRecord) -> list[Effect]:
        if target.session is not None:
            return self._end_session(now, target) if target.is_silent(now, self._times) else []
        if target.held and now > target.leases_end_at:
            lost = list(target.held)
            target.held.clear()
            return self._requeue(now, lost, target.name, "lease_lapsed")
        if now > target.last_received + FORGET_SECONDS:
            del self._targets[target.name]
        return []

    def _requeue(self, now: float, runs: list[RunId], target: str, reason: str) -> list[Effect]:
        """Requeue tasks whose runs were lost, and give up jobs that have used up their retries."""
        logs = self._jobs.requeue(runs, target, reason)
        return [*logs, *self._give_up_exhausted(now, {run.task.job for run in runs})]

    def _end_session(self, now: float, target: TargetRecord) -> list[Effect]:
        """End a silent target's session; its runs stay held until their leases are over."""
        assert target.session is not None  # noqa: S101
        target.leases_end_at = target.session.renewed_ms / 1000 + self._times.session_expiry
        target.session = None
        target.reset()
        target.held |= target.placed
        target.placed.clear()
        self._jobs.hold(target.held, target.name)
        fields: dict[str, str | int | float] = {
            "target": target.name,
            "silent_ms": round((now - target.last_received) * 1000),
            "held": len(target.held),
        }
        return [note("session_ended", **fields)]

    def _handle_body(
        self, now: float, target: TargetRecord, frame: Frame, body: Body
    ) -> list[Effect]:
        match body:
            case RunnerReport():
                target.drop_covered(frame)
                target.update_report(now, body)
                self._speeds.set_kind_factor(target)
                self._resource_requests.record_report(target)
                self._sync_evacuation(target, body)
            case EvacuationUpdate():
                return self.handle_evacuations(now, body.evacuated, target.name)
            case RunnerLost() | RunnerReturned() | RunnerSilent():
                return self.handle_loss_update(now, body, target.name)
            case Ended():
                effects: list[Effect] = []
                for run, end in body.ends:
                    effects += self._handle_end(now, target, run, end)
                return effects
        return []

    def _sync_evacuation(self, target: TargetRecord, report: RunnerReport) -> None:
        """Send the known evacuated halls to a target whose report contradicts them.

        If the target knows a later revision it sends that in turn.
        """
        covered = self._evacuations.covers(target.hall)
        differs = report.state is (RunnerState.READY if covered else RunnerState.EVACUATED)
        if differs and target.session is not None:
            target.session.send(EvacuationUpdate(self._evacuations.known))

    def _handle_end(self, now: float, target: TargetRecord, run: RunId, end: End) -> list[Effect]:
        target.placed.discard(run)
        task = self._jobs.task(run, target.name)
        job = self._jobs.by_key(run.task.job)
        if task is None or job is None or task.phase is not TaskPhase.PLACED:
            return []
        if end is End.DONE:
            task.phase = TaskPhase.DONE
            self._estimator.task_completed(now, job, task, target)
            if all(other.phase is TaskPhase.DONE for other in job.tasks):
                self._estimator.compare_tasks(job, self._targets)
                return [self._answer(now, job, Completed())]
            return []
        task.phase = TaskPhase.WAITING
        started = end not in NEVER_STARTED
        task.ran = task.ran or started
        task.retries += started
        fields: dict[str, str | int | float] = {
            "target": target.name,
            "run": run.number,
            "end": end.name.lower(),
            "losses": task.losses,
        }
        log = note("task_returned", run.task.job, **{"index": run.task.index, **fields})
        if end is End.FAILED:
            return [log, *self._handle_failure(now, target, job, task)]
        if end is End.STALE:
            task.number += STALE_STEP
        if end is End.NOT_STARTED:
            target.backoff_until = now + BACKOFF_SECONDS
        if end in (End.STUCK, End.LOST):
            task.avoid.add(target.name)
        return [log, *self._give_up_if_exhausted(now, job)]

    def _handle_failure(
        self, now: float, target: TargetRecord, job: JobRecord, task: TaskRecord
    ) -> list[Effect]:
        """Avoid the target for the task; count the failure if the runner is healthy.

        The job fails when the failures of a task reach the queue's `max_attempts`.
        """
        task.avoid.add(target.name)
        if target.report is None or target.report.health is Health.GOOD:
            task.failures += 1
        if task.failures >= job.queue.max_attempts:
            return [self._answer(now, job, Failed("attempts"))]
        return self._give_up_if_exhausted(now, job)

    def _snapshot(self, now: float) -> TargetSnapshot:
        return TargetSnapshot(now, self._open_targets(), self._times)

    def _open_targets(self) -> list[TargetRecord]:
        """Return the targets in halls that are not evacuated."""
        return [t for t in self._targets.values() if not self._evacuations.covers(t.hall)]

    def _expected_wait(self, job: JobRecord, snapshot: TargetSnapshot) -> float:
        competing_jobs = self._containment.competing_jobs(job, self._jobs.all())
        return expected_wait(job, self._usable(job, snapshot), competing_jobs)

    def _usable(self, job: JobRecord, snapshot: TargetSnapshot) -> list[TargetRecord]:
        return self._containment.allowed_targets(job, snapshot.usable(job.queue.service))

    def _place(self, now: float, snapshot: TargetSnapshot | None = None) -> list[Effect]:
        jobs = [job for job in self._jobs.all() if job.caller_confirmed]
        logs = self._assigner.place(now, jobs, snapshot or self._snapshot(now))
        self._liveness.expect_confirmations(now, self._assigner.assigned)
        self._placement_due = False
        heads = self._assigner.heads
        self._resource_requests.send(now, heads, self._open_targets(), self._assigner.assigned)
        return list(logs)
