import json

from click.testing import CliRunner
from paddleshunt_cli.main import main
from system import SERVICE, System, wait_for


def test_status_of_a_running_system(system: System) -> None:
    for _ in range(3):
        assert system.put(system.mint(), [1, 2])[0] == 200
    env = {"PADDLESHUNT_ENTRIES": " ".join(system.entry_urls)}
    found = CliRunner().invoke(main, ["status", "--json"], env=env)
    assert found.exit_code == 0, found.output
    summary = json.loads(found.stdout)
    (row,) = summary["rows"]
    assert (row["service"], row["live"], row["max_running"]) == (SERVICE, 2, 4)
    assert (row["share"], row["wanted"], row["behind"]) == (100, 100, 0)
    assert summary["answers"][SERVICE] == {"complete": 3}
    screen = CliRunner().invoke(main, ["status"], env=env).stdout
    assert f"table revision {summary['revision']}" in screen
    assert "100% of 100%" in screen


def test_warnings(system: System) -> None:
    env = {"PADDLESHUNT_ENTRIES": f"{system.entry_urls[0]} http://127.0.0.1:9"}
    system.store.down = True
    try:

        def warned() -> bool:
            text = CliRunner().invoke(main, ["status"], env=env).stdout
            return "the store can't be reached" in text and "no answer from" in text

        wait_for(warned)
    finally:
        system.store.down = False


def test_no_entry_answers() -> None:
    found = CliRunner().invoke(main, ["status", "--entry", "http://127.0.0.1:9"])
    assert found.exit_code == 1
    assert "127.0.0.1:9" in found.output
