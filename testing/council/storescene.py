"""Scenes between the store's client and a stand-in of the store."""

import asyncio
import base64
import json
from collections.abc import Awaitable, Callable
from typing import TypeVar

from paddleshunt_core.leased.refusals import RefusalHandler, ignore_refusal
from paddleshunt_core.leased.wire import EntryAddress
from paddleshunt_council.store import StoreClient
from paddleshunt_node.aio.httpserver import Exchange, Response
from standins import StoreStandIn

_StandIn = TypeVar("_StandIn", bound=StoreStandIn)


ENTRY = EntryAddress("e1", "10.0.0.1:7720")


def config(version: int) -> bytes:
    route = {"name": "r", "host": "h", "path_prefix": "/q/", "service": "s", "stretch": 1.6}
    return json.dumps(
        {"version": version, "routes": [route], "services": [{"name": "s"}], "limits": {}}
    ).encode()


def play(
    scene: Callable[[StoreClient, _StandIn], Awaitable[None]],
    standin: _StandIn,
    refuse: RefusalHandler = ignore_refusal,
) -> None:
    """Run a scene with a client of the store and its stand-in."""

    async def run() -> None:
        await standin.start()
        await scene(StoreClient(standin.address, 1000, refuse), standin)

    asyncio.run(asyncio.wait_for(run(), 20))


def raw_store(page: bytes) -> type[StoreStandIn]:
    """Return a store whose ranges and watches answer with these bytes."""

    class RawStore(StoreStandIn):
        def handle(self, exchange: Exchange) -> None:
            exchange.respond(Response(200, page, "application/json"))

    return RawStore


def listed(*items: object, **fields: object) -> bytes:
    return json.dumps({"items": items, "more": False, "at": 7, **fields}).encode()


def item(key: str, value: bytes) -> dict[str, object]:
    return {"key": key, "value": base64.b64encode(value).decode(), "revision": 5}
