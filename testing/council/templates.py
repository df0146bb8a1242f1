"""The settings templates of the roles, filled as the platform does."""

import json
import re
from pathlib import Path

ROOT = Path(__file__).parents[2]
FIELDS: dict[str, object] = {
    "node_name": "n-1",
    "zone": "hall",
    "ip": "127.0.0.1",
    "internal_ports.0": 7720,
    "seeds": ["127.0.0.1:8166"],
    "app": "127.0.0.1:8165",
    "listen.frontend": "127.0.0.1:8161",
    "listen.ready": "127.0.0.1:8167",
    "listen.control": "127.0.0.1:8166",
    "platform.address": "127.0.0.1:8169",
    "platform.ttl_min_ms": 1000,
    "bounds.resend_ms": 1300,
    "bounds.hold_max_ms": 1000,
    "bounds.stop_timeout_ms": 50,
    "bounds.drain_ms": 2000,
    "bounds.config_apply_ms": 2000,
    "bounds.grace_s": 6,
    "bounds.remote_factor": 1.5,
    "bounds.cold_overrun": 2,
}


def filled(role: str, **changed: object) -> str:
    """Return a role's template as the platform fills it."""
    fields = {**FIELDS, **changed}

    def value(match: re.Match[str]) -> str:
        name, _, form = match[1].partition("|")
        return json.dumps(fields[name]) if form == "json" else str(fields[name])

    def section(match: re.Match[str]) -> str:
        return match[2] if fields.get(match[1]) else ""

    template = (ROOT / "deploy" / f"{role}.toml").read_text()
    template = re.sub(r"\{\{#([^}]+)\}\}(.*?)\{\{/\1\}\}", section, template, flags=re.DOTALL)
    return re.sub(r"\{\{([^}]+)\}\}", value, template)
