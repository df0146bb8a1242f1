"""The checker: verifies invariants over a trace of events.

It serves the scenario and fuzz tests as well as traces of real runs. It keeps the trace's history
in memory, so it suits traces of minutes, not continuous monitoring.
"""

from collections import Counter
from dataclasses import dataclass
from enum import StrEnum
from typing import final

import msgspec


class _Event(msgspec.Struct, frozen=True, tag_field="event"):
    """Base of all events; `time` is in seconds."""

    time: float


@final
class Submitted(_Event, frozen=True, tag="submitted"):
    """A caller sent a submission of `tasks` tasks."""

    submission: str
    tasks: int
    repeatable: bool = False


@final
class Started(_Event, frozen=True, tag="started"):
    """A target started a task on its runner; `target` names the incarnation."""

    submission: str
    index: int
    target: str
    service: str = ""
    site: str = ""


@final
class Ended(_Event, frozen=True, tag="ended"):
    """The runner ended a task."""

    submission: str
    index: int
    target: str
    ok: bool


@final
class Answered(_Event, frozen=True, tag="answered"):
    """A caller got an outcome; `right`: whether the results are those of its own tasks."""

    submission: str
    outcome: str
    results: int = 0
    right: bool = True


@final
class Adopted(_Event, frozen=True, tag="adopted"):
    """A process put a revision of the table in force."""

    process: str
    revision: int


@final
class Leaving(_Event, frozen=True, tag="leaving"):
    """A target began to leave."""

    target: str


@final
class Shares(_Event, frozen=True, tag="shares"):
    """Sums of the shares of a row's live targets, and the row's limits."""

    service: str
    site: str
    running: int
    in_flight: int
    max_running: int
    max_in_flight: int


Event = Submitted | Started | Ended | Answered | Adopted | Leaving | Shares


class Rule(StrEnum):
    """Invariants of every trace."""

    START_ONCE = "no task starts twice"
    WHOLE_ANSWER = "an answer is complete or failed, never partial"
    OWN_ANSWER = "each caller gets the answer to its own request"
    NOT_RUN_TRUE = "not run is true"
    ONE_OUTCOME = "outcomes of a submission agree"
    LEAVING_QUIET = "a leaving target gets no new work"
    NO_REVERT = "an accepted configuration never reverts"
    WITHIN_LIMITS = "a row stays within its limits"


LEAVE_GRACE_SECONDS = 3.0
"""Seconds after which a leaving target must not start any task."""

_SETTLED = frozenset({"complete", "failed", "not_run"})


@final
@dataclass(frozen=True, slots=True)
class Violation:
    """A violated rule, with the time and the details."""

    time: float
    rule: Rule
    detail: str

    def __str__(self) -> str:
        return f"t={self.time:.3f} {self.rule}: {self.detail}"


@final
class Checker:
    """Checks events, given in order of time, and collects violations."""

    def __init__(self) -> None:
        self.violations: list[Violation] = []
        self.starts: Counter[tuple[str, int]] = Counter()
        self._started: set[str] = set()
        self._tasks: dict[str, int] = {}
        self._outcomes: dict[str, set[str]] = {}
        self._revisions: dict[str, int] = {}
        self._left: dict[str, float] = {}

    def check_event(self, event: Event) -> None:
        """Check an event against the earlier ones."""
        match event:
            case Submitted():
                self._tasks[event.submission] = event.tasks
            case Started():
                self._check_started(event)
            case Answered():
                self._check_answered(event)
            case Adopted():
                self._check_adopted(event)
            case Leaving():
                self._left[event.target] = event.time
            case Shares():
                self._check_shares(event)
            case Ended():
                pass

    def _check_started(self, event: Started) -> None:
        key = (event.submission, event.index)
        self.starts[key] += 1
        self._started.add(event.submission)
        name = f"{event.submission}/{event.index} at {event.target}"
        if self.starts[key] > 1:
            self._add_violation(event.time, Rule.START_ONCE, name)
        if "not_run" in self._outcomes.get(event.submission, ()):
            self._add_violation(event.time, Rule.NOT_RUN_TRUE, f"{name} started after not_run")
        left = self._left.get(event.target)
        if left is not None and event.time > left + LEAVE_GRACE_SECONDS:
            self._add_violation(event.time, Rule.LEAVING_QUIET, name)

    def _check_answered(self, event: Answered) -> None:
        name = event.submission
        tasks = self._tasks.get(name)
        if event.outcome == "complete" and tasks is not None and event.results != tasks:
            self._add_violation(
                event.time, Rule.WHOLE_ANSWER, f"{name}: {event.results} results for {tasks} tasks"
            )
        if not event.right:
            self._add_violation(event.time, Rule.OWN_ANSWER, name)
        if event.outcome == "not_run" and name in self._started:
            self._add_violation(event.time, Rule.NOT_RUN_TRUE, f"{name} has a task that started")
        if event.outcome not in _SETTLED:
            return
        earlier = self._outcomes.setdefault(name, set())
        earlier.add(event.outcome)
        if len(earlier) > 1:
            self._add_violation(event.time, Rule.ONE_OUTCOME, f"{name}: {sorted(earlier)}")

    def _check_adopted(self, event: Adopted) -> None:
        known = self._revisions.get(event.process, 0)
        if event.revision < known:
            detail = f"{event.process} went from {known} to {event.revision}"
            self._add_violation(event.time, Rule.NO_REVERT, detail)
        self._revisions[event.process] = max(known, event.revision)

    def _check_shares(self, event: Shares) -> None:
        row = f"{event.service} at {event.site}"
        if event.running > event.max_running:
            detail = f"{row}: {event.running} running, limit {event.max_running}"
            self._add_violation(event.time, Rule.WITHIN_LIMITS, detail)
        if event.in_flight > event.max_in_flight:
            detail = f"{row}: {event.in_flight} in flight, limit {event.max_in_flight}"
            self._add_violation(event.time, Rule.WITHIN_LIMITS, detail)

    def _add_violation(self, time: float, rule: Rule, detail: str) -> None:
        self.violations.append(Violation(time, rule, detail))
