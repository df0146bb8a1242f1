"""Which tests run beside which."""

from pathlib import Path

import pytest
import sidebyside

TESTING = Path(__file__).parent

WAITS = ("free_port", "start_system", "Popen", "asyncio.run(", "councilsystem", "time.sleep")
"""Words of a test module that plays programs in real time."""


@pytest.mark.parametrize(
    ("nodeid", "scope"),
    [
        ("testing/soak/test_soak.py::test_it", "soak"),
        ("testing/council/test_system.py::test_it[a/b]", "programs"),
        ("testing/core/leased/test_soak.py::test_it[wide]", "testing/core/leased/test_soak.py"),
        ("testing/test_fuzz.py::TestFleet::runTest", "testing/test_fuzz.py"),
    ],
)
def test_tests_in_real_time_share_two_scopes(nodeid: str, scope: str) -> None:
    assert sidebyside.scope_of(nodeid) == scope


def test_no_module_elsewhere_plays_programs_in_real_time() -> None:
    own = Path(__file__)
    found = [
        path.relative_to(TESTING.parent).as_posix()
        for path in TESTING.rglob("test_*.py")
        if path != own and any(word in path.read_text() for word in WAITS)
    ]
    assert found
    assert [path for path in found if not path.startswith(tuple(sidebyside.REAL_TIME))] == []
