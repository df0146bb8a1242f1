"""The operators' HTTP pages of entries and targets: metrics and state dump."""

import queue
from collections.abc import Callable
from http import HTTPStatus
from typing import final

import msgspec
from paddleshunt_core.effects import Effect

from paddleshunt_node.node import Node
from paddleshunt_node.web import Request, Response, Route

LOOP_TIMEOUT_SECONDS = 5.0
"""Time that a web thread waits for the loop."""


@final
class OperatorPages:
    """Serves `/metrics` and `/v1/dump`; `describe` runs on the loop's thread."""

    def __init__(self, node: Node, describe: Callable[[float], dict[str, object]]) -> None:
        self._node = node
        self._describe = describe

    def routes(self) -> dict[tuple[str, str], Route]:
        """Return the routes of the pages."""
        return {("GET", "/metrics"): self._metrics, ("GET", "/v1/dump"): self._dump}

    def _metrics(self, _request: Request) -> Response:
        page = self._node.metrics.page()
        return Response(HTTPStatus.OK, page, content_type="text/plain; version=0.0.4")

    def _dump(self, _request: Request) -> Response:
        result: queue.SimpleQueue[bytes] = queue.SimpleQueue()

        def describe(now: float) -> list[Effect]:
            result.put(msgspec.json.encode(self._describe(now)))
            return []

        self._node.post(describe)
        return Response(HTTPStatus.OK, result.get(timeout=LOOP_TIMEOUT_SECONDS))
