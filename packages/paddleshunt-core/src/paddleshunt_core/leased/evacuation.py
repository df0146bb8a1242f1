"""The evacuated data halls, whose targets must start nothing more.

Evacuations are set by operators in the platform's store. A process holds the complete set as of one
revision of the store, and replaces it only by the set of a later revision, from the store or from
another process. So an outdated message never undoes a newer one, and a hall that is missing from
the set is not evacuated.
"""

from typing import final

import msgspec

from paddleshunt_core.events import Log, note


@final
class EvacuatedHalls(msgspec.Struct, frozen=True, array_like=True):
    """All evacuated halls as of the store's `revision`; 0 if nothing is known."""

    revision: int = 0
    halls: tuple[str, ...] = ()


@final
class Evacuations:
    """The evacuations known to one process."""

    def __init__(self) -> None:
        self._known = EvacuatedHalls()

    @property
    def known(self) -> EvacuatedHalls:
        """The known set, to send on to others."""
        return self._known

    def covers(self, hall: str) -> bool:
        """Whether a hall is evacuated."""
        return hall in self._known.halls

    def learn(self, received: EvacuatedHalls) -> bool:
        """Adopt a set of a later revision; return whether the evacuated halls differ."""
        if received.revision <= self._known.revision:
            return False
        before = set(self._known.halls)
        self._known = received
        return set(received.halls) != before

    def supersedes(self, received: EvacuatedHalls) -> bool:
        """Whether the sender of `received` needs an update, as its set is older and differs."""
        outdated = received.revision < self._known.revision
        return outdated and set(received.halls) != set(self._known.halls)


def evacuation_log(evacuations: Evacuations, source: str) -> Log:
    """Return the log line for a new set of evacuated halls, with its source."""
    known = evacuations.known
    halls = ",".join(known.halls)
    return note("evacuation_learned", halls=halls, revision=known.revision, source=source)
