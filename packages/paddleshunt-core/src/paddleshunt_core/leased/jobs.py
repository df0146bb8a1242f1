"""Records of the jobs that an entry is home of."""

from dataclasses import dataclass, field
from enum import Enum, auto
from typing import final

from paddleshunt_core.leased.catalog import Queue
from paddleshunt_core.leased.lengths import Expectation
from paddleshunt_core.leased.resources import Resources
from paddleshunt_core.leased.runnerlife import RunnerLife
from paddleshunt_core.leased.wire import RunId, TaskId

STALE_STEP = 16
"""By how much a run's number rises when a runner knows a later run of the task."""

PRIORITY_SECONDS = 0.15
"""Head start in the order of starts that a queue has for each step of priority."""

LATE_PENALTY_SECONDS = 60.0
"""By how much a job goes behind that has not begun and can't end in time any more."""

ESTIMATE_ERROR = 0.25
"""Part of its estimate by which a job's start may be late, and it may yet end in time."""

OVERHEAD_SECONDS = 0.02
"""Time of a run besides its work, the same on any host: messages, and the look at its end."""

USEFUL_OBJECTIVE_FACTOR = 3.0
"""How many times its objective a job may take and yet be of use, if less, to its caller.

The users count an answer as late up to this, and as worth nothing beyond it.
"""


@final
@dataclass(frozen=True, slots=True)
class JobRequest:
    """A job as its caller hands it in: one step of `count` equal tasks.

    `deadline` is how long the caller waits, in seconds; `estimate` a rough guess of a task's
    length in seconds.
    """

    key: str
    spec: str
    count: int
    need: Resources
    estimate: float
    deadline: float
    rack: str = ""
    """Rack where the data lies; elsewhere the tasks take longer."""
    label: str = ""
    """Label that a runner's host must have; empty for none."""
    spread: int = 0
    """How many of the tasks one runner may have at most; 0 for any number."""


class TaskPhase(Enum):
    """Where a task is. HELD: its target fell silent, and it may still run there."""

    WAITING = auto()
    PLACED = auto()
    HELD = auto()
    DONE = auto()


@final
@dataclass(slots=True)
class TaskRecord:
    """One task: where it is, and how often it has been placed and has failed."""

    id: TaskId
    number: int = 0
    phase: TaskPhase = TaskPhase.WAITING
    target: str = ""
    placed_at: float = 0.0
    """When its newest run was sent to its target."""
    failures: int = 0
    losses: int = 0
    """Runs of it that were lost with their target or its session: nobody told why."""
    retries: int = 0
    """Runs of it that may have begun and did not end well, for whatever reason."""
    ran: bool = False
    """Whether an earlier run of it may have started."""
    avoid: set[str] = field(default_factory=set)
    """Targets where it failed or stood still."""
    work: float = 0.0
    """Seconds that its run that ended well worked, were its data near; 0 if they say nothing."""
    ran_on: RunnerLife | None = None
    """The life of the runner where that was."""

    @property
    def run(self) -> RunId:
        """Id of the task's newest run."""
        return RunId(self.id, self.number)


@final
@dataclass(slots=True)
class JobRecord:
    """One job and its caller. Times are steady seconds."""

    caller: int
    request: JobRequest
    queue: Queue
    arrived: float
    tasks: list[TaskRecord]
    expected: Expectation
    is_awaited: bool = True
    """Whether its caller was still there once all that had come meanwhile was handled."""
    may_have_run: bool = False
    """Whether an earlier try of it was placed at this entry."""
    place_from: float = 0.0
    """Before it nothing of the job is placed: its caller may have left already."""

    @property
    def length(self) -> float:
        """Seconds that a task is expected to take."""
        return self.expected.length

    @property
    def first_sent(self) -> float:
        """When its caller is taken to have sent it first."""
        return self.arrived - self.expected.age

    @property
    def may_have_started(self) -> bool:
        """Whether a task may have started."""
        return any(task.ran or task.phase is not TaskPhase.WAITING for task in self.tasks)

    @property
    def objective(self) -> float:
        """Seconds in which the job should end."""
        return self.queue.stretch * self.length + self.queue.latency

    @property
    def due(self) -> float:
        """When its tasks must end to be in time."""
        return self.first_sent + self.objective

    @property
    def start_by(self) -> float:
        """When its tasks must start to end in time on a usual host.

        A fast one is no reason to start later: what it saves is left for errors of the length.
        """
        return self.due - self.length

    def urgency(self, now: float) -> float:
        """Return its place in the order of starts at `now`; less goes first."""
        late = LATE_PENALTY_SECONDS if self.start_by < now and not self.may_have_started else 0.0
        return self.start_by + PRIORITY_SECONDS * self.queue.priority + late

    @property
    def refuse_after(self) -> float:
        """When a job that was not tried is refused: it would be late, and make others late."""
        late = self.start_by + ESTIMATE_ERROR * self.length
        return min(late, self.expires - self.length)

    @property
    def useful_start(self) -> float:
        """When its tasks must start for its answer to be of any use."""
        return self.useful_end - self.length

    @property
    def useful_end(self) -> float:
        """When its answer must come to be of any use."""
        return min(self.first_sent + USEFUL_OBJECTIVE_FACTOR * self.objective, self.expires)

    @property
    def expires(self) -> float:
        """When the caller stops waiting."""
        return self.arrived + self.request.deadline

    def waiting(self) -> list[TaskRecord]:
        """Return the tasks to place."""
        return [task for task in self.tasks if task.phase is TaskPhase.WAITING]


def new_job(
    caller: int, request: JobRequest, queue: Queue, now: float, expected: Expectation | None = None
) -> JobRecord:
    """Return the record of a job that has just come; its estimate holds if nothing is expected."""
    tasks = [TaskRecord(TaskId(request.key, 0, index)) for index in range(request.count)]
    return JobRecord(caller, request, queue, now, tasks, expected or Expectation(request.estimate))
