"""Chooses a target for one task."""

from collections.abc import Iterable
from random import Random
from typing import final

from paddleshunt_core.leased.coldness import warm_first
from paddleshunt_core.leased.jobs import JobRecord, TaskPhase, TaskRecord
from paddleshunt_core.leased.targets import TargetRecord

LOAD_STEPS = 12
"""Loads that differ by less than one part in so many count as equal."""

PROBE_PERIOD = 1.0
"""Seconds between two tasks that an entry gives to a runner on probation."""

OVERHEAD_SECONDS = 0.02
"""Time that a run takes besides its work: messages, and the look that shows its end."""


@final
class Placement:
    """Chooses among an entry's targets; remembers when it last probed one.

    Away from the rack where its data lies, a task takes `remote_factor` times as long; on a cold
    runner, `cold_overrun` times.
    """

    def __init__(
        self, hall: str, rng: Random, remote_factor: float, cold_overrun: float = 1.5
    ) -> None:
        self._rng = rng
        self._hall = hall
        self._remote_factor = remote_factor
        self._cold_overrun = cold_overrun
        self._probed: dict[str, float] = {}
        self.typical_slowness = 1.0
        """Slowness of a usual target; a job's length is meant for such a one."""

    def compare(self, targets: Iterable[TargetRecord]) -> None:
        """Note how slow targets usually are."""
        known = sorted(target.slowness for target in targets if target.report is not None)
        self.typical_slowness = known[len(known) // 2] if known else 1.0

    def able(self, job: JobRecord, targets: list[TargetRecord]) -> list[TargetRecord]:
        """Return the targets whose runner may run the job's tasks; none if none has room."""
        request = job.request
        able = [t for t in targets if t.could_run(request.need)]
        if request.label:
            able = [t for t in able if t.has_label(request.label)]
        return able if any(request.need.fits(t.free) for t in able) else []

    def choose(
        self, now: float, job: JobRecord, task: TaskRecord, able: list[TargetRecord]
    ) -> TargetRecord | None:
        """Return the target to send the task to, or None to hold it."""
        need = job.request.need
        usable = [t for t in able if t.name not in task.avoid] or able
        if job.request.spread:
            usable = [t for t in usable if _tasks_at(job, t) < job.request.spread]
        probe = self._probe(now, usable)
        if probe is not None and need.fits(probe.free):
            self._probed[probe.name] = now
            return probe
        sound = [t for t in usable if not t.on_probation]
        good = [t for t in sound if need.fits(t.free)]
        rack = job.request.rack
        if rack:
            near = [t for t in good if t.has_label(rack)]
            if near or (self._awaits_rack(now, job) and any(t.has_label(rack) for t in sound)):
                good = near
        good = warm_first(now, job, good, sound, self._cold_overrun)
        return self._least_loaded(self._in_time(now, job, good, sound))

    def _awaits_rack(self, now: float, job: JobRecord) -> bool:
        """Whether a task had better wait for room near its data.

        It does as long as it would end in time elsewhere too, and again from when it would only
        end in time near its data.
        """
        work = job.length
        elsewhere = job.arrived + job.objective - self._remote_factor * work - OVERHEAD_SECONDS
        return now < elsewhere or elsewhere + 2 * OVERHEAD_SECONDS < now < job.start_by

    def _probe(self, now: float, targets: list[TargetRecord]) -> TargetRecord | None:
        for target in targets:
            if target.on_probation and now > self._probed.get(target.name, 0.0) + PROBE_PERIOD:
                return target
        return None

    def _in_time(
        self, now: float, job: JobRecord, good: list[TargetRecord], sound: list[TargetRecord]
    ) -> list[TargetRecord]:
        """Return the targets with room where the task ends in time; all if it does nowhere."""
        due = job.first_sent + job.objective
        slowest = (due - now) / job.length * self.typical_slowness
        if any(target.slowness <= slowest for target in sound):
            return [target for target in good if target.slowness <= slowest]
        return good

    def _least_loaded(self, targets: list[TargetRecord]) -> TargetRecord | None:
        """Return a target of little load; entries that know the same choose differently."""

        def key(target: TargetRecord) -> tuple[int, bool, float]:
            return int(target.load * LOAD_STEPS), target.hall != self._hall, self._rng.random()

        return min(targets, key=key, default=None)


def _tasks_at(job: JobRecord, target: TargetRecord) -> int:
    """Return how many tasks of a job have been sent to a target and did not come back."""
    return sum(
        task.target == target.name and task.phase is not TaskPhase.WAITING for task in job.tasks
    )
