"""Events that a state machine has its surroundings write to the log."""

from dataclasses import dataclass, field
from typing import final


@final
@dataclass(frozen=True, slots=True)
class Log:
    """Write one line to the log."""

    event: str
    submission: str = ""
    fields: dict[str, str | int | float] = field(default_factory=dict)


def note(event: str, submission: str = "", /, **fields: str | int | float) -> Log:
    """Return the line of one event about a submission, or about none."""
    return Log(event, submission, fields)
