"""How long a node counts on one call to the store, or on the word of peers.

A node follows the store by calls that wait for changes. A call may never be
answered, and nothing shows that but the time. What a node knows is therefore
never older than the bounds below while the store answers, whatever became of the
calls before.
"""

from typing import Final, NamedTuple, Self

# The parts of the time that a node has to learn what it missed. The call that
# waits, the patience with it and the call after it make up three quarters.
_WAIT_RATIO: Final = 0.55
_PATIENCE_RATIO: Final = 0.2
_PEER_AGE_RATIO: Final = 0.7
_SHARED_WAIT_RATIO: Final = 0.7


class FollowTimes(NamedTuple):
    """How long a node counts on what it follows the store by.

    Attributes:
        wait_s: How long the store may hold a call that waits for changes.
        patience_s: How long after that a reply may come before the node sends
            another call beside this one.
        shared_wait_s: The same at a node from which others learn changes.
        max_peer_age_s: How old the store's last answer to any peer may be
            before this node calls the store itself.
    """

    wait_s: float
    shared_wait_s: float
    patience_s: float
    max_peer_age_s: float

    @classmethod
    def from_bounds(cls, contact_s: float, apply_s: float) -> Self:
        """Returns the times for an operators' target.

        Args:
            contact_s: The time after a fault within which a node must know all
                changes again.
            apply_s: The time within which a change must be in force otherwise.
        """
        return cls(
            wait_s=_WAIT_RATIO * contact_s,
            shared_wait_s=min(
                _WAIT_RATIO * contact_s,
                _SHARED_WAIT_RATIO * _PEER_AGE_RATIO * apply_s,
            ),
            patience_s=_PATIENCE_RATIO * contact_s,
            max_peer_age_s=_PEER_AGE_RATIO * apply_s,
        )


DEFAULT_FOLLOW_TIMES: Final = FollowTimes.from_bounds(
    contact_s=4.0, apply_s=3.0
)
