"""A queue whose tasks crash runners: what it costs the others, and what must confine nobody."""

from collections.abc import Callable
from random import Random

import pytest
from leasedfleet import Fleet
from paddleshunt_core.leased.catalog import Queue
from paddleshunt_core.leased.containment import LONGEST_RETRY_SECONDS
from paddleshunt_core.leased.outcomes import Completed, Refused

QUEUES = {
    name: Queue(name, "host", f"/{name}/", "svc", max_attempts=2, stretch=1.6, latency=0.06)
    for name in ("bad", "worse", "sound")
}
TARGETS = 12


class Day:
    """Jobs of three queues, evenly over the entries of a fleet; some crash their runners."""

    def __init__(self, entries: int = 2) -> None:
        self.fleet = Fleet(entries=entries, targets=TARGETS)
        self.fleet.settle()
        self.number = 0
        self.sent: dict[str, list[int]] = {name: [] for name in QUEUES}
        self.keys: dict[int, str] = {}

    def run(
        self,
        seconds: float,
        *guilty: str,
        every: int = 3,
        each: Callable[[float], None] = lambda _: None,
    ) -> None:
        """Let time pass with jobs; of the `guilty` queues `every` third one crashes its runners."""
        for step in range(round(seconds / 0.1)):
            each(step * 0.1)
            for name in QUEUES:
                self.number += 1
                entry = self._entry()
                if name in guilty and step % every == 0:
                    self.crash(name)
                else:
                    work = {"count": 4, "length": 0.15, "queue": QUEUES[name], "deadline": 3.0}
                    caller = self.fleet.submit(entry, f"{name}{self.number}", **work)
                    self.sent[name].append(caller)
                    self.keys[caller] = f"{name}{self.number}"
            self.fleet.run(0.1)

    def crash(self, queue: str) -> None:
        """Hand in a job with a task that crashes its runners."""
        self.number += 1
        work = {"count": 2, "length": 0.3, "queue": QUEUES[queue], "deadline": 3.0}
        self.fleet.submit_crashing(self._entry(), f"crash{self.number}", **work)

    def _entry(self) -> str:
        up = [name for name, node in self.fleet.entries.items() if node.up]
        return up[self.number % len(up)]

    def confined(self) -> list[set[str]]:
        """Return which queues are confined at each entry that is up."""
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
        """Return the share of a queue's sound jobs that completed; let the last ones end."""
        self.fleet.run(0.5)
        answers = [self.fleet.answers.get(caller) for caller in self.sent[queue]]
        return sum(answer == Completed() for answer in answers) / len(answers)

    def lost(self) -> int:
        """Return the runners that tasks have crashed."""
        return sum(self.fleet.crashes.crashed.values())


@pytest.fixture
def day() -> Day:
    return Day()


def test_a_queue_whose_tasks_crash_runners_does_not_take_the_fleet(day: Day) -> None:
    day.run(8.0, "bad")
    day.run(2.0)
    assert day.completed("sound") > 0.95
    assert day.lost() <= 8


def test_all_entries_confine_it_to_the_same_targets(day: Day) -> None:
    day.run(4.0, "bad")
    assert day.confined() == [{"bad"}, {"bad"}]
    assert day.members("e0") == day.members("e1")
    assert len(day.members()) < TARGETS / 2


def test_a_job_that_is_refused_meanwhile_has_not_run_and_is_told_when_to_come(day: Day) -> None:
    day.run(5.0, "bad")
    refused = [
        answer
        for answer in map(day.fleet.answers.get, day.sent["bad"])
        if isinstance(answer, Refused) and answer.reason == "confined"
    ]
    assert refused
    assert all(0 < answer.retry_after <= LONGEST_RETRY_SECONDS for answer in refused)
    started = {task.job for runner in day.fleet.runners.values() for task in runner.starts}
    for caller in day.sent["bad"]:
        if isinstance(day.fleet.answers.get(caller), Refused):
            assert day.keys[caller] not in started


def test_it_is_free_again_after_a_while_without_a_loss(day: Day) -> None:
    day.run(4.0, "bad")
    assert day.confined() == [{"bad"}, {"bad"}]
    day.run(13.0)
    assert day.confined() == [set(), set()]
    day.sent["bad"].clear()
    day.run(2.0)
    assert day.completed("bad") > 0.95


def test_a_loss_in_its_few_targets_keeps_it_confined(day: Day) -> None:
    day.run(4.0, "bad")
    for _ in range(6):
        day.crash("bad")
        day.run(2.0)
    assert day.confined() == [{"bad"}, {"bad"}]


def test_two_guilty_queues_are_both_confined(day: Day) -> None:
    day.run(8.0, "bad", "worse", every=9)
    assert day.confined() == [{"bad", "worse"}] * 2
    day.run(2.0)
    sound = day.sent["sound"]
    day.sent["sound"] = sound[len(sound) // 2 :]
    assert day.completed("sound") > 0.95


def test_an_entry_that_starts_anew_confines_it_as_the_others_do(day: Day) -> None:
    day.run(4.0, "bad")
    day.fleet.kill("e1")
    day.fleet.start("e1")
    day.run(1.0, "bad")
    assert day.confined() == [{"bad"}, {"bad"}]
    assert day.members("e0") == day.members("e1")


def test_the_targets_that_told_may_all_end(day: Day) -> None:
    day.run(4.0, "bad")
    for name in sorted(day.fleet.targets)[: TARGETS // 2]:
        if name not in day.members():
            day.fleet.kill(name)
            day.fleet.runners[name].crash()
    day.run(2.0, "bad")
    assert day.confined() == [{"bad"}, {"bad"}]
    day.sent["sound"].clear()
    day.run(2.0, "bad")
    assert day.completed("sound") > 0.9


def test_another_target_takes_the_place_of_one_that_leaves(day: Day) -> None:
    day.run(4.0, "bad")
    members = day.members()
    for name in members:
        day.fleet.workers[name].leave(day.fleet.now)
    day.run(0.5, "bad")
    assert day.members()
    assert not set(day.members()) & set(members)


def test_a_target_that_ends_keeps_its_place_for_a_while_only(day: Day) -> None:
    day.run(4.0, "bad")
    members = day.members()
    for name in members:
        day.fleet.kill(name)
        day.fleet.runners[name].crash()
    day.run(1.0, "bad")
    assert day.members() == members
    day.run(6.0, "bad")
    assert not set(day.members()) & set(members)


def down(fleet: Fleet, names: list[str]) -> None:
    for name in names:
        if fleet.runners[name].up:
            fleet.runners[name].crash()
            fleet.runners[name].crashed_at = fleet.now


def all_at_once(fleet: Fleet, at: float) -> list[str]:
    return sorted(fleet.runners) if round(at, 1) in (2.0, 7.0) else []


def half_at_once(fleet: Fleet, at: float) -> list[str]:
    names = sorted(fleet.runners)
    return {1.0: names[:6], 2.0: names[6:], 7.0: names[3:9]}.get(round(at, 1), [])


def by_turns(fleet: Fleet, at: float) -> list[str]:
    due = round(at * 10) % 10 == 0
    return [f"t{round(at * 10) // 10 * 5 % TARGETS}"] if due else []


def one_that_flaps(fleet: Fleet, at: float) -> list[str]:
    return ["t3"]


@pytest.mark.parametrize("which", [all_at_once, half_at_once, by_turns, one_that_flaps])
def test_runners_that_are_lost_otherwise_confine_nobody(
    day: Day, which: Callable[[Fleet, float], list[str]]
) -> None:
    seen: list[set[str]] = []

    def each(at: float) -> None:
        down(day.fleet, which(day.fleet, at))
        seen.extend(day.confined())

    day.run(10.0, each=each)
    assert set().union(*seen) == set()


def test_a_runner_that_was_only_silent_is_no_evidence(day: Day) -> None:
    """Two in turn stand still with the same job; each answers again."""
    fleet = day.fleet
    fleet.submit("e0", "job", count=1, length=1.5, queue=QUEUES["bad"], deadline=9.0)
    for _ in range(2):
        fleet.run(0.2)
        (name,) = [name for name, runner in fleet.runners.items() if runner.running]
        fleet.runners[name].mute = True
        fleet.run(0.1)
        fleet.runners[name].mute = False
        fleet.run(0.1)
    assert day.confined() == [set(), set()]
    assert not fleet.ends("runner_lost")


class Silences:
    """All runners fall silent for moments, each by itself, and answer again; none crashes."""

    def __init__(self, fleet: Fleet, seed: int) -> None:
        self._fleet = fleet
        self._rng = Random(seed)
        self._due = {name: self._rng.uniform(0.0, 0.5) for name in sorted(fleet.runners)}

    def follow(self, at: float, until: float) -> None:
        """Let those fall silent, up to a time, or answer again, whose time it is."""
        for name, due in self._due.items():
            runner = self._fleet.runners[name]
            if at >= due and (runner.mute or at < until):
                runner.mute = not runner.mute
                self._due[name] = at + self._rng.uniform(0.1, 1.0 if runner.mute else 0.8)


@pytest.mark.parametrize("seed", [0, 1, 2, 3, 5])
def test_runners_that_fall_silent_and_answer_again_confine_nobody(day: Day, seed: int) -> None:
    silences = Silences(day.fleet, seed)
    seen: list[set[str]] = []

    def each(at: float) -> None:
        silences.follow(at, 6.0)
        seen.extend(day.confined())

    day.run(8.0, each=each)
    assert len(day.fleet.ends("runner_unreachable")) > 40
    assert set().union(*seen) == set()
    answers = day.fleet.answers.values()
    assert not [a for a in answers if isinstance(a, Refused) and a.reason == "confined"]


def test_one_runner_that_falls_silent_now_and_then_hides_no_queue_that_crashes_others(
    day: Day,
) -> None:
    def each(at: float) -> None:
        day.fleet.runners["t3"].mute = round(at * 10) % 10 in (0, 1, 2)

    day.run(4.0, "bad", each=each)
    assert day.confined() == [{"bad"}, {"bad"}]
    assert day.lost() <= 5
