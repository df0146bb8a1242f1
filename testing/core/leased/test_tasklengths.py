"""What an entry learns of lengths from the ends that it sees."""

from random import Random

import pytest
from paddleshunt_core.leased.tasklengths import (
    FARTHEST,
    MOST_QUEUES,
    JobPrediction,
    TaskLengthModel,
    TaskLengthModels,
)


def taught(ends: int, *, patience: float = 5.0, seed: int = 1) -> TaskLengthModel:
    """Return lengths of a queue whose callers wait 2 s and `patience` times the length."""
    rng = Random(seed)
    lengths = TaskLengthModel()
    for _ in range(ends):
        length = rng.uniform(0.1, 0.8)
        lengths.observe(length * rng.uniform(0.6, 1.6), 2 + patience * length, length)
    return lengths


def test_an_estimate_is_believed_until_ends_were_seen() -> None:
    assert TaskLengthModel().predict(0.4, 3.0) == JobPrediction(0.4)


def test_one_end_does_not_outweigh_the_estimate_wholly() -> None:
    lengths = TaskLengthModel()
    lengths.observe(0.4, 3.0, 0.6)
    assert 0.4 < lengths.predict(0.4, 3.0).length < 0.59


@pytest.mark.parametrize("length", [0.15, 0.3, 0.6])
def test_a_deadline_that_follows_the_length_corrects_a_wrong_estimate(length: float) -> None:
    lengths = taught(100)
    for estimate in (0.7 * length, 1.4 * length):
        expected = lengths.predict(estimate, 2 + 5 * length)
        assert expected.length == pytest.approx(length, rel=0.2)


def test_a_deadline_that_tells_nothing_counts_for_nothing() -> None:
    lengths = taught(200, patience=0.0)
    assert lengths.predict(0.4, 2.0).length == pytest.approx(
        lengths.predict(0.4, 2.2).length, rel=0.1
    )


def test_estimates_that_are_all_too_low_are_corrected() -> None:
    lengths = TaskLengthModel()
    for number in range(50):
        estimate = 0.2 + 0.01 * (number % 10)
        lengths.observe(estimate, 3.0, 1.5 * estimate)
    assert lengths.predict(0.3, 3.0).length == pytest.approx(0.45, rel=0.1)


def test_a_job_that_was_sent_again_is_known_by_its_short_deadline() -> None:
    lengths = taught(100)
    again = lengths.predict(0.4, 2 + 5 * 0.4 - 1.6)
    assert again.length == 0.4
    assert again.age == pytest.approx(1.6, abs=0.4)
    assert lengths.predict(0.4, 2 + 5 * 0.4).age == 0.0


def test_no_end_moves_the_expectation_farther_than_the_limit() -> None:
    lengths = TaskLengthModel()
    for _ in range(300):
        lengths.observe(0.1, 3.0, 60.0)
    assert lengths.predict(0.1, 3.0).length <= FARTHEST * 0.1


def test_queues_are_learned_apart() -> None:
    lengths = TaskLengthModels()
    for _ in range(50):
        lengths.of("slow").observe(0.2, 3.0, 0.6)
    assert lengths.of("slow").predict(0.2, 3.0).length > 0.5
    assert lengths.of("other").predict(0.2, 3.0) == JobPrediction(0.2)


def test_queues_that_were_not_asked_for_longest_are_forgotten_first() -> None:
    lengths = TaskLengthModels()
    for name in ("kept", "forgotten"):
        lengths.of(name).observe(0.2, 3.0, 0.6)
    for number in range(MOST_QUEUES - 1):
        lengths.of("kept")
        lengths.of(f"q{number}")
    assert lengths.of("kept").predict(0.2, 3.0) != JobPrediction(0.2)
    assert lengths.of("forgotten").predict(0.2, 3.0) == JobPrediction(0.2)
