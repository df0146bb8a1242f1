"""The clocks of the processes for leased jobs.

Leases, sessions, deadlines, pauses and ages are measured by `now`, which includes the time for
which the host was suspended. `steady` excludes it; it is used to estimate another host's clock,
which must not be overestimated, as that host may have been suspended too. Timers of the event loop
run by `steady`, so their callbacks check `now` before they act.
"""

from time import CLOCK_BOOTTIME, clock_gettime, monotonic
from typing import final

NOISE_SECONDS = 0.001
"""Changes of the clocks' offset below this many seconds don't count as a suspension."""


def now() -> float:
    """Return the seconds since the host's boot, including suspensions."""
    return clock_gettime(CLOCK_BOOTTIME)


def steady() -> float:
    """Return the seconds since an arbitrary start, excluding suspensions."""
    return monotonic()


@final
class SuspensionDetector:
    """Detects suspensions of the host."""

    def __init__(self) -> None:
        self._offset = now() - steady()

    def read(self) -> tuple[float, float]:
        """Return `now`, and the seconds of suspension since the last call."""
        current = now()
        # A pause between the two readings makes the offset smaller, never larger.
        offset = current - steady()
        suspended = offset - self._offset
        if suspended < NOISE_SECONDS:
            return current, 0.0
        self._offset = offset
        return current, suspended
