"""Decides which nodes are live, and whether this node has a lease to act.

With each heartbeat, a node asks a peer to renew its lease. A grant is the
peer's promise not to report the asking node's epoch as expired for the length
of a lease. A node may act while a majority of the members that it knows,
itself included, has granted it a lease. Other nodes may take over its backend
servers without its answer only after a majority has reported its epoch as
expired; the epoch is then fenced. Such a report is final: that epoch gets no
grant again. Any two majorities have a member in common, so no node acts in a
fenced epoch.

A peer also requires that the configuration of the asking node is not older
than its own. A revision known to a majority is therefore in force, within the
length of a lease, at every node that acts.

Finally, a peer requires that the asking node lists every member to which the
peer has granted a lease. Two nodes that do not know each other could not send
each other claims for backend servers; this rule ensures that they never both
act.
"""

from collections.abc import Iterable
from typing import Final, NamedTuple

from mulberrybay_core.broken_links import must_step_down
from mulberrybay_core.fleet import EntryVm
from mulberrybay_core.member_messages import (
    Heartbeat,
    HeartbeatAck,
    NodeEpoch,
    NodeInfo,
)
from mulberrybay_core.member_peer import MemberPeer

MAX_UNACKED_HEARTBEAT_COUNT: Final = 32


class MembershipSettings(NamedTuple):
    """Times that must be the same at every node of a system.

    The field names are also the names of the settings.

    Attributes:
        heartbeat_period_s: The time between two heartbeats to the same peer.
        lease_s: How long a grant binds the peer that gave it.
        clock_margin_s: How much earlier the node that got a lease treats it
            as expired.
        forget_after_s: How long a node that the platform does not list stays
            a member after its last heartbeat.
    """

    heartbeat_period_s: float = 0.4
    lease_s: float = 2.0
    clock_margin_s: float = 0.2
    forget_after_s: float = 10.0


def make_listed_info(vm: EntryVm) -> NodeInfo:
    """Returns the description of a listed node that sent no heartbeat yet."""
    return NodeInfo(
        vm.node_id, vm.failure_domain, vm.peer_address, vm.peer_address
    )


class Membership:
    """Grants and tracks leases; sends no messages."""

    def __init__(
        self,
        settings: MembershipSettings,
        info: NodeInfo,
        epoch: int,
    ) -> None:
        """Creates the membership of a node without a lease.

        Args:
            settings: The times shared by all nodes.
            info: The description of this node.
            epoch: The first epoch, greater than every earlier epoch of this
                node; for example Unix time in milliseconds.
        """
        self._settings = settings
        self.info = info
        self.epoch = epoch
        self.revision = 0
        self.has_member_list = False
        self._epoch_clock = epoch
        self._peers: dict[str, MemberPeer] = {}
        self._sequence = 0
        self._had_lease = False
        self._lost_lease = False
        self._denied_epoch = 0
        self.steps_down = False
        # How the peers stood when the last epoch of this node ended.
        self.last_epoch_end = ""

    def on_vm_list(self, entry_vms: Iterable[EntryVm], now_s: float) -> None:
        """Handles a new list of entry VMs from the platform."""
        listed = {vm.node_id: vm for vm in entry_vms}
        self.has_member_list = True
        for node_id, vm in listed.items():
            if node_id == self.info.node_id:
                continue
            peer = self._peers.get(node_id)
            if peer is None:
                info = make_listed_info(vm)
                peer = self._peers[node_id] = MemberPeer(info, now_s)
            peer.is_listed = True
            if peer.last_heartbeat_at_s is None:
                peer.info = peer.info._replace(peer_address=vm.peer_address)
        for node_id, peer in list(self._peers.items()):
            peer.is_listed = node_id in listed
            is_removable = peer.has_departed or self._is_forgotten(peer, now_s)
            if not peer.is_listed and is_removable:
                del self._peers[node_id]

    def _is_forgotten(self, peer: MemberPeer, now_s: float) -> bool:
        last_heartbeat_at_s = peer.last_heartbeat_at_s or peer.added_at_s
        return now_s - last_heartbeat_at_s > self._settings.forget_after_s

    def update_member(self, info: NodeInfo, now_s: float) -> None:
        """Adds or updates a member that a heartbeat describes.

        Keeps the known description of a member that itself sent a heartbeat
        within the last lease length.
        """
        if info.node_id == self.info.node_id:
            return
        peer = self._peers.get(info.node_id)
        if peer is None:
            self._peers[info.node_id] = MemberPeer(info, now_s)
        elif not peer.sent_heartbeat_since(now_s - self._settings.lease_s):
            peer.info = info

    def make_heartbeat(self, peer_id: str, now_s: float) -> Heartbeat:
        """Returns the next heartbeat to a peer and records its send time."""
        self._sequence += 1
        peer = self._peers[peer_id]
        peer.sent_at_s_by_sequence[self._sequence] = now_s
        while len(peer.sent_at_s_by_sequence) > MAX_UNACKED_HEARTBEAT_COUNT:
            del peer.sent_at_s_by_sequence[
                next(iter(peer.sent_at_s_by_sequence))
            ]
        return self._make_heartbeat(self._sequence, now_s)

    def make_probe(self, now_s: float) -> Heartbeat:
        """Returns a heartbeat for an address whose node is not known yet.

        The receiver adds this node to its members and sends it heartbeats,
        which list the other members.
        """
        return self._make_heartbeat(0, now_s)

    def _make_heartbeat(self, sequence: int, now_s: float) -> Heartbeat:
        return Heartbeat(
            sender=self._own_info(),
            # A node that steps down asks for no lease, so that others can
            # fence its epoch if they cannot reach it.
            epoch=0 if self.steps_down else self.epoch,
            sequence=sequence,
            revision=self.revision,
            expired=tuple(
                NodeEpoch(node_id, other.expired_epoch_to_report())
                for node_id, other in self._peers.items()
                if other.expired_epoch_to_report()
            ),
            granted=tuple(
                NodeEpoch(node_id, other.epoch)
                for node_id, other in self._peers.items()
                if other.epoch > other.expired_epoch
            ),
            members=tuple(
                other.info
                for other in self._peers.values()
                if other.is_listed or not self._is_forgotten(other, now_s)
            ),
        )

    def _own_info(self) -> NodeInfo:
        is_leaving = self.info.is_leaving or self.steps_down
        return self.info._replace(is_leaving=is_leaving)

    def on_heartbeat(self, heartbeat: Heartbeat, now_s: float) -> HeartbeatAck:
        """Handles a peer's heartbeat; the ack grants or denies its lease."""
        for info in heartbeat.members:
            self.update_member(info, now_s)
        if heartbeat.sender.is_serving:
            # A serving node knows the members, so its list is sufficient
            # while the platform is unreachable.
            self.has_member_list = True
        peer_id = heartbeat.sender.node_id
        self.update_member(heartbeat.sender, now_s)
        peer = self._peers[peer_id]
        self._expire_if_due(peer, now_s)
        if peer.denies_first_epoch and heartbeat.epoch:
            peer.denies_first_epoch = False
            peer.epoch = peer.expired_epoch = heartbeat.epoch
        peer.info = heartbeat.sender
        peer.last_heartbeat_at_s = now_s
        peer.revision = heartbeat.revision
        if heartbeat.epoch >= peer.epoch or not heartbeat.epoch:
            peer.reported_expired = dict(heartbeat.expired)
            peer.reported_granted = dict(heartbeat.granted)
        is_granted = (
            heartbeat.epoch > peer.expired_epoch
            and heartbeat.epoch >= peer.epoch
            and heartbeat.revision >= self.revision
            and self._lists_granted_members(heartbeat)
        )
        if is_granted:
            peer.granted_at_s = now_s
        if is_granted or peer.epoch == 0:
            # The first epoch is recorded even if it is denied. Otherwise
            # `_expire_if_due` would have the peer's next epoch denied too.
            peer.epoch = heartbeat.epoch
        return HeartbeatAck(
            sender_id=self.info.node_id,
            sequence=heartbeat.sequence,
            is_granted=is_granted,
            expired_epoch=max(peer.expired_epoch, peer.epoch - 1),
            revision=self.revision,
        )

    def _lists_granted_members(self, heartbeat: Heartbeat) -> bool:
        listed_ids = {info.node_id for info in heartbeat.members}
        listed_ids.add(heartbeat.sender.node_id)
        return all(
            node_id in listed_ids
            for node_id, peer in self._peers.items()
            if peer.epoch > peer.expired_epoch
        )

    def on_ack(self, ack: HeartbeatAck, now_s: float) -> None:
        """Handles a peer's answer to a heartbeat of this node."""
        peer = self._peers.get(ack.sender_id)
        if peer is None:
            return
        peer.acked_at_s = now_s
        # An expired lease is not renewed: the next tick must first start a new
        # epoch, so that everything held under the old lease is dropped.
        if self._had_lease and not self.has_lease(now_s):
            self._lost_lease = True
        sent_at_s = peer.sent_at_s_by_sequence.pop(ack.sequence, None)
        peer.revision = ack.revision
        if ack.expired_epoch >= self.epoch:
            self._denied_epoch = max(self._denied_epoch, ack.expired_epoch)
            return
        if sent_at_s is None or not ack.is_granted:
            return
        if ack.revision > self.revision:
            return
        peer.renewed_at_s = max(peer.renewed_at_s or sent_at_s, sent_at_s)

    def on_goodbye(self, node_id: str, epoch: int) -> None:
        """Removes a stopped node, or records its epoch as expired.

        The node stays a member while the platform lists it. If it were removed
        and added again, its goodbye would be forgotten, and other nodes would
        wait for its answers.
        """
        peer = self._peers.get(node_id)
        if peer is None or epoch < peer.epoch:
            return
        peer.record_goodbye(epoch)
        if not peer.is_listed:
            del self._peers[node_id]

    def tick(self, now_s: float, epoch_now: int) -> bool:
        """Expires peers' epochs; starts a new one if its own may be fenced.

        Args:
            now_s: The current time.
            epoch_now: Unix time in milliseconds.

        Returns:
            True if a new epoch began; the node then holds nothing.
        """
        self._epoch_clock = max(self._epoch_clock, epoch_now)
        for peer in self._peers.values():
            self._expire_if_due(peer, now_s)
        self.steps_down = must_step_down(
            self.info.node_id, self._peers, self._settings.lease_s, now_s
        )
        has_lease = self.has_lease(now_s)
        lost_lease = self._had_lease and not has_lease
        self._had_lease = has_lease
        self._lost_lease = False
        if not lost_lease and self._denied_epoch < self.epoch:
            return False
        self.last_epoch_end = self._describe_peers(now_s)
        self.epoch = max(self._epoch_clock, self._denied_epoch, self.epoch) + 1
        self._had_lease = False
        for peer in self._peers.values():
            peer.renewed_at_s = None
            peer.sent_at_s_by_sequence.clear()
            peer.reported_expired.clear()
        return True

    def _describe_peers(self, now_s: float) -> str:
        """Describes what peers last answered, to explain the end of a lease."""
        return "; ".join(
            f"{node_id}: {peer.describe(now_s)}"
            for node_id, peer in self._peers.items()
        )

    def _expire_if_due(self, peer: MemberPeer, now_s: float) -> None:
        lease_s = self._settings.lease_s
        if now_s - peer.granted_at_s <= lease_s:
            return
        # Peers need time to connect to a node that has just started. Denying
        # a peer's epoch makes it drop everything that it holds.
        has_no_epoch = peer.epoch == 0
        if has_no_epoch and now_s - peer.granted_at_s <= 3 * lease_s:
            return
        if has_no_epoch:
            peer.denies_first_epoch = True
        peer.expired_epoch = max(peer.expired_epoch, peer.epoch)

    def lease_until_s(self) -> float:
        """Returns the time until which this node may act.

        It is 0 without a lease, and infinite if this node alone is a majority.
        """
        if not self.has_member_list or self._lost_lease:
            return 0.0
        renewed = [
            peer.renewed_at_s
            for peer in self._peers.values()
            if peer.renewed_at_s is not None
        ]
        needed_grant_count = self.majority_count - 1
        if needed_grant_count == 0:
            return float("inf")
        if len(renewed) < needed_grant_count:
            return 0.0
        renewed.sort(reverse=True)
        length_s = self._settings.lease_s - self._settings.clock_margin_s
        return renewed[needed_grant_count - 1] + length_s

    def has_lease(self, now_s: float) -> bool:
        """Returns whether this node may act now."""
        return now_s < self.lease_until_s()

    @property
    def majority_count(self) -> int:
        """The smallest number of members that is a majority.

        This node counts as a member.
        """
        return (len(self._peers) + 1) // 2 + 1

    @property
    def peers(self) -> tuple[NodeInfo, ...]:
        """The other members."""
        return tuple(peer.info for peer in self._peers.values())

    def peer_revision(self, node_id: str) -> int:
        """Returns the revision that a peer last reported; 0 if unknown."""
        peer = self._peers.get(node_id)
        return peer.revision if peer else 0

    def peer_epoch(self, node_id: str) -> int:
        """Returns the latest known epoch of a peer; 0 if unknown."""
        peer = self._peers.get(node_id)
        return peer.epoch if peer else 0

    def live_nodes(self, now_s: float) -> tuple[NodeInfo, ...]:
        """Returns this node and its live peers.

        A peer is live if it sent a heartbeat within the last lease length.
        """
        live_peers = [
            peer.info
            for peer in self._peers.values()
            if peer.last_heartbeat_at_s is not None
            and now_s - peer.last_heartbeat_at_s <= self._settings.lease_s
        ]
        return (self._own_info(), *live_peers)

    def has_departed(self, node_id: str, now_s: float) -> bool:
        """Returns whether a peer has stopped and holds nothing.

        Its epoch must also be fenced: the node may have restarted, and the new
        process may be known only to other nodes.
        """
        peer = self._peers.get(node_id)
        has_departed = peer is None or peer.has_departed
        return has_departed and self.is_fenced(node_id, now_s)

    def is_fenced(self, node_id: str, now_s: float) -> bool:
        """Returns whether a majority reports a peer's epoch as expired."""
        since_s = now_s - self._settings.lease_s
        peer = self._peers.get(node_id)
        if peer is None:
            return True
        expired_count = int(
            peer.expired_epoch_to_report() >= max(peer.epoch, 1)
        )
        for other_id, other in self._peers.items():
            # Only recent reports count: a node that has restarted since its
            # report may have forgotten it.
            if other_id == node_id or not other.sent_heartbeat_since(since_s):
                continue
            expired_epoch = other.reported_expired.get(node_id, 0)
            granted_epoch = other.reported_granted.get(node_id, 0)
            highest_epoch = max(peer.epoch, granted_epoch, 1)
            expired_count += int(expired_epoch >= highest_epoch)
        return expired_count >= self.majority_count
