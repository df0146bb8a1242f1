"""Allotments: a row's limits divided among its targets, so that their sum never exceeds them.

The store keeps one document for each row. A target's part has its current share and the amount
that it may still hold of an earlier one; the sum of the held amounts never exceeds the row's limit.
Lowering a share frees the difference only once its holder reports the new revision or has ended.
"""

from collections.abc import Callable, Iterable
from dataclasses import dataclass
from typing import final

import msgspec

from paddleshunt_core.ids import Incarnation
from paddleshunt_core.messages import Share
from paddleshunt_core.table import Row


@final
class Part(msgspec.Struct, frozen=True):
    """One target's part of a row.

    `since` is the revision of the document that set the share; a holder that has adopted that
    revision, or a later one, holds no more than the share.
    """

    host: str
    boot: str
    running: int
    in_flight: int
    held_running: int
    held_in_flight: int
    since: int

    @property
    def incarnation(self) -> Incarnation:
        """The incarnation that holds the part."""
        return Incarnation(self.host, self.boot)


@final
class Allotment(msgspec.Struct, frozen=True):
    """The parts of one row, as stored."""

    service: str
    site: str
    revision: int
    parts: list[Part]


@final
@dataclass(frozen=True, slots=True)
class Holder:
    """A target that may hold a part: its share's revision in force and whether it is leaving."""

    incarnation: Incarnation
    share_revision: int
    leaving: bool


def share_of(allotment: Allotment, incarnation: Incarnation) -> Share | None:
    """Return the share of a target's incarnation, or None if the document doesn't name it.

    An earlier incarnation has no share, as a later document, which an entry may have missed, may
    have given it to another target.
    """
    for part in allotment.parts:
        if part.incarnation == incarnation:
            return Share(allotment.revision, part.running, part.in_flight)
    return None


def divide(
    row: Row,
    current: Allotment | None,
    holders: Iterable[Holder],
    has_ended: Callable[[Incarnation], bool],
) -> Allotment | None:
    """Return the row's next allotment, or None if it is unchanged.

    Shares are lowered at once, and raised only by amounts that no target holds.
    """
    known = {holder.incarnation: holder for holder in holders}
    old = current or Allotment(row.service, row.site, 0, [])
    newest = _newest_boots(known)
    inherited = [_inherit(part, newest) for part in old.parts]
    released = [_release_held(part, known.get(part.incarnation)) for part in inherited]
    alive = [part for part in released if not has_ended(part.incarnation)]
    wanted = _wanted(row, known)
    revision = old.revision + 1
    present = {part.incarnation for part in alive}
    added = [_empty(inc) for inc in sorted(wanted) if inc not in present]
    parts = [_lower(part, wanted.get(part.incarnation, (0, 0)), revision) for part in alive]
    parts = _raise(row, [*parts, *added], wanted, revision)
    parts = [part for part in parts if _is_needed(part, wanted)]
    if parts == old.parts:
        return None
    return Allotment(row.service, row.site, revision, sorted(parts, key=lambda p: p.host))


def _newest_boots(known: Iterable[Incarnation]) -> dict[str, str]:
    boots: dict[str, str] = {}
    for incarnation in known:
        boots[incarnation.host] = max(incarnation.boot, boots.get(incarnation.host, ""))
    return boots


def _inherit(part: Part, newest: dict[str, str]) -> Part:
    """Transfer a part and its held amounts to the newest incarnation of its host."""
    boot = newest.get(part.host, "")
    return msgspec.structs.replace(part, boot=boot) if boot > part.boot else part


def _release_held(part: Part, holder: Holder | None) -> Part:
    """Reduce the held amounts to the share, if the holder has adopted the share's revision."""
    if holder is None or holder.share_revision < part.since:
        return part
    return msgspec.structs.replace(part, held_running=part.running, held_in_flight=part.in_flight)


def _wanted(row: Row, known: dict[Incarnation, Holder]) -> dict[Incarnation, tuple[int, int]]:
    """Divide both limits evenly among the targets that stay; the first ones get the remainder."""
    staying = sorted(inc for inc, holder in known.items() if not holder.leaving)
    if not staying:
        return {}
    running = _split_evenly(row.max_running, len(staying))
    in_flight = _split_evenly(row.max_in_flight, len(staying))
    return {inc: (running[i], in_flight[i]) for i, inc in enumerate(staying)}


def _split_evenly(limit: int, count: int) -> list[int]:
    whole, rest = divmod(limit, count)
    return [whole + (1 if i < rest else 0) for i in range(count)]


def _empty(incarnation: Incarnation) -> Part:
    return Part(incarnation.host, incarnation.boot, 0, 0, 0, 0, 0)


def _lower(part: Part, want: tuple[int, int], revision: int) -> Part:
    running = min(part.running, want[0])
    in_flight = min(part.in_flight, want[1])
    if (running, in_flight) == (part.running, part.in_flight):
        return part
    return msgspec.structs.replace(part, running=running, in_flight=in_flight, since=revision)


def _raise(
    row: Row, parts: list[Part], wanted: dict[Incarnation, tuple[int, int]], revision: int
) -> list[Part]:
    """Raise shares up to the wanted ones by amounts that no target holds."""
    free_running = row.max_running - sum(part.held_running for part in parts)
    free_in_flight = row.max_in_flight - sum(part.held_in_flight for part in parts)
    raised: list[Part] = []
    for part in parts:
        want = wanted.get(part.incarnation, (0, 0))
        more = max(0, min(want[0] - part.held_running, free_running))
        more_in_flight = max(0, min(want[1] - part.held_in_flight, free_in_flight))
        free_running -= more
        free_in_flight -= more_in_flight
        raised.append(_grow(part, want, more, more_in_flight, revision))
    return raised


def _grow(part: Part, want: tuple[int, int], more: int, more_in_flight: int, revision: int) -> Part:
    held_running = part.held_running + more
    held_in_flight = part.held_in_flight + more_in_flight
    running = min(want[0], held_running)
    in_flight = min(want[1], held_in_flight)
    if (running, in_flight) == (part.running, part.in_flight):
        return part
    return msgspec.structs.replace(
        part,
        running=running,
        in_flight=in_flight,
        held_running=held_running,
        held_in_flight=held_in_flight,
        since=revision,
    )


def _is_needed(part: Part, wanted: dict[Incarnation, tuple[int, int]]) -> bool:
    """Whether the part's target should have a share, or may still hold one."""
    return part.incarnation in wanted or part.held_running > 0 or part.held_in_flight > 0
