import json
from pathlib import Path

import pytest
from click.testing import CliRunner
from paddleshunt_cli.main import main

TRACES = sorted((Path(__file__).parents[1] / "traces").glob("*.jsonl"))


@pytest.mark.parametrize("file", TRACES, ids=lambda file: file.stem)
def test_recorded_trace_breaks_no_rule(file: Path) -> None:
    found = CliRunner().invoke(main, ["replay", str(file)])
    assert found.exit_code == 0, found.output
    assert " 0 violations" in found.output


@pytest.mark.parametrize(
    ("event", "rule"),
    [
        pytest.param("started", "no task starts twice", id="a task twice"),
        pytest.param("answered", "an answer is complete or failed", id="a part of an answer"),
        pytest.param("adopted", "an accepted configuration never reverts", id="an older table"),
    ],
)
def test_trace_with_a_violation_is_reported(tmp_path: Path, event: str, rule: str) -> None:
    lines = [json.loads(line) for line in TRACES[0].read_text().splitlines()]
    last = next(line for line in reversed(lines) if line["event"] == event)
    changed = {"results": 1} if event == "answered" else {"revision": 0}
    lines.append(last | (changed if event != "started" else {}))
    file = tmp_path / "spoiled.jsonl"
    file.write_text("\n".join(json.dumps(line) for line in lines))
    found = CliRunner().invoke(main, ["replay", str(file)])
    assert found.exit_code == 1
    assert rule in found.output


def test_line_that_is_no_event(tmp_path: Path) -> None:
    file = tmp_path / "bad.jsonl"
    file.write_text('{"event": "none"}\n')
    found = CliRunner().invoke(main, ["replay", str(file)])
    assert found.exit_code == 2
    assert "line 1" in found.output


def test_logs_become_a_trace(tmp_path: Path) -> None:
    log = tmp_path / "a.log"
    start = "time=2026-01-01T00:00:00.{} level=INFO event="
    log.write_text(
        start.format("100") + "started role=target incarnation=a~1 service=results\n"
        "something else\n"
        + start.format("200")
        + "task_started submission=s index=3\n"
        + start.format("300")
        + 'answered submission=s outcome=failed results=0 reason="a b"\n'
    )
    found = CliRunner().invoke(main, ["trace", str(log)])
    events = [json.loads(line) for line in found.stdout.splitlines()]
    assert [(e["event"], e["submission"]) for e in events] == [("started", "s"), ("answered", "s")]
    assert events[0]["target"] == "a~1"
