"""Limits of one home: ids, records, waiting tasks and kept answers."""

from dataclasses import dataclass
from typing import final


@final
@dataclass(frozen=True, slots=True)
class HomeLimits:
    """Limits of a home.

    An id is accepted until `window` seconds after it was minted, and up to `skew` seconds before,
    by the home's clock. `initial_task_seconds` is the assumed task duration until tasks have ended.
    """

    window: float = 120.0
    skew: float = 5.0
    max_records: int = 20_000
    max_waiting_tasks: int = 20_000
    answer_bytes: int = 8 << 20
    initial_task_seconds: float = 0.25
