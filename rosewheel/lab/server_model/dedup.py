"""The keys of requests that the servers of one cell remember together."""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass, field


@dataclass(slots=True)
class DedupEntry:
    """A remembered key.

    Attributes:
        served: whether the first request with the key has been served; until then it is in progress.
        duplicate_jobs: jobs that wait for the response to the first request.
    """

    expires_at_ms: float
    served: bool = False
    duplicate_jobs: list[int] = field(default_factory=list)


class DedupTable:
    """Remembered keys; each expires by itself."""

    def __init__(self) -> None:
        self.entries: dict[str, DedupEntry] = {}
        self._expirations: deque[tuple[float, str]] = deque()

    def find(self, now: float, key: str) -> DedupEntry | None:
        """The entry of a key, after removal of expired ones."""
        while self._expirations and self._expirations[0][0] <= now:
            expires_at_ms, expired_key = self._expirations.popleft()
            entry = self.entries.get(expired_key)
            if entry is not None and entry.expires_at_ms <= expires_at_ms:
                del self.entries[expired_key]
        return self.entries.get(key)

    def add(self, key: str, expires_at_ms: float) -> DedupEntry:
        """Remember a key."""
        self.entries[key] = entry = DedupEntry(expires_at_ms)
        self._expirations.append((expires_at_ms, key))
        return entry

    def remove(self, key: str, entry: DedupEntry) -> None:
        """Forget this entry; a later entry under the same key stays."""
        if self.entries.get(key) is entry:
            del self.entries[key]
