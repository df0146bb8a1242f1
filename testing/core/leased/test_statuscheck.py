"""Tests that a status contradicting earlier ones is not accepted at once."""

from dataclasses import replace

import pytest
from paddleshunt_core.leased.bounds import Bounds, lease_times
from paddleshunt_core.leased.orders import RunnerStatus
from paddleshunt_core.leased.resources import Resources
from paddleshunt_core.leased.runnercontrol import RunnerControl
from paddleshunt_core.leased.runnerincarnation import RunnerIncarnation

GOOD = RunnerStatus(
    RunnerIncarnation("i-1"), "svc", "hall", Resources(8, 8), False, None, ("a", "r1"), 1
)
CONTRADICTIONS = [
    replace(GOOD, service="other", sequence=2),
    replace(GOOD, hall="other", sequence=2),
    replace(GOOD, labels=(), sequence=2),
]


def events(control: RunnerControl, status: RunnerStatus) -> list[str]:
    effects = control.heartbeat_received(1.0, status)
    return [getattr(effect, "event", "") for effect in effects]


@pytest.fixture
def control() -> RunnerControl:
    control = RunnerControl(lease_times(Bounds()))
    control.heartbeat_received(0.5, GOOD)
    return control


@pytest.mark.parametrize("contradicting", CONTRADICTIONS, ids=["service", "hall", "labels"])
def test_single_heartbeat_does_not_move_a_runner_to_another_pool(
    control: RunnerControl, contradicting: RunnerStatus
) -> None:
    assert events(control, contradicting) == ["heartbeat_contradicts"]
    assert control.status == GOOD
    # Its sequence number does not make the runner's own next heartbeat late either.
    same_number = replace(GOOD, sequence=2, capacity=Resources(4, 4))
    assert events(control, same_number) == ["runner_resized"]
    assert control.status == same_number


@pytest.mark.parametrize("contradicting", CONTRADICTIONS, ids=["service", "hall", "labels"])
def test_contradiction_received_twice_in_a_row_is_accepted(
    control: RunnerControl, contradicting: RunnerStatus
) -> None:
    control.heartbeat_received(1.0, contradicting)
    again = replace(contradicting, sequence=3)
    assert events(control, again) == []
    assert control.status == again


def test_contradiction_between_good_heartbeats_is_never_accepted(
    control: RunnerControl,
) -> None:
    for sequence in range(2, 20, 2):
        assert events(control, replace(CONTRADICTIONS[0], sequence=sequence)) == [
            "heartbeat_contradicts"
        ]
        assert events(control, replace(GOOD, sequence=sequence + 1)) == []
    assert control.status is not None and control.status.service == "svc"


def test_other_incarnation_may_have_another_service(control: RunnerControl) -> None:
    other = replace(CONTRADICTIONS[0], runner=RunnerIncarnation("i-2"))
    assert "heartbeat_contradicts" not in events(control, other)
    assert control.status == other
