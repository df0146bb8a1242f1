"""Outcomes of leased jobs, and the effects that report them."""

from dataclasses import dataclass
from typing import final

from paddleshunt_core.leased.wire import LossUpdate


@final
@dataclass(frozen=True, slots=True)
class Completed:
    """Every task succeeded."""


@final
@dataclass(frozen=True, slots=True)
class Failed:
    """A task failed as often as the queue allows, as reported by the runners that ran it.

    Runs that were lost with their runner don't count, as their results are unknown.
    """

    reason: str


@final
@dataclass(frozen=True, slots=True)
class Refused:
    """No task has run or will run; the caller may retry after `retry_after` seconds.

    `elsewhere`: another entry may admit the job now.
    """

    reason: str
    retry_after: float
    elsewhere: bool = False


@final
@dataclass(frozen=True, slots=True)
class GivenUp:
    """The outcome is unknown: tasks may have run. The caller may submit the job again.

    A task during which two runners were lost is not started again until one of them answers or its
    loss expires; the other counts of its retries start from zero.
    """

    reason: str


@final
@dataclass(frozen=True, slots=True)
class Cancelled:
    """A caller has cancelled the job: its runs are being stopped, and no more will start."""

    reason: str


@final
@dataclass(frozen=True, slots=True)
class BroadcastLoss:
    """Send an update on the loss of a runner to all other entries."""

    update: LossUpdate


JobOutcome = Completed | Failed | Refused | GivenUp | Cancelled


@final
@dataclass(frozen=True, slots=True)
class AnswerJob:
    """Send a caller the outcome of its job, `waited` seconds after it submitted the job."""

    caller: int
    key: str
    outcome: JobOutcome
    waited: float
