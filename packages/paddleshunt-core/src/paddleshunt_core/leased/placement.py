"""Chooses a target for each task.

Targets where the task ends in time come first, those with a time margin before others. Among them
the least loaded is chosen; slow hosts that are fast enough, and targets in the entry's own hall,
are preferred. A cold runner, which takes longer, is chosen only if no warm one serves.
"""

from collections import Counter
from dataclasses import dataclass
from random import Random
from typing import final

from paddleshunt_core.leased.bounds import COLD_OVERRUN, HALL_PREFERENCE
from paddleshunt_core.leased.jobs import OVERHEAD_SECONDS, JobRecord, TaskPhase, TaskRecord
from paddleshunt_core.leased.speeds import Speeds
from paddleshunt_core.leased.targets import TargetRecord
from paddleshunt_core.leased.targetsnapshot import TargetSnapshot

LOAD_JITTER = 1 / 12
"""Random load added to each target, so that entries with equal information choose differently."""

COLD_COST = 4.0
"""Load added to a cold runner; more than all other costs, so that warm ones are preferred."""

FAST_HOST_COST = 0.25
"""Load added to a fast runner for a task that would end in time on a slower one."""

PROBE_PERIOD = 1.0
"""Seconds between two tasks that an entry gives to a runner on probation."""

LENGTH_MARGIN = 1.2
"""Multiple of its expected length that a task may take, to cover errors of the prediction."""

MARGIN_PER_DOUBLING = 0.06
"""Increase of `LENGTH_MARGIN` for each doubling of a job's tasks, as the job ends with the longest.

The longest of n equal tasks whose lengths vary by 0.15 is longer by about 0.06 for each doubling of
n.
"""

HOLD_MARGIN_SHARE = 0.5
"""Share of a job's margin that must be left on a host for the job to wait for it.

Once no host leaves that much, any host where it ends in time by its expected length is accepted.
"""

FAST_SLOWNESS = 0.95
"""Slowness relative to a typical host below which a kind counts as fast."""

SIMILAR_SLOWNESS_FACTOR = 1.1
"""Factor up to which targets count as equally fast."""

EXPLORATION_SHARE = 0.1
"""Share of the jobs that are placed on any kind of host while the kinds' speeds are unknown here.

One job in ten may be late because of it, and a few dozen jobs show how the kinds differ.
"""

SLOWNESS_TOLERANCE = 0.001
"""Tolerance of slowness comparisons, for rounding: hosts of a kind must compare as equal."""

MIN_LENGTH_FACTOR = 0.8
"""Smallest part of its expected length that a task is assumed to take."""


@final
@dataclass(slots=True)
class _Candidate:
    """A target for the tasks of one job, with the figures that are the same for all of them."""

    target: TargetRecord
    slowness: float
    """Duration of a task there relative to the job's length, with remote data and a cold runner."""
    kind_slowness: float
    """The same for a typical warm runner of the kind."""
    hall_cost: float
    """Load added for a target in another hall."""
    cold_cost: float
    """Load added for a cold runner."""
    fits: bool = False
    load: float = 0.0

    def refresh(self, job: JobRecord) -> None:
        """Update the load and whether a task of the job fits."""
        self.fits = job.request.need.fits(self.target.free)
        self.load = self.target.load if self.fits else 1.0


@final
class _Plan:
    """State shared by the tasks of a job that are placed at one time."""

    def __init__(
        self, now: float, job: JobRecord, eligible: list[TargetRecord], candidates: list[_Candidate]
    ) -> None:
        self.now = now
        self.job = job
        self.eligible = eligible
        self.candidates = candidates
        self.probes = [target for target in eligible if target.on_probation]
        self.last_chosen: _Candidate | None = None
        self.sent_counts = Counter(
            task.target for task in job.tasks if task.phase is not TaskPhase.WAITING
        )
        """Number of the job's tasks that each target runs, may still run or has completed."""
        self.due = job.due
        """When a task must end: by the objective, or with the job's last placed task if later."""
        by_name = {each.target.name: each for each in candidates}
        for task in job.tasks:
            if task.phase is TaskPhase.PLACED and task.target in by_name:
                self.record_placement(task.placed_at, by_name[task.target])

    def may_spread_to(self, target: TargetRecord) -> bool:
        """Whether a target may have one more of the job's tasks."""
        spread = self.job.request.spread
        return not spread or self.sent_counts[target.name] < spread

    def has_untried_target(self, task: TaskRecord) -> bool:
        """Whether there is a target where the task has not failed."""
        return any(target.name not in task.avoid for target in self.eligible)

    def record_placement(self, at: float, candidate: _Candidate) -> None:
        """Record that a task was placed; the job's other tasks need not end earlier."""
        ends = at + self.job.length * candidate.slowness + OVERHEAD_SECONDS
        self.due = max(self.due, ends)


@final
class Placement:
    """Chooses among an entry's targets.

    A task takes `remote_factor` times as long outside the rack that stores its data, and
    `cold_overrun` times as long on a cold runner. `hall_preference` is the load added for a target
    in another hall.
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
        self._probed_at: dict[str, float] = {}
        self._plan: _Plan | None = None

    def eligible(self, job: JobRecord, targets: list[TargetRecord]) -> list[TargetRecord]:
        """Return the targets that can run the job's tasks, or none if no task fits any of them."""
        request = job.request
        eligible = [t for t in targets if t.could_run(request.need)]
        if request.label:
            eligible = [t for t in eligible if t.has_label(request.label)]
        return eligible if any(request.need.fits(t.free) for t in eligible) else []

    def locality_factor(self, job: JobRecord, target: TargetRecord) -> float:
        """Return the factor by which a task takes longer on a target remote from its data."""
        rack = job.request.rack
        return self._remote_factor if rack and not target.has_label(rack) else 1.0

    def should_wait_for_kind(self, now: float, job: JobRecord, snapshot: TargetSnapshot) -> bool:
        """Whether to hold a job that has not started for a kind of host that is full now.

        It predicts the result of `choose` per kind of host, without visiting each target.
        """
        if job.request.rack or job.request.label or job.may_have_started:
            return False
        need = job.request.need
        kinds = snapshot.kinds(job.queue.service)
        max_slowness = (job.due - OVERHEAD_SECONDS - now) / job.length
        safe_slowness = max_slowness / (1 + HOLD_MARGIN_SHARE * (_margin(job) - 1))
        typical_slowness = self._speeds.typical_slowness(job.queue.service)
        suitable = [
            kind
            for kind in kinds
            if kind.factor <= safe_slowness * typical_slowness
            and kind.min_slowness <= max_slowness * typical_slowness
            and need.fits(kind.capacity)
        ]
        return bool(suitable) and not any(need.fits(kind.free) for kind in suitable)

    def choose(
        self, now: float, job: JobRecord, task: TaskRecord, eligible: list[TargetRecord]
    ) -> TargetRecord | None:
        """Return the target to send the task to, or None to hold it."""
        plan = self._planned(now, job, eligible)
        probe = self._probe(now, plan, task)
        if probe is not None:
            self._probed_at[probe.name] = now
            plan.sent_counts[probe.name] += 1
            return probe
        candidates = plan.candidates
        if task.avoid:
            candidates = [c for c in candidates if c.target.name not in task.avoid] or candidates
        if job.request.spread:
            candidates = [c for c in candidates if plan.may_spread_to(c.target)]
        chosen = self._choose_best(now, plan, candidates)
        plan.last_chosen = chosen
        if chosen is None:
            return None
        plan.record_placement(now, chosen)
        plan.sent_counts[chosen.target.name] += 1
        return chosen.target

    def _planned(self, now: float, job: JobRecord, eligible: list[TargetRecord]) -> _Plan:
        """Return the job's plan; reuse it between its tasks, and update the target chosen last.

        Further tasks add no cost for another hall there, as they share the message to it.
        """
        plan = self._plan
        if plan is None or plan.eligible is not eligible or plan.job is not job or plan.now != now:
            service = job.queue.service
            explore = self._speeds.is_unproven(service) and self._rng.random() < EXPLORATION_SHARE
            candidates = [
                self._candidate(now, job, t, explore=explore)
                for t in eligible
                if not t.on_probation
            ]
            for candidate in candidates:
                candidate.refresh(job)
            plan = self._plan = _Plan(now, job, eligible, candidates)
        elif plan.last_chosen is not None:
            plan.last_chosen.hall_cost = 0.0
            plan.last_chosen.refresh(job)
            plan.last_chosen = None
        return plan

    def _candidate(
        self, now: float, job: JobRecord, target: TargetRecord, *, explore: bool
    ) -> _Candidate:
        """Return a candidate; with `explore`, as if hosts of all kinds were equally fast."""
        typical_slowness = (
            target.kind_factor if explore else self._speeds.typical_slowness(job.queue.service)
        )
        factor = self.locality_factor(job, target) / typical_slowness
        hall_cost = 0.0 if target.hall == self._hall else self._hall_preference
        kind_slowness = target.kind_factor * factor
        if target.is_cold(now):
            slowness = self._cold_overrun * target.slowness * factor
            return _Candidate(target, slowness, kind_slowness, hall_cost, COLD_COST)
        return _Candidate(target, target.slowness * factor, kind_slowness, hall_cost, 0.0)

    def _probe(self, now: float, plan: _Plan, task: TaskRecord) -> TargetRecord | None:
        """Return a target on probation that is due a task and suits this one, if any."""
        job = plan.job
        for target in plan.probes:
            if (
                now > self._probed_at.get(target.name, 0.0) + PROBE_PERIOD
                and (target.name not in task.avoid or not plan.has_untried_target(task))
                and job.request.need.fits(target.free)
                and plan.may_spread_to(target)
            ):
                return target
        return None

    def _choose_best(
        self, now: float, plan: _Plan, candidates: list[_Candidate]
    ) -> _Candidate | None:
        job = plan.job
        fitting = [c for c in candidates if c.fits]
        if not fitting:
            return None
        max_slowness = (plan.due - OVERHEAD_SECONDS - now) / job.length + SLOWNESS_TOLERANCE
        if job.request.rack and any(c.target.has_label(job.request.rack) for c in candidates):
            return self._choose_by_rack(now, plan, fitting, candidates)
        # If another task of the job ends late, this one needs no margin to end before it.
        margin = _margin(job) if plan.due <= job.due else 1.0
        safe_slowness = max_slowness / (1 + HOLD_MARGIN_SHARE * (margin - 1))
        if any(c.kind_slowness <= safe_slowness and c.slowness <= max_slowness for c in candidates):
            safe = [
                c
                for c in fitting
                if c.kind_slowness <= safe_slowness and c.slowness <= max_slowness
            ]
            return self._choose_cheapest(safe, max_slowness, margin)
        if any(c.slowness <= max_slowness for c in candidates):
            return self._choose_cheapest([c for c in fitting if c.slowness <= max_slowness])
        return self._choose_late(now, job, fitting, max_slowness)

    def _choose_late(
        self, now: float, job: JobRecord, fitting: list[_Candidate], max_slowness: float
    ) -> _Candidate | None:
        """Return a target for a task that is expected to be late anywhere."""
        maybe_timely = [c for c in fitting if c.slowness * MIN_LENGTH_FACTOR <= max_slowness]
        if maybe_timely:
            return self._choose_cheapest(maybe_timely)
        useful = [c for c in fitting if now + c.slowness * job.length <= job.useful_end]
        return self._choose_cheapest(useful or fitting, float("inf"))

    def _choose_by_rack(
        self, now: float, plan: _Plan, fitting: list[_Candidate], candidates: list[_Candidate]
    ) -> _Candidate | None:
        """Return a target in the rack that stores the data, or one elsewhere if that is better."""
        job = plan.job
        local = [c for c in fitting if c.target.has_label(job.request.rack)]
        timely = [c for c in local if now + c.slowness * job.length <= plan.due]
        if timely:
            return self._choose_cheapest(timely)
        if self._should_wait_for_rack(now, plan, candidates, has_capacity=bool(local)):
            return None
        min_slowness = min(c.slowness for c in fitting)
        return self._choose_cheapest(
            [c for c in fitting if c.slowness <= min_slowness * SIMILAR_SLOWNESS_FACTOR]
        )

    def _should_wait_for_rack(
        self, now: float, plan: _Plan, candidates: list[_Candidate], *, has_capacity: bool
    ) -> bool:
        """Whether to hold a task until a target in its data's rack has capacity.

        It is held while it could still end in time elsewhere later, and again once it can end in
        time only in the rack. A task that is late in any case is held only if the rack is full and
        its answer from elsewhere would be too late to be of use.
        """
        job = plan.job
        rack = job.request.rack
        local_length = min(c.slowness for c in candidates if c.target.has_label(rack)) * job.length
        others = [c.slowness for c in candidates if not c.target.has_label(rack)]
        if not others:
            return not has_capacity
        remote_length = min(others) * job.length
        last_remote_start = plan.due - remote_length - OVERHEAD_SECONDS
        if now < plan.due - local_length:
            return now < last_remote_start or last_remote_start + 2 * OVERHEAD_SECONDS < now
        return now + remote_length > job.useful_end and not has_capacity

    def _choose_cheapest(
        self, candidates: list[_Candidate], max_slowness: float = 0.0, margin: float = 1.0
    ) -> _Candidate | None:
        """Return the candidate of the lowest cost, with random jitter between similar ones.

        With `max_slowness`, the slowness above which the task would be late, the cost includes the
        risk of being late, and fast hosts cost more, to keep them for tasks that need them.
        """
        random = self._rng.random
        best: _Candidate | None = None
        min_cost = float("inf")
        for candidate in candidates:
            cost = (
                candidate.load + candidate.hall_cost + candidate.cold_cost + LOAD_JITTER * random()
            )
            if max_slowness and candidate.kind_slowness < FAST_SLOWNESS:
                cost += FAST_HOST_COST
            if candidate.kind_slowness * margin > max_slowness > 0:
                cost += (candidate.kind_slowness * margin - max_slowness) / (
                    max_slowness * (margin - 1)
                )
            if cost < min_cost:
                best, min_cost = candidate, cost
        return best


def _margin(job: JobRecord) -> float:
    """Return the multiple of its expected length that the longest task of a job may take."""
    return LENGTH_MARGIN + MARGIN_PER_DOUBLING * (job.request.count.bit_length() - 1)
