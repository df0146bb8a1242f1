"""Cold runners, which are slow for a while after their start."""

from random import Random

import pytest
from leasedfleet import Fleet
from leasedrunner import COLD_OVERRUN
from paddleshunt_core.events import Log
from paddleshunt_core.leased.bounds import Bounds, lease_times
from paddleshunt_core.leased.catalog import Queue
from paddleshunt_core.leased.evacuation import EvacuatedHalls
from paddleshunt_core.leased.health import SICK_SECONDS, SICK_SPEED, RunnerHealth
from paddleshunt_core.leased.jobs import JobRecord, JobRequest, new_job
from paddleshunt_core.leased.orders import PollAnswer, RunnerStatus, RunningRun, StopRun
from paddleshunt_core.leased.outcomes import Completed
from paddleshunt_core.leased.placement import Placement
from paddleshunt_core.leased.resources import Resources
from paddleshunt_core.leased.runnerincarnation import RunnerIncarnation
from paddleshunt_core.leased.targets import TargetRecord
from paddleshunt_core.leased.wire import (
    Assign,
    EvacuationUpdate,
    Frame,
    Health,
    Hello,
    RunId,
    RunnerReport,
    RunnerState,
    TaskId,
)
from paddleshunt_core.leased.worker import Worker

QUEUE = Queue("q", "host", "/q/", "svc", stretch=1.6, latency=0.06)
CAPACITY = Resources(8000, 8000)
NEED = Resources(1000, 10)
RUN = RunId(TaskId("job", 0, 0), 1)


def report(cold_ms: int = 0, runner: str = "i-1") -> RunnerReport:
    return RunnerReport(
        "svc", runner, RunnerState.READY, Health.GOOD, CAPACITY, CAPACITY, cold_ms=cold_ms
    )


def target(name: str, cold_ms: int = 0) -> TargetRecord:
    record = TargetRecord(name, "hall", "1")
    record.update_report(10.0, report(cold_ms))
    return record


def job(length: float = 0.4) -> JobRecord:
    return new_job(1, JobRequest("key", "spec", 1, NEED, length, 3.0), QUEUE, 10.0)


WARM, FULL, COLD, COLD_FULL = "warm", "full", "cold", "cold-full"


def target_named(name: str) -> TargetRecord:
    record = target(name, 5000 if name.startswith("cold") else 0)
    if name.endswith("full"):
        record.reserve(CAPACITY)
    return record


@pytest.mark.parametrize(
    ("after", "names", "expected"),
    [
        (0.0, [WARM, COLD], WARM),
        (0.05, [FULL, COLD], COLD),
        (0.12, [FULL, COLD], ""),
        (0.4, [FULL, COLD], COLD),
        (0.12, [COLD], COLD),
        (0.0, [FULL, COLD_FULL], ""),
    ],
    ids=["warm-first", "in-time-there", "waits-for-warm", "late-anyhow", "all-cold", "no-room"],
)
def test_a_task_uses_a_cold_runner_if_its_slack_allows(
    after: float, names: list[str], expected: str
) -> None:
    job_record = job()
    placement = Placement("hall", Random(1), 1.5, cold_overrun=1.5)
    eligible = placement.eligible(job_record, [target_named(name) for name in names])
    found = (
        placement.choose(10.0 + after, job_record, job_record.tasks[0], eligible)
        if eligible
        else None
    )
    assert (found.name if found else "") == expected


def test_a_nearly_full_warm_runner_is_preferred_to_an_empty_cold_one() -> None:
    warm = target("warm")
    warm.reserve(CAPACITY - NEED)
    job_record = job()
    placement = Placement("hall", Random(1), 1.5, cold_overrun=1.5)
    found = placement.choose(10.0, job_record, job_record.tasks[0], [target("cold", 5000), warm])
    assert found is warm


def test_the_entry_counts_down_the_cold_time() -> None:
    record = target("t", 2000)
    assert record.is_cold(11.9)
    assert not record.is_cold(12.1)


def test_a_runner_reported_warm_was_cold_before() -> None:
    record = target("t", 5000)
    record.update_report(11.0, report())
    assert record.is_cold(10.9)
    assert not record.is_cold(11.1)


def status(cold: float, runner: str = "i-1") -> RunnerStatus:
    return RunnerStatus(RunnerIncarnation(runner), "svc", "a", CAPACITY, False, None, cold=cold)


def worker(cold: float, overrun: float = 1.5) -> Worker:
    """Return a worker in session with `e`, whose runner at 0.9 stays cold for `cold` seconds."""
    made = Worker(lease_times(Bounds()), "a", overrun)
    made.heartbeat_received(0.9, status(cold))
    made.poll_answered(0.95, PollAnswer(0.92, [], []))
    made.greeting_answered(1.0, Hello("e", "life", True, "hall", "", 1, 0), 1.0)
    return made


def reported_cold_ms(made: Worker, now: float) -> list[int]:
    """Return the `cold_ms` of the reports due at `now`."""
    made.prepare_frames(now)
    session = made.session("e")
    assert session is not None
    bodies = session.frame(round(now * 1000)).bodies
    return [body.cold_ms for body in bodies if isinstance(body, RunnerReport)]


def test_a_cold_runner_is_reported_once_and_again_when_warm() -> None:
    made = worker(2.0)
    assert reported_cold_ms(made, 1.0) == [1900]
    assert [reported_cold_ms(made, 1.0 + n * 0.13) for n in range(1, 14)] == [[]] * 13
    assert reported_cold_ms(made, 2.95) == [0]
    assert reported_cold_ms(made, 3.2) == []


@pytest.mark.parametrize(
    ("cold", "expected"), [(1.6, []), (4.0, [4000]), (0.0, [0])], ids=["late", "longer", "warm"]
)
def test_a_heartbeat_is_reported_only_if_the_cold_time_changes(
    cold: float, expected: list[int]
) -> None:
    made = worker(2.0)
    reported_cold_ms(made, 1.0)
    made.heartbeat_received(1.4, status(cold))
    assert reported_cold_ms(made, 1.4) == expected


@pytest.mark.parametrize(("cold", "expected"), [(3.0, [3000]), (0.0, [0])], ids=["cold", "warm"])
def test_a_restarted_runner_reports_its_own_cold_time(cold: float, expected: list[int]) -> None:
    made = worker(2.0)
    reported_cold_ms(made, 1.0)
    made.heartbeat_received(1.4, status(cold, "i-2"))
    made.poll_answered(1.45, PollAnswer(1.42, [], []))
    assert reported_cold_ms(made, 1.5)[-1:] == [max(0, cold_ms - 100) for cold_ms in expected]


def test_after_an_evacuation_ends_without_the_store_cold_times_are_kept() -> None:
    made = worker(0.0)
    reported_cold_ms(made, 1.0)
    frame = Frame(1, 0, 1000, 1000, [EvacuationUpdate(EvacuatedHalls(20, ("a",)))])
    made.frame_received(1.0, "e", frame)
    # Runner heartbeats go on without the store.
    made.heartbeat_received(1.2, status(1.5))
    back = Frame(2, 0, 1100, 1300, [EvacuationUpdate(EvacuatedHalls(21, ()))])
    made.frame_received(1.3, "e", back)
    made.prepare_frames(1.3)
    session = made.session("e")
    assert session is not None
    reports = [b for b in session.frame(1300).bodies if isinstance(b, RunnerReport)]
    assert [(r.state, r.cold_ms) for r in reports] == [(RunnerState.READY, 1400)]


@pytest.mark.parametrize(
    ("cold", "level"), [(2.0, Health.GOOD), (0.0, Health.SICK)], ids=["cold", "warm"]
)
def test_slow_completions_do_not_make_a_cold_runner_sick(cold: float, level: Health) -> None:
    health = RunnerHealth(4.0)
    health.mark_sick(0.0)
    later = SICK_SECONDS + 0.1
    health.set_cold_remaining(later, cold)
    health.done(later + 1.0, SICK_SPEED * 0.9, later)
    assert health.level(later + 1.0) is level


@pytest.mark.parametrize(("cold", "slow"), [(2.0, False), (0.0, True)], ids=["cold", "warm"])
def test_slow_progress_does_not_make_a_cold_runner_sick(cold: float, *, slow: bool) -> None:
    health = RunnerHealth(4.0)
    health.set_cold_remaining(1.0, cold)
    health.progressed(1.5, 0.1, 0.5)
    assert health.is_slow(1.6) is slow


def test_a_runner_that_stays_slow_when_warm_is_sick() -> None:
    health = RunnerHealth(4.0)
    health.set_cold_remaining(1.0, 2.0)
    health.progressed(4.0, 0.1, 0.5)
    assert health.is_slow(4.1)


@pytest.mark.parametrize(("cold", "stopped"), [(3.0, False), (0.0, True)], ids=["cold", "warm"])
def test_runs_of_a_cold_runner_may_stall_for_longer(cold: float, *, stopped: bool) -> None:
    made = worker(cold, overrun=3.0)
    assign = Assign("job", 0, "spec", NEED, 400, 4000, [(0, 1), (1, 1)])
    made.frame_received(1.0, "e", Frame(1, 0, 1000, 1000, [assign]))
    runs = [RunId(TaskId("job", 0, n), 1) for n in (0, 1)]
    effects: list[object] = []
    at = 1.01
    while at < 1.25:
        rows = [RunningRun(run, 5) for run in runs]
        effects += made.poll_answered(at + 0.001, PollAnswer(at, rows, []))
        at += 0.05
    assert any(isinstance(effect, StopRun) for effect in effects) is stopped


def test_cold_runners_are_used_if_all_are_cold() -> None:
    fleet = Fleet()
    for runner in fleet.runners.values():
        runner.cold_until = 20.0
    fleet.settle()
    caller = fleet.submit("e0", "job", count=4, length=0.4)
    fleet.run(1.2)
    assert fleet.answers[caller] == Completed()
    assert fleet.answered_at[caller] < 0.6 + COLD_OVERRUN * 0.4 + 0.2


def test_warm_runners_are_preferred_while_they_have_room() -> None:
    fleet = Fleet()
    fleet.runners["t0"].cold_until = 20.0
    fleet.settle()
    for n in range(5):
        fleet.submit("e0", f"job{n}", count=2, length=0.4)
    fleet.run(1.0)
    assert sum(fleet.runners["t0"].starts.values()) == 0
    assert len(fleet.answers) == 5


def test_completions_on_cold_runners_do_not_affect_length_models() -> None:
    """Otherwise entries would refuse jobs that warm runners complete in time."""
    fleet = Fleet(entries=1, targets=1)
    fleet.runners["t0"].cold_until = 20.0
    fleet.settle()
    for n in range(12):
        fleet.submit("e0", f"job{n}", count=2, length=0.4)
        fleet.run(0.8)
    request = JobRequest("last", "spec", 1, NEED, 0.4, 4.0)
    effects = fleet.dispatchers["e0"].submit(fleet.now, 99, request, QUEUE)
    logs = [effect for effect in effects if isinstance(effect, Log)]
    assert [log.fields["length_ms"] for log in logs if log.event == "job_admitted"] == [400]
    assert fleet.dispatchers["e0"].targets()[0].slowness == 1.0


def test_a_runner_that_crashes_and_is_back_cold_loses_no_job() -> None:
    fleet = Fleet(targets=2)
    fleet.settle()
    callers = [fleet.submit("e0", f"a{n}", count=4, length=0.4) for n in range(2)]
    fleet.run(0.1)
    fleet.runners["t0"].crash()
    fleet.run(0.5)
    fleet.runners["t0"].restart()
    fleet.runners["t0"].cold_until = fleet.now + 3.0
    fleet.run(0.5)
    callers += [fleet.submit("e1", f"b{n}", count=4, length=0.4) for n in range(3)]
    fleet.run(4.0)
    assert [fleet.answers.get(caller) for caller in callers] == [Completed()] * 5
