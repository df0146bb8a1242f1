"""Bounds that a deployment sets, and the lengths of the nested leases that follow from them."""

from dataclasses import dataclass
from typing import final

CLOCK_DRIFT = 0.02
"""Share by which a runner's steady clock may be slow."""

LEASE_MARGIN = 0.1
"""Seconds left between the end of the last lease and the moment a caller sends again."""

SESSION_SHARE = 0.4
"""Part of the time before a caller's retry that the session's lease takes."""

HEARTBEATS_A_SESSION = 3.5
"""Heartbeats of a target that fit into a session's lease; the entry answers each at once."""

REDIAL_SHARE = 0.55
"""Part of a session's length without a word after which its connection is made anew.

Two heartbeats of the target have then got no answer, and enough of the session is left to go on.
"""

HALL_PREFERENCE = 0.2
"""Share of a runner's room that it is given to save the bytes of a way between halls."""

COLD_OVERRUN = 1.5
"""How many times as long a task takes on a runner that is cold after its start, if not told."""

IDLE_BEAT = 1.0
"""Seconds between two heartbeats of a target in an idle session, at least.

So long may a target that has died unseen stay on an entry's list; the first assignment to it
finds that out in some 30 ms.
"""

IDLE_BEAT_SESSIONS = 2.0
"""The same as a multiple of a session's lease, which must run out between two of them."""

FRESH_HEARTBEATS = 2.0
"""Heartbeats by which a word of a target may be late and it is still given new work."""

CLOCK_MARGIN = 0.002
"""Seconds that two readings of clocks may be off, as they are told in whole milliseconds."""

CHECKS_A_SESSION = 6
"""How often within a session's length an entry looks for what time has decided."""

MIN_LEASE = 0.05
"""Seconds below which a lease can't be renewed reliably."""


class BoundsError(ValueError):
    """The bounds leave no room for the leases."""


@final
@dataclass(frozen=True, slots=True)
class Bounds:
    """What a deployment promises and asks, in seconds.

    `resend`: a caller that met silence or a broken connection sends again after this long.
    `hold_max`: the longest lease that a runner grants. `stop`: how long a stop takes at most.
    `drain`: after it, a target that leaves may start nothing. `grace`: time from SIGTERM to
    SIGKILL. `config_apply`: in it, an accepted configuration is in force. `remote_factor`: how many
    times as long a task takes away from the rack where its data lies. `caller_delay`: the longest
    way of a packet from a caller to an entry. `cold_overrun`: how many times as long a task takes
    on a runner that is cold after its start. `hall_preference`: what the bytes of a way between
    halls cost, as a share of a runner's room.
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
    """Lengths of the leases, in seconds.

    `session` + `hold` * (1 + drift) + `stop` + margin never exceeds the bound `resend`.
    """

    heartbeat: float
    session: float
    hold: float
    stop: float
    hold_max: float

    @property
    def late_hold_max(self) -> float:
        """Longest lease in seconds that a runner takes by an order for its life before.

        That life's clock was ahead, so all that bounds it is `hold_max`, by a clock that may be
        slow for longer than `overrun` allows for.
        """
        return self.hold_max + (self.hold_max - self.hold) * CLOCK_DRIFT

    @property
    def min_reply_interval(self) -> float:
        """Shortest time between two frames of an entry that only answer a heartbeat."""
        return self.heartbeat / 2

    @property
    def normal_echo_age(self) -> float:
        """Age in seconds that a peer's newest echo rarely exceeds while nothing holds it up."""
        return 2 * self.heartbeat

    @property
    def reconnect_after(self) -> float:
        """Seconds of silence after which a target makes the connection of a session anew."""
        return self.session * REDIAL_SHARE

    @property
    def idle_heartbeat(self) -> float:
        """Seconds between two heartbeats of a target in an idle session."""
        return max(IDLE_BEAT, IDLE_BEAT_SESSIONS * self.session)

    @property
    def min_idle_reply_interval(self) -> float:
        """Shortest time between two frames of an entry that only answer reports of an idle target.

        A run that is still being stopped there keeps its session's lease by them.
        """
        return self.session / 2

    @property
    def idle_session(self) -> float:
        """Seconds of silence after which an idle session is over."""
        return self.idle_heartbeat + self.session

    @property
    def max_silence(self) -> float:
        """Seconds since its last word for which a target that has work is given more."""
        return self.heartbeat * FRESH_HEARTBEATS

    @property
    def max_idle_silence(self) -> float:
        """The same for a target that has no work of the entry."""
        return self.idle_heartbeat + self.max_silence

    @property
    def confirm_timeout(self) -> float:
        """Seconds for which a target keeps an assignment that no echo has confirmed yet."""
        return self.session / 2

    @property
    def lapse(self) -> float:
        """Seconds from an entry's last echo until a target starts nothing more by it."""
        return self.session * (1 + CLOCK_DRIFT) + CLOCK_MARGIN

    @property
    def check_interval(self) -> float:
        """Seconds between two looks of an entry at what time has decided."""
        return self.session / CHECKS_A_SESSION

    @property
    def overrun(self) -> float:
        """Seconds from the end of a runner's lease until nothing can run there any more."""
        return self.hold * CLOCK_DRIFT + self.stop

    @property
    def run_expiry(self) -> float:
        """Seconds from a runner's last renewal until nothing can run there any more."""
        return self.hold + self.overrun

    @property
    def session_expiry(self) -> float:
        """Seconds from an entry's last sign of life until nothing of it can run any more."""
        return self.session + self.run_expiry


def lease_times(bounds: Bounds) -> LeaseTimes:
    """Divide the time before a caller's retry among the nested leases."""
    budget = bounds.resend - bounds.stop - LEASE_MARGIN
    session = budget * SESSION_SHARE
    hold = min(bounds.hold_max, (budget - session) / (1 + CLOCK_DRIFT))
    if session < MIN_LEASE or hold < MIN_LEASE:
        raise BoundsError(
            f"resend {bounds.resend} s, hold {bounds.hold_max} s and stop {bounds.stop} s"
            " leave no time for leases"
        )
    heartbeat = session / HEARTBEATS_A_SESSION
    return LeaseTimes(heartbeat, session, hold, bounds.stop, bounds.hold_max)
