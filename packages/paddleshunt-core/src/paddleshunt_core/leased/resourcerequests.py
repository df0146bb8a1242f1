"""Tells targets which task waits most urgently at an entry, for their offers of scarce room."""

from collections.abc import Iterable, Mapping
from typing import final

from paddleshunt_core.leased.jobs import JobRecord
from paddleshunt_core.leased.targets import TargetRecord
from paddleshunt_core.leased.wire import Decline, Want

PAUSE_SECONDS = 0.02
"""Shortest time between two rounds in which all targets are told; a short task waits 0.1 s."""

PAUSE_SECONDS_A_TARGET = 0.0004
"""The same for each target: a message costs an entry some 40 us, a round a tenth of a core."""

REPEAT_SECONDS = 0.1
"""Seconds after which a target is told again: an offer that came late may have lapsed."""


@final
class Wants:
    """What an entry's targets were told of its waiting jobs."""

    def __init__(self) -> None:
        self._next_round = 0.0
        self._reported: list[TargetRecord] = []

    def tell(
        self,
        now: float,
        heads: Mapping[str, JobRecord],
        targets: Iterable[TargetRecord],
        assigned: Iterable[TargetRecord],
    ) -> None:
        """Tell targets that don't know yet: all in rounds, those just `assigned` tasks at once.

        First decline what targets have offered since the last call and were not assigned for.
        """
        self._decline(assigned)
        if not heads:
            return
        if now < self._next_round:
            self._tell(now, heads, assigned)
            return
        told = self._tell(now, heads, targets)
        self._next_round = now + max(PAUSE_SECONDS, PAUSE_SECONDS_A_TARGET * told)

    def reported(self, target: TargetRecord) -> None:
        """Note that a target has just reported its room: it may be an offer."""
        if target.told_want:
            self._reported.append(target)

    def _decline(self, assigned: Iterable[TargetRecord]) -> None:
        """Let others have the room that was offered, unless a target was `assigned` tasks."""
        used = {target.name for target in assigned}
        for target in self._reported:
            offered = target.report is not None and target.told_need.fits(target.report.free)
            if target.told_want and offered and target.name not in used and target.session:
                target.session.send(Decline())
                target.told_want = ""
        self._reported.clear()

    def _tell(
        self, now: float, heads: Mapping[str, JobRecord], targets: Iterable[TargetRecord]
    ) -> int:
        """Tell the targets that don't know yet, and return how many."""
        told = 0
        for target in targets:
            job = _untold(now, heads, target)
            if job is not None and target.session is not None:
                target.session.send(Want(job.request.need, _within_ms(now, job)))
                target.told_want = job.request.key
                target.told_need = job.request.need
                target.told_at = now
                told += 1
        return told


def _untold(now: float, heads: Mapping[str, JobRecord], target: TargetRecord) -> JobRecord | None:
    """Return the job that a target is to be told of, if there is one."""
    if target.session is None or target.report is None:
        return None
    job = heads.get(target.report.service)
    if job is None or not target.could_run(job.request.need):
        return None
    if job.request.label and not target.has_label(job.request.label):
        return None
    told = target.told_want == job.request.key and now < target.told_at + REPEAT_SECONDS
    return None if told else job


def _within_ms(now: float, job: JobRecord) -> int:
    return round((job.urgency(now) - now) * 1000)
