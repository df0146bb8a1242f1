"""Records of the submissions that a home has answered.

A record is kept until its id can no longer be accepted. The answers are bounded in bytes: the
oldest are dropped first, while their ids stay closed.
"""

from collections import deque
from dataclasses import dataclass
from typing import final

from paddleshunt_core.messages import Answer
from paddleshunt_core.outcomes import Complete, Conflict, Outcome, Unknown


@dataclass(slots=True)
class _Record:
    """A closed submission; `outcome` is None once the answer was dropped to save memory."""

    digest: bytes
    repeatable: bool
    outcome: Outcome | None
    bytes: int


@final
class Records:
    """Closed ids of one home, with their outcomes."""

    def __init__(self, answer_bytes: int) -> None:
        self._answer_bytes = answer_bytes
        self._records: dict[str, _Record] = {}
        self._expiry: deque[tuple[float, str]] = deque()
        self._kept: deque[str] = deque()
        self.kept_bytes = 0
        """Bytes of the answers kept."""

    def __len__(self) -> int:
        return len(self._records)

    def close(self, answer: Answer, forget_at: float) -> None:
        """Record a final answer; its id is forgotten after `forget_at` (seconds)."""
        outcome = answer.outcome
        size = sum(map(len, outcome.results)) if isinstance(outcome, Complete) else 0
        record = _Record(answer.digest, answer.repeatable, outcome, size)
        self._records[answer.submission] = record
        self._expiry.append((forget_at, answer.submission))
        if size:
            self.kept_bytes += size
            self._kept.append(answer.submission)
            self._drop_answers()

    def find(self, submission: str, digest: bytes) -> Answer | None:
        """Return the answer to a request with `digest` (empty: any), or None without a record."""
        record = self._records.get(submission)
        if record is None:
            return None
        if digest not in (b"", record.digest):
            return conflict_answer(submission, digest)
        outcome = record.outcome or Unknown("it ran; its answer is no longer kept")
        return Answer(submission, digest or record.digest, outcome, record.repeatable)

    def forget(self, now: float) -> None:
        """Remove the records that have expired."""
        while self._expiry and self._expiry[0][0] <= now:
            record = self._records.pop(self._expiry.popleft()[1])
            self.kept_bytes -= record.bytes

    def _drop_answers(self) -> None:
        while self.kept_bytes > self._answer_bytes and len(self._kept) > 1:
            record = self._records.get(self._kept.popleft())
            if record is not None:
                self.kept_bytes -= record.bytes
                record.bytes = 0
                record.outcome = None


def conflict_answer(submission: str, digest: bytes) -> Answer:
    """Return the answer to a request that reuses a known id for another body."""
    return Answer(submission, digest, Conflict("the id belongs to another body"))
