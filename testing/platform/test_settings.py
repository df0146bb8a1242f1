from pathlib import Path

import pytest
from paddleshunt_platform.settings import (
    EntryFile,
    SettingsError,
    TargetFile,
    load_either,
    load_entry,
    load_target,
)

ENTRY = """
host = "e1"
site = "hall"
data_hall = "h1"
[listen]
http = "127.0.0.1:7100"
peers = "127.0.0.1:7101"
[platform]
hosts = "http://127.0.0.1:1/hosts"
store = "http://127.0.0.1:2"
"""

TARGET = (
    ENTRY.replace("[listen]", 'service = "results"\n[listen]')
    + """
[runner]
url = "http://127.0.0.1:3/"
slots = 8
"""
)

SETTINGS = Path(__file__).parents[2] / "examples" / "settings"


def write(folder: Path, text: str) -> Path:
    file = folder / "settings.toml"
    file.write_text(text)
    return file


def test_role_is_detected(tmp_path: Path) -> None:
    assert isinstance(load_either(write(tmp_path, ENTRY)), EntryFile)
    assert isinstance(load_either(write(tmp_path, TARGET)), TargetFile)


@pytest.mark.parametrize("file", sorted(SETTINGS.glob("*.toml")), ids=lambda file: file.stem)
def test_example_settings_are_valid(file: Path) -> None:
    load_either(file)


@pytest.mark.parametrize(
    ("old", "new", "message"),
    [
        pytest.param('host = "e1"', "", "host: expected a value", id="missing"),
        pytest.param("slots = 8", 'slots = "8"', "runner.slots: expected `int`", id="type"),
        pytest.param("slots = 8", "slots = 0", r"runner.slots: expected `int` >= 1", id="range"),
        pytest.param("slots = 8", "slot = 8", "runner.slot: unknown key", id="unknown"),
        pytest.param("127.0.0.1:7101", "7101", "listen.peers: expected an address", id="address"),
        pytest.param("http://127.0.0.1:3/", "x", "runner.url: expected a URL", id="url"),
        pytest.param('site = "hall"', 'site = "a b"', "site: expected a name", id="name"),
        pytest.param("[listen]", "[listen", "file: expected TOML", id="syntax"),
    ],
)
def test_error_has_file_key_and_expectation(
    tmp_path: Path, old: str, new: str, message: str
) -> None:
    file = write(tmp_path, TARGET.replace(old, new))
    with pytest.raises(SettingsError, match=f"settings.toml: {message}"):
        load_target(file)


def test_entry_needs_a_store(tmp_path: Path) -> None:
    text = "\n".join(line for line in ENTRY.splitlines() if not line.startswith("store"))
    with pytest.raises(SettingsError, match=r"platform\.store"):
        load_entry(write(tmp_path, text))


def test_missing_file(tmp_path: Path) -> None:
    with pytest.raises(SettingsError, match="can't be read"):
        load_entry(tmp_path / "none.toml")
