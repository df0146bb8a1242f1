"""The command line against a running system."""

import json
from collections.abc import Callable
from pathlib import Path

import pytest
from click.testing import CliRunner, Result
from paddleshunt_cli.main import main
from system import KEY, SERVICE, System, wait_for

Run = Callable[..., Result]


@pytest.fixture
def run(system: System) -> Run:
    env = {
        "PADDLESHUNT_KEY": KEY,
        "PADDLESHUNT_STORE": system.store.url,
        "PADDLESHUNT_ENTRIES": " ".join(system.entry_urls),
    }
    return lambda *words: CliRunner().invoke(main, list(words), env=env)


@pytest.fixture
def table_file(run: Run, tmp_path: Path) -> Path:
    file = tmp_path / "table.csv"
    file.write_text(run("table", "show").stdout)
    return file


def test_submit(run: Run, tmp_path: Path) -> None:
    file = tmp_path / "job.json"
    file.write_text(json.dumps({"service": SERVICE, "tasks": [1, 2]}))
    found = run("submit", str(file))
    assert found.exit_code == 0, found.output
    assert json.loads(found.stdout)["results"] == [2, 4]


@pytest.mark.parametrize(
    ("text", "message"),
    [
        pytest.param("{", "expected JSON", id="not JSON"),
        pytest.param("[]", "expected a JSON object", id="no object"),
        pytest.param(
            '{"service": "none", "tasks": [1]}', "service: the table has no", id="unknown"
        ),
    ],
)
def test_submit_of_a_bad_job(run: Run, tmp_path: Path, text: str, message: str) -> None:
    file = tmp_path / "job.json"
    file.write_text(text)
    found = run("submit", str(file))
    assert found.exit_code == 1
    assert message in found.output


def test_failed_job_has_its_own_exit_status(run: Run, tmp_path: Path) -> None:
    file = tmp_path / "job.json"
    file.write_text(json.dumps({"service": SERVICE, "tasks": ["fail"]}))
    assert run("submit", str(file)).exit_code == 3


def test_table_is_edited_and_in_force(run: Run, table_file: Path) -> None:
    text = table_file.read_text()
    table_file.write_text(text.replace(f"{SERVICE},hall,1,", f"{SERVICE},hall,7,"))
    assert f"+ {SERVICE},hall,7,4,8" in run("table", "diff", str(table_file)).stdout
    found = run("table", "apply", str(table_file), "--wait", "30")
    assert found.exit_code == 0, found.output
    assert "is in force everywhere" in found.output
    assert run("table", "status").exit_code == 0
    outdated = run("table", "apply", str(table_file))
    assert outdated.exit_code == 3
    assert "conflict" in outdated.output


def test_service_does_not_lose_its_last_row_unasked(run: Run, table_file: Path) -> None:
    table_file.write_text(table_file.read_text().replace(SERVICE, "other"))
    found = run("table", "apply", str(table_file))
    assert found.exit_code == 2
    assert f"expected a row for {SERVICE}, or --drop {SERVICE}" in found.output


def test_bad_table_is_refused_with_line_and_column(run: Run, table_file: Path) -> None:
    table_file.write_text(table_file.read_text().replace("hall,", "hall,-"))
    for command in ("check", "diff", "apply"):
        found = run("table", command, str(table_file))
        assert found.exit_code == 2
        assert "line 3, column weight" in found.output


def test_edit_survives_the_store_going_down_right_after_it(
    run: Run, system: System, table_file: Path
) -> None:
    assert run("table", "apply", str(table_file), "--wait", "30").exit_code == 0
    system.store.down = True
    try:
        refused = run("table", "apply", str(table_file))
        assert refused.exit_code == 4
        assert "not applied" in refused.output
        assert run("table", "show").exit_code == 0
    finally:
        system.store.down = False
    wait_for(lambda: run("table", "status").exit_code == 0)


def test_members_and_dump(run: Run, system: System) -> None:
    assert run("members").stdout.count("live") == 2
    found = run("dump", system.urls["target-0"])
    assert json.loads(found.stdout)["service"] == SERVICE


def test_no_entry_given() -> None:
    found = CliRunner().invoke(main, ["members"], env={"PADDLESHUNT_ENTRIES": ""})
    assert found.exit_code == 2
    assert "--entry" in found.output
