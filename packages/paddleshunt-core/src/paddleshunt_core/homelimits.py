"""Bounds of what one home remembers, and of how long it goes by it."""

from dataclasses import dataclass
from typing import final


@final
@dataclass(frozen=True, slots=True)
class HomeLimits:
    """Bounds of a home's memory and patience.

    `window` and `skew` (seconds) bound when an id is accepted, by the home's own clock.
    `usual_task` (seconds) is the first guess of a task's length, until tasks have been seen.
    """

    window: float = 120.0
    skew: float = 5.0
    max_records: int = 20_000
    max_waiting_tasks: int = 20_000
    answer_bytes: int = 8 << 20
    usual_task: float = 0.25
