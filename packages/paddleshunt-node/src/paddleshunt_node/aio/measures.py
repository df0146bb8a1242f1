"""Counters, gauges and latency histograms of a process for leased jobs."""

from collections.abc import Callable
from typing import final

from aioprometheus.collectors import Counter, Gauge, Histogram, Registry
from aioprometheus.formats import text

STAGE_BUCKETS = [0.005, 0.02, 0.05, 0.1, 0.2, 0.4, 0.8, 1.6, 3.2]
"""Upper bounds of the latency histograms, in seconds."""

Labelled = list[tuple[dict[str, str], float]]
"""Values of one gauge, each with its labels."""


@final
class Measures:
    """All figures of one process."""

    def __init__(self) -> None:
        self._registry = Registry()
        self._answers = Counter(
            "paddleshunt_job_answers_total",
            "Answers by outcome and reason.",
            registry=self._registry,
        )
        self._ends = Counter(
            "paddleshunt_run_ends_total", "Ends of runs by kind.", registry=self._registry
        )
        self._stages = Histogram(
            "paddleshunt_stage_seconds",
            "Time a job or run spent in a stage.",
            registry=self._registry,
            buckets=STAGE_BUCKETS,
        )
        self._events = Counter(
            "paddleshunt_events_total", "Events of the log.", registry=self._registry
        )
        self._gauges: list[tuple[Gauge, Callable[[], float]]] = []
        self._families: list[tuple[Gauge, Callable[[], Labelled]]] = []

    def answered(self, outcome: str, reason: str) -> None:
        """Count an answer to a caller."""
        self._answers.inc({"outcome": outcome, "reason": reason})

    def ended(self, end: str) -> None:
        """Count the end of a run."""
        self._ends.inc({"end": end})

    def stage(self, name: str, seconds: float) -> None:
        """Note the time spent in a stage."""
        self._stages.observe({"stage": name}, seconds)

    def gauge(self, name: str, doc: str, read: Callable[[], float]) -> None:
        """Add a gauge whose value is read for each page."""
        self._gauges.append((Gauge(name, doc, registry=self._registry), read))

    def family(self, name: str, doc: str, read: Callable[[], Labelled]) -> None:
        """Add a gauge with labels whose values are read for each page."""
        self._families.append((Gauge(name, doc, registry=self._registry), read))

    def event(self, name: str) -> None:
        """Count an event."""
        self._events.inc({"event": name})

    def page(self) -> bytes:
        """Return the page of all figures."""
        for gauge, read in self._gauges:
            gauge.set({}, read())
        for gauge, read_all in self._families:
            for labels, value in read_all():
                gauge.set(labels, value)
        page: bytes = text.TextFormatter().marshall(self._registry)
        return page
