"""The gate: starts tasks on its runner, each at most once.

A gate takes tasks from any home. It keeps a record of each task until the home has acknowledged the
task's end, and the highest message number received from each home. Late and repeated messages have
a number that is not above it and are dropped, so an old message can't start a task whose record has
been removed.
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
"""Seconds after which a message of a home is stale, by the gate's clock."""

MAX_STAMP_LEAD = 5.0
"""Seconds by which a message's timestamp may be ahead of the gate's clock."""

RETENTION_SECONDS = 60.0
"""Seconds that a record is kept after its task's deadline, and a channel after its last message.

Longer than `MAX_STAMP_AGE + MAX_STAMP_LEAD`, so that every valid message finds them.
"""


@final
@dataclass(frozen=True, slots=True)
class GateLimits:
    """Slots of the runner, tasks queued beyond them, and bytes of results kept for homes.

    The queue is longer than `Placement`'s pipeline, so that tasks that several homes send at once
    are queued instead of refused.
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
    """The gate's state for one home, and the content of its next report."""

    address: str
    last_message_at: float
    seen_seq: int = 0
    reports: int = 0
    answers: int = 0
    report_due: bool = False
    unacked: deque[TaskKey] = field(default_factory=deque)
    results: list[TaskResult] = field(default_factory=list)
    refused: dict[str, list[int]] = field(default_factory=dict)
    running: dict[str, list[int]] = field(default_factory=dict)
    queued: dict[str, list[int]] = field(default_factory=dict)


@final
class Gate:
    """State of one gate. Call `flush` after each batch of inputs for the reports to send."""

    def __init__(self, limits: GateLimits, waste: Waste | None = None) -> None:
        self._limits = limits
        self._waste = waste or Waste()
        self._share: Share | None = None
        self._records: dict[TaskKey, _Record] = {}
        self._queue: deque[TaskKey] = deque()
        self._channels: dict[Incarnation, _Channel] = {}
        self._running = 0
        self._result_bytes = 0
        self._result_order: deque[TaskKey] = deque()
        self._next_sweep = 0.0
        self._highest_report = 0
        # Homes refused for lack of capacity, in that order; notified once there is some.
        self._refused_homes: dict[Incarnation, None] = {}
        self.leaving = False

    @property
    def load(self) -> Load:
        """The slots in force, and the tasks that are running and queued."""
        return Load(self._slots, self._running, len(self._queue))

    @property
    def share_revision(self) -> int:
        """Revision of the share in force; 0 before the first."""
        return self._share.revision if self._share else 0

    @property
    def idle(self) -> bool:
        """Whether no task is running or queued."""
        return self._running == 0 and not self._queue

    def describe(self) -> dict[str, object]:
        """Return a summary of the state for a dump."""
        return {
            "load": self.load,
            "leaving": self.leaving,
            "share": self._share,
            "records": len(self._records),
            "channels": len(self._channels),
            "kept_result_bytes": self._result_bytes,
        }

    def set_share(self, now: float, share: Share) -> list[Effect]:
        """Adopt `share` if its revision is higher than the one in force."""
        if share.revision <= self.share_revision:
            return []
        self._share = share
        fields = {"revision": share.revision, "max_running": share.max_running}
        return [Log("share_adopted", fields=dict(fields)), *self._start_queued(now)]

    def leave(self) -> None:
        """Refuse new tasks, and return queued ones to their homes as not started."""
        self.leaving = True
        for key in list(self._queue):
            self._refuse_record(key)

    def assign(self, now: float, home: Incarnation, address: str, message: Assign) -> list[Effect]:
        """Queue tasks from a home, and refuse those beyond the capacity."""
        channel = self._accept_message(now, home, address, message)
        if channel is None:
            return []
        stale = self._is_stale(now, message.stamp_ms)
        for batch in message.batches:
            for task in batch.tasks:
                self._admit(now, home, channel, batch, task, stale=stale)
        return self._start_queued(now)

    def inquire(
        self, now: float, home: Incarnation, address: str, message: Inquire
    ) -> list[Effect]:
        """Report the state of a home's tasks; unknown ones are refused, and can't start later."""
        channel = self._accept_message(now, home, address, message)
        if channel is None or self._is_stale(now, message.stamp_ms):
            return []
        channel.answers = message.seq
        channel.report_due = True
        for refs in message.refs:
            for index in refs.indexes:
                self._add_state(channel, (refs.submission, index), revoke=message.revoke)
        return self._start_queued(now)

    def finished(
        self, now: float, submission: str, index: int, ok: bool | None, payload: bytes
    ) -> list[Effect]:
        """Record the end of a started task (`ok` None: the runner's response was lost)."""
        key = (submission, index)
        record = self._records[key]
        self._running -= 1
        record.phase = _Phase.ENDED
        record.ok = ok
        self._keep_result(key, record, payload)
        channel = self._channels.get(record.home)
        if channel is not None:
            self._report_end(channel, key, record)
        return self._start_queued(now)

    def not_started(self, now: float, submission: str, index: int) -> list[Effect]:
        """Refuse a task that certainly never reached the runner."""
        self._running -= 1
        self._refuse_record((submission, index))
        return self._start_queued(now)

    def home_ended(self, now: float, home: Incarnation) -> list[Effect]:
        """Drop the queued tasks of a home that has ended."""
        dropped = [key for key in self._queue if self._records[key].home == home]
        for key in dropped:
            self._queue.remove(key)
            del self._records[key]
        return self._start_queued(now)

    def tick(self, now: float) -> list[Effect]:
        """Refuse queued tasks past their deadline, and remove expired records and channels."""
        for key in [k for k in self._queue if self._records[k].expires <= now]:
            self._refuse_record(key)
        if now >= self._next_sweep:
            self._next_sweep = now + 1.0
            self._sweep(now)
        return self._start_queued(now)

    def flush(self, now: float) -> list[Effect]:
        """Return the reports that are due, one for each home."""
        self._notify_refused_homes()
        effects: list[Effect] = []
        for home, channel in self._channels.items():
            if channel.report_due:
                effects.append(Send(home, channel.address, self._report(now, channel)))
        return effects

    @property
    def _slots(self) -> int:
        if self._share is None or self.leaving:
            return 0
        return min(self._limits.slots, self._share.max_running)

    @property
    def _free_capacity(self) -> int:
        if self._share is None or self.leaving:
            return 0
        ceiling = min(self._slots + self._limits.queue, self._share.max_in_flight)
        return ceiling - self._running - len(self._queue)

    def _notify_refused_homes(self) -> None:
        """Make reports due for the longest refused homes, as many as there is capacity for."""
        for home in list(self._refused_homes)[: max(0, self._free_capacity)]:
            del self._refused_homes[home]
            channel = self._channels.get(home)
            if channel is not None and not channel.report_due:
                self._waste.offers += 1
                channel.report_due = True

    def _accept_message(
        self, now: float, home: Incarnation, address: str, message: Assign | Inquire
    ) -> _Channel | None:
        """Return the home's updated channel, or None if the message is late or repeated."""
        channel = self._channels.get(home)
        if channel is None:
            channel = _Channel(address, now, reports=self._highest_report)
            self._channels[home] = channel
        if message.seq <= channel.seen_seq:
            self._waste.repeated += 1
            return None
        channel.seen_seq = message.seq
        channel.last_message_at = now
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
            self._add_state(channel, key, revoke=False)
            return
        if not stale and self._free_capacity <= 0:
            self._refused_homes[home] = None
        if stale or self._free_capacity <= 0:
            self._waste.refused += 1
            _add_ref(channel.refused, key)
            channel.report_due = True
            return
        expires = now + batch.expires_ms / 1000
        self._records[key] = _Record(home, batch.service, task.payload, expires)
        self._queue.append(key)

    def _add_state(self, channel: _Channel, key: TaskKey, *, revoke: bool) -> None:
        channel.report_due = True
        record = self._records.get(key)
        if record is None:
            _add_ref(channel.refused, key)
        elif record.phase is _Phase.ENDED:
            self._report_end(channel, key, record)
        elif record.phase is _Phase.RUNNING:
            _add_ref(channel.running, key)
        elif revoke:
            self._refuse_record(key)
        else:
            _add_ref(channel.queued, key)

    def _refuse_record(self, key: TaskKey) -> None:
        """Remove the record of a task that has not started, and report it as refused."""
        record = self._records.pop(key)
        if record.phase is _Phase.QUEUED:
            self._queue.remove(key)
        channel = self._channels.get(record.home)
        if channel is not None:
            _add_ref(channel.refused, key)
            channel.report_due = True

    def _start_queued(self, now: float) -> list[Effect]:
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
        channel.report_due = True

    def _keep_result(self, key: TaskKey, record: _Record, payload: bytes) -> None:
        """Keep a result until it is acknowledged; the oldest beyond `result_bytes` are dropped."""
        record.payload = payload
        self._result_bytes += len(payload)
        self._result_order.append(key)
        while self._result_bytes > self._limits.result_bytes and len(self._result_order) > 1:
            oldest = self._records.get(self._result_order.popleft())
            if oldest is not None and oldest.phase is _Phase.ENDED:
                self._result_bytes -= len(oldest.payload)
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
            self._result_bytes -= len(record.payload)

    def _sweep(self, now: float) -> None:
        for key in [k for k, r in self._records.items() if _is_expired(r, now)]:
            self._forget(key)
        while self._result_order and self._result_order[0] not in self._records:
            self._result_order.popleft()
        silent = [
            h for h, c in self._channels.items() if c.last_message_at + RETENTION_SECONDS < now
        ]
        busy = {record.home for record in self._records.values()}
        for home in silent:
            if home not in busy:
                # Keeps report numbers rising if the home's channel is created again.
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
            refused=_task_refs(channel.refused.items()),
            running=_task_refs(channel.running.items()),
            queued=_task_refs(channel.queued.items()),
        )
        channel.results = []
        channel.refused = {}
        channel.running = {}
        channel.queued = {}
        channel.answers = 0
        channel.report_due = False
        return report


def _add_ref(groups: dict[str, list[int]], key: TaskKey) -> None:
    groups.setdefault(key[0], []).append(key[1])


def _task_refs(groups: Iterable[tuple[str, list[int]]]) -> list[TaskRefs]:
    return [TaskRefs(submission, indexes) for submission, indexes in groups]


def _is_expired(record: _Record, now: float) -> bool:
    return record.phase is _Phase.ENDED and record.expires + RETENTION_SECONDS < now
