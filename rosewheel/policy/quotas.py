"""Token buckets of tenants with a quota."""

from dataclasses import dataclass

from rosewheel.policy.settings import Settings


@dataclass(slots=True)
class TokenBucket:
    """Token bucket of one tenant at this balancer.

    Attributes:
        quota: tokens added per second, and the capacity of the bucket.
        tokens: tokens in the bucket at `updated_ms`.
        updated_ms: time of the last update.
    """

    quota: float
    tokens: float
    updated_ms: float

    def tokens_at(self, now: float) -> float:
        """Return the tokens at a time, if none is taken before."""
        return min(self.quota, self.tokens + self.quota * (now - self.updated_ms) / 1000.0)


class Quotas:
    """Token buckets by tenant; a tenant's quota is divided equally among balancers."""

    def __init__(self, settings: Settings, now: float) -> None:
        self.buckets: dict[str, TokenBucket] = {}
        self.apply_settings(settings, now)

    def apply_settings(self, settings: Settings, now: float) -> None:
        """Resize the buckets, which keep their tokens; the bucket of a new tenant is full."""
        buckets = {}
        for tenant in settings.tenants:
            quota = tenant.quota_per_s / settings.balancer_count
            old = self.buckets.get(tenant.name) or TokenBucket(quota, quota, now)
            buckets[tenant.name] = TokenBucket(quota, min(quota, old.tokens_at(now)), now)
        self.buckets = buckets

    def exceeded(self, tenant: str | None, now: float) -> bool:
        """Return whether a request exceeds its tenant's quota, and take a token if it doesn't."""
        bucket = self.buckets.get(tenant or "")
        if bucket is None:
            return False
        bucket.tokens, bucket.updated_ms = bucket.tokens_at(now), now
        has_token = bucket.tokens >= 1.0
        bucket.tokens -= has_token
        return not has_token
