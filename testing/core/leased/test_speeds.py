"""What an entry learns of how slow kinds of hosts are, and believes of other entries' words."""

from collections.abc import Callable
from random import Random

import pytest
from paddleshunt_core.leased.admission import expected_wait
from paddleshunt_core.leased.catalog import Queue
from paddleshunt_core.leased.jobs import JobRequest, new_job
from paddleshunt_core.leased.lengths import QueueLengths
from paddleshunt_core.leased.resources import NOTHING, Resources
from paddleshunt_core.leased.speeds import (
    FARTHEST_FACTOR,
    HALF_LIFE,
    LONGEST_NAME,
    MEMORY_ENDS,
    MOST_COMPARED,
    MOST_KINDS,
    Speeds,
)
from paddleshunt_core.leased.targets import TargetRecord
from paddleshunt_core.leased.wire import Health, KindSpeed, RunnerReport, RunnerState, SpeedNews

SLOWNESS = {"a": 0.7, "b": 1.7}
RATIO = SLOWNESS["b"] / SLOWNESS["a"]
CAPACITY = Resources(8000, 8000, 0)


def report(kind: str, life: str = "life-1") -> RunnerReport:
    labels = (kind, "rack") if kind else ()
    return RunnerReport(
        "svc", life, RunnerState.READY, Health.GOOD, CAPACITY, NOTHING, labels, kind=kind
    )


def target(kind: str, name: str = "t") -> TargetRecord:
    record = TargetRecord(name, "hall", "1")
    record.update_report(0.0, report(kind))
    return record


def fleet(*kinds: str) -> list[TargetRecord]:
    return [target(kind, f"t{number}") for number, kind in enumerate(kinds)]


def ratio(speeds: Speeds) -> float:
    return speeds.factor("svc", "b") / speeds.factor("svc", "a")


def works(each: TargetRecord, length: float, rng: Random, odd: float = 1.0) -> float:
    """Return how long a task of a length works at a target, `odd` times what its kind takes."""
    kind = each.report.kind if each.report else ""
    return length * SLOWNESS.get(kind, 1.0) * odd * rng.uniform(0.9, 1.1)


def teach(
    speeds: Speeds, targets: list[TargetRecord], jobs: int, odd: dict[str, float] | None = None
) -> None:
    """Let jobs of four tasks end on any of the targets."""
    rng = Random(4)
    for _ in range(jobs):
        where = rng.choices(targets, k=4)
        done = [(t, works(t, 0.4, rng, (odd or {}).get(t.name, 1.0))) for t in where]
        speeds.compare(0.0, targets)
        speeds.compare_tasks(0.4, done)


def known_by(kinds: dict[str, int], ends: int = 100) -> SpeedNews:
    return SpeedNews([KindSpeed("svc", kind, slow, ends) for kind, slow in kinds.items()])


TOLD = known_by({"a": 700, "b": 1700})


@pytest.mark.parametrize(
    "guess",
    [lambda rng: 1.5, lambda rng: 1 / 1.5, lambda rng: rng.uniform(1 / 1.5, 1.5)],
    ids=["too-long", "too-short", "either-way"],
)
@pytest.mark.parametrize("sorted_by_length", [False, True], ids=["anywhere", "short-ones-to-slow"])
def test_factors_and_lengths_stay_apart_over_five_thousand_ends(
    guess: Callable[[Random], float], sorted_by_length: bool
) -> None:
    rng = Random(2)
    speeds, lengths = Speeds(), QueueLengths()
    targets = fleet("a", "a", "b", "a", "a", "b")
    seen: list[float] = []
    for number in range(1250):
        length = rng.uniform(0.2, 0.6)
        estimate = length * guess(rng)
        expected = lengths.expect(estimate, 3.0).length
        where = rng.choices(targets, k=4)
        if sorted_by_length and number > 50 and rng.random() < 0.9:
            kind = "b" if expected < 0.4 else "a"
            where = rng.choices([t for t in targets if t.report and t.report.kind == kind], k=4)
        done = [(t, works(t, length, rng)) for t in where]
        speeds.compare(0.077 * number, targets)
        for each, work in done:
            lengths.ended(estimate, 3.0, work * speeds.typical("svc") / each.slowness)
        speeds.compare_tasks(expected, done)
        seen.append(ratio(speeds))
    assert all(each == pytest.approx(RATIO, rel=0.1) for each in seen[250:])


@pytest.mark.parametrize("widths", [(1,), (1, 1, 1, 8)], ids=["one-task", "mixed"])
def test_deviations_stay_where_they_are_in_a_fleet_of_mostly_fast_hosts(
    widths: tuple[int, ...],
) -> None:
    rng = Random(6)
    speeds, lengths = Speeds(), QueueLengths()
    targets = fleet(*"aaaaaaaaab")
    teach(speeds, targets, 200)
    means: list[float] = []
    for number in range(2000):
        length = rng.uniform(0.2, 0.6)
        estimate = length * rng.uniform(1 / 1.5, 1.5)
        speeds.compare(0.02 * number, targets)
        expected = lengths.expect(estimate, 3.0).length
        where = rng.choices(targets, k=rng.choice(widths))
        done = [(t, works(t, length, rng)) for t in where]
        for each, work in done:
            lengths.ended(estimate, 3.0, work * speeds.typical("svc") / each.slowness)
        speeds.compare_tasks(expected, done)
        means.append(sum(t.deviation for t in targets) / len(targets))
    assert all(0.9 < mean < 1.1 for mean in means)


def test_lengths_are_meant_for_a_usual_host() -> None:
    speeds = Speeds()
    targets = fleet("a", "a", "b")
    teach(speeds, targets, 100)
    speeds.compare(0.0, targets)
    usual = sum(t.kind_factor for t in targets) / 3
    assert speeds.typical("svc") == pytest.approx(usual)


def test_one_slow_runner_is_told_from_its_kind() -> None:
    speeds = Speeds()
    targets = fleet("a", "a", "a", "a", "b", "b")
    teach(speeds, targets, 200, {"t0": 2.5})
    assert ratio(speeds) == pytest.approx(RATIO, rel=0.1)
    assert targets[0].deviation > 1.8
    assert targets[1].deviation == pytest.approx(1.0, abs=0.2)


def test_a_kind_that_turns_slow_for_a_while_recovers() -> None:
    speeds = Speeds()
    targets = fleet("a", "a", "b", "a", "a", "b")
    teach(speeds, targets, 100)
    teach(speeds, targets, 50, {"t2": 4.0, "t5": 4.0})
    assert targets[2].slowness / targets[0].slowness > 1.5 * RATIO
    teach(speeds, targets, 100)
    assert targets[2].slowness / targets[0].slowness == pytest.approx(RATIO, rel=0.2)


def test_a_new_life_of_a_known_kind_starts_with_its_kinds_speed() -> None:
    speeds = Speeds()
    targets = fleet("a", "a", "b")
    teach(speeds, targets, 100, {"t0": 2.5})
    targets[0].update_report(1.0, report("b", "life-2"))
    speeds.reported(targets[0])
    assert targets[0].deviation == 1.0
    assert targets[0].slowness == speeds.factor("svc", "b")


def test_a_deviation_outlives_a_session_and_fades() -> None:
    ours = target("a")
    ours.deviation = 2.0
    ours.reset()
    ours.update_report(1.0, report("a"))
    assert ours.deviation == 2.0
    ours.decay_deviation(300.0)
    assert ours.deviation == pytest.approx(1.0)


def test_a_kind_with_one_runner_is_learned() -> None:
    speeds = Speeds()
    teach(speeds, fleet("a", "a", "a", "b"), 200)
    assert ratio(speeds) == pytest.approx(RATIO, rel=0.1)


def test_hosts_without_a_label_are_one_kind_and_differ_by_themselves() -> None:
    speeds = Speeds()
    targets = fleet("", "", "", "")
    teach(speeds, targets, 100, {"t0": 2.0})
    assert speeds.factor("svc", "") == pytest.approx(1.0, abs=0.2)
    assert targets[0].deviation > 1.5 * targets[1].deviation


def test_jobs_of_one_task_tell_little_by_little() -> None:
    rng = Random(5)
    speeds = Speeds()
    targets = fleet("a", "b")
    for _ in range(1000):
        each = rng.choice(targets)
        speeds.compare_tasks(0.4, [(each, works(each, 0.4, rng))])
    assert ratio(speeds) > 1.5


def test_a_job_of_very_many_tasks_is_compared_by_a_few() -> None:
    speeds = Speeds()
    targets = fleet("a", "b")
    done = [(targets[number % 2], 0.7 + number % 2) for number in range(3000)]
    speeds.compare_tasks(0.4, done)
    assert sum(word.ends for word in speeds.all()) <= MOST_COMPARED


def test_what_is_not_seen_for_long_is_forgotten() -> None:
    speeds = Speeds()
    targets = fleet("a", "b")
    teach(speeds, targets, 100)
    speeds.compare(0.0, [])
    speeds.compare(20 * HALF_LIFE, [])
    assert ratio(speeds) == pytest.approx(1.0, abs=0.01)


def avoided(speeds: Speeds, targets: list[TargetRecord], seconds: int, kind: str) -> None:
    """Let jobs run on one kind alone for a while; on none with an empty `kind`."""
    rng = Random(7)
    only = [t for t in targets if t.report and t.report.kind == kind]
    for second in range(seconds):
        speeds.compare(float(second), targets)
        for each in only:
            speeds.compare_tasks(0.4, [(t, works(t, 0.4, rng)) for t in (each, each)])


def test_a_kind_that_is_avoided_after_a_slow_spell_is_tried_again_within_minutes() -> None:
    speeds = Speeds()
    targets = fleet("a", "a", "b", "a", "a", "b")
    teach(speeds, targets, 100)
    teach(speeds, targets, 50, {"t2": 4.0, "t5": 4.0})
    assert ratio(speeds) > 1.5 * RATIO
    avoided(speeds, targets, 300, "a")
    assert ratio(speeds) < RATIO


@pytest.mark.parametrize(("seconds", "kind"), [(50, "a"), (600, "")], ids=["minute", "no-jobs"])
def test_a_kind_is_not_forgotten_in_a_short_or_quiet_time(seconds: int, kind: str) -> None:
    speeds = Speeds()
    targets = fleet("a", "a", "b")
    teach(speeds, targets, 100)
    avoided(speeds, targets, seconds, kind)
    assert ratio(speeds) == pytest.approx(RATIO, rel=0.1)


# Other entries.


def test_a_fresh_entry_takes_what_another_knows() -> None:
    speeds = Speeds()
    ours = target("b")
    assert len(speeds.told(TOLD)) == 2
    assert ratio(speeds) == pytest.approx(RATIO, rel=0.03)
    speeds.compare(0.0, [ours, target("a", "t1")])
    assert ours.slowness == speeds.factor("svc", "b")


def test_a_word_older_than_own_evidence_changes_nothing() -> None:
    speeds = Speeds()
    teach(speeds, fleet("a", "b"), 100)
    before = ratio(speeds)
    assert speeds.told(known_by({"a": 1700, "b": 700})) == []
    assert ratio(speeds) == before


def test_own_ends_soon_outweigh_another_entrys_nonsense() -> None:
    speeds = Speeds()
    speeds.told(known_by({"a": 8000, "b": 125}, ends=10**9))
    teach(speeds, fleet("a", "b"), 300)
    assert ratio(speeds) == pytest.approx(RATIO, rel=0.15)


@pytest.mark.parametrize(
    "word",
    [
        KindSpeed("svc", "a", 0, 100),
        KindSpeed("svc", "a", -700, 100),
        KindSpeed("svc", "a", 700, -100),
        KindSpeed("svc", "a", 700, 0),
        KindSpeed("svc", "x" * (LONGEST_NAME + 1), 700, 100),
    ],
    ids=["zero", "negative", "negative-ends", "no-ends", "long-name"],
)
def test_nonsense_is_not_taken(word: KindSpeed) -> None:
    speeds = Speeds()
    assert speeds.told(SpeedNews([word])) == []
    assert speeds.all() == []


@pytest.mark.parametrize("thousandths", [1, 10**12], ids=["fast", "slow"])
def test_no_word_goes_beyond_the_bounds(thousandths: int) -> None:
    speeds = Speeds()
    speeds.told(known_by({"a": thousandths}, ends=10**12))
    assert 1 / FARTHEST_FACTOR <= speeds.factor("svc", "a") <= FARTHEST_FACTOR
    assert speeds.all()[0].ends <= MEMORY_ENDS


def test_no_more_kinds_are_remembered_than_the_limit() -> None:
    speeds = Speeds()
    teach(speeds, fleet("a", "b"), 50)
    before = ratio(speeds)
    for number in range(3):
        speeds.told(known_by({f"k{number}-{n}": 700 for n in range(MOST_KINDS)}))
    assert len(speeds.all()) == MOST_KINDS
    assert ratio(speeds) == before
    teach(speeds, fleet("c"), 1)
    assert len(speeds.all()) == MOST_KINDS


def test_kinds_of_which_there_are_hosts_are_learned_beside_sixty_four_that_are_nonsense() -> None:
    speeds = Speeds()
    speeds.told(known_by({f"k{n}": 700 for n in range(MOST_KINDS)}))
    targets = fleet("a", "b")
    teach(speeds, targets, 100)
    assert ratio(speeds) == pytest.approx(RATIO, rel=0.1)


def test_a_word_on_a_kind_of_which_there_are_hosts_takes_the_place_of_nonsense() -> None:
    speeds = Speeds()
    speeds.told(known_by({f"k{n}": 700 for n in range(MOST_KINDS)}))
    speeds.compare(0.0, fleet("a", "b"))
    assert len(speeds.told(TOLD)) == 2
    assert len(speeds.all()) == MOST_KINDS


def test_what_was_heard_after_a_few_own_ends_is_not_told_on() -> None:
    speeds = Speeds()
    teach(speeds, fleet("a", "b"), 8)
    assert speeds.known() is not None
    assert len(speeds.told(TOLD)) == 2
    assert speeds.known() is None
    assert speeds.news() is None


def test_what_was_only_heard_is_to_be_proved() -> None:
    speeds = Speeds()
    targets = fleet("a", "b")
    speeds.told(TOLD)
    speeds.compare(0.0, targets)
    assert speeds.is_unproven("svc")
    teach(speeds, targets, 50)
    assert not speeds.is_unproven("svc")
    speeds.compare(0.0, targets[:1])
    assert not speeds.is_unproven("svc")


def test_what_was_heard_is_not_told_on() -> None:
    speeds = Speeds()
    speeds.told(TOLD)
    assert speeds.known() is None
    assert speeds.news() is None


def test_the_others_are_told_only_what_has_changed() -> None:
    speeds = Speeds()
    targets = fleet("a", "a", "b")
    teach(speeds, targets, 1)
    assert speeds.news() is None
    teach(speeds, targets, 300)
    told = speeds.news()
    assert told is not None
    assert {word.kind for word in told.kinds} == {"a", "b"}
    assert speeds.news() is None
    assert speeds.known() is not None


def test_the_expected_wait_goes_by_the_room_of_fast_hosts() -> None:
    queue = Queue("q", "host", "/q/", "svc", stretch=1.6, latency=0.06)
    job = new_job(1, JobRequest("key", "spec", 8, Resources(1000, 10), 0.4, 3.0), queue, 0.0)
    fast, slow = fleet("a", "b")
    usual = expected_wait(job, [fast, slow], [job])
    fast.kind_factor, slow.kind_factor = 0.7, 1.7
    # Room for work at 1.2 / 0.7 and 1.2 / 1.7 of what two usual hosts have.
    assert expected_wait(job, [fast, slow], [job]) == pytest.approx(usual / 1.21, rel=0.01)
