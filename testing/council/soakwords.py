"""Words of other writers that a soak has spoken: none names anything to use, or may change any."""

import base64
import json
from typing import Any

BEATS: tuple[dict[str, Any], ...] = (
    {"capacity": None},
    {"capacity": {"cpu": -5, "mem_mb": 1}},
    {"capacity": {"cpu": 10**19, "mem_mb": 10**40}},
    {"state": "warming"},
    {"state": "draining", "sequence": None},
    {"service": ""},
    {"service": "another"},
    {"zone": 5},
    {"labels": ["a"] * 1000},
    {"remaining_ms": 10**400},
    {"born": "1764734759000"},
    {"born": -1},
    {"born": 2**53},
    {"born": 17, "state": "draining"},
)
"""What is changed in a runner's heartbeat; None: left out."""

RAW_BEATS = (b"", b"{", b"\xff\xfe", b'{"more":' + b"[" * 50_000)


def _item(key: str, value: object) -> dict[str, Any]:
    return {"key": key, "value": base64.b64encode(json.dumps(value).encode()).decode()}


ITEMS: tuple[object, ...] = (
    5,
    None,
    {"value": "e30="},
    {"key": 5},
    {"key": "op/odd", "value": 5},
    {"key": "op/odd", "revision": -1},
    {"key": "op/config", "value": "%"},
    _item("op/config", {}),
    _item("op/config", {"version": 1, "routes": [], "services": []}),
    _item("op/evacuate/", {}),
    _item("paddleshunt/entries/odd", ["odd", "10.0.0.1"]),
    _item("paddleshunt/entries/odd", ["odd", "10.0.0.1:port"]),
    _item("paddleshunt/entries/odd", {"name": 5}),
)
"""Items beside the store's own."""

ROWS: tuple[object, ...] = (5, [], ["short"], ["a.b.c.d", 1, "", 5, 0], ["a.0.0.0", "x", "", 5, 0])
"""Rows beside those of what runs."""


def beats(heartbeat: dict[str, Any]) -> list[bytes]:
    """Return the bodies that another writer sends in the place of a runner's heartbeat."""
    told = [{**heartbeat, **odd} for odd in BEATS]
    spoken = [{name: value for name, value in one.items() if value is not None} for one in told]
    return [json.dumps(one).encode() for one in spoken] + list(RAW_BEATS)
