"""Whether an account contradicts what the same life of a runner has said of itself before.

A life keeps its service, its hall and its labels. Another writer's word for it may name others, and
would take the runner out of its pool; so these are followed once they were said twice in a row.
"""

from typing import final

from paddleshunt_core.events import Log, note
from paddleshunt_core.leased.orders import RunnerAccount
from paddleshunt_core.leased.refusals import escape_for_log


@final
class AccountCheck:
    """The contradiction that was said last, if any."""

    def __init__(self) -> None:
        self._said: RunnerAccount | None = None

    def contradicts(self, known: RunnerAccount | None, told: RunnerAccount) -> bool:
        """Whether `told` is to be passed over, as the known account says otherwise."""
        said, self._said = self._said, None
        if known is None or not known.runner.agrees(told.runner) or _agree(known, told):
            return False
        if said is not None and said.runner == told.runner and _agree(said, told):
            return False
        self._said = told
        return True


def contradiction_note(account: RunnerAccount) -> Log:
    """Return the line on an account that is passed over."""
    return note(
        "heartbeat_contradicts",
        runner=str(account.runner),
        service=escape_for_log(account.service),
        hall=escape_for_log(account.hall),
        labels=escape_for_log(",".join(account.labels)),
        sequence=account.sequence,
    )


def _agree(one: RunnerAccount, other: RunnerAccount) -> bool:
    return (one.service, one.hall, one.labels) == (other.service, other.hall, other.labels)
