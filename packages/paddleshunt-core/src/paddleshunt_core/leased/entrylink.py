"""A target's state for one entry: the session, the runs to start and the messages to send.

A session is *held* while a run of the entry is pending, running, or has ended without the entry's
acknowledgement; otherwise it is *idle*. Heartbeats keep the lease of a held session alive. The
lease of an idle session expires; runs assigned after that are *pending* until the entry echoes a
new stamp.
"""

from dataclasses import dataclass, field
from typing import final

from paddleshunt_core.leased.bounds import LeaseTimes
from paddleshunt_core.leased.runtable import Run
from paddleshunt_core.leased.session import Session
from paddleshunt_core.leased.wire import End, Ended, Frame, RunId, RunnerReport

MIN_REPORT_INTERVAL = 0.03
"""Minimum seconds between two reports to an entry, except for reports sent with ends of runs."""

MIN_IDLE_REPORT_INTERVAL = 0.25
"""The same in an idle session, if free resources stay plentiful, or stay scarce."""

MAX_PENDING = 256
"""Maximum number of pending runs of one entry: more than fit on a runner."""


@final
@dataclass(slots=True)
class EntryLink:
    """One entry's incarnation and the session with it. Times are steady seconds."""

    incarnation: str = ""
    session: Session | None = None
    ends: list[tuple[RunId, End]] = field(default_factory=list)
    report_due: bool = True
    """Whether to send a report even if unchanged, as it also accounts for received messages."""
    reported_at: float = float("-inf")
    """When the last report was queued."""
    plentiful: bool = False
    """Whether resources were plentiful in the last report."""
    report: RunnerReport | None = None
    """The last report in this session."""
    retiring_since: float | None = None
    """When the session began to close in favour of other entries; None if it did not."""
    pending: list[tuple[Run, float]] = field(default_factory=list)
    """Runs to start once the lease is confirmed, each with its latest start time."""
    last_received: float = 0.0
    """When the last frame of the entry was received, or its connection opened."""
    phase: float = 0.0
    """Fraction of the idle heartbeat interval by which the first heartbeat is sent early.

    It spreads the heartbeats over the links: connections often fail together, and the first
    unanswered heartbeat makes the target probe all of them.
    """
    _last_heartbeat: float = float("-inf")
    """When the last frame was sent that the entry must answer."""
    _advance: float = 0.0
    """Seconds by which the next idle heartbeat is sent early."""
    _stamp_due: bool = False
    """Whether to send a stamp at once, to confirm the lease for pending runs."""
    _newest_session: int = 0
    """Number of the newest session with this incarnation of the entry; numbers increase."""
    _last_ends_number: int = 0
    """Number of the last body that reported ends of runs."""

    def open(self, now: float, incarnation: str, session: Session) -> None:
        """Start a new session, discarding any earlier one."""
        self.incarnation = incarnation
        self.session = session
        self._newest_session = session.number
        self._last_ends_number = 0
        self.connected(now)

    def is_current(self, incarnation: str, number: int) -> bool:
        """Whether this is the open session."""
        return (
            self.session is not None
            and self.incarnation == incarnation
            and self.session.number == number
        )

    def has_ended(self, incarnation: str, number: int) -> bool:
        """Whether this session is over, though its entry may still try to resume it."""
        known = self.incarnation == incarnation and number <= self._newest_session
        return known and not self.is_current(incarnation, number)

    def connected(self, now: float) -> None:
        """Handle a new connection: frames sent over an earlier one may be lost."""
        self.last_received = now
        self.retiring_since = None
        self.report_due = True
        self._last_heartbeat = float("-inf")

    def probe(self) -> None:
        """Make a heartbeat due at once, unless one is unanswered."""
        if self.last_received >= self._last_heartbeat:
            self._last_heartbeat = float("-inf")

    def close(self) -> None:
        """Close the session; its pending runs never start."""
        self.session = None
        self.ends = []
        self.pending = []
        self._stamp_due = False

    def is_held(self, *, has_runs: bool) -> bool:
        """Whether the session is held."""
        return has_runs or bool(self.pending or self.ends) or self._has_unacknowledged_ends()

    def _has_unacknowledged_ends(self) -> bool:
        return self.session is not None and self._last_ends_number > self.session.acknowledged

    def is_confirmed(self, now: float, times: LeaseTimes) -> bool:
        """Whether the session's lease is valid, so that runs may start and continue."""
        return self.lease_left(now, times) >= 0.0

    def lease_left(self, now: float, times: LeaseTimes) -> float:
        """Return the remaining seconds of the lease; negative if it has expired."""
        if self.session is None:
            return float("-inf")
        return (self.session.confirmed_ms + times.session * 1000 - now * 1000) / 1000

    def assign(self, now: float, times: LeaseTimes, runs: list[Run]) -> list[Run]:
        """Add runs to the pending ones; return those beyond `MAX_PENDING`."""
        capacity = MAX_PENDING - len(self.pending)
        until = now + times.confirm_timeout
        self.pending += [(run, min(until, run.expires)) for run in runs[:capacity]]
        self._stamp_due = True
        return runs[capacity:]

    def withdraw(self, runs: list[RunId]) -> None:
        """Remove stopped runs from the pending ones."""
        self.pending = [item for item in self.pending if item[0].id not in runs]

    def take_confirmed(self, now: float, times: LeaseTimes) -> tuple[list[Run], list[Run]]:
        """Remove and return the pending runs that may start now, and those that waited too long.

        None may start under a lease that would expire before a heartbeat can renew it.
        """
        stale = [run for run, until in self.pending if now > until]
        waiting = [item for item in self.pending if now <= item[1]]
        if self.lease_left(now, times) < times.heartbeat:
            self.pending = waiting
            return [], stale
        self.pending = []
        self._stamp_due = False
        return [run for run, _ in waiting], stale

    def next_frame(
        self, now: float, times: LeaseTimes, *, held: bool, heartbeat_allowed: bool
    ) -> Frame | None:
        """Return the frame that is due, or None if there is none."""
        session = self.session
        if session is None:
            return None
        interval = times.heartbeat if held else times.idle_heartbeat - self._advance
        due = heartbeat_allowed and now > self._last_heartbeat + interval - times.heartbeat / 2
        if not (due or self._stamp_due or session.pending):
            return None
        # In an idle session the entry answers only heartbeats reliably.
        if due or held:
            first = self._last_heartbeat == float("-inf")
            self._advance = self.phase * times.idle_heartbeat if first else 0.0
            self._last_heartbeat = now
        self._stamp_due = False
        return session.frame(int(now * 1000))

    def send_ends(self) -> None:
        """Queue the unsent ends of runs in the session."""
        if self.ends and self.session is not None:
            self._last_ends_number = self.session.send(Ended(self.ends))
            self.ends = []

    def send_report(self, now: float, report: RunnerReport, *, plentiful: bool) -> None:
        """Queue a report in the session."""
        if self.session is not None:
            self.session.send(report)
            self.report = report
            self.report_due = False
            self.reported_at = now
            self.plentiful = plentiful

    def min_report_interval(
        self, times: LeaseTimes, report: RunnerReport, *, plentiful: bool, held: bool
    ) -> float:
        """Return the minimum seconds between the last report and this one."""
        last = self.report
        if not held and last is not None:
            if (last.state, last.health) != (report.state, report.health):
                return 0.0
            if plentiful == self.plentiful:
                return MIN_IDLE_REPORT_INTERVAL
        return times.heartbeat if plentiful and self.plentiful else MIN_REPORT_INTERVAL

    def is_silent(self, now: float, times: LeaseTimes, *, held: bool) -> bool:
        """Whether to reconnect, as a heartbeat has been unanswered for too long."""
        if held:
            return now > self.last_received + times.reconnect_after
        answered = self.last_received > self._last_heartbeat - times.min_idle_reply_interval
        return not answered and now > self._last_heartbeat + times.reconnect_after

    def has_expired(self, now: float, times: LeaseTimes, *, has_runs: bool) -> bool:
        """Whether the session is over: its lease expired or, without runs, the entry was silent."""
        if has_runs:
            return not self.is_confirmed(now, times)
        return now > self.last_received + times.idle_session
