"""The entry: home of each job it takes, for as long as the caller's connection lives.

It refuses what can't end in time, places tasks on targets by their reports, places them again when
they can't be running any more, and answers once all have ended. Feed it requests, callers that
leave, frames of targets and ticks; it returns answers, and frames to send lie in its sessions.
"""

from random import Random
from typing import final

from paddleshunt_core.events import Log, note
from paddleshunt_core.leased.admission import (
    NO_TARGET_WAIT,
    RETRY_SECONDS,
    expected_wait,
    has_room,
    refusal,
    room_note,
)
from paddleshunt_core.leased.assigner import Assigner
from paddleshunt_core.leased.bounds import COLD_OVERRUN, HALL_PREFERENCE, LeaseTimes
from paddleshunt_core.leased.catalog import Queue
from paddleshunt_core.leased.containment import Containment
from paddleshunt_core.leased.evacuation import EvacuatedHalls, Evacuations, evacuation_note
from paddleshunt_core.leased.jobs import (
    STALE_STEP,
    JobRecord,
    JobRequest,
    TaskPhase,
    TaskRecord,
    new_job,
)
from paddleshunt_core.leased.jobtable import JobTable
from paddleshunt_core.leased.lessons import Lessons
from paddleshunt_core.leased.livenesschecks import LivenessChecks
from paddleshunt_core.leased.outcomes import (
    AnswerJob,
    BroadcastLoss,
    Completed,
    Failed,
    GivenUp,
    JobOutcome,
    Refused,
)
from paddleshunt_core.leased.placement import Placement
from paddleshunt_core.leased.resourcerequests import Wants
from paddleshunt_core.leased.retries import Retries
from paddleshunt_core.leased.room import RoomNow
from paddleshunt_core.leased.session import Session, good_echo_age
from paddleshunt_core.leased.speeds import Speeds, kind_note
from paddleshunt_core.leased.standstill import THAW_SECONDS, StandStill
from paddleshunt_core.leased.targets import TargetRecord
from paddleshunt_core.leased.wire import (
    Body,
    End,
    Ended,
    EvacuationNews,
    Frame,
    Health,
    Hello,
    LossNews,
    RunId,
    RunnerLost,
    RunnerReport,
    RunnerReturned,
    RunnerSilent,
    RunnerState,
    SpeedNews,
    Stop,
)

BACKOFF_SECONDS = 0.05
"""Seconds in which a target that gave a task back is given none."""

SETTLE_SECONDS = 0.5
"""Seconds after the first session in which targets are still being met: few say little of room."""

LEAVING_LENGTHS = 2.0
"""How many times its expected length a job may take at an entry that is leaving.

Learned lengths are off by 0.2 at the median; a job that a runner gives back runs once more.
"""

FORGET_SECONDS = 60.0
"""Seconds after which a silent target is forgotten."""


NOT_BEGUN = (End.NOT_STARTED, End.NO_ROOM, End.STALE)
"""Ends of runs that never began."""


Effect = AnswerJob | BroadcastLoss | Log


@final
class Dispatcher:
    """State of one entry's jobs and targets."""

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
        self._targets: dict[str, TargetRecord] = {}
        self._lessons = Lessons(self._placement, self._speeds)
        self._wants = Wants()
        self._answers = LivenessChecks(times, self._jobs)
        self._evacuations = Evacuations()
        self._unplaced = False
        """Whether something was heard that may let a task be placed."""
        self._sessions = 0
        self._met: float | None = None
        """When the first session with a target began."""
        self._pauses = StandStill(times.session)
        self._ends: float | None = None
        """When this process ends, if it is leaving."""
        self.new_job_refusal: Refused | None = None
        """What new jobs are told while this host's link is pressed; None to take them."""

    @property
    def jobs(self) -> int:
        """Jobs held."""
        return len(self._jobs)

    @property
    def has_new_jobs(self) -> bool:
        """Whether `place_new_jobs` is due for a job, now or soon."""
        return any(not job.is_awaited for job in self._jobs.all())

    @property
    def confined_queues(self) -> int:
        """Queues that are confined to a few targets, as their tasks take runners down."""
        return len(self._containment)

    def targets(self) -> list[TargetRecord]:
        """Return all known targets."""
        return list(self._targets.values())

    def echo_age(self, now: float) -> float | None:
        """Return how old the newest echo of a good quarter of the targets is; None without any.

        Only sessions that are held are renewed all the time.
        """
        held = (t.session for t in self._targets.values() if t.connected and t.placed)
        return good_echo_age(now, (session for session in held if session is not None))

    def describe(self, now: float) -> dict[str, object]:
        """Return a summary of the state for a dump."""
        return {
            "jobs": len(self._jobs),
            "waiting_tasks": sum(len(job.waiting()) for job in self._jobs.all()),
            "evacuated_halls": self._evacuations.known.halls,
            "evacuations_revision": self._evacuations.known.revision,
            "kinds": self._speeds.all(),
            "confined_queues": self._containment.describe(),
            "targets": {t.name: t.describe(now) for t in self._targets.values()},
        }

    # Callers.

    def submit(self, now: float, caller: int, request: JobRequest, queue: Queue) -> list[Effect]:
        """Take a job, or refuse it."""
        effects = self._notice_pause(now)
        if self._pauses.just_ended(now):
            stood_still = Refused("stood_still", THAW_SECONDS)
            return [*effects, self._refuse(caller, request, stood_still)]
        held = self._jobs.of_key(request.key)
        if held is not None:
            return [*effects, self._hand_over(now, caller, held)]
        if self.new_job_refusal is not None:
            return [*effects, self._refuse(caller, request, self.new_job_refusal)]
        expected = self._lessons.expect(queue, request)
        job = new_job(caller, request, queue, now, expected)
        job.place_from = now + self._caller_delay
        job.is_awaited = self._caller_delay == 0
        given_up = self._retries.handed_in(now, job)
        if given_up is not None:
            why = self._retries.note_given_up(job, given_up)
            return [*effects, why, AnswerJob(caller, request.key, given_up, 0.0)]
        room = self._room(now)
        effects += self._containment.serves(now, queue, self._open_targets)
        confined = self._containment.refuses(job, room)
        if confined is not None:
            refused_confined = Refused("confined", max(RETRY_SECONDS, confined))
            return [*effects, self._refuse(caller, request, refused_confined)]
        is_room = has_room(job, self._usable(job, room))
        wait = 0.0 if is_room else self._wait(job, room)
        if self._is_settling(now):
            wait = min(wait, NO_TARGET_WAIT)
        if self._ends is not None and now + wait + LEAVING_LENGTHS * job.length > self._ends:
            leaving = Refused("leaving", 0.0, elsewhere=True)
            return [*effects, self._refuse(caller, request, leaving)]
        refused = refusal(now, job, wait, self._last_start(now, job), has_room=is_room)
        if refused is not None:
            why = room_note(now, job, wait, room)
            return [*effects, why, self._refuse(caller, request, refused)]
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
        return [*effects, admitted, *self._place(now, room)]

    def caller_left(self, now: float, caller: int) -> list[Effect]:
        """Stop the job of a caller that doesn't wait any more."""
        effects = self._notice_pause(now)
        job = self._jobs.of_caller(caller)
        if job is None:
            return effects
        self._drop(job)
        age = round((now - job.arrived) * 1000)
        return [*effects, note("caller_left", job.request.key, after_ms=age), *self._place(now)]

    def _is_settling(self, now: float) -> bool:
        return self._met is None or now < self._met + SETTLE_SECONDS

    def _hand_over(self, now: float, caller: int, job: JobRecord) -> AnswerJob:
        """Let a job that came again go on for its new caller; the earlier one is likely gone."""
        earlier = self._jobs.hand_over(job, caller)
        outcome = GivenUp("came_again")
        return AnswerJob(earlier, job.request.key, outcome, now - job.arrived)

    # Evacuations.

    @property
    def evacuations(self) -> Evacuations:
        """What is known of evacuated halls."""
        return self._evacuations

    def handle_evacuations(self, now: float, told: EvacuatedHalls, source: str) -> list[Effect]:
        """Follow a word of evacuated halls, and tell the targets; an older one changes nothing."""
        if not self._evacuations.learn(told):
            return []
        for target in self._targets.values():
            if target.session is not None:
                target.session.send(EvacuationNews(self._evacuations.known))
        return [evacuation_note(self._evacuations, source), *self._place(now)]

    # Lost runners.

    def known_losses(self, now: float) -> list[LossNews]:
        """Return what is remembered of lost runners, for an entry that was just met."""
        return self._retries.known_losses(now)

    def handle_loss_update(self, now: float, news: LossNews, source: str) -> list[Effect]:
        """Follow a word on a lost runner, and give up jobs that it decides.

        A target's own word is handed on to all entries; theirs is not, or each would tell all.
        """
        logs = self._retries.learn(now, news, source)
        is_news, confined = self._containment.learn(now, news, self._open_targets)
        if not logs and not is_news:
            return []
        effects: list[Effect] = [*logs, *confined]
        if source in self._targets:
            effects.append(BroadcastLoss(news))
        tasks = news.tasks if isinstance(news, RunnerLost) else []
        return [*effects, *self._check_jobs(now, {task.job for task in tasks})]

    def _check_jobs(self, now: float, keys: set[str]) -> list[Effect]:
        """Give up those of the jobs that are held here and have been tried in vain too often."""
        effects: list[Effect] = []
        for key in keys:
            job = self._jobs.of_key(key)
            if job is not None:
                effects += self._check_retries(now, job)
        return effects

    def _check_retries(self, now: float, job: JobRecord) -> list[Effect]:
        """Give a job up if one of its tasks has been tried in vain too often."""
        outcome = self._retries.outcome(now, job)
        if outcome is None:
            return []
        why = self._retries.note_given_up(job, outcome)
        return [why, self._answer(now, job, outcome)]

    # Speeds of hosts.

    @property
    def speeds(self) -> Speeds:
        """What is known of how slow the kinds of hosts are."""
        return self._speeds

    def handle_speed_update(self, now: float, news: SpeedNews, source: str) -> list[Effect]:
        """Take another entry's word on kinds of hosts that it knows much better."""
        taken = self._speeds.told(news)
        if taken:
            self._speeds.compare(now, self._targets.values())
        return [kind_note(word, source) for word in taken]

    # Targets.

    def handle_hello(self, now: float, hello: Hello) -> tuple[Session | None, list[Effect]]:
        """Take a target's greeting; return the session, or None if the one it names is over.

        A target names no session only if nothing of an earlier one is left with it.
        """
        target = self._targets.get(hello.name)
        if target is None:
            target = self._targets[hello.name] = TargetRecord(hello.name, hello.hall, hello.life)
        target.connected = True
        target.spoke(now)
        session = target.session
        if session is not None and target.life == hello.life and session.number == hello.session:
            session.resume(hello.received)
            return session, []
        if hello.session:
            target.connected = False
            return None, []
        return self._new_session(now, target, hello)

    def disconnected(self, now: float, name: str) -> None:
        """Note that a target's connection broke; the session goes on for a while."""
        target = self._targets.get(name)
        if target is not None:
            target.connected = False

    def session(self, name: str) -> Session | None:
        """Return the session with a target."""
        target = self._targets.get(name)
        return target.session if target else None

    def handle_frame(self, now: float, name: str, frame: Frame) -> list[Effect]:
        """Take a frame of a target."""
        effects = self._notice_pause(now)
        target = self._targets.get(name)
        if target is None or target.session is None or target.session.misses(frame):
            return effects
        bodies = target.session.accept(frame, round(now * 1000))
        target.spoke(now)
        for body in bodies:
            effects += self._take(now, target, frame, body)
        self._unplaced = self._unplaced or bool(bodies)
        return effects

    def needs_immediate_reply(self, now: float, name: str, frame: Frame) -> bool:
        """Whether a target's frame is to be answered at once, which renews its lease.

        Not if it has just been renewed; a frame that carried no later echo renewed nothing, as the
        first over a new connection. What an idle target only reports is answered less often.
        """
        target = self._targets.get(name)
        if target is None or target.session is None:
            return False
        reports = all(isinstance(body, RunnerReport) for body in frame.bodies)
        calm = not target.placed and bool(frame.bodies) and reports
        pause = self._times.idle_reply if calm else self._times.reply_pause
        return now > target.session.renewed_ms / 1000 + pause

    def next_confirmation_deadline(self) -> float | None:
        """Return when `check_confirmations` is due, if a target is to confirm that it lives."""
        return self._answers.due()

    def check_confirmations(self, now: float) -> list[Effect]:
        """Place elsewhere what targets were given that do not answer; it has never begun."""
        effects = self._notice_pause(now)
        logs = self._answers.check(now)
        return [*effects, *logs, *self._place(now)] if logs else effects

    def place_new_jobs(self, now: float) -> list[Effect]:
        """Place jobs whose callers have had the time to say that they left.

        Nothing else places them first: call it once the ends of connections that had come are
        handled.
        """
        effects = self._notice_pause(now)
        for job in self._jobs.all():
            job.is_awaited = job.is_awaited or now >= job.place_from
        return [*effects, *self._place(now)]

    def place_waiting(self, now: float) -> list[Effect]:
        """Place what waits, once for all that was heard since the last call."""
        effects = self._notice_pause(now)
        return [*effects, *self._place(now)] if self._unplaced else effects

    # Time.

    def tick(self, now: float) -> list[Effect]:
        """Act on the passing of time."""
        effects = self._notice_pause(now)
        for target in list(self._targets.values()):
            effects += self._check_target(now, target)
        self._speeds.tick(now, self._targets.values())
        if self._containment.is_waiting:
            effects += self._containment.follow(now, self._open_targets(), self._room(now))
        effects += self._place(now)
        room = self._room(now) if self.confined_queues else None
        for job in self._jobs.all():
            effects += self._check_job(now, job, room)
        return effects

    def leave(self, ends: float) -> None:
        """Refuse from now on what can't end before this process does, at `ends`."""
        self._ends = ends

    def finish(self, now: float) -> list[Effect]:
        """Answer all that is left, as the process ends."""
        return [
            self._give_up(now, job, "leaving", self._retry_after(now, job))
            for job in self._jobs.all()
        ]

    # Inside: callers.

    def _refuse(self, caller: int, request: JobRequest, refused: Refused) -> AnswerJob:
        """Refuse a job, unless an earlier try of it may have run: it is not known to be unrun."""
        ran = self._jobs.may_have_run(request.key)
        outcome: JobOutcome = GivenUp(refused.reason) if ran else refused
        return AnswerJob(caller, request.key, outcome, 0.0)

    def _check_job(self, now: float, job: JobRecord, confined_room: RoomNow | None) -> list[Effect]:
        """Give a job up if it can't be of use; `confined_room`: the room if a queue is confined."""
        if now > job.expires:
            return [self._give_up(now, job, "deadline", self._retry_after(now, job))]
        if not job.is_awaited:
            return []
        last_start = self._last_start(now, job)
        if self._ends is not None:
            last_start = min(last_start, self._ends - job.length)
        if not job.may_have_started and now > last_start:
            room = self._room(now)
            wait = self._wait(job, room)
            why = room_note(now, job, wait, room)
            return [why, self._give_up(now, job, "no_room", max(RETRY_SECONDS, wait))]
        if not job.may_have_started and confined_room is not None:
            confined = self._containment.refuses(job, confined_room)
            if confined is not None:
                return [self._give_up(now, job, "confined", max(RETRY_SECONDS, confined))]
        return []

    def _last_start(self, now: float, job: JobRecord) -> float:
        """Return when a job must start that has no room yet.

        While targets are being met, room is about to be found: a late answer beats a refusal.
        """
        return job.useful_start if self._is_settling(now) else job.refuse_after

    def _give_up(self, now: float, job: JobRecord, reason: str, retry_after: float) -> AnswerJob:
        """Answer a job that can't be of use; the answer says truly whether it has run."""
        ran = job.may_have_started or job.may_have_run
        outcome = GivenUp(reason) if ran else Refused(reason, retry_after)
        return self._answer(now, job, outcome)

    def _retry_after(self, now: float, job: JobRecord) -> float:
        return max(RETRY_SECONDS, self._wait(job, self._room(now)))

    def _answer(self, now: float, job: JobRecord, outcome: JobOutcome) -> AnswerJob:
        self._drop(job)
        return AnswerJob(job.caller, job.request.key, outcome, now - job.arrived)

    def _drop(self, job: JobRecord) -> None:
        """Forget a job, and stop what it has running."""
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

    def _notice_pause(self, now: float) -> list[Effect]:
        """Give up all jobs if this process stood still: their callers may have gone elsewhere."""
        seconds = self._pauses.moved(now)
        if not seconds:
            return []
        fields: dict[str, str | int | float] = {
            "seconds": round(seconds, 2),
            "jobs": len(self._jobs),
        }
        effects: list[Effect] = [note("stood_still", **fields)]
        for job in self._jobs.all():
            effects.append(self._give_up(now, job, "stood_still", THAW_SECONDS))
        return effects

    # Inside: targets.

    def _new_session(
        self, now: float, target: TargetRecord, hello: Hello
    ) -> tuple[Session, list[Effect]]:
        """Begin anew with a target: it opens a session only when nothing of an old one is left."""
        self._sessions += 1
        if self._met is None:
            self._met = now
        target.life = hello.life
        target.hall = hello.hall
        session = target.session = Session(self._sessions, int(now * 1000))
        target.reset()
        if self._evacuations.known.revision:
            session.send(EvacuationNews(self._evacuations.known))
        lost = [*target.placed, *target.held]
        target.placed.clear()
        target.held.clear()
        fields: dict[str, str | int | float] = {
            "target": target.name,
            "session": self._sessions,
            "lost": len(lost),
        }
        log = note("session_opened", **fields)
        return session, [log, *self._run_again(now, lost, target.name, "session_replaced")]

    def _check_target(self, now: float, target: TargetRecord) -> list[Effect]:
        if target.session is not None:
            return self._end_session(now, target) if target.is_silent(now, self._times) else []
        if target.held and now > target.lost_at:
            lost = list(target.held)
            target.held.clear()
            return self._run_again(now, lost, target.name, "lease_lapsed")
        if now > target.last_received + FORGET_SECONDS:
            del self._targets[target.name]
        return []

    def _run_again(self, now: float, runs: list[RunId], target: str, reason: str) -> list[Effect]:
        """Let tasks wait again whose runs were lost, unless they have been tried too often."""
        logs = self._jobs.run_again(runs, target, reason)
        return [*logs, *self._check_jobs(now, {run.task.job for run in runs})]

    def _end_session(self, now: float, target: TargetRecord) -> list[Effect]:
        """Give a silent target up; what it has can't be placed again before the leases are over."""
        assert target.session is not None  # noqa: S101
        target.lost_at = target.session.renewed_ms / 1000 + self._times.session_end
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

    def _take(self, now: float, target: TargetRecord, frame: Frame, body: Body) -> list[Effect]:
        match body:
            case RunnerReport():
                target.covered(frame)
                target.take_report(now, body)
                self._speeds.reported(target)
                self._wants.reported(target)
                self._check_evacuation(target, body)
            case EvacuationNews():
                return self.handle_evacuations(now, body.evacuated, target.name)
            case RunnerLost() | RunnerReturned() | RunnerSilent():
                return self.handle_loss_update(now, body, target.name)
            case Ended():
                effects: list[Effect] = []
                for run, end in body.ends:
                    effects += self._ended(now, target, run, end)
                return effects
        return []

    def _check_evacuation(self, target: TargetRecord, report: RunnerReport) -> None:
        """Tell a target what is known here of its hall if its report says otherwise.

        Whoever of both knows the later revision puts the other right.
        """
        covered = self._evacuations.covers(target.hall)
        differs = report.state is (RunnerState.READY if covered else RunnerState.EVACUATED)
        if differs and target.session is not None:
            target.session.send(EvacuationNews(self._evacuations.known))

    def _ended(self, now: float, target: TargetRecord, run: RunId, end: End) -> list[Effect]:
        target.placed.discard(run)
        task = self._jobs.task(run, target.name)
        job = self._jobs.of_key(run.task.job)
        if task is None or job is None or task.phase is not TaskPhase.PLACED:
            return []
        if end is End.DONE:
            task.phase = TaskPhase.DONE
            self._lessons.ended(now, job, task, target)
            if all(other.phase is TaskPhase.DONE for other in job.tasks):
                self._lessons.compare_tasks(job, self._targets)
                return [self._answer(now, job, Completed())]
            return []
        task.phase = TaskPhase.WAITING
        begun = end not in NOT_BEGUN
        task.ran = task.ran or begun
        task.retries += begun
        fields: dict[str, str | int | float] = {
            "target": target.name,
            "run": run.number,
            "end": end.name.lower(),
            "losses": task.losses,
        }
        log = note("task_returned", run.task.job, **{"index": run.task.index, **fields})
        if end is End.FAILED:
            return [log, *self._failed(now, target, job, task)]
        if end is End.STALE:
            task.number += STALE_STEP
        if end is End.NOT_STARTED:
            target.backoff = now + BACKOFF_SECONDS
        if end in (End.STUCK, End.LOST):
            task.avoid.add(target.name)
        return [log, *self._check_retries(now, job)]

    def _failed(
        self, now: float, target: TargetRecord, job: JobRecord, task: TaskRecord
    ) -> list[Effect]:
        """Count a failure, unless the runner fails all; the next try goes elsewhere."""
        task.avoid.add(target.name)
        if target.report is None or target.report.health is Health.GOOD:
            task.failures += 1
        if task.failures >= job.queue.max_attempts:
            return [self._answer(now, job, Failed("attempts"))]
        return self._check_retries(now, job)

    # Inside: placement.

    def _room(self, now: float) -> RoomNow:
        return RoomNow(now, self._open_targets(), self._times)

    def _open_targets(self) -> list[TargetRecord]:
        """Return the targets in halls that are not evacuated."""
        return [t for t in self._targets.values() if not self._evacuations.covers(t.hall)]

    def _wait(self, job: JobRecord, room: RoomNow) -> float:
        rivals = self._containment.rivals(job, self._jobs.all())
        return expected_wait(job, self._usable(job, room), rivals)

    def _usable(self, job: JobRecord, room: RoomNow) -> list[TargetRecord]:
        return self._containment.targets(job, room.usable(job.queue.service))

    def _place(self, now: float, room: RoomNow | None = None) -> list[Effect]:
        jobs = [job for job in self._jobs.all() if job.is_awaited]
        logs = self._assigner.place(now, jobs, room or self._room(now))
        self._answers.ask(now, self._assigner.assigned)
        self._unplaced = False
        heads = self._assigner.heads
        self._wants.tell(now, heads, self._open_targets(), self._assigner.assigned)
        return list(logs)
