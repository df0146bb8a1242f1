"""Orders and polls that a target sends to its runner, and the runner's answers."""

from dataclasses import dataclass
from enum import Enum
from typing import final

from paddleshunt_core.leased.resources import Resources
from paddleshunt_core.leased.runnerincarnation import RunnerIncarnation
from paddleshunt_core.leased.wire import RunId


@final
@dataclass(frozen=True, slots=True)
class RunnerStatus:
    """What a heartbeat reports of a runner: its identity, pool, capacity and whether it leaves."""

    runner: RunnerIncarnation
    service: str
    hall: str
    capacity: Resources
    leaving: bool
    remaining: float | None
    """Minimum seconds until it leaves; None if unknown."""
    labels: tuple[str, ...] = ()
    """Labels of its host, such as kind and rack."""
    sequence: int = 0
    """Increases with each heartbeat of an incarnation; 0 if unknown."""
    cold: float = 0.0
    """Remaining seconds of its warm-up, during which it is slow."""
    kind: str = ""
    """The label that names the kind of its host; empty if there is none."""


@final
@dataclass(frozen=True, slots=True)
class StartRun:
    """Order to start a run for an entry.

    `decided` and `until` are the times of the decision and of the end of the run's lease, in steady
    seconds of this process. The lease runs from the decision, even if the order is sent later.
    """

    run: RunId
    spec: str
    until: float
    entry: str
    decided: float


@final
@dataclass(frozen=True, slots=True)
class StopRun:
    """Order to stop a run, and to refuse it if its start arrives later."""

    run: RunId


@final
@dataclass(frozen=True, slots=True)
class Supersede:
    """Order to refuse all earlier orders that have not been executed yet."""


Order = StartRun | StopRun | Supersede


class StartAnswer(Enum):
    """Outcome of an order to start.

    Refused by the runner: NO_ROOM: the run doesn't fit. STALE: it or a later run of its task has
    ended. FENCED: a call with a higher token came before. LATE: its lease ended before it arrived.

    UNKNOWN: no answer; the order may have been executed, or may yet be. NOT_SENT: it was not sent.
    EXPIRED: not sent, as its lease had ended. WITHDRAWN: not sent, as the run had become unwanted
    or forbidden.
    """

    STARTED = "started"
    NO_ROOM = "no_room"
    STALE = "stale"
    FENCED = "fenced"
    LATE = "late"
    UNHEALTHY = "unhealthy"
    INVALID = "invalid"
    OTHER_INCARNATION = "other_life"
    UNKNOWN = "unknown"
    NOT_SENT = "not_sent"
    EXPIRED = "expired"
    WITHDRAWN = "withdrawn"


class RunEnd(Enum):
    """How a run ended according to the runner."""

    DONE = "done"
    FAILED = "failed"
    STOPPED = "stopped"
    LAPSED = "lapsed"


@final
@dataclass(frozen=True, slots=True)
class RunningRun:
    """A running run of which `percent` is done."""

    run: RunId
    percent: int


@final
@dataclass(frozen=True, slots=True)
class FinishedRun:
    """A listed end; `number` counts the ends of the runner's incarnation."""

    number: int
    run: RunId
    end: RunEnd


@final
@dataclass(frozen=True, slots=True)
class Poll:
    """A long poll of the runner's lists of runs.

    It acknowledges ends up to `last_seen` and waits up to `wait` seconds for another. `until` is
    the new end of the runner's lease, in steady seconds of this process; None for no renewal.
    """

    last_seen: int
    until: float | None
    wait: float


@final
@dataclass(frozen=True, slots=True)
class PollAnswer:
    """The runner's answer to a `Poll` that was sent at `sent` (steady seconds of this process).

    `partial`: some rows could not be read, so runs that are not listed may be there as well.
    `listed`: the highest number of a listed end, including ends of other targets' runs.
    `unread_end`: the run of a listed end could not be read, so any run may have ended.
    `born`: start time of the incarnation that answered (ms since 1970); 0 if unknown.
    """

    sent: float
    running: list[RunningRun]
    finished: list[FinishedRun]
    partial: bool = False
    listed: int = 0
    unread_end: bool = False
    born: int = 0
