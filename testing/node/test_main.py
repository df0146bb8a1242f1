from pathlib import Path

from click.testing import CliRunner
from paddleshunt_node.main import main

SETTINGS = Path(__file__).parents[2] / "examples" / "settings"


def test_check_settings() -> None:
    found = CliRunner().invoke(main, ["check-settings", str(SETTINGS / "hall-entry.toml")])
    assert found.exit_code == 0
    assert "ok" in found.output


def test_bad_settings_exit_with_2(tmp_path: Path) -> None:
    file = tmp_path / "bad.toml"
    file.write_text("host = 5\n")
    for command in (["check-settings", str(file)], ["entry", "--settings", str(file)]):
        found = CliRunner().invoke(main, command)
        assert found.exit_code == 2
        assert f"{file}: " in found.output
