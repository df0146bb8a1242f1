"""One entry as a target knows it: the session with it, and what is to be told and started.

A session is *held* while something runs for the entry, is to start, or has ended and the entry may
not know it yet; otherwise it is *idle*. A held one is kept alive by heartbeats; the lease of an
idle one runs out, and what is assigned in it then is *pending* until the entry echoes a stamp anew.
"""

from dataclasses import dataclass, field
from typing import final

from paddleshunt_core.leased.bounds import LeaseTimes
from paddleshunt_core.leased.runtable import Run
from paddleshunt_core.leased.session import Session
from paddleshunt_core.leased.wire import End, Ended, Frame, RunId, RunnerReport

REPORT_SECONDS = 0.03
"""Shortest time between two reports to an entry, but for those that come with an end of a run."""

IDLE_REPORT_SECONDS = 0.25
"""The same in an idle session, for changes of room that leave it as plenty or as scarce."""

MAX_PENDING = 256
"""Runs of one entry that may be pending: more than fit on a runner."""


@final
@dataclass(slots=True)
class EntryLink:
    """One entry: its life and the session with it. Times are steady seconds."""

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
    pending: list[tuple[Run, float]] = field(default_factory=list)
    """Runs to start once the lease is confirmed, and until when each may be."""
    last_received: float = 0.0
    """When the entry last said something."""
    phase: float = 0.0
    """Part of the time between two idle heartbeats by which the first comes sooner.

    Connections often fall silent together; the first heartbeat without an answer tells for all.
    """
    _beat: float = float("-inf")
    """When a frame last left that the entry answers."""
    _sooner: float = 0.0
    """Seconds by which the next idle heartbeat comes sooner."""
    _asking: bool = False
    """Whether a stamp is to leave at once, as something is pending."""
    _newest: int = 0
    """Number of the newest session with this life of the entry; its numbers rise."""
    _last_end: int = 0
    """Number of the last message in which ends were told."""

    def open(self, now: float, life: str, session: Session) -> None:
        """Begin a session; nothing of an earlier one is left."""
        self.life = life
        self.session = session
        self._newest = session.number
        self._last_end = 0
        self.connected(now)

    def is_current(self, life: str, number: int) -> bool:
        """Whether this is the session that is open."""
        return self.session is not None and self.life == life and self.session.number == number

    def has_ended(self, life: str, number: int) -> bool:
        """Whether this session is over: its entry may go on with it if it was greeted before."""
        known = self.life == life and number <= self._newest
        return known and not self.is_current(life, number)

    def connected(self, now: float) -> None:
        """Note that a connection stands anew: what left over an earlier one may be lost."""
        self.last_received = now
        self.retired = None
        self.report_due = True
        self._beat = float("-inf")

    def probe(self) -> None:
        """Let the next heartbeat leave as soon as one may, unless one awaits its answer."""
        if self.last_received >= self._beat:
            self._beat = float("-inf")

    def drop(self) -> None:
        """End the session; what was pending in it never starts."""
        self.session = None
        self.ends = []
        self.pending = []
        self._asking = False

    def is_held(self, *, has_runs: bool) -> bool:
        """Whether the session is held."""
        return has_runs or bool(self.pending or self.ends) or self._owes_end()

    def _owes_end(self) -> bool:
        return self.session is not None and self._last_end > self.session.acknowledged

    def is_confirmed(self, now: float, times: LeaseTimes) -> bool:
        """Whether the session's lease is in force: runs may start, and go on."""
        return self.lease_left(now, times) >= 0.0

    def lease_left(self, now: float, times: LeaseTimes) -> float:
        """Return the seconds that are left of the lease; less than 0 if it is over."""
        if self.session is None:
            return float("-inf")
        return (self.session.confirmed_ms + times.session * 1000 - now * 1000) / 1000

    # What is pending.

    def assign(self, now: float, times: LeaseTimes, runs: list[Run]) -> list[Run]:
        """Keep runs that are to start; return those that are too many."""
        room = MAX_PENDING - len(self.pending)
        until = now + times.pending
        self.pending += [(run, min(until, run.expires)) for run in runs[:room]]
        self._asking = True
        return runs[room:]

    def withdraw(self, runs: list[RunId]) -> None:
        """Drop runs that are not wanted any more from what is pending."""
        self.pending = [item for item in self.pending if item[0].id not in runs]

    def take_confirmed(self, now: float, times: LeaseTimes) -> tuple[list[Run], list[Run]]:
        """Return the pending runs that may start now, and those that have waited too long.

        None starts under a lease that would be over before a heartbeat can renew it.
        """
        stale = [run for run, until in self.pending if now > until]
        waiting = [item for item in self.pending if now <= item[1]]
        if self.lease_left(now, times) < times.heartbeat:
            self.pending = waiting
            return [], stale
        self.pending = []
        self._asking = False
        return [run for run, _ in waiting], stale

    # What is sent.

    def next_frame(self, now: float, times: LeaseTimes, *, held: bool, beat: bool) -> Frame | None:
        """Return the frame that is due; `beat`: heartbeats may be sent now."""
        session = self.session
        if session is None:
            return None
        pause = times.heartbeat if held else times.idle_beat - self._sooner
        due = beat and now > self._beat + pause - times.heartbeat / 2
        if not (due or self._asking or session.pending):
            return None
        # In an idle session only heartbeats are sure to be answered.
        if due or held:
            first = self._beat == float("-inf")
            self._sooner = self.phase * times.idle_beat if first else 0.0
            self._beat = now
        self._asking = False
        return session.frame(int(now * 1000))

    def send_ends(self) -> None:
        """Put the ends that are to be told into the session."""
        if self.ends and self.session is not None:
            self._last_end = self.session.send(Ended(self.ends))
            self.ends = []

    def send_report(self, now: float, report: RunnerReport, *, plenty: bool) -> None:
        """Put a report into the session."""
        if self.session is not None:
            self.session.send(report)
            self.report = report
            self.report_due = False
            self.reported = now
            self.plenty = plenty

    def min_report_interval(
        self, times: LeaseTimes, report: RunnerReport, *, plenty: bool, held: bool
    ) -> float:
        """Return the shortest time from the last report to this one."""
        last = self.report
        if not held and last is not None:
            if (last.state, last.health) != (report.state, report.health):
                return 0.0
            if plenty == self.plenty:
                return IDLE_REPORT_SECONDS
        return times.heartbeat if plenty and self.plenty else REPORT_SECONDS

    # What is heard.

    def is_silent(self, now: float, times: LeaseTimes, *, held: bool) -> bool:
        """Whether the connection is to be made anew: a heartbeat got no answer for too long."""
        if held:
            return now > self.last_received + times.redial
        answered = self.last_received > self._beat - times.idle_reply
        return not answered and now > self._beat + times.redial

    def has_expired(self, now: float, times: LeaseTimes, *, has_runs: bool) -> bool:
        """Whether the session can't go on: what runs in it has lost its lease, or it is silent."""
        if has_runs:
            return not self.is_confirmed(now, times)
        return now > self.last_received + times.idle_session
