"""Outcomes of submissions, as answered to callers, and whether it is safe to retry after each.

They are sent between processes, hence tagged `msgspec` structs.
"""

from enum import StrEnum
from typing import final

import msgspec


class RetryAdvice(StrEnum):
    """Under which submission id a caller may retry without risking a second run."""

    SAME_ID = "same_id"
    NEW_ID = "new_id"
    EITHER = "either"
    NO = "no"


class _Outcome(msgspec.Struct, frozen=True, tag_field="outcome"):
    """Base of the tagged union."""


@final
class Complete(_Outcome, frozen=True, tag="complete"):
    """Every task ran once and succeeded; `results` holds JSON texts in task order."""

    results: list[bytes]


@final
class Failed(_Outcome, frozen=True, tag="failed"):
    """At least one task failed or timed out; the lists hold the indexes of the tasks."""

    reason: str
    failed: list[int]
    finished: list[int]
    not_started: list[int]


@final
class NotRun(_Outcome, frozen=True, tag="not_run"):
    """No task started, and none ever will, as the id is closed."""

    reason: str
    retry_after_ms: int


@final
class NotAccepted(_Outcome, frozen=True, tag="not_accepted"):
    """This attempt was not accepted; earlier attempts with the same id may have been."""

    reason: str
    retry_after_ms: int


@final
class Unknown(_Outcome, frozen=True, tag="unknown"):
    """Whether tasks ran is unknown: the process with the record was lost, or the record expired."""

    reason: str


@final
class Conflict(_Outcome, frozen=True, tag="conflict"):
    """The id was used before with another body; the earlier submission is unaffected."""

    reason: str


Outcome = Complete | Failed | NotRun | NotAccepted | Unknown | Conflict


def outcome_tag(outcome: Outcome) -> str:
    """Return the outcome's tag, as used in answers, metrics and logs."""
    return str(outcome.__struct_config__.tag)


def retry_advice(outcome: Outcome, *, repeatable: bool) -> RetryAdvice:
    """Return how a caller may retry after `outcome`.

    `repeatable` is the caller's declaration that its tasks may run twice.
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
