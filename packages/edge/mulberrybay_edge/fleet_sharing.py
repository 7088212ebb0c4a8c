"""How the nodes divide callers, limits and the watching of the store."""

from collections.abc import Callable, Sequence
from typing import Final

from mulberrybay_core.edge_nodes import (
    ADVERTISED_NODES_RATIO,
    MAX_ALL_WATCHING_COUNT,
    EdgeNodeInfo,
    EdgeNodes,
    choose_advertised,
    count_advertised,
)
from mulberrybay_core.follow_times import FollowTimes
from mulberrybay_core.request_owner import OwnerCandidates
from mulberrybay_core.server_directory import ServerDirectory
from mulberrybay_core.server_reach import ServerReach
from mulberrybay_core.shared_limits import ColdServerRateLimit, RetryBudget
from mulberrybay_core.smoothed_rate import SmoothedRate
from mulberrybay_core.tenants.quotas import Contact
from mulberrybay_edge.dispatcher import Dispatcher
from mulberrybay_edge.store_watch import (
    SHARED_WATCH_TIMEOUT_S,
    UNBOUNDED_WAIT_S,
    StoreWatch,
)
from mulberrybay_edge.tenant_gate import TenantGate
from mulberrybay_runtime.clock import read_clock_s

# The most nodes that a reply of the directory lists.
MAX_ADVERTISED_COUNT: Final = 64


class FleetSharing:
    """Updates this node's share of the limits and of the watching.

    Every node computes this on its own from what it knows of the others.
    """

    def __init__(
        self,
        nodes: EdgeNodes,
        directory: ServerDirectory,
        dispatcher: Dispatcher,
        retry_budget: RetryBudget,
        cold_limit: ColdServerRateLimit,
        watches: Sequence[StoreWatch],
        is_ready: Callable[[], bool],
        reach: ServerReach,
        follow_times: FollowTimes,
        gate: TenantGate,
    ) -> None:
        self._gate = gate
        self._follow_times = follow_times
        self._nodes = nodes
        self._directory = directory
        self._dispatcher = dispatcher
        self._retry_budget = retry_budget
        self._cold_limit = cold_limit
        self._watches = watches
        self._is_ready = is_ready
        self._reach = reach
        self._attempt_rate = SmoothedRate()
        self._owner_candidates = OwnerCandidates()
        # Whether this node watches the store on behalf of others.
        self.watches_for_others = False
        # The nodes among which callers divide their requests.
        self.advertised_count = 1

    @property
    def attempts_per_s(self) -> float:
        """The smoothed rate of attempts that this node sends."""
        return self._attempt_rate.per_s

    def choose_advertised(self) -> list[EdgeNodeInfo]:
        """Returns the nodes to advertise to callers.

        Those that reach no backend server are left out, unless none does: then
        the servers are at fault, or all nodes are cut off from them.
        """
        now_s = read_clock_s()
        nodes = self._reaching(now_s) or self._serving(now_s)
        count = count_advertised(
            self._nodes.attempts_per_s(now_s) + self.attempts_per_s,
            len(self._directory.server_ids()),
            len({node.failure_domain for node in nodes}),
        )
        count = min(count, MAX_ADVERTISED_COUNT)
        self._nodes.set_advertised_count(count)
        return choose_advertised(nodes, count)

    def _serving(self, now_s: float) -> list[EdgeNodeInfo]:
        own = [self._nodes.own_info] if self._is_ready() else []
        return self._nodes.serving(now_s) + own

    def _reaching(self, now_s: float) -> list[EdgeNodeInfo]:
        """Returns those of the serving nodes that reach backend servers."""
        reaches_any = self._is_ready() and not self._reach.is_lost
        own = [self._nodes.own_info] if reaches_any else []
        return self._nodes.with_servers(now_s) + own

    def choose_owner_candidates(self) -> list[EdgeNodeInfo]:
        """Returns the nodes of which one sends a suspected request for all."""
        now_s = read_clock_s()
        return self._owner_candidates.choose(self._serving(now_s), now_s)

    def update(self) -> None:
        """Adjusts limits and watches to the nodes that are now known."""
        now_s = read_clock_s()
        self._owner_candidates.record_reach(
            [info.name for info in self._serving(now_s)],
            [info.name for info in self._reaching(now_s)],
            now_s,
        )
        self._attempt_rate.update(self._dispatcher.sent_count, now_s)
        self._update_limit_shares(now_s)
        self._update_watching(now_s)

    def _update_limit_shares(self, now_s: float) -> None:
        advertised = self.choose_advertised()
        self.advertised_count = len(advertised)
        is_advertised = self._nodes.own_info in advertised
        # A node that has just started has heard few hubs and uses little of the
        # part for advertised nodes.
        share_divisor = self._nodes.share_divisor(
            is_advertised, len(advertised), now_s
        )
        self._dispatcher.is_advertised = is_advertised
        self._dispatcher.has_relay_target = bool(
            self._reach.is_lost and self._nodes.with_servers(now_s)
        )
        self._retry_budget.share_divisor = share_divisor
        self._dispatcher.share_divisor = share_divisor
        self._directory.limit_share_ratio = (
            1 / share_divisor if self._nodes.has_registrations else 0.0
        )
        self._cold_limit.node_count = self._nodes.sharing_count(now_s)
        self._update_contact(self._directory.limit_share_ratio, now_s)

    def _update_contact(self, own_share: float, now_s: float) -> None:
        """Tells the quotas which part of the fleet this node hears."""
        if self._gate.quotas is None:
            return
        names = self._nodes.alive_names(now_s)
        part = 0.0
        if self._nodes.has_registrations:
            # What the only advertised node would use, and the others' part of
            # the rest.
            part = 1 / self._nodes.share_divisor(True, 1, now_s)
            rest_ratio = (1 - ADVERTISED_NODES_RATIO) * (len(names) - 1)
            part += rest_ratio / self._nodes.sharing_count(now_s)
        is_hub = self._nodes.is_hub(now_s)
        self._gate.set_contact(
            Contact(part, own_share, is_hub, frozenset(names))
        )

    def _update_watching(self, now_s: float) -> None:
        alive_count = len(self._nodes.alive_names(now_s))
        should_watch = self._nodes.should_watch(now_s)
        is_shared = alive_count > MAX_ALL_WATCHING_COUNT
        self.watches_for_others = should_watch and is_shared
        max_wait_s, bound_wait_s = UNBOUNDED_WAIT_S, self._follow_times.wait_s
        if is_shared:
            max_wait_s = SHARED_WATCH_TIMEOUT_S
            bound_wait_s = min(max_wait_s, self._follow_times.shared_wait_s)
        for index, watch in enumerate(self._watches):
            watch.serves_others = should_watch and self._nodes.is_shared(now_s)
            watch.timeout_s = bound_wait_s if watch.has_bound else max_wait_s
            watch.patience_s = self._follow_times.patience_s
            watch.set_paused(not should_watch or self._must_wait(index, now_s))

    def _must_wait(self, index: int, now_s: float) -> bool:
        """Whether a watch waits until the first one has had an answer.

        That is so while many nodes call the store because none of those that
        do so for all has had an answer.
        """
        return (
            index > 0
            and self._nodes.is_standing_in
            and self._watches[0].age_s(now_s)
            > self._follow_times.max_peer_age_s
        )
