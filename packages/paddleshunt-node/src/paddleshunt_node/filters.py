"""The filter chain that a caller's request passes before it reaches the core.

A filter returns None to pass the call on, or the response that ends it. No work has started when
a filter refuses a call, and its response names the invalid field.
"""

import json
from collections.abc import Callable
from dataclasses import dataclass, field
from http import HTTPStatus
from typing import final

import msgspec
import xxhash
from paddleshunt_core.entry import Minted
from paddleshunt_core.ids import InvalidId, parse_id
from paddleshunt_core.messages import Answer, Submit
from paddleshunt_core.outcomes import NotAccepted
from paddleshunt_platform.settings import Limits

from paddleshunt_node.answers import ID_HEADER, respond
from paddleshunt_node.web import Request, Response, error


@final
class SubmissionBody(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Body of a caller's request; tasks are kept as raw JSON."""

    service: str
    tasks: list[msgspec.Raw] = []
    repeatable: bool = False
    deadline_ms: int | None = None


@final
@dataclass(slots=True)
class Call:
    """A request in the chain, with the values that filters extracted from it."""

    request: Request
    submission: str = ""
    raw: bytes = b""
    body: SubmissionBody = field(default_factory=lambda: SubmissionBody(""))


Filter = Callable[[Call], Response | None]


def run_chain(filters: list[Filter], call: Call) -> Response:
    """Return the response of the first filter that returns one."""
    for apply_filter in filters:
        response = apply_filter(call)
        if response is not None:
            return response
    return error(HTTPStatus.INTERNAL_SERVER_ERROR, "no filter answered")


@final
class ReadBody:
    """Reads the body; refuses one of unknown or excessive length."""

    def __init__(self, limits: Limits) -> None:
        self._max_bytes = limits.max_body_bytes

    def __call__(self, call: Call) -> Response | None:
        """Read the body."""
        length = call.request.length
        if length is None:
            return error(HTTPStatus.LENGTH_REQUIRED, "expected a Content-Length")
        if length < 0:
            return error(HTTPStatus.BAD_REQUEST, "expected a Content-Length from 0")
        if length > self._max_bytes:
            problem = f"expected at most {self._max_bytes} bytes"
            return error(HTTPStatus.REQUEST_ENTITY_TOO_LARGE, problem)
        call.raw = call.request.read(length)
        return None


@final
class ParseBody:
    """Decodes the body; refuses an invalid one, or one without tasks if `with_tasks`."""

    def __init__(self, limits: Limits, *, with_tasks: bool) -> None:
        self._limits = limits
        self._with_tasks = with_tasks
        self._decoder = msgspec.json.Decoder(SubmissionBody)

    def __call__(self, call: Call) -> Response | None:
        """Decode the body and check its fields."""
        try:
            call.body = self._decoder.decode(call.raw)
        except msgspec.ValidationError as problem:
            text, _, path = str(problem).partition(" - at `$")
            return error(HTTPStatus.BAD_REQUEST, text, at=path.strip(".`") or "body")
        except msgspec.DecodeError as problem:
            return error(HTTPStatus.BAD_REQUEST, f"not JSON: {problem}", at="body")
        return self._check(call.body)

    def _check(self, body: SubmissionBody) -> Response | None:
        max_tasks = self._limits.max_tasks
        if self._with_tasks and not body.tasks:
            return error(HTTPStatus.BAD_REQUEST, "expected at least one task", at="tasks")
        if len(body.tasks) > max_tasks:
            problem = f"expected at most {max_tasks} tasks, found {len(body.tasks)}"
            return error(HTTPStatus.REQUEST_ENTITY_TOO_LARGE, problem, at="tasks")
        max_deadline_ms = self._limits.max_deadline_ms
        if body.deadline_ms is not None and not 1 <= body.deadline_ms <= max_deadline_ms:
            problem = f"expected 1 to {max_deadline_ms}"
            return error(HTTPStatus.BAD_REQUEST, problem, at="deadline_ms")
        return None


@final
class CheckService:
    """Refuses a service that has no row in the table."""

    def __init__(self, is_known: Callable[[str], bool]) -> None:
        self._is_known = is_known

    def __call__(self, call: Call) -> Response | None:
        """Check the service."""
        if self._is_known(call.body.service):
            return None
        return error(HTTPStatus.NOT_FOUND, "the table has no such service", at="service")


@final
class ParseId:
    """Takes the submission id from the path; refuses an invalid one."""

    def __call__(self, call: Call) -> Response | None:
        """Parse the id."""
        call.submission = call.request.rest
        parsed = parse_id(call.submission)
        if isinstance(parsed, InvalidId):
            return error(HTTPStatus.BAD_REQUEST, f"no submission id: {parsed.reason}", at="id")
        return None


@final
class MintId:
    """Creates a submission id for a request that has none."""

    def __init__(self, mint: Callable[[str], Minted | NotAccepted]) -> None:
        self._mint = mint

    def __call__(self, call: Call) -> Response | None:
        """Create an id, or return a refusal if no target can be the submission's home."""
        minted = self._mint(call.body.service)
        if isinstance(minted, NotAccepted):
            return respond(Answer("", b"", minted, call.body.repeatable))
        call.submission = minted.submission
        return None


@final
class ReturnId:
    """Ends the chain with the new submission id."""

    def __call__(self, call: Call) -> Response | None:
        """Return the id and where to submit."""
        body = json.dumps({"id": call.submission}).encode()
        headers = {
            "Location": f"/v1/submissions/{call.submission}",
            ID_HEADER: call.submission,
        }
        return Response(HTTPStatus.CREATED, body, headers)


@final
class Forward:
    """Ends the chain by passing the submission to the core and waiting for its answer."""

    def __init__(self, limits: Limits, forward: Callable[[Submit], Response]) -> None:
        self._limits = limits
        self._forward = forward

    def __call__(self, call: Call) -> Response | None:
        """Submit and return the response."""
        body = call.body
        tasks = [bytes(task) for task in body.tasks]
        message = Submit(
            call.submission,
            body.service,
            body.repeatable,
            body.deadline_ms or self._limits.default_deadline_ms,
            digest(body.service, tasks, repeatable=body.repeatable),
            tasks,
        )
        return self._forward(message)


def digest(service: str, tasks: list[bytes], *, repeatable: bool) -> bytes:
    """Return a digest of a submission's service, tasks and repeatability."""
    state = xxhash.xxh128(f"{service}\n{repeatable}\n".encode())
    for task in tasks:
        state.update(len(task).to_bytes(4, "big"))
        state.update(task)
    return state.digest()
