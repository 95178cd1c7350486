"""Token buckets of the tenants that have a quota."""

from dataclasses import dataclass

from rosewheel.policy.settings import Settings


@dataclass(slots=True)
class TokenBucket:
    """A tenant's quota at this balancer, in requests a second; the bucket holds that of one second."""

    quota: float
    tokens: float
    updated_ms: float

    def tokens_at(self, now: float) -> float:
        """Tokens at this time, if none is taken before."""
        return min(self.quota, self.tokens + self.quota * (now - self.updated_ms) / 1000.0)


class Quotas:
    """Token buckets by tenant; each balancer has an equal part of a tenant's quota."""

    def __init__(self, settings: Settings, now: float) -> None:
        self.buckets: dict[str, TokenBucket] = {}
        self.apply_settings(settings, now)

    def apply_settings(self, settings: Settings, now: float) -> None:
        """Resize the buckets and keep their tokens; a new tenant's bucket is full."""
        buckets = {}
        for tenant in settings.tenants:
            quota = tenant.quota_per_s / settings.balancer_count
            old = self.buckets.get(tenant.name) or TokenBucket(quota, quota, now)
            buckets[tenant.name] = TokenBucket(quota, min(quota, old.tokens_at(now)), now)
        self.buckets = buckets

    def exceeded(self, tenant: str | None, now: float) -> bool:
        """Whether a request is above its tenant's quota; one that is not uses a token."""
        bucket = self.buckets.get(tenant or "")
        if bucket is None:
            return False
        bucket.tokens, bucket.updated_ms = bucket.tokens_at(now), now
        has_token = bucket.tokens >= 1.0
        bucket.tokens -= has_token
        return not has_token
