"""Refusals of what others say: typed, counted by kind, and told at a bounded rate.

A word from outside either becomes a checked statement or a `Refusal`; it is never an exception in
the process that reads it, and never changes what an earlier good word said.
"""

from collections import OrderedDict
from collections.abc import Callable
from dataclasses import dataclass
from enum import Enum
from typing import final

import msgspec

from paddleshunt_core.events import Log, note

LINE_INTERVAL_SECONDS = 10.0
"""Seconds between two lines on one sender and kind: a word a second, refused for hours, must leave
an operator room to see the others."""

MAX_LINES_PER_KIND = 20
"""Lines on one kind of word in `LINE_INTERVAL_SECONDS`, whoever sends it: senders' names come from outside
too, and may be another each time."""

MAX_SENDERS = 256
"""Pairs of sender and kind that are told apart at a time; a host hears of some dozens."""

MAX_TEXT_LENGTH = 160
"""Signs of a sender's name or a problem in a line; both may come from outside."""

DECODE_ERRORS = (msgspec.MsgspecError, ValueError, OverflowError, RecursionError)
"""What decoding bytes from outside may raise: also text that is no UTF-8, and deep nesting."""


class InputKind(Enum):
    """What was said that is refused."""

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
    """A word that is not followed: what it was, whose it seems to be, and what is wrong with it."""

    kind: InputKind
    sender: str
    problem: str


RefusalHandler = Callable[[Refusal], None]
"""Takes a refusal."""


def ignore_refusal(refusal: Refusal) -> None:
    """Drop a refusal: for tools that read words and have no log."""


@final
class Refusals:
    """Which refusals of one process are told, and when."""

    def __init__(self) -> None:
        self._told: OrderedDict[tuple[InputKind, str], tuple[float, int]] = OrderedDict()
        """When a line on a pair was written last, and how many were left out since."""
        self._lines: dict[InputKind, tuple[float, int, int]] = {}
        """When the time for `MAX_LINES_PER_KIND` of a kind began, how many were written since, and how many
        of new senders were left out since the last line."""

    def record(self, now: float, refusal: Refusal) -> list[Log]:
        """Return the line on a refusal, unless one on its sender and kind was told lately."""
        key = (refusal.kind, escape_for_log(refusal.sender))
        told, left_out = self._told.get(key, (float("-inf"), 0))
        if now < told + LINE_INTERVAL_SECONDS:
            self._told[key] = (told, left_out + 1)
            return []
        began, lines, over = self._lines.get(refusal.kind, (now, 0, 0))
        if now >= began + LINE_INTERVAL_SECONDS:
            began, lines = now, 0
        if lines >= MAX_LINES_PER_KIND:
            self._lines[refusal.kind] = (began, lines, over + 1)
            return []
        self._lines[refusal.kind] = (began, lines + 1, 0)
        self._told[key] = (now, 0)
        self._told.move_to_end(key)
        if len(self._told) > MAX_SENDERS:
            self._told.popitem(last=False)
        return [
            note(
                "word_refused",
                word=refusal.kind.value,
                sender=key[1],
                problem=escape_for_log(refusal.problem),
                left_out=left_out + over,
            )
        ]


def escape_for_log(text: str) -> str:
    """Return text from outside as it may stand in a line of the log."""
    return ascii(text[:MAX_TEXT_LENGTH])[1:-1][:MAX_TEXT_LENGTH]
