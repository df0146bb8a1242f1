"""The gate: decides which tasks its runner starts, and never lets one start twice.

A gate takes tasks from any home. It holds one record for each task until the home has acknowledged
the task's end, and the highest message number of each home. A copy of a message that comes late or
twice has a number that is not above the highest, and is dropped; so a task whose record is
forgotten can't be started by an old message.
"""

from collections import deque
from collections.abc import Iterable
from dataclasses import dataclass, field
from enum import Enum, auto
from typing import final

from paddleshunt_core.effects import Effect, Send, Start
from paddleshunt_core.events import Log
from paddleshunt_core.ids import Incarnation
from paddleshunt_core.messages import (
    Assign,
    Inquire,
    Load,
    Report,
    Share,
    Task,
    TaskBatch,
    TaskRefs,
    TaskResult,
)
from paddleshunt_core.waste import Waste

TaskKey = tuple[str, int]

MAX_STAMP_AGE = 30.0
"""Seconds for which a message of a home is valid by the gate's clock."""

MAX_STAMP_LEAD = 5.0
"""Seconds by which a home's estimate of the gate's clock may be ahead."""

RETENTION_SECONDS = 60.0
"""Seconds that a record is kept after its task's deadline, and a channel after its last message.

Longer than `MAX_STAMP_AGE + MAX_STAMP_LEAD`, so that every valid message finds them.
"""


@final
@dataclass(frozen=True, slots=True)
class GateLimits:
    """Slots of the runner, tasks to queue beyond them, and bytes of results kept for homes.

    Homes aim to queue only a few (`Placement`'s pipeline); the gate's queue is longer, so that
    what several of them sent at once is queued instead of refused.
    """

    slots: int
    queue: int = 8
    result_bytes: int = 4 << 20


class _Phase(Enum):
    QUEUED = auto()
    RUNNING = auto()
    ENDED = auto()


@dataclass(slots=True)
class _Record:
    home: Incarnation
    service: str
    payload: bytes
    expires: float
    phase: _Phase = _Phase.QUEUED
    ok: bool | None = None
    reported_in: int = 0


@dataclass(slots=True)
class _Channel:
    """What the gate knows of one home, and what its next report will say."""

    address: str
    last_heard: float
    seen_seq: int = 0
    reports: int = 0
    answers: int = 0
    dirty: bool = False
    unacked: deque[TaskKey] = field(default_factory=deque)
    results: list[TaskResult] = field(default_factory=list)
    refused: dict[str, list[int]] = field(default_factory=dict)
    running: dict[str, list[int]] = field(default_factory=dict)
    queued: dict[str, list[int]] = field(default_factory=dict)


@final
class Gate:
    """State of one gate. Call `flush` after each batch of inputs to get reports for the homes."""

    def __init__(self, limits: GateLimits, waste: Waste | None = None) -> None:
        self._limits = limits
        self._waste = waste or Waste()
        self._share: Share | None = None
        self._records: dict[TaskKey, _Record] = {}
        self._queue: deque[TaskKey] = deque()
        self._channels: dict[Incarnation, _Channel] = {}
        self._running = 0
        self._kept_bytes = 0
        self._kept: deque[TaskKey] = deque()
        self._next_sweep = 0.0
        self._highest_report = 0
        # Homes that were refused for lack of room, to be told when there is some.
        self._wanting: dict[Incarnation, None] = {}
        self.leaving = False

    @property
    def load(self) -> Load:
        """Tasks running and queued here, and the slots in force now."""
        return Load(self._slots, self._running, len(self._queue))

    @property
    def share_revision(self) -> int:
        """Revision of the share in force; 0 before the first."""
        return self._share.revision if self._share else 0

    @property
    def idle(self) -> bool:
        """Whether no task runs or waits here."""
        return self._running == 0 and not self._queue

    def describe(self) -> dict[str, object]:
        """Return a summary of the state for a dump."""
        return {
            "load": self.load,
            "leaving": self.leaving,
            "share": self._share,
            "records": len(self._records),
            "channels": len(self._channels),
            "kept_result_bytes": self._kept_bytes,
        }

    def set_share(self, now: float, share: Share) -> list[Effect]:
        """Follow `share` if its revision is higher than the one in force."""
        if share.revision <= self.share_revision:
            return []
        self._share = share
        fields = {"revision": share.revision, "max_running": share.max_running}
        return [Log("share_adopted", fields=dict(fields)), *self._pump(now)]

    def leave(self) -> None:
        """Refuse all new work, and give back what is queued as not started."""
        self.leaving = True
        for key in list(self._queue):
            self._refuse_record(key)

    def assign(self, now: float, home: Incarnation, address: str, message: Assign) -> list[Effect]:
        """Take tasks from a home, or refuse those there is no room for."""
        channel = self._open(now, home, address, message)
        if channel is None:
            return []
        stale = self._is_stale(now, message.stamp_ms)
        for batch in message.batches:
            for task in batch.tasks:
                self._admit(now, home, channel, batch, task, stale=stale)
        return self._pump(now)

    def inquire(
        self, now: float, home: Incarnation, address: str, message: Inquire
    ) -> list[Effect]:
        """Tell a home where its tasks are; those not known here will never start."""
        channel = self._open(now, home, address, message)
        if channel is None or self._is_stale(now, message.stamp_ms):
            return []
        channel.answers = message.seq
        channel.dirty = True
        for refs in message.refs:
            for index in refs.indexes:
                self._tell(channel, (refs.submission, index), revoke=message.revoke)
        return self._pump(now)

    def finished(
        self, now: float, submission: str, index: int, ok: bool | None, payload: bytes
    ) -> list[Effect]:
        """Take the end of a started task from the runner (`ok` None: its answer was lost)."""
        key = (submission, index)
        record = self._records[key]
        self._running -= 1
        record.phase = _Phase.ENDED
        record.ok = ok
        self._keep_result(key, record, payload)
        channel = self._channels.get(record.home)
        if channel is not None:
            self._report_end(channel, key, record)
        return self._pump(now)

    def not_started(self, now: float, submission: str, index: int) -> list[Effect]:
        """Take back a task that provably never reached the runner, and refuse it."""
        self._running -= 1
        self._refuse_record((submission, index))
        return self._pump(now)

    def home_ended(self, now: float, home: Incarnation) -> list[Effect]:
        """Drop what is queued for a home that can't be answered any more."""
        doomed = [key for key in self._queue if self._records[key].home == home]
        for key in doomed:
            self._queue.remove(key)
            del self._records[key]
        return self._pump(now)

    def tick(self, now: float) -> list[Effect]:
        """Refuse queued tasks past their deadline and forget what can't matter any more."""
        for key in [k for k in self._queue if self._records[k].expires <= now]:
            self._refuse_record(key)
        if now >= self._next_sweep:
            self._next_sweep = now + 1.0
            self._sweep(now)
        return self._pump(now)

    def flush(self, now: float) -> list[Effect]:
        """Return one report for each home that has something to hear."""
        self._offer_room()
        effects: list[Effect] = []
        for home, channel in self._channels.items():
            if channel.dirty:
                effects.append(Send(home, channel.address, self._report(now, channel)))
        return effects

    @property
    def _slots(self) -> int:
        if self._share is None or self.leaving:
            return 0
        return min(self._limits.slots, self._share.max_running)

    @property
    def _room(self) -> int:
        if self._share is None or self.leaving:
            return 0
        ceiling = min(self._slots + self._limits.queue, self._share.max_in_flight)
        return ceiling - self._running - len(self._queue)

    def _offer_room(self) -> None:
        """Let as many homes as there is room for hear of it, those that were refused first."""
        for home in list(self._wanting)[: max(0, self._room)]:
            del self._wanting[home]
            channel = self._channels.get(home)
            if channel is not None and not channel.dirty:
                self._waste.offers += 1
                channel.dirty = True

    def _open(
        self, now: float, home: Incarnation, address: str, message: Assign | Inquire
    ) -> _Channel | None:
        """Return the home's channel, or None if the message is late or repeated."""
        channel = self._channels.get(home)
        if channel is None:
            channel = _Channel(address, now, reports=self._highest_report)
            self._channels[home] = channel
        if message.seq <= channel.seen_seq:
            self._waste.repeated += 1
            return None
        channel.seen_seq = message.seq
        channel.last_heard = now
        channel.address = address
        self._forget_acked(channel, message.acked)
        return channel

    def _is_stale(self, now: float, stamp_ms: int) -> bool:
        age = now - stamp_ms / 1000
        return age > MAX_STAMP_AGE or age < -MAX_STAMP_LEAD

    def _admit(
        self,
        now: float,
        home: Incarnation,
        channel: _Channel,
        batch: TaskBatch,
        task: Task,
        *,
        stale: bool,
    ) -> None:
        key = (batch.submission, task.index)
        if key in self._records:
            self._tell(channel, key, revoke=False)
            return
        if not stale and self._room <= 0:
            self._wanting[home] = None
        if stale or self._room <= 0:
            self._waste.refused += 1
            _add(channel.refused, key)
            channel.dirty = True
            return
        expires = now + batch.expires_ms / 1000
        self._records[key] = _Record(home, batch.service, task.payload, expires)
        self._queue.append(key)

    def _tell(self, channel: _Channel, key: TaskKey, *, revoke: bool) -> None:
        channel.dirty = True
        record = self._records.get(key)
        if record is None:
            _add(channel.refused, key)
        elif record.phase is _Phase.ENDED:
            self._report_end(channel, key, record)
        elif record.phase is _Phase.RUNNING:
            _add(channel.running, key)
        elif revoke:
            self._refuse_record(key)
        else:
            _add(channel.queued, key)

    def _refuse_record(self, key: TaskKey) -> None:
        """Forget a task that has not started, and tell its home so."""
        record = self._records.pop(key)
        if record.phase is _Phase.QUEUED:
            self._queue.remove(key)
        channel = self._channels.get(record.home)
        if channel is not None:
            _add(channel.refused, key)
            channel.dirty = True

    def _pump(self, now: float) -> list[Effect]:
        """Start queued tasks while slots are free."""
        effects: list[Effect] = []
        while self._queue and self._running < self._slots:
            key = self._queue.popleft()
            record = self._records[key]
            record.phase = _Phase.RUNNING
            self._running += 1
            timeout = max(0.0, record.expires - now)
            effects.append(Start(key[0], record.service, key[1], record.payload, timeout))
            record.payload = b""
        return effects

    def _report_end(self, channel: _Channel, key: TaskKey, record: _Record) -> None:
        channel.results.append(TaskResult(key[0], key[1], record.ok, record.payload))
        record.reported_in = channel.reports + 1
        channel.unacked.append(key)
        channel.dirty = True

    def _keep_result(self, key: TaskKey, record: _Record, payload: bytes) -> None:
        """Keep a result until its home acknowledges it; the oldest go first when bytes run out."""
        record.payload = payload
        self._kept_bytes += len(payload)
        self._kept.append(key)
        while self._kept_bytes > self._limits.result_bytes and len(self._kept) > 1:
            oldest = self._records.get(self._kept.popleft())
            if oldest is not None and oldest.phase is _Phase.ENDED:
                self._kept_bytes -= len(oldest.payload)
                oldest.payload = b""
                oldest.ok = None

    def _forget_acked(self, channel: _Channel, acked: int) -> None:
        while channel.unacked:
            key = channel.unacked[0]
            record = self._records.get(key)
            if record is not None and record.reported_in > acked:
                return
            channel.unacked.popleft()
            if record is not None and record.phase is _Phase.ENDED:
                self._forget(key)

    def _forget(self, key: TaskKey) -> None:
        record = self._records.pop(key)
        if record.phase is _Phase.ENDED:
            self._kept_bytes -= len(record.payload)

    def _sweep(self, now: float) -> None:
        for key in [k for k, r in self._records.items() if _is_over(r, now)]:
            self._forget(key)
        while self._kept and self._kept[0] not in self._records:
            self._kept.popleft()
        silent = [h for h, c in self._channels.items() if c.last_heard + RETENTION_SECONDS < now]
        busy = {record.home for record in self._records.values()}
        for home in silent:
            if home not in busy:
                # A home that comes back must not take our next report for one it has had.
                self._highest_report = max(self._highest_report, self._channels[home].reports)
                del self._channels[home]

    def _report(self, now: float, channel: _Channel) -> Report:
        channel.reports += 1
        report = Report(
            number=channel.reports,
            seen_seq=channel.seen_seq,
            answers=channel.answers,
            clock_ms=int(now * 1000),
            load=self.load,
            leaving=self.leaving,
            results=channel.results,
            refused=_refs(channel.refused.items()),
            running=_refs(channel.running.items()),
            queued=_refs(channel.queued.items()),
        )
        channel.results = []
        channel.refused = {}
        channel.running = {}
        channel.queued = {}
        channel.answers = 0
        channel.dirty = False
        return report


def _add(groups: dict[str, list[int]], key: TaskKey) -> None:
    groups.setdefault(key[0], []).append(key[1])


def _refs(groups: Iterable[tuple[str, list[int]]]) -> list[TaskRefs]:
    return [TaskRefs(submission, indexes) for submission, indexes in groups]


def _is_over(record: _Record, now: float) -> bool:
    return record.phase is _Phase.ENDED and record.expires + RETENTION_SECONDS < now
