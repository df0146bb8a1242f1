"""Metrics of a process in the Prometheus text format."""

from collections.abc import Callable
from typing import final

from aioprometheus.collectors import Counter, Gauge, Registry
from aioprometheus.formats import text


@final
class Metrics:
    """Counters of messages and outcomes, and gauges that are read on each scrape."""

    def __init__(self) -> None:
        self._registry = Registry()
        self._messages = self._counter("paddleshunt_messages_total", "Messages between processes.")
        self._bytes = self._counter("paddleshunt_message_bytes_total", "Bytes of those messages.")
        self._outcomes = self._counter("paddleshunt_answers_total", "Answers to callers.")
        self._events = self._counter("paddleshunt_events_total", "Events of the log.")
        self._gauges: list[tuple[Gauge, Callable[[], float]]] = []

    def sent(self, kind: str, size: int) -> None:
        """Count a message that was sent."""
        self._messages.inc({"kind": kind, "way": "out"})
        self._bytes.add({"kind": kind, "way": "out"}, size)

    def received(self, kind: str, size: int) -> None:
        """Count a received message."""
        self._messages.inc({"kind": kind, "way": "in"})
        self._bytes.add({"kind": kind, "way": "in"}, size)

    def answered(self, outcome: str) -> None:
        """Count an answer to a caller."""
        self._outcomes.inc({"outcome": outcome})

    def event(self, name: str) -> None:
        """Count a log event."""
        self._events.inc({"event": name})

    def gauge(self, name: str, doc: str, read: Callable[[], float]) -> None:
        """Add a gauge whose value `read` returns on each scrape."""
        gauge = Gauge(name, doc, registry=self._registry)
        self._gauges.append((gauge, read))

    def page(self) -> bytes:
        """Return all metrics as text."""
        for gauge, read in self._gauges:
            gauge.set({}, read())
        page: bytes = text.TextFormatter().marshall(self._registry)
        return page

    def _counter(self, name: str, doc: str) -> Counter:
        return Counter(name, doc, registry=self._registry)
