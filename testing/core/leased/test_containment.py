"""Confinement of queues that crash runners, and losses that must not confine any."""

from collections.abc import Callable
from random import Random

import pytest
from leasedfleet import Fleet
from paddleshunt_core.leased.catalog import Queue
from paddleshunt_core.leased.containment import MAX_RETRY_SECONDS
from paddleshunt_core.leased.outcomes import Completed, Refused

QUEUES = {
    name: Queue(name, "host", f"/{name}/", "svc", max_attempts=2, stretch=1.6, latency=0.06)
    for name in ("bad", "worse", "sound")
}
TARGETS = 12


class Workload:
    """Jobs of three queues, submitted to all entries in turn; some crash their runners."""

    def __init__(self, entries: int = 2) -> None:
        self.fleet = Fleet(entries=entries, targets=TARGETS)
        self.fleet.settle()
        self.number = 0
        self.sent: dict[str, list[int]] = {name: [] for name in QUEUES}
        self.keys: dict[int, str] = {}

    def run(
        self,
        seconds: float,
        *crashing: str,
        every: int = 3,
        each: Callable[[float], None] = lambda _: None,
    ) -> None:
        """Advance time with jobs; at each `every`-th step the `crashing` queues crash runners."""
        for step in range(round(seconds / 0.1)):
            each(step * 0.1)
            for name in QUEUES:
                self.number += 1
                entry = self._entry()
                if name in crashing and step % every == 0:
                    self.crash(name)
                else:
                    work = {"count": 4, "length": 0.15, "queue": QUEUES[name], "deadline": 3.0}
                    caller = self.fleet.submit(entry, f"{name}{self.number}", **work)
                    self.sent[name].append(caller)
                    self.keys[caller] = f"{name}{self.number}"
            self.fleet.run(0.1)

    def crash(self, queue: str) -> None:
        """Submit a job with a task that crashes its runners."""
        self.number += 1
        work = {"count": 2, "length": 0.3, "queue": QUEUES[queue], "deadline": 3.0}
        self.fleet.submit_crashing(self._entry(), f"crash{self.number}", **work)

    def _entry(self) -> str:
        up = [name for name, node in self.fleet.entries.items() if node.up]
        return up[self.number % len(up)]

    def confined(self) -> list[set[str]]:
        """Return the confined queues of each running entry."""
        found = []
        for name, node in self.fleet.entries.items():
            if node.up:
                queues = self.fleet.dispatchers[name].describe(self.fleet.now)["confined_queues"]
                assert isinstance(queues, dict)
                found.append(set(queues))
        return found

    def members(self, entry: str = "e0") -> list[str]:
        """Return the targets that the queue `bad` may use."""
        queues = self.fleet.dispatchers[entry].describe(self.fleet.now)["confined_queues"]
        assert isinstance(queues, dict)
        return list(queues["bad"]["targets"])

    def completed(self, queue: str) -> float:
        """Return the completed share of a queue's sound jobs, after waiting for the last ones."""
        self.fleet.run(0.5)
        answers = [self.fleet.answers.get(caller) for caller in self.sent[queue]]
        return sum(answer == Completed() for answer in answers) / len(answers)

    def lost(self) -> int:
        """Return how many times tasks have crashed a runner."""
        return sum(self.fleet.crashes.crashed.values())


@pytest.fixture
def workload() -> Workload:
    return Workload()


def test_a_queue_that_crashes_runners_does_not_bring_the_fleet_down(workload: Workload) -> None:
    workload.run(8.0, "bad")
    workload.run(2.0)
    assert workload.completed("sound") > 0.95
    assert workload.lost() <= 8


def test_all_entries_confine_a_queue_to_the_same_targets(workload: Workload) -> None:
    workload.run(4.0, "bad")
    assert workload.confined() == [{"bad"}, {"bad"}]
    assert workload.members("e0") == workload.members("e1")
    assert len(workload.members()) < TARGETS / 2


def test_a_refused_job_has_not_run_and_gets_a_retry_time(workload: Workload) -> None:
    workload.run(5.0, "bad")
    refused = [
        answer
        for answer in map(workload.fleet.answers.get, workload.sent["bad"])
        if isinstance(answer, Refused) and answer.reason == "confined"
    ]
    assert refused
    assert all(0 < answer.retry_after <= MAX_RETRY_SECONDS for answer in refused)
    started = {task.job for runner in workload.fleet.runners.values() for task in runner.starts}
    for caller in workload.sent["bad"]:
        if isinstance(workload.fleet.answers.get(caller), Refused):
            assert workload.keys[caller] not in started


def test_a_queue_is_released_after_a_while_without_a_loss(workload: Workload) -> None:
    workload.run(4.0, "bad")
    assert workload.confined() == [{"bad"}, {"bad"}]
    workload.run(13.0)
    assert workload.confined() == [set(), set()]
    workload.sent["bad"].clear()
    workload.run(2.0)
    assert workload.completed("bad") > 0.95


def test_a_further_loss_keeps_a_queue_confined(workload: Workload) -> None:
    workload.run(4.0, "bad")
    for _ in range(6):
        workload.crash("bad")
        workload.run(2.0)
    assert workload.confined() == [{"bad"}, {"bad"}]


def test_two_queues_that_crash_runners_are_both_confined(workload: Workload) -> None:
    workload.run(8.0, "bad", "worse", every=9)
    assert workload.confined() == [{"bad", "worse"}] * 2
    workload.run(2.0)
    sound = workload.sent["sound"]
    workload.sent["sound"] = sound[len(sound) // 2 :]
    assert workload.completed("sound") > 0.95


def test_a_restarted_entry_confines_a_queue_as_the_others_do(workload: Workload) -> None:
    workload.run(4.0, "bad")
    workload.fleet.kill("e1")
    workload.fleet.start("e1")
    workload.run(1.0, "bad")
    assert workload.confined() == [{"bad"}, {"bad"}]
    assert workload.members("e0") == workload.members("e1")


def test_a_queue_stays_confined_when_the_reporting_targets_are_gone(workload: Workload) -> None:
    workload.run(4.0, "bad")
    for name in sorted(workload.fleet.targets)[: TARGETS // 2]:
        if name not in workload.members():
            workload.fleet.kill(name)
            workload.fleet.runners[name].crash()
    workload.run(2.0, "bad")
    assert workload.confined() == [{"bad"}, {"bad"}]
    workload.sent["sound"].clear()
    workload.run(2.0, "bad")
    assert workload.completed("sound") > 0.9


def test_a_target_that_leaves_is_replaced_in_the_bulkhead(workload: Workload) -> None:
    workload.run(4.0, "bad")
    members = workload.members()
    for name in members:
        workload.fleet.workers[name].leave(workload.fleet.now)
    workload.run(0.5, "bad")
    assert workload.members()
    assert not set(workload.members()) & set(members)


def test_a_killed_target_is_replaced_after_the_grace_period(workload: Workload) -> None:
    workload.run(4.0, "bad")
    members = workload.members()
    for name in members:
        workload.fleet.kill(name)
        workload.fleet.runners[name].crash()
    workload.run(1.0, "bad")
    assert workload.members() == members
    workload.run(6.0, "bad")
    assert not set(workload.members()) & set(members)


def crash(fleet: Fleet, names: list[str]) -> None:
    for name in names:
        if fleet.runners[name].up:
            fleet.runners[name].crash()
            fleet.runners[name].crashed_at = fleet.now


def all_at_once(fleet: Fleet, at: float) -> list[str]:
    return sorted(fleet.runners) if round(at, 1) in (2.0, 7.0) else []


def half_at_once(fleet: Fleet, at: float) -> list[str]:
    names = sorted(fleet.runners)
    return {1.0: names[:6], 2.0: names[6:], 7.0: names[3:9]}.get(round(at, 1), [])


def in_turn(fleet: Fleet, at: float) -> list[str]:
    due = round(at * 10) % 10 == 0
    return [f"t{round(at * 10) // 10 * 5 % TARGETS}"] if due else []


def flapping(fleet: Fleet, at: float) -> list[str]:
    return ["t3"]


@pytest.mark.parametrize("which", [all_at_once, half_at_once, in_turn, flapping])
def test_unrelated_losses_confine_no_queue(
    workload: Workload, which: Callable[[Fleet, float], list[str]]
) -> None:
    seen: list[set[str]] = []

    def each(at: float) -> None:
        crash(workload.fleet, which(workload.fleet, at))
        seen.extend(workload.confined())

    workload.run(10.0, each=each)
    assert set().union(*seen) == set()


def test_a_runner_that_answers_again_is_no_evidence(workload: Workload) -> None:
    """The same job loses two runners in turn, and both answer again."""
    fleet = workload.fleet
    fleet.submit("e0", "job", count=1, length=1.5, queue=QUEUES["bad"], deadline=9.0)
    for _ in range(2):
        fleet.run(0.2)
        (name,) = [name for name, runner in fleet.runners.items() if runner.running]
        fleet.runners[name].mute = True
        fleet.run(0.1)
        fleet.runners[name].mute = False
        fleet.run(0.1)
    assert workload.confined() == [set(), set()]
    assert not fleet.ends("runner_lost")


class RandomSilences:
    """Makes all runners silent for random periods; none crashes."""

    def __init__(self, fleet: Fleet, seed: int) -> None:
        self._fleet = fleet
        self._rng = Random(seed)
        self._due = {name: self._rng.uniform(0.0, 0.5) for name in sorted(fleet.runners)}

    def advance(self, at: float, until: float) -> None:
        """Toggle the runners that are due; none becomes silent after `until`."""
        for name, due in self._due.items():
            runner = self._fleet.runners[name]
            if at >= due and (runner.mute or at < until):
                runner.mute = not runner.mute
                self._due[name] = at + self._rng.uniform(0.1, 1.0 if runner.mute else 0.8)


@pytest.mark.parametrize("seed", [0, 1, 2, 3, 5])
def test_intermittent_silences_confine_no_queue(workload: Workload, seed: int) -> None:
    silences = RandomSilences(workload.fleet, seed)
    seen: list[set[str]] = []

    def each(at: float) -> None:
        silences.advance(at, 6.0)
        seen.extend(workload.confined())

    workload.run(8.0, each=each)
    assert len(workload.fleet.ends("runner_unreachable")) > 40
    assert set().union(*seen) == set()
    answers = workload.fleet.answers.values()
    assert not [a for a in answers if isinstance(a, Refused) and a.reason == "confined"]


def test_a_flapping_runner_does_not_hide_a_crashing_queue(
    workload: Workload,
) -> None:
    def each(at: float) -> None:
        workload.fleet.runners["t3"].mute = round(at * 10) % 10 in (0, 1, 2)

    workload.run(4.0, "bad", each=each)
    assert workload.confined() == [{"bad"}, {"bad"}]
    assert workload.lost() <= 5
