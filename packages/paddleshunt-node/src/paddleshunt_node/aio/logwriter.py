"""Structured lines on standard output: bounded, and never in the way of a decision.

Each kind of event has a budget a second; what exceeds it is counted and told in a line of its own.
A full pipe drops the line and counts it.
"""

import logging
import os
import sys
import time
from collections import Counter
from typing import final

from paddleshunt_core.events import Log

from paddleshunt_node.logs import KeyValueFormatter

LINES_A_SECOND = 200
"""Lines of one kind of event that are written in a second."""

FAILED_LINES_A_SECOND = 800
"""The same for events that decide or explain a failed request."""

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
"""Events without which a failed request can't be explained."""

COLLECT_SECONDS = 0.1
"""Longest time for which lines are collected: what a killed process did last is not told."""

COLLECTED_BYTES = 4096
"""Bytes of collected lines that are written at once: a pipe takes so many whole or not at all."""

_LOGGER = "paddleshunt.leased"


@final
class _StandardOutput(logging.Handler):
    """Writes whole lines to a descriptor that may be full."""

    def __init__(self) -> None:
        super().__init__()
        self._descriptor = sys.stdout.fileno()
        os.set_blocking(self._descriptor, False)
        self._collected: list[bytes] = []
        self._bytes = 0
        self.dropped = 0

    @property
    def has_pending(self) -> bool:
        """Whether lines wait to be written."""
        return bool(self._collected)

    def emit(self, record: logging.LogRecord) -> None:
        line = self.format(record).encode() + b"\n"
        if self._bytes + len(line) > COLLECTED_BYTES:
            self.flush()
        self._collected.append(line)
        self._bytes += len(line)

    def flush(self) -> None:
        """Write what was collected."""
        if not self._collected:
            return
        lines = self._collected
        self._collected = []
        self._bytes = 0
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
    """Writes the events of one process.

    With `collect`, lines are written in blocks: what explains a failed request at once, the others
    when `flush` is called or a block is full. Whoever collects calls `flush` within
    `COLLECT_SECONDS` while `holds` says that lines wait.
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
        # Not one that is known by its name: each process of a test has its own.
        self._logger = logging.Logger(_LOGGER, level.upper())
        self._logger.addHandler(self._handler)
        self._second = 0
        self._written: Counter[str] = Counter()
        self.events: Counter[str] = Counter()

    @property
    def dropped(self) -> int:
        """Lines that a full pipe did not take, since the last line that said so."""
        return self._handler.dropped

    @property
    def has_pending(self) -> bool:
        """Whether lines wait to be written."""
        return self._handler.has_pending

    def flush(self) -> None:
        """Write what was collected."""
        self._handler.flush()

    def write(self, now: float, log: Log) -> None:
        """Write the line of one event, if its kind's budget allows."""
        if log.submission:
            self.event(now, log.event, job=log.submission, **log.fields)
        else:
            self.event(now, log.event, **log.fields)

    def event(self, now: float, name: str, /, **fields: str | int | float) -> None:
        """Write the line of one event, if its kind's budget allows."""
        self.events[name] += 1
        if int(now) != self._second:
            self._next_second(int(now))
        self._written[name] += 1
        explains = name in FAILURE_EVENTS
        budget = FAILED_LINES_A_SECOND if explains else LINES_A_SECOND
        if self._written[name] <= budget:
            self._write_line(name, fields)
        if explains or not self._collect:
            self.flush()

    def _next_second(self, second: int) -> None:
        self._second = second
        for name, count in self._written.items():
            budget = FAILED_LINES_A_SECOND if name in FAILURE_EVENTS else LINES_A_SECOND
            if count > budget:
                self._write_line("lines_left_out", {"kind": name, "lines": count - budget})
        self._written.clear()
        if self._handler.dropped:
            self._write_line("lines_dropped", {"lines": self._handler.dropped})
            self._handler.dropped = 0

    def _write_line(self, name: str, fields: dict[str, str | int | float]) -> None:
        self._logger.info(name, extra=fields)


def _skip_caller_lookup() -> None:
    """Let `logging` look up neither process, thread nor place in the code, as no line tells them.

    The process's number alone is a system call a line.
    """
    logging.logProcesses = False
    logging.logThreads = False
    logging.logMultiprocessing = False
    logging._srcfile = None
