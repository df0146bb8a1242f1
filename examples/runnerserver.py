"""What the example runners share: an HTTP server that runs one function for each task.

It logs one line a task to standard output, so that anyone can see that each ran once.
"""

import json
import sys
from collections.abc import Callable, Iterable
from typing import Any

from cheroot import wsgi

TaskFunction = Callable[[dict[str, Any]], dict[str, Any]]

THREADS = 8


class BadTaskError(Exception):
    """A task whose payload is not what the runner expects."""


def make_server(run: TaskFunction, port: int, *, log: bool = True) -> wsgi.Server:
    """Return a server on loopback that answers each POST with what `run` makes of its body."""

    def serve(environ: dict[str, Any], start_response: Callable[..., Any]) -> Iterable[bytes]:
        task = environ.get("HTTP_PADDLESHUNT_TASK", "unnamed")
        raw = environ["wsgi.input"].read(int(environ.get("CONTENT_LENGTH") or 0))
        if log:
            print(f"task={task}", file=sys.stdout, flush=True)
        try:
            status, result = "200 OK", json.dumps(run(json.loads(raw))).encode()
        except (BadTaskError, KeyError, TypeError, ValueError) as error:
            status, result = "400 Bad Request", f"{type(error).__name__}: {error}".encode()
        start_response(status, [("Content-Length", str(len(result)))])
        return [result]

    server = wsgi.Server(("127.0.0.1", port), serve, numthreads=THREADS)
    server.shutdown_timeout = 1
    return server


def serve_forever(run: TaskFunction) -> None:
    """Serve on the port given as the first argument until interrupted."""
    server = make_server(run, int(sys.argv[1]))
    try:
        server.start()
    except KeyboardInterrupt:
        server.stop()
