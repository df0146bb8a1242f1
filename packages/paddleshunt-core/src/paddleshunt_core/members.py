"""Membership of targets, from the platform's list of hosts, heartbeats and newer incarnations.

The platform's list, which may be out of date, has the hosts that exist, leave or are gone.
Heartbeats show which targets are reachable, their load and their configuration. A newer incarnation
on a host ends all earlier ones. A silent target is suspected: it gets no new work, but stays a
member and keeps its share.

An entry receives the heartbeats of some targets directly, and detects their silence by its own
clock. For the others it relies on the entry that relays their heartbeats.
"""

from collections.abc import Iterable
from dataclasses import dataclass
from enum import StrEnum
from typing import final

import msgspec

from paddleshunt_core.ids import Incarnation
from paddleshunt_core.messages import Heartbeat, Load, MemberUpdate, PeerInfo

SUSPECT_AFTER = 3.0
"""Heartbeat intervals without a heartbeat after which a target is suspected."""

ENDED_KEPT = 512
"""Maximum number of ended incarnations that are remembered, the newest ones."""


class HostState(StrEnum):
    """State of a host in the platform's list."""

    LIVE = "live"
    LEAVING = "leaving"
    GONE = "gone"


class Role(StrEnum):
    """Role of a process of the system."""

    ENTRY = "entry"
    TARGET = "target"


@final
class Host(msgspec.Struct, frozen=True):
    """A host in the platform's list; `peers` is the address where its process listens for peers."""

    host: str
    role: Role
    site: str
    data_hall: str
    peers: str
    service: str = ""
    state: HostState = HostState.LIVE


@final
@dataclass(slots=True)
class Member:
    """A target's newest incarnation, with its last heartbeat and when it was sent (seconds).

    `via` is the entry that relayed the heartbeat, empty if it came directly; `reported_suspect` is
    that entry's verdict. Relayed heartbeats are ignored while direct ones arrive. `changed` is when
    something other than the load changed.
    """

    incarnation: Incarnation
    heartbeat: Heartbeat
    sent: float
    changed: float
    via: str = ""
    reported_suspect: bool = False
    was_suspect: bool = False
    listed: HostState | None = None

    @property
    def service(self) -> str:
        """The service of its runner."""
        return self.heartbeat.service

    @property
    def site(self) -> str:
        """The site of its host."""
        return self.heartbeat.site

    @property
    def load(self) -> Load:
        """Its last reported load."""
        return self.heartbeat.load

    @property
    def leaving(self) -> bool:
        """Whether it leaves, by its heartbeat or by the platform's list."""
        return self.heartbeat.leaving or self.listed is HostState.LEAVING

    def clock_ms(self, now: float) -> int:
        """Return an estimate of its current clock in milliseconds."""
        return self.heartbeat.clock_ms + int((now - self.sent) * 1000)


@final
class Members:
    """Targets known to one entry."""

    def __init__(self, heartbeat_seconds: float) -> None:
        self.heartbeat_seconds = heartbeat_seconds
        self.hosts_known = False
        self.stale_allotments: set[tuple[str, str]] = set()
        """Service and site of rows whose allotment may have to change; the owner clears it."""
        self._members: dict[str, Member] = {}
        self._services: dict[str, dict[str, Member]] = {}
        self._versions: dict[str, int] = {}
        self._hosts: dict[str, Host] = {}
        self._ended: dict[Incarnation, None] = {}
        self._entries_last_received: dict[str, float] = {}

    @property
    def ended(self) -> list[Incarnation]:
        """Incarnations known to have ended, the newest last."""
        return list(self._ended)

    def has_ended(self, incarnation: Incarnation) -> bool:
        """Whether the incarnation is known to have ended."""
        if incarnation in self._ended:
            return True
        member = self._members.get(incarnation.host)
        return member is not None and member.incarnation.boot > incarnation.boot

    def find(self, incarnation: Incarnation) -> Member | None:
        """Return the member with this incarnation, or None if it is not the host's newest."""
        member = self._members.get(incarnation.host)
        return member if member and member.incarnation == incarnation else None

    def all(self) -> list[Member]:
        """Return every member that has not ended."""
        return list(self._members.values())

    def direct(self) -> list[Member]:
        """Return the members whose heartbeats this entry receives directly."""
        return [member for member in self._members.values() if not member.via]

    def of_service(self, service: str) -> list[Member]:
        """Return the members of a service."""
        return list(self._services.get(service, {}).values())

    def version(self, service: str) -> int:
        """Return a number that changes when a member of the service is added or removed."""
        return self._versions.get(service, 0)

    def is_suspect(self, member: Member, now: float) -> bool:
        """Whether the member has been silent for too long."""
        limit = SUSPECT_AFTER * self.heartbeat_seconds
        if not member.via:
            return now - member.sent > limit
        last_received = max(member.sent, self._entries_last_received.get(member.via, 0.0))
        return member.reported_suspect or now - last_received > limit

    def is_usable(self, member: Member, now: float) -> bool:
        """Whether new work may be sent to the member."""
        return not member.leaving and not self.is_suspect(member, now)

    def record_heartbeat(
        self,
        now: float,
        incarnation: Incarnation,
        heartbeat: Heartbeat,
        age: float,
        via: str = "",
        *,
        suspect: bool = False,
    ) -> bool:
        """Record a heartbeat sent `age` seconds ago; return whether to update targets at once."""
        if self.has_ended(incarnation):
            return False
        if heartbeat.ended:
            return self.end(incarnation)
        known = self._members.get(incarnation.host)
        sent = now - age
        if known is not None and known.incarnation == incarnation:
            return self._update_heartbeat(now, known, heartbeat, sent, via, suspect=suspect)
        if known is not None:
            self.end(known.incarnation)
        listed = self._hosts.get(incarnation.host)
        state = listed.state if listed else None
        member = Member(incarnation, heartbeat, sent, now, via, suspect, suspect, state)
        self._add(member)
        return True

    def record_entry(self, now: float, host: str) -> None:
        """Record a message of another entry, so that the targets it relays don't become suspect."""
        self._entries_last_received[host] = now

    def update_hosts(self, now: float, hosts: Iterable[Host]) -> bool:
        """Apply the platform's list; return whether a member's state in it changed."""
        self.hosts_known = True
        self._hosts = {host.host: host for host in hosts}
        changed = False
        for member in list(self._members.values()):
            listed = self._hosts.get(member.incarnation.host)
            state = listed.state if listed else None
            if state is HostState.GONE:
                changed |= self.end(member.incarnation)
            elif state is not member.listed:
                changed = True
                member.listed = state
                self._mark_changed(now, member)
        return changed

    def end(self, incarnation: Incarnation) -> bool:
        """Record that an incarnation has ended; return whether that was unknown before."""
        if incarnation in self._ended:
            return False
        self._ended[incarnation] = None
        while len(self._ended) > ENDED_KEPT:
            del self._ended[next(iter(self._ended))]
        member = self._members.get(incarnation.host)
        if member is not None and member.incarnation == incarnation:
            self._remove(member)
        return True

    def hosts_of(self, role: Role) -> list[Host]:
        """Return the listed hosts of a role that are not gone."""
        hosts = self._hosts.values()
        return [h for h in hosts if h.role is role and h.state is not HostState.GONE]

    def suspicion_changes(self, now: float) -> list[Member]:
        """Return the members that became suspect, or stopped being so, since the last call."""
        found: list[Member] = []
        for member in self._members.values():
            suspect = self.is_suspect(member, now)
            if suspect != member.was_suspect:
                member.was_suspect = suspect
                member.changed = now
                found.append(member)
        return found

    def member_update(self, member: Member, now: float) -> MemberUpdate:
        """Return the information about a member for another entry."""
        age_ms = int((now - member.sent) * 1000)
        suspect = self.is_suspect(member, now)
        return MemberUpdate(member.incarnation, member.heartbeat, age_ms, suspect)

    def peer_info(self, member: Member, now: float) -> PeerInfo:
        """Return the information about a member for other targets."""
        return PeerInfo(
            member.incarnation,
            member.heartbeat.address,
            member.site,
            member.clock_ms(now),
            member.load,
            self.is_suspect(member, now),
            member.leaving,
        )

    def _update_heartbeat(
        self,
        now: float,
        known: Member,
        heartbeat: Heartbeat,
        sent: float,
        via: str,
        *,
        suspect: bool,
    ) -> bool:
        if via and not known.via and not self.is_suspect(known, now):
            return False
        if sent <= known.sent and not (via and via == known.via):
            return False
        urgent = _urgent_fields(heartbeat) != _urgent_fields(known.heartbeat)
        if _relevant_fields(heartbeat) != _relevant_fields(known.heartbeat):
            self._mark_changed(now, known)
        known.heartbeat = heartbeat
        known.sent = max(sent, known.sent)
        known.via = via
        known.reported_suspect = suspect
        return urgent

    def _add(self, member: Member) -> None:
        host = member.incarnation.host
        self._members[host] = member
        self._services.setdefault(member.service, {})[host] = member
        self._bump_version(member)

    def _remove(self, member: Member) -> None:
        host = member.incarnation.host
        del self._members[host]
        del self._services[member.service][host]
        self._bump_version(member)

    def _bump_version(self, member: Member) -> None:
        self._versions[member.service] = self._versions.get(member.service, 0) + 1
        self.stale_allotments.add((member.service, member.site))

    def _mark_changed(self, now: float, member: Member) -> None:
        member.changed = now
        self.stale_allotments.add((member.service, member.site))


def _urgent_fields(heartbeat: Heartbeat) -> tuple[bool, int]:
    """Return the fields whose changes are sent to targets of the service at once."""
    return heartbeat.leaving, heartbeat.load.slots


def _relevant_fields(heartbeat: Heartbeat) -> tuple[bool, int, int, int]:
    """Return the fields whose changes are sent to other entries soon."""
    return (
        heartbeat.leaving,
        heartbeat.table_revision,
        heartbeat.share_revision,
        heartbeat.load.slots,
    )
