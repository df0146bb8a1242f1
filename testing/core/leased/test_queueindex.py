"""Which queue a request is of."""

import pytest
from paddleshunt_core.leased.catalog import Catalog, Queue
from paddleshunt_core.leased.queueindex import QueueIndex

CATALOG = Catalog(
    1,
    [
        Queue("wide", "a.example", "/", "svc"),
        Queue("narrow", "a.example", "/q/deep/", "svc"),
        Queue("middle", "a.example", "/q/", "svc"),
        Queue("other", "b.example", "/q/", "svc"),
    ],
    [],
)


@pytest.mark.parametrize(
    ("host", "path", "name"),
    [
        ("a.example", "/q/deep/1", "narrow"),
        ("a.example", "/q/1", "middle"),
        ("a.example", "/x", "wide"),
        ("b.example", "/q/1", "other"),
        ("b.example", "/x", None),
        ("c.example", "/q/1", None),
    ],
)
def test_the_longest_prefix_of_the_host_decides(host: str, path: str, name: str | None) -> None:
    queue = QueueIndex(CATALOG).find(host, path)
    assert (queue and queue.name) == name


def test_it_knows_which_configuration_it_is_of() -> None:
    index = QueueIndex(CATALOG)
    assert index.is_of(CATALOG)
    assert not index.is_of(Catalog(1, [], []))
