"""Task lengths predicted from observed completions."""

from random import Random

import pytest
from paddleshunt_core.leased.tasklengths import (
    MAX_QUEUES,
    MAX_RATIO,
    JobPrediction,
    TaskLengthModel,
    TaskLengthModels,
)


def trained_model(
    completions: int, *, deadline_slope: float = 5.0, seed: int = 1
) -> TaskLengthModel:
    """Return a model of a queue whose callers wait 2 s plus `deadline_slope` times the length."""
    rng = Random(seed)
    lengths = TaskLengthModel()
    for _ in range(completions):
        length = rng.uniform(0.1, 0.8)
        lengths.observe(length * rng.uniform(0.6, 1.6), 2 + deadline_slope * length, length)
    return lengths


def test_the_estimate_is_used_without_completions() -> None:
    assert TaskLengthModel().predict(0.4, 3.0) == JobPrediction(0.4)


def test_one_completion_does_not_outweigh_the_estimate() -> None:
    lengths = TaskLengthModel()
    lengths.observe(0.4, 3.0, 0.6)
    assert 0.4 < lengths.predict(0.4, 3.0).length < 0.59


@pytest.mark.parametrize("length", [0.15, 0.3, 0.6])
def test_a_deadline_proportional_to_the_length_corrects_the_estimate(length: float) -> None:
    lengths = trained_model(100)
    for estimate in (0.7 * length, 1.4 * length):
        expected = lengths.predict(estimate, 2 + 5 * length)
        assert expected.length == pytest.approx(length, rel=0.2)


def test_an_uninformative_deadline_has_no_weight() -> None:
    lengths = trained_model(200, deadline_slope=0.0)
    assert lengths.predict(0.4, 2.0).length == pytest.approx(
        lengths.predict(0.4, 2.2).length, rel=0.1
    )


def test_estimates_that_are_all_too_low_are_corrected() -> None:
    lengths = TaskLengthModel()
    for number in range(50):
        estimate = 0.2 + 0.01 * (number % 10)
        lengths.observe(estimate, 3.0, 1.5 * estimate)
    assert lengths.predict(0.3, 3.0).length == pytest.approx(0.45, rel=0.1)


def test_a_resent_job_is_recognized_by_its_short_deadline() -> None:
    lengths = trained_model(100)
    again = lengths.predict(0.4, 2 + 5 * 0.4 - 1.6)
    assert again.length == 0.4
    assert again.age == pytest.approx(1.6, abs=0.4)
    assert lengths.predict(0.4, 2 + 5 * 0.4).age == 0.0


def test_a_prediction_stays_within_the_limit() -> None:
    lengths = TaskLengthModel()
    for _ in range(300):
        lengths.observe(0.1, 3.0, 60.0)
    assert lengths.predict(0.1, 3.0).length <= MAX_RATIO * 0.1


def test_queues_are_modeled_separately() -> None:
    lengths = TaskLengthModels()
    for _ in range(50):
        lengths.for_queue("slow").observe(0.2, 3.0, 0.6)
    assert lengths.for_queue("slow").predict(0.2, 3.0).length > 0.5
    assert lengths.for_queue("other").predict(0.2, 3.0) == JobPrediction(0.2)


def test_the_least_recently_used_queue_is_dropped_first() -> None:
    lengths = TaskLengthModels()
    for name in ("kept", "forgotten"):
        lengths.for_queue(name).observe(0.2, 3.0, 0.6)
    for number in range(MAX_QUEUES - 1):
        lengths.for_queue("kept")
        lengths.for_queue(f"q{number}")
    assert lengths.for_queue("kept").predict(0.2, 3.0) != JobPrediction(0.2)
    assert lengths.for_queue("forgotten").predict(0.2, 3.0) == JobPrediction(0.2)
