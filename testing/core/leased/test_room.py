"""Which targets have room at one moment."""

import pytest
from paddleshunt_core.leased.bounds import Bounds, lease_times
from paddleshunt_core.leased.resources import Resources
from paddleshunt_core.leased.room import RoomNow
from paddleshunt_core.leased.session import Session
from paddleshunt_core.leased.targets import TargetRecord
from paddleshunt_core.leased.wire import Health, RunId, RunnerReport, RunnerState, TaskId

TIMES = lease_times(Bounds())
SIZE = Resources(8000, 8000)


def target(name: str, free: Resources, service: str = "svc") -> TargetRecord:
    record = TargetRecord(name, "hall", "1", Session(1, 0), connected=True, last_received=10.0)
    record.report = RunnerReport(service, name, RunnerState.READY, Health.GOOD, SIZE, free)
    return record


def room(*targets: TargetRecord, now: float = 10.0) -> RoomNow:
    return RoomNow(now, targets, lease_times(Bounds()))


def test_room_is_that_of_a_services_targets() -> None:
    view = room(target("t1", Resources(500, 8000)), target("t2", SIZE, "other"))
    assert [t.name for t in view.usable("svc")] == ["t1"]
    assert view.may_have("svc", Resources(500, 10))
    assert not view.may_have("svc", Resources(501, 10))
    assert view.may_have("other", Resources(501, 10))


@pytest.mark.parametrize(
    ("held", "silence"), [(True, TIMES.fresh), (False, TIMES.idle_fresh)], ids=["held", "idle"]
)
def test_a_silent_target_is_known_but_has_no_room(*, held: bool, silence: float) -> None:
    silent = target("t1", SIZE)
    if held:
        silent.record_run(10.0, RunId(TaskId("job", 0, 0), 1))
    assert room(silent, now=10.0 + silence - 0.01).usable("svc") == [silent]
    view = room(silent, now=10.0 + silence + 0.01)
    assert [t.name for t in view.known("svc")] == ["t1"]
    assert view.usable("svc") == []
    assert not view.may_have("svc", Resources(0, 0))


def test_without_targets_there_is_no_room() -> None:
    assert not room().may_have("svc", Resources(0, 0))
