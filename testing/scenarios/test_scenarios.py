"""Runs every scenario file of this folder."""

from collections import Counter
from pathlib import Path

import pytest
import scenario
from paddleshunt_core.checker import Rule

FILES = sorted(Path(__file__).parent.glob("*.toml"))

SCENARIOS_PER_RULE = 3


@pytest.mark.parametrize("file", FILES, ids=lambda file: file.stem)
def test_scenario(file: Path) -> None:
    scenario.run(scenario.load(file))


def test_every_rule_has_scenarios() -> None:
    counts = Counter(name for file in FILES for name in scenario.load(file).rules)
    few = [rule.name for rule in Rule if counts[rule.name] < SCENARIOS_PER_RULE]
    assert not few, counts
