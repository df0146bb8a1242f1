"""The capacity page, its slopes and the code's constants must not drift apart."""

import json

import capacity
import pytest
import sweeps
from paddleshunt_core import entry, home, target, views
from paddleshunt_node import platformthreads
from paddleshunt_platform import etcd


def test_page_has_the_tables_of_the_recorded_slopes() -> None:
    made = capacity.tables(json.loads(capacity.SLOPES.read_text()))
    assert capacity.page_part(capacity.PAGE.read_text()) == made


def test_page_has_the_tables_of_the_recorded_sweeps() -> None:
    made = sweeps.tables(json.loads(sweeps.SWEEPS.read_text()))
    page = capacity.PAGE.read_text()
    assert capacity.page_part(page, capacity.SWEEPS_BEGIN, capacity.SWEEPS_END) == made


@pytest.mark.parametrize(
    ("figure", "constant"),
    [
        (capacity.HEARTBEATS_PER_SECOND, entry.HEARTBEATS_PER_SECOND),
        (capacity.EXCHANGE_EVERY, entry.EXCHANGE_EVERY),
        (capacity.HEARTBEAT_ENTRIES, target.HEARTBEAT_ENTRIES),
        (capacity.PEERS, views.PEERS_NEAR + views.PEERS_FAR),
        (capacity.HOSTS_PER_SECOND, platformthreads.HOSTS_PER_SECOND),
        (capacity.WATCH_SECONDS, etcd.WATCH_TIMEOUT),
        (capacity.ID_WINDOW, home.HomeLimits().window + home.HomeLimits().skew),
    ],
    ids=["beats", "exchanges", "beaten entries", "peers", "hosts", "watch", "window"],
)
def test_page_uses_the_constants_of_the_code(figure: float, constant: float) -> None:
    assert figure == constant
