"""Tests for the metrics of a process and their page."""

import subprocess
import sys

from paddleshunt_node.aio.metrics import MAX_STAGES, Metrics


def test_a_page_shows_counters_gauges_and_stages() -> None:
    metrics = Metrics()
    metrics.answered("completed", "")
    metrics.answered("completed", "")
    metrics.ended("done")
    metrics.event("started")
    metrics.stage("ordered", 0.03)
    metrics.gauge("paddleshunt_runs", "Runs at work.", lambda: 3.0)
    page = metrics.page().decode()
    assert 'paddleshunt_job_answers_total{outcome="completed",reason=""} 2' in page
    assert 'paddleshunt_run_ends_total{end="done"} 1' in page
    assert 'paddleshunt_events_total{event="started"} 1' in page
    assert 'paddleshunt_stage_seconds_bucket{le="0.05",stage="ordered"} 1' in page
    assert "paddleshunt_runs 3.0" in page


def test_counts_accumulate_over_pages() -> None:
    metrics = Metrics()
    metrics.gauge("paddleshunt_runs", "Runs at work.", lambda: 3.0)
    for seconds in (0.01, 0.5):
        metrics.stage("ordered", seconds)
        metrics.event("started")
        page = metrics.page().decode()
    assert 'paddleshunt_stage_seconds_count{stage="ordered"} 2' in page
    assert 'paddleshunt_events_total{event="started"} 2' in page


def test_number_of_recorded_stage_times_is_limited() -> None:
    metrics = Metrics()
    for _ in range(2 * MAX_STAGES + 1):
        metrics.stage("ordered", 0.01)
    assert len(metrics._stages) == 1
    page = metrics.page().decode()
    assert f'paddleshunt_stage_seconds_count{{stage="ordered"}} {2 * MAX_STAGES + 1}' in page


def test_recording_does_not_import_the_library() -> None:
    program = (
        "import sys; from paddleshunt_node.aio.metrics import Metrics; m = Metrics();"
        "m.event('started'); m.stage('ordered', 0.1); print('aioprometheus' in sys.modules)"
    )
    result = subprocess.run([sys.executable, "-c", program], capture_output=True, text=True)
    assert result.stdout == "False\n", result.stderr
