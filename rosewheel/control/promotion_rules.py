"""Conditions under which a machine may be promoted to leader. No I/O and no clock."""

from __future__ import annotations

from collections.abc import Mapping, Sequence

from rosewheel.control.errors import PeersAheadError, PromotionQuorumError
from rosewheel.control.revisions import INITIAL_REVISION, Revision

COMMIT_COPIES = 2  # machines with a change on disk before it is committed; 1 if there is only one machine


def promotion_quorum(machines: int) -> int:
    """Return how many machines must respond to guarantee that one of them has every committed change."""
    return max(1, machines - COMMIT_COPIES + 1)


def check_promotable(
    machine: str, last: Revision, peers: Sequence[str], peer_revisions: Mapping[str, Revision]
) -> None:
    """Check that a machine has every change that may have been committed.

    Args:
        machine: Name of the machine to promote.
        last: Last revision of the machine.
        peers: Names of all its peers.
        peer_revisions: Last revisions of the peers that responded.

    Raises:
        PeersAheadError: A peer has a later revision.
        PromotionQuorumError: Too few machines reported revisions.
    """
    ahead = {peer: revision for peer, revision in peer_revisions.items() if revision > last}
    if ahead:
        raise PeersAheadError(machine, last, ahead)
    # A machine with an empty log may be the replacement of a lost one, so it does not count towards the quorum.
    reported = [revision for revision in (last, *peer_revisions.values()) if revision != INITIAL_REVISION]
    required = promotion_quorum(len(peers) + 1)
    if len(reported) < required:
        missing = [peer for peer in peers if peer_revisions.get(peer, INITIAL_REVISION) == INITIAL_REVISION]
        raise PromotionQuorumError(sorted(missing), len(reported), required)
