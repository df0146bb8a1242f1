"""The templates' settings are valid; invalid ones are refused with file, key and reason."""

from pathlib import Path

import pytest
from click.testing import CliRunner
from paddleshunt_core.leased.bounds import HALL_PREFERENCE
from paddleshunt_council.commandline import main
from paddleshunt_platform.leasedsettings import bounds_of, load_leased
from paddleshunt_platform.settings import SettingsError
from templates import filled


@pytest.mark.parametrize("role", ["entry", "target"])
def test_template_settings_are_valid(role: str, tmp_path: Path) -> None:
    file = tmp_path / "local.toml"
    file.write_text(filled(role))
    assert load_leased(file).process.role == role
    result = CliRunner().invoke(main, [role, "--check", "--settings", str(file)])
    assert (result.exit_code, result.output) == (0, f"{file}: ok\n")


@pytest.mark.parametrize(("given", "expected"), [(2, 2.0), (None, 1.5)], ids=["given", "not-given"])
@pytest.mark.parametrize("role", ["entry", "target"])
def test_cold_overrun_is_optional(
    role: str, given: int | None, expected: float, tmp_path: Path
) -> None:
    file = tmp_path / "local.toml"
    file.write_text(filled(role, **{"bounds.cold_overrun": given}))
    assert bounds_of(load_leased(file)).cold_overrun == expected


@pytest.mark.parametrize(
    ("text", "problem"),
    [
        ("[process", "file: expected TOML"),
        ("unknown = 1\n", "unknown: unknown key"),
        (None, "file: can't be read"),
    ],
    ids=["not-toml", "unknown-key", "no-file"],
)
def test_invalid_settings_exit_with_the_problem(
    text: str | None, problem: str, tmp_path: Path
) -> None:
    file = tmp_path / "local.toml"
    if text is not None:
        file.write_text(text + filled("entry"))
    result = CliRunner().invoke(main, ["entry", "--settings", str(file)])
    assert result.exit_code == 2
    assert f"{file}: {problem}" in result.output


def test_bounds_without_time_for_leases_are_refused(tmp_path: Path) -> None:
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


def test_hall_preference_is_optional(tmp_path: Path) -> None:
    file = tmp_path / "local.toml"
    file.write_text(filled("entry"))
    assert bounds_of(load_leased(file)).hall_preference == HALL_PREFERENCE
    file.write_text(filled("entry").replace("[bounds]", "[bounds]\nhall_preference = 0.5"))
    assert bounds_of(load_leased(file)).hall_preference == 0.5
