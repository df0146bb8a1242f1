"""How long tasks really take: a line for each queue, fitted to the ends that an entry has seen.

A caller gives a rough estimate of a task's length, and says how long it waits for the answer.
Who hands in longer work waits longer, so both tell of the length; how much each tells is learned
from the ends of tasks. Until some were seen, the estimate is taken as it is.

A caller that sends a job again waits only for the rest of its time. Such a job shows by a deadline
that is too short for any length its estimate allows, which gives its age away.
"""

from dataclasses import dataclass
from typing import final

MEMORY = 0.995
"""What is left of an end's weight after the next: about the last 200 ends count."""

PRIOR = (1.0, 0.6, 8.0)
"""Weights of the belief that the estimate is right, for offset, estimate and deadline.

On the log of a day weaker ones (0.2, 0.6, 2) erred by 0.22 to 0.27 of the length in a queue's first
sixty ends, stronger ones (10, 3, 100) by 0.30 to 0.35. Over the whole day these erred as little as
the weaker ones (medians 0.13 to 0.21); their first sixty ends were not looked at apart.
"""

FARTHEST = 4.0
"""By which factor a learned length may differ from its estimate at most."""

OLD_RATIO = 0.35
"""Learned length, in estimates, below which a job is taken for one that was sent again.

Callers' estimates were seen to lie within 0.4 and 1.9 of the length.
"""

MOST_QUEUES = 1000
"""Queues that are remembered; one takes about 1 KB, and the largest configuration seen had 360."""

LEAST_DEADLINE_SLOPE = 0.02
"""Seconds of length for a second of deadline, below which a deadline tells no age."""


@final
@dataclass(frozen=True, slots=True)
class JobPrediction:
    """What a job is expected to be: `length` of a task and `age` since its first try, seconds."""

    length: float
    age: float = 0.0


@final
class TaskLengthModel:
    """Least squares over the ends of one queue, each weighted by its estimate's inverse square."""

    def __init__(self) -> None:
        self._squares = [[0.0] * 3 for _ in range(3)]
        self._products = [0.0] * 3
        self._line = (0.0, 1.0, 0.0)
        self._stale = False

    def observe(self, estimate: float, deadline: float, took: float) -> None:
        """Note that a task of a job with these figures took `took` seconds."""
        ratio = min(FARTHEST, max(1 / FARTHEST, took / estimate))
        row = _row(estimate, deadline)
        for i in range(3):
            for j in range(3):
                self._squares[i][j] = MEMORY * self._squares[i][j] + row[i] * row[j]
            self._products[i] = MEMORY * self._products[i] + row[i] * ratio
        self._stale = True

    def predict(self, estimate: float, deadline: float) -> JobPrediction:
        """Return the length and age of a job with these figures."""
        offset, slope, patience = self._fitted()
        length = offset + slope * estimate + patience * deadline
        if length < OLD_RATIO * estimate and patience > LEAST_DEADLINE_SLOPE:
            usual = (estimate - offset - slope * estimate) / patience
            return JobPrediction(estimate, max(0.0, usual - deadline))
        least, most = estimate / FARTHEST, estimate * FARTHEST
        return JobPrediction(min(most, max(least, length)))

    def _fitted(self) -> tuple[float, float, float]:
        if self._stale:
            self._stale = False
            matrix = [list(row) for row in self._squares]
            for i, weight in enumerate(PRIOR):
                matrix[i][i] += weight
            products = list(self._products)
            products[1] += PRIOR[1]
            self._line = _solved(matrix, products)
        return self._line


@final
class TaskLengthModels:
    """The lengths of all queues, by name; what was not asked for longest is forgotten first."""

    def __init__(self) -> None:
        self._queues: dict[str, TaskLengthModel] = {}

    def of(self, queue: str) -> TaskLengthModel:
        """Return what is known of a queue."""
        lengths = self._queues.pop(queue, None) or TaskLengthModel()
        self._queues[queue] = lengths
        if len(self._queues) > MOST_QUEUES:
            del self._queues[next(iter(self._queues))]
        return lengths


def _row(estimate: float, deadline: float) -> tuple[float, float, float]:
    """Return what the ratio of length and estimate is a line over."""
    return 1 / estimate, 1.0, deadline / estimate


def _solved(matrix: list[list[float]], right: list[float]) -> tuple[float, float, float]:
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
