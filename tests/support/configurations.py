"""Configurations with which tests start nodes."""

from __future__ import annotations

from typing import Any

# Settings of a node under the keys that the platform and the simulator use.
PLATFORM_SETTINGS: dict[str, Any] = {
    "accounts": [{"name": "t", "quotaPerS": 10.0, "fraction": 1.0}],
    "bounds": {"cancel": True, "maxAttempts": 3, "maxRetryAfterMs": 500.0, "retryAfter": True},
    "categories": [
        {
            "name": "read",
            "aimMs": 1000.0,
            "giveUpMs": 2500.0,
            "credit": 12.0,
            "lateWorth": 0.0,
            "effect": "free",
        },
        {"name": "post", "aimMs": 1000.0, "giveUpMs": 2500.0, "credit": 1.0, "effect": "single_shot"},
        {
            "name": "points",
            "aimMs": 2000.0,
            "giveUpMs": 5000.0,
            "credit": 1.0,
            "effect": "guarded",
            "keyScope": "cell",
            "memorySpanMs": 900.0,
        },
    ],
    "feedback": {"fields": ["depth", "load_share"], "via": "inline"},
    "invariants": {"coldFrom": 0.2, "coldMs": 9000.0, "tipAfterMs": 1500.0, "overloadFactor": 3.0},
    "prices": {"crossZone": 0.01},
    "registryMode": "ask",
    "siblings": 2,
    "tier": 0,
    "valueBy": "request",
    "locality": "a",
    "unheardOf": {"x": 1},  # an unknown key, which a node ignores
}

# A small configuration file of an operator.
OPERATOR_TOML = """
[node]
listen = "127.0.0.1:7999"
seed = "8c1f"
[discovery]
address = "127.0.0.1:1"
[routing]
cold_from = 0.2
[[class]]
name = "comentario"
aim_ms = 2500
give_up_ms = 6000
effect = "keyed"
group = "cell"
memory_ms = 10000
"""


def platform_document(**changes: Any) -> dict[str, Any]:
    """Return a node's configuration as the platform writes it, with `changes` in place of its keys."""
    document = {
        "name": "n0",
        "listen": "127.0.0.1:7999",
        "discovery": "127.0.0.1:1",
        "seed": "8c1f30d27a5be964",
    }
    return {**document, "settings": PLATFORM_SETTINGS, "known": {"seq": 1, "hosts": []}, **changes}
