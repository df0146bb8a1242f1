"""Requests of callers that wait in an entry for the answer of a home.

This is an entry's only state about a submission. Only its home can accept an id, and only once, so
an entry may resend a submission to its home whenever there is no answer.
"""

from collections.abc import Callable
from dataclasses import dataclass, field
from typing import final

from paddleshunt_core.effects import Effect, Reply, Send
from paddleshunt_core.ids import Incarnation
from paddleshunt_core.messages import Absent, Answer, Body, Query, Running, Submit
from paddleshunt_core.outcomes import NotAccepted, Outcome, Unknown

FIRST_QUERY_SECONDS = 1.0
"""Seconds without an answer after which an entry first queries the home."""

MAX_QUERY_SECONDS = 8.0
"""Maximum seconds between two queries; the interval doubles up to it."""

ANSWER_GRACE_SECONDS = 1.0
"""Seconds after the deadline for which an entry still waits for the home's answer."""

LOOK_UP_SECONDS = 2.0
"""Maximum seconds for a query of a submission's state."""


@dataclass(slots=True)
class _Call:
    home: Incarnation
    address: str
    submission: str
    digest: bytes
    submit: Submit | None
    deadline: float
    query_at: float
    query_interval: float = FIRST_QUERY_SECONDS
    callers: list[int] = field(default_factory=list)

    @property
    def repeatable(self) -> bool:
        return self.submit is not None and self.submit.repeatable


CallKey = tuple[str, bytes]


@final
class Calls:
    """Waiting calls of one entry; a query for a submission's state has an empty digest."""

    def __init__(self) -> None:
        self._calls: dict[CallKey, _Call] = {}

    def __len__(self) -> int:
        return len(self._calls)

    def submit(
        self, now: float, caller: int, home: Incarnation, address: str, message: Submit
    ) -> list[Effect]:
        """Send a submission to its home; the caller waits for the outcome."""
        key = (message.submission, message.digest)
        deadline = now + message.deadline_ms / 1000
        call = _Call(home, address, *key, message, deadline, now + FIRST_QUERY_SECONDS)
        return self._open(key, call, caller, message)

    def look_up(
        self, now: float, caller: int, home: Incarnation, address: str, submission: str
    ) -> list[Effect]:
        """Query a home for the state of a submission; the caller waits for the state only."""
        key = (submission, b"")
        deadline = now + LOOK_UP_SECONDS - ANSWER_GRACE_SECONDS
        call = _Call(home, address, *key, None, deadline, now + FIRST_QUERY_SECONDS)
        return self._open(key, call, caller, Query(submission))

    def service_of(self, message: Answer) -> str:
        """Return the service of an answer's submission; empty if no call waits for it."""
        call = self._calls.get((message.submission, message.digest))
        return call.submit.service if call is not None and call.submit is not None else ""

    def answered(self, message: Answer) -> list[Effect]:
        """Answer the callers that wait for an outcome."""
        effects: list[Effect] = []
        for digest in {message.digest, b""}:
            effects += self._reply((message.submission, digest), message)
        return effects

    def running(self, now: float, message: Running) -> list[Effect]:
        """Answer state queries for a running submission and query its home less often."""
        call = self._calls.get((message.submission, message.digest))
        if call is not None:
            call.query_interval = min(MAX_QUERY_SECONDS, call.query_interval * 2)
            call.query_at = now + call.query_interval
        return self._reply((message.submission, b""), message)

    def absent(self, now: float, message: Absent) -> list[Effect]:
        """Resend a submission that did not reach its home."""
        call = self._calls.get((message.submission, message.digest))
        if call is None:
            return []
        if call.submit is None:
            return self._reply((message.submission, b""), message)
        left_ms = int((call.deadline - now) * 1000)
        if left_ms <= 0:
            return []
        resent = Submit(
            call.submission,
            call.submit.service,
            call.submit.repeatable,
            left_ms,
            call.digest,
            call.submit.tasks,
        )
        return [Send(call.home, call.address, resent)]

    def undelivered(self, to: Incarnation, body: Body) -> list[Effect]:
        """Answer the callers of a message that was never sent."""
        if not isinstance(body, Submit | Query):
            return []
        call = self._calls.get((body.submission, body.digest))
        if call is None or call.home != to:
            return []
        return self._end(call, NotAccepted("the home can't be reached from this entry", 1000))

    def tick(self, now: float, has_ended: Callable[[Incarnation], bool]) -> list[Effect]:
        """Query silent homes, and answer calls whose home has ended or whose deadline passed."""
        effects: list[Effect] = []
        for call in list(self._calls.values()):
            if has_ended(call.home):
                effects += self._end(call, Unknown(f"its home on {call.home.host} has ended"))
            elif now > call.deadline + ANSWER_GRACE_SECONDS:
                effects += self._end(call, _timeout_outcome(call))
            elif now >= call.query_at:
                call.query_at = now + call.query_interval
                effects.append(Send(call.home, call.address, Query(call.submission, call.digest)))
        return effects

    def _open(self, key: CallKey, call: _Call, caller: int, body: Body) -> list[Effect]:
        waiting = self._calls.get(key)
        if waiting is not None:
            waiting.callers.append(caller)
            return []
        call.callers.append(caller)
        self._calls[key] = call
        return [Send(call.home, call.address, body)]

    def _reply(self, key: CallKey, body: Answer | Running | Absent) -> list[Effect]:
        call = self._calls.pop(key, None)
        if call is None:
            return []
        return [Reply(caller, body) for caller in call.callers]

    def _end(self, call: _Call, outcome: Outcome) -> list[Effect]:
        answer = Answer(call.submission, call.digest, outcome, call.repeatable)
        return self._reply((call.submission, call.digest), answer)


def _timeout_outcome(call: _Call) -> Outcome:
    if call.submit is None:
        return NotAccepted("the home did not answer", 1000)
    return Unknown("the home did not answer by the deadline")
