"""What a node knows of one other member."""

from typing import Final

from mulberrybay_core.member_messages import NodeInfo

# Reported of a peer that the reporting node has never heard of: whatever
# epoch it names first will be denied.
ANY_EPOCH: Final = 2**63 - 1


class MemberPeer:
    """What this node knows of one other member."""

    def __init__(self, info: NodeInfo, now_s: float) -> None:
        self.info = info
        self.epoch = 0
        self.is_listed = False
        self.learned_at_s = now_s
        self.heard_at_s: float | None = None
        self.acked_at_s = now_s
        self.broken_since_s: float | None = None
        # A node that has just started may have granted a lease before; it
        # counts every peer as granted until that lease must have run out.
        self.granted_at_s = now_s
        self.lapsed_epoch = 0
        self.denies_first_epoch = False
        self.departed_epoch = 0
        self.renewed_at_s: float | None = None
        self.revision = 0
        self.reported_lapsed: dict[str, int] = {}
        self.reported_granted: dict[str, int] = {}
        self.sent_at_s: dict[int, float] = {}

    @property
    def has_departed(self) -> bool:
        """Whether its last known process has said goodbye."""
        return 0 < self.epoch <= self.departed_epoch

    def depart(self, epoch: int) -> None:
        """Notes the goodbye of its process, which holds nothing any more."""
        self.epoch = self.departed_epoch = epoch
        self.lapsed_epoch = max(self.lapsed_epoch, epoch)
        self.denies_first_epoch = False
        self.heard_at_s = None
        self.renewed_at_s = None
        self.sent_at_s.clear()

    def reported_epoch(self) -> int:
        """The highest epoch to which this node grants nothing any more."""
        return ANY_EPOCH if self.denies_first_epoch else self.lapsed_epoch

    def was_heard_since(self, since_s: float) -> bool:
        """Whether a heartbeat of the peer came after a time."""
        return self.heard_at_s is not None and self.heard_at_s >= since_s
