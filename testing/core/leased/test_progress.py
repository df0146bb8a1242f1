"""Tests of how a run's progress is evaluated."""

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
    record_progress,
)
from paddleshunt_core.leased.resources import NO_RESOURCES
from paddleshunt_core.leased.runtable import Run
from paddleshunt_core.leased.wire import RunId, TaskId


def run_with_estimate(estimate: float) -> Run:
    run = Run(RunId(TaskId("job", 0, 0), 1), "e", "spec", NO_RESOURCES, estimate, 99.0)
    run.progressed_at = run.observed_at = 1.0
    return run


def health_after_polls(run: Run, *polls: tuple[float, int]) -> RunnerHealth:
    health = RunnerHealth()
    for at, percent in polls:
        record_progress(at, at, run, percent, health)
    return health


def test_progress_is_evidence_on_the_runner() -> None:
    health = health_after_polls(run_with_estimate(1.0), (1.5, 25), (2.0, 50))
    assert health.speed(2.0) == pytest.approx(0.5)


def time_until_slow(estimate: float, speed: float, until: float) -> float | None:
    """Return the seconds until a runner with eight such runs counts as slow, or None."""
    health = RunnerHealth()
    runs = [run_with_estimate(estimate) for _ in range(8)]
    for step in range(1, int(until / 0.045) + 1):
        worked = 0.045 * step
        for run in runs:
            record_progress(
                1.0 + worked, 1.0 + worked, run, int(100 * speed * worked / estimate), health
            )
        if health.is_slow(1.0 + worked):
            return worked
    return None


@pytest.mark.parametrize("estimate", [0.2, 0.6, 3.2, 5.0, 10.0, 60.0])
def test_rounding_to_whole_percents_does_not_make_a_runner_slow(estimate: float) -> None:
    assert time_until_slow(estimate, 1.0, min(estimate, 2.0)) is None


@pytest.mark.parametrize(("estimate", "soon"), [(0.6, 0.1), (3.2, 0.2), (10.0, 0.4)])
@pytest.mark.parametrize("speed", [0.0, 0.2])
def test_slow_runner_is_detected_soon(estimate: float, soon: float, speed: float) -> None:
    found = time_until_slow(estimate, speed, 2.0)
    assert found is not None and found < soon + 0.01


@pytest.mark.parametrize(
    ("estimate", "limit"), [(0.05, MIN_STUCK_SECONDS), (0.2, 0.2), (5.0, STUCK_SECONDS)]
)
def test_time_until_a_run_is_stuck_depends_on_its_estimate(estimate: float, limit: float) -> None:
    run = run_with_estimate(estimate)
    health_after_polls(run, (1.0 + limit / 2, 0), (1.0 + limit, 0))
    assert not is_stuck(1.0 + limit, run)
    assert is_stuck(1.0 + limit + 0.01, run)


def test_one_poll_without_progress_is_not_enough() -> None:
    run = run_with_estimate(0.1)
    health_after_polls(run, (2.0, 0))
    assert not is_stuck(2.0, run)
    assert not is_stalled(2.0, run)


def test_progressing_run_is_not_stuck() -> None:
    run = run_with_estimate(0.1)
    health_after_polls(run, (1.5, 0), (2.0, 0), (2.05, 30))
    assert not is_stuck(2.1, run)


@pytest.mark.parametrize(
    ("estimate", "limit"),
    [(0.1, HUNG_SECONDS), (10.0, 10.0 * HUNG_SHARE)],
    ids=["short", "long"],
)
def test_long_run_may_stall_longer_as_its_percents_take_longer(
    estimate: float, limit: float
) -> None:
    run = run_with_estimate(estimate)
    health_after_polls(run, (1.0 + limit / 2, 0), (1.0 + limit, 0))
    assert not is_stalled(1.0 + limit, run)
    assert is_stalled(1.0 + limit + 0.01, run)


@pytest.mark.parametrize(("percent", "elsewhere"), [(10, True), (80, False)])
def test_slow_run_near_its_end_is_not_restarted(percent: int, elsewhere: bool) -> None:
    run = run_with_estimate(1.0)
    run.percent = percent
    assert is_faster_elsewhere(run, 0.3) is elsewhere
