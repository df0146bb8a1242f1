"""Interfaces between the processes and a platform, which an adapter implements."""

from collections.abc import Callable
from dataclasses import dataclass
from typing import Protocol, final

from paddleshunt_core.leased.cancellations import CancelResult
from paddleshunt_core.leased.catalog import Catalog, Queue
from paddleshunt_core.leased.evacuation import EvacuatedHalls
from paddleshunt_core.leased.jobs import JobRequest, JobState
from paddleshunt_core.leased.orders import (
    Poll,
    PollAnswer,
    RunnerStatus,
    StartAnswer,
    StartRun,
    StopRun,
)
from paddleshunt_core.leased.outcomes import JobOutcome
from paddleshunt_core.leased.runnerincarnation import RunnerIncarnation
from paddleshunt_core.leased.wire import EntryAddress

from paddleshunt_node.aio.httpserver import Request, Response


class StoreUnavailableError(Exception):
    """The store is unreachable, or rejected the request."""


@final
@dataclass(frozen=True, slots=True)
class OtherIncarnation:
    """Poll result: the runner at the address is not the expected one."""


@final
@dataclass(frozen=True, slots=True)
class Superseded:
    """Poll result to ignore: another incarnation is expected since the poll was sent."""


class RunnerPort(Protocol):
    """The runner on a target's host."""

    def expect(self, incarnation: RunnerIncarnation | None) -> None:
        """Address the next calls to this incarnation; None for any."""

    def refine_identity(self, incarnation: RunnerIncarnation) -> None:
        """Replace the expected incarnation's identity by a more complete one."""

    def supersede(self) -> None:
        """Make the runner reject all earlier orders once the next call reaches it."""

    async def start(self, order: StartRun, may_send: Callable[[], bool]) -> StartAnswer:
        """Order a start, unless `may_send` returns False right before it is sent."""

    async def stop(self, order: StopRun) -> bool:
        """Order a stop; return whether the runner confirmed it."""

    async def is_current_incarnation(self, incarnation: RunnerIncarnation) -> bool | None:
        """Ask whether this is the running incarnation; None if it is unknown."""

    async def poll(self, poll: Poll) -> PollAnswer | OtherIncarnation | Superseded | None:
        """Renew the lease and list the runs; None if there was no answer."""


@final
@dataclass(frozen=True, slots=True)
class OperatorUpdate:
    """Changes that the operator has written to the store; None where nothing changed."""

    catalog: Catalog | None = None
    evacuated: EvacuatedHalls | None = None


class StorePort(Protocol):
    """The parts of the platform's store that entries and targets use."""

    async def next_update(self) -> OperatorUpdate:
        """Wait a limited time for an update; raises `StoreUnavailableError`."""

    async def announce(self, entry: EntryAddress, seconds: float) -> None:
        """Store this entry's address for `seconds`; raises `StoreUnavailableError`."""

    async def withdraw(self) -> None:
        """Remove this entry's address; raises `StoreUnavailableError`."""

    async def entries(self) -> list[EntryAddress]:
        """Return the announced entries; raises `StoreUnavailableError`."""


@final
@dataclass(frozen=True, slots=True)
class Submission:
    """A decoded request that submits a job."""

    queue: Queue
    job: JobRequest


@final
@dataclass(frozen=True, slots=True)
class Cancellation:
    """A decoded request that cancels a job."""

    key: str


@final
@dataclass(frozen=True, slots=True)
class StateRequest:
    """A decoded request for the state of a job."""

    key: str


CallerRequest = Submission | Cancellation | StateRequest


class CallerCodec(Protocol):
    """Decodes callers' requests, and encodes outcomes as responses."""

    def read(self, request: Request, catalog: Catalog) -> CallerRequest | Response:
        """Return the decoded request, or the response to any other one."""

    def answer(self, outcome: JobOutcome) -> Response:
        """Return the response for an outcome."""

    def answer_cancellation(self, result: CancelResult) -> Response:
        """Return the response to a request that cancels a job."""

    def answer_state(self, state: JobState | None) -> Response:
        """Return the response to a request for a job's state; None if the job is unknown."""


@final
@dataclass(frozen=True, slots=True)
class RunnerDeregistration:
    """A runner's message that it is shutting down; without a start time it fits any incarnation."""

    runner: RunnerIncarnation


class RegistrationCodec(Protocol):
    """Decodes a runner's heartbeats and deregistrations, and encodes the responses."""

    def read(self, request: Request) -> RunnerStatus | RunnerDeregistration | Response:
        """Return the decoded message, or the response to an invalid request."""

    def acknowledge(self) -> Response:
        """Return the response to a message that was accepted."""

    def decline(self) -> Response:
        """Return the response to a heartbeat that was not accepted, so that it is repeated."""
