"""The scenario language: a TOML file describes a fleet, a list of steps and the expected results.

The checker's rules are verified after every step. Each kind of step is a class below; its fields
are the keys of the step, and its tag is the value of `do`.
"""

import tomllib
from dataclasses import replace
from pathlib import Path

import msgspec
from fleet import Fleet
from fleetparts import Shape
from paddleshunt_core.checker import Rule
from paddleshunt_core.homelimits import HomeLimits
from paddleshunt_core.ids import SubmissionId, parse_id
from paddleshunt_core.members import HostState
from paddleshunt_core.messages import Submit
from paddleshunt_core.table import EditConflict, Row
from paddleshunt_platform.tableedit import Applied, NotApplied, OutcomeUnknown


class _Step(msgspec.Struct, frozen=True, tag_field="do", forbid_unknown_fields=True):
    """Base of all steps."""

    def run(self, fleet: Fleet) -> None:
        raise NotImplementedError


class SubmitStep(_Step, frozen=True, tag="submit"):
    job: str
    tasks: int
    through: str = "entry-0"
    deadline: float = 10.0
    repeatable: bool = False

    def run(self, fleet: Fleet) -> None:
        fleet.submit(
            self.job,
            self.tasks,
            through=self.through,
            deadline=self.deadline,
            repeatable=self.repeatable,
        )


class Resubmit(_Step, frozen=True, tag="resubmit"):
    job: str
    through: str = "entry-1"
    other_body: bool = False

    def run(self, fleet: Fleet) -> None:
        message: Submit | None = None
        if self.other_body:
            message = msgspec.structs.replace(fleet.jobs[self.job].message, digest=b"another")
        fleet.resubmit(self.job, through=self.through, message=message)


class LookUp(_Step, frozen=True, tag="look_up"):
    job: str
    through: str = "entry-1"

    def run(self, fleet: Fleet) -> None:
        fleet.look_up(self.job, through=self.through)


class Burst(_Step, frozen=True, tag="burst"):
    """Submit jobs `name-0` to `name-<count-1>` at once, through the entries in rotation."""

    name: str
    count: int
    tasks: int
    deadline: float = 10.0

    def run(self, fleet: Fleet) -> None:
        through = [process.host for process in fleet.entries()]
        for number in range(self.count):
            entry = through[number % len(through)]
            fleet.submit(f"{self.name}-{number}", self.tasks, through=entry, deadline=self.deadline)


class Wait(_Step, frozen=True, tag="wait"):
    seconds: float

    def run(self, fleet: Fleet) -> None:
        fleet.run(self.seconds)


class Expect(_Step, frozen=True, tag="expect"):
    """Wait until the job has `answers` answers; the last one must be one of `outcome`."""

    job: str
    outcome: list[str]
    within: float = 15.0
    answers: int = 1

    def run(self, fleet: Fleet) -> None:
        job = fleet.jobs[self.job]
        fleet.run_until(lambda: len(job.answers) >= self.answers, self.within)
        assert job.outcome in self.outcome, (self.job, job.answers)


class ExpectAll(_Step, frozen=True, tag="expect_all"):
    """Wait until all jobs of a burst have answers, and count those with an outcome."""

    name: str
    outcome: list[str]
    within: float = 15.0
    at_least: int = 0

    def run(self, fleet: Fleet) -> None:
        jobs = [job for name, job in fleet.jobs.items() if name.startswith(f"{self.name}-")]
        fleet.run_until(lambda: all(job.answers for job in jobs), self.within)
        found = [job.outcome for job in jobs]
        assert set(found) <= set(self.outcome), found
        assert found.count(self.outcome[0]) >= self.at_least, found


class Starts(_Step, frozen=True, tag="starts"):
    """Check how many of the job's tasks have started."""

    job: str
    at_least: int = 0
    at_most: int = 1_000_000

    def run(self, fleet: Fleet) -> None:
        submission = fleet.jobs[self.job].submission
        started = sum(n for key, n in fleet.checker.starts.items() if key[0] == submission)
        assert self.at_least <= started <= self.at_most, started


class Crash(_Step, frozen=True, tag="crash"):
    host: str

    def run(self, fleet: Fleet) -> None:
        fleet.crash(self.host)


class CrashHome(_Step, frozen=True, tag="crash_home"):
    """Crash the home of a job."""

    job: str

    def run(self, fleet: Fleet) -> None:
        fleet.crash(home_of(fleet, self.job))


class CrashOther(_Step, frozen=True, tag="crash_other"):
    """Crash the first target that is not the home of a job."""

    job: str

    def run(self, fleet: Fleet) -> None:
        fleet.crash(first_other_target(fleet, self.job))


class RestartOther(_Step, frozen=True, tag="restart_other"):
    """Restart the first target that is not the home of a job."""

    job: str

    def run(self, fleet: Fleet) -> None:
        fleet.start(first_other_target(fleet, self.job))


class Restart(_Step, frozen=True, tag="restart"):
    host: str

    def run(self, fleet: Fleet) -> None:
        fleet.processes[self.host].alive = False
        fleet.start(self.host)


class RestartHome(_Step, frozen=True, tag="restart_home"):
    job: str

    def run(self, fleet: Fleet) -> None:
        Restart(home_of(fleet, self.job)).run(fleet)


class Pause(_Step, frozen=True, tag="pause"):
    host: str

    def run(self, fleet: Fleet) -> None:
        fleet.pause(self.host)


class Resume(_Step, frozen=True, tag="resume"):
    host: str

    def run(self, fleet: Fleet) -> None:
        fleet.resume(self.host)


class Leave(_Step, frozen=True, tag="leave"):
    host: str

    def run(self, fleet: Fleet) -> None:
        fleet.leave(self.host)


class LeaveHome(_Step, frozen=True, tag="leave_home"):
    job: str

    def run(self, fleet: Fleet) -> None:
        fleet.leave(home_of(fleet, self.job))


class Exited(_Step, frozen=True, tag="exited"):
    """Wait until a leaving host's process has exited."""

    host: str
    within: float = 10.0

    def run(self, fleet: Fleet) -> None:
        process = fleet.processes[self.host]
        assert fleet.run_until(lambda: not process.alive, self.within)


class ListHost(_Step, frozen=True, tag="list"):
    host: str
    state: HostState

    def run(self, fleet: Fleet) -> None:
        fleet.list_host(self.host, self.state)


class ListLags(_Step, frozen=True, tag="list_lags"):
    on: bool

    def run(self, fleet: Fleet) -> None:
        fleet.list_lags = self.on
        if not self.on:
            fleet.publish_hosts()


class Cut(_Step, frozen=True, tag="cut"):
    one: str
    other: str
    both: bool = True

    def run(self, fleet: Fleet) -> None:
        fleet.cut(self.one, self.other, both=self.both)


class Isolate(_Step, frozen=True, tag="isolate"):
    site: str

    def run(self, fleet: Fleet) -> None:
        fleet.isolate_site(self.site)


class Heal(_Step, frozen=True, tag="heal"):
    def run(self, fleet: Fleet) -> None:
        fleet.heal()


class Drop(_Step, frozen=True, tag="drop"):
    kind: str
    count: int = 1

    def run(self, fleet: Fleet) -> None:
        fleet.links.drop[self.kind] += self.count


class Duplicate(_Step, frozen=True, tag="duplicate"):
    kind: str
    count: int = 1

    def run(self, fleet: Fleet) -> None:
        fleet.links.duplicate[self.kind] += self.count


class LateCopy(_Step, frozen=True, tag="late_copy"):
    """Deliver a second, late copy of the next messages of a kind."""

    kind: str
    seconds: float
    count: int = 1

    def run(self, fleet: Fleet) -> None:
        fleet.links.late_seconds = self.seconds
        fleet.links.late_copy[self.kind] += self.count


class Delay(_Step, frozen=True, tag="delay"):
    """Delay all later messages of a kind (0 ends the delay)."""

    kind: str
    seconds: float

    def run(self, fleet: Fleet) -> None:
        fleet.links.delay[self.kind] = self.seconds


class Noise(_Step, frozen=True, tag="noise"):
    """Drop and repeat a fraction of all messages, and reorder them."""

    drop: float = 0.0
    duplicate: float = 0.0
    jitter: float = 0.0

    def run(self, fleet: Fleet) -> None:
        fleet.links.drop_share = self.drop
        fleet.links.duplicate_share = self.duplicate
        fleet.links.jitter = self.jitter


class StoreStep(_Step, frozen=True, tag="store"):
    """Inject a fault of the store: `down`, `up`, `save`, `go_back` or `lose_answer`."""

    fault: str

    def run(self, fleet: Fleet) -> None:
        match self.fault:
            case "down":
                fleet.store.down = True
            case "up":
                fleet.store_up()
            case "save":
                fleet.store.save()
            case "go_back":
                fleet.store.restore()
                fleet.store_up()
            case "lose_answer":
                fleet.store.lose_answers += 1
            case other:
                raise ValueError(other)


class Edit(_Step, frozen=True, tag="edit"):
    """Edit the row of a site; `outcome` is the expected result of the edit."""

    site: str
    weight: int | None = None
    max_running: int | None = None
    max_in_flight: int | None = None
    base: int | None = None
    outcome: str = "applied"
    hand_over: bool = True

    def run(self, fleet: Fleet) -> None:
        rows = [self._edited(row) if row.site == self.site else row for row in fleet.rows]
        outcome = fleet.edit(rows, self.base)
        names = {Applied: "applied", EditConflict: "conflict"}
        names |= {NotApplied: "not_applied", OutcomeUnknown: "not_known"}
        assert names[type(outcome)] == self.outcome, outcome
        if isinstance(outcome, Applied):
            fleet.rows = rows
            if self.hand_over:
                fleet.hand_over(outcome.document)

    def _edited(self, row: Row) -> Row:
        changes = {
            name: getattr(self, name)
            for name in ("weight", "max_running", "max_in_flight")
            if getattr(self, name) is not None
        }
        return msgspec.structs.replace(row, **changes)


class InForce(_Step, frozen=True, tag="in_force"):
    """Wait until every running process has at least a revision in force."""

    revision: int
    within: float = 5.0
    without: list[str] = []

    def run(self, fleet: Fleet) -> None:
        def everywhere() -> bool:
            found = fleet.revisions()
            return all(r >= self.revision for h, r in found.items() if h not in self.without)

        assert fleet.run_until(everywhere, self.within), fleet.revisions()


class NotInForce(_Step, frozen=True, tag="not_in_force"):
    host: str
    revision: int

    def run(self, fleet: Fleet) -> None:
        assert fleet.revisions()[self.host] < self.revision


class ShareIs(_Step, frozen=True, tag="share"):
    """Wait until the sum of the shares of a site's gates is within bounds."""

    site: str
    at_least: int = 0
    at_most: int = 1_000_000
    within: float = 10.0

    def run(self, fleet: Fleet) -> None:
        def within_bounds() -> bool:
            return self.at_least <= running_share(fleet, self.site) <= self.at_most

        assert fleet.run_until(within_bounds, self.within), running_share(fleet, self.site)


class ShareStays(_Step, frozen=True, tag="share_stays"):
    """Check a host's share after some seconds."""

    host: str
    running: int
    seconds: float

    def run(self, fleet: Fleet) -> None:
        fleet.run(self.seconds)
        share = fleet.target(self.host).gate._share
        assert share is not None
        assert share.max_running == self.running, share


class FailTask(_Step, frozen=True, tag="fail_task"):
    job: str
    index: int

    def run(self, fleet: Fleet) -> None:
        fleet.fail_tasks.add((fleet.jobs[self.job].submission, self.index))


class Stragglers(_Step, frozen=True, tag="stragglers"):
    share: float
    seconds: float = 3.0

    def run(self, fleet: Fleet) -> None:
        fleet.shape = replace(
            fleet.shape, straggler_share=self.share, straggler_seconds=self.seconds
        )


class TasksTake(_Step, frozen=True, tag="tasks_take"):
    """Set the range of durations of tasks that start later."""

    least: float
    most: float

    def run(self, fleet: Fleet) -> None:
        fleet.shape = replace(fleet.shape, task_seconds=(self.least, self.most))


class StartsAt(_Step, frozen=True, tag="no_start_at"):
    """Check that no task starts at a host for some seconds."""

    host: str
    seconds: float

    def run(self, fleet: Fleet) -> None:
        before = len(fleet.trace)
        fleet.run(self.seconds)
        name = str(fleet.processes[self.host].incarnation)
        late = [e for e in fleet.trace[before:] if getattr(e, "target", "") == name]
        assert not [e for e in late if type(e).__name__ == "Started"], late[0]


Step = (
    SubmitStep
    | Resubmit
    | LookUp
    | Burst
    | Wait
    | Expect
    | ExpectAll
    | Starts
    | Crash
    | CrashHome
    | CrashOther
    | RestartOther
    | Restart
    | RestartHome
    | Pause
    | Resume
    | Leave
    | LeaveHome
    | Exited
    | ListHost
    | ListLags
    | Cut
    | Isolate
    | Heal
    | Drop
    | Duplicate
    | LateCopy
    | Delay
    | Noise
    | StoreStep
    | Edit
    | InForce
    | NotInForce
    | ShareIs
    | ShareStays
    | FailTask
    | Stragglers
    | TasksTake
    | StartsAt
)


class FleetShape(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """The `[fleet]` section: differences from the default fleet of 3 + 2 targets."""

    sites: dict[str, int] = msgspec.field(default_factory=lambda: {"hall": 3, "depot": 2})
    entries: int = 2
    slots: int = 4
    pipeline: int = 2
    max_running: int | None = None
    max_in_flight: int | None = None
    window: float = 120.0
    max_records: int = 20_000
    answer_bytes: int = 8 << 20

    def shape(self) -> Shape:
        home = HomeLimits(
            window=self.window, max_records=self.max_records, answer_bytes=self.answer_bytes
        )
        return Shape(
            self.sites,
            self.entries,
            self.slots,
            self.pipeline,
            self.max_running,
            self.max_in_flight,
            home=home,
        )


class Scenario(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """A scenario: its subject, the rules and faults it covers, and its steps."""

    about: str
    rules: list[str]
    step: list[Step]
    faults: list[str] = []
    seed: int = 1
    fleet: FleetShape = FleetShape()


def load(file: Path) -> Scenario:
    """Return the scenario in a file."""
    scenario = msgspec.convert(tomllib.loads(file.read_text()), Scenario)
    for name in scenario.rules:
        Rule[name]
    return scenario


def run(scenario: Scenario) -> Fleet:
    """Run a scenario; raise `AssertionError` at the first step that violates a rule."""
    fleet = Fleet(scenario.fleet.shape(), scenario.seed)
    for number, step in enumerate(scenario.step):
        try:
            step.run(fleet)
        except AssertionError:
            # A violated rule is reported first, as it explains why the step failed.
            assert not fleet.checker.violations, fleet.checker.violations[0]
            raise
        fleet.check_shares()
        assert not fleet.checker.violations, (number, step, fleet.checker.violations[0])
    fleet.run(5.0)
    assert not fleet.checker.violations, fleet.checker.violations[0]
    return fleet


def home_of(fleet: Fleet, job: str) -> str:
    """Return the host of a job's home."""
    parsed = parse_id(fleet.jobs[job].submission)
    assert isinstance(parsed, SubmissionId)
    return parsed.home.host


def first_other_target(fleet: Fleet, job: str) -> str:
    """Return the first target that is not the home of a job."""
    home = home_of(fleet, job)
    targets = [p.host for p in fleet.processes.values() if p.host != home]
    return next(host for host in targets if not host.startswith("entry"))


def running_share(fleet: Fleet, site: str) -> int:
    """Return the sum of the shares of a site's running gates."""
    gates = [fleet.target(p.host).gate for p in fleet.targets() if p.site == site]
    return sum(gate._share.max_running for gate in gates if gate._share is not None)
