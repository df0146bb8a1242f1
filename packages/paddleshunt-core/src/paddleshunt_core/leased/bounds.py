"""Time bounds set by a deployment, and the durations of the nested leases derived from them."""

from dataclasses import dataclass
from typing import final

CLOCK_DRIFT = 0.02
"""Largest relative error of a runner's monotonic clock."""

LEASE_MARGIN = 0.1
"""Seconds between the end of the last lease and the caller's retry."""

SESSION_SHARE = 0.4
"""Share of the time before a caller's retry that the session lease takes."""

HEARTBEATS_PER_SESSION = 3.5
"""Heartbeats of a target per session lease; the entry answers each at once."""

RECONNECT_SHARE = 0.55
"""Share of the session lease without a message after which the connection is reopened.

That is almost two heartbeat intervals, and leaves enough of the lease to continue.
"""

HALL_PREFERENCE = 0.2
"""Default weight of a transfer between halls in placement, as a share of a runner's capacity."""

COLD_OVERRUN = 1.5
"""Default ratio of a task's run times on a cold and a warm runner."""

MIN_IDLE_HEARTBEAT = 1.0
"""Minimum seconds between two heartbeats of a target in an idle session.

A target that died unnoticed may stay in an entry's list that long; the first assignment to it
reveals it.
"""

IDLE_HEARTBEAT_SESSIONS = 2.0
"""Minimum time between these heartbeats, in session leases: one must expire in between."""

MAX_SILENT_HEARTBEATS = 2.0
"""Heartbeat intervals for which a target may be silent and still get new tasks."""

CLOCK_MARGIN = 0.002
"""Seconds by which two clock readings may differ, as they are sent in whole milliseconds."""

CHECKS_PER_SESSION = 6
"""Checks for expired deadlines per session lease."""

MIN_LEASE = 0.05
"""Shortest lease in seconds that can be renewed reliably."""


class BoundsError(ValueError):
    """Raised if the bounds leave no time for the leases."""


@final
@dataclass(frozen=True, slots=True)
class Bounds:
    """Time bounds of a deployment, in seconds unless said otherwise.

    `resend`: time after which a caller retries without an answer. `hold_max`: longest lease that a
    runner grants. `stop`: longest time to stop a task. `drain`: time after which a leaving target
    starts nothing. `grace`: time from SIGTERM to SIGKILL. `config_apply`: time until an accepted
    configuration is in force. `remote_factor`: ratio of a task's run times away from its data's
    rack and in it. `caller_delay`: longest network delay from a caller to an entry. `cold_overrun`:
    ratio of a task's run times on a cold and a warm runner. `hall_preference`: weight of a transfer
    between halls, as a share of a runner's capacity.
    """

    resend: float = 1.3
    hold_max: float = 1.0
    stop: float = 0.05
    drain: float = 2.0
    grace: float = 6.0
    config_apply: float = 2.0
    remote_factor: float = 1.5
    caller_delay: float = 0.004
    cold_overrun: float = COLD_OVERRUN
    hall_preference: float = HALL_PREFERENCE


@final
@dataclass(frozen=True, slots=True)
class LeaseTimes:
    """Durations of the leases, in seconds."""

    heartbeat: float
    session: float
    hold: float
    stop: float
    hold_max: float

    @property
    def late_hold_max(self) -> float:
        """Longest lease that a runner grants on an order meant for its previous incarnation.

        That incarnation's clock may have been ahead, so the lease is limited by `hold_max` only.
        `overrun` covers the clock drift of `hold` only, so the drift of the rest is added.
        """
        return self.hold_max + (self.hold_max - self.hold) * CLOCK_DRIFT

    @property
    def min_reply_interval(self) -> float:
        """Minimum time between two frames of an entry that only answer heartbeats."""
        return self.heartbeat / 2

    @property
    def normal_echo_age(self) -> float:
        """Highest usual age of a peer's newest echo without congestion."""
        return 2 * self.heartbeat

    @property
    def reconnect_after(self) -> float:
        """Silence after which a target reopens the connection of a session."""
        return self.session * RECONNECT_SHARE

    @property
    def idle_heartbeat(self) -> float:
        """Time between two heartbeats of a target in an idle session."""
        return max(MIN_IDLE_HEARTBEAT, IDLE_HEARTBEAT_SESSIONS * self.session)

    @property
    def min_idle_reply_interval(self) -> float:
        """Minimum time between two frames of an entry that only answer an idle target's reports.

        They keep the session lease of a run that is still being stopped there.
        """
        return self.session / 2

    @property
    def idle_session(self) -> float:
        """Silence after which an idle session expires."""
        return self.idle_heartbeat + self.session

    @property
    def max_silence(self) -> float:
        """Silence up to which a target with tasks of the entry gets more."""
        return self.heartbeat * MAX_SILENT_HEARTBEATS

    @property
    def max_idle_silence(self) -> float:
        """Silence up to which a target without tasks of the entry gets some."""
        return self.idle_heartbeat + self.max_silence

    @property
    def confirm_timeout(self) -> float:
        """Time for which a target keeps an assignment that no echo has confirmed."""
        return self.session / 2

    @property
    def echo_expiry(self) -> float:
        """Time from an entry's last echo until a target starts nothing more for it."""
        return self.session * (1 + CLOCK_DRIFT) + CLOCK_MARGIN

    @property
    def check_interval(self) -> float:
        """Interval at which an entry checks for expired deadlines."""
        return self.session / CHECKS_PER_SESSION

    @property
    def overrun(self) -> float:
        """Time from the end of a runner's lease until nothing can run there."""
        return self.hold * CLOCK_DRIFT + self.stop

    @property
    def run_expiry(self) -> float:
        """Time from a runner's last renewal until nothing can run there."""
        return self.hold + self.overrun

    @property
    def session_expiry(self) -> float:
        """Time from an entry's last message until nothing of it can run."""
        return self.session + self.run_expiry


def lease_times(bounds: Bounds) -> LeaseTimes:
    """Divide the time before a caller's retry among the nested leases.

    Raises `BoundsError` if too little time is left for one of them.
    """
    budget = bounds.resend - bounds.stop - LEASE_MARGIN
    session = budget * SESSION_SHARE
    hold = min(bounds.hold_max, (budget - session) / (1 + CLOCK_DRIFT))
    if session < MIN_LEASE or hold < MIN_LEASE:
        raise BoundsError(
            f"resend {bounds.resend} s, hold {bounds.hold_max} s and stop {bounds.stop} s"
            " leave no time for leases"
        )
    heartbeat = session / HEARTBEATS_PER_SESSION
    return LeaseTimes(heartbeat, session, hold, bounds.stop, bounds.hold_max)
