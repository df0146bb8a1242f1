"""`paddleshunt explain` on recorded logs, and the commands of docs/OPERATIONS.md."""

import re
import shlex
from pathlib import Path

import pytest
from click.testing import CliRunner
from paddleshunt_cli.explain import explain_request, read_line
from paddleshunt_cli.main import main

ROOT = Path(__file__).parents[2]
DATA = ROOT / "testing" / "data" / "operations"
PAGE = ROOT / "docs" / "OPERATIONS.md"
COMMANDS = re.findall(r"^    (paddleshunt explain \w{16} .*)$", PAGE.read_text(), re.MULTILINE)


@pytest.mark.parametrize(
    ("file", "key", "cause"),
    [
        ("refused.log", "5d319e9a4e82dd8c", "refused: nothing of it has run"),
        ("entry-lost.log", "89768747958c8a53", "its targets heard no more of its entry"),
        ("sick-runner.log", "ebcea14ac1581af3", "delayed by failed runs"),
        ("crashing.log", "ffc7e705080eae43", "given up: two runners that had one of its tasks"),
    ],
    ids=["refused", "entry-lost", "sick-runner", "crashing"],
)
def test_cause_is_found_from_the_id(file: str, key: str, cause: str) -> None:
    result = CliRunner().invoke(main, ["explain", key, str(DATA / file)])
    assert result.exit_code == 0
    assert f"cause: {cause}" in result.output


@pytest.mark.parametrize("command", COMMANDS)
def test_command_of_the_page_names_its_cause(command: str, monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.chdir(ROOT)
    result = CliRunner().invoke(main, shlex.split(command)[1:])
    assert result.exit_code == 0
    cause = next(line for line in result.output.splitlines() if line.startswith("cause: "))
    assert cause in PAGE.read_text()


def test_page_has_a_command_for_each_kind() -> None:
    assert len(COMMANDS) == 4


def test_an_unknown_key_is_an_error() -> None:
    result = CliRunner().invoke(main, ["explain", "nothing", str(DATA / "refused.log")])
    assert result.exit_code == 1
    assert "no line of nothing" in result.output


def test_lines_without_a_prefix_are_read() -> None:
    line = read_line('time=2026-01-01T00:00:00.000 event=job_answered job=k reason="a b"', "e1")
    assert line is not None
    assert (line.node, line.event, line.job) == ("e1", "job_answered", "k")


@pytest.mark.parametrize("raw", ["", "Traceback (most recent call last):", "time=now only"])
def test_other_lines_are_ignored(raw: str) -> None:
    assert read_line(raw) is None


def test_a_request_that_was_not_logged_has_no_explanation() -> None:
    assert explain_request([], "k") is None


def explained(*lines: tuple[str, str]) -> tuple[str, list[str]]:
    """Return the cause found in (process, text) log lines, and the events that show it."""
    parsed = [
        read_line(f"time=2026-01-01T00:00:{second:02}.000 {text}", node)
        for second, (node, text) in enumerate(lines)
    ]
    explanation = explain_request([line for line in parsed if line is not None], "k")
    assert explanation is not None
    return explanation.cause, [line.event for line in explanation.deciding]


ADMITTED = ("e1", "event=job_admitted job=k queue=q")
STARTED = ("t1", "event=run_ordered job=k.0.0 run=1 answer=started")
STOPPING = ("t1", "event=run_stopping job=k.0.0 run=1 reason=session_ended")
SESSION_ENDED = ("t1", "event=session_ended entry=e1 reason=silent runs=1")
REFUSED = ("e2", "event=job_answered job=k outcome=refused reason=no_room")


def test_refusal_reports_an_earlier_attempt_that_had_begun() -> None:
    cause, deciding = explained(ADMITTED, STARTED, ("e1", "event=caller_left job=k"), REFUSED)
    assert cause == "refused: nothing of its last try has run, but an earlier one had begun"
    assert deciding == ["run_ordered", "job_answered"]


@pytest.mark.parametrize("end", ["no_room", "not_started", "stale"])
def test_runs_that_never_began_are_not_an_earlier_attempt(end: str) -> None:
    ended = ("t1", f"event=run_ended job=k.0.0 run=1 end={end} reason={end}")
    assert explained(ADMITTED, ended, REFUSED)[0] == "refused: nothing of it has run"


def test_entry_with_later_lines_is_not_reported_as_lost() -> None:
    left = ("e1", "event=caller_left job=k after_ms=900")
    cause, deciding = explained(ADMITTED, STARTED, SESSION_ENDED, STOPPING, left)
    assert cause == "its caller's connection ended before its answer"
    assert deciding == ["run_stopping", "caller_left"]


def test_caller_that_left_is_the_cause() -> None:
    cause, _ = explained(ADMITTED, STARTED, ("e1", "event=caller_left job=k after_ms=900"))
    assert cause == "its caller's connection ended before its answer"


def test_lines_of_a_silent_entry_are_shown() -> None:
    pause = ("e1", "event=stood_still seconds=0.9 jobs=3")
    end = ("t1", "event=run_ended job=k.0.0 run=1 end=stopped")
    cause, deciding = explained(ADMITTED, STARTED, SESSION_ENDED, STOPPING, pause, end)
    assert cause == "its targets heard no more of its entry, and stopped what it had started"
    assert deciding == ["stood_still", "session_ended", "run_stopping"]


def test_cancelled_job_is_not_reported_as_delayed() -> None:
    failed = ("t1", "event=run_ended job=k.0.0 run=1 end=failed")
    cancelled = ("e1", "event=job_cancelled job=k held=1 source=caller")
    answered = ("e1", "event=job_answered job=k outcome=cancelled reason=cancelled")
    cause, deciding = explained(ADMITTED, STARTED, failed, cancelled, answered)
    assert cause == "cancelled by a caller"
    assert deciding == ["job_cancelled", "job_answered"]


def test_given_up_job_is_not_reported_as_delayed() -> None:
    failed = ("t1", "event=run_ended job=k.0.0 run=1 end=failed")
    answered = ("e1", "event=job_answered job=k outcome=givenup reason=deadline")
    cause, deciding = explained(ADMITTED, STARTED, failed, answered)
    assert cause == "given up (deadline): its tasks may have run"
    assert deciding == ["run_ended", "job_answered"]


@pytest.mark.parametrize(
    ("reason", "cause"),
    [
        (
            "ended_runners",
            "given up: two runners that had one of its tasks have ended",
        ),
        (
            "silent_runners",
            "given up: two runners were lost under one of its tasks and may yet answer",
        ),
        (
            "lost_sessions",
            "given up: a runner and sessions with targets were lost under one of its tasks",
        ),
        ("retries", "given up: one of its tasks was tried too often in vain"),
    ],
    ids=["ended_runners", "silent_runners", "lost_sessions", "retries"],
)
def test_a_task_that_is_not_started_again_leaves_its_outcome_unknown(
    reason: str, cause: str
) -> None:
    lost = ("t1", 'event=runner_lost runner=i-1 how=silent runs=1 worked_ms="k.0.0#1:30"')
    given_up = ("e1", f"event=job_given_up job=k reason={reason} index=0 runners=i-1 ended=")
    answered = ("e1", f"event=job_answered job=k outcome=givenup reason={reason}")
    found, deciding = explained(ADMITTED, STARTED, lost, given_up, answered)
    assert found == f"{cause}; its tasks may have run"
    assert deciding == ["runner_lost", "job_given_up", "job_answered"]


@pytest.mark.parametrize(
    ("reason", "cause"),
    [
        ("attempts", "failed: its tasks failed as often as the queue allows"),
        ("other", "failed: these lines don't show why"),
    ],
)
def test_cause_of_a_failed_job_follows_the_reason_in_its_answer(reason: str, cause: str) -> None:
    answered = ("e1", f"event=job_answered job=k outcome=failed reason={reason}")
    assert explained(ADMITTED, STARTED, answered)[0] == cause
