"""Gauges of an entry."""

from collections.abc import Callable

from paddleshunt_core.leased.dispatcher import Dispatcher

from paddleshunt_node.aio import clock
from paddleshunt_node.aio.metrics import Metrics


def add_entry_gauges(
    metrics: Metrics,
    dispatcher: Dispatcher,
    version: Callable[[], int],
    sessions: Callable[[], int],
) -> None:
    """Add an entry's gauges to its metrics; `version` and `sessions` are called for each page."""
    metrics.gauge("paddleshunt_jobs", "Jobs held.", lambda: dispatcher.job_count)
    metrics.gauge("paddleshunt_catalog_version", "Version in force.", version)
    metrics.gauge("paddleshunt_sessions", "Targets in session.", sessions)
    metrics.gauge(
        "paddleshunt_confined_queues",
        "Queues confined to a few targets, as their tasks met lost runners too often.",
        lambda: dispatcher.confined_queue_count,
    )
    metrics.gauge(
        "paddleshunt_report_age_seconds",
        "Age of the oldest target's report.",
        lambda: _report_age(dispatcher),
    )
    metrics.labelled_gauge(
        "paddleshunt_kind_slowness",
        "How many times as long tasks take on a kind of host as on a usual one.",
        lambda: _kind_slowness(dispatcher),
    )


def _kind_slowness(dispatcher: Dispatcher) -> list[tuple[dict[str, str], float]]:
    return [
        ({"service": speed.service, "kind": speed.kind}, speed.slowness_thousandths / 1000)
        for speed in dispatcher.speeds.snapshot()
    ]


def _report_age(dispatcher: Dispatcher) -> float:
    now = clock.now()
    ages = [
        now - target.reported_at for target in dispatcher.targets() if target.report is not None
    ]
    return max(ages, default=0.0)
