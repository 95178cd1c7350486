"""Report of the nodes by applied revision. No I/O and no clock."""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable, Iterable

from rosewheel.control.messages import FleetReport, NodeReport, RevisionCount
from rosewheel.control.node_registry import NodeEntry, NodeRegistry
from rosewheel.control.revisions import INITIAL_REVISION, Revision

MAX_LISTED = 50  # default limit of entries in each list of a report


class FleetReporter:
    """Makes the report for one point in time."""

    def __init__(self, committed: Revision, now_s: float, age_s: Callable[[int], float]) -> None:
        """Set the reference revision and times.

        Args:
            committed: The newest committed revision.
            now_s: Current time of the registry's clock, in seconds.
            age_s: Returns the age of a revision by its number, in seconds.
        """
        self._committed, self._now_s, self._age_s = committed, now_s, age_s

    def report(
        self, registry: NodeRegistry, include_all: bool = False, max_listed: int = MAX_LISTED
    ) -> FleetReport:
        """Return the report of all nodes.

        Args:
            registry: The nodes.
            include_all: Whether to list all nodes.
            max_listed: Limit of entries in each list except that of all nodes.
        """
        connected = [entry for entry in registry if entry.status.connected]
        behind = [entry for entry in connected if self._is_behind(entry)]
        rejected = [entry for entry in registry if entry.status.rejected is not None]
        disconnected = [entry for entry in registry if not entry.status.connected]
        return FleetReport(
            nodes=len(registry),
            up_to_date=len(connected) - len(behind),
            behind_count=len(behind),
            rejected_count=len(rejected),
            disconnected_count=len(disconnected),
            longest_behind_s=max(map(self._behind_for_s, behind), default=0.0),
            revisions=_count_revisions(registry)[:max_listed],
            behind=self._node_reports(behind)[:max_listed],
            rejected=self._node_reports(rejected)[:max_listed],
            disconnected=self._node_reports(disconnected)[:max_listed],
            all_nodes=self._node_reports(registry) if include_all else None,
        )

    def _is_behind(self, entry: NodeEntry) -> bool:
        return entry.status.applied < self._committed

    def _behind_for_s(self, entry: NodeEntry) -> float:
        """Return for how long a node has lacked the revision after its applied one, in seconds."""
        applied = entry.status.applied
        if applied == INITIAL_REVISION:
            return self._now_s - entry.unchanged_since_s
        missing = applied.number + 1
        if applied.epoch_number != self._committed.epoch_number:
            # A revision on a discarded branch may have a higher number than the committed one.
            missing = min(missing, self._committed.number)
        return self._age_s(missing)

    def _node_reports(self, entries: Iterable[NodeEntry]) -> tuple[NodeReport, ...]:
        ordered = sorted(entries, key=lambda entry: (entry.status.applied, entry.status.node))
        return tuple(
            NodeReport(
                entry.status,
                unchanged_for_s=self._now_s - entry.unchanged_since_s,
                behind_for_s=self._behind_for_s(entry) if self._is_behind(entry) else 0.0,
            )
            for entry in ordered
        )


def _count_revisions(registry: NodeRegistry) -> tuple[RevisionCount, ...]:
    counts = Counter(entry.status.applied for entry in registry)
    return tuple(RevisionCount(revision, nodes) for revision, nodes in sorted(counts.items(), reverse=True))
