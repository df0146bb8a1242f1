"""Tests of decoding the operator's configuration, also with invalid parts."""

import json

import pytest
from paddleshunt_core.leased.catalog import RequestLimits
from paddleshunt_core.leased.refusals import InputKind, Refusal
from paddleshunt_council.catalog import CatalogError, read_catalog
from paddleshunt_council.store import StoreClient
from standins import StoreStandIn
from storescene import config, play


def test_invalid_configuration_error_names_the_field() -> None:
    with pytest.raises(CatalogError, match="version"):
        read_catalog(b'{"routes": [], "services": []}')


def test_invalid_configuration_is_refused_with_its_problem() -> None:
    refused: list[Refusal] = []

    async def scene(store: StoreClient, standin: StoreStandIn) -> None:
        standin.put("op/config", b"{}")
        assert (await store.next_update()).catalog is None
        assert "routes" in refused[0].problem or "version" in refused[0].problem

    play(scene, StoreStandIn(), refused.append)


def changed_config(**fields: object) -> bytes:
    return json.dumps({**json.loads(config(9)), **fields}).encode()


def route(name: str, **fields: object) -> dict[str, object]:
    return {"name": name, "host": "h", "path_prefix": f"/{name}/", "service": "s", **fields}


@pytest.mark.parametrize(
    "invalid",
    [
        5,
        {},
        route("invalid", service=7),
        route("invalid", priority="high"),
        route("invalid", stretch=-1),
        route("invalid", target_latency_ms=-1),
        route("invalid", service=""),
        route("invalid", host="h" * 254),
        route("invalid", path_prefix="/" * 2001),
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
def test_invalid_route_is_left_out(invalid: object) -> None:
    refused: list[Refusal] = []
    catalog = read_catalog(changed_config(routes=[route("a"), invalid, route("b")]), refused.append)
    assert (catalog.version, [queue.name for queue in catalog.queues]) == (9, ["a", "b"])
    assert [one.kind for one in refused] == [InputKind.ROUTE]


def test_invalid_limits_get_their_defaults() -> None:
    refused: list[Refusal] = []
    limits = {"max_body_bytes": -1, "max_header_bytes": 1000, "idle_timeout_ms": "long"}
    catalog = read_catalog(changed_config(limits=limits), refused.append)
    assert catalog.limits == RequestLimits(header_bytes=1000)
    assert [(one.kind, one.sender) for one in refused] == [
        (InputKind.CONFIGURATION, "limits.max_body_bytes"),
        (InputKind.CONFIGURATION, "limits.idle_timeout_ms"),
    ]


def test_limits_of_another_type_get_their_defaults() -> None:
    refused: list[Refusal] = []
    assert read_catalog(changed_config(limits=[1000]), refused.append).limits == RequestLimits()
    assert [(one.kind, one.sender) for one in refused] == [(InputKind.CONFIGURATION, "limits")]


def test_route_with_the_longest_host_and_name_is_valid() -> None:
    invalid = {"host": "h" * 253, "path_prefix": "/" + "n" * 200 + "/"}
    queue = read_catalog(changed_config(routes=[route("a", **invalid)])).queues[0]
    assert (queue.host, queue.prefix) == (invalid["host"], invalid["path_prefix"])


def test_invalid_service_is_left_out() -> None:
    refused: list[Refusal] = []
    catalog = read_catalog(changed_config(services=[5, {"name": "s"}]), refused.append)
    assert [service.name for service in catalog.services] == ["s"]
    assert [one.kind for one in refused] == [InputKind.CONFIGURATION]


@pytest.mark.parametrize(
    "raw",
    [
        changed_config(version="9"),
        changed_config(version=-9),
        changed_config(version=10**30),
        changed_config(version=None),
        changed_config(routes={"a": 1}),
        changed_config(routes=[5]),
        config(9)[:-5],
        b"\xff\xfe",
        b"[" * 100_000,
    ],
    ids=["text", "negative", "huge", "none", "no-list", "no-route", "cut", "bytes", "deep"],
)
def test_invalid_configuration_does_not_block_a_later_one(raw: bytes) -> None:
    refused: list[Refusal] = []

    async def scene(store: StoreClient, standin: StoreStandIn) -> None:
        standin.put("op/config", config(3))
        await store.next_update()
        standin.put("op/config", raw)
        assert (await store.next_update()).catalog is None
        assert (refused[-1].kind, refused[-1].sender) == (InputKind.CONFIGURATION, "op/config")
        standin.put("op/config", config(10))
        update = await store.next_update()
        assert update.catalog is not None and update.catalog.version == 10

    play(scene, StoreStandIn(), refused.append)


def test_older_configuration_is_refused() -> None:
    refused: list[Refusal] = []

    async def scene(store: StoreClient, standin: StoreStandIn) -> None:
        standin.put("op/config", config(8))
        await store.next_update()
        standin.put("op/config", config(5))
        assert (await store.next_update()).catalog is None
        assert [one.problem for one in refused] == ["expected version 8 or later, found 5"]

    play(scene, StoreStandIn(), refused.append)
