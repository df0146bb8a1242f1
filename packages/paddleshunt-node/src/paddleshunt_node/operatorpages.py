"""The pages that operators ask of entries and targets alike: metrics and dump."""

import queue
from collections.abc import Callable
from http import HTTPStatus
from typing import final

import msgspec
from paddleshunt_core.effects import Effect

from paddleshunt_node.node import Node
from paddleshunt_node.web import Request, Response, Route

ASK_SECONDS = 5.0
"""Seconds that a web thread waits for the loop."""


@final
class OperatorPages:
    """Serves `/metrics` and `/v1/dump`; `describe` runs on the loop's thread."""

    def __init__(self, node: Node, describe: Callable[[float], dict[str, object]]) -> None:
        self._node = node
        self._describe = describe

    def routes(self) -> dict[tuple[str, str], Route]:
        """Return the pages by method and path."""
        return {("GET", "/metrics"): self._metrics, ("GET", "/v1/dump"): self._dump}

    def _metrics(self, _request: Request) -> Response:
        page = self._node.metrics.page()
        return Response(HTTPStatus.OK, page, content_type="text/plain; version=0.0.4")

    def _dump(self, _request: Request) -> Response:
        box: queue.SimpleQueue[bytes] = queue.SimpleQueue()

        def ask(now: float) -> list[Effect]:
            box.put(msgspec.json.encode(self._describe(now)))
            return []

        self._node.post(ask)
        return Response(HTTPStatus.OK, box.get(timeout=ASK_SECONDS))
