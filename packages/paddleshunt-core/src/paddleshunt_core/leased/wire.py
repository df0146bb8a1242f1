"""Messages between entries and targets about leased jobs.

A connection opens with one `Hello` each way; after that it carries `Frame`s.
"""

from enum import IntEnum
from typing import final

import msgspec

from paddleshunt_core.leased.catalog import Catalog
from paddleshunt_core.leased.evacuation import EvacuatedHalls
from paddleshunt_core.leased.resources import Resources
from paddleshunt_core.leased.runnerincarnation import RunnerIncarnation


@final
class TaskId(msgspec.Struct, frozen=True, array_like=True, order=True):
    """Id of a task: the job's key, the number of the step and the task's index in the step."""

    job: str
    step: int
    index: int

    def __str__(self) -> str:
        return f"{self.job}.{self.step}.{self.index}"


@final
class RunId(msgspec.Struct, frozen=True, array_like=True):
    """Id of one start of a task; `number` increases with each start."""

    task: TaskId
    number: int

    def __str__(self) -> str:
        return f"{self.task}#{self.number}"


class End(IntEnum):
    """How a run ended.

    LOST: it ran or may have run, and is not running now. NOT_STARTED: it never ran. STALE: the
    runner refused it, as it has a later run of the task. STUCK: stopped for lack of progress.
    NO_ROOM: it never ran, as the capacity that the entry was offered had been taken by others.
    """

    DONE = 0
    FAILED = 1
    STOPPED = 2
    LOST = 3
    NOT_STARTED = 4
    STALE = 5
    STUCK = 6
    NO_ROOM = 7


class RunnerState(IntEnum):
    """Whether a target accepts work: only READY does. EVACUATED: its data hall is evacuated."""

    READY = 0
    LEAVING = 1
    DOWN = 2
    EVACUATED = 3


class Health(IntEnum):
    """How much work a runner is given. PROBATION: one task at a time. SICK: none."""

    GOOD = 0
    PROBATION = 1
    SICK = 2


class _Body(msgspec.Struct, frozen=True, array_like=True):
    """Base of the message bodies in a frame."""


@final
class Assign(_Body, frozen=True, tag=1):
    """Request to run tasks of one step of a job.

    `estimate_ms` is the estimated length of a task; `expires_ms` is the time after which no caller
    waits for the result. `queue` is reported in `RunnerLost` if the runner is lost. `runs` holds
    pairs of task index and run number.
    """

    job: str
    step: int
    spec: str
    need: Resources
    estimate_ms: int
    expires_ms: int
    runs: list[tuple[int, int]]
    queue: str = ""


@final
class Stop(_Body, frozen=True, tag=2):
    """Request to stop runs."""

    runs: list[RunId]


@final
class ResourceRequest(_Body, frozen=True, tag=9):
    """Request for the resources of an entry's most urgent task, to start in `within_ms`.

    It is valid until the entry assigns the target something, or declines an offer.
    """

    need: Resources
    within_ms: int


@final
class DeclineOffer(_Body, frozen=True, tag=10):
    """Declines the offered resources, as no waiting task fits; other entries may use them."""


@final
class Ended(_Body, frozen=True, tag=4):
    """Runs that ended, each with how it ended."""

    ends: list[tuple[RunId, End]]


@final
class RunnerReport(_Body, frozen=True, tag=5):
    """State of a runner.

    `labels` give the kind of the runner's host and its rack; `kind` is the label that is not a
    rack, empty if there is none. `cold_ms` is how much longer the runner stays slow after its
    start; 0 once it is warm. `runner` and `born` identify its incarnation.
    """

    service: str
    runner: str
    state: RunnerState
    health: Health
    capacity: Resources
    free: Resources
    labels: tuple[str, ...] = ()
    cold_ms: int = 0
    kind: str = ""
    born: int = 0

    @property
    def incarnation(self) -> RunnerIncarnation:
        """The incarnation of the runner that the report is about."""
        return RunnerIncarnation(self.runner, self.born)


@final
class EntryAddress(msgspec.Struct, frozen=True, array_like=True, order=True):
    """An entry's name and the host:port on which it listens for peers.

    `incarnation` changes with each start of the process; empty if the sender has never connected to
    the entry. `hall` is the entry's data hall; empty if unknown.
    """

    name: str
    address: str
    incarnation: str = ""
    hall: str = ""


@final
class Entries(_Body, frozen=True, tag=6):
    """All entries that the sender believes to be alive."""

    entries: list[EntryAddress]


@final
class EntryChanges(_Body, frozen=True, tag=12):
    """Changes to the sender's last list of live entries; `gone` holds names."""

    joined: list[EntryAddress]
    gone: list[str]


@final
class CatalogUpdate(_Body, frozen=True, tag=7):
    """The sender's configuration, as sent by processes without support for `PackedCatalog`."""

    catalog: Catalog


@final
class CatalogVersion(_Body, frozen=True, tag=8):
    """The sender's configuration version, 0 for none. `wanted` requests a newer configuration."""

    version: int
    wanted: bool = False


@final
class PackedCatalog(_Body, frozen=True, tag=20):
    """The sender's configuration, compressed; `version` is that of the content."""

    version: int
    content: bytes


@final
class EvacuationUpdate(_Body, frozen=True, tag=11):
    """The data halls that are evacuated, as far as the sender knows."""

    evacuated: EvacuatedHalls


@final
class LossId(msgspec.Struct, frozen=True, array_like=True):
    """Id of a loss: the runner's incarnation and the time at which it became silent.

    `silent_ms` is by its target's steady clock. `born` comes last, so that processes without the
    field can decode the rest.
    """

    runner: str
    silent_ms: int
    born: int = 0

    @property
    def incarnation(self) -> RunnerIncarnation:
        """The incarnation of the runner that was lost."""
        return RunnerIncarnation(self.runner, self.born)

    @classmethod
    def for_incarnation(cls, incarnation: RunnerIncarnation, silent_ms: int) -> "LossId":
        """Return the id of the loss of an incarnation."""
        return cls(incarnation.id, silent_ms, incarnation.born)


@final
class RunnerLost(_Body, frozen=True, tag=13):
    """An incarnation of a runner that ended unannounced, or was silent until its lease expired.

    `tasks` were running on it, each listed once; `queues` and `worked_ms` hold, in the same order,
    the queue of each and the milliseconds it had run when the silence began. An entry that forwards
    the loss sets `ago_ms` to the time since it learned of it. `ended` lists the tasks that were
    last seen running, once the incarnation is known to have ended because another one replaced it.
    While it is only silent, `ended` is empty; the same loss may be sent again with it later.
    """

    loss: LossId
    tasks: list[TaskId]
    queues: list[str] = []
    worked_ms: list[int] = []
    ago_ms: int = 0
    ended: list[TaskId] = []


@final
class RunnerReturned(_Body, frozen=True, tag=14):
    """An incarnation of a runner that was silent or reported lost answers again."""

    loss: LossId


@final
class KindSpeed(msgspec.Struct, frozen=True, array_like=True):
    """Slowness of a kind of host for a service's tasks, relative to a typical host, in thousandths.

    `ends` is the weight of the estimate: the completed tasks that the sender observed itself.
    """

    service: str
    kind: str
    slowness_thousandths: int
    ends: int


@final
class SpeedUpdate(_Body, frozen=True, tag=17):
    """The sender's estimates of how slow kinds of hosts are."""

    kinds: list[KindSpeed]


@final
class SessionCount(_Body, frozen=True, tag=19):
    """The number of targets with which the sending entry has a session."""

    count: int


@final
class RunnerSilent(_Body, frozen=True, tag=15):
    """An incarnation of a runner does not answer; its tasks may still be running.

    It names early the tasks that may have crashed the runner; none counts as lost yet.
    `RunnerLost` or `RunnerReturned` follows with the same loss.
    """

    loss: LossId
    tasks: list[TaskId]
    queues: list[str]
    worked_ms: list[int]


@final
class CancelledJob(msgspec.Struct, frozen=True, array_like=True):
    """A cancelled job, and the milliseconds since its cancellation was requested."""

    key: str
    ago_ms: int = 0


@final
class CancelJobs(_Body, frozen=True, tag=21):
    """Request from an entry to cancel jobs and to start them no more.

    Only entries whose hello says so handle it; they answer with `JobsCancelled`.
    """

    jobs: list[CancelledJob]


@final
class JobsCancelled(_Body, frozen=True, tag=22):
    """Confirms that jobs are cancelled; the sender held those in `held`."""

    keys: list[str]
    held: list[str]


Body = (
    Assign
    | Stop
    | ResourceRequest
    | DeclineOffer
    | Ended
    | RunnerReport
    | Entries
    | EntryChanges
    | CatalogUpdate
    | CatalogVersion
    | PackedCatalog
    | EvacuationUpdate
    | RunnerLost
    | RunnerReturned
    | SpeedUpdate
    | SessionCount
    | RunnerSilent
    | CancelJobs
    | JobsCancelled
)

LossUpdate = RunnerLost | RunnerReturned | RunnerSilent
"""Messages about a runner that may have been lost."""


@final
class Hello(msgspec.Struct, frozen=True, array_like=True):
    """First message of a connection, each way.

    `incarnation` changes with each start of the process. `entry`: whether the sender is an entry.
    In a target's message `session` is the session to resume, or 0 if it has none; in an entry's
    answer it is the session to use, or 0 if the named one can't be resumed. `received` is the
    number of the last body that the sender received in it. `handles_cancellations`: whether the
    sender handles `CancelJobs`; it comes last, as processes without the field ignore it.
    """

    name: str
    incarnation: str
    entry: bool
    hall: str
    address: str
    session: int
    received: int
    handles_cancellations: bool = False


@final
class Frame(msgspec.Struct, frozen=True, array_like=True):
    """Bodies numbered from `first`; `received` acknowledges the peer's bodies.

    `stamp_ms` is the sender's steady clock. `echo_ms` is the highest stamp received from the peer,
    from which the peer computes how old the sender's information about it is.
    """

    first: int
    received: int
    stamp_ms: int
    echo_ms: int
    bodies: list[Body]
