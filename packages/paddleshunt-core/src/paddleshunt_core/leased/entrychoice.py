"""Which entries a target holds sessions with: a few of those that live, by rendezvous hashing.

Each target ranks the entries by a hash of both names and holds a session with the first few that
it can reach, those of its own data hall before others: bytes between halls are dear. Some sessions
are kept for other halls, whose entries may have too few targets of their own. So each entry gets an
even share of the targets, each target is shared by several entries, and one entry's end moves only
the sessions that it had.
"""

from collections import deque
from typing import final

from paddleshunt_core.leased.ranks import rank
from paddleshunt_core.leased.wire import EntryAddress

MAX_SESSIONS = 8
"""Entries that a target holds a session with, if there are as many."""

RESERVED_SESSIONS = 2
"""Sessions of these that are for entries of other data halls, if there are any."""

SUSPECT_SECONDS = 2.0
"""Seconds for which an entry that could not be reached is passed over."""

LIVES = 4
"""Lives of one entry that are remembered: tellers may name an ended one for a second or two."""


@final
class EntryChoice:
    """What one target knows of the entries, and which of them it wants."""

    def __init__(self, target: str, hall: str = "", sessions: int = MAX_SESSIONS) -> None:
        self._target = target
        self._hall = hall
        self._near: set[str] = set()
        """Entries of the target's own data hall."""
        self._sessions = sessions
        self._told: dict[str, dict[str, EntryAddress]] = {}
        self._ranks: dict[str, int] = {}
        self._ranked: tuple[set[str], list[EntryAddress]] | None = None
        """What a set of tellers knows, in the order of choice; None after a change."""
        self._suspected: dict[str, float] = {}
        self._lives: dict[str, deque[str]] = {}

    def replace_known(self, teller: str, entries: list[EntryAddress]) -> None:
        """Take the entries that one entry knows to live; they replace what it said before.

        An entry that has started anew since it was suspected is not passed over any longer.
        """
        self._told[teller] = {}
        self.update_known(teller, entries, [])

    def update_known(self, teller: str, joined: list[EntryAddress], gone: list[str]) -> None:
        """Take which entries have joined or gone since one entry told all."""
        told = self._told.setdefault(teller, {})
        for name in gone:
            told.pop(name, None)
        for entry in joined:
            told[entry.name] = entry
            if entry.hall and entry.hall == self._hall:
                self._near.add(entry.name)
            else:
                self._near.discard(entry.name)
            if self._has_new_life(entry):
                self._suspected.pop(entry.name, None)
        self._ranked = None

    def suspect(self, now: float, name: str) -> None:
        """Pass an entry over for a while: it can't be reached, or its session ended.

        One that is linked again is not passed over: the silence may have been this process's own.
        """
        self._suspected[name] = now + SUSPECT_SECONDS

    def wanted(self, now: float, linked: set[str]) -> list[EntryAddress]:
        """Return the entries to hold sessions with, the first choice first.

        Only what the `linked` entries have told counts, as long as there is one.
        """
        tellers = linked & self._told.keys() or set(self._told)
        if self._ranked is None or self._ranked[0] != tellers:
            known: dict[str, EntryAddress] = {}
            for teller in tellers:
                known.update(self._told[teller])
            self._ranked = (tellers, sorted(known.values(), key=self._rank))
        usable = {
            entry.name: entry
            for entry in self._ranked[1]
            if entry.name in linked or now >= self._suspected.get(entry.name, 0.0)
        }
        return [usable[name] for name in self._first(list(usable))]

    def sessions_to_keep(self, names: set[str]) -> set[str]:
        """Return the entries to go on with among those that a session is open with."""
        return set(self._first(sorted(names, key=self._rank_of)))

    def _first(self, ranked: list[str]) -> list[str]:
        """Return the names to hold sessions with, of the own hall first, but not of it alone."""
        near = [name for name in ranked if name in self._near]
        far = [name for name in ranked if name not in self._near]
        reach = min(RESERVED_SESSIONS, len(far)) if near else 0
        own = near[: self._sessions - reach]
        return [*own, *far[: self._sessions - len(own)]]

    def has_entries(self) -> bool:
        """Whether any entry has told of the others."""
        return bool(self._told)

    def _has_new_life(self, entry: EntryAddress) -> bool:
        lives = self._lives.setdefault(entry.name, deque(maxlen=LIVES))
        if not entry.life or entry.life in lives:
            return False
        lives.append(entry.life)
        return True

    def _rank(self, entry: EntryAddress) -> int:
        return self._rank_of(entry.name)

    def _rank_of(self, name: str) -> int:
        if name not in self._ranks:
            self._ranks[name] = rank(self._target, name)
        return self._ranks[name]
