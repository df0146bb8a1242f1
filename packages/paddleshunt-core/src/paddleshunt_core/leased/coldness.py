"""Which targets a task is given while some of their runners are cold after their start.

A cold runner takes longer for the same work. So a task goes to a warm one as long as one has room;
a cold one gets it if it ends in time there too, or if waiting for a warm one is of no use.
"""

from paddleshunt_core.leased.jobs import JobRecord
from paddleshunt_core.leased.targets import TargetRecord


def warm_first(
    now: float,
    job: JobRecord,
    good: list[TargetRecord],
    sound: list[TargetRecord],
    overrun: float,
) -> list[TargetRecord]:
    """Return those of the targets with room, `good`, that a task of the job may be given now.

    `sound` are all that could run it, with room or not; `overrun` is how many times as long a task
    takes on a cold runner.
    """
    if not any(target.is_cold(now) for target in good):
        return good
    warm = [target for target in good if not target.is_cold(now)]
    if warm:
        return warm
    all_cold = all(target.is_cold(now) for target in sound)
    in_time = now + overrun * job.length <= job.first_sent + job.objective
    too_late_for_warm = now > job.start_by
    return good if all_cold or in_time or too_late_for_warm else []
