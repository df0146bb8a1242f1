"""Statuses of a runner's incarnations that the runner has not confirmed yet."""

from typing import final

from paddleshunt_core.leased.orders import RunnerAccount
from paddleshunt_core.leased.runnerlife import RunnerLife

MAX_UNCONFIRMED = 32
"""Incarnations kept; above it, the oldest is dropped."""


@final
class UnconfirmedStatuses:
    """The newest status of each unconfirmed incarnation."""

    def __init__(self) -> None:
        self._newest: dict[RunnerLife, RunnerAccount] = {}

    def __contains__(self, incarnation: RunnerLife) -> bool:
        return incarnation in self._newest

    def keep(self, status: RunnerAccount) -> None:
        """Store a status, unless a newer one of its incarnation is stored."""
        known = self._newest.get(status.runner)
        if known is None or status.sequence > known.sequence:
            self._newest[status.runner] = status
        if len(self._newest) > MAX_UNCONFIRMED:
            del self._newest[next(iter(self._newest))]

    def newest(self, incarnation: RunnerLife) -> RunnerAccount | None:
        """Return the newest status of an incarnation."""
        return self._newest.get(incarnation)

    def all(self) -> list[RunnerAccount]:
        """Return the stored statuses."""
        return list(self._newest.values())

    def drop(self, incarnation: RunnerLife) -> None:
        """Remove an incarnation's status."""
        self._newest.pop(incarnation, None)

    def clear(self) -> None:
        """Remove all statuses."""
        self._newest.clear()
