"""How long a host's own sends wait, and what it leaves undone meanwhile."""

from dataclasses import dataclass, field

import pytest
from paddleshunt_core.events import Log
from paddleshunt_core.leased.linkpressure import (
    LEAST_STAY,
    LONGEST_WAIT,
    READY_PAUSE,
    LinkPressure,
    LinkSample,
    PressureLevel,
)

STEP = 0.2
USUAL_ECHO = 0.16

NORMAL, SHEDDING, PRESSED = PressureLevel


@dataclass
class Link:
    """A link of `rate` bytes a second with a queue, sampled every `STEP` seconds."""

    rate: float = 1_500_000.0
    connections: int = 20
    now: float = 0.0
    queued: float = 0.0
    written: int = 0
    pressure: LinkPressure = field(default_factory=LinkPressure)
    logs: list[Log] = field(default_factory=list)
    levels: list[PressureLevel] = field(default_factory=list)

    def run(self, seconds: float, load: float) -> None:
        """Let `load` bytes a second be written."""
        for _ in range(round(seconds / STEP)):
            self.now += STEP
            self.written += round(load * STEP)
            self.queued = max(0.0, self.queued + (load - self.rate) * STEP)
            holding = self.connections if self.queued else 0
            self.take(round(self.queued), holding, USUAL_ECHO + self.queued / self.rate)

    def take(self, unsent: int, holding: int, echo: float | None, largest: int = 0) -> None:
        """Take a sample as given."""
        largest = largest or unsent // max(1, holding)
        sample = LinkSample(unsent, largest, self.written, holding, self.connections, echo)
        self.logs += self.pressure.add_sample(self.now, sample)
        self.levels.append(self.pressure.level)

    @property
    def changes(self) -> int:
        pairs = zip(self.levels, self.levels[1:], strict=False)
        return sum(before is not after for before, after in pairs)


def test_a_link_with_room_is_normal() -> None:
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
    link.queued = backlog * link.rate
    link.run(1.0, link.rate)
    assert link.pressure.level is level
    assert link.pressure.wait == pytest.approx(backlog, rel=0.15)


def test_a_narrowed_link_is_noticed_within_a_second_and_a_wide_one_soon_after() -> None:
    link = Link()
    link.run(2.0, 200_000)
    link.rate = 43_000
    link.run(1.0, 200_000)
    assert link.pressure.level is PRESSED
    link.rate = 1_500_000
    link.run(LEAST_STAY + 3 * STEP, 200_000)
    assert link.pressure.level is NORMAL
    assert [log.event for log in link.logs] == ["link_pressed", "link_eased"]
    first = link.logs[0].fields
    assert {"level", "wait_ms", "bytes", "holding", "active", "rate"} == set(first)
    assert int(first["bytes"]) > 0


def test_shed_work_that_eases_the_link_a_little_leaves_the_level_as_it_is() -> None:
    link = Link()
    link.run(1.0, 1_000_000)
    link.queued = 0.3 * link.rate
    link.run(3 * STEP, link.rate)
    for n in range(30):
        # Mostly a little below the limit at which the level was entered.
        link.queued = (0.15 if n % 3 else 0.3) * link.rate
        link.run(STEP, link.rate)
    assert link.pressure.level is PRESSED
    assert link.changes <= 2


@pytest.mark.parametrize("period", [0.4, 0.8, 1.6], ids=str)
def test_a_wait_that_comes_and_goes_changes_the_level_at_most_once_a_second(period: float) -> None:
    link = Link()
    link.run(1.0, 1_000_000)
    for _ in range(round(20.0 / period)):
        link.queued = 0.5 * link.rate
        link.run(period / 2, link.rate)
        link.queued = 0.0
        link.run(period / 2, 100_000)
    assert link.changes <= 20 / LEAST_STAY


def test_a_burst_of_large_answers_that_drains_at_once_sheds_nothing() -> None:
    link = Link()
    link.run(1.0, 200_000)
    for _ in range(10):
        # Two in a row are seen by a sample each, and are gone 100 ms later.
        for _ in range(2):
            link.now += STEP
            link.written += 150_000
            link.take(150_000, 20, USUAL_ECHO + 0.2)
        link.run(STEP, 100_000)
    assert set(link.levels) == {NORMAL}


ECHOES = pytest.mark.parametrize("echo", [USUAL_ECHO, None], ids=["others-answer", "no-other"])


@ECHOES
def test_one_peer_that_is_silent_does_not_press_the_link(echo: float | None) -> None:
    link = Link()
    link.run(1.0, 200_000)
    for n in range(20):
        link.now += STEP
        link.written += 40_000
        link.take(1_000_000 + 10_000 * n, 1, echo, largest=1_000_000)
    assert set(link.levels) == {NORMAL}


@pytest.mark.parametrize(
    ("connections", "holding", "largest"),
    [(20, 5, 0), (2, 2, 0), (4, 3, 1_900_000)],
    ids=["a-hall", "both-peers-of-two", "one-and-a-little-of-others"],
)
@ECHOES
def test_peers_that_are_cut_off_do_not_press_the_link(
    connections: int, holding: int, largest: int, echo: float | None
) -> None:
    link = Link(connections=connections)
    link.run(1.0, 200_000)
    for _ in range(20):
        link.now += STEP
        link.written += 40_000
        link.take(1_901_000, holding, echo, largest)
    assert set(link.levels) == {NORMAL}


def test_many_callers_that_do_not_read_do_not_press_the_link_while_targets_answer() -> None:
    link = Link()
    link.run(1.0, 200_000)
    for n in range(20):
        link.now += STEP
        link.written += 40_000
        link.take(1_000_000 + 10_000 * n, 15, USUAL_ECHO + 0.01)
    assert set(link.levels) == {NORMAL}


def test_late_echoes_alone_do_not_press_the_link() -> None:
    """The peers, or the processor of this host, may be slow: nothing waits at the link."""
    link = Link()
    link.run(1.0, 200_000)
    for _ in range(20):
        link.now += STEP
        link.take(0, 0, 2.0)
    assert set(link.levels) == {NORMAL}
    assert link.pressure.needs_full_sample(2.0)
    assert not link.pressure.needs_full_sample(USUAL_ECHO + 0.01)


def test_without_targets_the_bytes_alone_tell() -> None:
    link = Link(rate=100_000)
    link.now = 1.0
    for n in range(8):
        link.now += STEP
        link.written += 40_000
        link.take(40_000 + 20_000 * n, 20, None)
    assert link.pressure.level is PRESSED


def test_a_link_that_carries_nothing_waits_no_longer_than_is_told() -> None:
    link = Link()
    link.run(1.0, 10_000)
    for _ in range(10):
        link.now += STEP
        link.written += 10_000_000
        link.queued += 10_000_000
        link.take(round(link.queued), 20, 60.0)
    assert link.pressure.wait == LONGEST_WAIT


def test_a_process_that_starts_at_a_pressed_link_notices() -> None:
    link = Link(rate=43_000, pressure=LinkPressure(2 * USUAL_ECHO))
    link.queued = link.rate
    link.run(1.0, link.rate)
    assert link.pressure.level is PRESSED


def test_readiness_returns_a_while_after_the_pressure_and_not_before() -> None:
    link = Link()
    link.run(1.0, 200_000)
    assert not link.pressure.rejects_connections(link.now)
    link.queued = link.rate
    link.run(1.0, link.rate)
    assert link.pressure.rejects_connections(link.now)
    link.queued = 0.0
    link.run(LEAST_STAY + 2 * STEP, 100_000)
    assert link.pressure.level is NORMAL
    assert link.pressure.rejects_connections(link.now)
    link.run(READY_PAUSE, 100_000)
    assert not link.pressure.rejects_connections(link.now)


def test_shedding_alone_turns_nobody_away() -> None:
    link = Link()
    link.run(1.0, 200_000)
    link.queued = 0.15 * link.rate
    link.run(1.0, link.rate)
    assert link.pressure.level is SHEDDING
    assert not link.pressure.rejects_connections(link.now)
