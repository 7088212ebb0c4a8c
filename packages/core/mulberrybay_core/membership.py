"""Leases from peers: which nodes live, and whether this one may act.

A node asks every peer to renew its lease with each heartbeat. A grant is the
peer's promise not to report the asking node's epoch as lapsed for the length
of a lease. A node may act while a majority of the members it knows, itself
included, has granted it a lease. A backend server may be taken from a node
only once a majority reports that node's epoch as lapsed, and such a report is
final: that epoch gets no grant again. Two majorities have a member in common,
so no node acts in an epoch that others have buried.

A grant also needs the asking node's configuration to be no older than the
granting node's. A revision known to a majority is thus in force, within the
length of a lease, at every node that acts.

A grant needs as well that the asking node names every member that the granting
node has granted a lease: two nodes with different lists, which could not ask
each other for backend servers, never both act.
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

MAX_UNACKED_COUNT: Final = 32


class MembershipSettings(NamedTuple):
    """Times that every node of a system must share.

    Attributes:
        heartbeat_period_s: Between two heartbeats to the same peer.
        lease_s: For how long a grant binds the peer that gave it.
        clock_margin_s: How much sooner the holder of a lease gives it up.
        forget_after_s: How long a node absent from the platform's list stays
            a member after it was last heard.
    """

    heartbeat_period_s: float = 0.4
    lease_s: float = 2.0
    clock_margin_s: float = 0.2
    forget_after_s: float = 10.0


def make_listed_info(vm: EntryVm) -> NodeInfo:
    """Returns what is known of a node that is listed and was not heard."""
    return NodeInfo(
        vm.node_id, vm.failure_domain, vm.peer_address, vm.peer_address
    )


class Membership:
    """Decides on leases; sends nothing itself."""

    def __init__(
        self,
        settings: MembershipSettings,
        info: NodeInfo,
        epoch: int,
    ) -> None:
        """Starts without a lease.

        Args:
            settings: The shared times.
            info: This node.
            epoch: Greater than every epoch of this node before; Unix time in
                milliseconds serves.
        """
        self._settings = settings
        self.info = info
        self.epoch = epoch
        self.revision = 0
        self.has_member_list = False
        self._epoch_clock = epoch
        self._peers: dict[str, MemberPeer] = {}
        self._sequence = 0
        self._held_lease = False
        self._lost_lease = False
        self._denied_epoch = 0
        self.steps_down = False

    def on_vm_list(self, entry_vms: Iterable[EntryVm], now_s: float) -> None:
        """Takes the platform's list of entry VMs."""
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
            if peer.heard_at_s is None:
                peer.info = peer.info._replace(peer_address=vm.peer_address)
        for node_id, peer in list(self._peers.items()):
            peer.is_listed = node_id in listed
            is_gone = peer.has_departed or self._is_forgotten(peer, now_s)
            if not peer.is_listed and is_gone:
                del self._peers[node_id]

    def _is_forgotten(self, peer: MemberPeer, now_s: float) -> bool:
        heard_at_s = peer.heard_at_s or peer.learned_at_s
        return now_s - heard_at_s > self._settings.forget_after_s

    def learn_member(self, info: NodeInfo, now_s: float) -> None:
        """Takes a member that a peer or the settings named."""
        if info.node_id == self.info.node_id:
            return
        peer = self._peers.get(info.node_id)
        if peer is None:
            self._peers[info.node_id] = MemberPeer(info, now_s)
        elif not peer.was_heard_since(now_s - self._settings.lease_s):
            peer.info = info

    def make_heartbeat(self, peer_id: str, now_s: float) -> Heartbeat:
        """Returns the next heartbeat to a peer and notes when it was sent."""
        self._sequence += 1
        peer = self._peers[peer_id]
        peer.sent_at_s[self._sequence] = now_s
        while len(peer.sent_at_s) > MAX_UNACKED_COUNT:
            del peer.sent_at_s[next(iter(peer.sent_at_s))]
        return self._make_heartbeat(self._sequence, now_s)

    def make_probe(self, now_s: float) -> Heartbeat:
        """Returns a heartbeat to an address whose node is not known yet.

        The node there learns of this one and sends heartbeats of its own,
        which name the members.
        """
        return self._make_heartbeat(0, now_s)

    def _make_heartbeat(self, sequence: int, now_s: float) -> Heartbeat:
        return Heartbeat(
            sender=self._own_info(),
            # A node that steps down asks for no lease, so that others can
            # bury its epoch where they can't reach it.
            epoch=0 if self.steps_down else self.epoch,
            sequence=sequence,
            revision=self.revision,
            lapsed=tuple(
                NodeEpoch(node_id, other.reported_epoch())
                for node_id, other in self._peers.items()
                if other.reported_epoch()
            ),
            granted=tuple(
                NodeEpoch(node_id, other.epoch)
                for node_id, other in self._peers.items()
                if other.epoch > other.lapsed_epoch
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
        """Decides whether a peer gets its lease renewed."""
        for info in heartbeat.members:
            self.learn_member(info, now_s)
        if heartbeat.sender.is_serving:
            # A node that serves knows the members: its list will do while
            # the platform can't be asked.
            self.has_member_list = True
        peer_id = heartbeat.sender.node_id
        self.learn_member(heartbeat.sender, now_s)
        peer = self._peers[peer_id]
        self._lapse_if_due(peer, now_s)
        if peer.denies_first_epoch and heartbeat.epoch:
            peer.denies_first_epoch = False
            peer.epoch = peer.lapsed_epoch = heartbeat.epoch
        peer.info = heartbeat.sender
        peer.heard_at_s = now_s
        peer.revision = heartbeat.revision
        if heartbeat.epoch >= peer.epoch or not heartbeat.epoch:
            peer.reported_lapsed = dict(heartbeat.lapsed)
            peer.reported_granted = dict(heartbeat.granted)
        is_granted = (
            heartbeat.epoch > peer.lapsed_epoch
            and heartbeat.epoch >= peer.epoch
            and heartbeat.revision >= self.revision
            and self._names_granted(heartbeat)
        )
        if is_granted:
            peer.granted_at_s = now_s
        if is_granted or peer.epoch == 0:
            # Also when the first one is denied: the peer is not unheard of
            # any more, so that the bound on its epoch stays where it is and
            # the peer's next epoch passes.
            peer.epoch = heartbeat.epoch
        return HeartbeatAck(
            sender_id=self.info.node_id,
            sequence=heartbeat.sequence,
            is_granted=is_granted,
            lapsed_epoch=max(peer.lapsed_epoch, peer.epoch - 1),
            revision=self.revision,
        )

    def _names_granted(self, heartbeat: Heartbeat) -> bool:
        named_ids = {info.node_id for info in heartbeat.members}
        named_ids.add(heartbeat.sender.node_id)
        return all(
            node_id in named_ids
            for node_id, peer in self._peers.items()
            if peer.epoch > peer.lapsed_epoch
        )

    def on_ack(self, ack: HeartbeatAck, now_s: float) -> None:
        """Takes a peer's answer to a heartbeat of this node."""
        peer = self._peers.get(ack.sender_id)
        if peer is None:
            return
        peer.acked_at_s = now_s
        # A lease that has lapsed is not renewed; the next tick must first
        # give up all that was held under it.
        if self._held_lease and not self.has_lease(now_s):
            self._lost_lease = True
        sent_at_s = peer.sent_at_s.pop(ack.sequence, None)
        peer.revision = ack.revision
        if ack.lapsed_epoch >= self.epoch:
            self._denied_epoch = max(self._denied_epoch, ack.lapsed_epoch)
            return
        if sent_at_s is None or not ack.is_granted:
            return
        if ack.revision > self.revision:
            return
        peer.renewed_at_s = max(peer.renewed_at_s or sent_at_s, sent_at_s)

    def on_goodbye(self, node_id: str, epoch: int) -> None:
        """Forgets a node that has stopped, or counts its epoch as lapsed.

        While the platform lists it, it stays a member, so that nobody waits
        for the answers of one that has been deleted and learned again.
        """
        peer = self._peers.get(node_id)
        if peer is None or epoch < peer.epoch:
            return
        peer.depart(epoch)
        if not peer.is_listed:
            del self._peers[node_id]

    def tick(self, now_s: float, epoch_now: int) -> bool:
        """Buries silent peers; starts a new epoch if this one may be buried.

        Args:
            now_s: The time.
            epoch_now: Unix time in milliseconds.

        Returns:
            True if a new epoch began, so that nothing is held any more.
        """
        self._epoch_clock = max(self._epoch_clock, epoch_now)
        for peer in self._peers.values():
            self._lapse_if_due(peer, now_s)
        self.steps_down = must_step_down(
            self.info.node_id, self._peers, self._settings.lease_s, now_s
        )
        has_lease = self.has_lease(now_s)
        lost_lease = self._held_lease and not has_lease
        self._held_lease = has_lease
        self._lost_lease = False
        if not lost_lease and self._denied_epoch < self.epoch:
            return False
        self.epoch = max(self._epoch_clock, self._denied_epoch, self.epoch) + 1
        self._held_lease = False
        for peer in self._peers.values():
            peer.renewed_at_s = None
            peer.sent_at_s.clear()
            peer.reported_lapsed.clear()
        return True

    def _lapse_if_due(self, peer: MemberPeer, now_s: float) -> None:
        lease_s = self._settings.lease_s
        if now_s - peer.granted_at_s <= lease_s:
            return
        # Peers need time to connect to a node that has just started; to deny
        # one makes it give up all that it holds.
        is_unheard = peer.epoch == 0
        if is_unheard and now_s - peer.granted_at_s <= 3 * lease_s:
            return
        if is_unheard:
            peer.denies_first_epoch = True
        peer.lapsed_epoch = max(peer.lapsed_epoch, peer.epoch)

    def lease_until_s(self) -> float:
        """Returns until when this node may act; the past if it may not."""
        if not self.has_member_list or self._lost_lease:
            return 0.0
        renewed = [
            peer.renewed_at_s
            for peer in self._peers.values()
            if peer.renewed_at_s is not None
        ]
        needed_count = self.majority_count - 1
        if needed_count == 0:
            return float("inf")
        if len(renewed) < needed_count:
            return 0.0
        renewed.sort(reverse=True)
        length_s = self._settings.lease_s - self._settings.clock_margin_s
        return renewed[needed_count - 1] + length_s

    def has_lease(self, now_s: float) -> bool:
        """Returns whether this node may act now."""
        return now_s < self.lease_until_s()

    @property
    def majority_count(self) -> int:
        """How many members, this node included, make a majority."""
        return (len(self._peers) + 1) // 2 + 1

    @property
    def peers(self) -> tuple[NodeInfo, ...]:
        """The other members."""
        return tuple(peer.info for peer in self._peers.values())

    def peer_revision(self, node_id: str) -> int:
        """Returns the revision that a peer last named."""
        peer = self._peers.get(node_id)
        return peer.revision if peer else 0

    def peer_epoch(self, node_id: str) -> int:
        """Returns the latest epoch of a peer that is known here."""
        peer = self._peers.get(node_id)
        return peer.epoch if peer else 0

    def live_nodes(self, now_s: float) -> tuple[NodeInfo, ...]:
        """Returns the nodes believed to act, this one included."""
        heard = [
            peer.info
            for peer in self._peers.values()
            if peer.heard_at_s is not None
            and now_s - peer.heard_at_s <= self._settings.lease_s
        ]
        return (self._own_info(), *heard)

    def has_departed(self, node_id: str, now_s: float) -> bool:
        """Returns whether a peer has left with nothing at work.

        Its epoch must be buried as well: a process that has followed it may
        be known to others only.
        """
        peer = self._peers.get(node_id)
        has_departed = peer is None or peer.has_departed
        return has_departed and self.is_buried(node_id, now_s)

    def is_buried(self, node_id: str, now_s: float) -> bool:
        """Returns whether a majority reports a peer's epoch as lapsed."""
        since_s = now_s - self._settings.lease_s
        peer = self._peers.get(node_id)
        if peer is None:
            return True
        lapsed_count = int(peer.reported_epoch() >= max(peer.epoch, 1))
        for other_id, other in self._peers.items():
            # A node that has restarted may have forgotten an older report.
            if other_id == node_id or not other.was_heard_since(since_s):
                continue
            lapsed_epoch = other.reported_lapsed.get(node_id, 0)
            granted_epoch = other.reported_granted.get(node_id, 0)
            highest_epoch = max(peer.epoch, granted_epoch, 1)
            lapsed_count += int(lapsed_epoch >= highest_epoch)
        return lapsed_count >= self.majority_count
