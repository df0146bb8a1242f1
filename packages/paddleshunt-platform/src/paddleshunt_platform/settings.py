"""Settings of the daemon, validated from a TOML file; unknown keys are refused.

Addresses are `host:port`. Each error has the file, the key and what was expected.
"""

import re
import tomllib
from dataclasses import dataclass
from pathlib import Path
from typing import Annotated, TypeVar, final

import msgspec
from msgspec import Meta

NAME_PATTERN = r"^[A-Za-z0-9][A-Za-z0-9._-]{0,62}$"
ADDRESS_PATTERN = "^[0-9A-Za-z.-]+:[0-9]{1,5}$"
URL_PATTERN = "^https?://[^ ]+$"

Name = Annotated[str, Meta(pattern=NAME_PATTERN)]
Address = Annotated[str, Meta(pattern=ADDRESS_PATTERN)]
Url = Annotated[str, Meta(pattern=URL_PATTERN)]
Seconds = Annotated[float, Meta(gt=0, le=3600)]

_PATTERN_DESCRIPTIONS = {
    NAME_PATTERN: "a name of letters, digits, '.', '_' or '-', at most 63 characters",
    ADDRESS_PATTERN: "an address such as 10.0.0.1:7700",
    URL_PATTERN: "a URL that starts with http:// or https://",
}


@final
@dataclass(frozen=True)
class SettingsError(Exception):
    """A settings file is invalid: the file, the key and what was expected."""

    file: Path
    key: str
    expected: str

    def __str__(self) -> str:
        return f"{self.file}: {self.key}: {self.expected}"


class Section(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Base of all sections."""


@final
class Listen(Section, frozen=True):
    """Addresses to listen on: HTTP for callers and operators, and peers."""

    http: Address
    peers: Address


@final
class Platform(Section, frozen=True):
    """URLs of the platform's key-value service (unset for a target) and host list."""

    hosts: Url
    store: Url | None = None


@final
class Runner(Section, frozen=True):
    """The runner beside a target: its URL and how many tasks it runs at once."""

    url: Url
    slots: Annotated[int, Meta(ge=1, le=1024)]


@final
class LogSettings(Section, frozen=True):
    """The least severe level that is logged."""

    level: Annotated[str, Meta(pattern="^(debug|info|warning|error)$")] = "info"


@final
class Operators(Section, frozen=True):
    """The key that authorizes table uploads; an empty one allows none."""

    key: Annotated[str, Meta(max_length=200)] = ""


@final
class Limits(Section, frozen=True):
    """Limits on callers' requests to an entry, and on how many may wait."""

    max_tasks: Annotated[int, Meta(ge=1, le=100_000)] = 1900
    max_body_bytes: Annotated[int, Meta(ge=1024, le=1 << 30)] = 8 << 20
    max_waiting: Annotated[int, Meta(ge=1, le=2000)] = 250
    max_deadline_ms: Annotated[int, Meta(ge=100, le=3_600_000)] = 600_000
    default_deadline_ms: Annotated[int, Meta(ge=100, le=3_600_000)] = 10_000


@final
class HomeSettings(Section, frozen=True):
    """Limits of a target that owns jobs: how long an id is valid, and the ids and bytes kept."""

    window_s: Seconds = 120.0
    max_records: Annotated[int, Meta(ge=10, le=10_000_000)] = 20_000
    answer_bytes: Annotated[int, Meta(ge=1024, le=1 << 30)] = 8 << 20


@final
class EntryFile(Section, frozen=True):
    """Settings of an entry."""

    host: Name
    site: Name
    data_hall: Name
    listen: Listen
    platform: Platform
    log: LogSettings = LogSettings()
    limits: Limits = Limits()
    operators: Operators = Operators()
    heartbeat_s: Seconds = 1.0


@final
class TargetFile(Section, frozen=True):
    """Settings of a target."""

    host: Name
    site: Name
    data_hall: Name
    service: Name
    listen: Listen
    platform: Platform
    runner: Runner
    log: LogSettings = LogSettings()
    home: HomeSettings = HomeSettings()
    pipeline: Annotated[int, Meta(ge=0, le=64)] = 2


AnyFile = EntryFile | TargetFile

_File = TypeVar("_File", EntryFile, TargetFile)


def load_entry(file: Path) -> EntryFile:
    """Return the settings of an entry; raises `SettingsError`."""
    settings = _load(file, EntryFile)
    if settings.platform.store is None:
        raise SettingsError(file, "platform.store", "expected the URL of the key-value service")
    return settings


def load_target(file: Path) -> TargetFile:
    """Return the settings of a target; raises `SettingsError`."""
    return _load(file, TargetFile)


def load_either(file: Path) -> AnyFile:
    """Return the settings of a target if the file has a runner, else of an entry."""
    return load_target(file) if "runner" in read_tables(file) else load_entry(file)


def read_tables(file: Path) -> dict[str, object]:
    """Return the tables of a TOML file without validation; raises `SettingsError`."""
    try:
        return tomllib.loads(file.read_text(encoding="utf-8"))
    except OSError as error:
        raise SettingsError(file, "file", f"can't be read: {error.strerror}") from error
    except UnicodeDecodeError as error:
        raise SettingsError(file, "file", "expected UTF-8 text") from error
    except tomllib.TOMLDecodeError as error:
        raise SettingsError(file, "file", f"expected TOML: {error}") from error


def _load(file: Path, kind: type[_File]) -> _File:
    return load_as(file, kind)


_Settings = TypeVar("_Settings", bound=Section)


def load_as(file: Path, kind: type[_Settings]) -> _Settings:
    """Return the file's settings, validated as `kind`; raises `SettingsError`."""
    try:
        return msgspec.convert(read_tables(file), kind)
    except msgspec.ValidationError as error:
        raise _to_settings_error(file, str(error)) from error


def _to_settings_error(file: Path, text: str) -> SettingsError:
    """Translate a validation error of msgspec."""
    problem, _, path = text.partition(" - at `$")
    section = path.rstrip("`").lstrip(".")
    field = re.search(r"(unknown|required) field `([^`]+)`", problem)
    if field is not None:
        key = ".".join(part for part in (section, field[2]) if part)
        expected = "unknown key" if field[1] == "unknown" else "expected a value"
        return SettingsError(file, key, expected)
    for pattern, expected in _PATTERN_DESCRIPTIONS.items():
        if pattern in problem:
            return SettingsError(file, section, f"expected {expected}")
    return SettingsError(file, section or "file", problem[:1].lower() + problem[1:])
