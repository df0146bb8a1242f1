"""Placement: which target gets the next task of a home, or none for now.

The home's own site comes first, another site when the own one has no free slot, and a place in a
target's short queue when no slot is free anywhere.
"""

from collections.abc import Callable, Iterable
from enum import StrEnum
from random import Random
from typing import final

from paddleshunt_core.links import Link


class Policy(StrEnum):
    """Ways to choose among targets that have room; docs/design/placement.md compares them."""

    LEAST_LOADED = "least_loaded"
    TWO_CHOICES = "two_choices"
    ROUND_ROBIN = "round_robin"


Chooser = Callable[[list[Link], float], Link]


@final
class Placement:
    """Chooses targets for one home."""

    def __init__(
        self, site: str, rng: Random, policy: Policy = Policy.LEAST_LOADED, pipeline: int = 2
    ) -> None:
        self._site = site
        self._rng = rng
        self.pipeline = pipeline
        self._turn = 0
        choosers: dict[Policy, Chooser] = {
            Policy.LEAST_LOADED: self._least_loaded,
            Policy.TWO_CHOICES: self._two_choices,
            Policy.ROUND_ROBIN: self._round_robin,
        }
        self._pick = choosers[policy]

    def choose(self, links: Iterable[Link], now: float, closed: set[str]) -> Link | None:
        """Return the target for one more task, or None to hold it.

        `closed` are sites that take no work of the service (weight 0 in the table).
        """
        usable = [
            link
            for link in links
            if link.usable and now >= link.full_until and link.site not in closed
        ]
        near = [link for link in usable if link.site == self._site]
        far = [link for link in usable if link.site != self._site]
        for extra in (0, self.pipeline):
            for group in (near, far):
                room = [link for link in group if _has_room(link, now, extra)]
                if room:
                    return self._pick(room, now)
        return None

    def _least_loaded(self, room: list[Link], now: float) -> Link:
        self._rng.shuffle(room)
        return min(room, key=lambda link: _relative_load(link, now))

    def _two_choices(self, room: list[Link], now: float) -> Link:
        pair = self._rng.sample(room, min(2, len(room)))
        return min(pair, key=lambda link: _relative_load(link, now))

    def _round_robin(self, room: list[Link], now: float) -> Link:
        self._turn += 1
        return sorted(room, key=lambda link: link.incarnation)[self._turn % len(room)]


def _has_room(link: Link, now: float, extra: int) -> bool:
    slots = link.load.slots
    return slots > 0 and link.busy(now) < slots + extra


def _relative_load(link: Link, now: float) -> float:
    return link.busy(now) / max(1, link.load.slots)
