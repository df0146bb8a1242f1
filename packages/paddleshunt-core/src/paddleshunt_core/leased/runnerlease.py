"""The lease that a target keeps on its runner: how far it reaches, and how far it may.

The runner has one lease for all that runs there, and prolongs it with each order that it gets,
whether it answers or not. When it is over, the runner kills all.
"""

from collections.abc import Iterable
from typing import final

from paddleshunt_core.leased.bounds import MIN_LEASE, LeaseTimes
from paddleshunt_core.leased.runtable import Phase, Run


@final
class RunnerLease:
    """The lease as this target has granted it; times are own steady seconds."""

    def __init__(self, times: LeaseTimes) -> None:
        self._times = times
        self._end = float("-inf")
        """End of the longest lease that any order has brought."""

    def next_end(self, now: float, runs: Iterable[Run]) -> float:
        """Return when a lease that is granted now must end.

        It covers unwanted runs as well: none of them may outlive what remained to it when it became
        so, as its entry counts on that. One whose stop the runner has confirmed needs no lease.
        """
        end = now + self._times.hold
        for run in runs:
            if run.phase is Phase.STOPPING and run.settled is None:
                end = min(end, run.unwanted + self._times.hold)
        return end

    def is_enough(self, now: float, end: float) -> bool:
        """Whether a run may start under a lease that ends at `end`."""
        return end >= now + MIN_LEASE

    def grant(self, end: float) -> None:
        """Note that an order brings the runner a lease until `end`."""
        self._end = max(self._end, end)

    def may_have_strayed(self, now: float) -> None:
        """Note that the runner's next life may by now have carried an order out for the last."""
        self._end = max(self._end, now + self._times.late_hold_max)

    def stood_still(self, seconds: float) -> None:
        """Note that the runner's clock may not have moved for so long, as its host was suspended.

        A lease that has just been granted is unaffected by it; that it counts as longer is safe.
        """
        self._end += seconds

    def over_for(self, now: float) -> float:
        """Return for how many seconds the lease has been over; negative if it is not."""
        return now - self._end

    def has_killed(self, now: float) -> bool:
        """Whether nothing can be at work any more, however slow the runner's clock is."""
        return self.over_for(now) > self._times.overrun
