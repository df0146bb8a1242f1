"""Cancelled jobs, and the callers that wait until a cancellation has reached all entries.

A caller may submit a job again at any entry, and its cancellation may arrive before the job, or at
an entry that doesn't hold it. So each entry remembers cancelled jobs for as long as callers retry,
starts none of them, and tells the other entries.
"""

from dataclasses import dataclass
from enum import Enum
from typing import final

from paddleshunt_core.leased.wire import CancelledJob

RETENTION_SECONDS = 60.0
"""Seconds for which a cancelled job is remembered; no caller waits longer for its answer."""

MAX_CANCELLED = 4096
"""Maximum number of cancelled jobs remembered; the oldest are forgotten first."""

CONFIRMATION_SECONDS = 0.5
"""Seconds within which the other entries must confirm a cancellation."""


class CancelResult(Enum):
    """Result of a request to cancel a job.

    CANCELLED: its runs are being stopped. UNKNOWN_JOB: no entry holds it, and none will start it.
    UNCONFIRMED: an entry that may hold it hasn't answered.
    """

    CANCELLED = "cancelled"
    UNKNOWN_JOB = "unknown_job"
    UNCONFIRMED = "unconfirmed"


@final
class CancelledJobs:
    """The cancelled jobs that one entry remembers. Times are steady seconds."""

    def __init__(self) -> None:
        self._since: dict[str, float] = {}
        """When each job was cancelled, by key, in the order in which that became known."""
        self._expires_at = float("inf")
        """When the first retention is over."""

    def __contains__(self, key: object) -> bool:
        return key in self._since

    def __len__(self) -> int:
        return len(self._since)

    def add(self, now: float, job: CancelledJob) -> bool:
        """Remember a job unless its retention is over; return whether it was new.

        A known one is not kept any longer, so that entries don't remind each other forever.
        """
        since = now - job.ago_ms / 1000
        if job.key in self._since or now >= since + RETENTION_SECONDS:
            return False
        self._since[job.key] = since
        self._expires_at = min(self._expires_at, since + RETENTION_SECONDS)
        if len(self._since) > MAX_CANCELLED:
            del self._since[next(iter(self._since))]
        return True

    def expire(self, now: float) -> None:
        """Forget the jobs whose retention is over."""
        if now < self._expires_at:
            return
        self._since = {
            key: since for key, since in self._since.items() if now < since + RETENTION_SECONDS
        }
        oldest = min(self._since.values(), default=float("inf"))
        self._expires_at = oldest + RETENTION_SECONDS

    def export(self, now: float) -> list[CancelledJob]:
        """Return all remembered jobs, to send to another entry."""
        return [CancelledJob(key, round((now - at) * 1000)) for key, at in self._since.items()]


@final
@dataclass(frozen=True, slots=True)
class CancelAnswer:
    """Answer to the caller that has requested a cancellation."""

    caller: int
    key: str
    result: CancelResult


@final
@dataclass(slots=True)
class _Pending:
    key: str
    missing: set[str]
    """Names of the entries that have not confirmed."""
    until: float


@final
class PendingCancellations:
    """Requests to cancel jobs that this entry doesn't hold, until the other entries confirm."""

    def __init__(self) -> None:
        self._pending: dict[int, _Pending] = {}

    def __len__(self) -> int:
        return len(self._pending)

    def begin(self, now: float, caller: int, key: str, entries: set[str]) -> list[CancelAnswer]:
        """Wait for the confirmations of these entries; answer at once if there are none."""
        if not entries:
            return [CancelAnswer(caller, key, CancelResult.UNKNOWN_JOB)]
        self._pending[caller] = _Pending(key, set(entries), now + CONFIRMATION_SECONDS)
        return []

    def confirmed(self, entry: str, key: str, *, held: bool) -> list[CancelAnswer]:
        """Handle an entry's confirmation, and whether it held the job."""
        answers: list[CancelAnswer] = []
        for caller, pending in list(self._pending.items()):
            if pending.key != key:
                continue
            pending.missing.discard(entry)
            if held:
                answers.append(self._answer(caller, CancelResult.CANCELLED))
            elif not pending.missing:
                answers.append(self._answer(caller, CancelResult.UNKNOWN_JOB))
        return answers

    def expire(self, now: float) -> list[CancelAnswer]:
        """Answer the requests that were not confirmed in time."""
        due = [caller for caller, pending in self._pending.items() if now >= pending.until]
        return [self._answer(caller, CancelResult.UNCONFIRMED) for caller in due]

    def finish(self) -> list[CancelAnswer]:
        """Answer all requests, as the process exits."""
        return [self._answer(caller, CancelResult.UNCONFIRMED) for caller in list(self._pending)]

    def caller_left(self, caller: int) -> None:
        """Drop the request of a caller that has disconnected."""
        self._pending.pop(caller, None)

    def _answer(self, caller: int, result: CancelResult) -> CancelAnswer:
        return CancelAnswer(caller, self._pending.pop(caller).key, result)
