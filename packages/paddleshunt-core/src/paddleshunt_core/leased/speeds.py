"""Relative slowness of hosts by kind, learned from completions and shared between entries.

A kind's factor is the ratio of task times on it to those elsewhere; a runner's difference from its
kind is its own deviation (`TargetRecord.deviation`). Both come from comparing the tasks of one job,
which are alike, so a wrong expected length doesn't affect them. That matters because tasks expected
to be short are the ones placed on slow hosts. Expected lengths refer to a typical host
(`typical_slowness`, the mean over the known targets).
"""

from collections.abc import Iterable
from dataclasses import dataclass
from typing import final

from paddleshunt_core.events import Log, note
from paddleshunt_core.leased.jobs import OVERHEAD_SECONDS
from paddleshunt_core.leased.targets import TargetRecord
from paddleshunt_core.leased.wire import KindSpeed, SpeedUpdate

MAX_WEIGHT = 200.0
"""Largest weight of a kind's factor, in completions; it follows a change within about as many."""

LENGTH_WEIGHT = 0.02
"""Weight of a task's time against its expected length, in completions, for its kind.

It is used only if hardly any job has run on two kinds: slow hosts get the tasks whose length is
underestimated, which makes them look slower still.
"""

MIN_COMPARED = 4.0
"""Compared completions of a kind from which expected lengths are ignored."""

LONE_TASK_WEIGHT = 0.3
"""Weight of a task's time against its expected length, for the deviation, if it ran alone."""

PRIOR_WEIGHT = 1.0
"""Weight, in completions, of the prior assumption that a kind's factor is 1."""

MAX_STEP = 1.35
"""Largest ratio of a task's time to the one that its kind's factor implies; others are clamped.

A few runners that turn slow then hardly affect their kind; their deviation absorbs it.
"""

OUTLIER_DECAY = 0.9
"""Factor that evidence is multiplied by after a completion beyond `MAX_STEP`.

A single slow runner causes few of these. A wrong factor, or a kind that has changed, causes nothing
else, so the old evidence is soon gone.

Such a factor is followed within some hundred completions, however much evidence there was.
"""

MAX_FACTOR = 8.0
"""Largest factor of a kind, and its inverse the smallest, whatever the source."""


HALF_LIFE_SECONDS = 300.0
"""Seconds in which the evidence on a kind halves.

A factor approaches 1 as its evidence decays.
"""

AVOIDED_AFTER_SECONDS = 60.0
"""Seconds without a completion after which a kind is assumed to be avoided.

That requires recent completions on other kinds of its service. From then on its difference from
those kinds halves in the same time, and so does its own evidence, so that a kind that was slow for
a while is tried again.
"""

MIN_SHARED_COMPLETIONS = 5.0
"""Own completions below which an entry shares nothing on a kind."""

MIN_PROVEN_COMPLETIONS = 10.0
"""Own completions below which a kind counts as unproven.

Completions that are all outliers never reach it, as each costs a tenth of the evidence.
"""

MAX_SHARED_FACTOR = 4.0
"""Largest factor of a kind that is taken over from another entry."""

SHARED_CHANGE = 1.05
"""Ratio by which a factor must change to be shared again."""

SHARED_GROWTH = 2.0
"""Ratio by which own completions of a kind must grow for its factor to be shared again."""

ADOPTION_RATIO = 2.0
"""Ratio of another entry's evidence to this entry's above which the other's is adopted."""

REFRESH_SECONDS = 0.5
"""Seconds between two refreshes of all targets.

One refresh of 640 targets takes some 0.2 ms of processor time.
"""

MAX_COMPARED = 16
"""Tasks of a job that are compared, each with all others."""

MIN_RUN_SECONDS = 0.001
"""Shortest run time assumed for a task, in seconds."""

MAX_KINDS = 64
"""Kinds kept; a bound on what other entries may report."""

MAX_NAME_LENGTH = 200
"""Characters of a service's or kind's name that is accepted from another entry."""

Kind = tuple[str, str]
"""A service and the kind of host on which its tasks run."""


@final
class _Sample:
    """The run time of one task of a job, and the task lengths that it implies."""

    def __init__(self, target: TargetRecord, kind: Kind, factor: float, work: float) -> None:
        self.target = target
        self.kind = kind
        baseline = max(MIN_RUN_SECONDS, work) / factor
        self.length = baseline / target.deviation
        """Implied length given the runner's kind and deviation."""
        self.kind_length = baseline
        """Implied length given the kind alone, so that factors don't depend on deviations."""


@final
@dataclass(slots=True)
class _Evidence:
    """The evidence on one kind."""

    raw_factor: float = 1.0
    """The factor from completions alone, without the prior."""
    weight: float = 0.0
    """Completions that count, including those of other entries."""
    own_weight: float = 0.0
    """Completions that this entry saw itself."""
    compared: float = 0.0
    """Completions that were compared with others of their job, or came from another entry."""
    shared_factor: float = 1.0
    """The factor that was shared last."""
    shared_weight: float = 0.0
    """Value of `own_weight` when the factor was shared last."""
    idle_seconds: float = 0.0
    """Seconds since the last completion."""

    @property
    def factor(self) -> float:
        """Ratio of task times on the kind to those elsewhere; near 1 with little evidence."""
        factor: float = self.raw_factor ** (self.weight / (self.weight + PRIOR_WEIGHT))
        return factor

    def add_ratio(self, ratio: float, weight: float) -> None:
        """Add a completion that took `ratio` times as long as the factor implies."""
        if not 1 / MAX_STEP <= ratio <= MAX_STEP:
            self.weight *= OUTLIER_DECAY
            self.own_weight *= OUTLIER_DECAY
        self.weight = min(self.weight + weight, MAX_WEIGHT)
        self.own_weight = min(self.own_weight + weight, MAX_WEIGHT)
        step = _clamped(ratio, MAX_STEP) ** (weight / (self.weight + PRIOR_WEIGHT))
        self.raw_factor = _clamped(self.raw_factor * step, MAX_FACTOR)

    def decay(self, seconds: float, others: float | None) -> None:
        """Decay the evidence by the passing of so many seconds.

        `others` is the mean factor of the service's kinds in use; None if there is none.
        """
        remaining: float = 0.5 ** (seconds / HALF_LIFE_SECONDS)
        self.idle_seconds += seconds
        self.weight *= remaining
        self.own_weight *= remaining
        self.compared *= remaining
        if others is not None and self.idle_seconds >= AVOIDED_AFTER_SECONDS:
            idle_remaining: float = 0.5 ** (seconds / AVOIDED_AFTER_SECONDS)
            self.raw_factor = others * (self.raw_factor / others) ** idle_remaining
            self.own_weight *= idle_remaining

    def should_share(self) -> bool:
        """Whether there is enough new evidence to share."""
        if self.own_weight < MIN_SHARED_COMPLETIONS:
            return False
        changed = not 1 / SHARED_CHANGE <= self.raw_factor / self.shared_factor <= SHARED_CHANGE
        return changed or self.own_weight > SHARED_GROWTH * self.shared_weight


@final
class Speeds:
    """The factors of all kinds known to an entry."""

    def __init__(self) -> None:
        self._kinds: dict[Kind, _Evidence] = {}
        self._typical_by_service: dict[str, float] = {}
        self._unproven_services: set[str] = set()
        self._reported_kinds: set[Kind] = set()
        """Kinds that targets have reported."""
        self._refreshed_at: float | None = None

    def typical_slowness(self, service: str) -> float:
        """Return the slowness of a typical host, which expected lengths refer to."""
        return self._typical_by_service.get(service, 1.0)

    def factor(self, service: str, kind: str) -> float:
        """Return the ratio of task times on a kind of host to those elsewhere."""
        known = self._kinds.get((service, kind))
        return known.factor if known is not None else 1.0

    def is_unproven(self, service: str) -> bool:
        """Whether one of a service's several kinds is unproven here: jobs must then mix them.

        A wrong factor keeps jobs away from a kind, and so from completions that would correct it.
        """
        return service in self._unproven_services

    def set_kind_factor(self, target: TargetRecord) -> None:
        """Set a target's factor to that of the kind in its report."""
        report = target.report
        if report is not None:
            self._reported_kinds.add((report.service, report.kind))
            target.kind_factor = self.factor(report.service, report.kind)

    def compare_tasks(self, length: float, completed: Iterable[tuple[TargetRecord, float]]) -> None:
        """Update factors and deviations from the run times of a completed job's tasks.

        `completed` pairs the target and the run time in seconds of each task; `length` is the
        expected run time. Only tasks of healthy runners belong there.
        """
        samples = []
        for target, work in list(completed)[:MAX_COMPARED]:
            if target.report is not None:
                kind = (target.report.service, target.report.kind)
                samples.append(_Sample(target, kind, self.factor(*kind), work))
        expected = max(MIN_RUN_SECONDS, length)
        for sample in samples:
            others = [s.kind_length for s in samples if s.kind != sample.kind]
            evidence = self._evidence(sample.kind)
            evidence.idle_seconds = 0.0
            if others:
                baseline = _geometric_mean(others)
                weight = len(others) / (len(others) + 1)
                evidence.add_ratio(sample.kind_length / baseline, weight)
                evidence.compared = min(evidence.compared + weight, MAX_WEIGHT)
            elif evidence.compared < MIN_COMPARED:
                evidence.add_ratio(sample.kind_length / expected, LENGTH_WEIGHT)
        for sample in samples:
            others = [s.length for s in samples if s is not sample]
            if others:
                sample.target.observe_duration_ratio(sample.length / _geometric_mean(others), 1.0)
            else:
                # The expected length refers to a typical host, a sample's to one of factor 1.
                ratio = sample.length * self.typical_slowness(sample.kind[0]) / expected
                sample.target.observe_duration_ratio(ratio, LONE_TASK_WEIGHT)
            self.set_kind_factor(sample.target)

    def tick(self, now: float, targets: Iterable[TargetRecord]) -> None:
        """Refresh the targets' factors if that is due."""
        if self._refreshed_at is None or now >= self._refreshed_at + REFRESH_SECONDS:
            self.refresh(now, targets)

    def refresh(self, now: float, targets: Iterable[TargetRecord]) -> None:
        """Update the targets' factors and the typical slowness, and decay old evidence."""
        seconds = 0.0 if self._refreshed_at is None else max(0.0, now - self._refreshed_at)
        self._refreshed_at = now
        in_use: dict[str, list[float]] = {}
        for kind, evidence in self._kinds.items():
            if evidence.idle_seconds < AVOIDED_AFTER_SECONDS:
                in_use.setdefault(kind[0], []).append(evidence.raw_factor)
        others = {service: _geometric_mean(factors) for service, factors in in_use.items()}
        for kind, evidence in self._kinds.items():
            evidence.decay(seconds, others.get(kind[0]))
        factors: dict[str, list[float]] = {}
        known: dict[Kind, float] = {}
        for target in targets:
            report = target.report
            if report is None:
                continue
            kind = (report.service, report.kind)
            factor = known.get(kind)
            if factor is None:
                factor = known[kind] = self.factor(*kind)
            target.kind_factor = factor
            if target.deviation != 1.0:
                target.decay_deviation(seconds)
            factors.setdefault(report.service, []).append(factor)
        self._reported_kinds = set(known)
        self._collect_unproven(known)
        self._typical_by_service = {name: sum(each) / len(each) for name, each in factors.items()}

    def snapshot(self) -> list[KindSpeed]:
        """Return the evidence on each kind for operators, including what is too weak to share."""
        return [self._message(kind, evidence) for kind, evidence in self._kinds.items()]

    def _collect_unproven(self, present: Iterable[Kind]) -> None:
        """Collect the services with several kinds of hosts of which one is unproven here."""
        kinds: dict[str, list[bool]] = {}
        for kind in present:
            kinds.setdefault(kind[0], []).append(self._is_proven(kind))
        self._unproven_services = {
            name for name, each in kinds.items() if len(each) > 1 and not all(each)
        }

    def _is_proven(self, kind: Kind) -> bool:
        known = self._kinds.get(kind)
        return known is not None and known.own_weight >= MIN_PROVEN_COMPLETIONS

    def export(self) -> SpeedUpdate | None:
        """Return all that was learned here, for an entry that has just connected."""
        kinds = [
            self._message(kind, evidence)
            for kind, evidence in self._kinds.items()
            if evidence.own_weight >= MIN_SHARED_COMPLETIONS
        ]
        return SpeedUpdate(kinds) if kinds else None

    def take_changes(self) -> SpeedUpdate | None:
        """Return what was learned here since the last call; None if nothing was."""
        kinds = []
        for kind, evidence in self._kinds.items():
            if evidence.should_share():
                evidence.shared_factor, evidence.shared_weight = (
                    evidence.raw_factor,
                    evidence.own_weight,
                )
                kinds.append(self._message(kind, evidence))
        return SpeedUpdate(kinds) if kinds else None

    def merge(self, update: SpeedUpdate) -> list[KindSpeed]:
        """Adopt another entry's evidence where it is much stronger; return what was adopted.

        Adopted evidence counts as a few completions, so that own ones soon outweigh it. It is not
        shared again, so that no entry gets its own evidence back as another's.
        """
        return [message for message in update.kinds[:MAX_KINDS] if self._adopt(message)]

    def _adopt(self, message: KindSpeed) -> bool:
        kind = (message.service, message.kind)
        known = self._kinds.get(kind)
        completions = min(float(message.ends), MAX_WEIGHT)
        if not _is_plausible(message) or completions <= ADOPTION_RATIO * (
            known.weight if known else 0.0
        ):
            return False
        if known is not None and known.own_weight >= MIN_PROVEN_COMPLETIONS:
            return False
        if known is None:
            if len(self._kinds) >= MAX_KINDS and kind not in self._reported_kinds:
                return False
            known = self._evidence(kind)
        slowness = _clamped(message.slowness_thousandths / 1000, MAX_SHARED_FACTOR)
        factor = slowness * self.typical_slowness(message.service)
        known.weight = known.compared = min(completions / ADOPTION_RATIO, MIN_PROVEN_COMPLETIONS)
        raw_factor = factor ** ((known.weight + PRIOR_WEIGHT) / known.weight)
        known.raw_factor = known.shared_factor = _clamped(raw_factor, MAX_FACTOR)
        known.own_weight = known.shared_weight = 0.0
        return True

    def _message(self, kind: Kind, evidence: _Evidence) -> KindSpeed:
        service, name = kind
        slowness = evidence.factor / self.typical_slowness(service)
        return KindSpeed(service, name, round(1000 * slowness), round(evidence.own_weight))

    def _evidence(self, kind: Kind) -> _Evidence:
        """Return the evidence on a kind, dropping another kind's to make room for a new one.

        Kinds without a target are dropped first, then those with the fewest own completions.
        """
        known = self._kinds.get(kind)
        if known is None:
            if len(self._kinds) >= MAX_KINDS:
                del self._kinds[min(self._kinds, key=self._priority)]
            known = self._kinds[kind] = _Evidence()
        return known

    def _priority(self, kind: Kind) -> tuple[bool, float, float]:
        """Return a kind's priority for being kept, the most important criterion first."""
        known = self._kinds[kind]
        return kind in self._reported_kinds, known.own_weight, known.weight


def _clamped(ratio: float, limit: float) -> float:
    """Return a ratio limited to `limit` and its inverse."""
    return min(limit, max(1 / limit, ratio))


def _geometric_mean(lengths: list[float]) -> float:
    """Return the geometric mean, in which half and twice cancel out."""
    product = 1.0
    for length in lengths:
        product *= length ** (1 / len(lengths))
    return product


def work_seconds(took: float) -> float:
    """Return the run time of a task that took so many seconds from its assignment to its end."""
    return max(took / 2, took - OVERHEAD_SECONDS)


def kind_speed_log(message: KindSpeed, source: str) -> Log:
    """Return the log line for evidence adopted from another entry."""
    fields: dict[str, str | int | float] = {
        "service": message.service,
        "kind": message.kind,
        "slowness": message.slowness_thousandths / 1000,
        "ends": message.ends,
        "source": source,
    }
    return note("kind_speed_taken", **fields)


def _is_plausible(message: KindSpeed) -> bool:
    """Whether another entry's evidence is plausible; adoption limits its factor and weight."""
    has_short_names = max(len(message.service), len(message.kind)) <= MAX_NAME_LENGTH
    return has_short_names and message.slowness_thousandths > 0 and message.ends > 0
