"""Fixtures that several test modules share."""

from collections.abc import Iterator
from contextlib import ExitStack
from random import Random

import pytest
from system import System, start_system


@pytest.fixture
def rng() -> Random:
    """A source of randomness with a fixed seed."""
    return Random(7)


@pytest.fixture(scope="module")
def system() -> Iterator[System]:
    """A running system that the tests of one module share."""
    with ExitStack() as stack:
        yield start_system(stack)
