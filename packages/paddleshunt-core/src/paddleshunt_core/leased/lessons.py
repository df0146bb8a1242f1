"""What the ends of tasks teach an entry: how long tasks take, and how slow hosts are."""

from collections.abc import Mapping
from typing import final

from paddleshunt_core.leased.catalog import Queue
from paddleshunt_core.leased.jobs import JobRecord, JobRequest, TaskRecord
from paddleshunt_core.leased.lengths import Expectation, Lengths
from paddleshunt_core.leased.placement import Placement
from paddleshunt_core.leased.speeds import Speeds, work_of
from paddleshunt_core.leased.targets import TargetRecord
from paddleshunt_core.leased.wire import Health


@final
class Lessons:
    """Learns from the ends that one entry sees."""

    def __init__(self, placement: Placement, speeds: Speeds) -> None:
        self._placement = placement
        self._speeds = speeds
        self._lengths = Lengths()

    def expect(self, queue: Queue, request: JobRequest) -> Expectation:
        """Return how long a task of a job is expected to take, and how old the job seems."""
        return self._lengths.of(queue.name).expect(request.estimate, request.deadline)

    def ended(self, now: float, job: JobRecord, task: TaskRecord, target: TargetRecord) -> None:
        """Learn from a task that has ended well how long its queue's tasks take.

        One on a runner that is not well says nothing, nor does one that was sent to a cold runner.
        """
        if target.is_cold(task.placed_at):
            return
        if target.report is None or target.report.health is not Health.GOOD:
            return
        request = job.request
        work = work_of(now - task.placed_at) / self._placement.locality_factor(job, target)
        task.work, task.ran_on = work, target.runner_incarnation
        sound = work * self._speeds.typical(job.queue.service) / target.slowness
        self._lengths.of(job.queue.name).ended(request.estimate, request.deadline, sound)

    def compare_tasks(self, job: JobRecord, targets: Mapping[str, TargetRecord]) -> None:
        """Learn from what the tasks of a job that has ended took how slow hosts are."""
        done = [
            (target, task.work)
            for task in job.tasks
            if task.work and (target := targets.get(task.target)) is not None
            if target.runner_incarnation == task.ran_on
        ]
        self._speeds.compare_tasks(job.length, done)
