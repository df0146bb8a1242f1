"""Nested leases expire before a caller's retry."""

import pytest
from paddleshunt_core.leased.bounds import (
    CLOCK_DRIFT,
    LEASE_MARGIN,
    Bounds,
    BoundsError,
    lease_times,
)


@pytest.mark.parametrize(
    "bounds",
    [
        Bounds(),
        Bounds(resend=0.8, hold_max=0.3, stop=0.02),
        Bounds(resend=10.0, hold_max=2.0, stop=0.5),
        Bounds(resend=1.3, hold_max=5.0, stop=0.05),
    ],
    ids=["council", "short", "long", "any-hold"],
)
def test_leases_expire_before_the_retry(bounds: Bounds) -> None:
    times = lease_times(bounds)
    longest = times.session + times.hold * (1 + CLOCK_DRIFT) + bounds.stop + LEASE_MARGIN
    assert longest <= bounds.resend + 1e-9
    assert times.hold <= bounds.hold_max
    assert times.heartbeat < times.session / 3


def test_bounds_without_time_for_leases_are_rejected() -> None:
    with pytest.raises(BoundsError, match="no time for leases"):
        lease_times(Bounds(resend=0.2))
