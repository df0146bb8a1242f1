"""Whether an account contradicts what the same life of a runner has said of itself before.

A life keeps its service, its hall and its labels. Another writer's word for it may name others, and
would take the runner out of its pool; so these are followed once they were said twice in a row.
"""

from typing import final

from paddleshunt_core.events import Log, note
from paddleshunt_core.leased.orders import RunnerStatus
from paddleshunt_core.leased.refusals import shown


@final
class StatusCheck:
    """The contradiction that was said last, if any."""

    def __init__(self) -> None:
        self._said: RunnerStatus | None = None

    def contradicts(self, known: RunnerStatus | None, told: RunnerStatus) -> bool:
        """Whether `told` is to be passed over, as the known account says otherwise."""
        said, self._said = self._said, None
        if known is None or not known.runner.may_be_same(told.runner) or _agree(known, told):
            return False
        if said is not None and said.runner == told.runner and _agree(said, told):
            return False
        self._said = told
        return True


def contradicting_status_note(status: RunnerStatus) -> Log:
    """Return the line on an account that is passed over."""
    return note(
        "heartbeat_contradicts",
        runner=str(status.runner),
        service=shown(status.service),
        hall=shown(status.hall),
        labels=shown(",".join(status.labels)),
        sequence=status.sequence,
    )


def _agree(one: RunnerStatus, other: RunnerStatus) -> bool:
    return (one.service, one.hall, one.labels) == (other.service, other.hall, other.labels)
