"""Lookup of a request's queue by host and path."""

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
def test_the_queue_with_the_longest_matching_prefix_is_found(
    host: str, path: str, name: str | None
) -> None:
    queue = QueueIndex(CATALOG).find(host, path)
    assert (queue and queue.name) == name


def test_is_of_compares_the_identity_of_the_configuration() -> None:
    index = QueueIndex(CATALOG)
    assert index.is_built_from(CATALOG)
    assert not index.is_built_from(Catalog(1, [], []))
