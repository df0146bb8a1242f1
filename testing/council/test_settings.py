"""Settings that the templates make are whole; bad ones are refused with file, key and reason."""

import json
import re
from pathlib import Path

import pytest
from click.testing import CliRunner
from paddleshunt_council.__main__ import main
from paddleshunt_platform.leasedsettings import load_leased
from paddleshunt_platform.settings import SettingsError

ROOT = Path(__file__).parents[2]
FIELDS: dict[str, object] = {
    "node_name": "n-1",
    "zone": "hall",
    "ip": "127.0.0.1",
    "internal_ports.0": 7720,
    "seeds": ["127.0.0.1:8166"],
    "app": "127.0.0.1:8165",
    "listen.frontend": "127.0.0.1:8161",
    "listen.ready": "127.0.0.1:8167",
    "listen.control": "127.0.0.1:8166",
    "platform.address": "127.0.0.1:8169",
    "platform.ttl_min_ms": 1000,
    "bounds.resend_ms": 1300,
    "bounds.hold_max_ms": 1000,
    "bounds.stop_timeout_ms": 50,
    "bounds.drain_ms": 2000,
    "bounds.config_apply_ms": 2000,
    "bounds.grace_s": 6,
    "bounds.remote_factor": 1.5,
}


def filled(role: str, **changed: object) -> str:
    """Return a role's template as the platform fills it."""
    fields = {**FIELDS, **changed}

    def value(match: re.Match[str]) -> str:
        name, _, form = match[1].partition("|")
        return json.dumps(fields[name]) if form == "json" else str(fields[name])

    template = (ROOT / "deploy" / f"{role}.toml").read_text()
    return re.sub(r"\{\{([^}]+)\}\}", value, template)


@pytest.mark.parametrize("role", ["entry", "target"])
def test_template_makes_whole_settings(role: str, tmp_path: Path) -> None:
    file = tmp_path / "local.toml"
    file.write_text(filled(role))
    assert load_leased(file).process.role == role
    result = CliRunner().invoke(main, [role, "--check", "--settings", str(file)])
    assert (result.exit_code, result.output) == (0, f"{file}: ok\n")


@pytest.mark.parametrize(
    ("text", "problem"),
    [
        ("[process", "file: expected TOML"),
        ("unknown = 1\n", "unknown: expected no such key"),
        (None, "file: can't be read"),
    ],
    ids=["not-toml", "unknown-key", "no-file"],
)
def test_bad_settings_start_nothing(text: str | None, problem: str, tmp_path: Path) -> None:
    file = tmp_path / "local.toml"
    if text is not None:
        file.write_text(text + filled("entry"))
    result = CliRunner().invoke(main, ["entry", "--settings", str(file)])
    assert result.exit_code == 2
    assert f"{file}: {problem}" in result.output


def test_bounds_without_room_for_leases_are_refused(tmp_path: Path) -> None:
    file = tmp_path / "local.toml"
    file.write_text(filled("entry", **{"bounds.resend_ms": 150}))
    with pytest.raises(SettingsError, match="leave no time for leases"):
        load_leased(file)


def test_settings_of_another_role_are_refused(tmp_path: Path) -> None:
    file = tmp_path / "local.toml"
    file.write_text(filled("target"))
    result = CliRunner().invoke(main, ["entry", "--settings", str(file)])
    assert result.exit_code == 2
    assert "process.role: expected entry" in result.output
