"""Metrics of a process, rendered for Prometheus."""

from collections.abc import Callable
from typing import final

from aioprometheus.collectors import Counter, Gauge, Registry
from aioprometheus.formats import text


@final
class Metrics:
    """Counters of messages and outcomes, and gauges that are read when the page is asked for."""

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
        """Count a message that came in."""
        self._messages.inc({"kind": kind, "way": "in"})
        self._bytes.add({"kind": kind, "way": "in"}, size)

    def answered(self, outcome: str) -> None:
        """Count an answer to a caller."""
        self._outcomes.inc({"outcome": outcome})

    def event(self, name: str) -> None:
        """Count an event."""
        self._events.inc({"event": name})

    def gauge(self, name: str, doc: str, read: Callable[[], float]) -> None:
        """Add a gauge whose value is read for each page."""
        gauge = Gauge(name, doc, registry=self._registry)
        self._gauges.append((gauge, read))

    def page(self) -> bytes:
        """Return the page of all metrics."""
        for gauge, read in self._gauges:
            gauge.set({}, read())
        page: bytes = text.TextFormatter().marshall(self._registry)
        return page

    def _counter(self, name: str, doc: str) -> Counter:
        return Counter(name, doc, registry=self._registry)
