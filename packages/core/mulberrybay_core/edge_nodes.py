"""A node's view of the other nodes that serve callers.

Nodes register in the platform's store, where registrations don't expire, and
send heartbeats to show that they are running. Which nodes are advertised to
callers depends on heartbeats only.

In each failure domain, the nodes that rank first are hubs. They send heartbeats
to all nodes, so that each node closely follows those that it may advertise. The
others send theirs only to hubs. A node is a hub if it hears too few of the nodes
that rank before it, so hubs that fail are replaced without an agreement.
"""

import functools
import hashlib
import itertools
import math
from collections.abc import Iterable
from typing import Final, NamedTuple

from mulberrybay_core.addresses import Address
from mulberrybay_core.fatal_requests import SuspectReport
from mulberrybay_core.follow_times import DEFAULT_FOLLOW_TIMES
from mulberrybay_core.rollouts import RolloutCounts
from mulberrybay_core.tenants.quotas import TenantDemand

HEARTBEAT_PERIOD_S: Final = 0.4
# A node counts as unresponsive after this many periods without a heartbeat.
# Heartbeats are datagrams, so some are lost.
MISSED_HEARTBEAT_COUNT: Final = 4
# The rate at which a hub sends heartbeats. With many peers, the period is longer,
# so that this rate isn't exceeded, up to the longest period.
MAX_HEARTBEATS_PER_S: Final = 100.0
# An advertised node that fails is noticed within four periods.
MAX_HUB_PERIOD_S: Final = 1.5
# The period at which other nodes send heartbeats to each hub.
MEMBER_PERIOD_S: Final = 2.0
# The minimum number of hubs in each failure domain. It is larger than that of
# advertised nodes, so that a failure leaves known nodes to advertise.
MIN_HUBS_PER_DOMAIN_COUNT: Final = 4
# The number of hubs in each failure domain beyond those that are advertised.
SPARE_HUBS_PER_DOMAIN_COUNT: Final = 2
# The fraction of a shared limit that only the advertised nodes share.
ADVERTISED_NODES_RATIO: Final = 0.8
# Another node removes the registration of a node that has sent no heartbeat for
# this time.
REMOVAL_DELAY_S: Final = 15.0


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
        is_hub: Whether the node sends heartbeats to all nodes.
        lacks_servers: Whether the node reaches no backend server.
        suspects: Requests under which backend servers have crashed.
        rollouts: What the node has counted of rollouts.
        tenants: The demand of the tenants that use most of their quota.
    """

    sender: EdgeNodeInfo
    is_serving: bool
    configuration_revision: int
    changed_versions: tuple[int, ...] = ()
    attempts_per_s: float = 0.0
    store_age_s: float = math.inf
    is_restoring: bool = False
    is_hub: bool = False
    lacks_servers: bool = False
    suspects: tuple[SuspectReport, ...] = ()
    rollouts: tuple[RolloutCounts, ...] = ()
    tenants: tuple[TenantDemand, ...] = ()


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
        hubs_per_domain_count: The number of hubs in each failure domain.
        has_registrations: Whether the registered nodes are known.
        is_standing_in: Whether this node watches the store because no node that
            should has had an answer lately.
    """

    def __init__(
        self,
        own_info: EdgeNodeInfo,
        now_s: float,
        max_store_age_s: float = DEFAULT_FOLLOW_TIMES.max_peer_age_s,
    ) -> None:
        self._max_store_age_s = max_store_age_s
        self.is_standing_in = False
        self.own_info = own_info
        self.hubs_per_domain_count = MIN_HUBS_PER_DOMAIN_COUNT
        self.has_registrations = False
        self._hub_since_s: float | None = None
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
        self.has_registrations = True
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

    def _hub_period_s(self) -> float:
        period_s = len(self._peers) / MAX_HEARTBEATS_PER_S
        return min(max(HEARTBEAT_PERIOD_S, period_s), MAX_HUB_PERIOD_S)

    def heartbeat_period_s(self, now_s: float) -> float:
        """Returns the period at which this node sends heartbeats."""
        return self._hub_period_s() if self.is_hub(now_s) else MEMBER_PERIOD_S

    def heartbeat_addresses(self, now_s: float) -> list[Address]:
        """Returns the addresses to which this node sends heartbeats."""
        if not self.is_hub(now_s):
            return self.hub_addresses(now_s)
        return [peer.info.peer_address for peer in self._peers.values()]

    def hub_addresses(self, now_s: float) -> list[Address]:
        """Returns the addresses of the other nodes that hear all nodes."""
        hub_names = {info.name for info in self._expected_hubs(now_s)}
        return [
            peer.info.peer_address
            for name, peer in self._peers.items()
            if name in hub_names or self._is_heard_hub(peer, now_s)
        ]

    def _is_alive(self, peer: _Peer, now_s: float) -> bool:
        if peer.last_heartbeat_at_s is None or peer.heartbeat is None:
            return False
        is_hub = peer.heartbeat.is_hub or self._is_small()
        period_s = self._hub_period_s() if is_hub else MEMBER_PERIOD_S
        elapsed_s = now_s - peer.last_heartbeat_at_s
        return elapsed_s < MISSED_HEARTBEAT_COUNT * period_s

    def is_running(self, name: str, now_s: float) -> bool:
        """Whether another node has lately sent heartbeats."""
        peer = self._peers.get(name)
        return peer is not None and self._is_alive(peer, now_s)

    # Hubs.

    def _is_small(self) -> bool:
        """Whether there are so few nodes that all are hubs."""
        return len(self._peers) < MAX_ALL_WATCHING_COUNT

    def _is_heard_hub(self, peer: _Peer, now_s: float) -> bool:
        return (
            peer.heartbeat is not None
            and peer.heartbeat.is_hub
            and self._is_alive(peer, now_s)
        )

    def _is_expected(self, peer: _Peer, now_s: float) -> bool:
        """Whether a peer is assumed to run.

        A node that has just started assumes that registered nodes run.
        Otherwise all nodes would be hubs if all start at the same time.
        """
        return self._is_alive(peer, now_s) or (
            now_s - self._started_at_s < PEER_DISCOVERY_S
            and peer.registered_version > 0
            and peer.last_heartbeat_at_s is None
        )

    def _expected_hubs(self, now_s: float) -> list[EdgeNodeInfo]:
        """Returns the nodes that should be hubs, of those assumed to run."""
        expected = [self.own_info]
        expected += [
            peer.info
            for peer in self._peers.values()
            if self._is_expected(peer, now_s)
        ]
        return self._first_of_domains(expected)

    def _first_of_domains(
        self, infos: Iterable[EdgeNodeInfo]
    ) -> list[EdgeNodeInfo]:
        if self._is_small():
            return [*infos]
        return [
            info
            for members in rank_by_domain(infos).values()
            for info in members[: self.hubs_per_domain_count]
        ]

    def set_advertised_count(self, count: int) -> None:
        """Sets the number of hubs by that of the advertised nodes."""
        infos = [peer.info for peer in self._peers.values()]
        domains = {info.failure_domain for info in [self.own_info, *infos]}
        self.hubs_per_domain_count = max(
            MIN_HUBS_PER_DOMAIN_COUNT,
            math.ceil(count / len(domains)) + SPARE_HUBS_PER_DOMAIN_COUNT,
        )

    @property
    def was_hub(self) -> bool:
        """Whether this node was a hub when that was last checked."""
        return self._hub_since_s is not None

    def is_hub(self, now_s: float) -> bool:
        """Whether this node sends heartbeats to all nodes."""
        is_hub = self._is_small() or self.own_info in self._expected_hubs(now_s)
        if not is_hub:
            self._hub_since_s = None
        elif self._hub_since_s is None:
            self._hub_since_s = now_s
        return is_hub

    def _running_hub_ratio(self, now_s: float) -> float:
        """Returns the ratio of the nodes that should be hubs and run."""
        known = [self.own_info]
        known += [
            peer.info
            for peer in self._peers.values()
            if peer.registered_version > 0 or self._is_alive(peer, now_s)
        ]
        hubs = self._first_of_domains(known)
        alive = {*self.alive_names(now_s)}
        return sum(info.name in alive for info in hubs) / len(hubs)

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

    def with_servers(self, now_s: float) -> list[EdgeNodeInfo]:
        """Returns the other nodes that serve and reach backend servers."""
        return [
            info
            for info in self.serving(now_s)
            if not self._lacks_servers(info.name)
        ]

    def some_lack_servers(self, now_s: float) -> bool:
        """Whether a serving node hands its requests to others."""
        return any(
            self._lacks_servers(info.name) for info in self.serving(now_s)
        )

    def _lacks_servers(self, name: str) -> bool:
        heartbeat = self._peers[name].heartbeat
        return heartbeat is not None and heartbeat.lacks_servers

    def choose_relay(
        self,
        configuration_revision: int,
        excluded_names: set[str],
        now_s: float,
    ) -> EdgeNodeInfo | None:
        """Returns a node to which requests can be handed; None without one.

        Nodes in the failure domain of this node are preferred. Nodes with an
        older configuration than this node's are left out: its callers may rely
        on the newer one already.
        """
        candidates = [
            info
            for info in self.with_servers(now_s)
            if info.name not in excluded_names
            and self.has_configuration(info.name, configuration_revision)
        ]
        return self._choose_in_turn(candidates)

    def has_configuration(self, name: str, revision: int) -> bool:
        """Whether another node has a configuration or a newer one."""
        return name in self._peers and self._revision(name) >= revision

    def _choose_in_turn(
        self, candidates: list[EdgeNodeInfo]
    ) -> EdgeNodeInfo | None:
        """Returns the next of the nodes, of this node's domain if possible.

        Traffic between failure domains costs more.
        """
        own_domain = self.own_info.failure_domain
        in_own_domain = [
            info for info in candidates if info.failure_domain == own_domain
        ]
        candidates = in_own_domain or candidates
        if not candidates:
            return None
        self._peer_choice_count += 1
        return candidates[self._peer_choice_count % len(candidates)]

    def _revision(self, name: str) -> int:
        heartbeat = self._peers[name].heartbeat
        return heartbeat.configuration_revision if heartbeat else 0

    def newest_changed_versions(self, now_s: float) -> tuple[int, ...]:
        """Returns the newest version that running peers have, for each kind."""
        peer_versions = [
            peer.heartbeat.changed_versions
            for peer in self._peers.values()
            if peer.heartbeat is not None and self._is_alive(peer, now_s)
        ]
        return tuple(
            max(versions)
            for versions in itertools.zip_longest(*peer_versions, fillvalue=0)
        )

    def all_have_changes(
        self, kind_index: int, version: int, now_s: float
    ) -> bool:
        """Returns whether all running peers know the changes up to a version.

        Args:
            kind_index: The position of the kind in `changed_versions`.
            version: The version of the last change of the kind.
            now_s: The time.
        """
        return all(
            peer.heartbeat is not None
            and kind_index < len(peer.heartbeat.changed_versions)
            and peer.heartbeat.changed_versions[kind_index] >= version
            for peer in self._peers.values()
            if self._is_alive(peer, now_s)
        )

    def choose_newer_peer(
        self, kind_index: int, version: int, now_s: float
    ) -> Address | None:
        """Returns a running peer that has changes of a kind after a version.

        All such peers are chosen in turn, not only those with the newest
        change: these are few, and answering all other nodes at once would fill
        their links. Peers in the failure domain of this node are preferred.

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
        chosen = self._choose_in_turn(newer_peers)
        return None if chosen is None else chosen.peer_address

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

        With few nodes, each of them watches. With many, those hubs do that rank
        first. The others stand in, one after the other within a short time, while
        no peer has a recent answer from the store: each node then relies on its
        own calls, since it may be the only one that reaches the store.
        """
        self.is_standing_in = False
        if not self.is_shared(now_s):
            return True
        hub_names = {info.name for info in self._expected_hubs(now_s)}
        names = sorted(
            {self.own_info.name, *hub_names, *self._known_names(now_s)},
            key=lambda name: (name not in hub_names, rank_key(name)),
        )
        rank = names.index(self.own_info.name)
        if self._has_recent_store_answer(now_s):
            self._store_stale_since_s = None
            return rank < WATCHER_COUNT
        if self._store_stale_since_s is None:
            self._store_stale_since_s = now_s
        if rank < WATCHER_COUNT:
            return True
        delay_s = STAND_IN_SPREAD_S * rank / len(names)
        self.is_standing_in = now_s - self._store_stale_since_s >= delay_s
        return self.is_standing_in

    def is_shared(self, now_s: float) -> bool:
        """Whether only some of the nodes watch the store, for all."""
        return self.sharing_count(now_s) > MAX_ALL_WATCHING_COUNT

    def _known_names(self, now_s: float) -> list[str]:
        return [
            name
            for name, peer in self._peers.items()
            if peer.registered_version > 0 or self._is_alive(peer, now_s)
        ]

    def _has_recent_store_answer(self, now_s: float) -> bool:
        return any(
            self._store_age_s(peer, now_s) < self._max_store_age_s
            for peer in self._peers.values()
        )

    def _store_age_s(self, peer: _Peer, now_s: float) -> float:
        """Returns how long ago the store has answered a peer, as it told."""
        if peer.heartbeat is None or peer.last_heartbeat_at_s is None:
            return math.inf
        return peer.heartbeat.store_age_s + now_s - peer.last_heartbeat_at_s

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
        nodes, since callers may send requests to any node. Nodes that are cut
        off may advertise others, so of the part for advertised nodes only as
        much is used as hubs are known to run: the nodes on all sides of a
        partition together stay within the limit.

        Args:
            own_is_advertised: Whether this node is advertised.
            advertised_count: The number of advertised nodes.
            now_s: The time.
        """
        share = (1 - ADVERTISED_NODES_RATIO) / self.sharing_count(now_s)
        if own_is_advertised:
            share += (
                ADVERTISED_NODES_RATIO
                * self._running_hub_ratio(now_s)
                / max(1, advertised_count)
            )
        return 1 / share

    def _has_been_hub(self, min_hub_s: float, now_s: float) -> bool:
        """Whether this node has been a hub for long enough to hear all nodes."""
        return (
            self.is_hub(now_s)
            and self._hub_since_s is not None
            and now_s - max(self._hub_since_s, self._started_at_s) >= min_hub_s
        )

    def writes_for_all(
        self,
        min_hub_s: float,
        own_store_age_s: float,
        max_store_age_s: float,
        now_s: float,
    ) -> bool:
        """Returns whether this node writes what all nodes have found.

        That is the first by name of the running hubs that reach the store, or
        of all of them if none does.

        Args:
            min_hub_s: How long it must have been a hub.
            own_store_age_s: How long ago the store has answered this node.
            max_store_age_s: How long ago it has answered a node that reaches
                it, at most.
            now_s: The time.
        """
        if not self._has_been_hub(min_hub_s, now_s):
            return False
        hub_names = {info.name for info in self._expected_hubs(now_s)}
        reaching_names = {
            name
            for name in hub_names & self._peers.keys()
            if self._store_age_s(self._peers[name], now_s) < max_store_age_s
        }
        if own_store_age_s < max_store_age_s:
            reaching_names.add(self.own_info.name)
        return min(reaching_names or hub_names) == self.own_info.name

    def removable_registrations(self, now_s: float) -> list[tuple[str, int]]:
        """Returns the registrations that this node should remove.

        Only one node removes registrations: the first by name of the running
        hubs, once it has been one for long enough to hear all nodes.

        Returns:
            The names and versions of the registrations.
        """
        if not self._has_been_hub(REMOVAL_DELAY_S, now_s):
            return []
        hub_names = [info.name for info in self._expected_hubs(now_s)]
        if min(hub_names) != self.own_info.name:
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
# running hubs.
PEER_DISCOVERY_S: Final = 2.5
# While the store answers none of the watchers, all other nodes begin to watch
# within this time.
STAND_IN_SPREAD_S: Final = 0.6
# An advertised node should send at least this many requests per second to each
# backend server, which keeps its connections open and its estimates up to date.
MIN_ATTEMPTS_PER_SERVER_PER_S: Final = 3.0
# The minimum number of advertised nodes for each failure domain, so that one is
# left if the other fails.
MIN_ADVERTISED_PER_DOMAIN_COUNT: Final = 2


@functools.lru_cache(maxsize=16384)
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


def rank_by_domain(
    nodes: Iterable[EdgeNodeInfo],
) -> dict[str, list[EdgeNodeInfo]]:
    """Returns the nodes of each failure domain, those to prefer first."""
    by_domain: dict[str, list[EdgeNodeInfo]] = {}
    ranked = sorted(
        nodes,
        key=lambda node: (-round(node.cpu_cores * 2), rank_key(node.name)),
    )
    for node in ranked:
        by_domain.setdefault(node.failure_domain, []).append(node)
    return by_domain


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
    candidates = [
        (position, domain, node)
        for domain, members in rank_by_domain(nodes).items()
        for position, node in enumerate(members)
    ]
    candidates.sort(key=lambda candidate: candidate[:2])
    return [node for _, _, node in candidates[:count]]
