"""Assigns waiting tasks to targets with free resources, most urgent jobs first."""

from collections.abc import Iterable
from typing import final

from paddleshunt_core.events import Log, note
from paddleshunt_core.leased.containment import Containment
from paddleshunt_core.leased.jobs import JobRecord, TaskPhase, TaskRecord
from paddleshunt_core.leased.placement import Placement
from paddleshunt_core.leased.speeds import Speeds
from paddleshunt_core.leased.targets import TargetRecord
from paddleshunt_core.leased.targetsnapshot import TargetSnapshot
from paddleshunt_core.leased.wire import Assign


@final
class Assigner:
    """Assigns tasks to the targets that a `Placement` chooses."""

    def __init__(self, placement: Placement, containment: Containment, speeds: Speeds) -> None:
        self._placement = placement
        self._containment = containment
        self._speeds = speeds
        self.heads: dict[str, JobRecord] = {}
        """By service, the most urgent job that still waits for free resources."""
        self.assigned: list[TargetRecord] = []
        """Targets that the last call of `place` assigned tasks to."""

    def place(self, now: float, jobs: Iterable[JobRecord], snapshot: TargetSnapshot) -> list[Log]:
        """Place the tasks that fit; queue the assignments in the targets' sessions."""
        self.heads.clear()
        self.assigned.clear()
        waiting = [job for job in jobs if job.waiting()]
        waiting.sort(key=lambda job: job.urgency(now))
        logs: list[Log] = []
        for job in waiting:
            service = job.queue.service
            if self._may_place(now, job, snapshot):
                targets = self._containment.allowed_targets(job, snapshot.usable(service))
                logs += self._place_job(now, job, targets)
                if job.waiting() and self._containment.may_use_other_targets(job):
                    logs += self._place_job(now, job, snapshot.usable(service))
            # A confined job is no head: most targets would offer it resources that it can't use.
            confined = self._containment.is_confined(job.queue)
            if service not in self.heads and job.waiting() and not confined:
                self.heads[service] = job
        return logs

    def _may_place(self, now: float, job: JobRecord, snapshot: TargetSnapshot) -> bool:
        """Whether to choose targets for a job now, decided without visiting each target."""
        if not snapshot.may_fit(job.queue.service, job.request.need) or self._containment.must_wait(
            job
        ):
            return False
        confined = self._containment.is_confined(job.queue)
        return confined or not self._placement.should_wait_for_kind(now, job, snapshot)

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
            target.record_run(now, task.run)
            target.reserve(job.request.need)
            chosen.setdefault(target.name, []).append(task)
        self.assigned += [by_name[name] for name in chosen]
        typical_slowness = self._speeds.typical_slowness(job.queue.service)
        return [
            _send(now, job, by_name[name], tasks, typical_slowness)
            for name, tasks in chosen.items()
        ]


def _send(
    now: float,
    job: JobRecord,
    target: TargetRecord,
    tasks: list[TaskRecord],
    typical_slowness: float,
) -> Log:
    """Queue an assignment of tasks, and return its log line.

    A target judges its runner's health by the estimate, so the estimate is raised for a slow kind
    of host. It is not lowered for a fast one: a wrong factor would make the runner count as sick,
    and would then never be corrected, as nothing is learned from sick runners.
    """
    assert target.session is not None  # noqa: S101
    request = job.request
    message = Assign(
        job=request.key,
        step=0,
        spec=request.spec,
        need=request.need,
        estimate_ms=round(job.length * max(1.0, target.kind_factor / typical_slowness) * 1000),
        expires_ms=round((job.expires - now) * 1000),
        runs=[(task.id.index, task.number) for task in tasks],
        queue=job.queue.name,
    )
    number = target.session.send(message)
    target.record_assignment(number, request.need, len(tasks))
    return note(
        "job_placed",
        request.key,
        target=target.name,
        indexes=",".join(str(task.id.index) for task in tasks),
        load=round(target.load, 2),
        report_age_ms=round((now - target.reported_at) * 1000),
    )
