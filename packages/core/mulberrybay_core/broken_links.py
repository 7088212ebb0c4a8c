"""Decides whether a node steps down because its link to a peer is broken.

If two live nodes cannot reach each other, neither can get the other's answer
to a claim, so one of them must step down. The leases of `membership` do not
detect this, because both nodes may still have grants from a majority.
"""

from collections.abc import Mapping
from typing import Final

from mulberrybay_core.member_peer import MemberPeer

# How long a link must be broken before the node with the larger ID steps down,
# as a multiple of the lease length. A peer that has just restarted or stopped
# looks like a broken link for up to two heartbeat rounds, which take less than
# half a lease.
LARGER_ID_DELAY_RATIO: Final = 0.5
# The same for the node with the smaller ID. The node with the larger ID may
# detect the broken link up to one lease later.
SMALLER_ID_DELAY_RATIO: Final = 2.0


def must_step_down(
    node_id: str,
    peers: Mapping[str, MemberPeer],
    lease_s: float,
    now_s: float,
) -> bool:
    """Returns whether this node must step down.

    Also records in `peers` since when each link has been broken.

    Args:
        node_id: The ID of this node.
        peers: The other members by ID; updated in place.
        lease_s: The length of a lease.
        now_s: The current time.
    """
    steps_down = False
    since_s = now_s - lease_s
    for peer_id, peer in peers.items():
        if (
            peer.has_departed
            or _exchanges_messages(peer, since_s)
            or not _is_alive(peer_id, peers, since_s)
        ):
            peer.link_broken_since_s = None
            continue
        if peer.link_broken_since_s is None:
            peer.link_broken_since_s = now_s
        # The node with the larger ID steps down first. If the link is cut in
        # one direction only, that node may not detect it; the other node then
        # steps down after a longer delay.
        delay_ratio = (
            LARGER_ID_DELAY_RATIO
            if node_id > peer_id
            else SMALLER_ID_DELAY_RATIO
        )
        broken_for_s = now_s - peer.link_broken_since_s
        is_due = broken_for_s >= delay_ratio * lease_s
        if is_due and not peer.info.is_leaving:
            steps_down = True
    return steps_down


def _exchanges_messages(peer: MemberPeer, since_s: float) -> bool:
    """Returns whether messages have passed in both directions."""
    last_heartbeat_at_s = peer.last_heartbeat_at_s or peer.added_at_s
    return min(last_heartbeat_at_s, peer.acked_at_s) >= since_s


def _is_alive(
    peer_id: str, peers: Mapping[str, MemberPeer], since_s: float
) -> bool:
    """Returns whether a recent heartbeat reports a grant to the peer."""
    return any(
        peer_id in other.reported_granted
        and other.sent_heartbeat_since(since_s)
        for other in peers.values()
    )
