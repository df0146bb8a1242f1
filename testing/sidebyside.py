"""Pytest plugin: which tests may run beside which, if a run has several workers.

Tests that play programs in real time take each other's processor time. So they run in two scopes,
each one test after another at one worker, and first: all others run, file by file, beside them.
"""

from typing import TYPE_CHECKING

import pytest

if TYPE_CHECKING:
    from xdist.remote import Producer
    from xdist.scheduler import LoadScopeScheduling

SOAK = "soak"
PROGRAMS = "programs"

REAL_TIME = {
    "testing/cli/": PROGRAMS,
    "testing/council/": PROGRAMS,
    "testing/node/": PROGRAMS,
    "testing/soak/": SOAK,
}
"""Scopes of the folders of tests that start processes, or play programs in real time."""


def scope_of(nodeid: str) -> str:
    """Return the scope of a test: those of one scope run one after another, at one worker."""
    for folder, scope in REAL_TIME.items():
        if nodeid.startswith(folder):
            return scope
    return nodeid.partition("::")[0]


def pytest_collection_modifyitems(config: pytest.Config, items: list[pytest.Item]) -> None:
    """Let the tests in real time come first at workers: they last longest."""
    if hasattr(config, "workerinput"):
        items.sort(key=lambda item: scope_of(item.nodeid) not in REAL_TIME.values())


@pytest.hookimpl(optionalhook=True)
def pytest_xdist_make_scheduler(config: pytest.Config, log: "Producer") -> "LoadScopeScheduling":
    """Hand out tests by their scopes, in the order in which they come."""
    from xdist.scheduler import LoadScopeScheduling

    class Scheduling(LoadScopeScheduling):
        def _split_scope(self, nodeid: str) -> str:
            return scope_of(nodeid)

    config.option.loadscopereorder = False
    return Scheduling(config, log)
