"""What a target asks of its runner, and what the runner may answer."""

from dataclasses import dataclass
from enum import Enum
from typing import final

from paddleshunt_core.leased.resources import Resources
from paddleshunt_core.leased.wire import RunId


@final
@dataclass(frozen=True, slots=True)
class RunnerAccount:
    """What a runner says of itself: its life, pool, size and whether it is leaving."""

    runner: str
    service: str
    hall: str
    capacity: Resources
    leaving: bool
    remaining: float | None
    """Seconds until it leaves at the earliest; None if it didn't say."""
    labels: tuple[str, ...] = ()
    """Kind and rack of its host."""


@final
@dataclass(frozen=True, slots=True)
class StartRun:
    """Order the runner to start a run of an entry, whose lease is `lease` seconds from now.

    `decided` is the steady time, in seconds, at which it was decided.
    """

    run: RunId
    spec: str
    lease: float
    entry: str
    decided: float


@final
@dataclass(frozen=True, slots=True)
class StopRun:
    """Order the runner to stop a run, and to refuse it if its start comes later."""

    run: RunId


Order = StartRun | StopRun


class StartAnswer(Enum):
    """What became of an order to start.

    UNKNOWN: no answer; it may have been done, or may be done yet. NOT_SENT: it never left.
    """

    STARTED = "started"
    NO_ROOM = "no_room"
    STALE = "stale"
    FENCED = "fenced"
    LATE = "late"
    UNHEALTHY = "unhealthy"
    INVALID = "invalid"
    OTHER_LIFE = "other_life"
    UNKNOWN = "unknown"
    NOT_SENT = "not_sent"


class RunEnd(Enum):
    """How the runner says a run ended."""

    DONE = "done"
    FAILED = "failed"
    STOPPED = "stopped"
    LAPSED = "lapsed"


@final
@dataclass(frozen=True, slots=True)
class RunningRun:
    """A run at work: `percent` of it is done."""

    run: RunId
    percent: int


@final
@dataclass(frozen=True, slots=True)
class FinishedRun:
    """An end in the runner's list; `number` counts the ends of the runner's life."""

    number: int
    run: RunId
    end: RunEnd


@final
@dataclass(frozen=True, slots=True)
class Look:
    """A renewal to send: acknowledge ends up to `last_seen`, and wait for one up to `wait` s."""

    last_seen: int
    lease: float | None
    wait: float


@final
@dataclass(frozen=True, slots=True)
class LookAnswer:
    """The runner's answer to a `Look` that was sent at `sent` (own steady clock, s)."""

    sent: float
    running: list[RunningRun]
    finished: list[FinishedRun]
