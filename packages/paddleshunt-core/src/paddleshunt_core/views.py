"""Views that an entry sends to each target, with a snapshot only if it differs from the target's.

A target's heartbeat has the digest of its last snapshot. While only loads change, it gets a short
answer, so the traffic of an idle fleet doesn't grow with the number of targets in a snapshot.
"""

from typing import final

import msgspec
import xxhash

from paddleshunt_core.allotments import Allotment, share_of
from paddleshunt_core.effects import Send
from paddleshunt_core.ids import Incarnation
from paddleshunt_core.members import Member, Members
from paddleshunt_core.messages import EntryInfo, ServiceSnapshot, View
from paddleshunt_core.table import TableController

PEERS_NEAR = 24
"""Maximum number of targets of its own site, itself included, in a target's snapshot."""

PEERS_FAR = 8
"""Maximum number of targets of other sites in a target's snapshot."""

ENDED_SENT = 16
"""Number of the last ended incarnations in every snapshot's view and every exchange."""


@final
class Views:
    """Builds views from an entry's members and table."""

    def __init__(self, members: Members, table: TableController) -> None:
        self._members = members
        self._table = table
        self._subsets: dict[tuple[str, str], tuple[int, list[Incarnation]]] = {}
        """By service and host: the chosen targets and the service's version at that time."""

    def view(
        self,
        now: float,
        member: Member,
        entries: list[EntryInfo],
        allotment: Allotment | None,
    ) -> Send:
        """Return the view for a member, with a snapshot unless the member has the current one."""
        snapshot = ServiceSnapshot(
            self._table.rows_of(member.service),
            [self._members.peer_info(peer, now) for peer in self._subset(member)],
            entries,
        )
        digest = _digest(snapshot)
        is_new = digest != member.heartbeat.view
        view = View(
            digest=digest,
            table_revision=self._table.revision,
            heartbeat_ms=int(self._members.heartbeat_seconds * 1000),
            share=share_of(allotment, member.incarnation) if allotment else None,
            snapshot=snapshot if is_new else None,
            ended=self._members.ended[-ENDED_SENT:] if is_new else [],
        )
        return Send(member.incarnation, member.heartbeat.address, view)

    def _subset(self, member: Member) -> list[Member]:
        """Return the targets that `member` may send tasks to, itself included."""
        version = self._members.version(member.service)
        key = (member.service, member.incarnation.host)
        cached = self._subsets.get(key)
        if cached is None or cached[0] != version:
            chosen = [m.incarnation for m in self._choose(member)]
            cached = self._subsets[key] = (version, chosen)
        current = [self._members.find(incarnation) for incarnation in cached[1]]
        return [each for each in current if each is not None]

    def _choose(self, member: Member) -> list[Member]:
        service = self._members.of_service(member.service)
        near = [m for m in service if m.site == member.site and m is not member]
        far = [m for m in service if m.site != member.site]
        near = _by_affinity(member, near, PEERS_NEAR - 1)
        chosen = [member, *near, *_by_affinity(member, far, PEERS_FAR)]
        return sorted(chosen, key=lambda each: each.incarnation)


def _by_affinity(member: Member, others: list[Member], most: int) -> list[Member]:
    """Return up to `most` members by rendezvous hashing, which is stable while they stay."""
    if len(others) <= most:
        return others
    return sorted(others, key=lambda other: _affinity(member, other))[:most]


def _affinity(member: Member, other: Member) -> int:
    return xxhash.xxh32_intdigest(f"{member.incarnation.host}/{other.incarnation.host}".encode())


def _digest(snapshot: ServiceSnapshot) -> int:
    """Return a digest of everything in a snapshot except loads and clocks.

    Entries with the same information compute the same digest, as the peers are sorted.
    """
    stable = [(p.incarnation, p.suspect, p.leaving, p.load.slots) for p in snapshot.peers]
    packed = msgspec.msgpack.encode((snapshot.rows, stable, snapshot.entries))
    return xxhash.xxh64_intdigest(packed)
