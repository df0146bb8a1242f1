"""Tests for `SuspensionDetector`, and that no module reads another clock."""

import ast
from pathlib import Path

import pytest
from paddleshunt_node.aio import clock

ROOT = Path(__file__).parents[3]
SOURCES = [
    *sorted((ROOT / "packages/paddleshunt-node/src/paddleshunt_node/aio").glob("*.py")),
    *sorted((ROOT / "platform/paddleshunt_council").glob("*.py")),
]
CLOCKS = {"monotonic", "monotonic_ns", "perf_counter", "clock_gettime", "call_at"}
LOOP_CLOCK = "time"
STEADY = "steady"
WALL_CLOCK = {"logwriter.py"}
"""Modules that may read the time of day, for log lines only."""

ESTIMATES = {"runner.py"}
"""Modules that may read `steady`, to estimate another host's clock."""


def names(file: Path) -> set[str]:
    """Return the unqualified names of the functions that a module calls or imports."""
    tree = ast.parse(file.read_text())
    called = {
        node.func.attr if isinstance(node.func, ast.Attribute) else getattr(node.func, "id", "")
        for node in ast.walk(tree)
        if isinstance(node, ast.Call)
    }
    imported = {
        alias.name
        for node in ast.walk(tree)
        if isinstance(node, ast.ImportFrom)
        for alias in node.names
    }
    return called | imported


@pytest.mark.parametrize("file", SOURCES, ids=lambda file: file.name)
def test_modules_read_time_through_the_clock_module(file: Path) -> None:
    if file.name == "clock.py":
        return
    found = names(file)
    assert not found & CLOCKS
    if file.name not in WALL_CLOCK:
        assert LOOP_CLOCK not in found
    if file.name not in ESTIMATES:
        assert STEADY not in found


class Clocks:
    """Fake clocks of a host."""

    def __init__(self) -> None:
        self.now = 50.0
        self.steady = 20.0

    def run(self, seconds: float) -> None:
        self.now += seconds
        self.steady += seconds

    def suspend(self, seconds: float) -> None:
        self.now += seconds


@pytest.fixture
def clocks(monkeypatch: pytest.MonkeyPatch) -> Clocks:
    clocks = Clocks()
    monkeypatch.setattr(clock, "now", lambda: clocks.now)
    monkeypatch.setattr(clock, "steady", lambda: clocks.steady)
    return clocks


@pytest.mark.parametrize("seconds", [0.2, 1.0, 4.0, 10.0])
def test_suspension_is_reported_once(seconds: float, clocks: Clocks) -> None:
    detector = clock.SuspensionDetector()
    clocks.run(3.0)
    assert detector.read() == (53.0, 0.0)
    clocks.suspend(seconds)
    current, suspended = detector.read()
    assert current == 53.0 + seconds
    assert suspended == pytest.approx(seconds)
    clocks.run(0.5)
    assert detector.read()[1] == 0.0


def test_pause_between_the_readings_is_no_suspension(
    clocks: Clocks, monkeypatch: pytest.MonkeyPatch
) -> None:
    detector = clock.SuspensionDetector()
    monkeypatch.setattr(clock, "steady", lambda: clocks.steady + 0.1)
    assert detector.read() == (50.0, 0.0)
    monkeypatch.setattr(clock, "steady", lambda: clocks.steady)
    assert detector.read() == (50.0, 0.0)


def test_small_difference_between_the_clocks_is_no_suspension(clocks: Clocks) -> None:
    detector = clock.SuspensionDetector()
    clocks.suspend(clock.NOISE_SECONDS / 2)
    assert detector.read()[1] == 0.0
