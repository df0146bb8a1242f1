"""Log lines: bounded a second, and never in the way."""

import pytest
from paddleshunt_core.events import note
from paddleshunt_node.aio.logline import FAILED_LINES_A_SECOND, LINES_A_SECOND, LogLines


@pytest.mark.parametrize(
    ("event", "budget"),
    [("job_placed", LINES_A_SECOND), ("job_answered", FAILED_LINES_A_SECOND)],
)
def test_lines_beyond_the_budget_are_counted(
    event: str, budget: int, capfd: pytest.CaptureFixture[str]
) -> None:
    lines = LogLines()
    for _ in range(budget + 7):
        lines.write(10.5, note(event, "k", after_ms=3))
    lines.event(11.5, "started")
    written = capfd.readouterr().out.splitlines()
    assert sum(f"event={event} job=k after_ms=3" in line for line in written) == budget
    assert f"event=lines_left_out kind={event} lines=7" in written[-2]


def test_a_full_pipe_drops_and_counts(monkeypatch: pytest.MonkeyPatch) -> None:
    lines = LogLines()

    def full(descriptor: int, data: bytes) -> int:
        raise BlockingIOError

    monkeypatch.setattr("paddleshunt_node.aio.logline.os.write", full)
    lines.event(1.0, "started")
    assert lines.dropped == 1
