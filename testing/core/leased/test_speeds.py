"""Relative speeds of host kinds, as learned from completions and taken from other entries."""

from collections.abc import Callable
from random import Random

import pytest
from paddleshunt_core.leased.admission import expected_wait
from paddleshunt_core.leased.catalog import Queue
from paddleshunt_core.leased.jobs import JobRequest, new_job
from paddleshunt_core.leased.resources import NO_RESOURCES, Resources
from paddleshunt_core.leased.speeds import (
    HALF_LIFE_SECONDS,
    MAX_COMPARED,
    MAX_FACTOR,
    MAX_KINDS,
    MAX_NAME_LENGTH,
    MAX_WEIGHT,
    Speeds,
)
from paddleshunt_core.leased.targets import TargetRecord
from paddleshunt_core.leased.tasklengths import TaskLengthModel
from paddleshunt_core.leased.wire import Health, KindSpeed, RunnerReport, RunnerState, SpeedUpdate

SLOWNESS = {"a": 0.7, "b": 1.7}
RATIO = SLOWNESS["b"] / SLOWNESS["a"]
CAPACITY = Resources(8000, 8000, 0)


def report(kind: str, runner: str = "i-1") -> RunnerReport:
    labels = (kind, "rack") if kind else ()
    return RunnerReport(
        "svc", runner, RunnerState.READY, Health.GOOD, CAPACITY, NO_RESOURCES, labels, kind=kind
    )


def target(kind: str, name: str = "t") -> TargetRecord:
    record = TargetRecord(name, "hall", "1")
    record.update_report(0.0, report(kind))
    return record


def fleet(*kinds: str) -> list[TargetRecord]:
    return [target(kind, f"t{number}") for number, kind in enumerate(kinds)]


def ratio(speeds: Speeds) -> float:
    return speeds.factor("svc", "b") / speeds.factor("svc", "a")


def run_time(each: TargetRecord, length: float, rng: Random, slowdown: float = 1.0) -> float:
    """Return the run time of a task on a target, `slowdown` times that of its kind."""
    kind = each.report.kind if each.report else ""
    return length * SLOWNESS.get(kind, 1.0) * slowdown * rng.uniform(0.9, 1.1)


def train(
    speeds: Speeds, targets: list[TargetRecord], jobs: int, slowdown: dict[str, float] | None = None
) -> None:
    """Complete `jobs` jobs of four tasks on random targets."""
    rng = Random(4)
    for _ in range(jobs):
        where = rng.choices(targets, k=4)
        completed = [(t, run_time(t, 0.4, rng, (slowdown or {}).get(t.name, 1.0))) for t in where]
        speeds.refresh(0.0, targets)
        speeds.compare_tasks(0.4, completed)


def shared_speeds(kinds: dict[str, int], ends: int = 100) -> SpeedUpdate:
    return SpeedUpdate([KindSpeed("svc", kind, slow, ends) for kind, slow in kinds.items()])


SHARED = shared_speeds({"a": 700, "b": 1700})


@pytest.mark.parametrize(
    "guess",
    [lambda rng: 1.5, lambda rng: 1 / 1.5, lambda rng: rng.uniform(1 / 1.5, 1.5)],
    ids=["too-long", "too-short", "either-way"],
)
@pytest.mark.parametrize("sorted_by_length", [False, True], ids=["anywhere", "short-ones-to-slow"])
def test_wrong_estimates_do_not_distort_factors(
    guess: Callable[[Random], float], sorted_by_length: bool
) -> None:
    rng = Random(2)
    speeds, lengths = Speeds(), TaskLengthModel()
    targets = fleet("a", "a", "b", "a", "a", "b")
    seen: list[float] = []
    for number in range(1250):
        length = rng.uniform(0.2, 0.6)
        estimate = length * guess(rng)
        expected = lengths.predict(estimate, 3.0).length
        where = rng.choices(targets, k=4)
        if sorted_by_length and number > 50 and rng.random() < 0.9:
            kind = "b" if expected < 0.4 else "a"
            where = rng.choices([t for t in targets if t.report and t.report.kind == kind], k=4)
        completed = [(t, run_time(t, length, rng)) for t in where]
        speeds.refresh(0.077 * number, targets)
        for each, work in completed:
            lengths.observe(estimate, 3.0, work * speeds.typical_slowness("svc") / each.slowness)
        speeds.compare_tasks(expected, completed)
        seen.append(ratio(speeds))
    assert all(each == pytest.approx(RATIO, rel=0.1) for each in seen[250:])


@pytest.mark.parametrize("widths", [(1,), (1, 1, 1, 8)], ids=["one-task", "mixed"])
def test_deviations_do_not_drift_in_a_fleet_of_mostly_fast_hosts(
    widths: tuple[int, ...],
) -> None:
    rng = Random(6)
    speeds, lengths = Speeds(), TaskLengthModel()
    targets = fleet(*"aaaaaaaaab")
    train(speeds, targets, 200)
    means: list[float] = []
    for number in range(2000):
        length = rng.uniform(0.2, 0.6)
        estimate = length * rng.uniform(1 / 1.5, 1.5)
        speeds.refresh(0.02 * number, targets)
        expected = lengths.predict(estimate, 3.0).length
        where = rng.choices(targets, k=rng.choice(widths))
        completed = [(t, run_time(t, length, rng)) for t in where]
        for each, work in completed:
            lengths.observe(estimate, 3.0, work * speeds.typical_slowness("svc") / each.slowness)
        speeds.compare_tasks(expected, completed)
        means.append(sum(t.deviation for t in targets) / len(targets))
    assert all(0.9 < mean < 1.1 for mean in means)


def test_the_typical_slowness_is_the_mean_over_targets() -> None:
    speeds = Speeds()
    targets = fleet("a", "a", "b")
    train(speeds, targets, 100)
    speeds.refresh(0.0, targets)
    typical_slowness = sum(t.kind_factor for t in targets) / 3
    assert speeds.typical_slowness("svc") == pytest.approx(typical_slowness)


def test_one_slow_runner_does_not_affect_its_kind() -> None:
    speeds = Speeds()
    targets = fleet("a", "a", "a", "a", "b", "b")
    train(speeds, targets, 200, {"t0": 2.5})
    assert ratio(speeds) == pytest.approx(RATIO, rel=0.1)
    assert targets[0].deviation > 1.8
    assert targets[1].deviation == pytest.approx(1.0, abs=0.2)


def test_a_kind_that_is_slow_for_a_while_recovers() -> None:
    speeds = Speeds()
    targets = fleet("a", "a", "b", "a", "a", "b")
    train(speeds, targets, 100)
    train(speeds, targets, 50, {"t2": 4.0, "t5": 4.0})
    assert targets[2].slowness / targets[0].slowness > 1.5 * RATIO
    train(speeds, targets, 100)
    assert targets[2].slowness / targets[0].slowness == pytest.approx(RATIO, rel=0.2)


def test_a_new_incarnation_starts_with_the_speed_of_its_kind() -> None:
    speeds = Speeds()
    targets = fleet("a", "a", "b")
    train(speeds, targets, 100, {"t0": 2.5})
    targets[0].update_report(1.0, report("b", "i-2"))
    speeds.set_kind_factor(targets[0])
    assert targets[0].deviation == 1.0
    assert targets[0].slowness == speeds.factor("svc", "b")


def test_a_deviation_outlives_a_session_and_decays() -> None:
    ours = target("a")
    ours.deviation = 2.0
    ours.reset()
    ours.update_report(1.0, report("a"))
    assert ours.deviation == 2.0
    ours.decay_deviation(300.0)
    assert ours.deviation == pytest.approx(1.0)


def test_a_kind_with_one_runner_is_learned() -> None:
    speeds = Speeds()
    train(speeds, fleet("a", "a", "a", "b"), 200)
    assert ratio(speeds) == pytest.approx(RATIO, rel=0.1)


def test_hosts_without_a_label_are_one_kind_with_deviations() -> None:
    speeds = Speeds()
    targets = fleet("", "", "", "")
    train(speeds, targets, 100, {"t0": 2.0})
    assert speeds.factor("svc", "") == pytest.approx(1.0, abs=0.2)
    assert targets[0].deviation > 1.5 * targets[1].deviation


def test_single_task_jobs_contribute_slowly() -> None:
    rng = Random(5)
    speeds = Speeds()
    targets = fleet("a", "b")
    for _ in range(1000):
        each = rng.choice(targets)
        speeds.compare_tasks(0.4, [(each, run_time(each, 0.4, rng))])
    assert ratio(speeds) > 1.5


def test_the_number_of_compared_tasks_is_bounded() -> None:
    speeds = Speeds()
    targets = fleet("a", "b")
    completed = [(targets[number % 2], 0.7 + number % 2) for number in range(3000)]
    speeds.compare_tasks(0.4, completed)
    assert sum(message.ends for message in speeds.snapshot()) <= MAX_COMPARED


def test_evidence_decays_without_completions() -> None:
    speeds = Speeds()
    targets = fleet("a", "b")
    train(speeds, targets, 100)
    speeds.refresh(0.0, [])
    speeds.refresh(20 * HALF_LIFE_SECONDS, [])
    assert ratio(speeds) == pytest.approx(1.0, abs=0.01)


def run_on_kind(speeds: Speeds, targets: list[TargetRecord], seconds: int, kind: str) -> None:
    """Run jobs on one kind alone for a while; on none with an empty `kind`."""
    rng = Random(7)
    only = [t for t in targets if t.report and t.report.kind == kind]
    for second in range(seconds):
        speeds.refresh(float(second), targets)
        for each in only:
            speeds.compare_tasks(0.4, [(t, run_time(t, 0.4, rng)) for t in (each, each)])


def test_an_avoided_kind_is_tried_again_within_minutes() -> None:
    speeds = Speeds()
    targets = fleet("a", "a", "b", "a", "a", "b")
    train(speeds, targets, 100)
    train(speeds, targets, 50, {"t2": 4.0, "t5": 4.0})
    assert ratio(speeds) > 1.5 * RATIO
    run_on_kind(speeds, targets, 300, "a")
    assert ratio(speeds) < RATIO


@pytest.mark.parametrize(("seconds", "kind"), [(50, "a"), (600, "")], ids=["minute", "no-jobs"])
def test_evidence_survives_a_short_or_idle_period(seconds: int, kind: str) -> None:
    speeds = Speeds()
    targets = fleet("a", "a", "b")
    train(speeds, targets, 100)
    run_on_kind(speeds, targets, seconds, kind)
    assert ratio(speeds) == pytest.approx(RATIO, rel=0.1)


def test_a_fresh_entry_adopts_shared_evidence() -> None:
    speeds = Speeds()
    ours = target("b")
    assert len(speeds.merge(SHARED)) == 2
    assert ratio(speeds) == pytest.approx(RATIO, rel=0.03)
    speeds.refresh(0.0, [ours, target("a", "t1")])
    assert ours.slowness == speeds.factor("svc", "b")


def test_weaker_shared_evidence_changes_nothing() -> None:
    speeds = Speeds()
    train(speeds, fleet("a", "b"), 100)
    before = ratio(speeds)
    assert speeds.merge(shared_speeds({"a": 1700, "b": 700})) == []
    assert ratio(speeds) == before


def test_own_completions_soon_outweigh_nonsense() -> None:
    speeds = Speeds()
    speeds.merge(shared_speeds({"a": 8000, "b": 125}, ends=10**9))
    train(speeds, fleet("a", "b"), 300)
    assert ratio(speeds) == pytest.approx(RATIO, rel=0.15)


@pytest.mark.parametrize(
    "message",
    [
        KindSpeed("svc", "a", 0, 100),
        KindSpeed("svc", "a", -700, 100),
        KindSpeed("svc", "a", 700, -100),
        KindSpeed("svc", "a", 700, 0),
        KindSpeed("svc", "x" * (MAX_NAME_LENGTH + 1), 700, 100),
    ],
    ids=["zero", "negative", "negative-ends", "no-ends", "long-name"],
)
def test_implausible_messages_are_ignored(message: KindSpeed) -> None:
    speeds = Speeds()
    assert speeds.merge(SpeedUpdate([message])) == []
    assert speeds.snapshot() == []


@pytest.mark.parametrize("thousandths", [1, 10**12], ids=["fast", "slow"])
def test_adopted_evidence_is_bounded(thousandths: int) -> None:
    speeds = Speeds()
    speeds.merge(shared_speeds({"a": thousandths}, ends=10**12))
    assert 1 / MAX_FACTOR <= speeds.factor("svc", "a") <= MAX_FACTOR
    assert speeds.snapshot()[0].ends <= MAX_WEIGHT


def test_the_number_of_kinds_is_bounded() -> None:
    speeds = Speeds()
    train(speeds, fleet("a", "b"), 50)
    before = ratio(speeds)
    for number in range(3):
        speeds.merge(shared_speeds({f"k{number}-{n}": 700 for n in range(MAX_KINDS)}))
    assert len(speeds.snapshot()) == MAX_KINDS
    assert ratio(speeds) == before
    train(speeds, fleet("c"), 1)
    assert len(speeds.snapshot()) == MAX_KINDS


def test_existing_kinds_are_learned_when_the_table_is_full() -> None:
    speeds = Speeds()
    speeds.merge(shared_speeds({f"k{n}": 700 for n in range(MAX_KINDS)}))
    targets = fleet("a", "b")
    train(speeds, targets, 100)
    assert ratio(speeds) == pytest.approx(RATIO, rel=0.1)


def test_shared_evidence_on_existing_kinds_replaces_unknown_kinds() -> None:
    speeds = Speeds()
    speeds.merge(shared_speeds({f"k{n}": 700 for n in range(MAX_KINDS)}))
    speeds.refresh(0.0, fleet("a", "b"))
    assert len(speeds.merge(SHARED)) == 2
    assert len(speeds.snapshot()) == MAX_KINDS


def test_evidence_adopted_after_a_few_completions_is_not_shared_again() -> None:
    speeds = Speeds()
    train(speeds, fleet("a", "b"), 8)
    assert speeds.export() is not None
    assert len(speeds.merge(SHARED)) == 2
    assert speeds.export() is None
    assert speeds.take_changes() is None


def test_adopted_evidence_is_unproven() -> None:
    speeds = Speeds()
    targets = fleet("a", "b")
    speeds.merge(SHARED)
    speeds.refresh(0.0, targets)
    assert speeds.is_unproven("svc")
    train(speeds, targets, 50)
    assert not speeds.is_unproven("svc")
    speeds.refresh(0.0, targets[:1])
    assert not speeds.is_unproven("svc")


def test_adopted_evidence_is_not_shared_again() -> None:
    speeds = Speeds()
    speeds.merge(SHARED)
    assert speeds.export() is None
    assert speeds.take_changes() is None


def test_only_changed_evidence_is_shared_again() -> None:
    speeds = Speeds()
    targets = fleet("a", "a", "b")
    train(speeds, targets, 1)
    assert speeds.take_changes() is None
    train(speeds, targets, 300)
    shared = speeds.take_changes()
    assert shared is not None
    assert {message.kind for message in shared.kinds} == {"a", "b"}
    assert speeds.take_changes() is None
    assert speeds.export() is not None


def test_the_expected_wait_accounts_for_host_speeds() -> None:
    queue = Queue("q", "host", "/q/", "svc", stretch=1.6, latency=0.06)
    job = new_job(1, JobRequest("key", "spec", 8, Resources(1000, 10), 0.4, 3.0), queue, 0.0)
    fast, slow = fleet("a", "b")
    typical_wait = expected_wait(job, [fast, slow], [job])
    fast.kind_factor, slow.kind_factor = 0.7, 1.7
    # The hosts run at 1.2 / 0.7 and 1.2 / 1.7 times a typical host's speed: 1.21 on average.
    assert expected_wait(job, [fast, slow], [job]) == pytest.approx(typical_wait / 1.21, rel=0.01)
