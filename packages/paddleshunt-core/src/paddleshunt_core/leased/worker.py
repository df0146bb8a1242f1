"""The target: gives orders to the one runner beside it, for the entries that hold a session.

It starts nothing that doesn't fit and nothing under a session whose lease is not in force, keeps
the runner's lease alive while an entry's session is, stops what an ended session has left, and
tells how each run ended. Feed it messages, answers of
the runner and ticks; it returns orders for the runner, and frames to send lie in its sessions.
"""

from typing import final

from paddleshunt_core.events import note
from paddleshunt_core.leased.bounds import COLD_OVERRUN, LeaseTimes
from paddleshunt_core.leased.entrylink import EntryLink
from paddleshunt_core.leased.evacuation import evacuation_note
from paddleshunt_core.leased.incarnations import Claim
from paddleshunt_core.leased.losses import LossBook
from paddleshunt_core.leased.offers import Offers
from paddleshunt_core.leased.orders import Look, LookAnswer, RunnerAccount, StartAnswer
from paddleshunt_core.leased.reporting import Reporter
from paddleshunt_core.leased.runnercontrol import Effect, RunnerControl
from paddleshunt_core.leased.runnerlife import RunnerLife
from paddleshunt_core.leased.runtable import Run
from paddleshunt_core.leased.session import Session, good_echo_age
from paddleshunt_core.leased.standstill import StandStill
from paddleshunt_core.leased.wire import (
    Assign,
    Body,
    Decline,
    End,
    EvacuationNews,
    Frame,
    Health,
    Hello,
    RunId,
    RunnerState,
    Stop,
    TaskId,
    Want,
)

STILL_HEARTBEATS = 2.0
"""Heartbeats without a tick after which this process is taken to have stood still."""

BEAT_PHASES = 8
"""Moments between two idle heartbeats of one session at which those of others leave."""

RETIRE_SECONDS = 0.3
"""Shortest time for which an entry is told to send nothing more, before its session ends."""


@final
class Worker:
    """State of one target."""

    def __init__(
        self, times: LeaseTimes, hall: str = "", cold_overrun: float = COLD_OVERRUN
    ) -> None:
        self._times = times
        self._control = RunnerControl(times, hall, cold_overrun)
        self._links: dict[str, EntryLink] = {}
        self._offers = Offers()
        self._reporter = Reporter(times, self._control, self._offers)
        self._losses = LossBook()
        """What this target saw of its own runner, for entries that it meets later."""
        self._pauses = StandStill(STILL_HEARTBEATS * times.heartbeat)
        self.sheds = False
        """Whether this host's link is pressed, so that reports that can wait go with heartbeats."""

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

    def echo_age(self, now: float) -> float | None:
        """Return how old the newest echo of a good quarter of the entries is; None without any.

        Only sessions that are held are renewed all the time.
        """
        held = (link.session for name, link in self._links.items() if self._is_held(name))
        return good_echo_age(now, (session for session in held if session is not None))

    def describe(self, now: float) -> dict[str, object]:
        """Return a summary of the state for a dump."""
        control = self._control
        return {
            "runner": str(control.account.runner) if control.account else "",
            "runs": len(control.table),
            "free": control.free(),
            "health": control.health.level(now).name,
            "speed": round(control.health.speed(now), 2),
            "leaving": control.leaving,
            "cold_s": round(control.cold(now), 2),
            "state": control.state().name,
            "evacuated_halls": control.evacuations.known.halls,
            "evacuations_revision": control.evacuations.known.revision,
            "sessions": {
                name: link.session.number for name, link in self._links.items() if link.session
            },
            "leases": {
                name: {
                    "held": self._is_held(name),
                    "confirmed": link.is_confirmed(now, self._times),
                    "pending": len(link.pending),
                    "silent_s": round(now - link.heard, 2),
                }
                for name, link in self._links.items()
                if link.session
            },
        }

    # Sessions.

    def may_open(self, entry: str) -> bool:
        """Whether a new session with `entry` may begin: nothing of an older one is left."""
        return self._control.clean and not self._control.table.of_entry(entry)

    def session_names(self) -> set[str]:
        """Return the entries that a session is open with."""
        return {name for name, link in self._links.items() if link.session is not None}

    def held_names(self) -> set[str]:
        """Return the entries whose session is held: something runs for them or is on its way."""
        return {name for name in self._links if self._is_held(name)}

    def session(self, entry: str) -> Session | None:
        """Return the session with an entry."""
        link = self._links.get(entry)
        return link.session if link else None

    def opened(self, now: float, hello: Hello, said: float) -> list[Effect]:
        """Take an entry's answer to the greeting that was sent at `said`.

        There is no session then if the one that the greeting named has ended since.
        """
        self._collect(now)
        link = self._links.setdefault(hello.name, EntryLink())
        if link.has_ended(hello.life, hello.session):
            return [note("session_over", entry=hello.name, session=hello.session)]
        session = link.session
        if session is not None and link.goes_on(hello.life, hello.session):
            session.resume(hello.received)
            link.resumed(now)
            return [note("session_resumed", entry=hello.name)]
        effects = self._end_session(now, hello.name, "replaced") if session else []
        session = Session(hello.session, int(said * 1000))
        link.phase = len(self.session_names()) % BEAT_PHASES / BEAT_PHASES
        link.open(now, hello.life, session)
        for loss in self._losses.all(now):
            session.send(loss)
        fields: dict[str, str | int | float] = {"entry": hello.name, "session": hello.session}
        return [*effects, note("session_opened", **fields)]

    def session_left(self, now: float, entry: str) -> float:
        """Return the seconds that are left of a session's lease; 0 or less if it is over."""
        session = self.session(entry)
        return 0.0 if session is None else session.confirmed_ms / 1000 + self._times.session - now

    def closed(self, now: float, entry: str) -> list[Effect]:
        """Take an entry's word that it doesn't go on with the session."""
        return self._end_session(now, entry, "refused") if self.session(entry) else []

    def heard(self, now: float, entry: str, frame: Frame) -> list[Effect]:
        """Take a frame of an entry; one of an ended session is dropped.

        Nothing starts before all of the frame is known: it may withdraw what it assigns.
        """
        link = self._links.get(entry)
        if link is None or link.session is None or link.session.misses(frame):
            return []
        bodies = link.session.accept(frame)
        if self._is_over(now, entry):
            return self._end_session(now, entry, "silent")
        link.heard = now
        effects: list[Effect] = []
        for body in bodies:
            effects += self._take(now, entry, body)
        return effects + self._start_pending(now, entry, link)

    def is_silent(self, now: float, entry: str) -> bool:
        """Whether the connection with an entry is to be made anew: it does not answer."""
        link = self._links.get(entry)
        if link is None or link.session is None:
            return True
        return link.is_silent(now, self._times, held=self._is_held(entry))

    def probe(self) -> None:
        """Send all entries a heartbeat as soon as one may be: a connection has fallen silent."""
        for link in self._links.values():
            link.probe()

    def silence(self, now: float, entry: str) -> float:
        """Return the seconds since an entry was heard."""
        link = self._links.get(entry)
        return now - link.heard if link else 0.0

    def next_frame(self, now: float, entry: str, *, beat: bool) -> Frame | None:
        """Return the frame that is due to an entry, if any; `beat`: heartbeats may be sent now."""
        link = self._links.get(entry)
        if link is None:
            return None
        return link.next_frame(now, self._times, held=self._is_held(entry), beat=beat)

    # The runner.

    def judge(self, account: RunnerAccount) -> Claim:
        """Return what an account of the runner is worth."""
        return self._control.lives.judge(account)

    @property
    def life(self) -> RunnerLife | None:
        """The life of the runner that is followed."""
        return self._control.lives.current

    @property
    def life_changes(self) -> int:
        """How often that has become another life, or none; one may also be told more of."""
        return self._control.lives.changes

    def life_denied(self, life: RunnerLife) -> None:
        """Note that the runner says it is not this life: it has ended, or is yet to come."""
        self._control.lives.deny(life)

    def runner_spoke(self, now: float, account: RunnerAccount) -> list[Effect]:
        """Take the runner's account of itself."""
        return self._control.runner_spoke(now, account)

    def runner_left(self, now: float, life: RunnerLife) -> list[Effect]:
        """Take the runner's word that it ends now."""
        return self._control.runner_left(now, life)

    def next_look(self, now: float) -> Look:
        """Return the look to send now; it counts as sent.

        It renews the runner's lease while something is at work and a session's lease is in force.
        """
        return self._control.next_look(now, renew=self._any_needs_lease(now))

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
        link = self._links.get(entry)
        if link is None or not link.is_confirmed(now, self._times):
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
            if link.session is not None and self._is_over(now, name):
                effects += self._end_session(now, name, "silent")
            effects += self._start_pending(now, name, link)
        return effects + self._control.tick(now)

    def leave(self, now: float) -> list[Effect]:
        """Start nothing more."""
        self._control.leave()
        return [note("leaving", runs=self.runs)]

    def retire(self, now: float, preferred: set[str]) -> list[Effect]:
        """End the sessions with other entries than `preferred`, once they have no work here."""
        effects: list[Effect] = []
        for name, link in self._links.items():
            if link.session is None or name in preferred:
                link.retired = None
            elif link.retired is None:
                link.retired = now
            elif now > link.retired + RETIRE_SECONDS and not self._has_work(name):
                effects += self._end_session(now, name, "other_entries_preferred")
        return effects

    def prepare_frames(self, now: float) -> float | None:
        """Put ends and reports that are due into the sessions; return when the next is due."""
        self._collect(now)
        return self._reporter.prepare(now, self._links, sheds=self.sheds)

    # Inside.

    def _notice_pause(self, now: float) -> list[Effect]:
        """Tell of a stand-still: what was decided before it may be out of date."""
        seconds = self._pauses.moved(now)
        return [note("stood_still", seconds=round(seconds, 2), runs=self.runs)] if seconds else []

    def _has_work(self, entry: str) -> bool:
        """Whether something runs for an entry, or is to start."""
        return self._control.table.has_entry(entry) or bool(self._links[entry].pending)

    def _is_held(self, entry: str) -> bool:
        link = self._links[entry]
        return link.is_held(has_runs=self._control.table.has_entry(entry))

    def _is_over(self, now: float, entry: str) -> bool:
        has_runs = self._control.table.has_entry(entry)
        return self._links[entry].is_over(now, self._times, has_runs=has_runs)

    def _any_needs_lease(self, now: float) -> bool:
        return not self.idle and any(
            link.is_confirmed(now, self._times) for link in self._links.values()
        )

    def _end_session(self, now: float, entry: str, reason: str) -> list[Effect]:
        link = self._links[entry]
        over = now + min(0.0, self.session_left(now, entry))
        self._collect(now)
        link.drop()
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
                self._assign(now, entry, body)
            case Decline():
                self._offers.drop(entry)
            case EvacuationNews():
                return self._learn(entry, body)
            case Want():
                self._offers.request(entry, body.need, now + body.within_ms / 1000)
            case Stop():
                self._links[entry].withdraw(body.runs)
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

    def _assign(self, now: float, entry: str, body: Assign) -> None:
        """Keep runs until all of the frame is known, and the session's lease is in force."""
        link = self._links[entry]
        link.report_due = True
        runs = [_run(now, entry, body, index, number) for index, number in body.runs]
        excess = link.assign(now, self._times, runs)
        link.ends += [(run.id, End.NOT_STARTED) for run in excess]

    def _start_pending(self, now: float, entry: str, link: EntryLink) -> list[Effect]:
        """Start what is pending if the session's lease is in force; give back what is too old."""
        if not link.pending:
            return []
        control = self._control
        runs, stale = link.take_confirmed(now, self._times)
        takes = control.state() is RunnerState.READY and control.level is not Health.SICK
        # A known run of the task belongs to an earlier try of the job, which is being stopped.
        new = [run for run in runs if takes and not control.table.has_task(run.id.task)]
        back = [run for run in runs if run not in new] + stale
        link.ends += [(run.id, End.NOT_STARTED) for run in back]
        effects = control.add(now, new)
        if stale:
            fields: dict[str, str | int | float] = {"entry": entry, "runs": len(stale)}
            return [*effects, note("assignment_unconfirmed", **fields)]
        return effects

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
