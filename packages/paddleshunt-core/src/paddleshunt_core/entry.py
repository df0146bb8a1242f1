"""One entry process: forwards callers' requests, and distributes configuration and membership."""

from collections import Counter
from dataclasses import dataclass, field
from random import Random
from typing import final

import msgspec

from paddleshunt_core.allotments import Allotment
from paddleshunt_core.calls import Calls
from paddleshunt_core.divider import Divider
from paddleshunt_core.effects import Effect, Reply, Send
from paddleshunt_core.events import Log
from paddleshunt_core.ids import Incarnation, InvalidId, mint, parse_id
from paddleshunt_core.members import Host, Member, Members, Role
from paddleshunt_core.messages import (
    Absent,
    Answer,
    Body,
    EntryInfo,
    Envelope,
    Exchange,
    Heartbeat,
    MemberUpdate,
    Misdirected,
    Running,
    Submit,
)
from paddleshunt_core.outcomes import NotAccepted, Outcome, Unknown, outcome_tag
from paddleshunt_core.routing import NoHome, Router
from paddleshunt_core.table import TableController, TableDocument
from paddleshunt_core.views import ENDED_SENT, Views

UPDATES_PER_EXCHANGE = 16
"""Maximum number of targets in a regular exchange, unless more of them have changed."""

EXCHANGE_EVERY = 2
"""Heartbeat intervals between two regular exchanges; changes are sent at once."""

HEARTBEATS_PER_SECOND = 60.0
"""Rate of heartbeats above which an entry lengthens the interval of its targets."""

RETRY_MS = 1000
"""Milliseconds after which callers should retry when no better estimate is available."""


@final
@dataclass(frozen=True, slots=True)
class EntrySettings:
    """An entry's identity, address and minimum heartbeat interval of its targets (seconds)."""

    me: Incarnation
    address: str
    heartbeat_seconds: float = 1.0


@final
@dataclass(frozen=True, slots=True)
class Minted:
    """A new submission id and the home that it names."""

    submission: str
    home: Incarnation


@final
@dataclass(slots=True)
class ServiceCounts:
    """Counts of one service since this entry started: ids minted by site, answers by outcome."""

    minted: Counter[str] = field(default_factory=Counter)
    answers: Counter[str] = field(default_factory=Counter)


@final
@dataclass(slots=True)
class _Peer:
    """State of the exchange with another entry. Times are in this entry's seconds."""

    address: str
    last_received: float
    table_revision: int
    last_sent: float = 0.0
    next_unchanged: int = 0
    """Index of the next unchanged target to send."""


@final
class Entry:
    """State of one entry. Feed it requests, messages, updates from the store and ticks."""

    def __init__(self, settings: EntrySettings, rng: Random) -> None:
        self._settings = settings
        self._me = settings.me
        self._rng = rng
        self.table = TableController()
        self.members = Members(settings.heartbeat_seconds)
        self.calls = Calls()
        self._router = Router(rng)
        self._views = Views(self.members, self.table)
        self._divider = Divider(self.members, self.table)
        self._peers: dict[str, _Peer] = {}
        self._next_exchange = 0.0
        self._counts: dict[str, ServiceCounts] = {}
        self.leaving = False

    def mint(self, now: float, service: str) -> Minted | NotAccepted:
        """Choose a home for a new submission of `service` and return an id for it."""
        if self.leaving:
            return NotAccepted("this entry is leaving", 0)
        rows = self.table.rows_of(service)
        home = self._router.choose_home(now, service, rows, self.members)
        if isinstance(home, NoHome):
            return NotAccepted(home.reason, RETRY_MS)
        self._counts_of(service).minted[home.site] += 1
        text = mint(home.incarnation, home.clock_ms(now), self._rng)
        return Minted(text, home.incarnation)

    def submit(self, now: float, caller: int, message: Submit) -> list[Effect]:
        """Send a submission to the home that its id names."""
        home = self._home_of(message.submission)
        if not isinstance(home, Member):
            answer = Answer(message.submission, message.digest, home, message.repeatable)
            return [Reply(caller, answer)]
        address = home.heartbeat.address
        return self.calls.submit(now, caller, home.incarnation, address, message)

    def look_up(self, now: float, caller: int, submission: str) -> list[Effect]:
        """Query the home that the id names for the submission's state."""
        home = self._home_of(submission)
        if not isinstance(home, Member):
            return [Reply(caller, Answer(submission, b"", home))]
        address = home.heartbeat.address
        return self.calls.look_up(now, caller, home.incarnation, address, submission)

    def handle(self, now: float, envelope: Envelope) -> list[Effect]:
        """Process a message from a peer."""
        match envelope.body:
            case Answer() as body:
                return self._answered(body)
            case Running() as body:
                return self.calls.running(now, body)
            case Absent() as body:
                return self.calls.absent(now, body)
            case Heartbeat() as body:
                return self._heartbeat(now, envelope.sender, body)
            case Exchange() as body:
                return self._exchange(now, envelope.sender, envelope.address, body)
            case Misdirected() as body:
                return self._ended(now, body.ended)
            case _:
                return [Log("message_ignored", fields={"sender": str(envelope.sender)})]

    def undelivered(self, to: Incarnation, body: Body) -> list[Effect]:
        """Handle a message that was certainly never sent."""
        return self.calls.undelivered(to, body)

    def update_hosts(self, now: float, hosts: list[Host]) -> list[Effect]:
        """Update the members from the platform's list of hosts."""
        if not self.members.update_hosts(now, hosts):
            return []
        return self._send_views(now)

    def table_from_store(self, now: float, document: TableDocument | None) -> list[Effect]:
        """Adopt the table in the store, if it is newer (None: the store has none)."""
        adopted = self.table.adopt_from_store(document)
        if self.table.store_went_back_to is not None:
            fields = {"store": self.table.store_went_back_to, "in_force": self.table.revision}
            return [Log("store_went_back", fields=dict(fields))]
        return self._table_adopted(now) if adopted else []

    def receive_table(self, now: float, document: TableDocument) -> list[Effect]:
        """Adopt a table from the operators' command line or another entry, if it is newer."""
        return self._table_adopted(now) if self.table.adopt(document) else []

    def receive_allotment(self, now: float, allotment: Allotment) -> list[Effect]:
        """Adopt a row's allotment from the store or another entry, if it is newer."""
        if not self._divider.adopt(allotment):
            return []
        members = self.members.of_service(allotment.service)
        return [self._view(now, m) for m in members if m.site == allotment.site and not m.via]

    def tick(self, now: float) -> list[Effect]:
        """Perform what is due: call timeouts, allotment writes and regular exchanges."""
        effects = self.calls.tick(now, self.members.has_ended)
        effects += self._divider.tick(now, self._rank(now))
        if now >= self._next_exchange:
            effects += self._periodic_updates(now)
        return effects

    def request_state(self, now: float) -> list[Effect]:
        """Request table, members and allotments from all other entries, on start."""
        return [self._exchange_to(now, h.host, h.peers, reply=True) for h in self._other_entries()]

    def describe(self, now: float) -> dict[str, object]:
        """Return a summary of the state for a dump."""
        return {
            "incarnation": str(self._me),
            "table": self.table.document,
            "store_went_back_to": self.table.store_went_back_to,
            "calls": len(self.calls),
            "leaving": self.leaving,
            "tallies": {
                service: {"minted": counts.minted, "answers": counts.answers}
                for service, counts in self._counts.items()
            },
            "entries": {
                host: {
                    "table_revision": peer.table_revision,
                    "silent_s": round(now - peer.last_received, 1),
                }
                for host, peer in self._peers.items()
            },
            "members": [self._describe_member(now, member) for member in self.members.all()],
            "allotments": self._divider.all(),
            "ended": [str(incarnation) for incarnation in self.members.ended],
        }

    def _describe_member(self, now: float, member: Member) -> dict[str, object]:
        return {
            "incarnation": str(member.incarnation),
            "service": member.service,
            "site": member.site,
            "data_hall": member.heartbeat.data_hall,
            "leaving": member.leaving,
            "suspect": self.members.is_suspect(member, now),
            "load": member.load,
            "table_revision": member.heartbeat.table_revision,
            "share_revision": member.heartbeat.share_revision,
            "silent_s": round(now - member.sent, 1),
        }

    def _counts_of(self, service: str) -> ServiceCounts:
        return self._counts.setdefault(service, ServiceCounts())

    def _answered(self, body: Answer) -> list[Effect]:
        service = self.calls.service_of(body)
        if service:
            self._counts_of(service).answers[outcome_tag(body.outcome)] += 1
        return self.calls.answered(body)

    def _home_of(self, submission: str) -> Member | Outcome:
        """Return the member that the id names, or the outcome for the caller if it isn't known."""
        parsed = parse_id(submission)
        if isinstance(parsed, InvalidId):
            return NotAccepted(f"no submission id: {parsed.reason}", 0)
        member = self.members.find(parsed.home)
        if member is not None:
            return member
        if self.members.has_ended(parsed.home):
            return Unknown(f"its home on {parsed.home.host} has ended")
        return NotAccepted("its home is not known to this entry", RETRY_MS)

    def _periodic_updates(self, now: float) -> list[Effect]:
        """Send members to other entries, and changes in suspicion to the targets concerned."""
        direct = len(self.members.direct())
        min_seconds = self._settings.heartbeat_seconds
        self.members.heartbeat_seconds = max(min_seconds, direct / HEARTBEATS_PER_SECOND)
        self._next_exchange = now + self.members.heartbeat_seconds * EXCHANGE_EVERY
        effects: list[Effect] = []
        changed = {member.service for member in self.members.suspicion_changes(now)}
        for service in sorted(changed):
            effects += self._send_views(now, service)
        return effects + self._send_exchanges(now)

    def _heartbeat(self, now: float, sender: Incarnation, body: Heartbeat) -> list[Effect]:
        if self.members.record_heartbeat(now, sender, body, 0.0):
            return [*self._send_views(now, body.service), *self._send_exchanges(now)]
        member = self.members.find(sender)
        return [self._view(now, member)] if member else []

    def _exchange(
        self, now: float, sender: Incarnation, address: str, body: Exchange
    ) -> list[Effect]:
        peer = self._peers.get(sender.host)
        if peer is None:
            peer = self._peers[sender.host] = _Peer(address, now, body.table_revision)
        peer.address = address
        peer.last_received = now
        peer.table_revision = body.table_revision
        self.members.record_entry(now, sender.host)
        effects: list[Effect] = []
        if body.table:
            document = msgspec.json.decode(body.table, type=TableDocument)
            effects += self.receive_table(now, document)
        for raw in body.allotments:
            effects += self.receive_allotment(now, msgspec.json.decode(raw, type=Allotment))
        effects += self._receive_updates(now, sender.host, body)
        if body.reply or body.table_revision < self.table.revision:
            effects.append(self._exchange_to(now, sender.host, address, full=True))
        return effects

    def _receive_updates(self, now: float, entry: str, body: Exchange) -> list[Effect]:
        urgent = False
        for incarnation in body.ended:
            urgent |= self.members.end(incarnation)
        for update in body.members:
            urgent |= self.members.record_heartbeat(
                now,
                update.incarnation,
                update.heartbeat,
                update.age_ms / 1000,
                entry,
                suspect=update.suspect,
            )
        return self._send_views(now) if urgent else []

    def _ended(self, now: float, incarnation: Incarnation) -> list[Effect]:
        if not self.members.end(incarnation):
            return []
        return [*self._send_views(now), *self._send_exchanges(now)]

    def _table_adopted(self, now: float) -> list[Effect]:
        self.members.stale_allotments.update(
            (row.service, row.site) for row in self.table.document.rows
        )
        log = Log("table_adopted", fields={"revision": self.table.revision})
        exchanges = [
            self._exchange_to(now, host, peer.address, full=True)
            for host, peer in self._peers.items()
        ]
        return [log, *exchanges, *self._send_views(now)]

    def _other_entries(self) -> list[Host]:
        return [h for h in self.members.hosts_of(Role.ENTRY) if h.host != self._me.host]

    def _send_exchanges(self, now: float) -> list[Effect]:
        return [self._exchange_to(now, host.host, host.peers) for host in self._other_entries()]

    def _exchange_to(
        self, now: float, host: str, address: str, *, reply: bool = False, full: bool = False
    ) -> Send:
        peer = self._peers.get(host)
        body = Exchange(
            table_revision=self.table.revision,
            members=self._member_updates(now, peer, full=full),
            ended=self.members.ended[-ENDED_SENT:],
            reply=reply,
            table=msgspec.json.encode(self.table.document) if full else b"",
            allotments=[msgspec.json.encode(a) for a in self._divider.all()] if full else [],
        )
        return Send(Incarnation(host, ""), address, body)

    def _member_updates(self, now: float, peer: _Peer | None, *, full: bool) -> list[MemberUpdate]:
        """Return updates of changed direct members and, in rotation, some others; all if `full`."""
        if full or peer is None:
            return [self.members.member_update(member, now) for member in self.members.all()]
        direct = self.members.direct()
        changed = [member for member in direct if member.changed >= peer.last_sent]
        rest = [member for member in direct if member.changed < peer.last_sent]
        count = min(len(rest), max(0, UPDATES_PER_EXCHANGE - len(changed)))
        start = peer.next_unchanged % len(rest) if rest else 0
        rotated = [rest[(start + n) % len(rest)] for n in range(count)]
        peer.next_unchanged = start + count
        peer.last_sent = now
        return [self.members.member_update(member, now) for member in (*changed, *rotated)]

    def _send_views(self, now: float, service: str | None = None) -> list[Effect]:
        """Send views to the targets that heartbeat to this entry, of one service or of all."""
        chosen = self.members.direct()
        return [self._view(now, m) for m in chosen if service is None or m.service == service]

    def _view(self, now: float, member: Member) -> Send:
        entries = [EntryInfo(host.host, host.peers) for host in self._other_entries()]
        entries.append(EntryInfo(self._me.host, self._settings.address))
        allotment = self._divider.find(member.service, member.site)
        return self._views.view(now, member, sorted(entries), allotment)

    def _rank(self, now: float) -> int:
        """Return how many live entries come before this one, by host name."""
        timeout = 3 * self._settings.heartbeat_seconds
        live = [host for host, peer in self._peers.items() if now - peer.last_received < timeout]
        return len([host for host in live if host < self._me.host])
