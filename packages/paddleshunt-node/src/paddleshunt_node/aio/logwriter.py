"""Structured log lines on standard output, rate-limited and written without blocking.

Each kind of event has a budget of lines a second; lines beyond it are counted in a
`lines_left_out` line, and lines that a full pipe doesn't accept in a `lines_dropped` line.
"""

import logging
import os
import sys
import time
from collections import Counter
from typing import final

from paddleshunt_core.events import Log

from paddleshunt_node.logs import KeyValueFormatter

MAX_LINES_PER_SECOND = 200
"""Budget of lines of one kind of event."""

MAX_FAILURE_LINES_PER_SECOND = 800
"""Budget of lines of one kind in `FAILURE_EVENTS`."""

FAILURE_EVENTS = frozenset(
    {
        "job_answered",
        "job_given_up",
        "runner_lost",
        "task_returned",
        "run_stopping",
        "run_lapsed",
        "foreign_run_stopping",
        "start_rejected",
        "session_ended",
        "stood_still",
    }
)
"""Events needed to explain a failed request."""

FLUSH_SECONDS = 0.1
"""Maximum seconds for which lines are buffered; a killed process loses them."""

MAX_BLOCK_BYTES = 4096
"""Maximum size of a write of several lines; writes to a pipe are atomic up to PIPE_BUF, 4096 bytes
on Linux."""

_LOGGER = "paddleshunt.leased"


@final
class _StandardOutput(logging.Handler):
    """Writes lines to standard output without blocking, and counts those that are dropped."""

    def __init__(self) -> None:
        super().__init__()
        self._descriptor = sys.stdout.fileno()
        os.set_blocking(self._descriptor, False)
        self._buffered: list[bytes] = []
        self._buffered_bytes = 0
        self.dropped = 0

    @property
    def has_pending(self) -> bool:
        """Whether lines are buffered."""
        return bool(self._buffered)

    def emit(self, record: logging.LogRecord) -> None:
        line = self.format(record).encode() + b"\n"
        if self._buffered_bytes + len(line) > MAX_BLOCK_BYTES:
            self.write_buffered()
        self._buffered.append(line)
        self._buffered_bytes += len(line)

    def write_buffered(self) -> None:
        """Write the buffered lines."""
        if not self._buffered:
            return
        lines = self._buffered
        self._buffered = []
        self._buffered_bytes = 0
        block = b"".join(lines)
        try:
            written = os.write(self._descriptor, block)
        except OSError:
            self.dropped += len(lines)
            return
        if written < len(block):
            self.dropped += block[written:].count(b"\n")


@final
class LogWriter:
    """Writes the events of one process as log lines.

    With `collect`, lines are buffered until a block is full, an event of `FAILURE_EVENTS` is
    written or `flush` is called. The caller then calls `flush` within `FLUSH_SECONDS` while
    `has_pending` is true.
    """

    def __init__(self, level: str = "info", *, collect: bool = False) -> None:
        _skip_caller_lookup()
        self._collect = collect
        self._handler = _StandardOutput()
        formatter = KeyValueFormatter(
            "%(asctime)s %(message)s", rename_fields={"asctime": "time", "message": "event"}
        )
        formatter.default_time_format = "%Y-%m-%dT%H:%M:%S"
        formatter.default_msec_format = "%s.%03d"
        formatter.converter = time.gmtime
        self._handler.setFormatter(formatter)
        # Not from logging.getLogger, as several processes of a test run in one interpreter.
        self._logger = logging.Logger(_LOGGER, level.upper())
        self._logger.addHandler(self._handler)
        self._second = 0
        self._written: Counter[str] = Counter()
        self.events: Counter[str] = Counter()

    @property
    def dropped(self) -> int:
        """Lines dropped by a full pipe since the last `lines_dropped` line."""
        return self._handler.dropped

    @property
    def has_pending(self) -> bool:
        """Whether lines are buffered."""
        return self._handler.has_pending

    def flush(self) -> None:
        """Write the buffered lines."""
        self._handler.write_buffered()

    def write(self, now: float, log: Log) -> None:
        """Write the line of a state machine's event, if its kind's budget allows."""
        if log.submission:
            self.event(now, log.event, job=log.submission, **log.fields)
        else:
            self.event(now, log.event, **log.fields)

    def event(self, now: float, name: str, /, **fields: str | int | float) -> None:
        """Write the line of one event, if its kind's budget allows."""
        self.events[name] += 1
        if int(now) != self._second:
            self._start_second(int(now))
        self._written[name] += 1
        is_failure = name in FAILURE_EVENTS
        budget = MAX_FAILURE_LINES_PER_SECOND if is_failure else MAX_LINES_PER_SECOND
        if self._written[name] <= budget:
            self._write_line(name, fields)
        if is_failure or not self._collect:
            self.flush()

    def _start_second(self, second: int) -> None:
        self._second = second
        for name, count in self._written.items():
            budget = (
                MAX_FAILURE_LINES_PER_SECOND if name in FAILURE_EVENTS else MAX_LINES_PER_SECOND
            )
            if count > budget:
                self._write_line("lines_left_out", {"kind": name, "lines": count - budget})
        self._written.clear()
        if self._handler.dropped:
            self._write_line("lines_dropped", {"lines": self._handler.dropped})
            self._handler.dropped = 0

    def _write_line(self, name: str, fields: dict[str, str | int | float]) -> None:
        self._logger.info(name, extra=fields)


def _skip_caller_lookup() -> None:
    """Keep `logging` from looking up process, thread and source location, which no line contains.

    The process id alone would cost a system call per line.
    """
    logging.logProcesses = False
    logging.logThreads = False
    logging.logMultiprocessing = False
    logging._srcfile = None
