"""A target: runs tasks on its local runner for the entries that it has sessions with.

It starts only runs that fit and whose session's lease is in force, renews the runner's lease while
an entry's session lasts, stops the runs of ended sessions, and reports how each run ended. Its
inputs are messages, the runner's answers and ticks. It returns orders for the runner; its sessions
hold the frames to send.
"""

from typing import final

from paddleshunt_core.events import note
from paddleshunt_core.leased.bounds import COLD_OVERRUN, LeaseTimes
from paddleshunt_core.leased.entrylink import EntryLink
from paddleshunt_core.leased.evacuation import evacuation_log
from paddleshunt_core.leased.incarnations import HeartbeatClass
from paddleshunt_core.leased.losses import LossHistory
from paddleshunt_core.leased.offers import Offers
from paddleshunt_core.leased.orders import Poll, PollAnswer, RunnerStatus, StartAnswer
from paddleshunt_core.leased.pausedetector import PauseDetector
from paddleshunt_core.leased.reporting import Reporter
from paddleshunt_core.leased.runnercontrol import Effect, RunnerControl
from paddleshunt_core.leased.runnerincarnation import RunnerIncarnation
from paddleshunt_core.leased.runtable import Run
from paddleshunt_core.leased.session import Session, lower_quartile_echo_age
from paddleshunt_core.leased.wire import (
    Assign,
    Body,
    DeclineOffer,
    End,
    EvacuationUpdate,
    Frame,
    Health,
    Hello,
    ResourceRequest,
    RunId,
    RunnerState,
    Stop,
    TaskId,
)

PAUSE_HEARTBEATS = 2.0
"""Heartbeat intervals without a tick after which this process counts as having been paused."""

HEARTBEAT_PHASES = 8
"""Number of phases in an interval over which the sessions' idle heartbeats are spread."""

RETIRE_GRACE = 0.3
"""Seconds from asking an entry to send nothing more until its session may end."""


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
        self._losses = LossHistory()
        """Losses of this target's runner, to be reported to entries that connect later."""
        self._pauses = PauseDetector(PAUSE_HEARTBEATS * times.heartbeat)
        self.network_overloaded = False
        """Whether the host's network link is overloaded, so that reports that can wait do."""

    @property
    def runner_status(self) -> RunnerStatus | None:
        """The runner's last status."""
        return self._control.status

    @property
    def idle(self) -> bool:
        """Whether there are no runs."""
        return not len(self._control.table)

    @property
    def runs(self) -> int:
        """Number of runs."""
        return len(self._control.table)

    def echo_age(self, now: float) -> float | None:
        """Return the lower-quartile echo age of held sessions in seconds; None without any.

        Idle sessions are left out, as their leases are not renewed continuously.
        """
        held = (link.session for name, link in self._links.items() if self._is_held(name))
        return lower_quartile_echo_age(now, (session for session in held if session is not None))

    def describe(self, now: float) -> dict[str, object]:
        """Return the state for a dump."""
        control = self._control
        return {
            "runner": str(control.status.runner) if control.status else "",
            "runs": len(control.table),
            "free": control.free(),
            "health": control.health.level(now).name,
            "speed": round(control.health.speed(now), 2),
            "leaving": control.leaving,
            "cold_s": round(control.cold_remaining(now), 2),
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
                    "silent_s": round(now - link.last_received, 2),
                }
                for name, link in self._links.items()
                if link.session
            },
        }

    def may_open(self, entry: str) -> bool:
        """Whether a new session with `entry` may begin: no run of an older one is left."""
        return self._control.foreign_runs_ruled_out and not self._control.table.of_entry(entry)

    def session_names(self) -> set[str]:
        """Return the entries with an open session."""
        return {name for name, link in self._links.items() if link.session is not None}

    def held_names(self) -> set[str]:
        """Return the entries whose session is held (see `EntryLink`)."""
        return {name for name in self._links if self._is_held(name)}

    def session(self, entry: str) -> Session | None:
        """Return the session with an entry, if there is one."""
        link = self._links.get(entry)
        return link.session if link else None

    def greeting_answered(self, now: float, hello: Hello, greeted_at: float) -> list[Effect]:
        """Open or resume a session, as an entry has answered the Hello sent at `greeted_at`.

        Nothing is opened if the session that this Hello named has ended since.
        """
        self._queue_losses_and_ends(now)
        link = self._links.setdefault(hello.name, EntryLink())
        if link.has_ended(hello.incarnation, hello.session):
            return [note("session_over", entry=hello.name, session=hello.session)]
        session = link.session
        if session is not None and link.is_current(hello.incarnation, hello.session):
            session.resume(hello.received)
            link.connected(now)
            return [note("session_resumed", entry=hello.name)]
        effects = self._end_session(now, hello.name, "replaced") if session else []
        session = Session(hello.session, int(greeted_at * 1000))
        link.phase = len(self.session_names()) % HEARTBEAT_PHASES / HEARTBEAT_PHASES
        link.open(now, hello.incarnation, session)
        for loss in self._losses.export(now):
            session.send(loss)
        fields: dict[str, str | int | float] = {"entry": hello.name, "session": hello.session}
        return [*effects, note("session_opened", **fields)]

    def session_lease_left(self, now: float, entry: str) -> float:
        """Return the remaining seconds of a session's lease; 0 or less if it has ended."""
        session = self.session(entry)
        return 0.0 if session is None else session.confirmed_ms / 1000 + self._times.session - now

    def session_refused(self, now: float, entry: str) -> list[Effect]:
        """End the session that an entry refuses to continue."""
        return self._end_session(now, entry, "refused") if self.session(entry) else []

    def frame_received(self, now: float, entry: str, frame: Frame) -> list[Effect]:
        """Handle a frame from an entry; drop it if there is no session.

        Runs start after the whole frame is handled, as it may withdraw what it assigns.
        """
        link = self._links.get(entry)
        if link is None or link.session is None or link.session.has_gap_before(frame):
            return []
        bodies = link.session.accept(frame)
        if self._has_expired(now, entry):
            return self._end_session(now, entry, "silent")
        link.last_received = now
        effects: list[Effect] = []
        for body in bodies:
            effects += self._handle_body(now, entry, body)
        return effects + self._start_pending(now, entry, link)

    def is_silent(self, now: float, entry: str) -> bool:
        """Whether the connection to an entry is to be replaced, as the entry doesn't answer."""
        link = self._links.get(entry)
        if link is None or link.session is None:
            return True
        return link.is_silent(now, self._times, held=self._is_held(entry))

    def probe(self) -> None:
        """Make heartbeats to all entries due at once, as a connection has become silent."""
        for link in self._links.values():
            link.probe()

    def seconds_silent(self, now: float, entry: str) -> float:
        """Return the seconds since the last frame from an entry."""
        link = self._links.get(entry)
        return now - link.last_received if link else 0.0

    def next_frame(self, now: float, entry: str, *, heartbeat_allowed: bool) -> Frame | None:
        """Return the frame that is due to an entry, or None if there is none."""
        link = self._links.get(entry)
        if link is None:
            return None
        return link.next_frame(
            now, self._times, held=self._is_held(entry), heartbeat_allowed=heartbeat_allowed
        )

    def classify(self, status: RunnerStatus) -> HeartbeatClass:
        """Return how a heartbeat relates to the runner's current incarnation."""
        return self._control.incarnations.classify(status)

    @property
    def incarnation(self) -> RunnerIncarnation | None:
        """The runner's current incarnation."""
        return self._control.incarnations.current

    @property
    def incarnation_changes(self) -> int:
        """Number of times `incarnation` was replaced or ended, not counting a learnt start time."""
        return self._control.incarnations.changes

    def incarnation_denied(self, incarnation: RunnerIncarnation) -> None:
        """Record that the runner denied being this incarnation: it has ended or may start later."""
        self._control.incarnations.deny(incarnation)

    def heartbeat_received(self, now: float, status: RunnerStatus) -> list[Effect]:
        """Handle a heartbeat of the runner."""
        return self._control.heartbeat_received(now, status)

    def runner_deregistered(self, now: float, incarnation: RunnerIncarnation) -> list[Effect]:
        """Handle the runner's notice that it is about to end: stop its runs, and start no more."""
        return self._control.runner_deregistered(now, incarnation)

    def next_poll(self, now: float) -> Poll:
        """Return the poll to send to the runner now, and count it as sent.

        It renews the runner's lease while there are runs and a session's lease is in force.
        """
        return self._control.next_poll(now, renew=self._any_needs_lease(now))

    def poll_answered(self, now: float, answer: PollAnswer) -> list[Effect]:
        """Handle the runner's lists of running and finished runs."""
        return self._control.poll_answered(now, answer)

    def poll_failed(self, now: float, *, other_incarnation: bool = False) -> list[Effect]:
        """Handle a poll without an answer, or one that another incarnation answered."""
        return self._control.poll_failed(now, other_incarnation=other_incarnation)

    def may_send(self, now: float, id_: RunId, entry: str) -> bool:
        """Whether an order to start may still be sent; to be checked right before sending it.

        Since the decision, the caller may have left, the session may have ended, or the data hall
        may have been evacuated.
        """
        link = self._links.get(entry)
        if link is None or not link.is_confirmed(now, self._times):
            return False
        return self._control.may_send(id_)

    def start_answered(self, now: float, id_: RunId, answer: StartAnswer) -> list[Effect]:
        """Handle the outcome of an order to start."""
        return self._control.start_answered(now, id_, answer)

    def stop_answered(self, now: float, id_: RunId, *, done: bool) -> list[Effect]:
        """Handle the outcome of an order to stop; an unanswered one is sent again."""
        return self._control.stop_answered(now, id_, done=done)

    def suspended(self, seconds: float) -> list[Effect]:
        """Handle a suspension of the host, and maybe of the runner, for some seconds.

        Deadlines of earlier decisions stay. The runner's lease may not have run down meanwhile, so
        its end is assumed that much later, and the time doesn't count as lack of progress.
        """
        self._control.runner_paused(seconds)
        return [note("host_suspended", seconds=round(seconds, 3), runs=self.runs)]

    def tick(self, now: float) -> list[Effect]:
        """End sessions whose lease has ended, start pending runs, and check the running ones."""
        effects = self._log_pause(now)
        for name, link in self._links.items():
            if link.session is not None and self._has_expired(now, name):
                effects += self._end_session(now, name, "silent")
            effects += self._start_pending(now, name, link)
        return effects + self._control.tick(now)

    def leave(self, now: float) -> list[Effect]:
        """Start no more runs."""
        self._control.leave()
        return [note("leaving", runs=self.runs)]

    def retire(self, now: float, preferred: set[str]) -> list[Effect]:
        """End the sessions with entries that are not `preferred`, once they have no runs here."""
        effects: list[Effect] = []
        for name, link in self._links.items():
            if link.session is None or name in preferred:
                link.retiring_since = None
            elif link.retiring_since is None:
                link.retiring_since = now
            elif now > link.retiring_since + RETIRE_GRACE and not self._has_work(name):
                effects += self._end_session(now, name, "other_entries_preferred")
        return effects

    def prepare_frames(self, now: float) -> float | None:
        """Queue due ends and reports in the sessions; return when the next is due, or None."""
        self._queue_losses_and_ends(now)
        return self._reporter.prepare(now, self._links, network_overloaded=self.network_overloaded)

    def _log_pause(self, now: float) -> list[Effect]:
        """Log a pause of this process; decisions made before it may be outdated."""
        seconds = self._pauses.observe(now)
        return [note("stood_still", seconds=round(seconds, 2), runs=self.runs)] if seconds else []

    def _has_work(self, entry: str) -> bool:
        """Whether an entry has runs, or pending ones."""
        return self._control.table.has_entry(entry) or bool(self._links[entry].pending)

    def _is_held(self, entry: str) -> bool:
        link = self._links[entry]
        return link.is_held(has_runs=self._control.table.has_entry(entry))

    def _has_expired(self, now: float, entry: str) -> bool:
        has_runs = self._control.table.has_entry(entry)
        return self._links[entry].has_expired(now, self._times, has_runs=has_runs)

    def _any_needs_lease(self, now: float) -> bool:
        return not self.idle and any(
            link.is_confirmed(now, self._times) for link in self._links.values()
        )

    def _end_session(self, now: float, entry: str, reason: str) -> list[Effect]:
        link = self._links[entry]
        ended_at = now + min(0.0, self.session_lease_left(now, entry))
        self._queue_losses_and_ends(now)
        link.close()
        self._offers.drop(entry)
        effects: list[Effect] = []
        runs = self._control.table.of_entry(entry)
        for run in runs:
            effects += self._control.cancel(now, run, "session_ended", ended_at)
        fields: dict[str, str | int | float] = {"entry": entry, "reason": reason, "runs": len(runs)}
        return [note("session_ended", **fields), *effects]

    def _handle_body(self, now: float, entry: str, body: Body) -> list[Effect]:
        match body:
            case Assign():
                self._offers.drop(entry)
                self._assign(now, entry, body)
            case DeclineOffer():
                self._offers.drop(entry)
            case EvacuationUpdate():
                return self._update_evacuations(entry, body)
            case ResourceRequest():
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

    def _update_evacuations(self, entry: str, update: EvacuationUpdate) -> list[Effect]:
        """Adopt an entry's list of evacuated halls, or send it a newer one."""
        evacuations = self._control.evacuations
        if evacuations.supersedes(update.evacuated):
            session = self.session(entry)
            if session is not None:
                session.send(EvacuationUpdate(evacuations.known))
            return []
        if not evacuations.learn(update.evacuated):
            return []
        return [evacuation_log(evacuations, entry)]

    def _assign(self, now: float, entry: str, body: Assign) -> None:
        """Add the assigned runs to the pending ones; report excess ones as not started."""
        link = self._links[entry]
        link.report_due = True
        runs = [_run(now, entry, body, index, number) for index, number in body.runs]
        excess = link.assign(now, self._times, runs)
        link.ends += [(run.id, End.NOT_STARTED) for run in excess]

    def _start_pending(self, now: float, entry: str, link: EntryLink) -> list[Effect]:
        """Start pending runs if the session's lease is in force.

        Those that can't start here or waited too long are reported as not started.
        """
        if not link.pending:
            return []
        control = self._control
        runs, stale = link.take_confirmed(now, self._times)
        accepts = control.state() is RunnerState.READY and control.level is not Health.SICK
        # A known run of the task is from an earlier attempt at the job and is being stopped.
        new = [run for run in runs if accepts and not control.table.has_task(run.id.task)]
        not_started = [run for run in runs if run not in new] + stale
        link.ends += [(run.id, End.NOT_STARTED) for run in not_started]
        effects = control.add(now, new)
        if stale:
            fields: dict[str, str | int | float] = {"entry": entry, "runs": len(stale)}
            return [*effects, note("assignment_unconfirmed", **fields)]
        return effects

    def _queue_losses_and_ends(self, now: float) -> None:
        """Queue the runner's losses for all entries, and the ends of runs for the entry of each."""
        for update in self._control.losses.take_updates():
            self._losses.apply(now, update)
            for other in self._links.values():
                if other.session is not None:
                    other.session.send(update)
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
