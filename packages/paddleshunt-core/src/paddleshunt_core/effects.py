"""What a state machine asks its surroundings to do."""

from dataclasses import dataclass
from typing import final

from paddleshunt_core.allotments import Allotment
from paddleshunt_core.events import Log
from paddleshunt_core.ids import Incarnation
from paddleshunt_core.messages import Absent, Answer, Body, Running


@final
@dataclass(frozen=True, slots=True)
class Send:
    """Send `body` to a peer. A send that fails locally comes back as `undelivered`."""

    to: Incarnation
    address: str
    body: Body


@final
@dataclass(frozen=True, slots=True)
class Start:
    """Hand a task to the runner; its end comes back as `finished`. `timeout` is in seconds."""

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
    """Write a row's allotment to the store if it still holds the one that this one follows."""

    allotment: Allotment


Effect = Send | Start | Reply | Log | WriteAllotment
