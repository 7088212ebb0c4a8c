"""The nodes that serve callers, as one of them sees the others.

A node registers in the platform's store, where nothing expires, and proves
that it runs by heartbeats. What callers are told depends on heartbeats only.
"""

import random
from collections.abc import Iterable
from typing import Final, NamedTuple

from mulberrybay_core.addresses import Address

HEARTBEAT_PERIOD_S: Final = 0.4
# So many heartbeats may be lost in a row, as datagrams are now and then.
SILENT_PERIOD_COUNT: Final = 4
# A node sends at most so many heartbeats a second; with more peers than that
# the period grows.
MAX_HEARTBEATS_PER_S: Final = 50.0
# A registration whose node was silent for so long is removed by a survivor.
REMOVAL_AFTER_S: Final = 12.0


class EdgeNodeInfo(NamedTuple):
    """What a node says of itself.

    Attributes:
        name: Unique among the nodes, and kept over restarts.
        incarnation: Differs for each start of the node.
        failure_domain: Where it runs.
        caller_address: Where callers connect.
        peer_address: Where it takes heartbeats.
    """

    name: str
    incarnation: int
    failure_domain: str
    caller_address: Address
    peer_address: Address


class EdgeHeartbeat(NamedTuple):
    """One heartbeat.

    Attributes:
        sender: The node.
        is_serving: Whether callers should be sent to it.
        configuration_revision: The configuration that it follows.
        changed_versions: The store's version at the last change that it saw,
            for each kind of objects, in an order that all nodes share.
    """

    sender: EdgeNodeInfo
    is_serving: bool
    configuration_revision: int
    changed_versions: tuple[int, ...] = ()


class _Peer:
    """What is known of another node."""

    __slots__ = ("heard_at_s", "heartbeat", "info", "registered_version")

    def __init__(self, info: EdgeNodeInfo) -> None:
        self.info = info
        self.heard_at_s: float | None = None
        self.heartbeat: EdgeHeartbeat | None = None
        self.registered_version = 0


class EdgeNodes:
    """All nodes, by name."""

    def __init__(self, own: EdgeNodeInfo, now_s: float) -> None:
        self.own = own
        self._peers: dict[str, _Peer] = {}
        self._started_at_s = now_s
        self._ask_count = own.incarnation

    # Registrations.

    def put_registered(self, info: EdgeNodeInfo, version: int) -> None:
        """Takes a registration from the store."""
        if info.name == self.own.name:
            return
        peer = self._peers.get(info.name)
        if peer is None:
            peer = self._peers[info.name] = _Peer(info)
        if peer.heartbeat is None:
            peer.info = info
        peer.registered_version = version

    def remove_registered(self, name: str) -> None:
        """Notes that a registration was removed."""
        peer = self._peers.get(name)
        if peer is None:
            return
        peer.registered_version = 0
        if peer.heartbeat is None:
            del self._peers[name]

    def replace_registered(
        self, registrations: Iterable[tuple[EdgeNodeInfo, int]]
    ) -> None:
        """Takes the complete list of registrations."""
        present = set()
        for info, version in registrations:
            present.add(info.name)
            self.put_registered(info, version)
        for name in [*self._peers]:
            if name not in present:
                self.remove_registered(name)

    # Heartbeats.

    def note_heartbeat(self, heartbeat: EdgeHeartbeat, now_s: float) -> None:
        """Takes a heartbeat of another node."""
        info = heartbeat.sender
        if info.name == self.own.name:
            return
        peer = self._peers.get(info.name)
        if peer is None:
            peer = self._peers[info.name] = _Peer(info)
        peer.info = info
        peer.heartbeat = heartbeat
        peer.heard_at_s = now_s

    def heartbeat_period_s(self) -> float:
        """Returns how often each peer gets a heartbeat."""
        return max(HEARTBEAT_PERIOD_S, len(self._peers) / MAX_HEARTBEATS_PER_S)

    def peer_addresses(self) -> list[Address]:
        """Returns where heartbeats go."""
        return [peer.info.peer_address for peer in self._peers.values()]

    def _is_alive(self, peer: _Peer, now_s: float) -> bool:
        if peer.heard_at_s is None:
            return False
        silent_s = now_s - peer.heard_at_s
        return silent_s < SILENT_PERIOD_COUNT * self.heartbeat_period_s()

    def alive_names(self, now_s: float) -> list[str]:
        """Returns the nodes that run, this one included."""
        alive = [
            name
            for name, peer in self._peers.items()
            if self._is_alive(peer, now_s)
        ]
        return [self.own.name, *alive]

    def serving(self, now_s: float) -> list[EdgeNodeInfo]:
        """Returns the other nodes that callers may be sent to."""
        return [
            peer.info
            for peer in self._peers.values()
            if self._is_alive(peer, now_s)
            and peer.heartbeat is not None
            and peer.heartbeat.is_serving
        ]

    def highest_changed(self, now_s: float) -> tuple[int, ...]:
        """Returns the newest change that any running peer saw, by kind."""
        known = [
            peer.heartbeat.changed_versions
            for peer in self._peers.values()
            if peer.heartbeat is not None and self._is_alive(peer, now_s)
        ]
        return tuple(max(versions) for versions in zip(*known, strict=False))

    def best_informed(self, kind_index: int, now_s: float) -> Address | None:
        """Returns the running peer that saw the newest change of a kind."""
        informed = [
            (peer.heartbeat.changed_versions[kind_index], peer)
            for peer in self._peers.values()
            if peer.heartbeat is not None
            and self._is_alive(peer, now_s)
            and kind_index < len(peer.heartbeat.changed_versions)
        ]
        if not informed:
            return None
        newest = max(version for version, _ in informed)
        # Peers that are as well informed are asked in turn.
        peers = [peer for version, peer in informed if version == newest]
        self._ask_count += 1
        return peers[self._ask_count % len(peers)].info.peer_address

    # Shares and removals.

    def sharing_count(self, now_s: float) -> int:
        """Returns among how many nodes shared limits are divided.

        Registered nodes that are silent count too: they may be cut off from
        this node alone and send all the same.
        """
        return 1 + sum(
            peer.registered_version > 0 or self._is_alive(peer, now_s)
            for peer in self._peers.values()
        )

    def removable(self, now_s: float) -> list[tuple[str, int]]:
        """Returns registrations that this node should remove.

        One survivor removes them: the first by name of those that run.

        Returns:
            Names and versions.
        """
        if now_s - self._started_at_s < REMOVAL_AFTER_S:
            return []
        if min(self.alive_names(now_s)) != self.own.name:
            return []
        return [
            (name, peer.registered_version)
            for name, peer in self._peers.items()
            if peer.registered_version > 0
            and (
                peer.heard_at_s is None
                or now_s - peer.heard_at_s > REMOVAL_AFTER_S
            )
        ]

    def forget_silent(self, now_s: float) -> None:
        """Drops nodes that are neither registered nor heard of."""
        for name, peer in [*self._peers.items()]:
            if (
                peer.registered_version == 0
                and peer.heard_at_s is not None
                and now_s - peer.heard_at_s > REMOVAL_AFTER_S
            ):
                del self._peers[name]


def choose_named(
    nodes: list[EdgeNodeInfo], count: int, random_source: random.Random
) -> list[EdgeNodeInfo]:
    """Returns the nodes that callers are told of, in random order.

    Args:
        nodes: The nodes that serve.
        count: How many are told at most.
        random_source: Spreads callers where there are more.
    """
    named = random_source.sample(nodes, len(nodes))
    return named[:count]
