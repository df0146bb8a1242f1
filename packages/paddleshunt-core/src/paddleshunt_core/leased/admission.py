"""Whether an entry takes a job: it refuses one that can't end in time, or that has no room.

How long a job's tasks take is only estimated, and so is when its caller sent it first. By these a
job may seem to be late already. That decides where room is scarce: others that are in time had to
wait for it. Where room is free nobody has, so only what is sure decides.
"""

from collections.abc import Iterable

from paddleshunt_core.events import Log, note
from paddleshunt_core.leased.jobs import JobRecord
from paddleshunt_core.leased.outcomes import Refused
from paddleshunt_core.leased.room import RoomNow
from paddleshunt_core.leased.targets import TargetRecord

NO_TARGET_WAIT = 0.1
"""Seconds a job is expected to wait for a target when none is known."""

RETRY_SECONDS = 1.0
"""When a refused caller is told to come back, if nothing better is known."""

SHORTEST = 0.4
"""Part of its expected length that a task takes at the least."""


def refusal(
    now: float, job: JobRecord, wait: float, last_start: float, *, has_room: bool
) -> Refused | None:
    """Return why a job is refused at once, if it is; it would wait for `wait` seconds.

    `last_start` is when it must start to be worth a place among others.
    """
    if now + SHORTEST * job.length > job.expires:
        return Refused("too_late", RETRY_SECONDS)
    if not has_room and now + wait > last_start:
        return Refused("no_room", max(RETRY_SECONDS, wait))
    return None


def has_room(job: JobRecord, usable: Iterable[TargetRecord]) -> bool:
    """Whether a task of the job can start at once, as far as is known."""
    return any(job.request.need.fits(target.free) for target in usable)


def expected_wait(
    job: JobRecord, usable: Iterable[TargetRecord], held: Iterable[JobRecord]
) -> float:
    """Return how many seconds the job's tasks would wait for room, behind the jobs `held`.

    Without a target that is large enough the answer is a guess: one may be found in a moment.
    """
    able = [target for target in usable if target.could_run(job.request.need)]
    if not able:
        return NO_TARGET_WAIT
    if has_room(job, able):
        return 0.0
    usual = sum(target.kind_factor for target in able) / len(able)
    capacity = sum(t.report.capacity.processor / t.kind_factor * usual for t in able if t.report)
    ahead = sum(
        other.request.need.processor * other.length * len(other.waiting())
        for other in held
        if other.start_by <= job.start_by
    )
    return ahead / max(1, capacity)


def room_note(now: float, job: JobRecord, wait: float, room: RoomNow) -> Log:
    """Return the line that says on what knowledge of room a job is refused."""
    usable = room.usable(job.queue.service)
    fields: dict[str, str | int | float] = {
        "waited_ms": round((now - job.arrived) * 1000),
        "slack_ms": round((job.start_by - now) * 1000),
        "expected_wait_ms": round(wait * 1000),
        "need": job.request.need.processor,
        "most_free": max((t.free.processor for t in usable), default=0),
        "targets": len(room.known(job.queue.service)),
        "usable": len(usable),
        "oldest_report_ms": round(max((now - t.reported_at for t in usable), default=0) * 1000),
    }
    return note("job_refused", job.request.key, **fields)
