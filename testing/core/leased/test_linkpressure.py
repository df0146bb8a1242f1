"""Congestion levels of a host's own link, and causes that must not raise them."""

from dataclasses import dataclass, field

import pytest
from paddleshunt_core.events import Log
from paddleshunt_core.leased.linkpressure import (
    MAX_WAIT_SECONDS,
    MIN_LEVEL_SECONDS,
    READY_DELAY_SECONDS,
    LinkPressure,
    LinkSample,
    PressureLevel,
)

STEP = 0.2
NORMAL_ECHO_AGE = 0.16

NORMAL, SHEDDING, PRESSED = PressureLevel


@dataclass
class Link:
    """A simulated link of `rate` bytes per second, sampled every `STEP` seconds."""

    rate: float = 1_500_000.0
    connections: int = 20
    now: float = 0.0
    backlog_bytes: float = 0.0
    written: int = 0
    pressure: LinkPressure = field(default_factory=LinkPressure)
    logs: list[Log] = field(default_factory=list)
    levels: list[PressureLevel] = field(default_factory=list)

    def run(self, seconds: float, load: float) -> None:
        """Write `load` bytes per second for some time."""
        for _ in range(round(seconds / STEP)):
            self.now += STEP
            self.written += round(load * STEP)
            self.backlog_bytes = max(0.0, self.backlog_bytes + (load - self.rate) * STEP)
            holding = self.connections if self.backlog_bytes else 0
            self.add_sample_of(
                round(self.backlog_bytes), holding, NORMAL_ECHO_AGE + self.backlog_bytes / self.rate
            )

    def add_sample_of(
        self, unsent: int, holding: int, echo_age: float | None, largest: int = 0
    ) -> None:
        """Add one sample with the given values."""
        largest = largest or unsent // max(1, holding)
        sample = LinkSample(unsent, largest, self.written, holding, self.connections, echo_age)
        self.logs += self.pressure.add_sample(self.now, sample)
        self.levels.append(self.pressure.level)

    @property
    def changes(self) -> int:
        pairs = zip(self.levels, self.levels[1:], strict=False)
        return sum(before is not after for before, after in pairs)


def test_a_link_with_spare_bandwidth_is_normal() -> None:
    link = Link()
    link.run(5.0, 1_400_000)
    assert set(link.levels) == {NORMAL}
    assert link.pressure.wait == 0.0


@pytest.mark.parametrize(
    ("backlog", "level"),
    [(0.06, NORMAL), (0.15, SHEDDING), (0.4, PRESSED)],
    ids=["short", "sheds", "pressed"],
)
def test_the_level_follows_the_wait(backlog: float, level: PressureLevel) -> None:
    link = Link()
    link.run(1.0, 1_000_000)
    link.backlog_bytes = backlog * link.rate
    link.run(1.0, link.rate)
    assert link.pressure.level is level
    assert link.pressure.wait == pytest.approx(backlog, rel=0.15)


def test_the_level_follows_the_bandwidth_within_a_second() -> None:
    link = Link()
    link.run(2.0, 200_000)
    link.rate = 43_000
    link.run(1.0, 200_000)
    assert link.pressure.level is PRESSED
    link.rate = 1_500_000
    link.run(MIN_LEVEL_SECONDS + 3 * STEP, 200_000)
    assert link.pressure.level is NORMAL
    assert [log.event for log in link.logs] == ["link_pressed", "link_eased"]
    first = link.logs[0].fields
    assert {"level", "wait_ms", "bytes", "holding", "active", "rate"} == set(first)
    assert int(first["bytes"]) > 0


def test_slight_relief_by_shedding_does_not_change_the_level() -> None:
    link = Link()
    link.run(1.0, 1_000_000)
    link.backlog_bytes = 0.3 * link.rate
    link.run(3 * STEP, link.rate)
    for n in range(30):
        # Mostly slightly below the threshold at which the level was entered.
        link.backlog_bytes = (0.15 if n % 3 else 0.3) * link.rate
        link.run(STEP, link.rate)
    assert link.pressure.level is PRESSED
    assert link.changes <= 2


@pytest.mark.parametrize("period", [0.4, 0.8, 1.6], ids=str)
def test_an_intermittent_wait_changes_the_level_at_most_once_a_second(period: float) -> None:
    link = Link()
    link.run(1.0, 1_000_000)
    for _ in range(round(20.0 / period)):
        link.backlog_bytes = 0.5 * link.rate
        link.run(period / 2, link.rate)
        link.backlog_bytes = 0.0
        link.run(period / 2, 100_000)
    assert link.changes <= 20 / MIN_LEVEL_SECONDS


def test_a_burst_that_drains_at_once_causes_no_shedding() -> None:
    link = Link()
    link.run(1.0, 200_000)
    for _ in range(10):
        # Each of two consecutive samples sees a burst, which is gone 100 ms later.
        for _ in range(2):
            link.now += STEP
            link.written += 150_000
            link.add_sample_of(150_000, 20, NORMAL_ECHO_AGE + 0.2)
        link.run(STEP, 100_000)
    assert set(link.levels) == {NORMAL}


ECHOES = pytest.mark.parametrize(
    "echo_age", [NORMAL_ECHO_AGE, None], ids=["others-answer", "no-other"]
)


@ECHOES
def test_one_unresponsive_peer_is_no_pressure(echo_age: float | None) -> None:
    link = Link()
    link.run(1.0, 200_000)
    for n in range(20):
        link.now += STEP
        link.written += 40_000
        link.add_sample_of(1_000_000 + 10_000 * n, 1, echo_age, largest=1_000_000)
    assert set(link.levels) == {NORMAL}


@pytest.mark.parametrize(
    ("connections", "holding", "largest"),
    [(20, 5, 0), (2, 2, 0), (4, 3, 1_900_000)],
    ids=["a-hall", "both-peers-of-two", "one-and-a-little-of-others"],
)
@ECHOES
def test_unreachable_peers_are_no_pressure(
    connections: int, holding: int, largest: int, echo_age: float | None
) -> None:
    link = Link(connections=connections)
    link.run(1.0, 200_000)
    for _ in range(20):
        link.now += STEP
        link.written += 40_000
        link.add_sample_of(1_901_000, holding, echo_age, largest)
    assert set(link.levels) == {NORMAL}


def test_callers_that_do_not_read_are_no_pressure_while_targets_answer() -> None:
    link = Link()
    link.run(1.0, 200_000)
    for n in range(20):
        link.now += STEP
        link.written += 40_000
        link.add_sample_of(1_000_000 + 10_000 * n, 15, NORMAL_ECHO_AGE + 0.01)
    assert set(link.levels) == {NORMAL}


def test_late_echoes_alone_are_no_pressure() -> None:
    """The peers or this host's processor may be slow, while nothing waits at the link."""
    link = Link()
    link.run(1.0, 200_000)
    for _ in range(20):
        link.now += STEP
        link.add_sample_of(0, 0, 2.0)
    assert set(link.levels) == {NORMAL}
    assert link.pressure.needs_full_sample(2.0)
    assert not link.pressure.needs_full_sample(NORMAL_ECHO_AGE + 0.01)


def test_without_echoes_unsent_bytes_are_enough() -> None:
    link = Link(rate=100_000)
    link.now = 1.0
    for n in range(8):
        link.now += STEP
        link.written += 40_000
        link.add_sample_of(40_000 + 20_000 * n, 20, None)
    assert link.pressure.level is PRESSED


def test_the_wait_is_capped_on_a_stalled_link() -> None:
    link = Link()
    link.run(1.0, 10_000)
    for _ in range(10):
        link.now += STEP
        link.written += 10_000_000
        link.backlog_bytes += 10_000_000
        link.add_sample_of(round(link.backlog_bytes), 20, 60.0)
    assert link.pressure.wait == MAX_WAIT_SECONDS


def test_a_process_that_starts_on_a_congested_link_detects_it() -> None:
    link = Link(rate=43_000, pressure=LinkPressure(2 * NORMAL_ECHO_AGE))
    link.backlog_bytes = link.rate
    link.run(1.0, link.rate)
    assert link.pressure.level is PRESSED


def test_readiness_returns_only_after_a_delay() -> None:
    link = Link()
    link.run(1.0, 200_000)
    assert not link.pressure.rejects_connections(link.now)
    link.backlog_bytes = link.rate
    link.run(1.0, link.rate)
    assert link.pressure.rejects_connections(link.now)
    link.backlog_bytes = 0.0
    link.run(MIN_LEVEL_SECONDS + 2 * STEP, 100_000)
    assert link.pressure.level is NORMAL
    assert link.pressure.rejects_connections(link.now)
    link.run(READY_DELAY_SECONDS, 100_000)
    assert not link.pressure.rejects_connections(link.now)


def test_shedding_alone_rejects_no_connection() -> None:
    link = Link()
    link.run(1.0, 200_000)
    link.backlog_bytes = 0.15 * link.rate
    link.run(1.0, link.rate)
    assert link.pressure.level is SHEDDING
    assert not link.pressure.rejects_connections(link.now)
