"""The answers a caller can get, one meaning each, and what each says about asking again.

They travel between processes, so they are tagged `msgspec` structs; msgspec can't tag dataclasses.
"""

from enum import StrEnum
from typing import final

import msgspec


class RetryAdvice(StrEnum):
    """How a caller may ask again without risking a second run."""

    SAME_ID = "same_id"
    NEW_ID = "new_id"
    EITHER = "either"
    NO = "no"


class _Outcome(msgspec.Struct, frozen=True, tag_field="outcome"):
    """Fields that no outcome has by itself; the base of the tagged union."""


@final
class Complete(_Outcome, frozen=True, tag="complete"):
    """Every task ran once and succeeded; `results` (JSON texts) are in the order of the tasks."""

    results: list[bytes]


@final
class Failed(_Outcome, frozen=True, tag="failed"):
    """At least one task failed or ran out of time. The two lists say which tasks ran."""

    reason: str
    failed: list[int]
    finished: list[int]
    not_started: list[int]


@final
class NotRun(_Outcome, frozen=True, tag="not_run"):
    """Nothing of the submission started and its id is closed, so nothing ever will."""

    reason: str
    retry_after_ms: int


@final
class NotAccepted(_Outcome, frozen=True, tag="not_accepted"):
    """This attempt went nowhere. It says nothing of earlier attempts with the same id."""

    reason: str
    retry_after_ms: int


@final
class Unknown(_Outcome, frozen=True, tag="unknown"):
    """It can't be known whether tasks ran: the process that knew was lost, or forgot as it may."""

    reason: str


@final
class Conflict(_Outcome, frozen=True, tag="conflict"):
    """The id belongs to another body; the submission that came first is untouched."""

    reason: str


Outcome = Complete | Failed | NotRun | NotAccepted | Unknown | Conflict


def outcome_tag(outcome: Outcome) -> str:
    """Return the outcome's tag, as used in answers, metrics and logs."""
    return str(outcome.__struct_config__.tag)


def retry_advice(outcome: Outcome, *, repeatable: bool) -> RetryAdvice:
    """Return how a caller may ask again after `outcome`.

    `repeatable` is what the caller said of its tasks; it changes only this advice.
    """
    match outcome:
        case Complete():
            return RetryAdvice.SAME_ID
        case NotRun():
            return RetryAdvice.NEW_ID
        case NotAccepted() | Conflict():
            return RetryAdvice.SAME_ID
        case Failed() | Unknown():
            return RetryAdvice.EITHER if repeatable else RetryAdvice.SAME_ID
