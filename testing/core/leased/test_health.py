"""A runner's health after failures, successes and slow runs."""

import pytest
from paddleshunt_core.leased.health import SICK_SECONDS, RunnerHealth
from paddleshunt_core.leased.wire import Health


def health_after(ends: str) -> RunnerHealth:
    """Return the health after ends of runs at time 1: `d` is done, `f` is failed."""
    health = RunnerHealth()
    for end in ends:
        if end == "d":
            health.done(1.0, 1.0)
        else:
            health.failed(1.0)
    return health


@pytest.mark.parametrize(
    ("ends", "level"),
    [
        ("dddd", Health.GOOD),
        ("ff", Health.GOOD),
        ("fff", Health.SICK),
        ("fdfdf", Health.SICK),
        ("fddddfddddf", Health.GOOD),
    ],
    ids=["all-done", "two-failed", "three-in-a-row", "half-failed", "few-failed"],
)
def test_level_follows_recent_ends(ends: str, level: Health) -> None:
    assert health_after(ends).level(1.0) is level


def test_one_successful_run_ends_probation() -> None:
    health = health_after("fff")
    later = 1.0 + SICK_SECONDS
    assert health.level(later) is Health.PROBATION
    health.done(later, 1.0)
    assert health.level(later) is Health.GOOD


def test_one_failure_on_probation_makes_a_runner_sick() -> None:
    health = health_after("fff")
    later = 1.0 + SICK_SECONDS
    health.failed(later)
    assert health.level(later) is Health.SICK


def test_a_slow_run_on_probation_makes_a_runner_sick() -> None:
    health = health_after("fff")
    later = 1.0 + SICK_SECONDS
    health.done(later, 0.1)
    assert health.level(later) is Health.SICK


def test_speed_covers_only_the_recent_window() -> None:
    health = RunnerHealth()
    health.progressed(1.0, 1.0, 1.0)
    health.progressed(2.0, 0.1, 1.0)
    assert health.speed(2.0) == pytest.approx(0.1)
    assert health.speed(9.0) == 1.0
