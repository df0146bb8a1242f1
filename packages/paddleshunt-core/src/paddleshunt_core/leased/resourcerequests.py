"""Requests free resources from targets for the most urgent waiting jobs of an entry."""

from collections.abc import Iterable, Mapping
from typing import final

from paddleshunt_core.leased.jobs import JobRecord
from paddleshunt_core.leased.targets import TargetRecord
from paddleshunt_core.leased.wire import DeclineOffer, ResourceRequest

MIN_INTERVAL_SECONDS = 0.02
"""Minimum seconds between two rounds of messages to all targets."""

MIN_INTERVAL_SECONDS_PER_TARGET = 0.0004
"""Minimum seconds between two rounds per request sent in the first, to limit an entry's CPU time.
"""

REPEAT_SECONDS = 0.1
"""Seconds after which a request is sent again, as the offer may have expired unused."""


@final
class ResourceRequests:
    """Sends an entry's resource requests to its targets, and declines their unused offers."""

    def __init__(self) -> None:
        self._next_round = 0.0
        self._reported: list[TargetRecord] = []
        """Targets that have reported since the last `send` while a request to them was in force."""

    def send(
        self,
        now: float,
        heads: Mapping[str, JobRecord],
        targets: Iterable[TargetRecord],
        assigned: Iterable[TargetRecord],
    ) -> None:
        """Send due requests: to all targets in rounds, to those just `assigned` at once.

        First decline the offers since the last call that were not used.
        """
        self._decline(assigned)
        if not heads:
            return
        if now < self._next_round:
            self._send_to(now, heads, assigned)
            return
        sent = self._send_to(now, heads, targets)
        self._next_round = now + max(MIN_INTERVAL_SECONDS, MIN_INTERVAL_SECONDS_PER_TARGET * sent)

    def record_report(self, target: TargetRecord) -> None:
        """Record that a target has sent a report, which may be an offer."""
        if target.request_key:
            self._reported.append(target)

    def _decline(self, assigned: Iterable[TargetRecord]) -> None:
        """Decline the offers of targets that were not `assigned` tasks."""
        used = {target.name for target in assigned}
        for target in self._reported:
            offered = target.report is not None and target.request_need.fits(target.report.free)
            if target.request_key and offered and target.name not in used and target.session:
                target.session.send(DeclineOffer())
                target.request_key = ""
        self._reported.clear()

    def _send_to(
        self, now: float, heads: Mapping[str, JobRecord], targets: Iterable[TargetRecord]
    ) -> int:
        """Send due requests to the targets, and return how many."""
        sent = 0
        for target in targets:
            job = _job_to_send(now, heads, target)
            if job is not None and target.session is not None:
                target.session.send(ResourceRequest(job.request.need, _within_ms(now, job)))
                target.request_key = job.request.key
                target.request_need = job.request.need
                target.request_sent_at = now
                sent += 1
        return sent


def _job_to_send(
    now: float, heads: Mapping[str, JobRecord], target: TargetRecord
) -> JobRecord | None:
    """Return the job whose request is due to be sent to a target, if there is one."""
    if target.session is None or target.report is None:
        return None
    job = heads.get(target.report.service)
    if job is None or not target.could_run(job.request.need):
        return None
    if job.request.label and not target.has_label(job.request.label):
        return None
    in_force = (
        target.request_key == job.request.key and now < target.request_sent_at + REPEAT_SECONDS
    )
    return None if in_force else job


def _within_ms(now: float, job: JobRecord) -> int:
    return round((job.urgency(now) - now) * 1000)
