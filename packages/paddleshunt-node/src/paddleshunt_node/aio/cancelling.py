"""Callers' requests to cancel jobs: cancels them here and at the other entries, then answers."""

from collections.abc import Callable
from typing import Protocol, final

from paddleshunt_core.leased.cancellations import (
    CancelAnswer,
    CancelResult,
    PendingCancellations,
)
from paddleshunt_core.leased.dispatcher import Dispatcher, Effect
from paddleshunt_core.leased.wire import CancelledJob

from paddleshunt_node.aio import clock
from paddleshunt_node.aio.httpserver import Exchange
from paddleshunt_node.aio.ports import CallerCodec
from paddleshunt_node.aio.process import ProcessContext


class CancellationPeers(Protocol):
    """The other entries."""

    def broadcast_cancellation(self, job: CancelledJob) -> set[str]:
        """Send all entries a cancelled job; return the names of those that have to confirm it."""


@final
class CancellationHandler:
    """Handles cancellations at one entry; `act` performs the effects of the dispatcher."""

    def __init__(
        self,
        dispatcher: Dispatcher,
        peers: CancellationPeers,
        codec: CallerCodec,
        context: ProcessContext,
        act: Callable[[list[Effect]], None],
    ) -> None:
        self._dispatcher = dispatcher
        self._peers = peers
        self._codec = codec
        self._context = context
        self._act = act
        self._pending = PendingCancellations()
        self._exchanges: dict[int, Exchange] = {}
        """The unanswered requests."""

    def __len__(self) -> int:
        return len(self._pending)

    def handle(self, exchange: Exchange, key: str) -> None:
        """Cancel a job, here or at the entry that holds it."""
        number, job = exchange.number, CancelledJob(key)
        self._exchanges[number] = exchange
        held = self.cancel_here(job, "caller")
        entries = self._peers.broadcast_cancellation(job)
        if held:
            self._answer([CancelAnswer(number, key, CancelResult.CANCELLED)])
        else:
            self._answer(self._pending.begin(clock.now(), number, key, entries))

    def cancel_here(self, job: CancelledJob, source: str) -> bool:
        """Cancel a job at this entry only; return whether it was held here."""
        held, effects = self._dispatcher.cancel(clock.now(), job, source)
        self._act(effects)
        return held

    def confirmed(self, entry: str, key: str, *, held: bool) -> None:
        """Handle another entry's confirmation that it has cancelled a job."""
        self._answer(self._pending.confirmed(entry, key, held=held))

    def abandoned(self, number: int) -> None:
        """Drop a request whose caller has disconnected; its cancellation stays in force."""
        if self._exchanges.pop(number, None) is not None:
            self._pending.caller_left(number)

    def expire(self) -> None:
        """Answer the requests that were not confirmed in time."""
        self._answer(self._pending.expire(clock.now()))

    def finish(self) -> None:
        """Answer all requests, as the process exits."""
        self._answer(self._pending.finish())

    def _answer(self, answers: list[CancelAnswer]) -> None:
        for answer in answers:
            result = answer.result
            self._context.event("cancellation_answered", job=answer.key, result=result.value)
            self._exchanges.pop(answer.caller).respond(self._codec.answer_cancellation(result))
