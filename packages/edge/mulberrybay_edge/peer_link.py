"""Exchanges heartbeats and changed objects with the other nodes.

The modules that this one imports load Cap'n Proto, which takes longer than the
rest of a node's start. A node therefore serves callers before it imports this
module.
"""

from collections import Counter
from collections.abc import Callable, Sequence
from typing import Self

from mulberrybay_core.addresses import Address
from mulberrybay_core.edge_nodes import EdgeHeartbeat, EdgeNodes
from mulberrybay_core.fatal_requests import SuspectReport
from mulberrybay_edge.decision_log import DecisionLog
from mulberrybay_edge.heartbeat_codec import (
    HeartbeatError,
    decode_heartbeat,
    encode_heartbeat,
)
from mulberrybay_edge.peer_exchange import PeerExchange
from mulberrybay_edge.store_watch import StoreWatch
from mulberrybay_edge.tenant_gate import TenantGate
from mulberrybay_runtime.clock import read_clock_s
from mulberrybay_runtime.datagrams import Datagrams
from mulberrybay_runtime.streams import Streams
from mulberrybay_runtime.timers import Timers


class PeerLink:
    """The connection to the other nodes; entering the context opens it."""

    def __init__(
        self,
        nodes: EdgeNodes,
        watches: Sequence[StoreWatch],
        datagrams: Datagrams,
        streams: Streams,
        timers: Timers,
        log: DecisionLog,
        make_heartbeat: Callable[[], EdgeHeartbeat],
        on_suspects: Callable[[Sequence[SuspectReport]], None],
        gate: TenantGate,
        on_rollouts: Callable[[EdgeHeartbeat], None] | None = None,
    ) -> None:
        self._gate = gate
        self._nodes = nodes
        self._watches = watches
        self._datagrams = datagrams
        self._timers = timers
        self._log = log
        self._make_heartbeat = make_heartbeat
        self._on_suspects = on_suspects
        self._on_rollouts = on_rollouts
        self._exchange = PeerExchange(streams, timers, watches)
        self._sent_versions: tuple[int, ...] = ()
        self.unreadable_count = 0

    def __enter__(self) -> Self:
        """Listens to peers and starts to send heartbeats.

        Raises:
            OSError: The address is in use or does not belong to this VM.
        """
        self._gate.tell_hubs = self._tell_hubs
        address = self._nodes.own_info.peer_address
        self._datagrams.listen(address, self._on_datagram)
        self._exchange.listen(address)
        self._send_periodically()
        return self

    def __exit__(self, *_: object) -> None:
        """Does nothing: `Streams` and `Datagrams` close the sockets."""

    @property
    def exchange_counts(self) -> Counter[str]:
        """Requests to peers and replies to theirs, by outcome."""
        return self._exchange.counts

    def _send_periodically(self) -> None:
        self.send_heartbeats()
        self._timers.call_later(
            self._nodes.heartbeat_period_s(read_clock_s()),
            self._send_periodically,
        )

    def send_heartbeats(self) -> None:
        """Sends a heartbeat immediately to every peer that gets this node's."""
        addresses = self._nodes.heartbeat_addresses(read_clock_s())
        if not addresses:
            return
        heartbeat = self._make_heartbeat()
        self._sent_versions = heartbeat.changed_versions
        self._send(heartbeat, addresses)

    def _tell_hubs(self) -> None:
        """Sends a heartbeat only to the peers that hear all nodes."""
        addresses = self._nodes.hub_addresses(read_clock_s())
        if addresses:
            self._send(self._make_heartbeat(), addresses)

    def _send(
        self, heartbeat: EdgeHeartbeat, addresses: Sequence[Address]
    ) -> None:
        data = encode_heartbeat(heartbeat)
        for address in addresses:
            self._datagrams.send(data, address)

    def _on_datagram(self, data: bytes, peer: Address) -> None:
        try:
            heartbeat = decode_heartbeat(data)
        except HeartbeatError as error:
            self.unreadable_count += 1
            self._log.log_view_change(
                "unreadable heartbeat", peer=str(peer), cause=str(error)
            )
            return
        is_first = self._nodes.record_heartbeat(heartbeat, read_clock_s())
        self._gate.merge(heartbeat, is_first=is_first)
        if heartbeat.suspects:
            self._on_suspects(heartbeat.suspects)
        if heartbeat.rollouts and self._on_rollouts is not None:
            self._on_rollouts(heartbeat)
        if is_first and self._is_restoring():
            # The peer has started since the store returned from an older copy.
            data = encode_heartbeat(self._make_heartbeat())
            self._datagrams.send(data, heartbeat.sender.peer_address)

    def _is_restoring(self) -> bool:
        return any(watch.is_restoring for watch in self._watches)

    def request_missing_changes(self) -> None:
        """Requests changes that peers have seen and this node lacks.

        A watch that missed a change is restarted as well.
        """
        now_s = read_clock_s()
        peer_versions = self._nodes.newest_changed_versions(now_s)
        pairs = zip(self._watches, peer_versions, strict=False)
        for index, (watch, peer_version) in enumerate(pairs):
            if watch.is_behind(peer_version, now_s):
                watch.restart(peer_version)
                self._request_update(index, now_s)

    def request_restored_objects(self) -> None:
        """Requests objects from peers after the store returned from a copy.

        A node that has started since then requests what running peers kept. A
        node that doesn't call the store itself requests the complete list of a
        peer that has read it again.
        """
        now_s = read_clock_s()
        restoring = self._nodes.find_peer(now_s, is_restoring=True)
        settled = self._nodes.find_peer(now_s, is_restoring=False)
        for index, watch in enumerate(self._watches):
            if (
                restoring is not None
                and index < len(restoring.changed_versions)
                and watch.needs_kept_objects(restoring.changed_versions[index])
            ):
                self._exchange.request_update(
                    restoring.sender.peer_address,
                    index,
                    0,
                    watch.apply_kept_objects,
                )
            elif settled is not None and watch.needs_complete_update:
                self._exchange.request_update(
                    settled.sender.peer_address,
                    index,
                    0,
                    watch.apply_complete_update,
                )

    @property
    def awaits_kept_objects(self) -> bool:
        """Whether a peer may know more than the store does."""
        heartbeat = self._nodes.find_peer(read_clock_s(), is_restoring=True)
        return heartbeat is not None and any(
            watch.needs_kept_objects(peer_version)
            for watch, peer_version in zip(
                self._watches, heartbeat.changed_versions, strict=False
            )
        )

    def send_changes(self) -> None:
        """Sends heartbeats if an object changed since the last ones."""
        versions = tuple(watch.changed_version for watch in self._watches)
        if versions != self._sent_versions:
            self.send_heartbeats()

    def _request_update(self, index: int, now_s: float) -> None:
        since_version = self._watches[index].version or 0
        address = self._nodes.choose_newer_peer(index, since_version, now_s)
        if address is not None:
            self._exchange.request_update(
                address,
                index,
                since_version,
                self._watches[index].apply_peer_update,
            )
