"""Exchanges the messages that renew the lease and move holdings."""

import time
from collections.abc import Callable
from typing import Final, Protocol

from mulberrybay_core.configuration import Configuration
from mulberrybay_core.fleet import Fleet
from mulberrybay_core.holdings import Holdings
from mulberrybay_core.member_messages import (
    Claim,
    ClaimAnswer,
    Goodbye,
    Heartbeat,
    HeartbeatAck,
    NodeInfo,
)
from mulberrybay_core.membership import Membership, MembershipSettings
from mulberrybay_daemon.attempt_router import HolderMap
from mulberrybay_daemon.holder import Holder
from mulberrybay_nodes.links import Link, NodeLinks
from mulberrybay_runtime.clock import read_clock_s
from mulberrybay_runtime.timers import Timers

TICK_PERIOD_S: Final = 0.05


class RevisionListener(Protocol):
    """Receives the configuration revisions that peers report."""

    def on_peer_revision(self, peer_id: str, revision: int) -> None:
        """Handles the revision that a peer has reported."""


class MemberTask:
    """Sends heartbeats and claims, and applies membership decisions."""

    def __init__(
        self,
        settings: MembershipSettings,
        membership: Membership,
        holdings: Holdings,
        holder_map: HolderMap,
        holder: Holder,
        timers: Timers,
        get_links: Callable[[], NodeLinks],
        revision_listener: RevisionListener,
    ) -> None:
        self._settings = settings
        self._membership = membership
        self._holdings = holdings
        self._holder_map = holder_map
        self._holder = holder
        self._timers = timers
        self._get_links = get_links
        self._revision_listener = revision_listener
        self._fleet = Fleet((), ())
        self._has_vm_list = False
        self._out_domains: frozenset[str] = frozenset()
        self._last_holder_inputs: tuple[object, ...] = ()
        self.had_lease = False
        self._has_sent_goodbye = False
        self.epoch_count = 0

    def start(self) -> None:
        """Starts the heartbeats and the periodic updates."""
        self._timers.call_every(TICK_PERIOD_S, self._tick)
        self._timers.call_every(
            self._settings.heartbeat_period_s, self._send_heartbeats
        )

    def set_fleet(self, fleet: Fleet) -> None:
        """Applies the platform's list of VMs."""
        self._fleet = fleet
        self._has_vm_list = True
        self._membership.on_vm_list(fleet.entry_vms, read_clock_s())
        self._dial_members()

    def set_configuration(self, configuration: Configuration) -> None:
        """Applies the configuration in force."""
        self._membership.revision = configuration.revision
        self._out_domains = configuration.out_domains
        self._send_heartbeats()

    def announce(self) -> None:
        """Informs peers at once that this node starts or stops serving.

        Until they know, its servers have no holder, or two nodes claim them. A
        node that says that it serves has claimed its servers.
        """
        self._send_heartbeats()
        self._tick()

    def _dial_members(self) -> None:
        self._get_links().set_peers(
            {info.node_id: info.peer_address for info in self._membership.peers}
        )

    def _send_heartbeats(self) -> None:
        if self._has_sent_goodbye:
            # Peers would assume that the process is alive.
            return
        self._dial_members()
        now_s = read_clock_s()
        links = self._get_links()
        links.check_links(now_s)
        if not self._has_vm_list:
            # Peers would choose this node as the holder of servers that it
            # doesn't know yet. It still grants leases to peers.
            return
        for info in self._membership.peers:
            heartbeat = self._membership.make_heartbeat(info.node_id, now_s)
            links.send(info.node_id, heartbeat)
        for seed_id in links.seed_ids():
            links.send(seed_id, self._membership.make_probe(now_s))

    def serving_nodes(self, now_s: float) -> tuple[NodeInfo, ...]:
        """Returns the live nodes that accept new work."""
        return tuple(
            info
            for info in self._membership.live_nodes(now_s)
            if info.is_serving
            and not info.is_leaving
            and info.failure_domain not in self._out_domains
        )

    def _tick(self) -> None:
        now_s = read_clock_s()
        if self._membership.tick(now_s, int(time.time() * 1000)):
            self.epoch_count += 1
            self._holdings.drop_all()
            self._holder.drop_all()
        self.had_lease = self._membership.has_lease(now_s)
        self._update_holders(now_s)
        self._advance_claims(now_s)

    def _update_holders(self, now_s: float) -> None:
        nodes = self.serving_nodes(now_s)
        holder_inputs = (nodes, self._fleet)
        if holder_inputs != self._last_holder_inputs:
            self._last_holder_inputs = holder_inputs
            self._holder_map.update(self._fleet.servers, nodes)
        wanted_ids = self._holder_map.assigned_server_ids(
            self._membership.info.node_id
        )
        if not self.had_lease:
            wanted_ids = []
        self._holder.release(self._holdings.set_wanted(wanted_ids))

    def _advance_claims(self, now_s: float) -> None:
        if not self.had_lease:
            return
        peer_ids = [
            info.node_id
            for info in self._membership.peers
            if not self._membership.has_departed(info.node_id, now_s)
        ]
        fenced_ids = frozenset(
            peer_id
            for peer_id in peer_ids
            if self._membership.is_fenced(peer_id, now_s)
        )
        acquired_ids = self._holdings.advance(peer_ids, fenced_ids, now_s)
        self._holder.acquire(acquired_ids)
        links = self._get_links()
        for target in self._holdings.claims_due(peer_ids):
            claim = Claim(
                sender_id=self._membership.info.node_id,
                epoch=self._membership.epoch,
                claim_id=target.claim_id,
                server_ids=target.server_ids,
            )
            links.send(target.peer_id, claim)

    def on_heartbeat(self, heartbeat: Heartbeat, link: Link) -> None:
        """Answers a peer's heartbeat.

        Drops this node's own heartbeat, which it receives if it is a seed.
        """
        if heartbeat.sender.node_id == self._membership.info.node_id:
            return
        ack = self._membership.on_heartbeat(heartbeat, read_clock_s())
        link.send(ack)
        self._get_links().dial_now(heartbeat.sender.node_id)
        self._revision_listener.on_peer_revision(
            heartbeat.sender.node_id, heartbeat.revision
        )

    def on_ack(self, ack: HeartbeatAck) -> None:
        """Handles a peer's answer to a heartbeat."""
        self._membership.on_ack(ack, read_clock_s())
        self._revision_listener.on_peer_revision(ack.sender_id, ack.revision)

    def on_goodbye(self, goodbye: Goodbye) -> None:
        """Handles the end of a node that no longer holds any server."""
        self._membership.on_goodbye(goodbye.node_id, goodbye.epoch)
        # Claims wait until a majority has reported the end of the node.
        self._send_heartbeats()

    def on_claim(self, claim: Claim, link: Link) -> None:
        """Answers a peer's claim.

        The claimant must be a member in this node's view, in the epoch of the
        claim. Otherwise this node might later hold a server without asking
        the claimant.
        """
        if self._membership.peer_epoch(claim.sender_id) != claim.epoch:
            return
        released = self._holdings.on_claim(claim.sender_id, claim.server_ids)
        link.send(
            ClaimAnswer(
                sender_id=self._membership.info.node_id,
                claim_epoch=claim.epoch,
                claim_id=claim.claim_id,
                released_ids=tuple(
                    server_id
                    for server_id in released
                    if not self._holder.has_outstanding(server_id)
                ),
            )
        )

    def on_claim_answer(self, answer: ClaimAnswer) -> None:
        """Handles a peer's answer to a claim."""
        if answer.claim_epoch == self._membership.epoch:
            self._holdings.on_released(
                answer.sender_id, answer.claim_id, answer.released_ids
            )

    def say_goodbye(self) -> None:
        """Informs peers that this node has stopped permanently."""
        goodbye = Goodbye(self._membership.info.node_id, self._membership.epoch)
        for info in self._membership.peers:
            self._get_links().send(info.node_id, goodbye)
        self._has_sent_goodbye = True
