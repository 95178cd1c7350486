"""Deduplication of requests by key, shared by the servers of one cell."""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass, field


@dataclass(slots=True)
class DedupEntry:
    """State of a deduplication key.

    Attributes:
        expires_at_ms: when the key is removed.
        served: whether the first request with the key has been served; until then it is in progress.
        duplicate_jobs: ids of the jobs that wait for the response to the first request.
    """

    expires_at_ms: float
    served: bool = False
    duplicate_jobs: list[int] = field(default_factory=list)


class DedupTable:
    """Deduplication entries by key. Each expires at a time of its own."""

    def __init__(self) -> None:
        self.entries: dict[str, DedupEntry] = {}
        self._expirations: deque[tuple[float, str]] = deque()

    def find(self, now: float, key: str) -> DedupEntry | None:
        """Remove expired entries and return the entry of a key."""
        while self._expirations and self._expirations[0][0] <= now:
            expires_at_ms, expired_key = self._expirations.popleft()
            entry = self.entries.get(expired_key)
            if entry is not None and entry.expires_at_ms <= expires_at_ms:
                del self.entries[expired_key]
        return self.entries.get(key)

    def add(self, key: str, expires_at_ms: float) -> DedupEntry:
        """Add an entry for a key."""
        self.entries[key] = entry = DedupEntry(expires_at_ms)
        self._expirations.append((expires_at_ms, key))
        return entry

    def remove(self, key: str, entry: DedupEntry) -> None:
        """Remove an entry, unless a later one has replaced it under the same key."""
        if self.entries.get(key) is entry:
            del self.entries[key]
