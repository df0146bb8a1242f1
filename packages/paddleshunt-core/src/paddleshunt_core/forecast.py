"""How long the waiting tasks of a home will take, by what it has placed and seen end."""

from typing import final

from paddleshunt_core.ids import Incarnation
from paddleshunt_core.job import Job
from paddleshunt_core.links import Link
from paddleshunt_core.placement import Placement

LEARNING_STEP = 0.05
"""Weight of one end in the usual length of a task: about the last 20 ends count."""


@final
class Forecast:
    """Expectations of one home, over its own jobs and links as they are when it is asked.

    `task_seconds` is the usual length of a task, first a guess, then learned.
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

    def learn(self, seconds: float) -> None:
        """Note how long a task took."""
        self.task_seconds += LEARNING_STEP * (seconds - self.task_seconds)

    def waiting_tasks(self) -> int:
        """Return how many tasks wait for a target."""
        return sum(len(job.waiting) for job in self._jobs.values())

    def wait(self, now: float, waiting: int) -> float:
        """Estimate the seconds until `waiting` more tasks of this home could have ended."""
        usable = [link for link in self._links.values() if link.is_usable(now)]
        slots = sum(link.load.slots for link in usable)
        busy = sum(self._placement.estimated_tasks(link, now) for link in usable)
        if slots == 0:
            return 0.0
        estimate = (waiting + busy) / slots * self.task_seconds
        placed = sum(len(link.outstanding) for link in usable)
        if placed and self.waiting_tasks():
            # Others use the same targets. What this home gets of them is, by Little's law, the
            # tasks it has there over the time that each spends there.
            estimate = max(estimate, waiting * self.task_seconds / placed)
        return estimate
