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

_LOGGER = "paddleshunt.leased"


@final
class _StandardOutput(logging.Handler):
    """Writes whole lines to a descriptor that may be full."""

    def __init__(self) -> None:
        super().__init__()
        self._descriptor = sys.stdout.fileno()
        os.set_blocking(self._descriptor, False)
        self.dropped = 0

    def emit(self, record: logging.LogRecord) -> None:
        line = self.format(record).encode() + b"\n"
        try:
            written = os.write(self._descriptor, line)
        except OSError:
            self.dropped += 1
            return
        if written < len(line):
            self.dropped += 1


@final
class LogLines:
    """Writes the events of one process."""

    def __init__(self, level: str = "info") -> None:
        self._handler = _StandardOutput()
        formatter = KeyValueFormatter(
            "%(asctime)s %(message)s", rename_fields={"asctime": "time", "message": "event"}
        )
        formatter.default_time_format = "%Y-%m-%dT%H:%M:%S"
        formatter.default_msec_format = "%s.%03d"
        formatter.converter = time.gmtime
        self._handler.setFormatter(formatter)
        self._logger = logging.getLogger(_LOGGER)
        self._logger.handlers = [self._handler]
        self._logger.setLevel(level.upper())
        self._logger.propagate = False
        self._second = 0
        self._written: Counter[str] = Counter()
        self.events: Counter[str] = Counter()

    @property
    def dropped(self) -> int:
        """Lines that a full pipe did not take, since the last line that said so."""
        return self._handler.dropped

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
        budget = FAILED_LINES_A_SECOND if name in FAILURE_EVENTS else LINES_A_SECOND
        if self._written[name] <= budget:
            self._logger.info(name, extra=fields)

    def _next_second(self, second: int) -> None:
        self._second = second
        for name, count in self._written.items():
            budget = FAILED_LINES_A_SECOND if name in FAILURE_EVENTS else LINES_A_SECOND
            if count > budget:
                extra = {"kind": name, "lines": count - budget}
                self._logger.info("lines_left_out", extra=extra)
        self._written.clear()
        if self._handler.dropped:
            self._logger.info("lines_dropped", extra={"lines": self._handler.dropped})
            self._handler.dropped = 0
