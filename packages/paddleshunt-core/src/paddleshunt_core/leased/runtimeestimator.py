"""Estimates of task lengths and host speeds, from the tasks that complete."""

from collections.abc import Mapping
from typing import final

from paddleshunt_core.leased.catalog import Queue
from paddleshunt_core.leased.jobs import JobRecord, JobRequest, TaskRecord
from paddleshunt_core.leased.placement import Placement
from paddleshunt_core.leased.speeds import Speeds, work_seconds
from paddleshunt_core.leased.targets import TargetRecord
from paddleshunt_core.leased.tasklengths import JobPrediction, TaskLengthModels
from paddleshunt_core.leased.wire import Health


@final
class RuntimeEstimator:
    """Predicts task lengths and updates the models from the completions that one entry sees."""

    def __init__(self, placement: Placement, speeds: Speeds) -> None:
        self._placement = placement
        self._speeds = speeds
        self._lengths = TaskLengthModels()

    def predict(self, queue: Queue, request: JobRequest) -> JobPrediction:
        """Return the expected length of a job's tasks, and the job's probable age."""
        return self._lengths.for_queue(queue.name).predict(request.estimate, request.deadline)

    def task_completed(
        self, now: float, job: JobRecord, task: TaskRecord, target: TargetRecord
    ) -> None:
        """Update the queue's length model from a completed task.

        Tasks of unhealthy runners are ignored, and so are those sent to a cold runner.
        """
        if target.is_cold(task.placed_at):
            return
        if target.report is None or target.report.health is not Health.GOOD:
            return
        request = job.request
        work = work_seconds(now - task.placed_at) / self._placement.locality_factor(job, target)
        task.work, task.ran_on = work, target.runner_incarnation
        normalized = work * self._speeds.typical_slowness(job.queue.service) / target.slowness
        self._lengths.for_queue(job.queue.name).observe(
            request.estimate, request.deadline, normalized
        )

    def compare_tasks(self, job: JobRecord, targets: Mapping[str, TargetRecord]) -> None:
        """Update host speeds from the run times of a completed job's tasks."""
        samples = [
            (target, task.work)
            for task in job.tasks
            if task.work and (target := targets.get(task.target)) is not None
            if target.runner_incarnation == task.ran_on
        ]
        self._speeds.compare_tasks(job.length, samples)
