"""Usable targets and their free resources in a snapshot."""

import pytest
from paddleshunt_core.leased.bounds import Bounds, lease_times
from paddleshunt_core.leased.resources import Resources
from paddleshunt_core.leased.session import Session
from paddleshunt_core.leased.targets import TargetRecord
from paddleshunt_core.leased.targetsnapshot import TargetSnapshot
from paddleshunt_core.leased.wire import Health, RunId, RunnerReport, RunnerState, TaskId

TIMES = lease_times(Bounds())
CAPACITY = Resources(8000, 8000)


def target(name: str, free: Resources, service: str = "svc") -> TargetRecord:
    record = TargetRecord(name, "hall", "1", Session(1, 0), connected=True, last_received=10.0)
    record.report = RunnerReport(service, name, RunnerState.READY, Health.GOOD, CAPACITY, free)
    return record


def snapshot(*targets: TargetRecord, now: float = 10.0) -> TargetSnapshot:
    return TargetSnapshot(now, targets, lease_times(Bounds()))


def test_targets_are_grouped_by_service() -> None:
    targets = snapshot(target("t1", Resources(500, 8000)), target("t2", CAPACITY, "other"))
    assert [t.name for t in targets.usable("svc")] == ["t1"]
    assert targets.may_fit("svc", Resources(500, 10))
    assert not targets.may_fit("svc", Resources(501, 10))
    assert targets.may_fit("other", Resources(501, 10))


@pytest.mark.parametrize(
    ("held", "silence"),
    [(True, TIMES.max_silence), (False, TIMES.max_idle_silence)],
    ids=["held", "idle"],
)
def test_a_silent_target_is_known_but_not_usable(*, held: bool, silence: float) -> None:
    silent = target("t1", CAPACITY)
    if held:
        silent.record_run(10.0, RunId(TaskId("job", 0, 0), 1))
    assert snapshot(silent, now=10.0 + silence - 0.01).usable("svc") == [silent]
    targets = snapshot(silent, now=10.0 + silence + 0.01)
    assert [t.name for t in targets.known("svc")] == ["t1"]
    assert targets.usable("svc") == []
    assert not targets.may_fit("svc", Resources(0, 0))


def test_without_targets_nothing_fits() -> None:
    assert not snapshot().may_fit("svc", Resources(0, 0))
