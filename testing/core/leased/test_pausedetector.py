"""When a process counts as having stood still."""

import pytest
from paddleshunt_core.leased.pausedetector import RESUME_GRACE_SECONDS, PauseDetector


@pytest.mark.parametrize(
    ("pause", "stood"), [(0.4, 0.0), (0.5, 0.0), (0.75, 0.75)], ids=["short", "limit", "long"]
)
def test_only_a_pause_beyond_the_limit_is_a_stand_still(pause: float, stood: float) -> None:
    pauses = PauseDetector(0.5)
    assert pauses.observe(1.0) == 0.0
    assert pauses.observe(1.0 + pause) == stood


def test_what_is_read_right_after_a_stand_still_may_be_old() -> None:
    pauses = PauseDetector(0.5)
    pauses.observe(1.0)
    assert not pauses.recently_resumed(1.0)
    pauses.observe(3.0)
    assert pauses.recently_resumed(3.0 + RESUME_GRACE_SECONDS / 2)
    assert not pauses.recently_resumed(3.0 + RESUME_GRACE_SECONDS)
