"""HTTP server on cheroot, with a routing table and typed requests and responses."""

import json
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field
from http import HTTPStatus
from threading import Thread
from typing import Any, final

from cheroot import wsgi

StartResponse = Callable[[str, list[tuple[str, str]]], Any]

JSON = "application/json"


@final
@dataclass(frozen=True, slots=True)
class Request:
    """One request; `rest` is the path after the route's, `length` the body's declared size."""

    method: str
    rest: str
    length: int | None
    read: Callable[[int], bytes]
    key: str = ""
    """Value of the header `Paddleshunt-Key`, or empty."""


@final
@dataclass(frozen=True, slots=True)
class Response:
    """One response."""

    status: HTTPStatus
    body: bytes
    headers: dict[str, str] = field(default_factory=dict)
    content_type: str = JSON


Route = Callable[[Request], Response]


def error(status: HTTPStatus, problem: str, *, at: str = "") -> Response:
    """Return an error response; `at` names the invalid field."""
    fields = {"error": problem, "field": at} if at else {"error": problem}
    return Response(status, json.dumps(fields).encode())


@final
class WebServer:
    """Serves routes at an address `host:port` with a fixed number of threads.

    Routes are keyed by method and path; a path that ends with `/` matches one more segment.
    """

    def __init__(self, address: str, routes: dict[tuple[str, str], Route], threads: int) -> None:
        host, _, port = address.rpartition(":")
        self._routes = routes
        self._server = wsgi.Server((host, int(port)), self._serve, numthreads=threads, max=threads)
        self._server.shutdown_timeout = 1
        self._server.request_queue_size = 512
        self._thread = Thread(target=self._server.serve, name="web", daemon=True)

    def start(self) -> None:
        """Listen, then begin to serve."""
        self._server.prepare()
        self._thread.start()

    def stop(self) -> None:
        """Finish the requests in progress, then end."""
        self._server.stop()
        self._thread.join()

    def _serve(self, environ: dict[str, Any], start_response: StartResponse) -> Iterable[bytes]:
        response = self._respond(environ)
        headers = {
            "Content-Type": response.content_type,
            "Content-Length": str(len(response.body)),
            **response.headers,
        }
        status = f"{response.status.value} {response.status.phrase}"
        start_response(status, list(headers.items()))
        return [response.body]

    def _respond(self, environ: dict[str, Any]) -> Response:
        method, path = environ["REQUEST_METHOD"], environ["PATH_INFO"]
        length = environ.get("CONTENT_LENGTH") or None
        route, rest = self._find_route(method, path)
        if route is None:
            return error(HTTPStatus.NOT_FOUND, f"nothing at {method} {path}")
        key = environ.get("HTTP_PADDLESHUNT_KEY", "")
        size = int(length) if length is not None else None
        return route(Request(method, rest, size, environ["wsgi.input"].read, key))

    def _find_route(self, method: str, path: str) -> tuple[Route | None, str]:
        route = self._routes.get((method, path))
        if route is not None:
            return route, ""
        parent, _, rest = path.rpartition("/")
        return self._routes.get((method, f"{parent}/")), rest
