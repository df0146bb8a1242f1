"""Chooses a target for one task."""

from random import Random
from typing import final

from paddleshunt_core.leased.bounds import LeaseTimes
from paddleshunt_core.leased.jobs import JobRecord, TaskRecord
from paddleshunt_core.leased.targets import TargetRecord

LOAD_STEPS = 12
"""Loads that differ by less than one part in so many count as equal."""

PROBE_PERIOD = 1.0
"""Seconds between two tasks that an entry gives to a runner on probation."""


@final
class Placement:
    """Chooses among an entry's targets; remembers when it last probed one."""

    def __init__(self, zone: str, times: LeaseTimes, rng: Random) -> None:
        self._rng = rng
        self._zone = zone
        self._times = times
        self._probed: dict[str, float] = {}

    def choose(
        self, now: float, job: JobRecord, task: TaskRecord, targets: list[TargetRecord]
    ) -> TargetRecord | None:
        """Return the target to send the task to, or None to hold it."""
        need = job.request.need
        able = [t for t in targets if t.could_run(need)]
        usable = [t for t in able if t.name not in task.avoid] or able
        probe = self._probe(now, usable)
        if probe is not None and need.fits(probe.free):
            self._probed[probe.name] = now
            return probe
        good = [t for t in usable if not t.on_probation and need.fits(t.free)]
        return self._least_loaded(good)

    def _probe(self, now: float, targets: list[TargetRecord]) -> TargetRecord | None:
        for target in targets:
            if target.on_probation and now > self._probed.get(target.name, 0.0) + PROBE_PERIOD:
                return target
        return None

    def _least_loaded(self, targets: list[TargetRecord]) -> TargetRecord | None:
        """Return a target of little load; entries that know the same choose differently."""

        def key(target: TargetRecord) -> tuple[int, bool, float]:
            return int(target.load * LOAD_STEPS), target.zone != self._zone, self._rng.random()

        return min(targets, key=key, default=None)
