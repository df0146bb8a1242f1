"""Counters, gauges and latency histograms of a process for leased jobs.

They are recorded in plain tables, and passed to aioprometheus when a page is requested or many have
accumulated: this keeps the library's import out of the start-up, and each event cheap.
"""

from collections import Counter
from collections.abc import Callable
from typing import TYPE_CHECKING, final

if TYPE_CHECKING:
    from paddleshunt_node.aio.metricspage import MetricsPage

MAX_STAGES = 4096
"""Maximum number of recorded stage times, about 400 KB; above it, they are passed to the page."""

Series = tuple[str, tuple[tuple[str, str], ...]]
"""The name of a counter, and the labels of one of its series."""

ANSWERS = "paddleshunt_job_answers_total"
ENDS = "paddleshunt_run_ends_total"
EVENTS = "paddleshunt_events_total"
REFUSED = "paddleshunt_words_refused_total"

COUNTERS = {
    ANSWERS: "Answers by outcome and reason.",
    ENDS: "Ends of runs by kind.",
    EVENTS: "Events of the log.",
    REFUSED: "Words of others that were refused, by kind.",
}
"""Help text of each counter."""

Labelled = list[tuple[dict[str, str], float]]
"""Values of one gauge, each with its labels."""


@final
class Metrics:
    """All metrics of one process."""

    def __init__(self) -> None:
        self._counts: Counter[Series] = Counter()
        self._stages: list[tuple[str, float]] = []
        self._gauges: dict[str, tuple[str, Callable[[], float]]] = {}
        self._page: MetricsPage | None = None
        self._labelled_gauges: dict[str, tuple[str, Callable[[], Labelled]]] = {}

    def answered(self, outcome: str, reason: str) -> None:
        """Count an answer to a caller."""
        self._counts[ANSWERS, (("outcome", outcome), ("reason", reason))] += 1

    def ended(self, end: str) -> None:
        """Count the end of a run."""
        self._counts[ENDS, (("end", end),)] += 1

    def stage(self, name: str, seconds: float) -> None:
        """Record the time spent in a stage."""
        self._stages.append((name, seconds))
        if len(self._stages) >= MAX_STAGES:
            self._export_stages()

    def gauge(self, name: str, doc: str, read: Callable[[], float]) -> None:
        """Add a gauge; `read` is called for each page."""
        self._gauges[name] = (doc, read)

    def labelled_gauge(self, name: str, doc: str, read: Callable[[], Labelled]) -> None:
        """Add a gauge with labels; `read` is called for each page."""
        self._labelled_gauges[name] = (doc, read)

    def event(self, name: str) -> None:
        """Count an event."""
        self._counts[EVENTS, (("event", name),)] += 1

    def refused(self, kind: str) -> None:
        """Count a refused message."""
        self._counts[REFUSED, (("word", kind),)] += 1

    def page(self) -> bytes:
        """Return the metrics page."""
        return self._export_stages().render(self._counts, self._gauges, self._labelled_gauges)

    def _export_stages(self) -> "MetricsPage":
        if self._page is None:
            from paddleshunt_node.aio.metricspage import MetricsPage

            self._page = MetricsPage(COUNTERS)
        self._page.observe(self._stages)
        self._stages.clear()
        return self._page
