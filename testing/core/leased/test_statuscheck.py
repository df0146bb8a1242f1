"""A word that contradicts what the same life of a runner has said is not followed at once."""

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


@pytest.mark.parametrize("odd", CONTRADICTIONS, ids=["service", "hall", "labels"])
def test_one_word_moves_no_runner_out_of_its_pool(
    control: RunnerControl, odd: RunnerStatus
) -> None:
    assert events(control, odd) == ["heartbeat_contradicts"]
    assert control.status == GOOD
    # Nor does its number make the runner's own next word a late one.
    same_number = replace(GOOD, sequence=2, capacity=Resources(4, 4))
    assert events(control, same_number) == ["runner_resized"]
    assert control.status == same_number


@pytest.mark.parametrize("odd", CONTRADICTIONS, ids=["service", "hall", "labels"])
def test_what_is_said_twice_in_a_row_is_followed(control: RunnerControl, odd: RunnerStatus) -> None:
    control.heartbeat_received(1.0, odd)
    again = replace(odd, sequence=3)
    assert events(control, again) == []
    assert control.status == again


def test_a_contradiction_between_sound_words_is_never_followed(control: RunnerControl) -> None:
    for sequence in range(2, 20, 2):
        assert events(control, replace(CONTRADICTIONS[0], sequence=sequence)) == [
            "heartbeat_contradicts"
        ]
        assert events(control, replace(GOOD, sequence=sequence + 1)) == []
    assert control.status is not None and control.status.service == "svc"


def test_another_life_may_have_another_service(control: RunnerControl) -> None:
    other = replace(CONTRADICTIONS[0], runner=RunnerIncarnation("i-2"))
    assert "heartbeat_contradicts" not in events(control, other)
    assert control.status == other
