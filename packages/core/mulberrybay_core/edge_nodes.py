"""A node's view of the other nodes that serve callers.

Nodes register in the platform's store, where registrations don't expire, and
send heartbeats to show that they are running. Which nodes are advertised to
callers depends on heartbeats only.
"""

import hashlib
import math
from collections.abc import Iterable
from typing import Final, NamedTuple

from mulberrybay_core.addresses import Address

HEARTBEAT_PERIOD_S: Final = 0.4
# A node counts as unresponsive after this many periods without a heartbeat.
# Heartbeats are datagrams, so some are lost.
MISSED_HEARTBEAT_COUNT: Final = 4
# The maximum rate at which a node sends heartbeats. With many peers, the
# heartbeat period is longer, so that this rate isn't exceeded.
MAX_HEARTBEATS_PER_S: Final = 50.0
# The fraction of a shared limit that only the advertised nodes share.
ADVERTISED_NODES_RATIO: Final = 0.8
# Another node removes the registration of a node that has sent no heartbeat for
# this time.
REMOVAL_DELAY_S: Final = 12.0


class EdgeNodeInfo(NamedTuple):
    """A node's description of itself.

    Attributes:
        name: Unique among the nodes, and unchanged by restarts.
        incarnation: Identifies one start of the node.
        failure_domain: The failure domain in which it runs.
        caller_address: The address to which callers connect.
        peer_address: The address at which it receives heartbeats.
        cpu_cores: The CPU time available to it, in seconds per second.
    """

    name: str
    incarnation: int
    failure_domain: str
    caller_address: Address
    peer_address: Address
    cpu_cores: float = 1.0


class EdgeHeartbeat(NamedTuple):
    """One heartbeat.

    Attributes:
        sender: The node that sends it.
        is_serving: Whether the node may be advertised to callers.
        configuration_revision: The revision of the configuration it uses.
        changed_versions: The store's version at the last change that the node
            received, for each kind of objects. All nodes use the same order of
            kinds.
        attempts_per_s: The rate of attempts that it sends to backend servers.
        store_age_s: The time since the store last answered the node, for the
            kind of objects for which that time is longest.
        is_restoring: Whether the node holds objects that are newer than those
            of the store, which has returned from an older copy.
    """

    sender: EdgeNodeInfo
    is_serving: bool
    configuration_revision: int
    changed_versions: tuple[int, ...] = ()
    attempts_per_s: float = 0.0
    store_age_s: float = math.inf
    is_restoring: bool = False


class _Peer:
    """What this node knows of another node."""

    __slots__ = (
        "heartbeat",
        "info",
        "last_heartbeat_at_s",
        "registered_version",
    )

    def __init__(self, info: EdgeNodeInfo) -> None:
        self.info = info
        self.last_heartbeat_at_s: float | None = None
        self.heartbeat: EdgeHeartbeat | None = None
        self.registered_version = 0


class EdgeNodes:
    """This node and its peers, by name.

    Attributes:
        own_info: The description of this node.
    """

    def __init__(self, own_info: EdgeNodeInfo, now_s: float) -> None:
        self.own_info = own_info
        self._peers: dict[str, _Peer] = {}
        self._started_at_s = now_s
        self._peer_choice_count = own_info.incarnation
        self._store_stale_since_s: float | None = None

    # Registrations.

    def put_registered(self, info: EdgeNodeInfo, version: int) -> None:
        """Records a registration from the store."""
        if info.name == self.own_info.name:
            return
        peer = self._peers.get(info.name)
        if peer is None:
            peer = self._peers[info.name] = _Peer(info)
        if peer.heartbeat is None:
            peer.info = info
        peer.registered_version = version

    def remove_registered(self, name: str) -> None:
        """Records that a registration was removed."""
        peer = self._peers.get(name)
        if peer is None:
            return
        peer.registered_version = 0
        if peer.heartbeat is None:
            del self._peers[name]

    def replace_registered(
        self, registrations: Iterable[tuple[EdgeNodeInfo, int]]
    ) -> None:
        """Replaces all registrations with the complete list from the store."""
        present = set()
        for info, version in registrations:
            present.add(info.name)
            self.put_registered(info, version)
        for name in [*self._peers]:
            if name not in present:
                self.remove_registered(name)

    # Heartbeats.

    def record_heartbeat(self, heartbeat: EdgeHeartbeat, now_s: float) -> bool:
        """Records a heartbeat of another node.

        Returns:
            Whether it is the first one of this incarnation of the node.
        """
        info = heartbeat.sender
        if info.name == self.own_info.name:
            return False
        peer = self._peers.get(info.name)
        if peer is None:
            peer = self._peers[info.name] = _Peer(info)
        is_first = (
            peer.heartbeat is None or peer.info.incarnation != info.incarnation
        )
        peer.info = info
        peer.heartbeat = heartbeat
        peer.last_heartbeat_at_s = now_s
        return is_first

    @property
    def has_heard_peer(self) -> bool:
        """Whether any other node has sent a heartbeat."""
        return any(peer.heartbeat is not None for peer in self._peers.values())

    def find_peer(
        self, now_s: float, *, is_restoring: bool
    ) -> EdgeHeartbeat | None:
        """Returns the heartbeat of a running peer that has read the store.

        Args:
            now_s: The time.
            is_restoring: Whether it may hold objects that the store doesn't.
        """
        for peer in self._peers.values():
            heartbeat = peer.heartbeat
            if (
                heartbeat is not None
                and heartbeat.is_restoring is is_restoring
                and self._is_alive(peer, now_s)
            ):
                return heartbeat
        return None

    def heartbeat_period_s(self) -> float:
        """Returns the period at which heartbeats are sent to each peer."""
        return max(HEARTBEAT_PERIOD_S, len(self._peers) / MAX_HEARTBEATS_PER_S)

    def peer_addresses(self) -> list[Address]:
        """Returns the addresses to which heartbeats are sent."""
        return [peer.info.peer_address for peer in self._peers.values()]

    def _is_alive(self, peer: _Peer, now_s: float) -> bool:
        if peer.last_heartbeat_at_s is None:
            return False
        elapsed_s = now_s - peer.last_heartbeat_at_s
        return elapsed_s < MISSED_HEARTBEAT_COUNT * self.heartbeat_period_s()

    def alive_names(self, now_s: float) -> list[str]:
        """Returns the names of the running nodes, including this one."""
        alive = [
            name
            for name, peer in self._peers.items()
            if self._is_alive(peer, now_s)
        ]
        return [self.own_info.name, *alive]

    def serving(self, now_s: float) -> list[EdgeNodeInfo]:
        """Returns the other nodes that may be advertised to callers."""
        return [
            peer.info
            for peer in self._peers.values()
            if self._is_alive(peer, now_s)
            and peer.heartbeat is not None
            and peer.heartbeat.is_serving
        ]

    def newest_changed_versions(self, now_s: float) -> tuple[int, ...]:
        """Returns the newest version that running peers have, for each kind."""
        peer_versions = [
            peer.heartbeat.changed_versions
            for peer in self._peers.values()
            if peer.heartbeat is not None and self._is_alive(peer, now_s)
        ]
        return tuple(
            max(versions) for versions in zip(*peer_versions, strict=False)
        )

    def choose_newer_peer(
        self, kind_index: int, version: int, now_s: float
    ) -> Address | None:
        """Returns a running peer that has changes of a kind after a version.

        All such peers are chosen in turn, not only those with the newest
        change: these are few, and answering all other nodes at once would fill
        their links. Peers in the failure domain of this node are preferred,
        since traffic between domains costs more.

        Args:
            kind_index: The position of the kind in `changed_versions`.
            version: The version up to which this node has all changes.
            now_s: The time.

        Returns:
            The address of the peer; None if there is none.
        """
        newer_peers = [
            peer.info
            for peer in self._peers.values()
            if peer.heartbeat is not None
            and self._is_alive(peer, now_s)
            and kind_index < len(peer.heartbeat.changed_versions)
            and peer.heartbeat.changed_versions[kind_index] > version
        ]
        own_domain = self.own_info.failure_domain
        in_own_domain = [
            info for info in newer_peers if info.failure_domain == own_domain
        ]
        candidates = in_own_domain or newer_peers
        if not candidates:
            return None
        self._peer_choice_count += 1
        return candidates[
            self._peer_choice_count % len(candidates)
        ].peer_address

    def attempts_per_s(self, now_s: float) -> float:
        """Returns the rate of attempts by the running peers together."""
        return sum(
            peer.heartbeat.attempts_per_s
            for peer in self._peers.values()
            if peer.heartbeat is not None and self._is_alive(peer, now_s)
        )

    # Watching the store.

    def should_watch(self, now_s: float) -> bool:
        """Returns whether this node should watch the store itself.

        With few nodes, each of them watches. With many, those that rank first
        do. The number of watching nodes grows while no peer has a recent
        answer from the store.
        """
        names = sorted(self._expected_names(now_s), key=rank_key)
        if len(names) <= MAX_ALL_WATCHING_COUNT:
            return True
        if self._has_recent_store_answer(now_s):
            self._store_stale_since_s = None
            count = WATCHER_COUNT
        else:
            if self._store_stale_since_s is None:
                self._store_stale_since_s = now_s
            period_count = (
                now_s - self._store_stale_since_s
            ) / WATCHER_INCREASE_PERIOD_S
            count = WATCHER_COUNT * (1 + math.ceil(period_count))
        return names.index(self.own_info.name) < count

    def _expected_names(self, now_s: float) -> list[str]:
        """Returns the names of the nodes that are assumed to run.

        A node that has just started assumes that registered nodes run.
        Otherwise all nodes would watch if all start at the same time.
        """
        names = self.alive_names(now_s)
        if now_s - self._started_at_s < PEER_DISCOVERY_S:
            names += [
                name
                for name, peer in self._peers.items()
                if peer.registered_version > 0
                and peer.last_heartbeat_at_s is None
            ]
        return names

    def _has_recent_store_answer(self, now_s: float) -> bool:
        return any(
            peer.heartbeat.store_age_s + now_s - peer.last_heartbeat_at_s
            < MAX_STORE_AGE_S
            for peer in self._peers.values()
            if peer.heartbeat is not None
            and peer.last_heartbeat_at_s is not None
        )

    # Shares and removals.

    def sharing_count(self, now_s: float) -> int:
        """Returns the number of nodes among which shared limits are divided.

        Registered nodes count even if unresponsive: they may be unreachable
        from this node only and still send requests.
        """
        return 1 + sum(
            peer.registered_version > 0 or self._is_alive(peer, now_s)
            for peer in self._peers.values()
        )

    def share_divisor(
        self, own_is_advertised: bool, advertised_count: int, now_s: float
    ) -> float:
        """Returns the number by which to divide a limit for this node's share.

        Most of the limit is for the advertised nodes. The rest is for all
        nodes, since callers may send requests to any node. While fewer than
        half of all nodes are known to run, a network partition is possible,
        and the nodes on the other side may advertise different nodes. Then
        each node has an equal share.

        Args:
            own_is_advertised: Whether this node is advertised.
            advertised_count: The number of advertised nodes.
            now_s: The time.
        """
        sharing_count = self.sharing_count(now_s)
        if 2 * len(self.alive_names(now_s)) < sharing_count:
            return sharing_count
        share = (1 - ADVERTISED_NODES_RATIO) / sharing_count
        if own_is_advertised:
            share += ADVERTISED_NODES_RATIO / max(1, advertised_count)
        return 1 / share

    def removable_registrations(self, now_s: float) -> list[tuple[str, int]]:
        """Returns the registrations that this node should remove.

        Only one node removes registrations: the first by name of the running
        nodes.

        Returns:
            The names and versions of the registrations.
        """
        if now_s - self._started_at_s < REMOVAL_DELAY_S:
            return []
        if min(self.alive_names(now_s)) != self.own_info.name:
            return []
        return [
            (name, peer.registered_version)
            for name, peer in self._peers.items()
            if peer.registered_version > 0
            and (
                peer.last_heartbeat_at_s is None
                or now_s - peer.last_heartbeat_at_s > REMOVAL_DELAY_S
            )
        ]

    def drop_unresponsive(self, now_s: float) -> None:
        """Drops nodes that are neither registered nor sending heartbeats."""
        for name, peer in [*self._peers.items()]:
            if (
                peer.registered_version == 0
                and peer.last_heartbeat_at_s is not None
                and now_s - peer.last_heartbeat_at_s > REMOVAL_DELAY_S
            ):
                del self._peers[name]


# Up to MAX_ALL_WATCHING_COUNT nodes all watch the store. With more nodes,
# WATCHER_COUNT of them do and send the changes to the others. Calls to the
# store cost money: a few watchers whose calls return soon cost no more than
# many whose calls wait long.
MAX_ALL_WATCHING_COUNT: Final = 12
WATCHER_COUNT: Final = 5
# After this time, a node that has started has received heartbeats from all
# running peers. It is longer than the heartbeat period with 100 nodes.
PEER_DISCOVERY_S: Final = 2.5
# The store answers a working watcher at least once in this time. While it has
# answered none, WATCHER_COUNT more nodes watch with each further period.
MAX_STORE_AGE_S: Final = 4.0
WATCHER_INCREASE_PERIOD_S: Final = 1.0
# An advertised node should send at least this many requests per second to each
# backend server, which keeps its connections open and its estimates up to date.
MIN_ATTEMPTS_PER_SERVER_PER_S: Final = 3.0
# The minimum number of advertised nodes for each failure domain, so that one is
# left if the other fails.
MIN_ADVERTISED_PER_DOMAIN_COUNT: Final = 2


def rank_key(name: str) -> str:
    """Returns a sort key; every node ranks the nodes by it."""
    return hashlib.sha256(name.encode()).hexdigest()


def count_advertised(
    attempts_per_s: float, server_count: int, domain_count: int
) -> int:
    """Returns how many nodes should be advertised to callers.

    Args:
        attempts_per_s: The rate of attempts by all nodes together.
        server_count: The number of backend servers.
        domain_count: The number of failure domains that have nodes.
    """
    count_for_load = attempts_per_s / (
        MIN_ATTEMPTS_PER_SERVER_PER_S * max(1, server_count)
    )
    return max(
        MIN_ADVERTISED_PER_DOMAIN_COUNT * domain_count,
        math.ceil(count_for_load),
    )


def choose_advertised(
    nodes: Iterable[EdgeNodeInfo], count: int
) -> list[EdgeNodeInfo]:
    """Returns the nodes that are advertised to callers.

    They are spread over the failure domains, and nodes with more CPU time are
    preferred. Every node that knows the same nodes makes the same choice. If a
    node joins or leaves, the rest of the choice changes as little as possible.

    Args:
        nodes: The nodes that can serve callers.
        count: The maximum number of nodes to advertise.
    """
    by_domain: dict[str, list[EdgeNodeInfo]] = {}
    ranked = sorted(
        nodes,
        key=lambda node: (-round(node.cpu_cores * 2), rank_key(node.name)),
    )
    for node in ranked:
        by_domain.setdefault(node.failure_domain, []).append(node)
    candidates = [
        (position, domain, node)
        for domain, members in by_domain.items()
        for position, node in enumerate(members)
    ]
    candidates.sort(key=lambda candidate: candidate[:2])
    return [node for _, _, node in candidates[:count]]
