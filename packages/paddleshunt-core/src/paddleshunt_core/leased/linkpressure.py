"""Detection of congestion on a host's own link, and the load to shed meanwhile.

It is given samples of the unsent bytes on all connections a few times per second. A wait counts
only if the host's own link causes it: several connections must hold bytes, at least half of
the active ones, and the peers' echoes, if any, must be late too. A peer that doesn't read or is
unreachable holds up its own connection only.
"""

from collections import deque
from dataclasses import dataclass
from enum import IntEnum
from typing import final

from paddleshunt_core.events import Log, note

SHED_ENTER_SECONDS = 0.1
"""Seconds of wait from which deferrable work is shed.

Answers are due 60 ms after the work.
"""

SHED_LEAVE_SECONDS = 0.04
"""Seconds of wait below which shedding ends."""

REJECT_ENTER_SECONDS = 0.25
"""Seconds of wait from which new jobs are rejected.

Half of the wait from which callers see a host as choked.
"""

REJECT_LEAVE_SECONDS = 0.1
"""Seconds of wait below which new jobs are accepted again."""

CONSECUTIVE_SAMPLES = 2
"""Consecutive samples needed to enter or leave a level; a burst drains between two."""

MIN_LEVEL_SECONDS = 1.0
"""Minimum seconds at a level, for shedding to take effect."""

READY_DELAY_SECONDS = 3.0
"""Seconds after the level was PRESSED last at which new connections are accepted again.

The load balancer can't follow readiness that changes faster.
"""

MIN_HOLDING_CONNECTIONS = 3
"""Connections that must hold bytes at once; fewer may be unreachable peers."""

MIN_HOLDING_SHARE = 0.5
"""Share of the active connections that must hold bytes; fewer may lead to a lost hall."""

MIN_RATE = 12_500.0
"""Lowest link rate assumed, in bytes per second.

A job's messages take 0.4 s at this rate.
"""

RATE_WEIGHT = 0.5
"""Weight of the newest sample in the moving average of the drain rate."""

MAX_WAIT_SECONDS = 10.0
"""Longest wait reported, in seconds."""

ECHO_WINDOW_SAMPLES = 300
"""Samples whose lowest echo age is the baseline: one minute at five per second."""


class PressureLevel(IntEnum):
    """SHEDDING: deferrable work is skipped. PRESSED: new jobs are rejected as well."""

    NORMAL = 0
    SHEDDING = 1
    PRESSED = 2


@final
@dataclass(frozen=True, slots=True)
class LinkSample:
    """The state of all connections of a process at one moment.

    `unsent` is the number of bytes held by all connections, `largest` that held by one of them, and
    `written` that of all bytes ever handed to connections. `active` connections hold bytes or were
    written to since the last sample; `holding` of them hold some. `echo_age` is the lower-quartile
    age in seconds of the peers' newest echoes; None without peers that echo.
    """

    unsent: int
    largest: int
    written: int
    holding: int
    active: int
    echo_age: float | None = None


@final
class LinkPressure:
    """Derives the pressure level from samples.

    `normal_echo_age` bounds the age of the peers' echoes, in seconds, on an idle link. It serves as
    the baseline of a process that starts while its link is already under pressure.
    """

    def __init__(self, normal_echo_age: float = float("inf")) -> None:
        self._normal_echo_age = normal_echo_age
        self.level = PressureLevel.NORMAL
        self.wait = 0.0
        """Seconds that bytes currently wait at the link."""
        self._level_since = float("-inf")
        """When the level last changed."""
        self._pressed_at = float("-inf")
        """When the level was PRESSED last."""
        self._previous: tuple[float, LinkSample] | None = None
        self._rate: float | None = None
        self._samples_above = {PressureLevel.SHEDDING: 0, PressureLevel.PRESSED: 0}
        """Consecutive samples with a wait long enough to enter a level, by level."""
        self._samples_below = {PressureLevel.SHEDDING: 0, PressureLevel.PRESSED: 0}
        """Consecutive samples with a wait short enough to leave a level, by level."""
        self._echoes: deque[float] = deque(maxlen=ECHO_WINDOW_SAMPLES)

    def needs_full_sample(self, echo_age: float | None) -> bool:
        """Whether to take a full sample: the level is raised, or echoes are late."""
        return (
            self.level is not PressureLevel.NORMAL or self._lateness(echo_age) >= SHED_LEAVE_SECONDS
        )

    def rejects_connections(self, now: float) -> bool:
        """Whether new connections should go to another host."""
        return now < self._pressed_at + READY_DELAY_SECONDS

    def add_sample(self, now: float, sample: LinkSample) -> list[Log]:
        """Process a sample; return a log line if the level changes."""
        self._measure_rate(now, sample)
        self.wait = self._wait(sample)
        if sample.echo_age is not None:
            self._echoes.append(sample.echo_age)
        self._previous = (now, sample)
        self._count_samples()
        before = self.level
        if now >= self._level_since + MIN_LEVEL_SECONDS:
            self.level = self._next_level()
        if self.level is PressureLevel.PRESSED:
            self._pressed_at = now
        if self.level is before:
            return []
        self._level_since = now
        event = "link_pressed" if self.level > before else "link_eased"
        fields: dict[str, str | int | float] = {
            "level": self.level.name.lower(),
            "wait_ms": round(self.wait * 1000),
            "bytes": sample.unsent,
            "holding": sample.holding,
            "active": sample.active,
            "rate": round(self._rate or 0),
        }
        return [note(event, **fields)]

    def _measure_rate(self, now: float, sample: LinkSample) -> None:
        """Update the drain rate; only an interval in which bytes were held throughout shows it."""
        if self._previous is None:
            return
        previous_at, last = self._previous
        if not (last.unsent and sample.unsent) or now <= previous_at:
            self._rate = None
            return
        drained = sample.written - last.written - (sample.unsent - last.unsent)
        rate = max(0.0, drained / (now - previous_at))
        known = rate if self._rate is None else self._rate
        self._rate = known + RATE_WEIGHT * (rate - known)

    def _wait(self, sample: LinkSample) -> float:
        """Return how long unsent bytes wait, in seconds; 0 if the cause is not the own link."""
        least = max(MIN_HOLDING_CONNECTIONS, MIN_HOLDING_SHARE * sample.active)
        if self._rate is None or sample.holding < least:
            return 0.0
        unsent = sample.unsent - sample.largest
        wait = min(MAX_WAIT_SECONDS, unsent / max(MIN_RATE, self._rate))
        return wait if sample.echo_age is None else min(wait, self._lateness(sample.echo_age))

    def _lateness(self, echo_age: float | None) -> float:
        """Return by how many seconds echoes are later than the baseline."""
        if echo_age is None:
            return 0.0
        baseline = min(self._normal_echo_age, min(self._echoes, default=echo_age))
        return max(0.0, echo_age - baseline)

    def _count_samples(self) -> None:
        limits = {
            PressureLevel.SHEDDING: (SHED_ENTER_SECONDS, SHED_LEAVE_SECONDS),
            PressureLevel.PRESSED: (REJECT_ENTER_SECONDS, REJECT_LEAVE_SECONDS),
        }
        for level, (enter, leave) in limits.items():
            self._samples_above[level] = self._samples_above[level] + 1 if self.wait >= enter else 0
            self._samples_below[level] = self._samples_below[level] + 1 if self.wait < leave else 0

    def _next_level(self) -> PressureLevel:
        for level in (PressureLevel.PRESSED, PressureLevel.SHEDDING):
            stays = self.level >= level and self._samples_below[level] < CONSECUTIVE_SAMPLES
            if stays or self._samples_above[level] >= CONSECUTIVE_SAMPLES:
                return level
        return PressureLevel.NORMAL
