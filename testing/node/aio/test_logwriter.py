"""Log lines: bounded a second, and never in the way."""

import pytest
from paddleshunt_core.events import note
from paddleshunt_node.aio.logwriter import (
    COLLECTED_BYTES,
    FAILED_LINES_A_SECOND,
    LINES_A_SECOND,
    LogWriter,
)


@pytest.mark.parametrize(
    ("event", "budget"),
    [("job_placed", LINES_A_SECOND), ("job_answered", FAILED_LINES_A_SECOND)],
)
def test_lines_beyond_the_budget_are_counted(
    event: str, budget: int, capfd: pytest.CaptureFixture[str]
) -> None:
    lines = LogWriter()
    for _ in range(budget + 7):
        lines.write(10.5, note(event, "k", after_ms=3))
    lines.event(11.5, "started")
    written = capfd.readouterr().out.splitlines()
    assert sum(f"event={event} job=k after_ms=3" in line for line in written) == budget
    assert f"event=lines_left_out kind={event} lines=7" in written[-2]


def test_a_full_pipe_drops_and_counts(monkeypatch: pytest.MonkeyPatch) -> None:
    lines = LogWriter()

    def full(descriptor: int, data: bytes) -> int:
        raise BlockingIOError

    monkeypatch.setattr("paddleshunt_node.aio.logwriter.os.write", full)
    lines.event(1.0, "started")
    assert lines.dropped == 1


def test_collected_lines_are_written_in_one_block(capfd: pytest.CaptureFixture[str]) -> None:
    lines = LogWriter(collect=True)
    lines.event(1.0, "job_admitted")
    lines.event(1.0, "job_placed")
    assert lines.has_pending
    assert capfd.readouterr().out == ""
    lines.flush()
    assert not lines.has_pending
    assert len(capfd.readouterr().out.splitlines()) == 2


def test_what_explains_a_failed_request_is_not_held_back(
    capfd: pytest.CaptureFixture[str],
) -> None:
    lines = LogWriter(collect=True)
    lines.event(1.0, "job_admitted")
    lines.event(1.0, "task_returned")
    assert [line.split()[1] for line in capfd.readouterr().out.splitlines()] == [
        "event=job_admitted",
        "event=task_returned",
    ]


def test_a_block_is_never_longer_than_a_pipe_takes_whole(monkeypatch: pytest.MonkeyPatch) -> None:
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
    assert max(map(len, blocks)) <= COLLECTED_BYTES


def test_a_full_pipe_counts_each_line_of_a_block(monkeypatch: pytest.MonkeyPatch) -> None:
    lines = LogWriter(collect=True)

    def full(descriptor: int, data: bytes) -> int:
        raise BlockingIOError

    monkeypatch.setattr("paddleshunt_node.aio.logwriter.os.write", full)
    for _ in range(3):
        lines.event(1.0, "job_admitted")
    lines.flush()
    assert lines.dropped == 3
