"""What the processes ask of the surroundings; an adapter implements these for a platform."""

from collections.abc import Callable
from dataclasses import dataclass
from typing import Protocol, final

from paddleshunt_core.leased.catalog import Catalog, Queue
from paddleshunt_core.leased.evacuation import EvacuatedHalls
from paddleshunt_core.leased.jobs import JobRequest
from paddleshunt_core.leased.orders import (
    Look,
    LookAnswer,
    RunnerAccount,
    StartAnswer,
    StartRun,
    StopRun,
)
from paddleshunt_core.leased.outcomes import JobOutcome
from paddleshunt_core.leased.runnerlife import RunnerLife
from paddleshunt_core.leased.wire import EntryAddress

from paddleshunt_node.aio.httpserver import Request, Response


class StoreUnavailableError(Exception):
    """The store did not answer, or would not."""


@final
@dataclass(frozen=True, slots=True)
class OtherIncarnation:
    """A runner of another id answered than the one meant."""


@final
@dataclass(frozen=True, slots=True)
class Superseded:
    """A look's answer that says nothing: another life is meant since the look was sent."""


class RunnerPort(Protocol):
    """The runner beside a target."""

    def expect(self, life: RunnerLife | None) -> None:
        """Mean another life of the runner with what follows than before; None for any."""

    def refine_identity(self, life: RunnerLife) -> None:
        """Take a fuller name of the life that is meant."""

    def supersede(self) -> None:
        """Have the runner refuse what it was ordered until now, once the next call reaches it."""

    async def start(self, order: StartRun, may_send: Callable[[], bool]) -> StartAnswer:
        """Order a start, unless `may_send` says no right before the order leaves."""

    async def stop(self, order: StopRun) -> bool:
        """Order a stop; return whether the runner confirmed it."""

    async def is_current_incarnation(self, life: RunnerLife) -> bool | None:
        """Ask whether this life of the runner is the one there; None: that isn't said."""

    async def poll(self, poll: Look) -> LookAnswer | OtherIncarnation | Superseded | None:
        """Renew the lease and look at what runs; None: no answer."""


@final
@dataclass(frozen=True, slots=True)
class OperatorUpdate:
    """What the operator has written: a newer configuration, evacuated halls; None: no news."""

    catalog: Catalog | None = None
    evacuated: EvacuatedHalls | None = None


class StorePort(Protocol):
    """The platform's store, as far as an entry or a target needs it."""

    async def next_update(self) -> OperatorUpdate:
        """Wait for what the operator writes, for a while; raises `StoreUnavailableError`."""

    async def announce(self, entry: EntryAddress, seconds: float) -> None:
        """Tell others of this entry, for `seconds` or until told again."""

    async def withdraw(self) -> None:
        """Take the announcement back."""

    async def entries(self) -> list[EntryAddress]:
        """Return the announced entries; raises `StoreUnavailableError`."""


@final
@dataclass(frozen=True, slots=True)
class Submission:
    """A request that hands in a job."""

    queue: Queue
    job: JobRequest


class CallerCodec(Protocol):
    """Turns callers' requests into jobs, and outcomes into answers."""

    def read(self, request: Request, catalog: Catalog) -> Submission | Response:
        """Return the job, or the answer to a request that is none."""

    def answer(self, outcome: JobOutcome) -> Response:
        """Return the answer that tells the outcome."""


@final
@dataclass(frozen=True, slots=True)
class RunnerDeregistration:
    """A runner's word that it ends now; an id alone may be of any of its lives."""

    runner: RunnerLife


class RegistrationCodec(Protocol):
    """Turns the requests by which a runner registers into accounts."""

    def read(self, request: Request) -> RunnerAccount | RunnerDeregistration | Response:
        """Return what the runner says, or the answer to a request that is none."""

    def acknowledge(self) -> Response:
        """Return the answer that takes note of it."""

    def decline(self) -> Response:
        """Return the answer to an account that nothing follows from; it is to be said again."""
