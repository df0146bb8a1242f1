"""How slow hosts are, by their kind: learned from ends, shared by entries, handed to new runners.

A kind's factor says how many times as long a task takes there as elsewhere; what one runner
differs by from its kind is its own deviation (`TargetRecord.deviation`). Both are learned by
comparing the tasks of one job, which are alike, so that a wrong length says nothing of a host.
That matters: the tasks that are thought to be short are those that slow hosts are given. Lengths
are meant for a usual host (`typical`, the mean over the targets known).
"""

from collections.abc import Iterable
from dataclasses import dataclass
from typing import final

from paddleshunt_core.events import Log, note
from paddleshunt_core.leased.jobs import OVERHEAD_SECONDS
from paddleshunt_core.leased.targets import TargetRecord
from paddleshunt_core.leased.wire import KindSpeed, SpeedNews

MEMORY_ENDS = 200.0
"""Ends that count in a kind's factor at most: a change of it is followed within about so many."""

LENGTH_WEIGHT = 0.02
"""Weight, in ends, of a task's time against its expected length, for its kind.

It counts only where next to no job has run on two kinds: slow hosts are given what is thought too
short, which makes them look slower still.
"""

COMPARED_ENOUGH = 4.0
"""Ends behind a factor from which lengths say nothing of the kind any more."""

LENGTH_WEIGHT_ALONE = 0.3
"""The same for a runner's deviation, where a job has no other task to compare with."""

BELIEF_ENDS = 1.0
"""Weight, in ends, of the belief that a kind is like any other."""

FARTHEST_STEP = 1.35
"""By how many times an end may differ from its kind's factor in what is learned from it.

A few runners that turn slow then say little of their kind; their deviation takes it up.
"""

SURPRISE = 0.9
"""What is left of the evidence after an end that differs by more than that.

One runner that turned slow gives few of them; a factor that is wrong, or a kind that has changed,
gives nothing else, and is so followed within some hundred ends however much evidence there was.
"""

FARTHEST_FACTOR = 8.0
"""By which factor a kind may be slower or faster than a usual one, whoever says so."""


HALF_LIFE = 300.0
"""Seconds without an end after which half of the evidence on a kind is left.

A factor fades to 1 with its evidence.
"""

AVOIDED_SECONDS = 60.0
"""Seconds without an end after which a kind counts as avoided if others of its service have some.

From then on what it differs by from those halves in as long, and so do its own ends: a kind that
was slow for a while is tried again within minutes.
"""

LEAST_TOLD = 5.0
"""Ends of its own below which an entry tells the others nothing of a kind."""

PROVEN = 10.0
"""Ends of its own below which an entry has yet to see for itself how slow a kind is.

Ends that all surprise never come to so many: a tenth of the evidence goes with each.
"""

FARTHEST_WORD = 4.0
"""By which factor a kind may differ from a usual one for another entry's word to be taken so."""

TOLD_CHANGE = 1.05
"""Change of a factor, as a ratio, from which the others are told again."""

TOLD_GROWTH = 2.0
"""By how many times the ends behind a factor must have grown for the others to be told again."""

TRUSTED_MORE = 2.0
"""How many times an entry's own evidence another's must be for its word to be taken."""

COMPARE_SECONDS = 0.5
"""Seconds between two looks at all targets; one takes some 0.2 ms of processor at 640 of them."""

MOST_COMPARED = 16
"""Tasks of a job that are compared, each with each; 8 take 60 us of processor."""

LEAST_SECONDS = 0.001
"""Shortest time that a task is taken to need."""

MOST_KINDS = 64
"""Kinds that are remembered; a fleet has a few, and a name that is told may be nonsense."""

LONGEST_NAME = 200
"""Characters of a service's or kind's name that is taken from another entry."""

Kind = tuple[str, str]
"""A service and the kind of host on which its tasks run."""


@final
class _Sample:
    """How long one task of a job worked, and the length that it tells of."""

    def __init__(self, target: TargetRecord, kind: Kind, factor: float, work: float) -> None:
        self.target = target
        self.kind = kind
        usual = max(LEAST_SECONDS, work) / factor
        self.length = usual / target.deviation
        """By what is known of the runner itself."""
        self.kind_length = usual
        """By what is known of its kind: a factor must not lean on deviations, nor they on it."""


@final
@dataclass(slots=True)
class _Evidence:
    """What is known of one kind."""

    seen: float = 1.0
    """The factor by the ends alone, without the belief that a kind is like any other."""
    weight: float = 0.0
    """Ends that count; those that another entry saw included."""
    own: float = 0.0
    """Ends that this entry saw itself."""
    paired: float = 0.0
    """Ends that were compared with others of their job, or told."""
    told: float = 1.0
    """The factor that the others were told last."""
    told_own: float = 0.0
    idle: float = 0.0
    """Seconds since the last end."""

    @property
    def factor(self) -> float:
        """How many times as long tasks take there; close to 1 with little evidence."""
        factor: float = self.seen ** (self.weight / (self.weight + BELIEF_ENDS))
        return factor

    def compared(self, ratio: float, weight: float) -> None:
        """Note how many times as long a task took as the factor says."""
        if not 1 / FARTHEST_STEP <= ratio <= FARTHEST_STEP:
            self.weight *= SURPRISE
            self.own *= SURPRISE
        self.weight = min(self.weight + weight, MEMORY_ENDS)
        self.own = min(self.own + weight, MEMORY_ENDS)
        step = _bounded(ratio, FARTHEST_STEP) ** (weight / (self.weight + BELIEF_ENDS))
        self.seen = _bounded(self.seen * step, FARTHEST_FACTOR)

    def faded(self, seconds: float, others: float | None) -> None:
        """Let go of evidence by the passing of so many seconds.

        `others` is the factor of the kinds that are in use; None if none is.
        """
        left: float = 0.5 ** (seconds / HALF_LIFE)
        self.idle += seconds
        self.weight *= left
        self.own *= left
        self.paired *= left
        if others is not None and self.idle >= AVOIDED_SECONDS:
            soon: float = 0.5 ** (seconds / AVOIDED_SECONDS)
            self.seen = others * (self.seen / others) ** soon
            self.own *= soon

    def is_news(self) -> bool:
        """Whether the others don't know yet what was learned here."""
        if self.own < LEAST_TOLD:
            return False
        changed = not 1 / TOLD_CHANGE <= self.seen / self.told <= TOLD_CHANGE
        return changed or self.own > TOLD_GROWTH * self.told_own


@final
class Speeds:
    """The factors of all kinds that an entry knows."""

    def __init__(self) -> None:
        self._kinds: dict[Kind, _Evidence] = {}
        self._typical: dict[str, float] = {}
        self._unproven: set[str] = set()
        self._present: set[Kind] = set()
        """Kinds that a target reported to be."""
        self._faded: float | None = None

    def typical(self, service: str) -> float:
        """Return the slowness of a usual host; a job's length is meant for such a one."""
        return self._typical.get(service, 1.0)

    def factor(self, service: str, kind: str) -> float:
        """Return how many times as long as expected tasks take on a kind of host."""
        known = self._kinds.get((service, kind))
        return known.factor if known is not None else 1.0

    def is_unproven(self, service: str) -> bool:
        """Whether what is known of a service's kinds was not seen here: jobs must run on several.

        A factor that is wrong keeps jobs from one of two kinds, and so from what would show it.
        """
        return service in self._unproven

    def reported(self, target: TargetRecord) -> None:
        """Give a target the factor of the kind that its report names."""
        report = target.report
        if report is not None:
            self._present.add((report.service, report.kind))
            target.kind_factor = self.factor(report.service, report.kind)

    def compare_tasks(self, length: float, done: Iterable[tuple[TargetRecord, float]]) -> None:
        """Learn from a job that has ended: where each of its tasks worked for how many seconds.

        `length` is what one was expected to take. Only tasks of runners that are well count.
        """
        samples = []
        for target, work in list(done)[:MOST_COMPARED]:
            if target.report is not None:
                kind = (target.report.service, target.report.kind)
                samples.append(_Sample(target, kind, self.factor(*kind), work))
        expected = max(LEAST_SECONDS, length)
        for sample in samples:
            others = [s.kind_length for s in samples if s.kind != sample.kind]
            evidence = self._evidence(sample.kind)
            evidence.idle = 0.0
            if others:
                usual = _mean(others)
                weight = len(others) / (len(others) + 1)
                evidence.compared(sample.kind_length / usual, weight)
                evidence.paired = min(evidence.paired + weight, MEMORY_ENDS)
            elif evidence.paired < COMPARED_ENOUGH:
                evidence.compared(sample.kind_length / expected, LENGTH_WEIGHT)
        for sample in samples:
            others = [s.length for s in samples if s is not sample]
            if others:
                sample.target.observe_duration_ratio(sample.length / _mean(others), 1.0)
            else:
                # A length is meant for a usual host, and what a sample tells for one of factor 1.
                ratio = sample.length * self.typical(sample.kind[0]) / expected
                sample.target.observe_duration_ratio(ratio, LENGTH_WEIGHT_ALONE)
            self.reported(sample.target)

    def tick(self, now: float, targets: Iterable[TargetRecord]) -> None:
        """Compare hosts if they have not been for a while."""
        if self._faded is None or now >= self._faded + COMPARE_SECONDS:
            self.compare(now, targets)

    def compare(self, now: float, targets: Iterable[TargetRecord]) -> None:
        """Note how slow hosts usually are, and let go of what has not shown for a while."""
        seconds = 0.0 if self._faded is None else max(0.0, now - self._faded)
        self._faded = now
        in_use: dict[str, list[float]] = {}
        for kind, evidence in self._kinds.items():
            if evidence.idle < AVOIDED_SECONDS:
                in_use.setdefault(kind[0], []).append(evidence.seen)
        others = {service: _mean(factors) for service, factors in in_use.items()}
        for kind, evidence in self._kinds.items():
            evidence.faded(seconds, others.get(kind[0]))
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
        self._present = set(known)
        self._note_unproven(known)
        self._typical = {name: sum(each) / len(each) for name, each in factors.items()}

    def all(self) -> list[KindSpeed]:
        """Return what is known of each kind, for operators; other entries are told less."""
        return [self._word(kind, evidence) for kind, evidence in self._kinds.items()]

    def _note_unproven(self, present: Iterable[Kind]) -> None:
        """Note the services that have several kinds of hosts, one of them not seen here yet."""
        kinds: dict[str, list[bool]] = {}
        for kind in present:
            kinds.setdefault(kind[0], []).append(self._is_proven(kind))
        self._unproven = {name for name, each in kinds.items() if len(each) > 1 and not all(each)}

    def _is_proven(self, kind: Kind) -> bool:
        known = self._kinds.get(kind)
        return known is not None and known.own >= PROVEN

    # Other entries.

    def known(self) -> SpeedNews | None:
        """Return all that was learned here, for an entry that was just met."""
        kinds = [
            self._word(kind, evidence)
            for kind, evidence in self._kinds.items()
            if evidence.own >= LEAST_TOLD
        ]
        return SpeedNews(kinds) if kinds else None

    def news(self) -> SpeedNews | None:
        """Return what was learned here since the last call; None if that is nothing."""
        kinds = []
        for kind, evidence in self._kinds.items():
            if evidence.is_news():
                evidence.told, evidence.told_own = evidence.seen, evidence.own
                kinds.append(self._word(kind, evidence))
        return SpeedNews(kinds) if kinds else None

    def told(self, news: SpeedNews) -> list[KindSpeed]:
        """Take another entry's word where it knows much more, and return what was taken.

        What is taken counts for a few ends, so that those seen here soon weigh more, and is told
        to nobody: no word comes back as another's.
        """
        return [word for word in news.kinds[:MOST_KINDS] if self._adopt(word)]

    def _adopt(self, word: KindSpeed) -> bool:
        kind = (word.service, word.kind)
        known = self._kinds.get(kind)
        ends = min(float(word.ends), MEMORY_ENDS)
        if not _is_sensible(word) or ends <= TRUSTED_MORE * (known.weight if known else 0.0):
            return False
        if known is not None and known.own >= PROVEN:
            return False
        if known is None:
            if len(self._kinds) >= MOST_KINDS and kind not in self._present:
                return False
            known = self._evidence(kind)
        slowness = _bounded(word.slowness_thousandths / 1000, FARTHEST_WORD)
        factor = slowness * self.typical(word.service)
        known.weight = known.paired = min(ends / TRUSTED_MORE, PROVEN)
        seen = factor ** ((known.weight + BELIEF_ENDS) / known.weight)
        known.seen = known.told = _bounded(seen, FARTHEST_FACTOR)
        known.own = known.told_own = 0.0
        return True

    def _word(self, kind: Kind, evidence: _Evidence) -> KindSpeed:
        service, name = kind
        slowness = evidence.factor / self.typical(service)
        return KindSpeed(service, name, round(1000 * slowness), round(evidence.own))

    def _evidence(self, kind: Kind) -> _Evidence:
        """Return what is known of a kind; for a new one another is forgotten.

        First goes one that no target is of, then one of which this entry has seen least itself.
        """
        known = self._kinds.get(kind)
        if known is None:
            if len(self._kinds) >= MOST_KINDS:
                del self._kinds[min(self._kinds, key=self._worth)]
            known = self._kinds[kind] = _Evidence()
        return known

    def _worth(self, kind: Kind) -> tuple[bool, float, float]:
        """Return what counts for remembering a kind, the most important first."""
        known = self._kinds[kind]
        return kind in self._present, known.own, known.weight


def _bounded(ratio: float, farthest: float) -> float:
    """Return a ratio, or the bound that it goes beyond, either way."""
    return min(farthest, max(1 / farthest, ratio))


def _mean(lengths: list[float]) -> float:
    """Return the geometric mean: half as long and twice as long even out."""
    product = 1.0
    for length in lengths:
        product *= length ** (1 / len(lengths))
    return product


def work_of(took: float) -> float:
    """Return how long a run worked that took so many seconds from its sending to its end."""
    return max(took / 2, took - OVERHEAD_SECONDS)


def kind_note(word: KindSpeed, source: str) -> Log:
    """Return the line that says what was taken from another entry."""
    fields: dict[str, str | int | float] = {
        "service": word.service,
        "kind": word.kind,
        "slowness": word.slowness_thousandths / 1000,
        "ends": word.ends,
        "source": source,
    }
    return note("kind_speed_taken", **fields)


def _is_sensible(word: KindSpeed) -> bool:
    """Whether another entry's word may be meant; its size is bounded where it is taken."""
    named = max(len(word.service), len(word.kind)) <= LONGEST_NAME
    return named and word.slowness_thousandths > 0 and word.ends > 0
