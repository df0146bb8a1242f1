"""The operator's configuration, whole and in part unreadable."""

import json

import pytest
from paddleshunt_core.leased.catalog import RequestLimits
from paddleshunt_core.leased.refusals import Refusal, Word
from paddleshunt_council.catalog import CatalogError, read_catalog
from paddleshunt_council.store import Store
from standins import StoreStandIn
from storescene import config, play


def test_an_unreadable_catalog_says_why() -> None:
    with pytest.raises(CatalogError, match="version"):
        read_catalog(b'{"routes": [], "services": []}')


def test_an_unreadable_configuration_is_passed_over_with_its_reason() -> None:
    refused: list[Refusal] = []

    async def scene(store: Store, standin: StoreStandIn) -> None:
        standin.put("op/config", b"{}")
        assert (await store.next_update()).catalog is None
        assert "routes" in refused[0].problem or "version" in refused[0].problem

    play(scene, StoreStandIn(), refused.append)


def configured(**fields: object) -> bytes:
    return json.dumps({**json.loads(config(9)), **fields}).encode()


def route(name: str, **fields: object) -> dict[str, object]:
    return {"name": name, "host": "h", "path_prefix": f"/{name}/", "service": "s", **fields}


@pytest.mark.parametrize(
    "odd",
    [
        5,
        {},
        route("odd", service=7),
        route("odd", priority="high"),
        route("odd", stretch=-1),
        route("odd", target_latency_ms=-1),
        route("odd", service=""),
        route("odd", host="h" * 254),
        route("odd", path_prefix="/" * 2001),
    ],
    ids=[
        "type",
        "empty",
        "service",
        "priority",
        "stretch",
        "latency",
        "no-service",
        "long-host",
        "long-prefix",
    ],
)
def test_a_route_that_can_not_be_read_takes_no_other_down(odd: object) -> None:
    refused: list[Refusal] = []
    catalog = read_catalog(configured(routes=[route("a"), odd, route("b")]), refused.append)
    assert (catalog.version, [queue.name for queue in catalog.queues]) == (9, ["a", "b"])
    assert [one.word for one in refused] == [Word.ROUTE]


def test_limits_that_can_not_be_read_leave_the_usual_ones() -> None:
    refused: list[Refusal] = []
    limits = {"max_body_bytes": -1, "max_header_bytes": 1000, "idle_timeout_ms": "long"}
    catalog = read_catalog(configured(limits=limits), refused.append)
    assert catalog.limits == RequestLimits(header_bytes=1000)
    assert [(one.word, one.sender) for one in refused] == [
        (Word.CONFIGURATION, "limits.max_body_bytes"),
        (Word.CONFIGURATION, "limits.idle_timeout_ms"),
    ]


def test_limits_of_another_type_leave_the_usual_ones() -> None:
    refused: list[Refusal] = []
    assert read_catalog(configured(limits=[1000]), refused.append).limits == RequestLimits()
    assert [(one.word, one.sender) for one in refused] == [(Word.CONFIGURATION, "limits")]


def test_a_route_may_have_any_host_of_dns_and_a_name_between_slashes() -> None:
    odd = {"host": "h" * 253, "path_prefix": "/" + "n" * 200 + "/"}
    queue = read_catalog(configured(routes=[route("a", **odd)])).queues[0]
    assert (queue.host, queue.prefix) == (odd["host"], odd["path_prefix"])


def test_a_service_that_can_not_be_read_takes_no_other_down() -> None:
    refused: list[Refusal] = []
    catalog = read_catalog(configured(services=[5, {"name": "s"}]), refused.append)
    assert [service.name for service in catalog.services] == ["s"]
    assert [one.word for one in refused] == [Word.CONFIGURATION]


@pytest.mark.parametrize(
    "raw",
    [
        configured(version="9"),
        configured(version=-9),
        configured(version=10**30),
        configured(version=None),
        configured(routes={"a": 1}),
        configured(routes=[5]),
        config(9)[:-5],
        b"\xff\xfe",
        b"[" * 100_000,
    ],
    ids=["text", "negative", "huge", "none", "no-list", "no-route", "cut", "bytes", "deep"],
)
def test_a_configuration_that_can_not_be_read_leaves_the_one_in_force(raw: bytes) -> None:
    refused: list[Refusal] = []

    async def scene(store: Store, standin: StoreStandIn) -> None:
        standin.put("op/config", config(3))
        await store.next_update()
        standin.put("op/config", raw)
        assert (await store.next_update()).catalog is None
        assert (refused[-1].word, refused[-1].sender) == (Word.CONFIGURATION, "op/config")
        standin.put("op/config", config(10))
        word = await store.next_update()
        assert word.catalog is not None and word.catalog.version == 10

    play(scene, StoreStandIn(), refused.append)


def test_a_configuration_that_goes_back_is_refused() -> None:
    refused: list[Refusal] = []

    async def scene(store: Store, standin: StoreStandIn) -> None:
        standin.put("op/config", config(8))
        await store.next_update()
        standin.put("op/config", config(5))
        assert (await store.next_update()).catalog is None
        assert [one.problem for one in refused] == ["version 5 after 8"]

    play(scene, StoreStandIn(), refused.append)
