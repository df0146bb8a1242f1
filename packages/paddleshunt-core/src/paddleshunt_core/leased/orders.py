"""What a target asks of its runner, and what the runner may answer."""

from dataclasses import dataclass
from enum import Enum
from typing import final

from paddleshunt_core.leased.resources import Resources
from paddleshunt_core.leased.runnerincarnation import RunnerIncarnation
from paddleshunt_core.leased.wire import RunId


@final
@dataclass(frozen=True, slots=True)
class RunnerStatus:
    """What a runner says of itself: its life, pool, size and whether it is leaving."""

    runner: RunnerIncarnation
    service: str
    hall: str
    capacity: Resources
    leaving: bool
    remaining: float | None
    """Seconds until it leaves at the earliest; None if it didn't say."""
    labels: tuple[str, ...] = ()
    """Kind and rack of its host."""
    sequence: int = 0
    """Rises with each account of one life; 0 if it is not told."""
    cold: float = 0.0
    """Seconds for which it stays slow yet, after its start."""
    kind: str = ""
    """The label that says what kind of host it is; empty if none does."""


@final
@dataclass(frozen=True, slots=True)
class StartRun:
    """Order the runner to start a run of an entry.

    `decided` and `until` are steady seconds of this process: when it was decided, and when its
    lease ends. The lease counts from the decision, whenever the order leaves: what gave the right
    to it may be over by then.
    """

    run: RunId
    spec: str
    until: float
    entry: str
    decided: float


@final
@dataclass(frozen=True, slots=True)
class StopRun:
    """Order the runner to stop a run, and to refuse it if its start comes later."""

    run: RunId


@final
@dataclass(frozen=True, slots=True)
class Supersede:
    """Have the runner refuse what it was ordered until now and has not carried out yet."""


Order = StartRun | StopRun | Supersede


class StartAnswer(Enum):
    """What became of an order to start.

    UNKNOWN: no answer; it may have been done, or may be done yet. NOT_SENT: it never left.
    EXPIRED: it never left, as its lease was over. WITHDRAWN: it never left, as it was not wanted
    or not allowed any more.
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
    EXPIRED = "expired"
    WITHDRAWN = "withdrawn"


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
class Poll:
    """A look to send: acknowledge ends up to `last_seen`, and wait for one up to `wait` s.

    `until` is when the lease that it renews ends, in steady seconds of this process; None to leave
    the lease as it is.
    """

    last_seen: int
    until: float | None
    wait: float


@final
@dataclass(frozen=True, slots=True)
class PollAnswer:
    """The runner's answer to a `Poll` that was sent at `sent` (own steady clock, s).

    `partial`: some of it could not be read, so a run that it doesn't show may be there as well.
    `listed` is the highest number of an end that it lists, also of one that is no run of ours.
    `unread_end`: it lists an end of which the run could not be read, so any run may have ended.
    `born` says which life of the id that was asked gave it (ms since 1970); 0: that is not told.
    """

    sent: float
    running: list[RunningRun]
    finished: list[FinishedRun]
    partial: bool = False
    listed: int = 0
    unread_end: bool = False
    born: int = 0
