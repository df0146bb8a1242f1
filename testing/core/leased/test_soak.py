"""A soak: random faults, several at once, on a fleet of leased jobs; the rules hold at each step.

`Fleet.check` runs after each step: no task runs twice at once, and no runner is over its capacity.
Callers do as the platform's do: who meets silence sends the same job again, to another entry, once
the bound `resend` has passed. `PADDLESHUNT_SOAK` gives the number of seeds.
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
SECONDS = 12.0
JOBS_A_SECOND = 8
STOP_SECONDS = 0.05
"""Seconds that a stop takes where runners come back under their ids."""

FAULT_SECONDS = 0.7
"""Mean pause between two faults."""

WIDE = Bounds(resend=2.4, hold_max=1.2, stop=0.1)


class Soak:
    """One fleet, its callers and its faults."""

    def __init__(self, seed: int, bounds: Bounds, *, returns: bool = False) -> None:
        self.rng = Random(seed)
        self.resend = bounds.resend
        self.fleet = Fleet(entries=4, targets=6, bounds=bounds)
        if returns:
            self.fleet.lives = Random(f"lives {seed}")
            self.fleet.runners["t5"].born = 0
            for runner in self.fleet.runners.values():
                runner.stop_seconds = STOP_SECONDS
        for runner in list(self.fleet.runners.values())[::2]:
            runner.guards = False
        self.ends: list[tuple[float, Callable[[], None]]] = []
        self.callers: dict[int, tuple[str, str]] = {}
        """The key of each caller's job, and the entry it waits at."""
        self.again: list[tuple[float, str]] = []
        self.sent: dict[str, int] = {}
        self.keys = 0

    def run(self) -> None:
        self.fleet.settle()
        end = self.fleet.now + SECONDS
        next_fault = self.fleet.now
        while self.fleet.now < end:
            if self.fleet.now >= next_fault:
                next_fault += self.rng.expovariate(1 / FAULT_SECONDS)
                self.strike()
            if self.rng.random() < JOBS_A_SECOND * 0.05:
                self.submit(f"job{self.keys}")
                self.keys += 1
            self.fleet.run(0.05)
            self.undo(self.fleet.now)
            self.send_again()
        self.undo(float("inf"))
        self.fleet.heal()

    # Callers.

    def submit(self, key: str) -> None:
        entries = [name for name, node in self.fleet.entries.items() if node.moves]
        if not entries:
            self.again.append((self.fleet.now + self.resend, key))
            return
        entry = self.rng.choice(entries)
        length = self.rng.choice([0.1, 0.4, 1.5])
        caller = self.fleet.submit(
            entry, key, count=self.rng.randint(1, 6), length=self.fleet.lengths.get(key, length)
        )
        self.callers[caller] = (key, entry)
        self.sent[key] = self.sent.get(key, 0) + 1

    def send_again(self) -> None:
        """Let callers whose entry was lost or who were given up send again."""
        for caller, (key, entry) in list(self.callers.items()):
            outcome = self.fleet.answers.get(caller)
            lost = outcome is None and not self.fleet.entries[entry].up
            if lost or isinstance(outcome, GivenUp):
                del self.callers[caller]
                self.again.append((self.fleet.now + self.resend, key))
        due = [key for at, key in self.again if at <= self.fleet.now]
        self.again = [(at, key) for at, key in self.again if at > self.fleet.now]
        for key in due:
            self.submit(key)

    # Faults.

    def strike(self) -> None:
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
                self.hand_in_crashing,
                self.shrink,
            ]
        )
        fault()

    def until(self, undo: Callable[[], None]) -> None:
        self.ends.append((self.fleet.now + self.rng.uniform(0.1, 2.5), undo))

    def undo(self, now: float) -> None:
        due = [undo for at, undo in self.ends if at <= now]
        self.ends = [(at, undo) for at, undo in self.ends if at > now]
        for undo in due:
            undo()

    def node(self) -> str:
        return self.rng.choice([*self.fleet.entries, *self.fleet.targets])

    def kill(self) -> None:
        name = self.node()
        if (self.fleet.entries.get(name) or self.fleet.targets[name]).moves:
            self.fleet.kill(name)
            self.until(lambda: self.fleet.start(name))

    def freeze(self) -> None:
        name = self.node()
        self.fleet.freeze(name)
        self.until(lambda: self.fleet.thaw(name))

    def cut(self) -> None:
        pair = (self.rng.choice([*self.fleet.entries]), self.rng.choice([*self.fleet.targets]))
        for sender, receiver in self.rng.choice([[pair], [pair[::-1]], [pair, pair[::-1]]]):
            self.fleet.cut(sender, receiver)
        self.until(self.fleet.heal)

    def crash_runner(self) -> None:
        runner = self.rng.choice([*self.fleet.runners.values()])
        if runner.up:
            runner.crash()
            self.until(lambda: self.fleet.bring_back(runner))

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
        self.until(lambda: setattr(runner, field, normal))

    def hand_in_crashing(self) -> None:
        """Hand in jobs of which a task crashes each runner that starts it."""
        for _ in range(self.rng.randint(1, 2)):
            key = f"bad{self.keys}"
            self.keys += 1
            self.fleet.crashes.after[TaskId(key, 0, 0)] = self.rng.choice([0.01, 0.08, 0.3])
            self.submit(key)

    def shrink(self) -> None:
        """Let a runner shrink, also to nothing, and grow again."""
        runner = self.rng.choice([*self.fleet.runners.values()])
        runner.resize(self.fleet.now, Resources(self.rng.choice([0, 2000, 5000]), 8000))
        self.until(lambda: runner.resize(self.fleet.now, CAPACITY))

    def retire(self) -> None:
        """Let a target prefer other entries for a moment."""
        name = self.rng.choice([*self.fleet.targets])
        preferred = set(self.rng.sample([*self.fleet.entries], 2))
        self.fleet.workers[name].retire(self.fleet.now, preferred)


@pytest.fixture(params=[Bounds(), WIDE], ids=["council", "wide"])
def bounds(request: pytest.FixtureRequest) -> Bounds:
    value: Bounds = request.param
    return value


def check_refusals(soak: Soak) -> None:
    """Check that no job has run that was refused."""
    fleet = soak.fleet
    started: set[TaskId] = {task for r in fleet.runners.values() for task in r.starts}
    keys = {task.job for task in started}
    refused = {
        key
        for caller, (key, _) in soak.callers.items()
        if isinstance(fleet.answers.get(caller), Refused) and soak.sent[key] == 1
    }
    assert not refused & keys, "a job that was refused has run"


def check_that_work_goes_on(soak: Soak) -> None:
    """Check that each entry's job is served once all is well again."""
    fleet = soak.fleet
    for name in [*fleet.entries, *fleet.targets]:
        fleet.thaw(name)
    fleet.run(8.0)
    callers = [fleet.submit(entry, f"after-{entry}", count=4) for entry in fleet.entries]
    fleet.run(2.0)
    assert [fleet.answers.get(caller) for caller in callers] == [Completed()] * len(callers)


@pytest.mark.parametrize("seed", range(SEEDS))
def test_the_rules_hold_under_random_faults(seed: int, bounds: Bounds) -> None:
    soak = Soak(seed, bounds)
    soak.run()
    check_refusals(soak)


@pytest.mark.parametrize("seed", range(SEEDS))
def test_the_rules_hold_as_runners_come_back_under_their_ids(seed: int, bounds: Bounds) -> None:
    soak = Soak(seed, bounds, returns=True)
    soak.run()
    check_refusals(soak)
    check_that_work_goes_on(soak)


@pytest.mark.parametrize("seed", range(SEEDS))
def test_work_goes_on_after_the_faults(seed: int, bounds: Bounds) -> None:
    soak = Soak(seed, bounds)
    soak.run()
    check_that_work_goes_on(soak)
