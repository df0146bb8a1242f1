"""Placement: chooses the target for the next task of a home, or none for now.

Targets of the home's own site come first up to half of their slots, then any free slot, then
places in the targets' short queues. Within each of these tiers the least loaded target is chosen;
docs/design/placement.md compares the alternatives.
"""

import heapq
from collections.abc import Iterable
from dataclasses import dataclass
from random import Random
from typing import final

from paddleshunt_core.links import Link

PROBE_SECONDS = 0.5
"""Seconds after which a target that seems full is sent one task, to check whether it still is."""

LOCAL_SHARE = 0.5
"""Fraction of a target's slots up to which the home's own site is preferred; the rest is left to
other homes of that site, whose tasks this home sees with a delay."""

OTHER_LOAD_WEIGHT = 0.1
"""Weight of a new report in the moving average of the load of other homes."""

_FREE_LOCAL, _FREE_ANY, _QUEUE_LOCAL, _QUEUE_REMOTE, _PROBE = range(5)


@dataclass(slots=True, order=True)
class _Candidate:
    """A target, ordered by tier, then load, then a random tie-breaker."""

    tier: int
    relative_load: float
    tie_breaker: float
    tasks: float
    link: Link


@final
class Placement:
    """Chooses targets by their reported load and an average of the load of other homes."""

    def __init__(self, site: str, rng: Random, pipeline: int = 2) -> None:
        self.site = site
        self.pipeline = pipeline
        self._rng = rng
        self._other_load = 0.0
        """Moving average of the load of other homes, in tasks per slot."""

    def record_load(self, link: Link) -> None:
        """Update the average load of other homes from a target's new report."""
        if link.load.slots:
            load = link.other_tasks / link.load.slots
            self._other_load += OTHER_LOAD_WEIGHT * (load - self._other_load)

    def estimated_tasks(self, link: Link, now: float) -> float:
        """Estimate the tasks at a target; the average replaces its report as that ages."""
        age = link.age(now)
        other_tasks = link.other_tasks * (1.0 - age) + self._other_load * link.load.slots * age
        return len(link.outstanding) + other_tasks

    def plan(self, links: Iterable[Link], now: float, closed: set[str]) -> "Plan":
        """Return a plan for the tasks to be placed now.

        `closed` are sites that take no work of the service (weight 0 in the table).
        """
        candidates: list[_Candidate] = []
        for link in links:
            if not link.is_usable(now) or now < link.full_until or link.site in closed:
                continue
            candidate = self._candidate(link, self.estimated_tasks(link, now), now)
            if candidate is not None:
                candidates.append(candidate)
        return Plan(self, candidates, now)

    def _candidate(self, link: Link, tasks: float, now: float) -> _Candidate | None:
        slots = link.load.slots
        if slots == 0:
            return None
        local = link.site == self.site
        if tasks < slots:
            tier = _FREE_LOCAL if local and tasks < slots * LOCAL_SHARE else _FREE_ANY
        elif tasks < slots + self.pipeline:
            tier = _QUEUE_LOCAL if local else _QUEUE_REMOTE
        elif not link.outstanding and now - link.last_sent >= PROBE_SECONDS:
            tier = _PROBE
        else:
            return None
        return _Candidate(tier, tasks / slots, self._rng.random(), tasks, link)


@final
class Plan:
    """Free places at the targets at one moment, best first."""

    def __init__(self, placement: Placement, candidates: list[_Candidate], now: float) -> None:
        self._placement = placement
        self._candidates = candidates
        self._now = now
        heapq.heapify(candidates)

    @property
    def free_slots(self) -> bool:
        """Whether a target is estimated to have a free slot."""
        return bool(self._candidates) and self._candidates[0].tier in (_FREE_LOCAL, _FREE_ANY)

    def next_target(self) -> Link | None:
        """Return the target for one more task, or None if no target can take it."""
        if not self._candidates:
            return None
        candidate = heapq.heappop(self._candidates)
        link = candidate.link
        link.last_sent = self._now
        following = self._placement._candidate(link, candidate.tasks + 1.0, self._now)
        if following is not None:
            heapq.heappush(self._candidates, following)
        return link
