"""The target: gives orders to the one runner beside it, for the entries that hold a session.

It starts nothing that doesn't fit, keeps the runner's lease alive while an entry's session is,
stops what an ended session has left, and tells how each run ended. Feed it messages, answers of
the runner and ticks; it returns orders for the runner, and frames to send lie in its sessions.
"""

from dataclasses import dataclass, field
from typing import final

from paddleshunt_core.effects import Log, note
from paddleshunt_core.leased.bounds import LeaseTimes
from paddleshunt_core.leased.health import SLOW, RunnerHealth
from paddleshunt_core.leased.orders import (
    FinishedRun,
    Look,
    LookAnswer,
    Order,
    RunEnd,
    RunnerAccount,
    StartAnswer,
    StartRun,
    StopRun,
)
from paddleshunt_core.leased.resources import NOTHING, Resources
from paddleshunt_core.leased.runtable import Phase, Run, RunTable
from paddleshunt_core.leased.session import Session
from paddleshunt_core.leased.wire import (
    Assign,
    Body,
    End,
    Ended,
    Frame,
    Health,
    Hello,
    Return,
    RunId,
    RunnerReport,
    RunnerState,
    Stop,
    TaskId,
)

LOOK_SHARE = 0.15
"""Part of the runner's lease that one look may wait for an end."""

STUCK_SECONDS = 0.35
"""Seconds without progress after which a run is stopped, to run elsewhere."""

STUCK_LEAST = 0.15
"""The same for a run whose whole estimate is less."""

STUCK_LOOKS = 2
"""Looks in a row that must have shown no progress."""

SLOW_RESTART = 1.2
"""A run on a slow runner is stopped if what is left takes so many times its estimate."""

MIN_SECONDS = 0.001
"""Shortest time that a run is taken to have lasted."""

NO_ROOM_PAUSE = 0.03
"""Seconds before a run is ordered again that the runner had no room for."""

UNREACHABLE_LOOKS = 2
"""Looks in a row without an answer after which a runner counts as unreachable."""

STOP_RETRY = 0.1
"""Seconds after which an unanswered stop is sent again."""

_ENDS = {
    RunEnd.DONE: End.DONE,
    RunEnd.FAILED: End.FAILED,
    RunEnd.STOPPED: End.STOPPED,
    RunEnd.LAPSED: End.LOST,
}

Effect = Order | Log


@final
@dataclass(slots=True)
class _EntryLink:
    """One entry: its life and the session with it."""

    life: str = ""
    session: Session | None = None
    ends: list[tuple[RunId, End]] = field(default_factory=list)
    report_due: bool = True


@final
class Worker:
    """State of one target."""

    def __init__(self, times: LeaseTimes) -> None:
        self._times = times
        self._runs = RunTable()
        self._links: dict[str, _EntryLink] = {}
        self._account: RunnerAccount | None = None
        self._health = RunnerHealth()
        self._last_seen = 0
        self._renewed = float("-inf")
        self._failed_looks = 0
        self._clean = False
        """Whether this life of the runner was seen with nothing foreign at work."""
        self._met = float("-inf")
        self._foreign: set[RunId] = set()
        self._level = Health.GOOD
        self.leaving = False
        self.lost_runs = 0

    # What others ask about this target.

    @property
    def account(self) -> RunnerAccount | None:
        """The runner's last account of itself."""
        return self._account

    @property
    def idle(self) -> bool:
        """Whether no run is here."""
        return not len(self._runs)

    @property
    def runs(self) -> int:
        """Runs queued and at work here."""
        return len(self._runs)

    def describe(self, now: float) -> dict[str, object]:
        """Return a summary of the state for a dump."""
        queued, work = self._runs.queued_work()
        return {
            "runner": self._account.runner if self._account else "",
            "runs": len(self._runs),
            "queued": queued,
            "queued_core_ms": work,
            "free": self._free(),
            "health": self._health.level(now).name,
            "speed": round(self._health.speed(now), 2),
            "leaving": self.leaving,
            "sessions": {
                name: link.session.number for name, link in self._links.items() if link.session
            },
        }

    # Sessions.

    def may_open(self, entry: str) -> bool:
        """Whether a new session with `entry` may begin: nothing of an older one is left."""
        return self._clean and not self._runs.of_entry(entry)

    def session(self, entry: str) -> Session | None:
        """Return the session with an entry."""
        link = self._links.get(entry)
        return link.session if link else None

    def opened(self, now: float, hello: Hello, said: float) -> list[Effect]:
        """Take an entry's answer to the greeting that was sent at `said`."""
        link = self._links.setdefault(hello.name, _EntryLink())
        link.report_due = True
        session = link.session
        if session is not None and link.life == hello.life and session.number == hello.session:
            session.resume(hello.received)
            return [note("session_resumed", entry=hello.name)]
        effects = self._end_session(now, hello.name, "replaced") if session else []
        link.life = hello.life
        link.session = Session(hello.session, int(said * 1000))
        fields: dict[str, str | int | float] = {"entry": hello.name, "session": hello.session}
        return [*effects, note("session_opened", **fields)]

    def closed(self, now: float, entry: str) -> list[Effect]:
        """Take an entry's word that it doesn't go on with the session."""
        return self._end_session(now, entry, "refused") if self.session(entry) else []

    def heard(self, now: float, entry: str, frame: Frame) -> list[Effect]:
        """Take a frame of an entry; one of an ended session is dropped."""
        session = self.session(entry)
        if session is None:
            return []
        bodies = session.accept(frame)
        if self._is_over(now, session):
            return self._end_session(now, entry, "silent")
        effects: list[Effect] = []
        for body in bodies:
            effects += self._take(now, entry, body)
        return effects + self._pump(now)

    # The runner.

    def runner_spoke(self, now: float, account: RunnerAccount) -> list[Effect]:
        """Take the runner's account of itself."""
        known = self._account
        effects: list[Effect] = []
        if known is not None and known.runner != account.runner:
            effects += self._runner_replaced(now, account.runner)
        if known is None or known.runner != account.runner:
            self._clean = False
            self._met = now
        self._account = account
        if known != account:
            self._tell_all()
        if account.leaving and not (known and known.leaving):
            effects.append(note("runner_leaving", runner=account.runner))
            self._return_queued(now)
        return effects + self._pump(now)

    def runner_left(self, now: float, runner: str) -> list[Effect]:
        """Take the runner's word that it ends now."""
        if self._account is None or self._account.runner != runner:
            return []
        effects = self._runner_replaced(now, "")
        self._account = None
        return effects

    def next_look(self, now: float) -> Look:
        """Return the renewal to send now; it counts as sent.

        After one without an answer, the next only looks, at once: a runner that doesn't answer
        must not have its lease renewed for ever, or its runs could never be given up.
        """
        if self._failed_looks:
            return Look(self._last_seen, None, 0.0)
        lease = None
        if self._any_session(now):
            lease = self._times.hold
            self._renewed = now
        wait = self._times.hold * LOOK_SHARE if self._clean else 0.0
        return Look(self._last_seen, lease, wait)

    def looked(self, now: float, answer: LookAnswer) -> list[Effect]:
        """Take the runner's lists of what runs and what has ended."""
        effects: list[Effect] = []
        if self._failed_looks >= UNREACHABLE_LOOKS:
            effects.append(note("runner_reachable"))
            self._tell_all()
        self._failed_looks = 0
        for finished in answer.finished:
            effects += self._listed(now, finished)
        running = {row.run: row.percent for row in answer.running}
        effects += self._stop_foreign(running, answer)
        for run in self._runs:
            if run.id in running:
                effects += self._progressed(now, run, running[run.id])
            elif run.doubted is not None and run.doubted < answer.sent:
                effects += self._stop(now, run, End.NOT_STARTED, "start_unanswered")
            elif run.settled is not None and run.settled < answer.sent:
                effects += self._vanished(now, run)
        return effects + self._pump(now)

    def look_failed(self, now: float, *, other_life: bool = False) -> list[Effect]:
        """Take a renewal that got no answer, or the answer that another life runs there."""
        if other_life:
            return self._runner_replaced(now, "")
        effects: list[Effect] = []
        self._failed_looks += 1
        if self._failed_looks == UNREACHABLE_LOOKS:
            effects.append(note("runner_unreachable", runs=len(self._runs)))
            self._return_queued(now)
            self._tell_all()
        for run in self._runs:
            if now > max(self._renewed, run.ordered) + self._times.run_end:
                effects += self._ended(now, run, End.LOST, "lease_lapsed")
        return effects

    def start_answered(self, now: float, id_: RunId, answer: StartAnswer) -> list[Effect]:
        """Take what became of an order to start."""
        run = self._runs.get(id_)
        if run is None:
            return []
        run.settled = now
        match answer:
            case StartAnswer.STARTED:
                return self._started(now, run)
            case StartAnswer.NO_ROOM:
                return self._no_room(now, run)
            case StartAnswer.UNKNOWN:
                return self._doubt(now, run)
            case StartAnswer.OTHER_LIFE:
                return self._runner_replaced(now, "")
            case StartAnswer.UNHEALTHY:
                self._health.suspect(now)
            case _:
                pass
        end = End.STALE if answer is StartAnswer.STALE else End.NOT_STARTED
        return [*self._ended(now, run, end, f"start_{answer.value}"), *self._pump(now)]

    def stop_answered(self, now: float, id_: RunId, *, done: bool) -> list[Effect]:
        """Take what became of an order to stop; an unanswered one is sent again."""
        run = self._runs.get(id_)
        if run is None:
            return []
        if done:
            run.settled = now
            return []
        run.ordered = now
        return []

    # Time.

    def tick(self, now: float) -> list[Effect]:
        """Act on the passing of time."""
        effects: list[Effect] = []
        for name, link in self._links.items():
            if link.session is not None and self._is_over(now, link.session):
                effects += self._end_session(now, name, "silent")
        for run in self._runs:
            effects += self._check(now, run)
        effects += self._leave_slow(now)
        level = self._health.level(now)
        if level is not self._level:
            self._level = level
            self._tell_all()
            fields: dict[str, str | int | float] = {
                "health": level.name.lower(),
                "speed": round(self._health.speed(now), 2),
            }
            effects.append(note("runner_health", **fields))
        return effects + self._pump(now)

    def leave(self, now: float) -> list[Effect]:
        """Start nothing more, and give back what is queued."""
        self.leaving = True
        self._return_queued(now)
        self._tell_all()
        return [note("leaving", runs=len(self._runs))]

    def prepare_frames(self, now: float) -> None:
        """Put ends and reports that are due into the sessions."""
        for link in self._links.values():
            if link.session is None:
                continue
            if link.ends:
                link.session.send(Ended(link.ends))
                link.ends = []
            if link.report_due:
                link.session.send(self._report(now))
                link.report_due = False

    # Inside.

    def _is_over(self, now: float, session: Session) -> bool:
        return now * 1000 > session.confirmed_ms + self._times.session * 1000

    def _any_session(self, now: float) -> bool:
        return any(
            link.session is not None and not self._is_over(now, link.session)
            for link in self._links.values()
        )

    def _end_session(self, now: float, entry: str, reason: str) -> list[Effect]:
        link = self._links[entry]
        link.session = None
        link.ends = []
        effects: list[Effect] = []
        runs = self._runs.of_entry(entry)
        for run in runs:
            effects += self._cancel(now, run, "session_ended")
        fields: dict[str, str | int | float] = {"entry": entry, "reason": reason, "runs": len(runs)}
        return [note("session_ended", **fields), *effects]

    def _take(self, now: float, entry: str, body: Body) -> list[Effect]:
        match body:
            case Assign():
                return self._assign(now, entry, body)
            case Stop():
                return [
                    effect
                    for run in map(self._runs.get, body.runs)
                    if run is not None and run.entry == entry
                    for effect in self._cancel(now, run, "asked")
                ]
            case Return():
                self._give_back(entry, body)
        return []

    def _assign(self, now: float, entry: str, body: Assign) -> list[Effect]:
        """Start what fits, and give back the rest at once: other targets may have room."""
        refused: list[RunId] = []
        added: list[Run] = []
        for index, number in body.runs:
            id_ = RunId(TaskId(body.job, body.step, index), number)
            if self._state() is not RunnerState.READY or self._level is Health.SICK:
                refused.append(id_)
                continue
            run = Run(
                id_,
                entry,
                body.spec,
                body.need,
                body.estimate_ms / 1000,
                now + body.start_within_ms / 1000,
                now + body.expires_ms / 1000,
            )
            self._runs.add(run)
            added.append(run)
        self._links[entry].ends += [(id_, End.NOT_STARTED) for id_ in refused]
        self._tell_all()
        effects = self._pump(now)
        for run in added:
            if run.phase is Phase.QUEUED:
                effects += self._ended(now, run, End.NO_ROOM, "no_room")
        return effects

    def _give_back(self, entry: str, body: Return) -> None:
        for id_ in body.runs:
            run = self._runs.get(id_)
            if run is not None and run.entry == entry and run.phase is Phase.QUEUED:
                self._runs.drop(run)
                self._links[entry].ends.append((id_, End.NOT_STARTED))
        self._tell_all()

    def _return_queued(self, now: float) -> None:
        for run in self._runs.queued(now):
            self._runs.drop(run)
            self._note_end(run, End.NOT_STARTED)

    def _state(self) -> RunnerState:
        if self._account is None or self._failed_looks >= UNREACHABLE_LOOKS:
            return RunnerState.DOWN
        if self.leaving or self._account.leaving:
            return RunnerState.LEAVING
        return RunnerState.READY

    def _free(self) -> Resources:
        if self._account is None:
            return NOTHING
        return self._account.capacity - self._runs.used

    def _report(self, now: float) -> RunnerReport:
        queued, work = self._runs.queued_work()
        account = self._account
        return RunnerReport(
            service=account.service if account else "",
            runner=account.runner if account else "",
            state=self._state(),
            health=self._level,
            speed=round(self._health.speed(now), 2),
            capacity=account.capacity if account else NOTHING,
            free=self._free(),
            queued=queued,
            queued_ms=work,
        )

    def _tell_all(self) -> None:
        for link in self._links.values():
            link.report_due = True

    def _pump(self, now: float) -> list[Effect]:
        """Order the most urgent queued runs that fit."""
        if not self._clean or self._state() is not RunnerState.READY or self._foreign:
            return []
        effects: list[Effect] = []
        for run in self._runs.queued(now):
            if run.not_before > now or not self._may_start():
                continue
            if run.need.fits(self._free()):
                self._runs.take_room(run)
                run.ordered = run.moved = run.seen = now
                run.settled = None
                effects.append(StartRun(run.id, run.spec, self._times.hold))
                self._tell_all()
        return effects

    def _may_start(self) -> bool:
        if self._level is Health.GOOD:
            return True
        return self._level is Health.PROBATION and self._runs.used == NOTHING

    def _started(self, now: float, run: Run) -> list[Effect]:
        self._renewed = max(self._renewed, run.ordered)
        if run.phase is Phase.STARTING:
            run.phase = Phase.RUNNING
        if run.phase is Phase.RUNNING:
            return []
        run.ordered = now
        run.settled = None
        return [StopRun(run.id)]

    def _no_room(self, now: float, run: Run) -> list[Effect]:
        if run.phase is not Phase.STARTING:
            return [*self._ended(now, run, run.ending, "no_room"), *self._pump(now)]
        self._runs.drop(run)
        run.phase = Phase.QUEUED
        run.not_before = now + NO_ROOM_PAUSE
        self._runs.add(run)
        fields: dict[str, str | int | float] = {
            "used": self._runs.used.processor,
            "run": run.id.number,
        }
        return [note("start_rejected", str(run.id.task), **fields)]

    def _cancel(self, now: float, run: Run, reason: str) -> list[Effect]:
        if run.phase is Phase.QUEUED:
            return self._ended(now, run, End.NOT_STARTED, reason)
        if run.phase is Phase.STOPPING:
            return []
        return self._stop(now, run, End.STOPPED, reason)

    def _stop(self, now: float, run: Run, ending: End, reason: str) -> list[Effect]:
        starting = run.phase is Phase.STARTING and run.settled is None and run.doubted is None
        run.phase = Phase.STOPPING
        run.doubted = None
        run.ending = ending
        log = note("run_stopping", str(run.id.task), run=run.id.number, reason=reason)
        if starting:
            return [log]
        run.ordered = now
        run.settled = None
        return [log, StopRun(run.id)]

    def _check(self, now: float, run: Run) -> list[Effect]:
        if run.phase is Phase.QUEUED and now > run.expires:
            return self._ended(now, run, End.NOT_STARTED, "expired")
        if run.phase is Phase.STOPPING and run.settled is None:
            if now > run.ordered + STOP_RETRY:
                run.ordered = now
                return [StopRun(run.id)]
            return []
        if run.phase is Phase.RUNNING and now > run.expires:
            return self._stop(now, run, End.STOPPED, "expired")
        return []

    def _leave_slow(self, now: float) -> list[Effect]:
        """Stop, to run elsewhere, what would take long on a runner that has turned slow."""
        speed = self._health.speed(now)
        if speed >= SLOW:
            return []
        self._health.suspect(now)
        return [
            effect
            for run in self._runs
            if run.phase is Phase.RUNNING and (100 - run.percent) / 100 > SLOW_RESTART * speed
            for effect in self._stop(now, run, End.STUCK, "slow")
        ]

    def _listed(self, now: float, finished: FinishedRun) -> list[Effect]:
        self._last_seen = max(self._last_seen, finished.number)
        self._foreign.discard(finished.run)
        run = self._runs.get(finished.run)
        if run is None:
            return []
        end = _ENDS[finished.end]
        if finished.end is RunEnd.DONE:
            work = run.estimate * (100 - run.percent) / 100
            self._health.progressed(now, work, now - run.seen)
            self._health.done(now, run.estimate / max(now - run.ordered, MIN_SECONDS))
        elif finished.end is RunEnd.FAILED:
            self._health.failed(now)
        elif finished.end is RunEnd.STOPPED:
            end = run.ending if run.phase is Phase.STOPPING else End.STOPPED
            if end is End.NOT_STARTED:
                end = End.STOPPED
        return self._ended(now, run, end, finished.end.value)

    def _doubt(self, now: float, run: Run) -> list[Effect]:
        """Let the next look tell whether an unanswered start was carried out."""
        run.settled = None
        if run.phase is Phase.STARTING:
            run.doubted = now
            return []
        if run.phase is Phase.STOPPING:
            return [StopRun(run.id)]
        return []

    def _progressed(self, now: float, run: Run, percent: int) -> list[Effect]:
        if run.phase is Phase.STARTING:
            self._renewed = max(self._renewed, run.ordered)
            run.phase = Phase.RUNNING
        run.doubted = None
        run.settled = now if run.phase is Phase.RUNNING else run.settled
        if percent > run.percent:
            work = run.estimate * (percent - run.percent) / 100
            self._health.progressed(now, work, now - run.seen)
            run.percent = percent
            run.moved = now
            run.still = 0
        elif now > run.seen:
            self._health.progressed(now, 0.0, now - run.seen)
            run.still += 1
        run.seen = now
        patience = min(STUCK_SECONDS, max(STUCK_LEAST, run.estimate))
        stuck = run.still >= STUCK_LOOKS and now > run.moved + patience
        if run.phase is Phase.RUNNING and stuck:
            self._health.suspect(now)
            return self._stop(now, run, End.STUCK, "no_progress")
        return []

    def _vanished(self, now: float, run: Run) -> list[Effect]:
        """End a run that a later look of the runner doesn't know."""
        if run.phase is Phase.STOPPING:
            return self._ended(now, run, run.ending, "gone")
        return self._ended(now, run, End.LOST, "gone")

    def _stop_foreign(self, running: dict[RunId, int], answer: LookAnswer) -> list[Effect]:
        """Stop what an earlier life of this target has left; until it is gone, start nothing."""
        ended = {row.run for row in answer.finished}
        self._foreign = {id_ for id_ in running if self._runs.get(id_) is None and id_ not in ended}
        if not self._foreign and not self._clean and answer.sent >= self._met:
            self._clean = True
            self._tell_all()
        effects: list[Effect] = []
        for id_ in self._foreign:
            effects.append(note("foreign_run_stopping", str(id_.task), run=id_.number))
            effects.append(StopRun(id_))
        return effects

    def _runner_replaced(self, now: float, runner: str) -> list[Effect]:
        """End all that an earlier life of the runner had: it died with it."""
        fields: dict[str, str | int | float] = {
            "was": self._account.runner if self._account else "",
            "now": runner,
        }
        effects: list[Effect] = [note("runner_replaced", **fields)]
        for run in self._runs:
            if run.phase is not Phase.QUEUED:
                effects += self._ended(now, run, End.LOST, "runner_replaced")
        self._health = RunnerHealth()
        self._last_seen = 0
        self._clean = False
        self._foreign = set()
        if not runner:
            self._account = None
        self._tell_all()
        return effects

    def _ended(self, now: float, run: Run, end: End, reason: str) -> list[Effect]:
        self._runs.drop(run)
        self._note_end(run, end)
        fields: dict[str, str | int | float] = {
            "run": run.id.number,
            "end": end.name.lower(),
            "reason": reason,
            "percent": run.percent,
            "entry": run.entry,
        }
        return [note("run_ended", str(run.id.task), **fields)]

    def _note_end(self, run: Run, end: End) -> None:
        link = self._links.get(run.entry)
        if link is not None and link.session is not None:
            link.ends.append((run.id, end))
        self._tell_all()
        self.lost_runs += end is End.LOST
