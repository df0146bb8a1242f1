"""Random operation of a fleet with faults: the checker's rules must hold in every order of steps.

In CI the seeds are fixed and the runs short; `make fuzz` runs longer with new seeds and prints the
steps that violated a rule.
"""

import os

import msgspec
import pytest
from fleet import SERVICE, Fleet
from fleetparts import Shape
from hypothesis import HealthCheck, settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, invariant, precondition, rule
from paddleshunt_core.members import HostState

TARGETS = ["hall-0", "hall-1", "depot-0", "depot-1"]
ENTRIES = ["entry-0", "entry-1"]
KINDS = ["assign", "report", "inquire", "submit", "answer", "heartbeat", "view", "exchange"]
EXAMPLES = int(os.environ.get("PADDLESHUNT_FUZZ", "0"))

_shared = {
    "deadline": None,
    "suppress_health_check": list(HealthCheck),
    "print_blob": True,
}
PROFILE = (
    settings(max_examples=EXAMPLES, stateful_step_count=60, **_shared)
    if EXAMPLES
    else settings(max_examples=12, stateful_step_count=30, derandomize=True, **_shared)
)


class FleetMachine(RuleBasedStateMachine):
    """Callers, operators and faults, one step at a time."""

    @initialize(seed=st.integers(0, 1 << 16), limit=st.integers(1, 8))
    def start(self, seed: int, limit: int) -> None:
        shape = Shape(
            {"hall": 2, "depot": 2},
            slots=3,
            max_running=limit,
            max_in_flight=limit + 3,
            straggler_share=0.05,
            straggler_seconds=3.0,
        )
        self.fleet = Fleet(shape, seed)
        self.jobs = 0
        self.fleet._every(0.2, self.load)

    def load(self) -> None:
        """Submit a job through some entry that runs: the load that goes on all the while."""
        running = [process.host for process in self.fleet.entries()]
        if running:
            self.submit_to(self.fleet.rng.choice(running), self.fleet.rng.randint(1, 12), 6)

    def submit_to(self, entry: str, tasks: int, deadline: int) -> None:
        self.jobs += 1
        self.fleet.submit(f"job-{self.jobs}", tasks, through=entry, deadline=deadline)

    @rule(tasks=st.integers(1, 30), entry=st.sampled_from(ENTRIES), deadline=st.integers(1, 12))
    def submit(self, tasks: int, entry: str, deadline: int) -> None:
        if self.fleet.processes[entry].alive and not self.fleet.processes[entry].paused:
            self.submit_to(entry, tasks, deadline)

    @precondition(lambda self: self.jobs > 0)
    @rule(number=st.integers(1, 1000), entry=st.sampled_from(ENTRIES))
    def resubmit(self, number: int, entry: str) -> None:
        name = f"job-{number % self.jobs + 1}"
        self.fleet.resubmit(name, through=entry)

    @rule(seconds=st.sampled_from([0.01, 0.1, 0.5, 2.0, 6.0]))
    def wait(self, seconds: float) -> None:
        self.fleet.run(seconds)

    @rule(name=st.sampled_from(TARGETS + ENTRIES), listed=st.booleans())
    def crash(self, name: str, listed: bool) -> None:
        self.fleet.crash(name)
        if listed:
            self.fleet.list_host(name, HostState.GONE)

    @rule(name=st.sampled_from(TARGETS + ENTRIES))
    def restart(self, name: str) -> None:
        self.fleet.processes[name].alive = False
        self.fleet.list_host(name, HostState.LIVE)
        self.fleet.start(name)

    @rule(name=st.sampled_from(TARGETS + ENTRIES), seconds=st.sampled_from([0.3, 2.0, 8.0]))
    def pause(self, name: str, seconds: float) -> None:
        process = self.fleet.processes[name]
        self.fleet.pause(name)
        self.fleet.at(seconds, lambda: self.fleet.resume(name) if process.alive else None)

    @rule(name=st.sampled_from(TARGETS))
    def leave(self, name: str) -> None:
        process = self.fleet.processes[name]
        if process.alive and not process.paused and not self.fleet.target(name).leaving:
            self.fleet.leave(name)

    @rule(
        drop=st.sampled_from([0.0, 0.0, 0.05, 0.3]),
        duplicate=st.sampled_from([0.0, 0.2]),
        jitter=st.sampled_from([0.0, 0.2]),
    )
    def noise(self, drop: float, duplicate: float, jitter: float) -> None:
        self.fleet.links.drop_share = drop
        self.fleet.links.duplicate_share = duplicate
        self.fleet.links.jitter = jitter

    @rule(kind=st.sampled_from(KINDS), count=st.integers(1, 5))
    def drop(self, kind: str, count: int) -> None:
        self.fleet.links.drop[kind] += count

    @rule(kind=st.sampled_from(KINDS), seconds=st.sampled_from([0.5, 5.0, 40.0]))
    def late_copy(self, kind: str, seconds: float) -> None:
        self.fleet.links.late_seconds = seconds
        self.fleet.links.late_copy[kind] += 3

    @rule(
        one=st.sampled_from(TARGETS), other=st.sampled_from(TARGETS + ENTRIES), both=st.booleans()
    )
    def cut(self, one: str, other: str, both: bool) -> None:
        self.fleet.cut(one, other, both=both)
        self.fleet.at(4.0, self.fleet.heal)

    @rule(down=st.booleans())
    def store(self, down: bool) -> None:
        if down:
            self.fleet.store.down = True
        else:
            self.fleet.store_up()

    @rule(limit=st.integers(0, 8), lost=st.booleans())
    def edit(self, limit: int, lost: bool) -> None:
        self.fleet.store.lose_answers += lost
        rows = [
            msgspec.structs.replace(row, max_running=limit, max_in_flight=limit + 2)
            for row in self.fleet.rows
        ]
        self.fleet.edit(rows)

    @invariant()
    def rules_hold(self) -> None:
        if hasattr(self, "fleet"):
            self.fleet.run(0.2)
            self.fleet.check_shares()
            assert not self.fleet.checker.violations, self.fleet.checker.violations[0]

    def teardown(self) -> None:
        if not hasattr(self, "fleet"):
            return
        self.fleet.run(20.0)
        self.rules_hold()
        Totals.tasks += sum(self.fleet.checker.starts.values())
        Totals.answers += sum(len(job.answers) for job in self.fleet.jobs.values())


class Totals:
    """Totals of all runs, to detect runs that test nothing."""

    tasks = 0
    answers = 0


TestFleet = FleetMachine.TestCase
TestFleet.settings = PROFILE


def test_fuzzing_started_tasks_and_got_answers(request: pytest.FixtureRequest) -> None:
    if not any("TestFleet" in item.nodeid for item in request.session.items):
        pytest.skip("the machine was not run")
    assert Totals.tasks > 500, Totals.tasks
    assert Totals.answers > 50, Totals.answers
    print(f"{SERVICE}: {Totals.tasks} tasks started, {Totals.answers} answers")
