"""Messages between the system's processes, and their encoding.

Every message is sent in an `Envelope` with the protocol version, the sending incarnation and the
receiving one; a process drops messages for another incarnation. Times in messages are
milliseconds. Results and payloads are JSON texts that are not parsed.
"""

from typing import final

import msgspec

from paddleshunt_core.ids import Incarnation
from paddleshunt_core.outcomes import Outcome
from paddleshunt_core.table import Row

PROTOCOL_VERSION = 1


class _Body(msgspec.Struct, frozen=True, array_like=True):
    """Base of all bodies: encoded as an array that starts with the tag."""


@final
class Load(msgspec.Struct, frozen=True, array_like=True):
    """Load of a target: its task slots, running and queued tasks, and the jobs it is home of."""

    slots: int = 0
    running: int = 0
    queued: int = 0
    jobs: int = 0


@final
class Task(msgspec.Struct, frozen=True, array_like=True):
    """One task of a submission: its index in the submission and its payload."""

    index: int
    payload: bytes


@final
class TaskBatch(msgspec.Struct, frozen=True, array_like=True):
    """Tasks of one submission for one target; they expire `expires_ms` after being sent."""

    submission: str
    service: str
    expires_ms: int
    tasks: list[Task]


@final
class TaskRefs(msgspec.Struct, frozen=True, array_like=True):
    """References to tasks of one submission, by index."""

    submission: str
    indexes: list[int]


@final
class TaskResult(msgspec.Struct, frozen=True, array_like=True):
    """The result of one task. `ok` is None if the runner's answer was lost."""

    submission: str
    index: int
    ok: bool | None
    payload: bytes


# Between an entry and a home.


@final
class Submit(_Body, frozen=True, tag="submit"):
    """Request to run these tasks under this id, unless the id is already known."""

    submission: str
    service: str
    repeatable: bool
    deadline_ms: int
    digest: bytes
    tasks: list[bytes]


@final
class Query(_Body, frozen=True, tag="query"):
    """Query for the state of a submission; `digest` is that of the request, or empty."""

    submission: str
    digest: bytes = b""


@final
class Answer(_Body, frozen=True, tag="answer"):
    """The outcome of a submission; final unless it is `NotAccepted` or `Conflict`.

    `digest` is that of the request or of the record it answers.
    """

    submission: str
    digest: bytes
    outcome: Outcome
    repeatable: bool = False


@final
class Running(_Body, frozen=True, tag="running"):
    """The submission is accepted and has no outcome yet."""

    submission: str
    digest: bytes


@final
class Absent(_Body, frozen=True, tag="absent"):
    """The home has no record of the submission, and its id may still be accepted."""

    submission: str
    digest: bytes


# Between a home and a gate. `seq` increases with each message of a home to a gate; a gate ignores
# messages whose `seq` is not higher than all before, so a late or repeated copy can't start a task.
# `stamp_ms` is the sender's estimate of the gate's clock; a gate ignores stamps before its window.


@final
class Assign(_Body, frozen=True, tag="assign"):
    """Request to start tasks. `acked` is the number of the last report the home has processed."""

    seq: int
    stamp_ms: int
    acked: int
    batches: list[TaskBatch]


@final
class Inquire(_Body, frozen=True, tag="inquire"):
    """Query for the state of tasks; `revoke` cancels those that have not started."""

    seq: int
    stamp_ms: int
    acked: int
    revoke: bool
    refs: list[TaskRefs]


@final
class Report(_Body, frozen=True, tag="report"):
    """Report of a gate to a home, numbered consecutively for each home.

    `refused` tasks have not started, and never will by a message up to `seen_seq`. `running` and
    `queued` list only tasks of the inquiry with the number `answers` (0: none).
    """

    number: int
    seen_seq: int
    answers: int
    clock_ms: int
    load: Load
    leaving: bool
    results: list[TaskResult]
    refused: list[TaskRefs]
    running: list[TaskRefs]
    queued: list[TaskRefs]


@final
class Misdirected(_Body, frozen=True, tag="misdirected"):
    """Reply to a message for an earlier incarnation of the host, which has ended."""

    ended: Incarnation


# Membership and configuration.


@final
class Share(msgspec.Struct, frozen=True, array_like=True):
    """One target's share of its row's limits, at a revision of the row's allotment."""

    revision: int
    max_running: int
    max_in_flight: int


@final
class Heartbeat(_Body, frozen=True, tag="heartbeat"):
    """Heartbeat of a target, with its load and the revisions of its configuration."""

    address: str
    site: str
    data_hall: str
    service: str
    leaving: bool
    ended: bool
    clock_ms: int
    load: Load
    table_revision: int
    share_revision: int
    view: int = 0
    """Digest of the last snapshot; an entry sends a new snapshot when it differs."""


@final
class PeerInfo(msgspec.Struct, frozen=True, array_like=True):
    """A target, as described by an entry to other targets."""

    incarnation: Incarnation
    address: str
    site: str
    clock_ms: int
    load: Load
    suspect: bool = False
    leaving: bool = False


@final
class EntryInfo(msgspec.Struct, frozen=True, array_like=True, order=True):
    """An entry's host and the address where it listens for peers."""

    host: str
    address: str


@final
class ServiceSnapshot(msgspec.Struct, frozen=True, array_like=True):
    """The rows of a target's service, the targets it may give work to, and the entries."""

    rows: list[Row]
    peers: list[PeerInfo]
    entries: list[EntryInfo]


@final
class View(_Body, frozen=True, tag="view"):
    """An entry's view for a target: its share and, if it changed, a snapshot.

    Without a snapshot, the target's one with `digest` is valid for `table_revision` too.
    """

    digest: int
    table_revision: int
    heartbeat_ms: int
    share: Share | None
    snapshot: ServiceSnapshot | None
    ended: list[Incarnation]


@final
class MemberUpdate(msgspec.Struct, frozen=True, array_like=True):
    """An entry's information about a target, for other entries."""

    incarnation: Incarnation
    heartbeat: Heartbeat
    age_ms: int
    suspect: bool = False


@final
class Exchange(_Body, frozen=True, tag="exchange"):
    """An entry's recent member updates and, in a full sync, its configuration as JSON texts."""

    table_revision: int
    members: list[MemberUpdate]
    ended: list[Incarnation]
    reply: bool = False
    table: bytes = b""
    allotments: list[bytes] = []


Body = (
    Submit
    | Query
    | Answer
    | Running
    | Absent
    | Assign
    | Inquire
    | Report
    | Misdirected
    | Heartbeat
    | View
    | Exchange
)


@final
class Envelope(msgspec.Struct, frozen=True, array_like=True):
    """A body with the protocol version, sender, sender's address and receiver.

    An empty boot in `to` addresses any incarnation on the host.
    """

    version: int
    sender: Incarnation
    address: str
    to: Incarnation
    body: Body


@final
class BadMessage(msgspec.Struct, frozen=True):
    """Bytes that could not be decoded as a message of this protocol version."""

    reason: str


_encoder = msgspec.msgpack.Encoder()
_decoder = msgspec.msgpack.Decoder(Envelope)


def body_tag(body: Body) -> str:
    """Return the body's tag, as used in metrics and logs."""
    return str(body.__struct_config__.tag)


def encode(envelope: Envelope) -> bytes:
    """Return the bytes of a message."""
    return _encoder.encode(envelope)


def decode(raw: bytes) -> Envelope | BadMessage:
    """Return the message in `raw`, or why it can't be decoded."""
    try:
        envelope = _decoder.decode(raw)
    except msgspec.MsgspecError as error:
        return BadMessage(str(error))
    if envelope.version != PROTOCOL_VERSION:
        return BadMessage(f"protocol version {envelope.version}, expected {PROTOCOL_VERSION}")
    return envelope
