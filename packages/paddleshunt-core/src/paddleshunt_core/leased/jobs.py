"""Records of the jobs that an entry owns, and of their tasks."""

from dataclasses import dataclass, field
from enum import Enum, auto
from typing import final

from paddleshunt_core.leased.catalog import Queue
from paddleshunt_core.leased.resources import Resources
from paddleshunt_core.leased.runnerincarnation import RunnerIncarnation
from paddleshunt_core.leased.tasklengths import JobPrediction
from paddleshunt_core.leased.wire import RunId, TaskId

STALE_STEP = 16
"""Increment of a task's run number after a runner has refused a run as stale."""

PRIORITY_SECONDS = 0.15
"""Seconds by which each unit of a queue's `priority` moves its jobs back in the order of starts."""

LATE_PENALTY_SECONDS = 60.0
"""Seconds by which a late job that has not started is moved back in the order of starts."""

ESTIMATE_ERROR = 0.25
"""Assumed relative error of expected lengths; jobs that start late by less may end in time."""

OVERHEAD_SECONDS = 0.02
"""Seconds that a run takes beyond its work on any host: messages, and polling for its end."""

USEFUL_OBJECTIVE_FACTOR = 3.0
"""Multiple of its objective within which a job's answer, though late, is of use to its caller.

Users count an answer as late up to this multiple, and as worth nothing beyond it.
"""


@final
@dataclass(frozen=True, slots=True)
class JobRequest:
    """A job as submitted by its caller: one step of `count` equal tasks.

    `deadline` is how long the caller waits, in seconds; `estimate` is the caller's rough estimate
    of a task's length in seconds.
    """

    key: str
    spec: str
    count: int
    need: Resources
    estimate: float
    deadline: float
    rack: str = ""
    """Rack that stores the data; tasks take longer elsewhere. Empty for none."""
    label: str = ""
    """Label that a runner's host must have. Empty for none."""
    spread: int = 0
    """Maximum number of the tasks on one runner; 0 for no limit."""


class JobState(Enum):
    """State of an unanswered or cancelled job. QUEUED: no task may have started."""

    QUEUED = "queued"
    RUNNING = "running"
    CANCELLED = "cancelled"


class TaskPhase(Enum):
    """State of a task. HELD: its target's session has ended, and it may still run there."""

    WAITING = auto()
    PLACED = auto()
    HELD = auto()
    DONE = auto()


@final
@dataclass(slots=True)
class TaskRecord:
    """One task: its state, its newest run, and its failures so far."""

    id: TaskId
    number: int = 0
    phase: TaskPhase = TaskPhase.WAITING
    target: str = ""
    placed_at: float = 0.0
    """Monotonic time at which its newest run was sent to its target."""
    failures: int = 0
    losses: int = 0
    """Number of its runs that were lost with their target or its session, for unknown reasons."""
    retries: int = 0
    """Number of its runs that may have started and did not succeed, for any reason."""
    ran: bool = False
    """Whether an earlier run of it may have started."""
    avoid: set[str] = field(default_factory=set)
    """Targets where a run of it failed, made no progress or was lost with its runner."""
    work: float = 0.0
    """Seconds of work of its successful run, corrected for remote data; 0 if not usable."""
    ran_on: RunnerIncarnation | None = None
    """The incarnation of the runner of that run."""

    @property
    def run(self) -> RunId:
        """Id of the task's newest run."""
        return RunId(self.id, self.number)


@final
@dataclass(slots=True)
class JobRecord:
    """One job and its caller. Times are in seconds of the monotonic clock."""

    caller: int
    request: JobRequest
    queue: Queue
    arrived: float
    tasks: list[TaskRecord]
    expected: JobPrediction
    caller_confirmed: bool = True
    """Whether its caller was still connected at `earliest_placement`."""
    placed_before: bool = False
    """Whether an earlier submission of it was placed by this entry."""
    earliest_placement: float = 0.0
    """When its tasks may first be placed; a disconnect of its caller would be known by then."""

    @property
    def length(self) -> float:
        """Seconds that a task is expected to take."""
        return self.expected.length

    @property
    def first_sent(self) -> float:
        """Estimated time at which its caller first sent it."""
        return self.arrived - self.expected.age

    @property
    def may_have_started(self) -> bool:
        """Whether a task may have started."""
        return any(task.ran or task.phase is not TaskPhase.WAITING for task in self.tasks)

    @property
    def objective(self) -> float:
        """Seconds within which the job should end."""
        return self.queue.stretch * self.length + self.queue.latency

    @property
    def due(self) -> float:
        """When its tasks must end to meet the objective."""
        return self.first_sent + self.objective

    @property
    def start_by(self) -> float:
        """When its tasks must start to end in time on a typical host.

        The time that a fast host saves is kept as a margin for errors of the expected length.
        """
        return self.due - self.length

    def urgency(self, now: float) -> float:
        """Return its sort key in the order of starts at `now`; lower starts first."""
        late = LATE_PENALTY_SECONDS if self.start_by < now and not self.may_have_started else 0.0
        return self.start_by + PRIORITY_SECONDS * self.queue.priority + late

    @property
    def refuse_after(self) -> float:
        """When the job is refused if it has not started, as it would be late and delay others."""
        late = self.start_by + ESTIMATE_ERROR * self.length
        return min(late, self.expires - self.length)

    @property
    def useful_start(self) -> float:
        """When its tasks must start for its answer to be of use."""
        return self.useful_end - self.length

    @property
    def useful_end(self) -> float:
        """When its tasks must end for its answer to be of use."""
        return min(self.first_sent + USEFUL_OBJECTIVE_FACTOR * self.objective, self.expires)

    @property
    def expires(self) -> float:
        """When the caller stops waiting."""
        return self.arrived + self.request.deadline

    def waiting(self) -> list[TaskRecord]:
        """Return the tasks that wait to be placed."""
        return [task for task in self.tasks if task.phase is TaskPhase.WAITING]


def new_job(
    caller: int,
    request: JobRequest,
    queue: Queue,
    now: float,
    expected: JobPrediction | None = None,
) -> JobRecord:
    """Return the record of a new job; without `expected`, the caller's estimate is its length."""
    tasks = [TaskRecord(TaskId(request.key, 0, index)) for index in range(request.count)]
    return JobRecord(
        caller, request, queue, now, tasks, expected or JobPrediction(request.estimate)
    )
