import socket
from pathlib import Path

import pytest
from click.testing import CliRunner
from paddleshunt_node.main import main

SETTINGS = Path(__file__).parents[2] / "examples" / "settings"


def test_check_settings() -> None:
    found = CliRunner().invoke(main, ["check-settings", str(SETTINGS / "hall-entry.toml")])
    assert found.exit_code == 0
    assert "ok" in found.output


LEASED = """
[process]
name = "t-1"
hall = "hall"
role = "target"
[listen]
peers = "127.0.0.1:7720"
metrics = "127.0.0.1:9464"
runner = "127.0.0.1:8166"
[runner]
address = "127.0.0.1:8165"
[peers]
[store]
address = "127.0.0.1:8169"
[bounds]
resend_ms = {resend_ms}
"""


@pytest.mark.parametrize(
    ("resend_ms", "status", "output"),
    [(1300, 0, "ok"), (100, 2, "bounds: "), ('"soon"', 2, "bounds.resend_ms: ")],
    ids=["valid", "no time for leases", "mistyped"],
)
def test_check_settings_of_leased_jobs(
    resend_ms: object, status: int, output: str, tmp_path: Path
) -> None:
    file = tmp_path / "leased.toml"
    file.write_text(LEASED.format(resend_ms=resend_ms))
    found = CliRunner().invoke(main, ["check-settings", str(file)])
    assert found.exit_code == status
    assert output in found.output


def test_bad_settings_exit_with_2(tmp_path: Path) -> None:
    file = tmp_path / "bad.toml"
    file.write_text("host = 5\n")
    for command in (["check-settings", str(file)], ["entry", "--settings", str(file)]):
        found = CliRunner().invoke(main, command)
        assert found.exit_code == 2
        assert f"{file}: " in found.output


def test_address_in_use_is_reported(tmp_path: Path) -> None:
    text = (SETTINGS / "hall-results.toml").read_text()
    with socket.socket() as taken:
        taken.bind(("127.0.0.1", 0))
        taken.listen()
        port = taken.getsockname()[1]
        file = tmp_path / "target.toml"
        file.write_text(text.replace("127.0.0.1:7201", f"127.0.0.1:{port}"))
        found = CliRunner().invoke(main, ["target", "--settings", str(file)])
    assert found.exit_code == 1
    assert f"can't start: 127.0.0.1:{port}" in found.output
