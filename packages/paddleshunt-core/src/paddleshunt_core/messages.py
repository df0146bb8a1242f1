"""Messages between the system's own processes, and their encoding.

Every message travels in an `Envelope` that carries the protocol's version, the incarnation that
sent it and the one it is meant for; a process drops what was meant for another incarnation.
Times inside messages are milliseconds. Results and payloads are JSON texts, carried unread.
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
    """How busy a target is: tasks it may run at once, running, queued, and jobs it is home of."""

    slots: int = 0
    running: int = 0
    queued: int = 0
    jobs: int = 0


@final
class Task(msgspec.Struct, frozen=True, array_like=True):
    """One task of a submission: its place in the submission and its payload."""

    index: int
    payload: bytes


@final
class TaskBatch(msgspec.Struct, frozen=True, array_like=True):
    """Tasks of one submission for one target; they are worth nothing after `expires_ms` more."""

    submission: str
    service: str
    expires_ms: int
    tasks: list[Task]


@final
class TaskRefs(msgspec.Struct, frozen=True, array_like=True):
    """Names of tasks of one submission."""

    submission: str
    indexes: list[int]


@final
class TaskResult(msgspec.Struct, frozen=True, array_like=True):
    """The end of one task. `ok` is None where the runner's answer was lost."""

    submission: str
    index: int
    ok: bool | None
    payload: bytes


# Between an entry and a home.


@final
class Submit(_Body, frozen=True, tag="submit"):
    """Run these tasks under this id, unless the id is known already."""

    submission: str
    service: str
    repeatable: bool
    deadline_ms: int
    digest: bytes
    tasks: list[bytes]


@final
class Query(_Body, frozen=True, tag="query"):
    """Tell the state of a submission. `digest` is the asking request's, empty if it has none."""

    submission: str
    digest: bytes = b""


@final
class Answer(_Body, frozen=True, tag="answer"):
    """The outcome of a submission; final unless it is `NotAccepted` or `Conflict`.

    `digest` repeats the one of the request or of the record it answers.
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
    """The home holds no record of the submission, and its id may still be accepted."""

    submission: str
    digest: bytes


# Between a home and a gate. `seq` grows with each message of a home to a gate; a gate takes none
# whose `seq` is not above all it has seen, so a late or repeated copy can't start anything.
# `stamp_ms` is the sender's estimate of the gate's clock; a gate takes none older than its window.


@final
class Assign(_Body, frozen=True, tag="assign"):
    """Start these tasks. `acked` is the last report that the home has taken."""

    seq: int
    stamp_ms: int
    acked: int
    batches: list[TaskBatch]


@final
class Inquire(_Body, frozen=True, tag="inquire"):
    """Tell the state of these tasks; with `revoke`, never start those that have not started."""

    seq: int
    stamp_ms: int
    acked: int
    revoke: bool
    refs: list[TaskRefs]


@final
class Report(_Body, frozen=True, tag="report"):
    """What a gate tells a home, numbered without gaps for each home.

    `refused` tasks have not started and never will under any message up to `seen_seq`; `running`
    and `queued` list only tasks asked about by the inquiry numbered `answers` (0: none).
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
    """The message was meant for an earlier incarnation of the host, which has ended."""

    ended: Incarnation


# Membership and configuration.


@final
class Share(msgspec.Struct, frozen=True, array_like=True):
    """What one target may use of its row's limits, at a revision of the row's allotment."""

    revision: int
    max_running: int
    max_in_flight: int


@final
class Heartbeat(_Body, frozen=True, tag="heartbeat"):
    """A target says that it is there, how busy it is and which configuration it follows."""

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
    """Digest of the last whole view; an entry sends the whole view again when it differs."""


@final
class PeerInfo(msgspec.Struct, frozen=True, array_like=True):
    """A target as entries tell it to other targets."""

    incarnation: Incarnation
    address: str
    site: str
    clock_ms: int
    load: Load
    suspect: bool = False
    leaving: bool = False


@final
class EntryInfo(msgspec.Struct, frozen=True, array_like=True, order=True):
    """An entry's host and the address where it hears peers."""

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
    """What an entry tells a target: its share and, where that is news, a whole picture.

    Without a picture, the one that the target has under `digest` holds for `table_revision` too.
    """

    digest: int
    table_revision: int
    heartbeat_ms: int
    share: Share | None
    snapshot: ServiceSnapshot | None
    ended: list[Incarnation]


@final
class MemberUpdate(msgspec.Struct, frozen=True, array_like=True):
    """What one entry heard of one target, for other entries."""

    incarnation: Incarnation
    heartbeat: Heartbeat
    age_ms: int
    suspect: bool = False


@final
class Exchange(_Body, frozen=True, tag="exchange"):
    """What an entry heard lately, and the configuration it follows (JSON texts, with sync only)."""

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
    """A body with its protocol version, sender, the sender's address and receiver.

    An empty boot in `to` means whichever incarnation runs on the host.
    """

    version: int
    sender: Incarnation
    address: str
    to: Incarnation
    body: Body


@final
class BadMessage(msgspec.Struct, frozen=True):
    """Bytes that are no message of this protocol version."""

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
    """Return the message in `raw`, or why it can't be taken."""
    try:
        envelope = _decoder.decode(raw)
    except msgspec.MsgspecError as error:
        return BadMessage(str(error))
    if envelope.version != PROTOCOL_VERSION:
        return BadMessage(f"protocol version {envelope.version}, expected {PROTOCOL_VERSION}")
    return envelope
