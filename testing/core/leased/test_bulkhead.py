"""The targets of a confined queue: chosen alike by all entries, and kept while they last."""

import pytest
from paddleshunt_core.leased.bulkhead import DOWN_GRACE_SECONDS, Bulkhead
from paddleshunt_core.leased.resources import Resources
from paddleshunt_core.leased.targets import TargetRecord
from paddleshunt_core.leased.wire import Health, RunnerReport, RunnerState

CAPACITY = Resources(8000, 8000, 0)


def target(name: str, state: RunnerState = RunnerState.READY, service: str = "svc") -> TargetRecord:
    record = TargetRecord(name, "hall", "1")
    record.report = RunnerReport(service, f"i-{name}", state, Health.GOOD, CAPACITY, CAPACITY)
    return record


@pytest.fixture
def fleet() -> dict[str, TargetRecord]:
    return {f"t{n}": target(f"t{n}") for n in range(16)}


def choose(bulkhead: Bulkhead, now: float, fleet: dict[str, TargetRecord], width: int = 1) -> None:
    bulkhead.choose(now, fleet.values(), width)


def test_two_entries_choose_the_same_targets(fleet: dict[str, TargetRecord]) -> None:
    one, other = Bulkhead("q", "svc"), Bulkhead("q", "svc")
    choose(one, 1.0, fleet)
    choose(other, 5.0, dict(reversed(fleet.items())))
    assert one.members == other.members
    assert 1 <= len(one.members) <= 4
    assert not one.is_too_wide()


def test_queues_have_different_targets(fleet: dict[str, TargetRecord]) -> None:
    chosen = set()
    for name in "abcdef":
        bulkhead = Bulkhead(name, "svc")
        choose(bulkhead, 1.0, fleet)
        chosen.add(bulkhead.members)
    assert len(chosen) > 1


def test_a_wider_bulkhead_includes_the_narrower_one(fleet: dict[str, TargetRecord]) -> None:
    bulkhead = Bulkhead("q", "svc")
    choose(bulkhead, 1.0, fleet)
    few = bulkhead.members
    choose(bulkhead, 2.0, fleet, 2)
    assert few < bulkhead.members


def test_targets_of_other_services_are_not_eligible(fleet: dict[str, TargetRecord]) -> None:
    bulkhead = Bulkhead("q", "svc")
    choose(bulkhead, 1.0, {**fleet, "x": target("x", service="other")})
    assert bulkhead.eligible_count == len(fleet)


@pytest.mark.parametrize("gone", ["down", "no session"])
def test_a_target_whose_runner_is_down_stays_for_the_grace_period(
    gone: str, fleet: dict[str, TargetRecord]
) -> None:
    bulkhead = Bulkhead("q", "svc")
    choose(bulkhead, 1.0, fleet)
    members = bulkhead.members
    for name in members:
        fleet[name] = target(name, RunnerState.DOWN)
        if gone == "no session":
            fleet[name].report = None
    choose(bulkhead, 1.1, fleet)
    choose(bulkhead, 1.0 + DOWN_GRACE_SECONDS, fleet)
    assert bulkhead.members == members
    for now in (1.2 + DOWN_GRACE_SECONDS, 1.3 + DOWN_GRACE_SECONDS):
        choose(bulkhead, now, fleet)
        assert not bulkhead.members & members


@pytest.mark.parametrize("state", [RunnerState.LEAVING, RunnerState.EVACUATED])
def test_a_target_that_accepts_no_work_is_replaced_at_once(
    state: RunnerState, fleet: dict[str, TargetRecord]
) -> None:
    bulkhead = Bulkhead("q", "svc")
    choose(bulkhead, 1.0, fleet)
    members = bulkhead.members
    for name in members:
        fleet[name] = target(name, state)
    choose(bulkhead, 1.1, fleet)
    assert bulkhead.members
    assert not bulkhead.members & members


@pytest.mark.parametrize("count", [0, 1, 2])
def test_a_bulkhead_among_two_targets_is_too_wide(count: int) -> None:
    bulkhead = Bulkhead("q", "svc")
    bulkhead.choose(1.0, [target(f"t{n}") for n in range(count)], 1)
    assert bulkhead.is_too_wide()
