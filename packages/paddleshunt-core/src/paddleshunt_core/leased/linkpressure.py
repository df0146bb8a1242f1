"""How long a host's own sends wait at its link, and what it leaves undone while they wait long.

Fed a few times a second with what all its connections hold unsent. A wait counts only if it is the
own link's: several connections must hold bytes, most of those that were written to, and the peers'
echoes must come late too, if there are any. A peer that doesn't read, or can't be reached, holds
bytes of its own connections only.
"""

from collections import deque
from dataclasses import dataclass
from enum import IntEnum
from typing import final

from paddleshunt_core.events import Log, note

SHED_WAIT = 0.1
"""Seconds of wait from which what can wait is shed: answers are due 60 ms after the work."""

SHED_LEAVE = 0.04
"""Seconds of wait below which nothing is shed any more."""

PRESS_WAIT = 0.25
"""Seconds of wait from which no new jobs are taken: half of what callers see as a choked host."""

PRESS_LEAVE = 0.1
"""Seconds of wait below which jobs are taken again."""

SAMPLES = 2
"""Samples in a row that must show a wait, or that it is over: a burst drains between two."""

LEAST_STAY = 1.0
"""Seconds for which a level is kept at least, so that what was shed has had its effect."""

READY_PAUSE = 3.0
"""Seconds without pressure after which new connections are asked for again.

The balancer takes two seconds to follow; readiness that changes faster tells it nothing.
"""

LEAST_HOLDING = 3
"""Connections that must hold bytes at once: fewer may be peers that are gone."""

LEAST_SHARE = 0.5
"""Part of the connections in use that must hold bytes; a hall that is cut off is a smaller part."""

LEAST_RATE = 12_500.0
"""Bytes a second that a link is taken to carry at least: a job's messages take 0.4 s at it."""

RATE_STEP = 0.5
"""Weight of the newest sample in the rate at which the link drains what is held."""

LONGEST_WAIT = 10.0
"""Seconds; a longer wait is told as this one."""

ECHO_WINDOW = 300
"""Samples whose least echo age is taken for the usual one: a minute at five a second."""


class PressureLevel(IntEnum):
    """SHEDDING: what can wait is left undone. PRESSED: no new jobs either."""

    NORMAL = 0
    SHEDDING = 1
    PRESSED = 2


@final
@dataclass(frozen=True, slots=True)
class LinkSample:
    """What all connections of a process hold at one moment.

    `unsent` bytes are held, `largest` of them by one connection; `written` is the sum of all bytes
    that were ever handed to connections. Of `active` connections, which hold bytes or were written
    to since the last sample, `holding` hold some. `echo` is how old the peers' newest echoes are,
    in seconds, at a good quarter of them; None without peers that echo.
    """

    unsent: int
    largest: int
    written: int
    holding: int
    active: int
    echo: float | None = None


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
        """Seconds that bytes wait at the link now."""
        self._since = float("-inf")
        """When the level was entered."""
        self._pressed_at = float("-inf")
        """When the link was pressed last."""
        self._last: tuple[float, LinkSample] | None = None
        self._rate: float | None = None
        self._above = {PressureLevel.SHEDDING: 0, PressureLevel.PRESSED: 0}
        """Samples in a row whose wait was long enough for a level."""
        self._below = {PressureLevel.SHEDDING: 0, PressureLevel.PRESSED: 0}
        """The same for waits short enough to leave it."""
        self._echoes: deque[float] = deque(maxlen=ECHO_WINDOW)

    def needs_full_sample(self, echo: float | None) -> bool:
        """Whether a sample should be taken thoroughly: the level is raised, or echoes come late."""
        return self.level is not PressureLevel.NORMAL or self._lateness(echo) >= SHED_LEAVE

    def rejects_connections(self, now: float) -> bool:
        """Whether new connections had better go to another host."""
        return now < self._pressed_at + READY_PAUSE

    def add_sample(self, now: float, sample: LinkSample) -> list[Log]:
        """Take a sample; return the line that tells of a new level."""
        self._measure_rate(now, sample)
        self.wait = self._wait(sample)
        if sample.echo is not None:
            self._echoes.append(sample.echo)
        self._last = (now, sample)
        self._count()
        before = self.level
        if now >= self._since + LEAST_STAY:
            self.level = self._next_level()
        if self.level is PressureLevel.PRESSED:
            self._pressed_at = now
        if self.level is before:
            return []
        self._since = now
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
        """Learn how fast the link drains; only while bytes were held all along it shows that."""
        if self._last is None:
            return
        then, last = self._last
        if not (last.unsent and sample.unsent) or now <= then:
            self._rate = None
            return
        drained = sample.written - last.written - (sample.unsent - last.unsent)
        rate = max(0.0, drained / (now - then))
        known = rate if self._rate is None else self._rate
        self._rate = known + RATE_STEP * (rate - known)

    def _wait(self, sample: LinkSample) -> float:
        """Return how long what is held waits; 0 if it is not the own link that holds it."""
        least = max(LEAST_HOLDING, LEAST_SHARE * sample.active)
        if self._rate is None or sample.holding < least:
            return 0.0
        held = sample.unsent - sample.largest
        wait = min(LONGEST_WAIT, held / max(LEAST_RATE, self._rate))
        return wait if sample.echo is None else min(wait, self._lateness(sample.echo))

    def _lateness(self, echo: float | None) -> float:
        """Return by how much echoes come later than the earliest seen lately."""
        if echo is None:
            return 0.0
        usual = min(self._normal_echo_age, min(self._echoes, default=echo))
        return max(0.0, echo - usual)

    def _count(self) -> None:
        limits = {
            PressureLevel.SHEDDING: (SHED_WAIT, SHED_LEAVE),
            PressureLevel.PRESSED: (PRESS_WAIT, PRESS_LEAVE),
        }
        for level, (enter, leave) in limits.items():
            self._above[level] = self._above[level] + 1 if self.wait >= enter else 0
            self._below[level] = self._below[level] + 1 if self.wait < leave else 0

    def _next_level(self) -> PressureLevel:
        for level in (PressureLevel.PRESSED, PressureLevel.SHEDDING):
            stays = self.level >= level and self._below[level] < SAMPLES
            if stays or self._above[level] >= SAMPLES:
                return level
        return PressureLevel.NORMAL
