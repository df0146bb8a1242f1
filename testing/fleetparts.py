"""Parts of a test fleet: its shape, processes, submissions and link faults."""

from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass, field

from paddleshunt_core.entry import Entry
from paddleshunt_core.home import HomeLimits
from paddleshunt_core.ids import Incarnation
from paddleshunt_core.members import Role
from paddleshunt_core.messages import Submit
from paddleshunt_core.target import Target


@dataclass
class Process:
    """One process of the fleet, with its state in the test environment."""

    host: str
    role: Role
    site: str
    incarnation: Incarnation
    machine: Entry | Target
    alive: bool = True
    paused: bool = False
    deferred: list[Callable[[], None]] = field(default_factory=list)
    versions: dict[str, int] = field(default_factory=dict)
    revision: int = 0


@dataclass
class Job:
    """A submission of a test's caller, and all answers to it."""

    name: str
    submission: str
    message: Submit
    answers: list[str] = field(default_factory=list)
    answered_at: list[float] = field(default_factory=list)
    sent: float = 0.0
    retry_after_ms: int = 0

    @property
    def outcome(self) -> str:
        return self.answers[-1] if self.answers else "none"


@dataclass
class Links:
    """Faults of links: which are cut, and which messages are dropped, repeated or delayed."""

    cut: set[tuple[str, str]] = field(default_factory=set)
    drop: Counter[str] = field(default_factory=Counter)
    duplicate: Counter[str] = field(default_factory=Counter)
    delay: dict[str, float] = field(default_factory=dict)
    late_copy: Counter[str] = field(default_factory=Counter)
    late_seconds: float = 0.0
    drop_share: float = 0.0
    duplicate_share: float = 0.0
    jitter: float = 0.0


@dataclass(frozen=True)
class Shape:
    """Size of a fleet: targets by site, entries, slots, limits of each row and task durations."""

    sites: dict[str, int]
    entries: int = 2
    slots: int = 4
    pipeline: int = 2
    max_running: int | None = None
    max_in_flight: int | None = None
    home: HomeLimits = field(default_factory=HomeLimits)
    task_seconds: tuple[float, float] = (0.05, 0.5)
    straggler_share: float = 0.0
    straggler_seconds: float = 3.0
