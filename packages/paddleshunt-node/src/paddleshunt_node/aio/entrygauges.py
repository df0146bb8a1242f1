"""What an entry shows of itself as metrics."""

from collections.abc import Callable
from typing import final

from paddleshunt_core.leased.dispatcher import Dispatcher

from paddleshunt_node.aio import clock
from paddleshunt_node.aio.measures import Measures


@final
class EntryGauges:
    """Adds an entry's gauges to its measures; `version` and `sessions` are asked each time."""

    def __init__(
        self,
        measures: Measures,
        dispatcher: Dispatcher,
        version: Callable[[], int],
        sessions: Callable[[], int],
    ) -> None:
        self._dispatcher = dispatcher
        measures.gauge("paddleshunt_jobs", "Jobs held.", lambda: dispatcher.jobs)
        measures.gauge("paddleshunt_catalog_version", "Version in force.", version)
        measures.gauge("paddleshunt_sessions", "Targets in session.", sessions)
        measures.gauge(
            "paddleshunt_confined_queues",
            "Queues confined to a few targets, as their tasks met lost runners too often.",
            lambda: dispatcher.confined_queues,
        )
        measures.gauge(
            "paddleshunt_report_age_seconds", "Age of the oldest target's report.", self._report_age
        )
        measures.family(
            "paddleshunt_kind_slowness",
            "How many times as long tasks take on a kind of host as on a usual one.",
            self._kind_slowness,
        )

    def _kind_slowness(self) -> list[tuple[dict[str, str], float]]:
        return [
            ({"service": word.service, "kind": word.kind}, word.slowness_thousandths / 1000)
            for word in self._dispatcher.speeds.all()
        ]

    def _report_age(self) -> float:
        now = clock.now()
        targets = self._dispatcher.targets()
        ages = [now - target.reported for target in targets if target.report is not None]
        return max(ages, default=0.0)
