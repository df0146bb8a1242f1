"""`paddleshunt explain` on lines of real runs, and the commands of docs/OPERATIONS.md."""

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
        ("entry-lost.log", "89768747958c8a53", "its entry was lost"),
        ("sick-runner.log", "ebcea14ac1581af3", "delayed by failed runs"),
        ("crashing.log", "ffc7e705080eae43", "failed: runners were lost again and again"),
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
def test_other_lines_are_passed_over(raw: str) -> None:
    assert read_line(raw) is None


def test_a_request_that_was_not_logged_has_no_explanation() -> None:
    assert explain_request([], "k") is None
