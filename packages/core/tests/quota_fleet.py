"""A fleet of nodes that share quotas, on a clock and links of the test."""

import heapq
import itertools
import random
from collections import Counter, deque
from collections.abc import Callable
from typing import Final, NamedTuple

from mulberrybay_core.edge_nodes import (
    ADVERTISED_NODES_RATIO,
    MAX_ALL_WATCHING_COUNT,
    MAX_HEARTBEATS_PER_S,
    MAX_HUB_PERIOD_S,
    MEMBER_PERIOD_S,
    MISSED_HEARTBEAT_COUNT,
)
from mulberrybay_core.edge_nodes import HEARTBEAT_PERIOD_S as MIN_HUB_PERIOD_S
from mulberrybay_core.tenants.keys import Tenant
from mulberrybay_core.tenants.quotas import (
    Contact,
    NodeQuotas,
    QuotaTerms,
    TenantDemand,
)

TERMS: Final = QuotaTerms(5.0, 0.1, 20.0)
HUB_COUNT: Final = 18
ADVERTISED_COUNT: Final = 10
UPDATE_PERIOD_S: Final = 0.2
# The time from a sudden rise of demand to the next word of it, at least.
TELL_GAP_S: Final = 0.2
LATENCY_S: Final = 0.005


class Runs(NamedTuple):
    """What a fleet did with the requests of one tenant.

    Attributes:
        most_count: The most that ran in any window.
        served_count: The requests that ran.
        refused_count: The requests that were refused.
        refused_below_count: Those of them that were refused while fewer than
            the quota had run in the window before.
    """

    most_count: int
    served_count: int
    refused_count: int
    refused_below_count: int


class SimulatedNode:
    """One node; see `NodeQuotas`."""

    def __init__(self, fleet: "QuotaFleet", number: int) -> None:
        self.fleet = fleet
        self.number = number
        self.name = f"node-{number}"
        self.is_hub = number < fleet.hub_count
        self.told_at_s = -1.0
        self.incarnation = 0
        self.start()

    def start(self) -> None:
        """Starts, or starts again without anything that it knew."""
        self.incarnation += 1
        self.heard_incarnations: dict[int, int] = {}
        self.quotas = NodeQuotas(TERMS)
        self.quotas.set_tenants(self.fleet.tenants, self.fleet.now_s)
        self.heard_at_s: dict[int, float] = {}
        self.update()

    def _period_s(self, *, is_hub: bool) -> float:
        period_s = self.fleet.count / MAX_HEARTBEATS_PER_S
        hub_period_s = min(max(MIN_HUB_PERIOD_S, period_s), MAX_HUB_PERIOD_S)
        return hub_period_s if is_hub else MEMBER_PERIOD_S

    @property
    def period_s(self) -> float:
        """How often it tells the others."""
        return self._period_s(is_hub=self.is_hub)

    def update(self) -> None:
        """Computes its contact, as `FleetSharing` does."""
        fleet = self.fleet
        heard = [self.number]
        for number, at_s in self.heard_at_s.items():
            life_s = MISSED_HEARTBEAT_COUNT * self._period_s(
                is_hub=number < fleet.hub_count
            )
            if fleet.now_s - at_s < life_s:
                heard.append(number)
        hub_ratio = sum(n < fleet.hub_count for n in heard) / fleet.hub_count
        rest = (1 - ADVERTISED_NODES_RATIO) / fleet.count
        share = rest
        if self.number < fleet.advertised_count:
            advertised = sum(n < fleet.advertised_count for n in heard)
            share += ADVERTISED_NODES_RATIO * hub_ratio / advertised
        self.quotas.set_contact(
            Contact(
                ADVERTISED_NODES_RATIO * hub_ratio + rest * len(heard),
                share,
                self.is_hub,
                frozenset(f"node-{n}" for n in heard),
            ),
            fleet.now_s,
        )

    def hear(
        self, number: int, incarnation: int, told: tuple[TenantDemand, ...]
    ) -> None:
        """Handles what another node tells."""
        name = f"node-{number}"
        self.heard_at_s[number] = self.fleet.now_s
        if self.heard_incarnations.get(number) != incarnation:
            self.heard_incarnations[number] = incarnation
            self.quotas.lose(name, self.fleet.now_s)
        self.quotas.merge(name, told)

    def tell(self, *, to_hubs_only: bool) -> None:
        """Sends a heartbeat."""
        fleet = self.fleet
        self.told_at_s = fleet.now_s
        told = self.quotas.tell(fleet.now_s)
        incarnation = self.incarnation
        for node in fleet.nodes:
            if node is self or not (
                node.is_hub or (self.is_hub and not to_hubs_only)
            ):
                continue
            if fleet.is_delivered(self.number, node.number):
                fleet.call_later(
                    LATENCY_S,
                    lambda node=node: node.hear(self.number, incarnation, told),  # type: ignore[misc]
                )

    def submit(self, tenant_name: str) -> bool:
        """Handles a request; returns whether it runs."""
        now_s = self.fleet.now_s
        self.quotas.record_request(tenant_name, now_s)
        if self.quotas.take(tenant_name, now_s):
            return True
        if not self.quotas.is_rise_untold:
            return False
        if now_s - self.told_at_s < TELL_GAP_S:
            return False
        self.fleet.told_at_once_count += 1
        self.tell(to_hubs_only=True)
        return self.quotas.take(tenant_name, now_s)


class QuotaFleet:
    """Nodes that tell each other of their demand.

    Attributes:
        now_s: The time.
        loss_ratio: The ratio of heartbeats that are lost.
        told_at_once_count: The heartbeats that told of a rise of demand.
        limits: The quota of each tenant in a window.
        side_of: Returns the side of a partition that a node is on.
    """

    def __init__(
        self, count: int, tenants: list[Tenant], random_source: random.Random
    ) -> None:
        self.now_s = 100.0
        self.count = count
        is_small = count <= MAX_ALL_WATCHING_COUNT
        self.hub_count = count if is_small else HUB_COUNT
        self.advertised_count = min(count, ADVERTISED_COUNT)
        self.tenants = tenants
        self.random = random_source
        self.loss_ratio = 0.0
        self.told_at_once_count = 0
        self.side_of: Callable[[int], int] = lambda _: 0
        self._events: list[tuple[float, int, Callable[[], None]]] = []
        self._numbers = itertools.count()
        self._runs: dict[str, deque[float]] = {
            tenant.name: deque() for tenant in tenants
        }
        self.served: Counter[str] = Counter()
        self.refused: Counter[str] = Counter()
        self.refused_below: Counter[str] = Counter()
        self.most: Counter[str] = Counter()
        self.limits = {t.name: TERMS.limit_count(t) for t in tenants}
        self.nodes = [SimulatedNode(self, number) for number in range(count)]
        for node in self.nodes:
            self.call_later(self.random.random(), lambda n=node: self._beat(n))  # type: ignore[misc]
            self._update(node)

    def _beat(self, node: SimulatedNode) -> None:
        node.tell(to_hubs_only=False)
        self.call_later(node.period_s, lambda: self._beat(node))

    def _update(self, node: SimulatedNode) -> None:
        node.update()
        self.call_later(UPDATE_PERIOD_S, lambda: self._update(node))

    def is_delivered(self, sender: int, receiver: int) -> bool:
        """Returns whether a heartbeat arrives."""
        return (
            self.side_of(sender) == self.side_of(receiver)
            and self.random.random() >= self.loss_ratio
        )

    def call_later(self, delay_s: float, callback: Callable[[], None]) -> None:
        """Schedules a callback."""
        entry = (self.now_s + delay_s, next(self._numbers), callback)
        heapq.heappush(self._events, entry)

    def advance(self, span_s: float) -> None:
        """Runs what is due within a time."""
        end_s = self.now_s + span_s
        while self._events and self._events[0][0] <= end_s:
            self.now_s, _, callback = heapq.heappop(self._events)
            callback()
        self.now_s = end_s

    def submit(self, number: int, tenant_name: str) -> bool:
        """Sends a request to a node; returns whether it runs."""
        runs = self._runs[tenant_name]
        while runs and runs[0] <= self.now_s - TERMS.window_s:
            runs.popleft()
        if self.nodes[number].submit(tenant_name):
            self.served[tenant_name] += 1
            runs.append(self.now_s)
            self.most[tenant_name] = max(self.most[tenant_name], len(runs))
            return True
        self.refused[tenant_name] += 1
        if len(runs) < self.limits[tenant_name]:
            self.refused_below[tenant_name] += 1
        return False

    def runs(self, tenant_name: str) -> Runs:
        """Returns what was done with the requests of a tenant."""
        return Runs(
            self.most[tenant_name],
            self.served[tenant_name],
            self.refused[tenant_name],
            self.refused_below[tenant_name],
        )

    def assert_in_bounds(self) -> None:
        """Checks that no window had more than the users allow."""
        for tenant in self.tenants:
            bound_count = TERMS.bound_count(self.limits[tenant.name])
            assert self.most[tenant.name] <= bound_count, tenant.name
