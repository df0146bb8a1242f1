"""Tests for `LogWriter`: rate limits, buffering and writes to a full pipe."""

import pytest
from paddleshunt_core.events import note
from paddleshunt_node.aio.logwriter import (
    MAX_BLOCK_BYTES,
    MAX_FAILURE_LINES_PER_SECOND,
    MAX_LINES_PER_SECOND,
    LogWriter,
)


@pytest.mark.parametrize(
    ("event", "budget"),
    [("job_placed", MAX_LINES_PER_SECOND), ("job_answered", MAX_FAILURE_LINES_PER_SECOND)],
)
def test_lines_over_budget_are_counted(
    event: str, budget: int, capfd: pytest.CaptureFixture[str]
) -> None:
    lines = LogWriter()
    for _ in range(budget + 7):
        lines.write(10.5, note(event, "k", after_ms=3))
    lines.event(11.5, "started")
    written = capfd.readouterr().out.splitlines()
    assert sum(f"event={event} job=k after_ms=3" in line for line in written) == budget
    assert f"event=lines_left_out kind={event} lines=7" in written[-2]


def test_line_is_dropped_and_counted_on_a_full_pipe(monkeypatch: pytest.MonkeyPatch) -> None:
    lines = LogWriter()

    def full(descriptor: int, data: bytes) -> int:
        raise BlockingIOError

    monkeypatch.setattr("paddleshunt_node.aio.logwriter.os.write", full)
    lines.event(1.0, "started")
    assert lines.dropped == 1


def test_flush_writes_buffered_lines(capfd: pytest.CaptureFixture[str]) -> None:
    lines = LogWriter(collect=True)
    lines.event(1.0, "job_admitted")
    lines.event(1.0, "job_placed")
    assert lines.has_pending
    assert capfd.readouterr().out == ""
    lines.flush()
    assert not lines.has_pending
    assert len(capfd.readouterr().out.splitlines()) == 2


def test_failure_events_are_written_at_once(
    capfd: pytest.CaptureFixture[str],
) -> None:
    lines = LogWriter(collect=True)
    lines.event(1.0, "job_admitted")
    lines.event(1.0, "task_returned")
    assert [line.split()[1] for line in capfd.readouterr().out.splitlines()] == [
        "event=job_admitted",
        "event=task_returned",
    ]


def test_block_size_is_limited(monkeypatch: pytest.MonkeyPatch) -> None:
    blocks: list[bytes] = []

    def take(descriptor: int, data: bytes) -> int:
        blocks.append(data)
        return len(data)

    monkeypatch.setattr("paddleshunt_node.aio.logwriter.os.write", take)
    lines = LogWriter(collect=True)
    for _ in range(100):
        lines.event(1.0, "job_admitted", queue="q" * 40)
    lines.flush()
    assert sum(block.count(b"\n") for block in blocks) == 100
    assert max(map(len, blocks)) <= MAX_BLOCK_BYTES


def test_each_line_of_a_dropped_block_is_counted(monkeypatch: pytest.MonkeyPatch) -> None:
    lines = LogWriter(collect=True)

    def full(descriptor: int, data: bytes) -> int:
        raise BlockingIOError

    monkeypatch.setattr("paddleshunt_node.aio.logwriter.os.write", full)
    for _ in range(3):
        lines.event(1.0, "job_admitted")
    lines.flush()
    assert lines.dropped == 3
