"""Placement: which target gets the next task of a home, or none for now.

The home's own site comes first up to half of its slots, then any free slot, and a place in a
target's short queue when no slot is free anywhere. Among targets that are alike in this the least
loaded one is taken; docs/design/placement.md has what was compared.
"""

import heapq
from collections.abc import Iterable
from dataclasses import dataclass
from random import Random
from typing import final

from paddleshunt_core.links import Link

PROBE_SECONDS = 0.5
"""Seconds after which a target that seems full gets one task, to learn whether it still is."""

NEAR_SHARE = 0.5
"""Part of a target's slots up to which the own site goes first; the rest is left for jobs of other
homes there, whose tasks this home sees too late."""

USUAL_STEP = 0.1
"""Weight of each new report in the mean load of other homes."""

_FREE_NEAR, _FREE_ANY, _QUEUE_NEAR, _QUEUE_FAR, _PROBE = range(5)


@dataclass(slots=True, order=True)
class _Spot:
    """A target in the order of preference: by tier, relative load, then chance."""

    tier: int
    relative: float
    chance: float
    busy: float
    link: Link


@final
class Placement:
    """What a home knows of the load that others put on the targets, and how it chooses."""

    def __init__(self, site: str, rng: Random, pipeline: int = 2) -> None:
        self.site = site
        self.pipeline = pipeline
        self._rng = rng
        self._usual = 0.0
        """Mean load of other homes, in tasks a slot."""

    def record_load(self, link: Link) -> None:
        """Learn from a target's fresh load how busy others usually keep the targets."""
        if link.load.slots:
            found = link.other_tasks / link.load.slots
            self._usual += USUAL_STEP * (found - self._usual)

    def estimated_tasks(self, link: Link, now: float) -> float:
        """Estimate the tasks at a target; the older its report, the more it counts as usual."""
        age = link.age(now)
        other_tasks = link.other_tasks * (1.0 - age) + self._usual * link.load.slots * age
        return len(link.outstanding) + other_tasks

    def plan(self, links: Iterable[Link], now: float, closed: set[str]) -> "Plan":
        """Return a plan for the tasks to be placed now.

        `closed` are sites that take no work of the service (weight 0 in the table).
        """
        spots: list[_Spot] = []
        for link in links:
            if not link.is_usable(now) or now < link.full_until or link.site in closed:
                continue
            spot = self._spot(link, self.estimated_tasks(link, now), now)
            if spot is not None:
                spots.append(spot)
        return Plan(self, spots, now)

    def _spot(self, link: Link, busy: float, now: float) -> _Spot | None:
        slots = link.load.slots
        if slots == 0:
            return None
        near = link.site == self.site
        if busy < slots:
            tier = _FREE_NEAR if near and busy < slots * NEAR_SHARE else _FREE_ANY
        elif busy < slots + self.pipeline:
            tier = _QUEUE_NEAR if near else _QUEUE_FAR
        elif not link.outstanding and now - link.last_sent >= PROBE_SECONDS:
            tier = _PROBE
        else:
            return None
        return _Spot(tier, busy / slots, self._rng.random(), busy, link)


@final
class Plan:
    """Places for tasks at one moment; `take` gives the best one left."""

    def __init__(self, placement: Placement, spots: list[_Spot], now: float) -> None:
        self._placement = placement
        self._spots = spots
        self._now = now
        heapq.heapify(spots)

    @property
    def free_slots(self) -> bool:
        """Whether some target seems to have a free slot."""
        return bool(self._spots) and self._spots[0].tier in (_FREE_NEAR, _FREE_ANY)

    def next_target(self) -> Link | None:
        """Return the target for one more task, or None to hold it."""
        if not self._spots:
            return None
        spot = heapq.heappop(self._spots)
        link = spot.link
        link.last_sent = self._now
        following = self._placement._spot(link, spot.busy + 1.0, self._now)
        if following is not None:
            heapq.heappush(self._spots, following)
        return link
