"""Prediction of task lengths: a linear model per queue, fitted to observed completions.

A caller gives a rough estimate of a task's length, and a deadline. Callers with longer work wait
longer, so both carry information; their weights are fitted to completions. Until there are any,
the estimate is used as it is.

A caller that resends a job sets a deadline of only the remaining time. Such a job is recognized by
a deadline too short for any length that its estimate allows, which also shows its age.
"""

from dataclasses import dataclass
from typing import final

DECAY = 0.995
"""Factor by which an observation's weight decays with each new one: about the last 200 count."""

PRIOR_WEIGHTS = (1.0, 0.6, 8.0)
"""Weights of the prior that the estimate is right, by coefficient: offset, estimate, deadline."""

MAX_RATIO = 4.0
"""Largest factor between a predicted length and its estimate."""

RESENT_RATIO = 0.35
"""Ratio of the predicted length to the estimate below which a job is taken for a resent one."""

MAX_QUEUES = 1000
"""Queues kept; the least recently used is dropped first."""

MIN_DEADLINE_SLOPE = 0.02
"""Seconds of length per second of deadline up to which no age is derived from a deadline."""


@final
@dataclass(frozen=True, slots=True)
class JobPrediction:
    """A job's predicted `length` of a task and `age` since its first submission, in seconds."""

    length: float
    age: float = 0.0


@final
class TaskLengthModel:
    """Least squares over one queue's completions, each weighted by its inverse squared estimate."""

    def __init__(self) -> None:
        self._normal_matrix = [[0.0] * 3 for _ in range(3)]
        self._normal_vector = [0.0] * 3
        self._coefficients = (0.0, 1.0, 0.0)
        self._stale = False

    def observe(self, estimate: float, deadline: float, took: float) -> None:
        """Add a task that took `took` seconds, of a job with this estimate and deadline."""
        ratio = min(MAX_RATIO, max(1 / MAX_RATIO, took / estimate))
        row = _regressors(estimate, deadline)
        for i in range(3):
            for j in range(3):
                self._normal_matrix[i][j] = DECAY * self._normal_matrix[i][j] + row[i] * row[j]
            self._normal_vector[i] = DECAY * self._normal_vector[i] + row[i] * ratio
        self._stale = True

    def predict(self, estimate: float, deadline: float) -> JobPrediction:
        """Return the predicted length and age of a job with this estimate and deadline."""
        offset, slope, deadline_slope = self._fitted()
        length = offset + slope * estimate + deadline_slope * deadline
        if length < RESENT_RATIO * estimate and deadline_slope > MIN_DEADLINE_SLOPE:
            typical_deadline = (estimate - offset - slope * estimate) / deadline_slope
            return JobPrediction(estimate, max(0.0, typical_deadline - deadline))
        least, most = estimate / MAX_RATIO, estimate * MAX_RATIO
        return JobPrediction(min(most, max(least, length)))

    def _fitted(self) -> tuple[float, float, float]:
        if self._stale:
            self._stale = False
            matrix = [list(row) for row in self._normal_matrix]
            for i, weight in enumerate(PRIOR_WEIGHTS):
                matrix[i][i] += weight
            vector = list(self._normal_vector)
            vector[1] += PRIOR_WEIGHTS[1]
            self._coefficients = _solve(matrix, vector)
        return self._coefficients


@final
class TaskLengthModels:
    """Length models of all queues, by name; the least recently used is dropped first."""

    def __init__(self) -> None:
        self._queues: dict[str, TaskLengthModel] = {}

    def for_queue(self, queue: str) -> TaskLengthModel:
        """Return a queue's model; a new one if there is none."""
        model = self._queues.pop(queue, None) or TaskLengthModel()
        self._queues[queue] = model
        if len(self._queues) > MAX_QUEUES:
            del self._queues[next(iter(self._queues))]
        return model


def _regressors(estimate: float, deadline: float) -> tuple[float, float, float]:
    """Return the regressors of the ratio of length and estimate."""
    return 1 / estimate, 1.0, deadline / estimate


def _solve(matrix: list[list[float]], right: list[float]) -> tuple[float, float, float]:
    """Solve three linear equations by elimination; the prior keeps the matrix regular."""
    for i in range(3):
        pivot = matrix[i][i]
        for j in range(i + 1, 3):
            factor = matrix[j][i] / pivot
            matrix[j] = [a - factor * b for a, b in zip(matrix[j], matrix[i], strict=True)]
            right[j] -= factor * right[i]
    third = right[2] / matrix[2][2]
    second = (right[1] - matrix[1][2] * third) / matrix[1][1]
    first = (right[0] - matrix[0][1] * second - matrix[0][2] * third) / matrix[0][0]
    return first, second, third
