"""Translation of outcomes to HTTP responses: status, headers and JSON.

Only `not_accepted` has a 5xx status, which a load balancer may retry by itself: it is the only
outcome after which sending the same request again is always safe.
"""

import json
from http import HTTPStatus

from paddleshunt_core.messages import Absent, Answer, Running
from paddleshunt_core.outcomes import (
    Complete,
    Conflict,
    Failed,
    NotAccepted,
    NotRun,
    Outcome,
    Unknown,
    outcome_tag,
    retry_advice,
)

from paddleshunt_node.web import Response

ID_HEADER = "Paddleshunt-Submission"

STATUSES: dict[type[Outcome], HTTPStatus] = {
    Complete: HTTPStatus.OK,
    Failed: HTTPStatus.UNPROCESSABLE_ENTITY,
    NotRun: HTTPStatus.TOO_MANY_REQUESTS,
    NotAccepted: HTTPStatus.SERVICE_UNAVAILABLE,
    Unknown: HTTPStatus.GONE,
    Conflict: HTTPStatus.CONFLICT,
}


def respond(body: Answer | Running | Absent) -> Response:
    """Return the HTTP response for the state of a submission."""
    match body:
        case Answer():
            return _answer_response(body)
        case Running():
            return _state_response(HTTPStatus.ACCEPTED, body.submission, "running")
        case Absent():
            return _state_response(HTTPStatus.NOT_FOUND, body.submission, "not_submitted")


def _state_response(status: HTTPStatus, submission: str, state: str) -> Response:
    body = json.dumps({"id": submission, "state": state})
    return Response(status, body.encode(), {ID_HEADER: submission})


def _answer_response(answer: Answer) -> Response:
    outcome = answer.outcome
    ask_again = retry_advice(outcome, repeatable=answer.repeatable).value
    head = {"id": answer.submission, "outcome": outcome_tag(outcome), "ask_again": ask_again}
    headers = {ID_HEADER: answer.submission}
    if isinstance(outcome, NotRun | NotAccepted):
        headers["Retry-After"] = str(max(1, -(-outcome.retry_after_ms // 1000)))
    status = STATUSES[type(outcome)]
    if isinstance(outcome, Complete):
        return Response(status, _with_results(head, outcome.results), headers)
    detail = {name: getattr(outcome, name) for name in outcome.__struct_fields__}
    return Response(status, json.dumps(head | detail).encode(), headers)


def _with_results(head: dict[str, str], results: list[bytes]) -> bytes:
    """Return the JSON of a complete answer; results are inserted as the runners encoded them."""
    start = json.dumps(head).encode().removesuffix(b"}")
    return start + b', "results": [' + b", ".join(results) + b"]}"
