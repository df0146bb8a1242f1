"""Fixtures that several test modules share."""

from random import Random

import pytest


@pytest.fixture
def rng() -> Random:
    """A source of randomness with a fixed seed."""
    return Random(7)
