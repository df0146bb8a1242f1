"""When a gap between calls counts as a pause of the process."""

import pytest
from paddleshunt_core.leased.pausedetector import RESUME_GRACE_SECONDS, PauseDetector


@pytest.mark.parametrize(
    ("gap", "pause"), [(0.4, 0.0), (0.5, 0.0), (0.75, 0.75)], ids=["short", "limit", "long"]
)
def test_only_a_gap_beyond_the_limit_is_a_pause(gap: float, pause: float) -> None:
    detector = PauseDetector(0.5)
    assert detector.observe(1.0) == 0.0
    assert detector.observe(1.0 + gap) == pause


def test_a_pause_counts_as_recent_for_the_grace_period() -> None:
    detector = PauseDetector(0.5)
    detector.observe(1.0)
    assert not detector.recently_resumed(1.0)
    detector.observe(3.0)
    assert detector.recently_resumed(3.0 + RESUME_GRACE_SECONDS / 2)
    assert not detector.recently_resumed(3.0 + RESUME_GRACE_SECONDS)
