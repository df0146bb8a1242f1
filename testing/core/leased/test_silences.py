"""Tests of confinement because of silent runners, whose evidence may be withdrawn."""

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


class ContainmentDriver:
    """Drives one entry's containment with reports on runners."""

    def __init__(self) -> None:
        self.containment = Containment(TIMES.hold)
        self.targets = [target(f"t{n}") for n in range(12)]
        self.since: dict[str, int] = {}
        for name in ("bad", "sound"):
            queue = Queue(name, "host", f"/{name}/", "svc")
            self.containment.set_service(0.0, queue, lambda: self.targets)

    def silent(self, at: float, runner: str, **work: tuple[str, int]) -> list[Log]:
        """Report a silent runner; `work`: queue and milliseconds of the one task of each job."""
        tasks = [TaskId(job, 0, 0) for job in work]
        queues = [queue for queue, _ in work.values()]
        worked = [ms for _, ms in work.values()]
        self.since[runner] = round(at * 1000)
        news = RunnerSilent(LossId(runner, self.since[runner]), tasks, queues, worked)
        return self.containment.learn(at, news, lambda: self.targets)[1]

    def returned(self, at: float, runner: str) -> list[Log]:
        """Report that a runner answers again."""
        news = RunnerReturned(LossId(runner, self.since[runner]))
        return self.containment.learn(at, news, lambda: self.targets)[1]

    def advance(self, at: float) -> list[Log]:
        """Advance the containment to a time."""
        return self.containment.tick(at, self.targets, TargetSnapshot(at, self.targets, TIMES))

    def confined(self) -> dict[str, object]:
        """Return the confined queues, and how many further losses each had."""
        described = self.containment.describe()
        assert all(isinstance(queue, dict) for queue in described.values())
        return {name: queue["losses"] for name, queue in described.items()}  # type: ignore[index]


def events(logs: list[Log]) -> list[str]:
    return [log.event for log in logs]


@pytest.fixture
def driver() -> ContainmentDriver:
    """A driver that has just confined the queue `bad` because of the runners r0 and r1."""
    driver = ContainmentDriver()
    assert driver.silent(1.0, "r0", a=("bad", 10), b=("sound", 400)) == []
    logs = driver.silent(1.9, "r1", a=("bad", 10), c=("sound", 300))
    assert events(logs) == ["queue_confined"]
    assert logs[0].fields["runners"] == "r0,r1"
    assert set(driver.confined()) == {"bad"}
    return driver


@pytest.mark.parametrize("runner", ["r0", "r1"])
def test_queue_is_released_at_once_when_its_evidence_is_withdrawn(
    driver: ContainmentDriver, runner: str
) -> None:
    logs = driver.returned(2.0, runner)
    assert events(logs) == ["queue_evidence_taken_back", "queue_released"]
    assert logs[0].fields["answers"] == runner
    assert logs[0].fields["second_losses_left"] == 0
    assert logs[1].fields["reason"] == "taken_back"
    assert not driver.confined()


def test_return_of_a_runner_that_is_no_evidence_releases_nothing(driver: ContainmentDriver) -> None:
    driver.silent(2.0, "r2", d=("bad", 100))
    assert driver.returned(2.2, "r2") == []
    assert set(driver.confined()) == {"bad"}


def test_queue_stays_confined_while_evidence_is_left(driver: ContainmentDriver) -> None:
    driver.silent(2.8, "r2", a=("bad", 10))
    logs = driver.returned(2.9, "r1")
    assert events(logs) == ["queue_evidence_taken_back"]
    assert logs[0].fields["second_losses_left"] == 1
    assert set(driver.confined()) == {"bad"}
    assert events(driver.returned(3.0, "r2"))[-1] == "queue_released"


def test_remaining_evidence_counts_with_the_next_loss(driver: ContainmentDriver) -> None:
    driver.returned(2.0, "r1")
    logs = driver.silent(2.8, "r2", a=("bad", 10))
    assert events(logs) == ["queue_confined"]
    assert logs[0].fields["runners"] == "r0,r2"


def test_queue_released_for_another_is_confined_again_when_that_one_is_released() -> None:
    driver = ContainmentDriver()
    driver.silent(1.0, "r0", a=("sound", 300), b=("bad", 10))
    logs = driver.silent(1.9, "r1", a=("sound", 900), c=("bad", 90))
    assert events(logs) == ["queue_confined"]
    logs = driver.silent(2.8, "r2", b=("bad", 1))
    assert events(logs) == ["queue_confined", "queue_released"]
    assert logs[1].fields["reason"] == "explained_by_bad"
    logs = driver.returned(3.0, "r2")
    assert events(logs) == ["queue_evidence_taken_back", "queue_released", "queue_confined"]
    assert set(driver.confined()) == {"sound"}


def test_silence_confines_only_once_it_lasts_while_most_runners_return() -> None:
    driver = ContainmentDriver()
    for runner in ("back0", "back1"):
        driver.silent(0.5, runner, x=("sound", 100))
        driver.returned(0.6, runner)
    driver.silent(1.0, "r0", a=("bad", 10))
    driver.silent(1.9, "r1", a=("bad", 10))
    assert driver.containment.depends_on_time
    late = 1.9 + RETURN_WAIT_LEASES * TIMES.hold
    assert driver.advance(late - 0.01) == []
    assert events(driver.advance(late + 0.01)) == ["queue_confined"]


def test_queue_is_released_when_most_runners_return_even_if_its_own_do_not(
    driver: ContainmentDriver,
) -> None:
    for runner in ("back0", "back1"):
        driver.silent(2.0, runner, x=("sound", 100))
    assert driver.returned(2.1, "back0") == []
    logs = driver.returned(2.2, "back1")
    assert events(logs) == ["queue_evidence_taken_back", "queue_released"]
    assert logs[0].fields["runners"] == "r0,r1"
    assert events(driver.advance(1.9 + RETURN_WAIT_LEASES * TIMES.hold + 0.01)) == [
        "queue_confined"
    ]


def test_silence_that_is_no_evidence_extends_no_confinement(driver: ContainmentDriver) -> None:
    driver.silent(2.0, "back", x=("sound", 100))
    driver.returned(2.1, "back")
    driver.silent(2.2, "back", y=("bad", 200))
    assert driver.confined() == {"bad": 0}
    driver.silent(2.3, "r2", z=("bad", 200))
    assert driver.confined() == {"bad": 1}
