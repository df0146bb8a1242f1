"""A snapshot of the targets that accept tasks, and of their free resources."""

from collections.abc import Iterable
from dataclasses import dataclass
from typing import final

from paddleshunt_core.leased.bounds import LeaseTimes
from paddleshunt_core.leased.resources import Resources
from paddleshunt_core.leased.targets import TargetRecord


@final
@dataclass(frozen=True, slots=True)
class KindCapacity:
    """Resources of the runners on one kind of host.

    Only warm runners that are not on probation count in `min_slowness` and `capacity`, as tasks
    wait for these only.
    """

    factor: float
    """Ratio of task times on the kind to those elsewhere."""
    min_slowness: float
    """Ratio of task times on the fastest runner to those elsewhere."""
    free: Resources
    """Upper bound of the free resources of any runner, per kind of resource."""
    capacity: Resources
    """Upper bound of the capacity of any runner, per kind of resource."""


@final
class TargetSnapshot:
    """A snapshot of all targets at one moment, for a batch of placement decisions.

    Free resources only shrink while tasks are placed, so a cached value is at worst too high, and
    costs a search without a result.
    """

    def __init__(self, now: float, targets: Iterable[TargetRecord], times: LeaseTimes) -> None:
        self._now = now
        self._targets = list(targets)
        self._times = times
        self._usable: dict[str, list[TargetRecord]] = {}
        self._maximum: dict[str, Resources] = {}
        self._kinds: dict[str, list[KindCapacity]] = {}

    def known(self, service: str) -> list[TargetRecord]:
        """Return the targets whose last report names a service."""
        return [t for t in self._targets if t.report is not None and t.report.service == service]

    def usable(self, service: str) -> list[TargetRecord]:
        """Return the targets of a service that tasks may be sent to."""
        if service not in self._usable:
            self._usable[service] = [
                t for t in self._targets if t.can_accept(self._now, service, self._times)
            ]
        return self._usable[service]

    def may_fit(self, service: str, need: Resources) -> bool:
        """Whether a target of a service may have room for a task; a False is always right."""
        if service not in self._maximum:
            self._maximum[service] = _maximum(t.free for t in self.usable(service))
        return need.fits(self._maximum[service])

    def kinds(self, service: str) -> list[KindCapacity]:
        """Return the resources of a service by kind of host, merging kinds of equal factor."""
        if service not in self._kinds:
            kinds: dict[float, list[TargetRecord]] = {}
            for target in self.usable(service):
                kinds.setdefault(target.kind_factor, []).append(target)
            self._kinds[service] = [self._kind(factor, each) for factor, each in kinds.items()]
        return self._kinds[service]

    def _kind(self, factor: float, targets: list[TargetRecord]) -> KindCapacity:
        eligible = [t for t in targets if not t.on_probation and not t.is_cold(self._now)]
        return KindCapacity(
            factor,
            min((t.slowness for t in eligible), default=float("inf")),
            _maximum(t.free for t in targets),
            _maximum(t.report.capacity for t in eligible if t.report is not None),
        )


def _maximum(items: Iterable[Resources]) -> Resources:
    """Return the maximum of each kind of resource over all items."""
    most = Resources(-1, -1, -1)
    for item in items:
        most = Resources(
            max(most.processor, item.processor),
            max(most.memory, item.memory),
            max(most.accelerators, item.accelerators),
        )
    return most
