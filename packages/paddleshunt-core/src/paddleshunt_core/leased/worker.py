"""The target: gives orders to the one runner beside it, for the entries that hold a session.

It starts nothing that doesn't fit, keeps the runner's lease alive while an entry's session is,
stops what an ended session has left, and tells how each run ended. Feed it messages, answers of
the runner and ticks; it returns orders for the runner, and frames to send lie in its sessions.
"""

from dataclasses import dataclass, field
from typing import final

from paddleshunt_core.events import note
from paddleshunt_core.leased.bounds import LeaseTimes
from paddleshunt_core.leased.evacuation import evacuation_note
from paddleshunt_core.leased.incarnations import Claim
from paddleshunt_core.leased.losses import LossBook
from paddleshunt_core.leased.offers import Offers
from paddleshunt_core.leased.orders import Look, LookAnswer, RunnerAccount, StartAnswer
from paddleshunt_core.leased.resources import NOTHING, Resources
from paddleshunt_core.leased.runnercontrol import Effect, RunnerControl
from paddleshunt_core.leased.runtable import Run
from paddleshunt_core.leased.session import Session
from paddleshunt_core.leased.standstill import StandStill
from paddleshunt_core.leased.wire import (
    Assign,
    Body,
    Decline,
    End,
    Ended,
    EvacuationNews,
    Frame,
    Health,
    Hello,
    RunId,
    RunnerReport,
    RunnerState,
    Stop,
    TaskId,
    Want,
)

REPORT_SECONDS = 0.03
"""Shortest time between two reports to an entry, but for those that come with an end of a run."""

PLENTY = 0.3
"""Share of the runner's room that is free, above which changes are told with the next heartbeat."""

STILL_HEARTBEATS = 2.0
"""Heartbeats without a tick after which this process is taken to have stood still."""

RETIRE_SECONDS = 0.3
"""Shortest time for which an entry is told to send nothing more, before its session ends."""


@final
@dataclass(slots=True)
class _EntryLink:
    """One entry: its life and the session with it."""

    life: str = ""
    session: Session | None = None
    ends: list[tuple[RunId, End]] = field(default_factory=list)
    report_due: bool = True
    """Whether a report is due even if it says nothing new: it tells what it takes account of."""
    reported: float = float("-inf")
    plenty: bool = False
    """Whether the last report told of plenty of room."""
    report: RunnerReport | None = None
    """The last report in this session."""
    retired: float | None = None
    """Since when the session is to end, as other entries are preferred; None if it is not."""


@final
class Worker:
    """State of one target."""

    def __init__(self, times: LeaseTimes, hall: str = "") -> None:
        self._times = times
        self._control = RunnerControl(times, hall)
        self._links: dict[str, _EntryLink] = {}
        self._offers = Offers()
        self._losses = LossBook()
        """What this target saw of its own runner, for entries that it meets later."""
        self._pauses = StandStill(STILL_HEARTBEATS * times.heartbeat)

    # What others ask about this target.

    @property
    def account(self) -> RunnerAccount | None:
        """The runner's last account of itself."""
        return self._control.account

    @property
    def idle(self) -> bool:
        """Whether no run is here."""
        return not len(self._control.table)

    @property
    def runs(self) -> int:
        """Runs at work here."""
        return len(self._control.table)

    def describe(self, now: float) -> dict[str, object]:
        """Return a summary of the state for a dump."""
        control = self._control
        return {
            "runner": control.account.runner if control.account else "",
            "runs": len(control.table),
            "free": control.free(),
            "health": control.health.level(now).name,
            "speed": round(control.health.speed(now), 2),
            "leaving": control.leaving,
            "state": control.state().name,
            "evacuated_halls": control.evacuations.known.halls,
            "evacuations_revision": control.evacuations.known.revision,
            "sessions": {
                name: link.session.number for name, link in self._links.items() if link.session
            },
        }

    # Sessions.

    def may_open(self, entry: str) -> bool:
        """Whether a new session with `entry` may begin: nothing of an older one is left."""
        return self._control.clean and not self._control.table.of_entry(entry)

    def session_names(self) -> set[str]:
        """Return the entries that a session is open with."""
        return {name for name, link in self._links.items() if link.session is not None}

    def session(self, entry: str) -> Session | None:
        """Return the session with an entry."""
        link = self._links.get(entry)
        return link.session if link else None

    def opened(self, now: float, hello: Hello, said: float) -> list[Effect]:
        """Take an entry's answer to the greeting that was sent at `said`."""
        self._collect(now)
        link = self._links.setdefault(hello.name, _EntryLink())
        link.report_due = True
        session = link.session
        if session is not None and link.life == hello.life and session.number == hello.session:
            session.resume(hello.received)
            return [note("session_resumed", entry=hello.name)]
        effects = self._end_session(now, hello.name, "replaced") if session else []
        link.life = hello.life
        link.retired = None
        link.session = Session(hello.session, int(said * 1000))
        for loss in self._losses.all(now):
            link.session.send(loss)
        fields: dict[str, str | int | float] = {"entry": hello.name, "session": hello.session}
        return [*effects, note("session_opened", **fields)]

    def session_left(self, now: float, entry: str) -> float:
        """Return the seconds that are left of an entry's session; 0 or less if it is over."""
        session = self.session(entry)
        return 0.0 if session is None else session.confirmed_ms / 1000 + self._times.session - now

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
        return effects

    # The runner.

    def judge(self, account: RunnerAccount) -> Claim:
        """Return what an account of the runner is worth."""
        return self._control.lives.judge(account)

    def life_ended(self, runner: str) -> None:
        """Note that a life of the runner has ended, whatever still comes from it."""
        self._control.lives.has_ended(runner)

    def runner_spoke(self, now: float, account: RunnerAccount) -> list[Effect]:
        """Take the runner's account of itself."""
        return self._control.runner_spoke(now, account)

    def runner_left(self, now: float, runner: str) -> list[Effect]:
        """Take the runner's word that it ends now."""
        return self._control.runner_left(now, runner)

    def next_look(self, now: float) -> Look:
        """Return the renewal to send now; it counts as sent."""
        return self._control.next_look(now, renew=self._any_session(now))

    def looked(self, now: float, answer: LookAnswer) -> list[Effect]:
        """Take the runner's lists of what runs and what has ended."""
        return self._control.looked(now, answer)

    def look_failed(self, now: float, *, other_life: bool = False) -> list[Effect]:
        """Take a renewal that got no answer, or the answer that another life runs there."""
        return self._control.look_failed(now, other_life=other_life)

    def may_send(self, now: float, id_: RunId, entry: str) -> bool:
        """Whether an order to start may leave now; ask right before it is sent.

        What it was decided on may have changed since: its caller may have left, its entry's session
        may be over, or its data hall evacuated.
        """
        session = self.session(entry)
        if session is None or self._is_over(now, session):
            return False
        return self._control.may_send(id_)

    def start_answered(self, now: float, id_: RunId, answer: StartAnswer) -> list[Effect]:
        """Take what became of an order to start."""
        return self._control.start_answered(now, id_, answer)

    def stop_answered(self, now: float, id_: RunId, *, done: bool) -> list[Effect]:
        """Take what became of an order to stop; an unanswered one is sent again."""
        return self._control.stop_answered(now, id_, done=done)

    # Time.

    def suspended(self, seconds: float) -> list[Effect]:
        """Note that the host was suspended: the runner beside it may have been as well.

        What was decided before is judged by the time that has passed. Only the runner's lease may
        not have run down meanwhile, so nothing on it is taken for killed any sooner, and that its
        runs did not get on meanwhile is no fault of it.
        """
        self._control.runner_stood_still(seconds)
        return [note("host_suspended", seconds=round(seconds, 3), runs=self.runs)]

    def tick(self, now: float) -> list[Effect]:
        """Act on the passing of time."""
        effects = self._notice_pause(now)
        for name, link in self._links.items():
            if link.session is not None and self._is_over(now, link.session):
                effects += self._end_session(now, name, "silent")
        return effects + self._control.tick(now)

    def leave(self, now: float) -> list[Effect]:
        """Start nothing more."""
        self._control.leave()
        return [note("leaving", runs=self.runs)]

    def retire(self, now: float, preferred: set[str]) -> list[Effect]:
        """End the sessions with other entries than `preferred`, once they have no run here."""
        effects: list[Effect] = []
        for name, link in self._links.items():
            if link.session is None or name in preferred:
                link.retired = None
            elif link.retired is None:
                link.retired = now
            elif now > link.retired + RETIRE_SECONDS and not self._control.table.of_entry(name):
                effects += self._end_session(now, name, "other_entries_preferred")
        return effects

    def prepare_frames(self, now: float) -> float | None:
        """Put ends and reports that are due into the sessions; return when the next is due."""
        self._collect(now)
        next_due: float | None = None
        plenty = self._has_plenty()
        free = self._control.offered(now)
        holder = self._holder(now, free, plenty)
        if holder is not None:
            next_due = self._offers.lapses()
        for name, link in self._links.items():
            if link.session is None:
                continue
            report = self._report(now, link, free if holder in (None, name) else NOTHING)
            if report != link.report or link.report_due:
                pause = self._times.heartbeat if plenty and link.plenty else REPORT_SECONDS
                due = now if holder == name else link.reported + pause
                if link.ends or now >= due:
                    link.session.send(report)
                    link.report = report
                    link.report_due = False
                    link.reported = now
                    link.plenty = plenty
                else:
                    next_due = due if next_due is None else min(next_due, due)
            if link.ends:
                link.session.send(Ended(link.ends))
                link.ends = []
        return next_due

    # Inside.

    def _notice_pause(self, now: float) -> list[Effect]:
        """Tell of a stand-still: what was decided before it may be out of date."""
        seconds = self._pauses.moved(now)
        return [note("stood_still", seconds=round(seconds, 2), runs=self.runs)] if seconds else []

    def _is_over(self, now: float, session: Session) -> bool:
        return now * 1000 > session.confirmed_ms + self._times.session * 1000

    def _has_plenty(self) -> bool:
        control = self._control
        if control.account is None or control.state() is not RunnerState.READY:
            return False
        return control.table.used.share_of(control.account.capacity) < 1 - PLENTY

    def _holder(self, now: float, free: Resources, plenty: bool) -> str | None:
        """Return the entry that alone is shown the room; None if all are shown it."""
        if plenty or self._control.level is not Health.GOOD:
            return None
        return self._offers.holder(now, free)

    def _any_session(self, now: float) -> bool:
        return any(
            link.session is not None and not self._is_over(now, link.session)
            for link in self._links.values()
        )

    def _end_session(self, now: float, entry: str, reason: str) -> list[Effect]:
        link = self._links[entry]
        over = now + min(0.0, self.session_left(now, entry))
        self._collect(now)
        link.session = None
        link.ends = []
        self._offers.drop(entry)
        effects: list[Effect] = []
        runs = self._control.table.of_entry(entry)
        for run in runs:
            effects += self._control.cancel(now, run, "session_ended", over)
        fields: dict[str, str | int | float] = {"entry": entry, "reason": reason, "runs": len(runs)}
        return [note("session_ended", **fields), *effects]

    def _take(self, now: float, entry: str, body: Body) -> list[Effect]:
        match body:
            case Assign():
                self._offers.drop(entry)
                return self._assign(now, entry, body)
            case Decline():
                self._offers.drop(entry)
            case EvacuationNews():
                return self._learn(entry, body)
            case Want():
                self._offers.want(entry, body.need, now + body.within_ms / 1000)
            case Stop():
                return [
                    effect
                    for run in map(self._control.table.get, body.runs)
                    if run is not None and run.entry == entry
                    for effect in self._control.cancel(now, run, "asked")
                ]
        return []

    def _learn(self, entry: str, news: EvacuationNews) -> list[Effect]:
        """Follow an entry's word of evacuated halls, or tell it a later one."""
        evacuations = self._control.evacuations
        if evacuations.outdates(news.evacuated):
            session = self.session(entry)
            if session is not None:
                session.send(EvacuationNews(evacuations.known))
            return []
        if not evacuations.learn(news.evacuated):
            return []
        return [evacuation_note(evacuations, entry)]

    def _assign(self, now: float, entry: str, body: Assign) -> list[Effect]:
        control = self._control
        runs = [_run(now, entry, body, index, number) for index, number in body.runs]
        self._links[entry].report_due = True
        takes = control.state() is RunnerState.READY and control.level is not Health.SICK
        # A known run of the task belongs to an earlier try of the job, which is being stopped.
        new = [run for run in runs if takes and not control.table.has_task(run.id.task)]
        self._links[entry].ends += [(run.id, End.NOT_STARTED) for run in runs if run not in new]
        return control.add(now, new)

    def _report(self, now: float, link: _EntryLink, shown: Resources) -> RunnerReport:
        control = self._control
        account = control.account
        return RunnerReport(
            service=account.service if account else "",
            runner=account.runner if account else "",
            state=control.state() if link.retired is None else RunnerState.LEAVING,
            health=control.level,
            capacity=account.capacity if account else NOTHING,
            free=shown,
            labels=account.labels if account else (),
        )

    def _collect(self, now: float) -> None:
        """Give each entry the ends of its runs, and all entries word of a lost runner before."""
        for news in self._control.losses.take_news():
            self._losses.follow(now, news)
            for known in self._links.values():
                if known.session is not None:
                    known.session.send(news)
        for run, end in self._control.take_ends():
            link = self._links.get(run.entry)
            if link is not None and link.session is not None:
                link.ends.append((run.id, end))


def _run(now: float, entry: str, body: Assign, index: int, number: int) -> Run:
    return Run(
        RunId(TaskId(body.job, body.step, index), number),
        entry,
        body.spec,
        body.need,
        body.estimate_ms / 1000,
        now + body.expires_ms / 1000,
        body.queue,
    )
