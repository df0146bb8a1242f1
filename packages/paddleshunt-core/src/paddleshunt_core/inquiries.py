"""Inquiries of a home to gates about the state of tasks, and revocations of unstarted tasks."""

from collections.abc import Iterable
from typing import final

from paddleshunt_core.effects import Effect, Send
from paddleshunt_core.links import Link, Outstanding, TaskKey, group_by_submission
from paddleshunt_core.messages import Inquire
from paddleshunt_core.waste import Waste

UNSEEN_SECONDS = 0.6
"""Seconds after which a task is inquired about if its gate hasn't acknowledged its message."""

STUCK_SECONDS = 0.55
"""Seconds after which a task that may still be queued is revoked if a slot is free elsewhere.

A task that started at once has usually ended by then.
"""

SLOW_SECONDS = 2.0
"""Seconds after which any unreported task is inquired about; doubles with each inquiry."""


@final
class Inquiries:
    """Creates inquiries, and numbers all messages of a home to gates in one rising sequence."""

    def __init__(self, waste: Waste) -> None:
        self._waste = waste
        self._seq = 0

    def next_number(self) -> int:
        """Return the number of the next message to any gate."""
        self._seq += 1
        return self._seq

    def inquire(self, now: float, link: Link, keys: list[TaskKey], *, revoke: bool) -> Effect:
        """Inquire about tasks at a gate; with `revoke`, it refuses those that have not started."""
        for key in keys:
            out = link.outstanding[key]
            out.asked = now
            out.wait = max(SLOW_SECONDS, 2 * out.wait)
        self._waste.inquiries += 1
        if link.asked_at is None:
            link.asked_at = now
        number = self.next_number()
        if len(keys) == len(link.outstanding):
            link.inquiry = number
        body = Inquire(number, link.stamp_ms(now), link.acked, revoke, group_by_submission(keys))
        return Send(link.incarnation, link.address, body)

    def inquire_slow(self, now: float, links: Iterable[Link]) -> list[Effect]:
        """Inquire about the tasks that have been unreported for too long."""
        effects: list[Effect] = []
        for link in links:
            slow = [key for key, out in link.outstanding.items() if _is_inquiry_due(link, out, now)]
            if slow:
                effects.append(self.inquire(now, link, slow, revoke=False))
        return effects

    def revoke_job(self, now: float, submission: str, links: Iterable[Link]) -> list[Effect]:
        """Revoke all tasks of a submission that have not started."""
        effects: list[Effect] = []
        for link in links:
            keys = [key for key in link.outstanding if key[0] == submission]
            if keys:
                effects.append(self.inquire(now, link, keys, revoke=True))
        return effects

    def revoke_queued(self, now: float, links: Iterable[Link]) -> list[Effect]:
        """Revoke the tasks that have been queued at their targets for too long.

        The gate refuses only those that it has not started, so running tasks aren't affected.
        """
        return [
            self.inquire(now, link, keys, revoke=True)
            for link in links
            if (keys := stuck_tasks(now, link))
        ]


def stuck_tasks(now: float, link: Link) -> list[TaskKey]:
    """Return the tasks that may have been queued at a target for longer than `STUCK_SECONDS`."""
    if not link.load.queued:
        return []
    return [key for key, out in link.outstanding.items() if _is_stuck(out, now)]


def _is_stuck(out: Outstanding, now: float) -> bool:
    return not out.started and now - out.asked > STUCK_SECONDS


def _is_inquiry_due(link: Link, out: Outstanding, now: float) -> bool:
    first = SLOW_SECONDS if link.seen_seq >= out.seq else UNSEEN_SECONDS
    return now - out.asked > (out.wait or first)
