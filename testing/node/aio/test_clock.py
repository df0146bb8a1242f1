"""Which clock decides, and that no other is read beside it."""

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
OF_THE_LOOP = "time"
STEADY = "steady"
WALL_CLOCK = {"logwriter.py"}
"""The time of day, for the lines of the log; nothing is decided by it."""

ESTIMATES = {"runner.py"}
"""Where another host's clock must not be taken for further than it may be."""


def names(file: Path) -> set[str]:
    """Return the functions that a module calls or imports, by their last name."""
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
def test_no_module_reads_a_clock_of_its_own(file: Path) -> None:
    if file.name == "clock.py":
        return
    found = names(file)
    assert not found & CLOCKS
    if file.name not in WALL_CLOCK:
        assert OF_THE_LOOP not in found
    if file.name not in ESTIMATES:
        assert STEADY not in found


class Clocks:
    """Both clocks of a host."""

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
def test_a_suspension_is_noticed_once(seconds: float, clocks: Clocks) -> None:
    suspensions = clock.SuspensionDetector()
    clocks.run(3.0)
    assert suspensions.read() == (53.0, 0.0)
    clocks.suspend(seconds)
    moment, suspended = suspensions.read()
    assert moment == 53.0 + seconds
    assert suspended == pytest.approx(seconds)
    clocks.run(0.5)
    assert suspensions.read()[1] == 0.0


def test_a_pause_between_the_readings_of_both_clocks_is_no_suspension(
    clocks: Clocks, monkeypatch: pytest.MonkeyPatch
) -> None:
    suspensions = clock.SuspensionDetector()
    monkeypatch.setattr(clock, "steady", lambda: clocks.steady + 0.1)
    assert suspensions.read() == (50.0, 0.0)
    monkeypatch.setattr(clock, "steady", lambda: clocks.steady)
    assert suspensions.read() == (50.0, 0.0)


def test_clocks_that_are_read_apart_are_no_suspension(clocks: Clocks) -> None:
    suspensions = clock.SuspensionDetector()
    clocks.suspend(clock.NOISE_SECONDS / 2)
    assert suspensions.read()[1] == 0.0
