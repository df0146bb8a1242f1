"""An entry's record of each target: its session, its last report, and assignments in transit."""

from collections import deque
from dataclasses import dataclass, field
from typing import final

from paddleshunt_core.leased.bounds import LeaseTimes
from paddleshunt_core.leased.resources import NO_RESOURCES, Resources
from paddleshunt_core.leased.runnerincarnation import RunnerIncarnation
from paddleshunt_core.leased.session import Session
from paddleshunt_core.leased.wire import Frame, Health, RunId, RunnerReport, RunnerState

DEVIATION_STEP = 0.05
"""Weight of one completion in a target's deviation, a moving average over about the last 20."""

DEVIATION_LIMITS = (0.5, 3.0)
"""Limits to which one observed deviation is clamped; beyond, the runner's health decides."""

DEVIATION_SECONDS = 60.0
"""Time constant of the decay of a deviation, so that an idle target recovers from a slow spell."""


@final
@dataclass(slots=True)
class TargetRecord:
    """One target. `held` are runs of its ended session that may still be running."""

    name: str
    hall: str
    incarnation: str
    session: Session | None = None
    connected: bool = False
    last_received: float = 0.0
    leases_end_at: float = 0.0
    """When the leases of its ended session are over, so that none of its runs can still run."""
    report: RunnerReport | None = None
    reported_at: float = 0.0
    unreported: deque[tuple[int, Resources]] = field(default_factory=deque)
    """Message number and resources of each assigned task that the last report doesn't cover."""
    in_transit: Resources = NO_RESOURCES
    """Total resources of tasks that the last report doesn't cover."""
    placed: set[RunId] = field(default_factory=set)
    held: set[RunId] = field(default_factory=set)
    backoff_until: float = 0.0
    """When tasks may be sent to it again after one that it could not start."""
    deviation: float = 1.0
    """Duration of its runner's tasks relative to other runners on its kind of host."""
    kind_factor: float = 1.0
    """Duration of tasks on its runner's kind of host relative to their expected length."""
    request_key: str = ""
    """Key of the job for which it was last sent a resource request; empty if none is in force."""
    request_need: Resources = NO_RESOURCES
    """Resources of that request."""
    request_sent_at: float = 0.0
    """When that request was sent."""
    busy_since: float = 0.0
    """When it was last sent a run while it had none of this entry."""
    asked_at: float | None = None
    """Since when it must confirm that it lives; None if it need not."""
    confirmation_seconds: float = 0.0
    """Seconds that its last confirmation took."""
    unconfirmed: bool = False
    """Whether it failed to confirm that it lives, and no message has come from it since."""
    cold_until: float = 0.0
    """When its runner was, or will be, warm after its start."""

    runner_incarnation: RunnerIncarnation | None = None
    """The incarnation of its runner that reported last."""

    def update_report(self, now: float, report: RunnerReport) -> None:
        """Adopt a report; reset the deviation if it is from another incarnation of the runner."""
        if self.runner_incarnation != report.incarnation:
            self.deviation = 1.0
            self.runner_incarnation = report.incarnation
        # A runner that reports it is warm counts as having been cold until now at the latest.
        cold_until = now + report.cold_ms / 1000
        self.cold_until = cold_until if report.cold_ms else min(self.cold_until, now)
        self.report = report
        self.reported_at = now

    def reset(self) -> None:
        """Clear the state that belongs to an ended session."""
        self.report = None
        self.asked_at = None
        self.request_key = ""
        self.unreported.clear()
        self.in_transit = NO_RESOURCES

    def reserve(self, need: Resources) -> None:
        """Count a task's need as in transit; `record_assignment` follows once it is sent."""
        self.in_transit += need

    def record_assignment(self, number: int, need: Resources, tasks: int) -> None:
        """Record the number of the message that assigns `tasks` reserved tasks."""
        self.unreported.extend((number, need) for _ in range(tasks))
        self.request_key = ""

    def drop_covered(self, frame: Frame) -> None:
        """Drop the assignments that the target had received before it sent `frame`."""
        while self.unreported and self.unreported[0][0] <= frame.received:
            _, need = self.unreported.popleft()
            self.in_transit -= need

    @property
    def slowness(self) -> float:
        """Duration of tasks on its runner relative to their expected length."""
        return self.kind_factor * self.deviation

    def observe_duration_ratio(self, ratio: float, weight: float = 1.0) -> None:
        """Update the deviation after a task took `ratio` times as long as expected here."""
        least, most = DEVIATION_LIMITS
        observed = min(most, max(least, ratio * self.deviation))
        self.deviation += DEVIATION_STEP * weight * (observed - self.deviation)

    def decay_deviation(self, seconds: float) -> None:
        """Move the deviation back towards 1 after so many seconds."""
        self.deviation += (1.0 - self.deviation) * min(1.0, seconds / DEVIATION_SECONDS)

    def record_run(self, now: float, run: RunId) -> None:
        """Record a run as placed on the target."""
        if not self.placed:
            self.busy_since = now
        self.placed.add(run)

    def record_contact(self, now: float) -> None:
        """Record that a message of the target has come, which also confirms that it lives."""
        self.last_received = now
        self.unconfirmed = False
        if self.asked_at is not None:
            self.confirmation_seconds = now - self.asked_at
            self.asked_at = None

    def is_fresh(self, now: float, times: LeaseTimes) -> bool:
        """Whether it is connected and its last message is recent enough to send it tasks."""
        if not self.connected or self.unconfirmed:
            return False
        if self.asked_at is not None:
            return True
        silence = now - max(self.last_received, self.busy_since)
        return silence <= (times.max_silence if self.placed else times.max_idle_silence)

    def is_silent(self, now: float, times: LeaseTimes) -> bool:
        """Whether no message has come for so long that its session is over."""
        if self.placed:
            return now >= max(self.last_received, self.busy_since) + times.session
        return now >= self.last_received + times.idle_session

    def may_have_started(self, times: LeaseTimes, placed_at: float) -> bool:
        """Whether a run that was placed at `placed_at` may have started.

        If the target's lease was over by then, the run starts only after a later echo.
        """
        if self.session is None:
            return True
        return placed_at <= self.session.renewed_ms / 1000 + times.echo_expiry

    def can_accept(self, now: float, service: str, times: LeaseTimes) -> bool:
        """Whether tasks of `service` may be sent there."""
        report = self.report
        return (
            report is not None
            and self.session is not None
            and report.service == service
            and report.state is RunnerState.READY
            and report.health is not Health.SICK
            and now >= self.backoff_until
            and self.is_fresh(now, times)
        )

    def describe(self, now: float) -> dict[str, object]:
        """Return a summary for the state dump."""
        return {
            "session": self.session.number if self.session else 0,
            "silent_s": round(now - self.last_received, 2),
            "report": self.report,
            "placed": len(self.placed),
            "held": len(self.held),
            "asked_ms": round((now - self.asked_at) * 1000) if self.asked_at else 0,
            "answered": not self.unconfirmed,
            "deviation": round(self.deviation, 2),
        }

    @property
    def free(self) -> Resources:
        """Free resources of the last report, less those in transit."""
        if self.report is None:
            return NO_RESOURCES
        return self.report.free - self.in_transit

    def could_run(self, need: Resources) -> bool:
        """Whether the runner's total capacity is large enough for a task."""
        return self.report is not None and need.fits(self.report.capacity)

    def has_label(self, label: str) -> bool:
        """Whether the runner's host has a label, which names its kind or its rack."""
        return self.report is not None and label in self.report.labels

    @property
    def load(self) -> float:
        """Share of its capacity that is in use, including runs in transit."""
        if self.report is None:
            return 1.0
        return (self.report.capacity - self.free).share_of(self.report.capacity)

    def is_cold(self, now: float) -> bool:
        """Whether its runner was still slow after its start at `now`, which may be in the past."""
        return now < self.cold_until

    @property
    def on_probation(self) -> bool:
        """Whether its runner is on probation, and may have one task at a time."""
        return self.report is not None and self.report.health is Health.PROBATION
