"""The lease that a target grants its runner: when it ends, and until when it may be extended.

A runner has one lease for all its runs. Each order that it receives extends the lease, answered or
not. When the lease ends, the runner kills all its runs.
"""

from collections.abc import Iterable
from typing import final

from paddleshunt_core.leased.bounds import MIN_LEASE, LeaseTimes
from paddleshunt_core.leased.runtable import Phase, Run


@final
class RunnerLease:
    """The lease as granted by this target; times are steady seconds of this process."""

    def __init__(self, times: LeaseTimes) -> None:
        self._times = times
        self._end = float("-inf")
        """Latest lease end that any order has granted."""

    def next_end(self, now: float, runs: Iterable[Run]) -> float:
        """Return the end of a lease that is granted now.

        An unwanted run must end within the lease that it had when it became unwanted, as its entry
        relies on that, so it limits the lease until the runner confirms its stop.
        """
        end = now + self._times.hold
        for run in runs:
            if run.phase is Phase.STOPPING and run.confirmed_at is None:
                end = min(end, run.unwanted_since + self._times.hold)
        return end

    def is_enough(self, now: float, end: float) -> bool:
        """Whether a run may start under a lease that ends at `end`."""
        return end >= now + MIN_LEASE

    def grant(self, end: float) -> None:
        """Record that an order grants the runner a lease until `end`."""
        self._end = max(self._end, end)

    def extend_for_late_order(self, now: float) -> None:
        """Extend the lease, as the next incarnation may just have executed a late order."""
        self._end = max(self._end, now + self._times.late_hold_max)

    def clock_paused(self, seconds: float) -> None:
        """Extend the lease, as the runner's clock may have stopped while its host was suspended.

        A lease granted since the suspension is not affected, but a later assumed end is safe.
        """
        self._end += seconds

    def seconds_past_end(self, now: float) -> float:
        """Return the seconds since the lease ended; negative until then."""
        return now - self._end

    def has_surely_expired(self, now: float) -> bool:
        """Whether the lease has ended however slow the runner's clock is, so that nothing runs."""
        return self.seconds_past_end(now) > self._times.overrun
