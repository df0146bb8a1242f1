"""Counts of what was sent, or run, for nothing: the brief's second measure."""

from dataclasses import dataclass
from typing import final


@final
@dataclass(slots=True)
class Waste:
    """Counts since the process started.

    refused: tasks that a gate sent back; repeated: messages that came late or twice; inquiries:
    questions of a home; offers: reports that only say there is room; discarded: results nobody
    waits for any more.
    """

    refused: int = 0
    repeated: int = 0
    inquiries: int = 0
    offers: int = 0
    discarded: int = 0
