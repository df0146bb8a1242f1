"""Sends the tasks that wait to targets with room, the most urgent jobs' first."""

from collections.abc import Iterable
from typing import final

from paddleshunt_core.events import Log, note
from paddleshunt_core.leased.containment import Containment
from paddleshunt_core.leased.jobs import JobRecord, TaskPhase, TaskRecord
from paddleshunt_core.leased.placement import Placement
from paddleshunt_core.leased.room import RoomNow
from paddleshunt_core.leased.speeds import Speeds
from paddleshunt_core.leased.targets import TargetRecord
from paddleshunt_core.leased.wire import Assign


@final
class Assigner:
    """Assigns tasks by a `Placement`."""

    def __init__(self, placement: Placement, containment: Containment, speeds: Speeds) -> None:
        self._placement = placement
        self._containment = containment
        self._speeds = speeds
        self.heads: dict[str, JobRecord] = {}
        """By service, the first job in the order of starts that waits for room."""
        self.assigned: list[TargetRecord] = []
        """Targets that were sent tasks by the last call of `place`."""

    def place(self, now: float, jobs: Iterable[JobRecord], room: RoomNow) -> list[Log]:
        """Send what has room; messages lie in the targets' sessions then."""
        self.heads.clear()
        self.assigned.clear()
        waiting = [job for job in jobs if job.waiting()]
        waiting.sort(key=lambda job: job.urgency(now))
        logs: list[Log] = []
        for job in waiting:
            service = job.queue.service
            if self._may_place(now, job, room):
                targets = self._containment.targets(job, room.usable(service))
                logs += self._place_job(now, job, targets)
                if job.waiting() and self._containment.may_go_elsewhere(job):
                    logs += self._place_job(now, job, room.usable(service))
            # A confined job is no head: most targets that were told would offer room in vain.
            confined = self._containment.is_confined(job.queue)
            if service not in self.heads and job.waiting() and not confined:
                self.heads[service] = job
        return logs

    def _may_place(self, now: float, job: JobRecord, room: RoomNow) -> bool:
        """Whether it is worth looking for targets for a job now."""
        if not room.may_have(job.queue.service, job.request.need) or self._containment.holds(job):
            return False
        confined = self._containment.is_confined(job.queue)
        return confined or not self._placement.awaits_kind(now, job, room)

    def _place_job(self, now: float, job: JobRecord, targets: list[TargetRecord]) -> list[Log]:
        eligible = self._placement.eligible(job, targets)
        chosen: dict[str, list[TaskRecord]] = {}
        by_name = {target.name: target for target in eligible}
        for task in job.waiting() if eligible else ():
            target = self._placement.choose(now, job, task, eligible)
            if target is None:
                break
            task.number += 1
            task.phase = TaskPhase.PLACED
            task.target = target.name
            task.placed_at = now
            target.place(now, task.run)
            target.reserve(job.request.need)
            chosen.setdefault(target.name, []).append(task)
        self.assigned += [by_name[name] for name in chosen]
        typical = self._speeds.typical(job.queue.service)
        return [_send(now, job, by_name[name], tasks, typical) for name, tasks in chosen.items()]


def _send(
    now: float, job: JobRecord, target: TargetRecord, tasks: list[TaskRecord], typical: float
) -> Log:
    """Send tasks; a target judges its runner by the estimate, so a slow kind is given more time.

    A fast one is not given less: nothing is learned from a runner that counts as sick, so a factor
    that is wrong would stay.
    """
    assert target.session is not None  # noqa: S101
    request = job.request
    message = Assign(
        job=request.key,
        step=0,
        spec=request.spec,
        need=request.need,
        estimate_ms=round(job.length * max(1.0, target.kind_factor / typical) * 1000),
        expires_ms=round((job.expires - now) * 1000),
        runs=[(task.id.index, task.number) for task in tasks],
        queue=job.queue.name,
    )
    number = target.session.send(message)
    target.assigned(number, request.need, len(tasks))
    return note(
        "job_placed",
        request.key,
        target=target.name,
        indexes=",".join(str(task.id.index) for task in tasks),
        load=round(target.load, 2),
        report_age_ms=round((now - target.reported_at) * 1000),
    )
