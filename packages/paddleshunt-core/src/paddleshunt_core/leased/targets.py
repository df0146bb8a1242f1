"""What an entry knows of each target: its session, its last report, and what is on its way."""

from collections import deque
from dataclasses import dataclass, field
from typing import final

from paddleshunt_core.leased.bounds import LeaseTimes
from paddleshunt_core.leased.resources import NOTHING, Resources
from paddleshunt_core.leased.runnerlife import RunnerLife
from paddleshunt_core.leased.session import Session
from paddleshunt_core.leased.wire import Frame, Health, RunId, RunnerReport, RunnerState

DEVIATION_STEP = 0.05
"""Weight of one end in a target's deviation from its kind: about the last 20 ends count."""

DEVIATION_LIMITS = (0.5, 3.0)
"""Bounds of what one end may say of a deviation; beyond, the runner's health decides."""

DEVIATION_SECONDS = 60.0
"""Seconds in which a deviation fades to a third: a slow spell ends, and nobody tells of it."""


@final
@dataclass(slots=True)
class TargetRecord:
    """One target. `held` are the runs whose fate is not known since its session ended."""

    name: str
    hall: str
    life: str
    session: Session | None = None
    connected: bool = False
    last_received: float = 0.0
    lost_at: float = 0.0
    """When nothing of an ended session can run there any more."""
    report: RunnerReport | None = None
    reported_at: float = 0.0
    unseen: deque[tuple[int, Resources]] = field(default_factory=deque)
    """Needs of assignments that the last report doesn't cover, by their number."""
    on_way: Resources = NOTHING
    """Sum of what was promised to tasks that the last report doesn't cover."""
    placed: set[RunId] = field(default_factory=set)
    held: set[RunId] = field(default_factory=set)
    backoff: float = 0.0
    """Until when nothing is sent there, as it gave a task back."""
    deviation: float = 1.0
    """How many times as long its runner's tasks take as its kind's usually do."""
    kind_factor: float = 1.0
    """How many times as long as expected tasks take on its runner's kind of host."""
    told_want: str = ""
    """Key of the waiting job that it was told of last; empty if it has none to go by."""
    told_need: Resources = NOTHING
    told_at: float = 0.0
    held_since: float = 0.0
    """When it was given work last while it had none of this entry."""
    asked: float | None = None
    """Since when it is to confirm that it lives, as it was given work while its lease was over."""
    answered_in: float = 0.0
    """Seconds in which it last did so."""
    unanswered: bool = False
    """Whether it did not, and has said nothing since."""
    cold_until: float = 0.0
    """When its runner was, or will be, warm after its start."""

    runner: RunnerLife | None = None
    """The life of its runner that reported last."""

    def take_report(self, now: float, report: RunnerReport) -> None:
        """Adopt a report; another life of the runner has yet to show how it differs."""
        if self.runner != report.life:
            self.deviation = 1.0
            self.runner = report.life
        # One that says it is warm stays known to have been cold until now, at the latest.
        cold_until = now + report.cold_ms / 1000
        self.cold_until = cold_until if report.cold_ms else min(self.cold_until, now)
        self.report = report
        self.reported_at = now

    def reset(self) -> None:
        """Forget what a session that has ended told, and what it was sent."""
        self.report = None
        self.asked = None
        self.told_want = ""
        self.unseen.clear()
        self.on_way = NOTHING

    def reserve(self, need: Resources) -> None:
        """Count a task's need as on its way; `assigned` follows once the message has a number."""
        self.on_way += need

    def assigned(self, number: int, need: Resources, tasks: int) -> None:
        """Note the number of the message that carries reserved tasks."""
        self.unseen.extend((number, need) for _ in range(tasks))
        self.told_want = ""

    def covered(self, frame: Frame) -> None:
        """Forget the assignments that a report in `frame` covers."""
        while self.unseen and self.unseen[0][0] <= frame.received:
            _, need = self.unseen.popleft()
            self.on_way -= need

    @property
    def slowness(self) -> float:
        """How many times as long as expected its runner's tasks take."""
        return self.kind_factor * self.deviation

    def observe_duration_ratio(self, ratio: float, weight: float = 1.0) -> None:
        """Note that a task took `ratio` times as long as was expected of this runner."""
        least, most = DEVIATION_LIMITS
        shown = min(most, max(least, ratio * self.deviation))
        self.deviation += DEVIATION_STEP * weight * (shown - self.deviation)

    def decay_deviation(self, seconds: float) -> None:
        """Let the deviation fade by the passing of so many seconds."""
        self.deviation += (1.0 - self.deviation) * min(1.0, seconds / DEVIATION_SECONDS)

    def place(self, now: float, run: RunId) -> None:
        """Note that a run is on its way there."""
        if not self.placed:
            self.held_since = now
        self.placed.add(run)

    def spoke(self, now: float) -> None:
        """Note that it said something."""
        self.last_received = now
        self.unanswered = False
        if self.asked is not None:
            self.answered_in = now - self.asked
            self.asked = None

    def is_fresh(self, now: float, times: LeaseTimes) -> bool:
        """Whether its last word is as new as it should be, over a connection that stands."""
        if not self.connected or self.unanswered:
            return False
        if self.asked is not None:
            return True
        silence = now - max(self.last_received, self.held_since)
        return silence <= (times.fresh if self.placed else times.idle_fresh)

    def is_silent(self, now: float, times: LeaseTimes) -> bool:
        """Whether it has said nothing for so long that its session is over."""
        if self.placed:
            return now >= max(self.last_received, self.held_since) + times.session
        return now >= self.last_received + times.idle_session

    def may_have_started(self, times: LeaseTimes, placed_at: float) -> bool:
        """Whether what was placed there at a time may have been started.

        If the lease was over when it was placed, it starts only by an echo that is sent later.
        """
        if self.session is None:
            return True
        return placed_at <= self.session.renewed_ms / 1000 + times.lapse

    def can_accept(self, now: float, service: str, times: LeaseTimes) -> bool:
        """Whether tasks of `service` may be sent there."""
        report = self.report
        return (
            report is not None
            and self.session is not None
            and report.service == service
            and report.state is RunnerState.READY
            and report.health is not Health.SICK
            and now >= self.backoff
            and self.is_fresh(now, times)
        )

    def describe(self, now: float) -> dict[str, object]:
        """Return a summary for a dump."""
        return {
            "session": self.session.number if self.session else 0,
            "silent_s": round(now - self.last_received, 2),
            "report": self.report,
            "placed": len(self.placed),
            "held": len(self.held),
            "asked_ms": round((now - self.asked) * 1000) if self.asked else 0,
            "answered": not self.unanswered,
            "deviation": round(self.deviation, 2),
        }

    @property
    def free(self) -> Resources:
        """Room there, less what is on its way."""
        if self.report is None:
            return NOTHING
        return self.report.free - self.on_way

    def could_run(self, need: Resources) -> bool:
        """Whether the runner is large enough for a task."""
        return self.report is not None and need.fits(self.report.capacity)

    def has_label(self, label: str) -> bool:
        """Whether the runner's host is of a kind, or stands in a rack."""
        return self.report is not None and label in self.report.labels

    @property
    def load(self) -> float:
        """Share of its capacity that is in use, runs on their way included."""
        if self.report is None:
            return 1.0
        return (self.report.capacity - self.free).share_of(self.report.capacity)

    def is_cold(self, now: float) -> bool:
        """Whether its runner is slow after its start, or was at an earlier `now`."""
        return now < self.cold_until

    @property
    def on_probation(self) -> bool:
        """Whether it may have one task to prove itself with."""
        return self.report is not None and self.report.health is Health.PROBATION
