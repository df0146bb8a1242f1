"""What entries and targets say to one another about leased jobs.

A connection opens with one `Hello` each way; after that it carries `Frame`s.
"""

from enum import IntEnum
from typing import final

import msgspec

from paddleshunt_core.leased.catalog import Catalog
from paddleshunt_core.leased.evacuation import EvacuatedHalls
from paddleshunt_core.leased.resources import Resources
from paddleshunt_core.leased.runnerlife import RunnerLife


@final
class TaskId(msgspec.Struct, frozen=True, array_like=True, order=True):
    """A task of a job: the job's key, the number of its step and the task's index in it."""

    job: str
    step: int
    index: int

    def __str__(self) -> str:
        return f"{self.job}.{self.step}.{self.index}"


@final
class RunId(msgspec.Struct, frozen=True, array_like=True):
    """One start of a task; `number` rises with each."""

    task: TaskId
    number: int

    def __str__(self) -> str:
        return f"{self.task}#{self.number}"


class End(IntEnum):
    """How a run ended.

    LOST: it ran or may have run, and can't any more. NOT_STARTED: it never ran. STALE: the runner
    knows a later run of the task and refused this one. STUCK: stopped, as it made no progress.
    NO_ROOM: it never ran, as others had taken the room that the entry knew of.
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
    """What a target may be given: READY; otherwise nothing. EVACUATED: its data hall is."""

    READY = 0
    LEAVING = 1
    DOWN = 2
    EVACUATED = 3


class Health(IntEnum):
    """How far a runner is trusted. PROBATION: one task at a time. SICK: none."""

    GOOD = 0
    PROBATION = 1
    SICK = 2


class _Body(msgspec.Struct, frozen=True, array_like=True):
    """Base of what a frame carries."""


@final
class Assign(_Body, frozen=True, tag=1):
    """Run tasks of one step of a job.

    `estimate_ms` is a rough guess of a task's length; after `expires_ms` nobody waits for it.
    `queue` is named again if the runner is lost.
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
    """Stop the runs."""

    runs: list[RunId]


@final
class ResourceRequest(_Body, frozen=True, tag=9):
    """The most urgent task that waits for room at an entry, which must start in `within_ms`.

    It holds until the entry assigns the target something, or leaves an offer of room unused.
    """

    need: Resources
    within_ms: int


@final
class DeclineOffer(_Body, frozen=True, tag=10):
    """Leave the room that was offered to other entries: nothing waits that fits."""


@final
class Ended(_Body, frozen=True, tag=4):
    """Runs that ended, and how."""

    ends: list[tuple[RunId, End]]


@final
class RunnerReport(_Body, frozen=True, tag=5):
    """State of a runner.

    `labels` say what kind of host the runner's is, and in which rack it stands; `kind` is the one
    of them that is no rack, empty if none is. `cold_ms` is how much longer it stays slow after its
    start; 0 once it is warm. `runner` and `born` name its life.
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
    def incarnation(self) -> RunnerLife:
        """The life of the runner that it is about."""
        return RunnerLife(self.runner, self.born)


@final
class EntryAddress(msgspec.Struct, frozen=True, array_like=True, order=True):
    """An entry's name and the host:port on which it listens for peers.

    `life` is new at each start of the process; empty if the sender has not met the entry itself.
    `hall` is the data hall it stands in; empty if it is not known.
    """

    name: str
    address: str
    life: str = ""
    hall: str = ""


@final
class Entries(_Body, frozen=True, tag=6):
    """The entries that the sender knows to be alive."""

    entries: list[EntryAddress]


@final
class EntryChanges(_Body, frozen=True, tag=12):
    """What changed since the sender told which entries live; `gone` holds names."""

    joined: list[EntryAddress]
    gone: list[str]


@final
class CatalogUpdate(_Body, frozen=True, tag=7):
    """A configuration in force at the sender, as processes of the version before hand it on."""

    catalog: Catalog


@final
class CatalogVersion(_Body, frozen=True, tag=8):
    """The version in force at the sender; 0 for none. `wanted`: it asks for a newer one."""

    version: int
    wanted: bool = False


@final
class PackedCatalog(_Body, frozen=True, tag=20):
    """A configuration in force at the sender, packed; `version` is that of the content."""

    version: int
    content: bytes


@final
class EvacuationUpdate(_Body, frozen=True, tag=11):
    """The data halls that the sender knows to be evacuated."""

    evacuated: EvacuatedHalls


@final
class LossId(msgspec.Struct, frozen=True, array_like=True):
    """A loss of a runner: since when it was silent by its target's steady clock, and its life.

    `born` comes last, so that processes of the version before read the rest.
    """

    runner: str
    silent_ms: int
    born: int = 0

    @property
    def incarnation(self) -> RunnerLife:
        """The life of the runner that was lost."""
        return RunnerLife(self.runner, self.born)

    @classmethod
    def of(cls, life: RunnerLife, silent_ms: int) -> "LossId":
        """Return the loss of a life."""
        return cls(life.id, silent_ms, life.born)


@final
class RunnerLost(_Body, frozen=True, tag=13):
    """A life of a runner that ended, or gave no answer until its lease was over, unannounced.

    `tasks` were at work on it, each once; `queues` and `worked_ms` say in their order which queue
    each is of, and for how many milliseconds it had run when the runner fell silent. Whoever hands
    it on later says with `ago_ms` how long it has known. `ended` are those of the tasks that were
    seen at work last on a life that is known to have ended since, as another one answers in its
    place; while the life is only silent it is empty, and the same loss may be told again with it.
    """

    loss: LossId
    tasks: list[TaskId]
    queues: list[str] = []
    worked_ms: list[int] = []
    ago_ms: int = 0
    ended: list[TaskId] = []


@final
class RunnerReturned(_Body, frozen=True, tag=14):
    """A life of a runner that was silent or taken for lost answers again."""

    loss: LossId


@final
class KindSpeed(msgspec.Struct, frozen=True, array_like=True):
    """How slow a kind of host runs a service's tasks, against a usual host, in thousandths.

    `ends` is how many ends of tasks the sender has seen there itself that still count.
    """

    service: str
    kind: str
    slowness_thousandths: int
    ends: int


@final
class SpeedUpdate(_Body, frozen=True, tag=17):
    """What the sender has learned of how slow kinds of hosts are."""

    kinds: list[KindSpeed]


@final
class SessionCount(_Body, frozen=True, tag=19):
    """How many targets the sending entry has in session."""

    count: int


@final
class RunnerSilent(_Body, frozen=True, tag=15):
    """A life of a runner gives no answer; what is at work on it may go on.

    It shows early what may have taken the runner down; nothing counts as lost by it. `RunnerLost`
    or `RunnerReturned` follows with the same loss.
    """

    loss: LossId
    tasks: list[TaskId]
    queues: list[str]
    worked_ms: list[int]


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
)

LossUpdate = RunnerLost | RunnerReturned | RunnerSilent
"""What targets and entries tell of a runner that may have been lost."""


@final
class Hello(msgspec.Struct, frozen=True, array_like=True):
    """First message of a connection, each way.

    `life` is new at each start of the process. A target's `session` is the one that it would go on
    with, or 0 if nothing of an earlier one is left with it; an entry's is the one to use, or 0 if
    it doesn't go on with the one named. `received` is the last body that the sender had in it.
    """

    name: str
    life: str
    entry: bool
    hall: str
    address: str
    session: int
    received: int


@final
class Frame(msgspec.Struct, frozen=True, array_like=True):
    """Bodies numbered from `first`; `received` acknowledges the peer's.

    `stamp_ms` is the sender's steady clock; `echo_ms` is the highest stamp that it had from the
    peer, which so learns how fresh the sender's knowledge of it is.
    """

    first: int
    received: int
    stamp_ms: int
    echo_ms: int
    bodies: list[Body]
