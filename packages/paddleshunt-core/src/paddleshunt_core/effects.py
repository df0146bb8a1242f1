"""Effects that a state machine returns for the surrounding process to carry out."""

from dataclasses import dataclass
from typing import final

from paddleshunt_core.allotments import Allotment
from paddleshunt_core.events import Log
from paddleshunt_core.ids import Incarnation
from paddleshunt_core.messages import Absent, Answer, Body, Running


@final
@dataclass(frozen=True, slots=True)
class Send:
    """Send `body` to a peer. A send that fails locally is reported to `undelivered`."""

    to: Incarnation
    address: str
    body: Body


@final
@dataclass(frozen=True, slots=True)
class Start:
    """Start a task on the runner; its end is reported to `finished`. `timeout` is in seconds."""

    submission: str
    service: str
    index: int
    payload: bytes
    timeout: float


@final
@dataclass(frozen=True, slots=True)
class Reply:
    """Answer the waiting caller `caller`."""

    caller: int
    body: Answer | Running | Absent


@final
@dataclass(frozen=True, slots=True)
class WriteAllotment:
    """Write a row's allotment if the store still holds the revision that precedes it."""

    allotment: Allotment


Effect = Send | Start | Reply | Log | WriteAllotment
