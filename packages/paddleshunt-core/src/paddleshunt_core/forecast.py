"""Estimates how long the waiting tasks of a home will take."""

from typing import final

from paddleshunt_core.ids import Incarnation
from paddleshunt_core.job import Job
from paddleshunt_core.links import Link
from paddleshunt_core.placement import Placement

DURATION_WEIGHT = 0.05
"""Weight of a finished task in the moving average of task durations."""


@final
class Forecast:
    """Estimates of one home, from the current state of its jobs and links.

    `task_seconds` is the moving average of task durations; its initial value is a setting.
    """

    def __init__(
        self,
        jobs: dict[str, Job],
        links: dict[Incarnation, Link],
        placement: Placement,
        task_seconds: float,
    ) -> None:
        self._jobs = jobs
        self._links = links
        self._placement = placement
        self.task_seconds = task_seconds

    def record_duration(self, seconds: float) -> None:
        """Update the average with the duration of a finished task."""
        self.task_seconds += DURATION_WEIGHT * (seconds - self.task_seconds)

    def waiting_tasks(self) -> int:
        """Return how many tasks wait for a target."""
        return sum(len(job.waiting) for job in self._jobs.values())

    def wait(self, now: float, waiting: int) -> float:
        """Estimate the seconds until `waiting` more tasks of this home have ended."""
        usable = [link for link in self._links.values() if link.is_usable(now)]
        slots = sum(link.load.slots for link in usable)
        assigned = sum(self._placement.estimated_tasks(link, now) for link in usable)
        if slots == 0:
            return 0.0
        estimate = (waiting + assigned) / slots * self.task_seconds
        placed = sum(len(link.outstanding) for link in usable)
        if placed and self.waiting_tasks():
            # Other homes use the same targets. By Little's law, this home's throughput is the
            # number of its tasks at the targets over the duration of a task.
            estimate = max(estimate, waiting * self.task_seconds / placed)
        return estimate
