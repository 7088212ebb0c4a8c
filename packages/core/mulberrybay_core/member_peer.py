"""A node's view of another member."""

from typing import Final

from mulberrybay_core.member_messages import NodeInfo

# Reported as the expired epoch of a peer from which no heartbeat has arrived:
# the reporting node will deny the first epoch that the peer asks a lease for.
ANY_EPOCH: Final = 2**63 - 1


class MemberPeer:
    """This node's view of another member."""

    def __init__(self, info: NodeInfo, now_s: float) -> None:
        self.info = info
        self.epoch = 0
        self.is_listed = False
        self.added_at_s = now_s
        self.last_heartbeat_at_s: float | None = None
        self.acked_at_s = now_s
        self.link_broken_since_s: float | None = None
        # A node that has just started may have granted leases before its
        # restart, so it treats every peer as granted until such a lease must
        # have expired.
        self.granted_at_s = now_s
        self.expired_epoch = 0
        self.denies_first_epoch = False
        self.departed_epoch = 0
        self.renewed_at_s: float | None = None
        self.revision = 0
        self.reported_expired: dict[str, int] = {}
        self.reported_granted: dict[str, int] = {}
        self.sent_at_s_by_sequence: dict[int, float] = {}

    @property
    def has_departed(self) -> bool:
        """Whether the last known process of the peer sent a goodbye."""
        return 0 < self.epoch <= self.departed_epoch

    def record_goodbye(self, epoch: int) -> None:
        """Records that the process of this epoch stopped and holds nothing."""
        self.epoch = self.departed_epoch = epoch
        self.expired_epoch = max(self.expired_epoch, epoch)
        self.denies_first_epoch = False
        self.last_heartbeat_at_s = None
        self.renewed_at_s = None
        self.sent_at_s_by_sequence.clear()

    def expired_epoch_to_report(self) -> int:
        """Returns the highest epoch that this node will not grant leases."""
        return ANY_EPOCH if self.denies_first_epoch else self.expired_epoch

    def describe(self, now_s: float) -> str:
        """Describes how long ago the peer was heard and renewed the lease."""
        return ", ".join(
            f"{name} {'never' if at_s is None else f'{now_s - at_s:.2f} s ago'}"
            for name, at_s in (
                ("renewed", self.renewed_at_s),
                ("acked", self.acked_at_s),
                ("heartbeat", self.last_heartbeat_at_s),
                ("granted", self.granted_at_s),
            )
        )

    def sent_heartbeat_since(self, since_s: float) -> bool:
        """Returns whether the peer sent a heartbeat at or after a time."""
        return (
            self.last_heartbeat_at_s is not None
            and self.last_heartbeat_at_s >= since_s
        )
