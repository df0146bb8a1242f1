"""Small HTTP server on its own thread, the base of the stand-ins."""

from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer
from threading import Thread
from typing import Self


class Handler(BaseHTTPRequestHandler):
    """Base of the stand-ins' request handlers: HTTP/1.1 without a log."""

    protocol_version = "HTTP/1.1"

    def log_message(self, format: str, *args: object) -> None:
        """Log nothing."""

    def body(self) -> bytes:
        """Return the request's body."""
        return self.rfile.read(int(self.headers.get("Content-Length", "0")))

    def answer(self, status: int, body: bytes) -> None:
        """Send a JSON answer."""
        self.send_response(status)
        self.send_header("Content-Type", "application/json")
        self.send_header("Content-Length", str(len(body)))
        self.end_headers()
        self.wfile.write(body)


class _Server(ThreadingHTTPServer):
    daemon_threads = True
    request_queue_size = 128

    def handle_error(self, request: object, client_address: object) -> None:
        """Ignore errors, such as connections closed by clients."""


class StandIn:
    """A stand-in that serves on loopback from its creation until `close`."""

    def __init__(self, handler: type[Handler], port: int = 0) -> None:
        bound = type("Bound", (handler,), {"stand_in": self})
        self._server = _Server(("127.0.0.1", port), bound)
        self._thread = Thread(target=self._server.serve_forever, args=(0.05,), daemon=True)
        self._thread.start()

    @property
    def url(self) -> str:
        """URL of the server."""
        return f"http://127.0.0.1:{self._server.server_address[1]}"

    def close(self) -> None:
        """Stop serving."""
        self._server.shutdown()
        self._server.server_close()
        self._thread.join()

    def __enter__(self) -> Self:
        return self

    def __exit__(self, *exc: object) -> None:
        self.close()
