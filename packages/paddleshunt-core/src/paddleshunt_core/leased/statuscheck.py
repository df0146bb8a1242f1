"""Check of a runner's status against what the same incarnation has reported before.

An incarnation keeps its service, hall and labels. A heartbeat that another process sends in its
name may have others and would move the runner to another pool, so a change of these is accepted
only once it has been received twice in a row.
"""

from typing import final

from paddleshunt_core.events import Log, note
from paddleshunt_core.leased.orders import RunnerStatus
from paddleshunt_core.leased.refusals import escape_for_log


@final
class StatusCheck:
    """Filter that ignores a contradicting status until it is received again."""

    def __init__(self) -> None:
        self._contradicting: RunnerStatus | None = None

    def contradicts(self, known: RunnerStatus | None, received: RunnerStatus) -> bool:
        """Whether `received` is to be ignored because it contradicts the known status."""
        previous, self._contradicting = self._contradicting, None
        if (
            known is None
            or not known.runner.may_be_same(received.runner)
            or _same_pool_and_labels(known, received)
        ):
            return False
        if (
            previous is not None
            and previous.runner == received.runner
            and _same_pool_and_labels(previous, received)
        ):
            return False
        self._contradicting = received
        return True


def contradicting_status_log(status: RunnerStatus) -> Log:
    """Return the log line for an ignored, contradicting status."""
    return note(
        "heartbeat_contradicts",
        runner=str(status.runner),
        service=escape_for_log(status.service),
        hall=escape_for_log(status.hall),
        labels=escape_for_log(",".join(status.labels)),
        sequence=status.sequence,
    )


def _same_pool_and_labels(one: RunnerStatus, other: RunnerStatus) -> bool:
    return (one.service, one.hall, one.labels) == (other.service, other.hall, other.labels)
