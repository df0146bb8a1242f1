"""Log lines that a state machine returns for the surrounding process to write."""

from dataclasses import dataclass, field
from typing import final


@final
@dataclass(frozen=True, slots=True)
class Log:
    """One log line: an event, the submission it is about (empty if none) and its fields."""

    event: str
    submission: str = ""
    fields: dict[str, str | int | float] = field(default_factory=dict)


def note(event: str, submission: str = "", /, **fields: str | int | float) -> Log:
    """Return the log line for an event, about `submission` if given."""
    return Log(event, submission, fields)
