"""Selects the entries that a target holds sessions with, by rendezvous hashing.

Each target ranks the live entries by a hash of both names and holds sessions with the first few
that it can reach. Entries in its own data hall come first, as traffic between halls is expensive; a
few sessions are reserved for other halls, which may have too few targets of their own. Each entry
gets an even share of the targets, and when an entry ends, only its own sessions move.
"""

from collections import deque
from typing import final

from paddleshunt_core.leased.rendezvous import rendezvous_rank
from paddleshunt_core.leased.wire import EntryAddress

MAX_SESSIONS = 8
"""Maximum number of entries that a target holds sessions with."""

RESERVED_SESSIONS = 2
"""Number of these sessions that are reserved for entries of other data halls, if there are any."""

SUSPECT_SECONDS = 2.0
"""Seconds for which an entry that could not be reached is skipped."""

MAX_INCARNATIONS = 4
"""Number of incarnations remembered per entry, to recognize late reports of ended ones."""


@final
class EntryChoice:
    """The entries that one target knows of, and its selection."""

    def __init__(self, target: str, hall: str = "", sessions: int = MAX_SESSIONS) -> None:
        self._target = target
        self._hall = hall
        self._local: set[str] = set()
        """Names of the entries in the target's own data hall."""
        self._sessions = sessions
        self._known: dict[str, dict[str, EntryAddress]] = {}
        """The live entries by name, as reported by each source."""
        self._ranks: dict[str, int] = {}
        self._ranked: tuple[set[str], list[EntryAddress]] | None = None
        """A set of sources and the entries that they reported, by rank; None after a change."""
        self._suspected_until: dict[str, float] = {}
        self._incarnations: dict[str, deque[str]] = {}

    def replace_known(self, source: str, entries: list[EntryAddress]) -> None:
        """Replace the live entries that one source has reported."""
        self._known[source] = {}
        self.update_known(source, entries, [])

    def update_known(self, source: str, joined: list[EntryAddress], gone: list[str]) -> None:
        """Apply changes to the live entries that one source has reported.

        A suspected entry that has restarted is no longer suspected.
        """
        known = self._known.setdefault(source, {})
        for name in gone:
            known.pop(name, None)
        for entry in joined:
            known[entry.name] = entry
            if entry.hall and entry.hall == self._hall:
                self._local.add(entry.name)
            else:
                self._local.discard(entry.name)
            if self._is_new_incarnation(entry):
                self._suspected_until.pop(entry.name, None)
        self._ranked = None

    def suspect(self, now: float, name: str) -> None:
        """Skip an entry for `SUSPECT_SECONDS`: it can't be reached, or its session ended.

        It is not skipped once it is connected again.
        """
        self._suspected_until[name] = now + SUSPECT_SECONDS

    def wanted(self, now: float, connected: set[str]) -> list[EntryAddress]:
        """Return the entries to hold sessions with, in order of preference.

        Only reports of the `connected` entries count, unless there are none.
        """
        sources = connected & self._known.keys() or set(self._known)
        if self._ranked is None or self._ranked[0] != sources:
            known: dict[str, EntryAddress] = {}
            for source in sources:
                known.update(self._known[source])
            self._ranked = (sources, sorted(known.values(), key=self._rank))
        usable = {
            entry.name: entry
            for entry in self._ranked[1]
            if entry.name in connected or now >= self._suspected_until.get(entry.name, 0.0)
        }
        return [usable[name] for name in self._select(list(usable))]

    def sessions_to_keep(self, names: set[str]) -> set[str]:
        """Return which of the connected entries `names` to keep sessions with."""
        return set(self._select(sorted(names, key=self._rank_of)))

    def _select(self, ranked: list[str]) -> list[str]:
        """Return the names to hold sessions with, those in the own hall first."""
        local = [name for name in ranked if name in self._local]
        remote = [name for name in ranked if name not in self._local]
        reserved = min(RESERVED_SESSIONS, len(remote)) if local else 0
        selected = local[: self._sessions - reserved]
        return [*selected, *remote[: self._sessions - len(selected)]]

    def has_entries(self) -> bool:
        """Whether any source has reported its entries."""
        return bool(self._known)

    def _is_new_incarnation(self, entry: EntryAddress) -> bool:
        seen = self._incarnations.setdefault(entry.name, deque(maxlen=MAX_INCARNATIONS))
        if not entry.incarnation or entry.incarnation in seen:
            return False
        seen.append(entry.incarnation)
        return True

    def _rank(self, entry: EntryAddress) -> int:
        return self._rank_of(entry.name)

    def _rank_of(self, name: str) -> int:
        if name not in self._ranks:
            self._ranks[name] = rendezvous_rank(self._target, name)
        return self._ranks[name]
