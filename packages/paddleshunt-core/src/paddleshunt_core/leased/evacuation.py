"""Which data halls are evacuated: their targets are to start nothing more.

The operator's word lies in the platform's store. A process knows all of it as it stood at one
revision of the store, and follows only what is known as of a later one: from the store itself or
from another process. So an old word never undoes a newer one, and a word that was taken back is
known by its absence.
"""

from typing import final

import msgspec

from paddleshunt_core.events import Log, note


@final
class EvacuatedHalls(msgspec.Struct, frozen=True, array_like=True):
    """All halls that are evacuated, as of the store's `revision`; 0 if nothing is known."""

    revision: int = 0
    halls: tuple[str, ...] = ()


@final
class Evacuations:
    """What one process knows of evacuations."""

    def __init__(self) -> None:
        self._known = EvacuatedHalls()

    @property
    def known(self) -> EvacuatedHalls:
        """What is known, to hand on to others."""
        return self._known

    def covers(self, hall: str) -> bool:
        """Whether a hall is evacuated."""
        return hall in self._known.halls

    def learn(self, told: EvacuatedHalls) -> bool:
        """Follow what is known as of a later revision; return whether other halls are evacuated."""
        if told.revision <= self._known.revision:
            return False
        before = set(self._known.halls)
        self._known = told
        return set(told.halls) != before

    def supersedes(self, told: EvacuatedHalls) -> bool:
        """Whether a teller of `told` is to be told of other halls, as of a later revision."""
        later = told.revision < self._known.revision
        return later and set(told.halls) != set(self._known.halls)


def evacuation_log(evacuations: Evacuations, source: str) -> Log:
    """Return the line that says which halls are evacuated now, and who told."""
    known = evacuations.known
    halls = ",".join(known.halls)
    return note("evacuation_learned", halls=halls, revision=known.revision, source=source)
