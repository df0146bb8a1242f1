"""A home's state for one target: its gate's message numbers, its tasks there and its load."""

from dataclasses import dataclass, field
from typing import final

from paddleshunt_core.ids import Incarnation
from paddleshunt_core.messages import Load, Report, TaskBatch, TaskRefs

TaskKey = tuple[str, int]

FULL_SECONDS = 1.0
"""Maximum seconds for which a home waits, after a refusal, for a report of free slots."""

UNRESPONSIVE_SECONDS = 0.3
"""Seconds without an answer to an inquiry after which a gate gets no new tasks."""

LOAD_MEMORY = 0.5
"""Seconds after which the reported load of other homes is ignored: a typical task's length."""


@final
@dataclass(slots=True)
class Outstanding:
    """A task sent to a gate: the message's number, the time, and the last inquiry's time."""

    seq: int
    sent: float
    asked: float
    wait: float = 0.0
    """Seconds between inquiries about the task; 0 before the first."""
    started: bool = False


@final
@dataclass(slots=True, eq=False)
class Link:
    """A home's side of the exchange with one gate. Times are in the home's seconds."""

    incarnation: Incarnation
    address: str
    site: str
    load: Load
    load_at: float
    clock_ahead: float
    """The gate's clock minus the home's, in seconds, by the last message."""
    suspect: bool = False
    leaving: bool = False
    last_report: int = 0
    acked: int = 0
    inquiry: int = 0
    """Number of the inquiry to be answered before reports are acknowledged again; 0 if none."""
    asked_at: float | None = None
    """When the first inquiry since the gate's last report was sent; None if none was."""
    gap: bool = False
    """Whether a report before the last one is missing."""
    own_in_load: int = 0
    """Tasks of this home in the last reported load."""
    last_sent: float = 0.0
    seen_seq: int = 0
    """Highest number of this home's messages that the gate has reported as seen."""
    full_until: float = 0.0
    """Time until which nothing is sent after a refusal, unless the gate reports free slots."""
    outstanding: dict[TaskKey, Outstanding] = field(default_factory=dict)
    batches: dict[str, TaskBatch] = field(default_factory=dict)

    def describe(self) -> dict[str, object]:
        """Return a summary of the state for a dump."""
        return {
            "site": self.site,
            "suspect": self.suspect,
            "leaving": self.leaving,
            "load": self.load,
            "outstanding": len(self.outstanding),
        }

    def is_usable(self, now: float) -> bool:
        """Whether new tasks may be sent to the target."""
        return not (self.suspect or self.leaving or self.is_unresponsive(now))

    def is_unresponsive(self, now: float) -> bool:
        """Whether an inquiry has been unanswered for too long."""
        return self.asked_at is not None and now - self.asked_at > UNRESPONSIVE_SECONDS

    @property
    def other_tasks(self) -> int:
        """Tasks of other homes in the last reported load."""
        return max(0, self.load.running + self.load.queued - self.own_in_load)

    def age(self, now: float) -> float:
        """Return the age of the reported load as a fraction of `LOAD_MEMORY`, at most 1."""
        return min(1.0, max(0.0, now - self.load_at) / LOAD_MEMORY)

    def stamp_ms(self, now: float) -> int:
        """Return an estimate of the gate's clock in milliseconds."""
        return int((now + self.clock_ahead) * 1000)

    def update_load(self, now: float, load: Load, clock_ms: int) -> None:
        """Record the gate's load and clock, as reported by itself or by an entry."""
        self.load = load
        self.load_at = now
        self.clock_ahead = clock_ms / 1000 - now
        self.own_in_load = len(self.outstanding)

    def update_load_from(self, now: float, report: Report, pipeline: int) -> None:
        """Record a report's load, after its results and refusals have been processed.

        Tasks in messages that the gate had not seen are not part of that load.
        """
        self.update_load(now, report.load, report.clock_ms)
        self.own_in_load = sum(out.seq <= report.seen_seq for out in self.outstanding.values())
        if report.load.running + report.load.queued < report.load.slots + pipeline:
            self.full_until = 0.0

    def accept_report(self, report: Report) -> bool:
        """Record a report's number; return False if the report is late or repeated."""
        if report.number <= self.last_report:
            return False
        if report.number != self.last_report + 1:
            self.gap = True
        self.last_report = report.number
        self.asked_at = None
        self.seen_seq = max(self.seen_seq, report.seen_seq)
        if report.answers and report.answers == self.inquiry:
            self.inquiry = 0
            self.gap = False
        if not self.gap:
            self.acked = report.number
        self.leaving = self.leaving or report.leaving
        return True


def group_by_submission(keys: list[TaskKey]) -> list[TaskRefs]:
    """Return `keys` grouped by submission."""
    groups: dict[str, list[int]] = {}
    for submission, index in keys:
        groups.setdefault(submission, []).append(index)
    return [TaskRefs(submission, indexes) for submission, indexes in groups.items()]
