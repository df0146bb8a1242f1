"""Runs on a runner that this process has not ordered; nothing is started beside them.

An earlier process of the target may have left some. A complete list of the runner's runs shows that
there are none. A list with unreadable rows does not; then the leases of earlier orders must end.
"""

from collections.abc import Container, Iterator
from typing import final

from paddleshunt_core.leased.bounds import LeaseTimes
from paddleshunt_core.leased.orders import PollAnswer
from paddleshunt_core.leased.runnerlease import RunnerLease
from paddleshunt_core.leased.wire import RunId


@final
class ForeignRuns:
    """Foreign runs on one incarnation of a runner; times are steady seconds of this process."""

    def __init__(self, times: LeaseTimes, lease: RunnerLease) -> None:
        self._times = times
        self._lease = lease
        self._runs: set[RunId] = set()
        self._known_since: float | None = None
        """Time at which the incarnation became known, at the latest that of the first poll."""
        self._paused = 0.0
        """Seconds since then for which the runner's clock may have stopped."""
        self.ruled_out = False
        """Whether the incarnation was found without foreign runs, or all must have ended."""

    def __bool__(self) -> bool:
        return bool(self._runs)

    def __iter__(self) -> Iterator[RunId]:
        return iter(self._runs)

    def reset(self, now: float) -> None:
        """Discard what is known; only polls sent from now on count."""
        self._runs = set()
        self.ruled_out = False
        self._known_since = now
        self._paused = 0.0

    def is_after_reset(self, answer: PollAnswer) -> bool:
        """Whether an answer is to a poll that was sent since the last reset."""
        return self._known_since is None or answer.sent >= self._known_since

    def clock_paused(self, seconds: float) -> None:
        """Record that the runner's clock may have stopped for some seconds."""
        self._paused += seconds

    def update(self, answer: PollAnswer, ordered: Container[RunId]) -> None:
        """Update from the runner's lists; `ordered` are the runs that this process ordered."""
        ended = {row.run for row in answer.finished}
        listed = {row.run for row in answer.running}
        self._runs = {run for run in listed if run not in ordered and run not in ended}
        if self._runs or self.ruled_out or not self.is_after_reset(answer):
            return
        if self._known_since is None:
            self._known_since = answer.sent
        self.ruled_out = not answer.partial or self._must_have_ended(self._known_since, answer.sent)

    def _must_have_ended(self, known_since: float, now: float) -> bool:
        """Whether all leases granted before `known_since`, or by this process, have ended."""
        earlier_leases_end = (
            known_since + self._paused + self._times.late_hold_max + self._times.overrun
        )
        return now > earlier_leases_end and self._lease.has_surely_expired(now)
