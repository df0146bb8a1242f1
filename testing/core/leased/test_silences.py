"""Confinement by runners that are only silent: what it rests on may be taken back."""

import pytest
from paddleshunt_core.events import Log
from paddleshunt_core.leased.bounds import Bounds, lease_times
from paddleshunt_core.leased.catalog import Queue
from paddleshunt_core.leased.containment import Containment
from paddleshunt_core.leased.crashevidence import RETURN_WAIT_LEASES
from paddleshunt_core.leased.resources import Resources
from paddleshunt_core.leased.targets import TargetRecord
from paddleshunt_core.leased.targetsnapshot import TargetSnapshot
from paddleshunt_core.leased.wire import (
    Health,
    LossId,
    RunnerReport,
    RunnerReturned,
    RunnerSilent,
    RunnerState,
    TaskId,
)

TIMES = lease_times(Bounds())
ROOM = Resources(8000, 8000, 0)


def target(name: str) -> TargetRecord:
    record = TargetRecord(name, "hall", "1")
    record.report = RunnerReport("svc", name, RunnerState.READY, Health.GOOD, ROOM, ROOM)
    return record


class Judge:
    """One entry's containment, told of runners by hand."""

    def __init__(self) -> None:
        self.containment = Containment(TIMES.hold)
        self.targets = [target(f"t{n}") for n in range(12)]
        self.since: dict[str, int] = {}
        for name in ("bad", "sound"):
            queue = Queue(name, "host", f"/{name}/", "svc")
            self.containment.set_service(0.0, queue, lambda: self.targets)

    def silent(self, at: float, runner: str, **work: tuple[str, int]) -> list[Log]:
        """Tell of a runner's silence; `work`: the queue and milliseconds of each job's one task."""
        tasks = [TaskId(job, 0, 0) for job in work]
        queues = [queue for queue, _ in work.values()]
        worked = [ms for _, ms in work.values()]
        self.since[runner] = round(at * 1000)
        news = RunnerSilent(LossId(runner, self.since[runner]), tasks, queues, worked)
        return self.containment.learn(at, news, lambda: self.targets)[1]

    def returned(self, at: float, runner: str) -> list[Log]:
        """Tell that a runner answers again."""
        news = RunnerReturned(LossId(runner, self.since[runner]))
        return self.containment.learn(at, news, lambda: self.targets)[1]

    def follow(self, at: float) -> list[Log]:
        """Let time pass."""
        return self.containment.follow(at, self.targets, TargetSnapshot(at, self.targets, TIMES))

    def confined(self) -> dict[str, object]:
        """Return the confined queues, and how many further losses each had."""
        described = self.containment.describe()
        assert all(isinstance(queue, dict) for queue in described.values())
        return {name: queue["losses"] for name, queue in described.items()}  # type: ignore[index]


def events(logs: list[Log]) -> list[str]:
    return [log.event for log in logs]


@pytest.fixture
def judge() -> Judge:
    """Return one that has just confined the queue `bad`, for the runners r0 and r1."""
    judge = Judge()
    assert judge.silent(1.0, "r0", a=("bad", 10), b=("sound", 400)) == []
    logs = judge.silent(1.9, "r1", a=("bad", 10), c=("sound", 300))
    assert events(logs) == ["queue_confined"]
    assert logs[0].fields["runners"] == "r0,r1"
    assert set(judge.confined()) == {"bad"}
    return judge


@pytest.mark.parametrize("runner", ["r0", "r1"])
def test_a_queue_is_free_at_once_when_what_it_was_confined_for_is_taken_back(
    judge: Judge, runner: str
) -> None:
    logs = judge.returned(2.0, runner)
    assert events(logs) == ["queue_evidence_taken_back", "queue_released"]
    assert logs[0].fields["answers"] == runner
    assert logs[0].fields["second_losses_left"] == 0
    assert logs[1].fields["reason"] == "taken_back"
    assert not judge.confined()


def test_a_runner_that_answers_again_and_was_no_evidence_frees_nobody(judge: Judge) -> None:
    judge.silent(2.0, "r2", d=("bad", 100))
    assert judge.returned(2.2, "r2") == []
    assert set(judge.confined()) == {"bad"}


def test_a_queue_stays_confined_by_what_is_left(judge: Judge) -> None:
    judge.silent(2.8, "r2", a=("bad", 10))
    logs = judge.returned(2.9, "r1")
    assert events(logs) == ["queue_evidence_taken_back"]
    assert logs[0].fields["second_losses_left"] == 1
    assert set(judge.confined()) == {"bad"}
    assert events(judge.returned(3.0, "r2"))[-1] == "queue_released"


def test_what_is_left_counts_with_the_next_loss(judge: Judge) -> None:
    judge.returned(2.0, "r1")
    logs = judge.silent(2.8, "r2", a=("bad", 10))
    assert events(logs) == ["queue_confined"]
    assert logs[0].fields["runners"] == "r0,r2"


def test_a_queue_that_was_freed_for_another_is_judged_anew_when_that_one_is_free() -> None:
    judge = Judge()
    judge.silent(1.0, "r0", a=("sound", 300), b=("bad", 10))
    logs = judge.silent(1.9, "r1", a=("sound", 900), c=("bad", 90))
    assert events(logs) == ["queue_confined"]
    logs = judge.silent(2.8, "r2", b=("bad", 1))
    assert events(logs) == ["queue_confined", "queue_released"]
    assert logs[1].fields["reason"] == "explained_by_bad"
    logs = judge.returned(3.0, "r2")
    assert events(logs) == ["queue_evidence_taken_back", "queue_released", "queue_confined"]
    assert set(judge.confined()) == {"sound"}


def test_while_most_runners_answer_again_a_silence_confines_only_once_it_lasts() -> None:
    judge = Judge()
    for runner in ("back0", "back1"):
        judge.silent(0.5, runner, x=("sound", 100))
        judge.returned(0.6, runner)
    judge.silent(1.0, "r0", a=("bad", 10))
    judge.silent(1.9, "r1", a=("bad", 10))
    assert judge.containment.depends_on_time
    late = 1.9 + RETURN_WAIT_LEASES * TIMES.hold
    assert judge.follow(late - 0.01) == []
    assert events(judge.follow(late + 0.01)) == ["queue_confined"]


def test_a_queue_is_free_as_most_runners_answer_again_though_its_own_do_not_yet(
    judge: Judge,
) -> None:
    for runner in ("back0", "back1"):
        judge.silent(2.0, runner, x=("sound", 100))
    assert judge.returned(2.1, "back0") == []
    logs = judge.returned(2.2, "back1")
    assert events(logs) == ["queue_evidence_taken_back", "queue_released"]
    assert logs[0].fields["runners"] == "r0,r1"
    assert events(judge.follow(1.9 + RETURN_WAIT_LEASES * TIMES.hold + 0.01)) == ["queue_confined"]


def test_a_silence_that_is_no_evidence_prolongs_no_confinement(judge: Judge) -> None:
    judge.silent(2.0, "back", x=("sound", 100))
    judge.returned(2.1, "back")
    judge.silent(2.2, "back", y=("bad", 200))
    assert judge.confined() == {"bad": 0}
    judge.silent(2.3, "r2", z=("bad", 200))
    assert judge.confined() == {"bad": 1}
