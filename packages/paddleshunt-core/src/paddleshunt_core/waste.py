"""Counts of messages and work without effect."""

from dataclasses import dataclass
from typing import final


@final
@dataclass(slots=True)
class Waste:
    """Counts since the process started.

    refused: tasks that a gate refused; repeated: messages dropped as late or repeated; inquiries:
    inquiries of the home; offers: reports of the gate that only announce free capacity; discarded:
    results of tasks that the home no longer waits for.
    """

    refused: int = 0
    repeated: int = 0
    inquiries: int = 0
    offers: int = 0
    discarded: int = 0
