"""The nodes that serve callers, as one of them sees the others.

A node registers in the platform's store, where nothing expires, and proves
that it runs by heartbeats. What callers are told depends on heartbeats only.
"""

import hashlib
import math
from collections.abc import Iterable
from typing import Final, NamedTuple

from mulberrybay_core.addresses import Address

HEARTBEAT_PERIOD_S: Final = 0.4
# So many heartbeats may be lost in a row, as datagrams are now and then.
SILENT_PERIOD_COUNT: Final = 4
# A node sends at most so many heartbeats a second; with more peers than that
# the period grows.
MAX_HEARTBEATS_PER_S: Final = 50.0
# What of a shared limit is for the nodes that callers are told of.
NAMED_PART: Final = 0.8
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
        cpu_cores: The processor time that it gets each second.
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
        sender: The node.
        is_serving: Whether callers should be sent to it.
        configuration_revision: The configuration that it follows.
        changed_versions: The store's version at the last change that it saw,
            for each kind of objects, in an order that all nodes share.
        attempts_per_s: What it sends to backend servers.
        store_age_s: How long the store has not answered it, for the kind for
            which that is longest.
    """

    sender: EdgeNodeInfo
    is_serving: bool
    configuration_revision: int
    changed_versions: tuple[int, ...] = ()
    attempts_per_s: float = 0.0
    store_age_s: float = math.inf


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
        self._uncovered_since_s: float | None = None

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

    def better_informed(
        self, kind_index: int, version: int, now_s: float
    ) -> Address | None:
        """Returns a running peer that saw changes of a kind after a version.

        Each such peer is asked in turn, not only those that saw the newest:
        they are few, and answers to all others at once would fill their
        links. Peers of this failure domain come first, since bytes between
        domains cost more.
        """
        informed = [
            peer.info
            for peer in self._peers.values()
            if peer.heartbeat is not None
            and self._is_alive(peer, now_s)
            and kind_index < len(peer.heartbeat.changed_versions)
            and peer.heartbeat.changed_versions[kind_index] > version
        ]
        own_domain = self.own.failure_domain
        near = [info for info in informed if info.failure_domain == own_domain]
        candidates = near or informed
        if not candidates:
            return None
        self._ask_count += 1
        return candidates[self._ask_count % len(candidates)].peer_address

    def attempts_per_s(self, now_s: float) -> float:
        """Returns what the running peers send to backend servers."""
        return sum(
            peer.heartbeat.attempts_per_s
            for peer in self._peers.values()
            if peer.heartbeat is not None and self._is_alive(peer, now_s)
        )

    # Who watches the store.

    def should_watch(self, now_s: float) -> bool:
        """Whether this node follows the store itself.

        With few nodes each does. With many, the first by rank do, and more
        while the store answers none of the running peers.
        """
        names = sorted(self._expected_names(now_s), key=rank)
        if len(names) <= ALL_WATCH_COUNT:
            return True
        if self._is_covered(now_s):
            self._uncovered_since_s = None
            count = WATCHER_COUNT
        else:
            if self._uncovered_since_s is None:
                self._uncovered_since_s = now_s
            periods = (now_s - self._uncovered_since_s) / MORE_WATCHERS_PERIOD_S
            count = WATCHER_COUNT * (1 + math.ceil(periods))
        return names.index(self.own.name) < count

    def _expected_names(self, now_s: float) -> list[str]:
        """Returns the nodes that run, as far as can be known so far.

        A node that has just started takes registered ones for running, or all
        would watch when all start.
        """
        names = self.alive_names(now_s)
        if now_s - self._started_at_s < FIRST_HEARTBEATS_S:
            names += [
                name
                for name, peer in self._peers.items()
                if peer.registered_version > 0 and peer.heard_at_s is None
            ]
        return names

    def _is_covered(self, now_s: float) -> bool:
        return any(
            peer.heartbeat.store_age_s + now_s - peer.heard_at_s
            < WATCHER_FRESH_S
            for peer in self._peers.values()
            if peer.heartbeat is not None and peer.heard_at_s is not None
        )

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

    def divisor(
        self, own_is_named: bool, named_count: int, now_s: float
    ) -> float:
        """Returns by what this node divides a limit that all nodes share.

        Most of it is for the nodes that callers are told of; the rest is for
        all, since any node may be asked. While this node hears of less than
        half of the others, another part of them may go on without it: then
        all have equal parts.

        Args:
            own_is_named: Whether callers are told of this node.
            named_count: How many nodes they are told of.
            now_s: The time.
        """
        sharing_count = self.sharing_count(now_s)
        if 2 * len(self.alive_names(now_s)) < sharing_count:
            return sharing_count
        part = (1 - NAMED_PART) / sharing_count
        if own_is_named:
            part += NAMED_PART / max(1, named_count)
        return 1 / part

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


# Up to so many nodes all watch the store; with more, this many do and tell
# the others. Calls are priced, and a few that answer soon cost no more than
# many that wait long.
ALL_WATCH_COUNT: Final = 12
WATCHER_COUNT: Final = 5
# By then a node that has started has heard of the peers that run: longer than
# the period of heartbeats with 100 nodes.
FIRST_HEARTBEATS_S: Final = 2.5
# The store answers a watcher at least this often; with none that it has
# answered, more nodes watch, as many again with each further period.
WATCHER_FRESH_S: Final = 4.0
MORE_WATCHERS_PERIOD_S: Final = 1.0
# A node that callers are told of sends each backend server so many requests
# a second, so that its connections stay open and its estimates fresh.
MIN_ATTEMPTS_PER_SERVER_PER_S: Final = 3.0
# Callers are told of so many nodes in each failure domain at least, so that
# the loss of one leaves one.
MIN_NAMED_PER_DOMAIN: Final = 2


def rank(name: str) -> str:
    """Returns a key by which nodes are ranked, alike at every node."""
    return hashlib.sha256(name.encode()).hexdigest()


def count_named(
    attempts_per_s: float, server_count: int, domain_count: int
) -> int:
    """Returns how many nodes callers should be told of.

    Args:
        attempts_per_s: What all nodes send to backend servers.
        server_count: The backend servers that they send to.
        domain_count: The failure domains that have nodes.
    """
    by_load = attempts_per_s / (
        MIN_ATTEMPTS_PER_SERVER_PER_S * max(1, server_count)
    )
    return max(MIN_NAMED_PER_DOMAIN * domain_count, math.ceil(by_load))


def choose_named(
    nodes: Iterable[EdgeNodeInfo], count: int
) -> list[EdgeNodeInfo]:
    """Returns the nodes that callers are told of.

    Spread over failure domains, those with more processor time first, and
    alike at every node that knows the same nodes: one that comes or goes
    changes the others as little as can be.

    Args:
        nodes: The nodes that serve.
        count: How many are told of.
    """
    by_domain: dict[str, list[EdgeNodeInfo]] = {}
    ranked = sorted(
        nodes,
        key=lambda node: (-round(node.cpu_cores * 2), rank(node.name)),
    )
    for node in ranked:
        by_domain.setdefault(node.failure_domain, []).append(node)
    turns = [
        (position, domain, node)
        for domain, members in by_domain.items()
        for position, node in enumerate(members)
    ]
    turns.sort(key=lambda turn: turn[:2])
    return [node for _, _, node in turns[:count]]
