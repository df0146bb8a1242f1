"""Soak test: concurrent random faults on a fleet of leased jobs.

`Fleet.check` runs after each step: no task runs twice at once, and no runner exceeds its capacity.
Callers behave like the platform's: without an answer they submit the job again, to another entry,
after the bound `resend`. `PADDLESHUNT_SOAK` sets the number of seeds.
"""

import os
from collections.abc import Callable
from random import Random

import pytest
from leasedfleet import CAPACITY, Fleet
from paddleshunt_core.leased.bounds import Bounds
from paddleshunt_core.leased.outcomes import Completed, GivenUp, Refused
from paddleshunt_core.leased.resources import Resources
from paddleshunt_core.leased.wire import TaskId

SEEDS = int(os.environ.get("PADDLESHUNT_SOAK", "3"))
SOAK_SECONDS = 12.0
JOBS_PER_SECOND = 8
STOP_SECONDS = 0.05
"""Seconds that a runner's stop takes if restarted runners keep their ids."""

FAULT_SECONDS = 0.7
"""Mean seconds between two faults."""

WIDE = Bounds(resend=2.4, hold_max=1.2, stop=0.1)


class Soak:
    """A fleet with its callers and faults."""

    def __init__(self, seed: int, bounds: Bounds, *, keep_ids: bool = False) -> None:
        self.rng = Random(seed)
        self.resend = bounds.resend
        self.fleet = Fleet(entries=4, targets=6, bounds=bounds)
        if keep_ids:
            self.fleet.lives = Random(f"lives {seed}")
            self.fleet.runners["t5"].born = 0
            for runner in self.fleet.runners.values():
                runner.stop_seconds = STOP_SECONDS
        for runner in list(self.fleet.runners.values())[::2]:
            runner.guards = False
        self.undos: list[tuple[float, Callable[[], None]]] = []
        self.callers: dict[int, tuple[str, str]] = {}
        """By caller: the key of its job and the entry where it waits."""
        self.resubmissions: list[tuple[float, str]] = []
        self.sent: dict[str, int] = {}
        self.keys = 0

    def run(self) -> None:
        self.fleet.settle()
        end = self.fleet.now + SOAK_SECONDS
        next_fault = self.fleet.now
        while self.fleet.now < end:
            if self.fleet.now >= next_fault:
                next_fault += self.rng.expovariate(1 / FAULT_SECONDS)
                self.inject_fault()
            if self.rng.random() < JOBS_PER_SECOND * 0.05:
                self.submit(f"job{self.keys}")
                self.keys += 1
            self.fleet.run(0.05)
            self.undo(self.fleet.now)
            self.resubmit()
        self.undo(float("inf"))
        self.fleet.heal()

    def submit(self, key: str) -> None:
        entries = [name for name, node in self.fleet.entries.items() if node.moves]
        if not entries:
            self.resubmissions.append((self.fleet.now + self.resend, key))
            return
        entry = self.rng.choice(entries)
        length = self.rng.choice([0.1, 0.4, 1.5])
        caller = self.fleet.submit(
            entry, key, count=self.rng.randint(1, 6), length=self.fleet.lengths.get(key, length)
        )
        self.callers[caller] = (key, entry)
        self.sent[key] = self.sent.get(key, 0) + 1

    def resubmit(self) -> None:
        """Submit jobs again for callers whose entry was lost or whose job was given up."""
        for caller, (key, entry) in list(self.callers.items()):
            outcome = self.fleet.answers.get(caller)
            lost = outcome is None and not self.fleet.entries[entry].up
            if lost or isinstance(outcome, GivenUp):
                del self.callers[caller]
                self.resubmissions.append((self.fleet.now + self.resend, key))
        due = [key for at, key in self.resubmissions if at <= self.fleet.now]
        self.resubmissions = [(at, key) for at, key in self.resubmissions if at > self.fleet.now]
        for key in due:
            self.submit(key)

    def inject_fault(self) -> None:
        fault = self.rng.choice(
            [
                self.kill,
                self.freeze,
                self.cut,
                self.crash_runner,
                self.mute_runner,
                self.slow_runner,
                self.delay_orders,
                self.lose_answers,
                self.retire,
                self.submit_crashing_job,
                self.shrink,
            ]
        )
        fault()

    def schedule_undo(self, undo: Callable[[], None]) -> None:
        self.undos.append((self.fleet.now + self.rng.uniform(0.1, 2.5), undo))

    def undo(self, now: float) -> None:
        due = [undo for at, undo in self.undos if at <= now]
        self.undos = [(at, undo) for at, undo in self.undos if at > now]
        for undo in due:
            undo()

    def random_node(self) -> str:
        return self.rng.choice([*self.fleet.entries, *self.fleet.targets])

    def kill(self) -> None:
        name = self.random_node()
        if (self.fleet.entries.get(name) or self.fleet.targets[name]).moves:
            self.fleet.kill(name)
            self.schedule_undo(lambda: self.fleet.start(name))

    def freeze(self) -> None:
        name = self.random_node()
        self.fleet.freeze(name)
        self.schedule_undo(lambda: self.fleet.thaw(name))

    def cut(self) -> None:
        pair = (self.rng.choice([*self.fleet.entries]), self.rng.choice([*self.fleet.targets]))
        for sender, receiver in self.rng.choice([[pair], [pair[::-1]], [pair, pair[::-1]]]):
            self.fleet.cut(sender, receiver)
        self.schedule_undo(self.fleet.heal)

    def crash_runner(self) -> None:
        runner = self.rng.choice([*self.fleet.runners.values()])
        if runner.up:
            runner.crash()
            self.schedule_undo(lambda: self.fleet.bring_back(runner))

    def mute_runner(self) -> None:
        self._set("mute", True, False)

    def slow_runner(self) -> None:
        self._set("speed", 0.1, 1.0)

    def delay_orders(self) -> None:
        self._set("late", 0.6, None)

    def lose_answers(self) -> None:
        self._set("loses_answers", True, False)

    def _set(self, field: str, value: object, normal: object) -> None:
        runner = self.rng.choice([*self.fleet.runners.values()])
        setattr(runner, field, value)
        self.schedule_undo(lambda: setattr(runner, field, normal))

    def submit_crashing_job(self) -> None:
        """Submit jobs with a task that crashes each runner that starts it."""
        for _ in range(self.rng.randint(1, 2)):
            key = f"bad{self.keys}"
            self.keys += 1
            self.fleet.crashes.after[TaskId(key, 0, 0)] = self.rng.choice([0.01, 0.08, 0.3])
            self.submit(key)

    def shrink(self) -> None:
        """Reduce a runner's capacity, possibly to nothing, and restore it later."""
        runner = self.rng.choice([*self.fleet.runners.values()])
        runner.resize(self.fleet.now, Resources(self.rng.choice([0, 2000, 5000]), 8000))
        self.schedule_undo(lambda: runner.resize(self.fleet.now, CAPACITY))

    def retire(self) -> None:
        """Make a target prefer two random entries."""
        name = self.rng.choice([*self.fleet.targets])
        preferred = set(self.rng.sample([*self.fleet.entries], 2))
        self.fleet.workers[name].retire(self.fleet.now, preferred)


@pytest.fixture(params=[Bounds(), WIDE], ids=["council", "wide"])
def bounds(request: pytest.FixtureRequest) -> Bounds:
    value: Bounds = request.param
    return value


def check_refusals(soak: Soak) -> None:
    """Check that no refused job has run."""
    fleet = soak.fleet
    started: set[TaskId] = {task for r in fleet.runners.values() for task in r.starts}
    keys = {task.job for task in started}
    refused = {
        key
        for caller, (key, _) in soak.callers.items()
        if isinstance(fleet.answers.get(caller), Refused) and soak.sent[key] == 1
    }
    assert not refused & keys, "a refused job has run"


def check_recovery(soak: Soak) -> None:
    """Check that each entry completes a job once all faults are over."""
    fleet = soak.fleet
    for name in [*fleet.entries, *fleet.targets]:
        fleet.thaw(name)
    fleet.run(8.0)
    callers = [fleet.submit(entry, f"after-{entry}", count=4) for entry in fleet.entries]
    fleet.run(2.0)
    assert [fleet.answers.get(caller) for caller in callers] == [Completed()] * len(callers)


@pytest.mark.parametrize("seed", range(SEEDS))
def test_invariants_hold_under_random_faults(seed: int, bounds: Bounds) -> None:
    soak = Soak(seed, bounds)
    soak.run()
    check_refusals(soak)


@pytest.mark.parametrize("seed", range(SEEDS))
def test_invariants_hold_if_restarted_runners_keep_their_ids(seed: int, bounds: Bounds) -> None:
    soak = Soak(seed, bounds, keep_ids=True)
    soak.run()
    check_refusals(soak)
    check_recovery(soak)


@pytest.mark.parametrize("seed", range(SEEDS))
def test_jobs_complete_after_the_faults(seed: int, bounds: Bounds) -> None:
    soak = Soak(seed, bounds)
    soak.run()
    check_recovery(soak)
