"""Which targets may be given work at one moment, and whether there is room on any."""

from collections.abc import Iterable
from dataclasses import dataclass
from typing import final

from paddleshunt_core.leased.bounds import LeaseTimes
from paddleshunt_core.leased.resources import Resources
from paddleshunt_core.leased.targets import TargetRecord


@final
@dataclass(frozen=True, slots=True)
class KindRoom:
    """What runners of one kind of host have room for.

    `least` and `capacity` are those of warm runners that are not on probation: only such a one is
    worth waiting for.
    """

    factor: float
    """How many times as long as expected tasks take on the kind."""
    least: float
    """The same for the fastest runner."""
    free: Resources
    """The most that may be free on a runner."""
    capacity: Resources
    """The most that a runner may have."""


@final
class RoomNow:
    """A view of all targets at one moment; it is made anew for each decision on many jobs.

    Room only shrinks while tasks are placed, so what is remembered of it errs towards a look
    that finds nothing.
    """

    def __init__(self, now: float, targets: Iterable[TargetRecord], times: LeaseTimes) -> None:
        self._now = now
        self._targets = list(targets)
        self._times = times
        self._usable: dict[str, list[TargetRecord]] = {}
        self._most: dict[str, Resources] = {}
        self._kinds: dict[str, list[KindRoom]] = {}

    def known(self, service: str) -> list[TargetRecord]:
        """Return the targets that have reported as ones of a service."""
        return [t for t in self._targets if t.report is not None and t.report.service == service]

    def usable(self, service: str) -> list[TargetRecord]:
        """Return the targets of a service that tasks may be sent to."""
        if service not in self._usable:
            self._usable[service] = [
                t for t in self._targets if t.can_accept(self._now, service, self._times)
            ]
        return self._usable[service]

    def may_have(self, service: str, need: Resources) -> bool:
        """Whether a target of a service may have room for a task; cheap, and never wrongly no."""
        if service not in self._most:
            self._most[service] = _most(t.free for t in self.usable(service))
        return need.fits(self._most[service])

    def kinds(self, service: str) -> list[KindRoom]:
        """Return what the kinds of hosts there have."""
        if service not in self._kinds:
            kinds: dict[float, list[TargetRecord]] = {}
            for target in self.usable(service):
                kinds.setdefault(target.kind_factor, []).append(target)
            self._kinds[service] = [self._kind(factor, each) for factor, each in kinds.items()]
        return self._kinds[service]

    def _kind(self, factor: float, targets: list[TargetRecord]) -> KindRoom:
        sound = [t for t in targets if not t.on_probation and not t.is_cold(self._now)]
        return KindRoom(
            factor,
            min((t.slowness for t in sound), default=float("inf")),
            _most(t.free for t in targets),
            _most(t.report.capacity for t in sound if t.report is not None),
        )


def _most(rooms: Iterable[Resources]) -> Resources:
    """Return the largest of each kind of resource, from whichever room."""
    most = Resources(-1, -1, -1)
    for room in rooms:
        most = Resources(
            max(most.processor, room.processor),
            max(most.memory, room.memory),
            max(most.accelerators, room.accelerators),
        )
    return most
