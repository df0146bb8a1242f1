"""Views: what an entry tells each target, whole only when it differs from what the target has.

A target's heartbeat names the digest of the view it has. While nothing but load has changed it
gets a short answer; so the bytes of a quiet fleet don't grow with the targets a target knows.
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
"""Targets of its own site that a target is told of."""

PEERS_FAR = 8
"""Targets of other sites that a target is told of."""

ENDED_SENT = 16
"""Incarnations that ended last, named in every whole view and every exchange."""


@final
class Views:
    """Makes views from what an entry knows."""

    def __init__(self, members: Members, table: TableController) -> None:
        self._members = members
        self._table = table
        self._subsets: dict[tuple[str, str], tuple[int, list[Incarnation]]] = {}
        """Chosen targets by service and host, with the service's version they were chosen at."""

    def view(
        self,
        now: float,
        member: Member,
        entries: list[EntryInfo],
        allotment: Allotment | None,
    ) -> Send:
        """Return the view for a member; whole if the member lacks it."""
        picture = ServiceSnapshot(
            self._table.rows_of(member.service),
            [self._members.peer_info(peer, now) for peer in self._subset(member)],
            entries,
        )
        digest = _digest(picture)
        whole = digest != member.heartbeat.view
        view = View(
            digest=digest,
            table_revision=self._table.revision,
            heartbeat_ms=int(self._members.heartbeat_seconds * 1000),
            share=share_of(allotment, member.incarnation) if allotment else None,
            snapshot=picture if whole else None,
            ended=self._members.ended[-ENDED_SENT:] if whole else [],
        )
        return Send(member.incarnation, member.heartbeat.address, view)

    def _subset(self, member: Member) -> list[Member]:
        """Return the targets that `member` may give work to: near ones, itself too, and far."""
        version = self._members.version(member.service)
        key = (member.service, member.incarnation.host)
        cached = self._subsets.get(key)
        if cached is None or cached[0] != version:
            chosen = [m.incarnation for m in self._choose(member)]
            cached = self._subsets[key] = (version, chosen)
        found = [self._members.find(incarnation) for incarnation in cached[1]]
        return [each for each in found if each is not None]

    def _choose(self, member: Member) -> list[Member]:
        service = self._members.of_service(member.service)
        near = [m for m in service if m.site == member.site and m is not member]
        far = [m for m in service if m.site != member.site]
        near = _nearest(member, near, PEERS_NEAR - 1)
        chosen = [member, *near, *_nearest(member, far, PEERS_FAR)]
        return sorted(chosen, key=lambda each: each.incarnation)


def _nearest(member: Member, others: list[Member], most: int) -> list[Member]:
    """Return the ones that the member's hash favours, the same as long as they stay."""
    if len(others) <= most:
        return others
    return sorted(others, key=lambda other: _affinity(member, other))[:most]


def _affinity(member: Member, other: Member) -> int:
    return xxhash.xxh32_intdigest(f"{member.incarnation.host}/{other.incarnation.host}".encode())


def _digest(picture: ServiceSnapshot) -> int:
    """Return a digest of everything in a picture but load and clocks.

    All entries that know the same make the same one: peers come sorted.
    """
    steady = [(p.incarnation, p.suspect, p.leaving, p.load.slots) for p in picture.peers]
    packed = msgspec.msgpack.encode((picture.rows, steady, picture.entries))
    return xxhash.xxh64_intdigest(packed)
