"""Accounts of lives of a runner that the runner has not confirmed yet."""

from typing import final

from paddleshunt_core.leased.orders import RunnerAccount
from paddleshunt_core.leased.runnerlife import RunnerLife

MAX_CLAIMS = 32
"""Lives that the runner has not confirmed yet; a host sees some of them a day."""


@final
class Claims:
    """By life, its newest account; it may say by then that the life is leaving."""

    def __init__(self) -> None:
        self._accounts: dict[RunnerLife, RunnerAccount] = {}

    def __contains__(self, life: RunnerLife) -> bool:
        return life in self._accounts

    def keep(self, account: RunnerAccount) -> None:
        """Keep an account, unless a newer one of its life is known."""
        known = self._accounts.get(account.runner)
        if known is None or account.sequence > known.sequence:
            self._accounts[account.runner] = account
        if len(self._accounts) > MAX_CLAIMS:
            del self._accounts[next(iter(self._accounts))]

    def newest(self, life: RunnerLife) -> RunnerAccount | None:
        """Return the newest account of a life."""
        return self._accounts.get(life)

    def all(self) -> list[RunnerAccount]:
        """Return the accounts that are kept."""
        return list(self._accounts.values())

    def drop(self, life: RunnerLife) -> None:
        """Forget a life."""
        self._accounts.pop(life, None)

    def clear(self) -> None:
        """Forget all."""
        self._accounts.clear()
