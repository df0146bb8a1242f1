"""What a caller of a leased job is told, and what its route is."""

from dataclasses import dataclass
from typing import final

from paddleshunt_core.leased.wire import LossNews


@final
@dataclass(frozen=True, slots=True)
class Completed:
    """Every task ended well."""


@final
@dataclass(frozen=True, slots=True)
class Failed:
    """A task failed as often as the queue allows, by the word of the runners that ran it.

    Only that is told so: what became of a run that was lost with its runner nobody knows.
    """

    reason: str


@final
@dataclass(frozen=True, slots=True)
class Refused:
    """Nothing has run and nothing will; ask again after `retry_after` seconds.

    `elsewhere`: another entry may take it now.
    """

    reason: str
    retry_after: float
    elsewhere: bool = False


@final
@dataclass(frozen=True, slots=True)
class GivenUp:
    """It is not known what became of it: tasks may have run, and it may be asked for again.

    Asking again starts nothing under which two runners were lost, until these answer; other
    counts of tries begin anew.
    """

    reason: str


@final
@dataclass(frozen=True, slots=True)
class BroadcastLoss:
    """Tell the other entries what has just been learned here."""

    news: LossNews


JobOutcome = Completed | Failed | Refused | GivenUp


@final
@dataclass(frozen=True, slots=True)
class AnswerJob:
    """Tell a caller the outcome of its job."""

    caller: int
    key: str
    outcome: JobOutcome
    waited: float
