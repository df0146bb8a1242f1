"""Only the adapter, its deploy files and their tests use the platform's names."""

import re
from pathlib import Path

import pytest

ROOT = Path(__file__).parents[2]
PLATFORM_NAMES = (
    "run-start",
    "run-stop",
    "kv-key",
    "kv-range",
    "kv-watch",
    "kv-txn",
    "kv-lease",
    "kv-keep",
    "Instances.Heartbeat",
    "Instances.Deregister",
    "fencing_token",
    "path_prefix",
    "expected_revision",
    "target_latency_ms",
    "rejects_overload",
    "best_effort",
    "estimated_ms",
    "mem_mb",
    "X-Expected-Instance",
    "X-Deadline-Ms",
    "op/config",
    "PADDLESHUNT_CONFIG",
    "internal_ports",
)
PATTERN = re.compile("|".join(re.escape(name) for name in PLATFORM_NAMES), re.IGNORECASE)
FILES = sorted(
    file
    for folder in ("packages", "testing", "examples", "benchmarks")
    for file in (ROOT / folder).rglob("*")
    if file.suffix in {".py", ".toml", ".json"} and "council" not in file.parts
)


@pytest.mark.parametrize("file", FILES, ids=lambda file: str(file.relative_to(ROOT)))
def test_file_has_no_platform_names(file: Path) -> None:
    assert PATTERN.search(file.read_text()) is None


def test_pattern_finds_a_name_in_the_adapter() -> None:
    adapter = ROOT / "platform" / "paddleshunt_council" / "runner.py"
    assert PATTERN.search(adapter.read_text()) is not None


def test_platform_folder_does_not_shadow_the_standard_module() -> None:
    assert not (ROOT / "platform" / "__init__.py").exists()
