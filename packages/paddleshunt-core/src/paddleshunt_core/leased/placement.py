"""Chooses a target for one task.

First what serves the job: targets where the task ends in time, those with time to spare before
others. Among them the least loaded, where a kind of host that is slow, and yet fast enough, goes
first, and a target that no message needs to reach in another hall. A cold runner takes longer for
the same work: it gets a task that ends in time there, or is late anywhere, and has no warm one.
"""

from collections import Counter
from dataclasses import dataclass
from random import Random
from typing import final

from paddleshunt_core.leased.bounds import COLD_OVERRUN, HALL_PREFERENCE
from paddleshunt_core.leased.jobs import OVERHEAD_SECONDS, JobRecord, TaskPhase, TaskRecord
from paddleshunt_core.leased.room import RoomNow
from paddleshunt_core.leased.speeds import Speeds
from paddleshunt_core.leased.targets import TargetRecord

LOAD_STEP = 1 / 12
"""Loads that differ by less count as equal, so that entries that know the same choose differently.
"""

COLD_LAST = 4.0
"""What a cold runner costs, as a load: more than all else, so a warm one that serves goes first."""

SPARE_FAST = 0.25
"""Share of its room by which a fast runner counts as fuller for a task that need not be fast."""

PROBE_PERIOD = 1.0
"""Seconds between two tasks that an entry gives to a runner on probation."""

LENGTH_MARGIN = 1.2
"""How many times its expected length a task may take; learned lengths err by 0.2 at the median."""

WIDTH_MARGIN = 0.06
"""By how much more for each doubling of a job's tasks: it ends with the longest of them.

Of n equal tasks that differ by 0.15 the longest is longer by about 0.06 for each doubling of n.
"""

LIKELY = 0.5
"""Part of a job's margin that must be left where it is sent rather than held.

A job waits for room on a fast host while it has that much there; once it has it nowhere, any host
where it ends in time by its expected length will do.
"""

FAST = 0.95
"""Slowness against a usual host below which a kind counts as fast."""

ALIKE = 1.1
"""Targets count as equally fast up to this factor; a deviation is known no better."""

COMPARING_SHARE = 0.1
"""Part of the jobs that are spread over kinds of hosts whose speeds were not seen here yet.

One job in ten may be late for it, and a few dozen jobs show how the kinds differ.
"""

ROUNDING = 0.001
"""Slowness by which a host may be too slow: two hosts of a kind are equally slow."""

LATE_MARGIN = 0.8
"""Part of its expected length that a task may take at the least: it may be in time after all."""


@final
@dataclass(slots=True)
class _Candidate:
    """A target for the tasks of one job, with what is the same for all of them."""

    target: TargetRecord
    slowness: float
    """How many times the job's length a task takes there: its data's way and a cold start count."""
    kind: float
    """The same for any runner of the kind."""
    way: float
    """What the way there costs, as a load."""
    cold: float
    """What a cold runner costs, as a load."""
    has_room: bool = False
    load: float = 0.0

    def look(self, job: JobRecord) -> None:
        """See how full the target is now."""
        self.has_room = job.request.need.fits(self.target.free)
        self.load = self.target.load if self.has_room else 1.0


@final
class _Plan:
    """What holds for all tasks of a job that are placed at one moment."""

    def __init__(
        self, now: float, job: JobRecord, eligible: list[TargetRecord], sound: list[_Candidate]
    ) -> None:
        self.now = now
        self.job = job
        self.eligible = eligible
        self.sound = sound
        self.probes = [target for target in eligible if target.on_probation]
        self.last: _Candidate | None = None
        self.sent = Counter(
            task.target for task in job.tasks if task.phase is not TaskPhase.WAITING
        )
        """How many tasks were sent to each target and did not come back."""
        self.due = job.due
        """When a task must end to be in time: not before the job's slowest task does."""
        by_name = {each.target.name: each for each in sound}
        for task in job.tasks:
            if task.phase is TaskPhase.PLACED and task.target in by_name:
                self.placed(task.placed_at, by_name[task.target])

    def may_spread_to(self, target: TargetRecord) -> bool:
        """Whether a target may have one more of the job's tasks."""
        spread = self.job.request.spread
        return not spread or self.sent[target.name] < spread

    def has_other(self, task: TaskRecord) -> bool:
        """Whether there is a target where the task has not failed."""
        return any(target.name not in task.avoid for target in self.eligible)

    def placed(self, at: float, candidate: _Candidate) -> None:
        """Note that a task of the job was sent there: others need not end before it does."""
        ends = at + self.job.length * candidate.slowness + OVERHEAD_SECONDS
        self.due = max(self.due, ends)


@final
class Placement:
    """Chooses among an entry's targets; remembers when it last probed one.

    Away from the rack where its data lies, a task takes `remote_factor` times as long; on a cold
    runner, `cold_overrun` times. `hall_preference` is what a way between halls costs, as a share of
    a runner's room.
    """

    def __init__(
        self,
        hall: str,
        rng: Random,
        remote_factor: float,
        speeds: Speeds | None = None,
        hall_preference: float = HALL_PREFERENCE,
        cold_overrun: float = COLD_OVERRUN,
    ) -> None:
        self._rng = rng
        self._hall = hall
        self._remote_factor = remote_factor
        self._cold_overrun = cold_overrun
        self._speeds = speeds or Speeds()
        self._hall_preference = hall_preference
        self._probed: dict[str, float] = {}
        self._plan: _Plan | None = None

    def eligible(self, job: JobRecord, targets: list[TargetRecord]) -> list[TargetRecord]:
        """Return the targets whose runner may run the job's tasks; none if none has room."""
        request = job.request
        eligible = [t for t in targets if t.could_run(request.need)]
        if request.label:
            eligible = [t for t in eligible if t.has_label(request.label)]
        return eligible if any(request.need.fits(t.free) for t in eligible) else []

    def locality_factor(self, job: JobRecord, target: TargetRecord) -> float:
        """Return how many times as long a task takes at a target, by where its data lies."""
        rack = job.request.rack
        return self._remote_factor if rack and not target.has_label(rack) else 1.0

    def awaits_kind(self, now: float, job: JobRecord, room: RoomNow) -> bool:
        """Whether a job that has not begun waits for room on a kind of host that has none.

        It says cheaply what `choose` would find by looking at each target.
        """
        if job.request.rack or job.request.label or job.may_have_started:
            return False
        need = job.request.need
        kinds = room.kinds(job.queue.service)
        slowest = (job.due - OVERHEAD_SECONDS - now) / job.length
        likely = slowest / (1 + LIKELY * (_margin(job) - 1))
        usual = self._speeds.typical(job.queue.service)
        fit = [
            kind
            for kind in kinds
            if kind.factor <= likely * usual
            and kind.least <= slowest * usual
            and need.fits(kind.capacity)
        ]
        return bool(fit) and not any(need.fits(kind.free) for kind in fit)

    def choose(
        self, now: float, job: JobRecord, task: TaskRecord, eligible: list[TargetRecord]
    ) -> TargetRecord | None:
        """Return the target to send the task to, or None to hold it."""
        plan = self._planned(now, job, eligible)
        probe = self._probe(now, plan, task)
        if probe is not None:
            self._probed[probe.name] = now
            plan.sent[probe.name] += 1
            return probe
        sound = plan.sound
        if task.avoid:
            sound = [c for c in sound if c.target.name not in task.avoid] or sound
        if job.request.spread:
            sound = [c for c in sound if plan.may_spread_to(c.target)]
        chosen = self._best(now, plan, sound)
        plan.last = chosen
        if chosen is None:
            return None
        plan.placed(now, chosen)
        plan.sent[chosen.target.name] += 1
        return chosen.target

    # What holds for a job.

    def _planned(self, now: float, job: JobRecord, eligible: list[TargetRecord]) -> _Plan:
        """Return the job's plan; between two tasks of it only the last one's target has changed."""
        plan = self._plan
        if plan is None or plan.eligible is not eligible or plan.job is not job or plan.now != now:
            service = job.queue.service
            even = self._speeds.is_unproven(service) and self._rng.random() < COMPARING_SHARE
            sound = [
                self._candidate(now, job, t, even=even) for t in eligible if not t.on_probation
            ]
            for candidate in sound:
                candidate.look(job)
            plan = self._plan = _Plan(now, job, eligible, sound)
        elif plan.last is not None:
            plan.last.way = 0.0
            plan.last.look(job)
            plan.last = None
        return plan

    def _candidate(
        self, now: float, job: JobRecord, target: TargetRecord, *, even: bool
    ) -> _Candidate:
        """Return a candidate; with `even`, as if hosts of all kinds were alike."""
        usual = target.kind_factor if even else self._speeds.typical(job.queue.service)
        factor = self.locality_factor(job, target) / usual
        way = 0.0 if target.hall == self._hall else self._hall_preference
        kind = target.kind_factor * factor
        if target.is_cold(now):
            slowness = self._cold_overrun * target.slowness * factor
            return _Candidate(target, slowness, kind, way, COLD_LAST)
        return _Candidate(target, target.slowness * factor, kind, way, 0.0)

    def _probe(self, now: float, plan: _Plan, task: TaskRecord) -> TargetRecord | None:
        job = plan.job
        for target in plan.probes:
            if (
                now > self._probed.get(target.name, 0.0) + PROBE_PERIOD
                and (target.name not in task.avoid or not plan.has_other(task))
                and job.request.need.fits(target.free)
                and plan.may_spread_to(target)
            ):
                return target
        return None

    # The choice.

    def _best(self, now: float, plan: _Plan, sound: list[_Candidate]) -> _Candidate | None:
        job = plan.job
        good = [c for c in sound if c.has_room]
        if not good:
            return None
        slowest = (plan.due - OVERHEAD_SECONDS - now) / job.length + ROUNDING
        if job.request.rack and any(c.target.has_label(job.request.rack) for c in sound):
            return self._by_rack(now, plan, good, sound)
        # Beside a task of the job that ends late it is enough to end no later: no margin is needed.
        margin = _margin(job) if plan.due <= job.due else 1.0
        likely = slowest / (1 + LIKELY * (margin - 1))
        if any(c.kind <= likely and c.slowness <= slowest for c in sound):
            hopeful = [c for c in good if c.kind <= likely and c.slowness <= slowest]
            return self._least_loaded(hopeful, slowest, margin)
        if any(c.slowness <= slowest for c in sound):
            return self._least_loaded([c for c in good if c.slowness <= slowest])
        return self._late(now, job, good, slowest)

    def _late(
        self, now: float, job: JobRecord, good: list[_Candidate], slowest: float
    ) -> _Candidate | None:
        """Return a target for a task that is taken to be late anywhere: it may yet be in time."""
        hopeful = [c for c in good if c.slowness * LATE_MARGIN <= slowest]
        if hopeful:
            return self._least_loaded(hopeful)
        useful = [c for c in good if now + c.slowness * job.length <= job.useful_end]
        return self._least_loaded(useful or good, float("inf"))

    def _by_rack(
        self, now: float, plan: _Plan, good: list[_Candidate], sound: list[_Candidate]
    ) -> _Candidate | None:
        """Return a target in the rack where the data lies; one elsewhere if that serves better."""
        job = plan.job
        near = [c for c in good if c.target.has_label(job.request.rack)]
        timely = [c for c in near if now + c.slowness * job.length <= plan.due]
        if timely:
            return self._least_loaded(timely)
        if self._awaits_rack(now, plan, sound, has_room=bool(near)):
            return None
        least = min(c.slowness for c in good)
        return self._least_loaded([c for c in good if c.slowness <= least * ALIKE])

    def _awaits_rack(
        self, now: float, plan: _Plan, sound: list[_Candidate], *, has_room: bool
    ) -> bool:
        """Whether a task had better wait for room near its data.

        It does as long as it would end in time elsewhere too, and again from when it would only
        end in time near its data. Once it is late anyway it goes where there is room, unless its
        answer would come too late from there to be of any use.
        """
        job = plan.job
        rack = job.request.rack
        near = min(c.slowness for c in sound if c.target.has_label(rack)) * job.length
        others = [c.slowness for c in sound if not c.target.has_label(rack)]
        if not others:
            return not has_room
        away = min(others) * job.length
        elsewhere = plan.due - away - OVERHEAD_SECONDS
        if now < plan.due - near:
            return now < elsewhere or elsewhere + 2 * OVERHEAD_SECONDS < now
        return now + away > job.useful_end and not has_room

    def _least_loaded(
        self, candidates: list[_Candidate], slowest: float = 0.0, margin: float = 1.0
    ) -> _Candidate | None:
        """Return a target of little load and a short way; any of those that are alike.

        With `slowest`, the most that a host may be slow, the chance to be late there counts too,
        and hosts that are faster than usual are left to who needs them.
        """
        random = self._rng.random
        best: _Candidate | None = None
        least = float("inf")
        for candidate in candidates:
            cost = candidate.load + candidate.way + candidate.cold + LOAD_STEP * random()
            if slowest and candidate.kind < FAST:
                cost += SPARE_FAST
            if candidate.kind * margin > slowest > 0:
                cost += (candidate.kind * margin - slowest) / (slowest * (margin - 1))
            if cost < least:
                best, least = candidate, cost
        return best


def _margin(job: JobRecord) -> float:
    """Return how many times its expected length the longest task of a job may take."""
    return LENGTH_MARGIN + WIDTH_MARGIN * (job.request.count.bit_length() - 1)
