"""One target process: a home of submissions and the gate of its runner; sends heartbeats."""

from dataclasses import dataclass
from random import Random
from typing import final

import xxhash

from paddleshunt_core.effects import Effect, Send
from paddleshunt_core.events import Log
from paddleshunt_core.gate import Gate, GateLimits
from paddleshunt_core.home import Home
from paddleshunt_core.homelimits import HomeLimits
from paddleshunt_core.ids import Incarnation
from paddleshunt_core.messages import (
    Assign,
    Body,
    EntryInfo,
    Envelope,
    Heartbeat,
    Inquire,
    Load,
    Misdirected,
    Query,
    Report,
    ServiceSnapshot,
    Submit,
    View,
)
from paddleshunt_core.placement import Placement
from paddleshunt_core.table import Row
from paddleshunt_core.waste import Waste

HEARTBEAT_ENTRIES = 2
"""Number of entries that a target sends its regular heartbeats to."""

FIRST_HEARTBEAT = 0.2
"""Seconds between heartbeats until an entry has sent a view with another interval."""

LINGER_SECONDS = 2.0
"""Seconds that a leaving target without work stays, to answer repeated requests."""


@final
@dataclass(frozen=True, slots=True)
class TargetSettings:
    """A target's identity, address, place and limits."""

    me: Incarnation
    address: str
    site: str
    data_hall: str
    service: str
    gate: GateLimits
    home: HomeLimits
    pipeline: int = 2


@final
class Target:
    """State of one target. Feed it messages and ticks, then call `flush`."""

    def __init__(self, settings: TargetSettings, rng: Random) -> None:
        self._settings = settings
        self._me = settings.me
        placement = Placement(settings.site, rng, settings.pipeline)
        self.waste = Waste()
        self.home = Home(settings.me, settings.home, placement, self.waste)
        self.gate = Gate(settings.gate, self.waste)
        self._entries: dict[str, str] = {}
        self._rows: list[Row] = []
        self._table_revision = 0
        self._view_digest = 0
        self._last_view_at: float | None = None
        self._heartbeat_seconds = FIRST_HEARTBEAT
        self._next_heartbeat = 0.0
        self._leave_at: float | None = None

    @property
    def load(self) -> Load:
        """The gate's load, and the number of the home's jobs."""
        load = self.gate.load
        return Load(load.slots, load.running, load.queued, self.home.jobs)

    @property
    def leaving(self) -> bool:
        """Whether the target has begun to leave."""
        return self.gate.leaving

    @property
    def idle(self) -> bool:
        """Whether the target has neither tasks nor jobs."""
        return self.gate.idle and self.home.jobs == 0

    def needs_entries(self, now: float) -> bool:
        """Whether no entry has sent a view lately, so the platform should be asked for entries."""
        last = self._last_view_at
        return last is None or now - last > 5 * max(1.0, self._heartbeat_seconds)

    def describe(self) -> dict[str, object]:
        """Return a summary of the state for a dump."""
        return {
            "incarnation": str(self._me),
            "service": self._settings.service,
            "site": self._settings.site,
            "table_revision": self._table_revision,
            "rows": self._rows,
            "entries": self._entries,
            "waste": self.waste,
            "home": self.home.describe(),
            "gate": self.gate.describe(),
        }

    def add_listed_entries(self, entries: list[EntryInfo]) -> None:
        """Add entries from the platform's list, as long as no entry has sent a view."""
        for entry in entries:
            self._entries[entry.host] = entry.address

    def handle(self, now: float, envelope: Envelope) -> list[Effect]:
        """Process a message from a peer."""
        sender, address = envelope.sender, envelope.address
        if envelope.to != self._me and not _is_for_any_incarnation(envelope, self._me):
            return self._misdirected(envelope)
        match envelope.body:
            case Submit() as body:
                return self.home.submit(now, sender, address, body)
            case Query() as body:
                return self.home.query(now, sender, address, body)
            case Assign() as body:
                return self.gate.assign(now, sender, address, body)
            case Inquire() as body:
                return self.gate.inquire(now, sender, address, body)
            case Report() as body:
                return self.home.report(now, sender, body)
            case Misdirected() as body:
                return self._ended(now, body.ended)
            case View() as body:
                return self._view(now, body)
            case _:
                return [Log("message_ignored", fields={"sender": str(sender)})]

    def undelivered(self, now: float, to: Incarnation, body: Body) -> list[Effect]:
        """Handle a message that was certainly never sent."""
        return self.home.undelivered(now, to, body)

    def leave(self, now: float) -> list[Effect]:
        """Begin to leave: refuse new work, finish running tasks, and notify all entries."""
        if self.leaving:
            return []
        self.home.leaving = True
        self.gate.leave()
        return [Log("leaving"), *self._heartbeats(now, everyone=True)]

    def may_exit(self, now: float) -> bool:
        """Whether a leaving target has been without work for `LINGER_SECONDS`."""
        if not (self.leaving and self.gate.idle and self.home.jobs == 0):
            self._leave_at = None
            return False
        if self._leave_at is None:
            self._leave_at = now + LINGER_SECONDS
        return now >= self._leave_at

    def final_heartbeats(self, now: float) -> list[Effect]:
        """Return heartbeats that tell all entries that this incarnation has ended."""
        return self._heartbeats(now, everyone=True, ended=True)

    def tick(self, now: float) -> list[Effect]:
        """Perform what is due at the home and the gate, and send regular heartbeats."""
        effects = self.home.tick(now) + self.gate.tick(now)
        if now >= self._next_heartbeat:
            effects += self._heartbeats(now, everyone=self.needs_entries(now))
        return effects

    def flush(self, now: float) -> list[Effect]:
        """Return the messages that result from the inputs since the last flush."""
        return self.home.flush(now) + self.gate.flush(now)

    def _misdirected(self, envelope: Envelope) -> list[Effect]:
        if envelope.to.host != self._me.host or envelope.to.boot > self._me.boot:
            return [Log("message_for_another", fields={"to": str(envelope.to)})]
        return [Send(envelope.sender, envelope.address, Misdirected(envelope.to))]

    def _view(self, now: float, view: View) -> list[Effect]:
        self._last_view_at = now
        self._heartbeat_seconds = view.heartbeat_ms / 1000
        effects: list[Effect] = []
        for incarnation in view.ended:
            effects += self._ended(now, incarnation)
        if view.snapshot is not None:
            self._view_digest = view.digest
            effects += self._adopt_snapshot(now, view.snapshot, view.table_revision)
        elif view.digest == self._view_digest:
            effects += self._adopt_table(view.table_revision, self._rows)
        if view.share is not None:
            effects += self.gate.set_share(now, view.share)
        if any(isinstance(effect, Log) for effect in effects):
            # A table or share came into force; a heartbeat reports its revision to the entries.
            effects += self._heartbeats(now, everyone=False)
        return effects

    def _adopt_table(self, revision: int, rows: list[Row]) -> list[Effect]:
        """Adopt the rows of a revision, if it is higher than the one in force."""
        if revision <= self._table_revision:
            return []
        self._table_revision = revision
        self._rows = rows
        return [Log("table_adopted", fields={"revision": revision})]

    def _adopt_snapshot(self, now: float, snapshot: ServiceSnapshot, revision: int) -> list[Effect]:
        self._entries = {entry.host: entry.address for entry in snapshot.entries}
        effects = self._adopt_table(revision, snapshot.rows)
        closed = {row.site for row in self._rows if row.weight == 0}
        self.home.update_peers(now, snapshot.peers, closed)
        return effects

    def _ended(self, now: float, incarnation: Incarnation) -> list[Effect]:
        return [
            *self.home.target_ended(now, incarnation),
            *self.gate.home_ended(now, incarnation),
        ]

    def _heartbeats(self, now: float, *, everyone: bool, ended: bool = False) -> list[Effect]:
        self._next_heartbeat = now + self._heartbeat_seconds
        body = Heartbeat(
            address=self._settings.address,
            site=self._settings.site,
            data_hall=self._settings.data_hall,
            service=self._settings.service,
            leaving=self.leaving,
            ended=ended,
            clock_ms=int(now * 1000),
            load=self.load,
            table_revision=self._table_revision,
            share_revision=self.gate.share_revision,
            view=self._view_digest,
        )
        hosts = sorted(self._entries) if everyone else self._preferred_entries()
        return [Send(Incarnation(host, ""), self._entries[host], body) for host in hosts]

    def _preferred_entries(self) -> list[str]:
        """Return the entries that rank first by rendezvous hashing of this host."""
        return sorted(self._entries, key=self._entry_rank)[:HEARTBEAT_ENTRIES]

    def _entry_rank(self, entry: str) -> int:
        return xxhash.xxh32_intdigest(f"{self._me.host}/{entry}".encode())


def _is_for_any_incarnation(envelope: Envelope, me: Incarnation) -> bool:
    return envelope.to.host == me.host and not envelope.to.boot
