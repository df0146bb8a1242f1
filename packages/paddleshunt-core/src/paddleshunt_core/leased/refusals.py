"""Invalid input from outside the process: typed, counted by kind and logged at a bounded rate.

Input from outside either yields a validated value or a `Refusal`. It never raises in the process
that reads it, and never replaces the values of earlier valid input.
"""

from collections import OrderedDict
from collections.abc import Callable
from dataclasses import dataclass
from enum import Enum
from typing import final

import msgspec

from paddleshunt_core.events import Log, note

LINE_INTERVAL_SECONDS = 10.0
"""Seconds between two log lines for one sender and kind, so that one sender can't flood the log."""

MAX_LINES_PER_KIND = 20
"""Log lines for one kind in `LINE_INTERVAL_SECONDS`, across senders, whose names may be forged."""

MAX_SENDERS = 256
"""Pairs of sender and kind that are tracked at a time."""

MAX_TEXT_LENGTH = 160
"""Characters of a sender's name or of a problem in a log line."""

DECODE_ERRORS = (msgspec.MsgspecError, ValueError, OverflowError, RecursionError)
"""Exceptions that decoding untrusted bytes may raise, also for invalid UTF-8 and deep nesting."""


class InputKind(Enum):
    """A kind of input that may be refused; the values are log and metric labels."""

    HEARTBEAT = "heartbeat"
    RUNNER_END = "runner_end"
    RUNNER_ANSWER = "runner_answer"
    STORE_ITEM = "store_item"
    CONFIGURATION = "configuration"
    ROUTE = "route"
    EVACUATION = "evacuation"
    ADDRESS = "address"
    GREETING = "greeting"
    FRAME = "frame"
    REQUEST = "request"


@final
@dataclass(frozen=True, slots=True)
class Refusal:
    """Input that was refused: its kind, its apparent sender and what is wrong with it."""

    kind: InputKind
    sender: str
    problem: str


RefusalHandler = Callable[[Refusal], None]
"""Callback that receives a refusal."""


def ignore_refusal(refusal: Refusal) -> None:
    """Drop a refusal; for tools that have no log."""


@final
class Refusals:
    """Rate limiter for the log lines about the refusals of one process."""

    def __init__(self) -> None:
        self._pairs: OrderedDict[tuple[InputKind, str], tuple[float, int]] = OrderedDict()
        """By kind and sender: the time of the last line, and the lines suppressed since."""
        self._lines: dict[InputKind, tuple[float, int, int]] = {}
        """By kind: the start of the current interval, the lines written in it, and the lines of new
        senders suppressed since the last line."""

    def record(self, now: float, refusal: Refusal) -> list[Log]:
        """Return the log line for a refusal, or none while its sender or kind is rate-limited."""
        key = (refusal.kind, escape_for_log(refusal.sender))
        logged, left_out = self._pairs.get(key, (float("-inf"), 0))
        if now < logged + LINE_INTERVAL_SECONDS:
            self._pairs[key] = (logged, left_out + 1)
            return []
        started, lines, suppressed = self._lines.get(refusal.kind, (now, 0, 0))
        if now >= started + LINE_INTERVAL_SECONDS:
            started, lines = now, 0
        if lines >= MAX_LINES_PER_KIND:
            self._lines[refusal.kind] = (started, lines, suppressed + 1)
            return []
        self._lines[refusal.kind] = (started, lines + 1, 0)
        self._pairs[key] = (now, 0)
        self._pairs.move_to_end(key)
        if len(self._pairs) > MAX_SENDERS:
            self._pairs.popitem(last=False)
        return [
            note(
                "word_refused",
                word=refusal.kind.value,
                sender=key[1],
                problem=escape_for_log(refusal.problem),
                left_out=left_out + suppressed,
            )
        ]


def escape_for_log(text: str) -> str:
    """Return text from outside as short, printable ASCII."""
    return ascii(text[:MAX_TEXT_LENGTH])[1:-1][:MAX_TEXT_LENGTH]
