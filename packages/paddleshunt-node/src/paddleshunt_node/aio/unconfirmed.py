"""Statuses of a runner's incarnations that the runner has not confirmed yet."""

from typing import final

from paddleshunt_core.leased.orders import RunnerStatus
from paddleshunt_core.leased.runnerincarnation import RunnerIncarnation

MAX_UNCONFIRMED = 32
"""Maximum number of incarnations; above it, the one stored first is dropped."""


@final
class UnconfirmedStatuses:
    """The newest status of each unconfirmed incarnation."""

    def __init__(self) -> None:
        self._newest: dict[RunnerIncarnation, RunnerStatus] = {}

    def __contains__(self, incarnation: RunnerIncarnation) -> bool:
        return incarnation in self._newest

    def keep(self, status: RunnerStatus) -> None:
        """Store a status, unless a newer one of its incarnation is stored."""
        known = self._newest.get(status.runner)
        if known is None or status.sequence > known.sequence:
            self._newest[status.runner] = status
        if len(self._newest) > MAX_UNCONFIRMED:
            del self._newest[next(iter(self._newest))]

    def newest(self, incarnation: RunnerIncarnation) -> RunnerStatus | None:
        """Return the newest status of an incarnation."""
        return self._newest.get(incarnation)

    def all(self) -> list[RunnerStatus]:
        """Return the stored statuses."""
        return list(self._newest.values())

    def drop(self, incarnation: RunnerIncarnation) -> None:
        """Remove an incarnation's status."""
        self._newest.pop(incarnation, None)

    def clear(self) -> None:
        """Remove all statuses."""
        self._newest.clear()
