"""What the progress of a run says of it."""

import pytest
from paddleshunt_core.leased.health import RunnerHealth
from paddleshunt_core.leased.progress import (
    HUNG_SECONDS,
    HUNG_SHARE,
    MIN_STUCK_SECONDS,
    STUCK_SECONDS,
    is_faster_elsewhere,
    is_stalled,
    is_stuck,
    note_progress,
)
from paddleshunt_core.leased.resources import NOTHING
from paddleshunt_core.leased.runtable import Run
from paddleshunt_core.leased.wire import RunId, TaskId


def run_of(estimate: float) -> Run:
    run = Run(RunId(TaskId("job", 0, 0), 1), "e", "spec", NOTHING, estimate, 99.0)
    run.progressed_at = run.observed_at = 1.0
    return run


def watch(run: Run, *looks: tuple[float, int]) -> RunnerHealth:
    health = RunnerHealth()
    for at, percent in looks:
        note_progress(at, at, run, percent, health)
    return health


def test_progress_is_evidence_on_the_runner() -> None:
    health = watch(run_of(1.0), (1.5, 25), (2.0, 50))
    assert health.speed(2.0) == pytest.approx(0.5)


def slow_at(estimate: float, speed: float, until: float) -> float | None:
    """Return when a runner with eight runs of this estimate first counts as slow, if it does."""
    health = RunnerHealth()
    runs = [run_of(estimate) for _ in range(8)]
    for step in range(1, int(until / 0.045) + 1):
        worked = 0.045 * step
        for run in runs:
            note_progress(
                1.0 + worked, 1.0 + worked, run, int(100 * speed * worked / estimate), health
            )
        if health.is_slow(1.0 + worked):
            return worked
    return None


@pytest.mark.parametrize("estimate", [0.2, 0.6, 3.2, 5.0, 10.0, 60.0])
def test_a_runner_is_not_slow_for_what_no_whole_percent_can_tell(estimate: float) -> None:
    assert slow_at(estimate, 1.0, min(estimate, 2.0)) is None


@pytest.mark.parametrize(("estimate", "soon"), [(0.6, 0.1), (3.2, 0.2), (10.0, 0.4)])
@pytest.mark.parametrize("speed", [0.0, 0.2])
def test_a_slow_runner_is_noticed_soon(estimate: float, soon: float, speed: float) -> None:
    found = slow_at(estimate, speed, 2.0)
    assert found is not None and found < soon + 0.01


@pytest.mark.parametrize(
    ("estimate", "patience"), [(0.05, MIN_STUCK_SECONDS), (0.2, 0.2), (5.0, STUCK_SECONDS)]
)
def test_a_run_is_stuck_after_a_patience_that_its_length_sets(
    estimate: float, patience: float
) -> None:
    run = run_of(estimate)
    watch(run, (1.0 + patience / 2, 0), (1.0 + patience, 0))
    assert not is_stuck(1.0 + patience, run)
    assert is_stuck(1.0 + patience + 0.01, run)


def test_one_look_without_progress_shows_nothing() -> None:
    run = run_of(0.1)
    watch(run, (2.0, 0))
    assert not is_stuck(2.0, run)
    assert not is_stalled(2.0, run)


def test_a_run_that_moved_is_not_stuck() -> None:
    run = run_of(0.1)
    watch(run, (1.5, 0), (2.0, 0), (2.05, 30))
    assert not is_stuck(2.1, run)


@pytest.mark.parametrize(
    ("estimate", "patience"),
    [(0.1, HUNG_SECONDS), (10.0, 10.0 * HUNG_SHARE)],
    ids=["short", "long"],
)
def test_a_long_run_may_stand_longer_as_its_percents_are_longer(
    estimate: float, patience: float
) -> None:
    run = run_of(estimate)
    watch(run, (1.0 + patience / 2, 0), (1.0 + patience, 0))
    assert not is_stalled(1.0 + patience, run)
    assert is_stalled(1.0 + patience + 0.01, run)


@pytest.mark.parametrize(("percent", "elsewhere"), [(10, True), (80, False)])
def test_a_slow_run_near_its_end_is_left_to_end(percent: int, elsewhere: bool) -> None:
    run = run_of(1.0)
    run.percent = percent
    assert is_faster_elsewhere(run, 0.3) is elsewhere
