"""The clocks of the processes of leased jobs, and which of them decides.

All that is decided by time, leases, sessions, deadlines, stand-stills and the age of what is known,
goes by `now`. It counts the time for which the host was suspended: the others did not wait.
`steady` does not count it. It serves where a time must not be taken for longer than another host's
clock may have run, which may have been suspended as well. Timers of the event loop wait by it too:
what they wake up asks `now` before it decides.
"""

from time import CLOCK_BOOTTIME, clock_gettime, monotonic
from typing import final

NOISE_SECONDS = 0.001
"""Seconds by which the two clocks may seem to run apart between two readings."""


def now() -> float:
    """Return the seconds by which all is decided, since some moment before the process began."""
    return clock_gettime(CLOCK_BOOTTIME)


def steady() -> float:
    """Return the seconds for which the host was not suspended, since some moment."""
    return monotonic()


@final
class SuspensionDetector:
    """Notices that the host was suspended."""

    def __init__(self) -> None:
        self._apart = now() - steady()

    def read(self) -> tuple[float, float]:
        """Return `now`, and for how many seconds the host was suspended since this was called."""
        moment = now()
        # A pause between the two readings makes them seem nearer, never further apart.
        apart = moment - steady()
        suspended = apart - self._apart
        if suspended < NOISE_SECONDS:
            return moment, 0.0
        self._apart = apart
        return moment, suspended
