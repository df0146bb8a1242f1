"""What entry and target processes share: tasks, log, metrics, signals and operator pages."""

import asyncio
import signal
from collections.abc import Callable, Coroutine
from typing import Any, final

import msgspec
from paddleshunt_core.events import Log
from paddleshunt_core.leased.refusals import Refusal, Refusals

from paddleshunt_node.aio import clock
from paddleshunt_node.aio.httpserver import Exchange, HttpServer, Response
from paddleshunt_node.aio.logwriter import FLUSH_SECONDS, LogWriter
from paddleshunt_node.aio.metrics import Metrics


@final
class OperatorPages:
    """Serves `/metrics` and `/dump`."""

    def __init__(self, metrics: Metrics, dump: Callable[[], dict[str, object]]) -> None:
        self._metrics = metrics
        self._dump = dump

    def handle(self, exchange: Exchange) -> None:
        """Respond with the requested page."""
        if exchange.request.path == "/dump":
            body = msgspec.json.encode(self._dump())
            exchange.respond(Response(200, body, "application/json"))
            return
        exchange.respond(Response(200, self._metrics.page(), "text/plain; version=0.0.4"))

    def abandoned(self, exchange: Exchange) -> None:
        """Ignore a disconnected client."""


@final
class ProcessContext:
    """Tasks, log, metrics and signal handling of one process."""

    def __init__(self, log_writer: LogWriter, metrics: Metrics) -> None:
        self.log_writer = log_writer
        self.metrics = metrics
        self.stopping = asyncio.Event()
        self._refusals = Refusals()
        self._tasks: set[asyncio.Task[None]] = set()
        self._loop: asyncio.AbstractEventLoop | None = None
        self._flushing = False

    def listen_to_signals(self, reload: Callable[[], None]) -> None:
        """Set `stopping` on SIGTERM or SIGINT, and call `reload` on SIGHUP."""
        loop = asyncio.get_running_loop()
        loop.add_signal_handler(signal.SIGTERM, self.stopping.set)
        loop.add_signal_handler(signal.SIGINT, self.stopping.set)
        loop.add_signal_handler(signal.SIGHUP, reload)

    def spawn(self, work: Coroutine[Any, Any, None]) -> None:
        """Run `work` as a task; an exception in it stops the process."""
        if self._loop is None:
            self._loop = asyncio.get_running_loop()
        task = self._loop.create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._finished)

    def log(self, log: Log) -> None:
        """Log the event of a state machine."""
        self.log_writer.write(clock.now(), log)
        self._schedule_flush()

    def event(self, name: str, /, **fields: str | int | float) -> None:
        """Log an event with its fields."""
        self.log_writer.event(clock.now(), name, **fields)
        self._schedule_flush()

    def refuse(self, refusal: Refusal) -> None:
        """Count a refused message, and log it unless a similar one was logged lately."""
        self.metrics.refused(refusal.kind.value)
        for log in self._refusals.record(clock.now(), refusal):
            self.log(log)

    def cancel(self) -> None:
        """Cancel all tasks."""
        for task in list(self._tasks):
            task.cancel()

    def _schedule_flush(self) -> None:
        """Schedule a flush of buffered lines, unless one is scheduled."""
        if self._flushing or not self.log_writer.has_pending:
            return
        if self._loop is None:
            self.log_writer.flush()
            return
        self._flushing = True
        self._loop.call_later(FLUSH_SECONDS, self._flush)

    def _flush(self) -> None:
        self._flushing = False
        self.log_writer.flush()

    def _finished(self, task: asyncio.Task[None]) -> None:
        self._tasks.discard(task)
        if not task.cancelled() and task.exception() is not None:
            self.event("task_failed", error=repr(task.exception()))
            self.stopping.set()


async def serve_pages(pages: OperatorPages, address: str, context: ProcessContext) -> None:
    """Serve the operators' pages at host:port; log a failure, and go on without them."""
    try:
        await HttpServer(pages).start(address)
    except OSError as problem:
        context.event("pages_unavailable", address=address, problem=str(problem))
