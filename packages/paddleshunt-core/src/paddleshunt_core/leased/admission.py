"""Admission control: an entry refuses jobs that can't end in time or for which capacity is short.

The length of a job's tasks and the time when its caller first sent it are estimates, by which a job
may seem late already. Estimates decide only while capacity is short, as a late job would then delay
others. A job whose tasks fit at once is refused only if it can't end before its deadline.
"""

from collections.abc import Iterable

from paddleshunt_core.events import Log, note
from paddleshunt_core.leased.jobs import JobRecord
from paddleshunt_core.leased.outcomes import Refused
from paddleshunt_core.leased.targets import TargetRecord
from paddleshunt_core.leased.targetsnapshot import TargetSnapshot

NO_TARGET_WAIT = 0.1
"""Expected wait in seconds when no target is large enough for a job."""

RETRY_SECONDS = 1.0
"""Minimum seconds after which a refused caller is asked to retry."""

MIN_LENGTH_FACTOR = 0.4
"""Smallest part of its expected length that a task is assumed to take."""


def refusal(
    now: float, job: JobRecord, wait: float, last_start: float, *, has_capacity: bool
) -> Refused | None:
    """Return the refusal of a job that would wait for `wait` seconds; None to admit it.

    `last_start` is the latest start of a job that has to wait for capacity.
    """
    if now + MIN_LENGTH_FACTOR * job.length > job.expires:
        return Refused("too_late", RETRY_SECONDS)
    if not has_capacity and now + wait > last_start:
        return Refused("no_room", max(RETRY_SECONDS, wait))
    return None


def has_capacity(job: JobRecord, usable: Iterable[TargetRecord]) -> bool:
    """Whether a task of the job fits a target now, as far as is known."""
    return any(job.request.need.fits(target.free) for target in usable)


def expected_wait(
    job: JobRecord, usable: Iterable[TargetRecord], competing_jobs: Iterable[JobRecord]
) -> float:
    """Return the seconds that a job's tasks would wait for capacity, behind more urgent jobs.

    Without a target that is large enough, return `NO_TARGET_WAIT`: one may connect soon.
    """
    eligible = [target for target in usable if target.could_run(job.request.need)]
    if not eligible:
        return NO_TARGET_WAIT
    if has_capacity(job, eligible):
        return 0.0
    typical_slowness = sum(target.kind_factor for target in eligible) / len(eligible)
    capacity = sum(
        t.report.capacity.processor / t.kind_factor * typical_slowness for t in eligible if t.report
    )
    work_ahead = sum(
        other.request.need.processor * other.length * len(other.waiting())
        for other in competing_jobs
        if other.start_by <= job.start_by
    )
    return work_ahead / max(1, capacity)


def capacity_log(now: float, job: JobRecord, wait: float, snapshot: TargetSnapshot) -> Log:
    """Return the log line with the known capacity on which a job's refusal is based."""
    usable = snapshot.usable(job.queue.service)
    fields: dict[str, str | int | float] = {
        "waited_ms": round((now - job.arrived) * 1000),
        "slack_ms": round((job.start_by - now) * 1000),
        "expected_wait_ms": round(wait * 1000),
        "need": job.request.need.processor,
        "most_free": max((t.free.processor for t in usable), default=0),
        "targets": len(snapshot.known(job.queue.service)),
        "usable": len(usable),
        "oldest_report_ms": round(max((now - t.reported_at for t in usable), default=0) * 1000),
    }
    return note("job_refused", job.request.key, **fields)
