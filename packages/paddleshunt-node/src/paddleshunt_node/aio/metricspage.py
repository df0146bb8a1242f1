"""The metrics page of a process, rendered by aioprometheus."""

from collections.abc import Callable, Iterable, Mapping
from typing import final

from aioprometheus.collectors import Counter, Gauge, Histogram, Registry
from aioprometheus.formats import text

from paddleshunt_node.aio.metrics import Labelled, Series

STAGE_BUCKETS = [0.005, 0.02, 0.05, 0.1, 0.2, 0.4, 0.8, 1.6, 3.2]
"""Upper bounds of the latency histograms, in seconds."""


@final
class MetricsPage:
    """aioprometheus collectors, filled for each page; `counters` maps names to help texts."""

    def __init__(self, counters: Mapping[str, str]) -> None:
        self._registry = Registry()
        self._counters = {
            name: Counter(name, doc, registry=self._registry) for name, doc in counters.items()
        }
        self._stages = Histogram(
            "paddleshunt_stage_seconds",
            "Time a job or run spent in a stage.",
            registry=self._registry,
            buckets=STAGE_BUCKETS,
        )
        self._gauges: dict[str, Gauge] = {}

    def observe(self, stages: Iterable[tuple[str, float]]) -> None:
        """Add stage names with the seconds spent in them to the histogram."""
        for name, seconds in stages:
            self._stages.observe({"stage": name}, seconds)

    def render(
        self,
        counts: Mapping[Series, int],
        gauges: Mapping[str, tuple[str, Callable[[], float]]],
        labelled_gauges: Mapping[str, tuple[str, Callable[[], Labelled]]],
    ) -> bytes:
        """Return the page with these counts, gauges and labelled gauges."""
        for (name, labels), count in counts.items():
            self._counters[name].set(dict(labels), count)
        for name, (doc, read) in gauges.items():
            self._gauge(name, doc).set({}, read())
        for name, (doc, read_all) in labelled_gauges.items():
            for series, value in read_all():
                self._gauge(name, doc).set(series, value)
        page: bytes = text.TextFormatter().marshall(self._registry)
        return page

    def _gauge(self, name: str, doc: str) -> Gauge:
        if name not in self._gauges:
            self._gauges[name] = Gauge(name, doc, registry=self._registry)
        return self._gauges[name]
