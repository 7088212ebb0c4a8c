"""Whether a node steps down for a peer that lives but cannot be reached.

Of two nodes that both live but cannot reach each other, one steps down, since
neither could get the other's answer to a claim. The leases of `membership`
do not see this: both nodes may have a majority.
"""

from collections.abc import Mapping
from typing import Final

from mulberrybay_core.member_peer import MemberPeer

# In lease lengths, for the node with the larger identity. A peer that has just
# come back or ended looks like a broken link until heartbeats have gone round
# twice, which takes less than half a lease.
FIRST_PATIENCE_RATIO: Final = 0.5
# The other node may have noticed only a lease later.
SECOND_PATIENCE_RATIO: Final = 2.0


def must_step_down(
    node_id: str,
    peers: Mapping[str, MemberPeer],
    lease_s: float,
    now_s: float,
) -> bool:
    """Returns whether this node must go, and notes since when links are broken.

    Args:
        node_id: This node.
        peers: The other members by identity; the times of broken links are
            kept there.
        lease_s: The length of a lease.
        now_s: The time.
    """
    steps_down = False
    since_s = now_s - lease_s
    for peer_id, peer in peers.items():
        if (
            peer.has_departed
            or _reaches(peer, since_s)
            or not _lives(peer_id, peers, since_s)
        ):
            peer.broken_since_s = None
            continue
        if peer.broken_since_s is None:
            peer.broken_since_s = now_s
        # The node with the larger identity goes first. It may not have
        # noticed, if the link is cut in one direction; then the other.
        patience_ratio = (
            FIRST_PATIENCE_RATIO if node_id > peer_id else SECOND_PATIENCE_RATIO
        )
        broken_for_s = now_s - peer.broken_since_s
        is_due = broken_for_s >= patience_ratio * lease_s
        if is_due and not peer.info.is_leaving:
            steps_down = True
    return steps_down


def _reaches(peer: MemberPeer, since_s: float) -> bool:
    """Returns whether messages have gone both ways."""
    heard_at_s = peer.heard_at_s or peer.learned_at_s
    return min(heard_at_s, peer.acked_at_s) >= since_s


def _lives(
    peer_id: str, peers: Mapping[str, MemberPeer], since_s: float
) -> bool:
    """Returns whether another peer has lately granted it a lease."""
    return any(
        peer_id in other.reported_granted and other.was_heard_since(since_s)
        for other in peers.values()
    )
