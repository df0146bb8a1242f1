"""Which targets may be given work at one moment, and whether there is room on any."""

from collections.abc import Iterable
from typing import final

from paddleshunt_core.leased.bounds import LeaseTimes
from paddleshunt_core.leased.resources import Resources
from paddleshunt_core.leased.targets import TargetRecord


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
        self._kinds: dict[str, list[tuple[float, Resources]]] = {}

    def known(self, service: str) -> list[TargetRecord]:
        """Return the targets that have reported as ones of a service."""
        return [t for t in self._targets if t.report is not None and t.report.service == service]

    def usable(self, service: str) -> list[TargetRecord]:
        """Return the targets of a service that tasks may be sent to."""
        if service not in self._usable:
            self._usable[service] = [
                t for t in self._targets if t.takes(self._now, service, self._times)
            ]
        return self._usable[service]

    def may_have(self, service: str, need: Resources) -> bool:
        """Whether a target of a service may have room for a task; cheap, and never wrongly no."""
        if service not in self._most:
            self._most[service] = _most(t.free for t in self.usable(service))
        return need.fits(self._most[service])

    def kinds(self, service: str) -> list[tuple[float, Resources]]:
        """Return the factor of each kind of host there, and the most that may be free on one."""
        if service not in self._kinds:
            free: dict[float, list[Resources]] = {}
            for target in self.usable(service):
                free.setdefault(target.kind_factor, []).append(target.free)
            self._kinds[service] = [(factor, _most(rooms)) for factor, rooms in free.items()]
        return self._kinds[service]


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
