"""Membership: which targets and entries there are, from three sources with a meaning each.

The platform's list lags and says which hosts exist, leave or are gone. Heartbeats say who can be
reached, how busy it is and what configuration it follows. A newer incarnation on a host ends all
earlier ones. A silent target is suspected: it gets no new work, but keeps its name and its share.
"""

from collections.abc import Iterable
from dataclasses import dataclass
from enum import StrEnum
from typing import final

import msgspec

from paddleshunt_core.ids import Incarnation
from paddleshunt_core.messages import Heartbeat, Load, MemberNews, PeerInfo

SUSPECT_AFTER = 3.0
"""Heartbeat intervals without news after which a target is suspected."""

ENDED_KEPT = 512
"""Ended incarnations that are remembered, the newest ones."""


class HostState(StrEnum):
    """What the platform says of a host."""

    LIVE = "live"
    LEAVING = "leaving"
    GONE = "gone"


class Role(StrEnum):
    """What a process of the system does on its host."""

    ENTRY = "entry"
    TARGET = "target"


@final
class Host(msgspec.Struct, frozen=True):
    """A host as the platform lists it; `peers` is where its process hears the others."""

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
    """A target's newest incarnation, with its last heartbeat and when it was sent (seconds)."""

    incarnation: Incarnation
    heartbeat: Heartbeat
    sent: float
    listed: HostState | None = None

    @property
    def service(self) -> str:
        """The service its runner serves."""
        return self.heartbeat.service

    @property
    def site(self) -> str:
        """The site its host is at."""
        return self.heartbeat.site

    @property
    def load(self) -> Load:
        """Its last known load."""
        return self.heartbeat.load

    @property
    def leaving(self) -> bool:
        """Whether it, or the platform, says that it leaves."""
        return self.heartbeat.leaving or self.listed is HostState.LEAVING

    def clock_ms(self, now: float) -> int:
        """Estimate its clock."""
        return self.heartbeat.clock_ms + int((now - self.sent) * 1000)


@final
class Members:
    """The targets as one entry knows them."""

    def __init__(self, heartbeat_seconds: float) -> None:
        self.heartbeat_seconds = heartbeat_seconds
        self._members: dict[str, Member] = {}
        self._hosts: dict[str, Host] = {}
        self._ended: dict[Incarnation, None] = {}
        self.hosts_known = False

    @property
    def ended(self) -> list[Incarnation]:
        """Incarnations known to have ended, the newest last."""
        return list(self._ended)

    def has_ended(self, incarnation: Incarnation) -> bool:
        """Whether it is known that the incarnation runs no more."""
        if incarnation in self._ended:
            return True
        member = self._members.get(incarnation.host)
        return member is not None and member.incarnation.boot > incarnation.boot

    def find(self, incarnation: Incarnation) -> Member | None:
        """Return the member if that very incarnation is the host's newest."""
        member = self._members.get(incarnation.host)
        return member if member and member.incarnation == incarnation else None

    def all(self) -> list[Member]:
        """Return every member that has not ended."""
        return list(self._members.values())

    def of_service(self, service: str) -> list[Member]:
        """Return the members of a service."""
        return [member for member in self._members.values() if member.service == service]

    def is_suspect(self, member: Member, now: float) -> bool:
        """Whether the member has been silent for too long."""
        return now - member.sent > SUSPECT_AFTER * self.heartbeat_seconds

    def is_usable(self, member: Member, now: float) -> bool:
        """Whether new work may go to the member."""
        return not member.leaving and not self.is_suspect(member, now)

    def heard(self, now: float, incarnation: Incarnation, heartbeat: Heartbeat, age: float) -> bool:
        """Take a heartbeat sent `age` seconds ago; return whether others should hear at once."""
        if self.has_ended(incarnation):
            return False
        if heartbeat.ended:
            return self.end(incarnation)
        known = self._members.get(incarnation.host)
        sent = now - age
        if known is not None and known.incarnation == incarnation:
            if sent <= known.sent:
                return False
            urgent = heartbeat.leaving != known.heartbeat.leaving
            known.heartbeat = heartbeat
            known.sent = sent
            return urgent
        if known is not None:
            self._remember_ended(known.incarnation)
        listed = self._hosts.get(incarnation.host)
        state = listed.state if listed else None
        self._members[incarnation.host] = Member(incarnation, heartbeat, sent, state)
        return True

    def listed(self, hosts: Iterable[Host]) -> bool:
        """Take the platform's list; return whether a host newly leaves or is gone."""
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
        return changed

    def end(self, incarnation: Incarnation) -> bool:
        """Note that an incarnation runs no more; return whether that is new."""
        if incarnation in self._ended:
            return False
        self._remember_ended(incarnation)
        member = self._members.get(incarnation.host)
        if member is not None and member.incarnation == incarnation:
            del self._members[incarnation.host]
        return True

    def hosts_of(self, role: Role) -> list[Host]:
        """Return the listed hosts of a role that are not gone."""
        hosts = self._hosts.values()
        return [h for h in hosts if h.role is role and h.state is not HostState.GONE]

    def news(self, now: float, since: float) -> list[MemberNews]:
        """Return the heartbeats heard after `since`, with their age."""
        return [
            MemberNews(m.incarnation, m.heartbeat, int((now - m.sent) * 1000))
            for m in self._members.values()
            if m.sent > since
        ]

    def peer_info(self, member: Member, now: float) -> PeerInfo:
        """Return what other targets need to know of a member."""
        return PeerInfo(
            member.incarnation,
            member.heartbeat.address,
            member.site,
            member.clock_ms(now),
            member.load,
            self.is_suspect(member, now),
            member.leaving,
        )

    def _remember_ended(self, incarnation: Incarnation) -> None:
        self._ended[incarnation] = None
        while len(self._ended) > ENDED_KEPT:
            del self._ended[next(iter(self._ended))]
