"""rosewheel: load balancing decisions for services that call services in tiers."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from rosewheel.policy.balancer import Balancer
    from rosewheel.policy.settings import Settings

__all__ = ["Balancer", "Settings"]


def __getattr__(name: str) -> object:
    """Import `Balancer` or `Settings` on first access, so that importing a subpackage does not load the policy."""
    if name == "Balancer":
        from rosewheel.policy.balancer import Balancer

        return Balancer
    if name == "Settings":
        from rosewheel.policy.settings import Settings

        return Settings
    raise AttributeError(f"module {__name__!r} has no attribute {name!r}")
