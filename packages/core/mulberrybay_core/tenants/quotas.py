"""This node's part of the quota of each tenant, which all nodes share.

A quota allows a number of requests in any window. A node admits a request in one of
two ways:

- It has a bucket of tokens, which fills at a part of the rate that the quota makes.
  The parts follow the demand, which nodes tell each other: below the quota each node
  has its own demand and a part of what is left, above it a part in proportion to its
  demand. What counts as its own demand is what it has told the others, so that they
  have given way by the time that it uses it.
- If the requests that all nodes have told and its own leave room in the window, it
  may use its fixed share of the room, and as much again each time that it has told
  the others. The bucket then goes into debt.

Buckets start nearly empty, and a node that has just started doesn't count on room in
a window that it hasn't seen, so nodes that restart together keep to the quota. A node
that hears only some of the others uses that part of the rate and of the room.
"""

import hashlib
import math
from collections.abc import Collection, Iterable, Sequence
from typing import Final, NamedTuple

from mulberrybay_core.tenants.keys import Tenant
from mulberrybay_core.tenants.recent_requests import Demand, WindowCount

# The most tenants told in one heartbeat.
MAX_TOLD_COUNT: Final = 16
# Of the quota, above which the rate of all nodes is planned: one that is planned
# at the quota itself refuses requests below it, as no node uses its part exactly.
PLANNED_RATIO: Final = 1.05
# Of the excess and the slack that are left, the part that buckets hold. The rest is
# for nodes whose views differ while a heartbeat is on its way.
DEPTH_RATIO: Final = 0.25
# A bucket is as deep as that part times the larger of the node's part of the rate
# and this multiple of its fixed share.
DEPTH_SHARE_FACTOR: Final = 2.0
MIN_DEPTH_COUNT: Final = 2.0
# What a node that has just started assumes to have saved.
FIRST_TOKEN_COUNT: Final = 1.0
# A tenant is told to others from this many requests in a window on.
MIN_TOLD_PER_WINDOW_COUNT: Final = 1.0
# A tenant that nobody tells of may use this many in a window at each node.
UNTOLD_PER_WINDOW_COUNT: Final = 2.0
# The fixed part of what is left below the quota; the rest follows the demand.
FIXED_LEFTOVER_RATIO: Final = 0.5
# Of the excess and the slack, the part up to which there is room in a window, and
# the part above which nothing is admitted. The rest is for what is not told yet.
ROOM_RATIO: Final = 0.3
CAP_RATIO: Final = 0.6
# What a node may use of the room at least before it tells the others.
MIN_CREDIT_COUNT: Final = 3.0
# Others are told at once if the demand has risen by this ratio and is refused.
RISE_RATIO: Final = 0.2
# How long a computed rate is used.
RATE_LIFE_S: Final = 0.2


class QuotaTerms(NamedTuple):
    """The users' bounds on quotas.

    Attributes:
        window_s: The sliding window in which requests count.
        excess_ratio: How far all nodes together may exceed a quota.
        slack_count: The requests allowed beyond that.
    """

    window_s: float
    excess_ratio: float
    slack_count: float

    def limit_count(self, tenant: Tenant) -> float:
        """Returns a tenant's requests in a window; 0 for no limit."""
        if tenant.rate_per_s <= 0:
            return 0.0
        return tenant.rate_per_s * self.window_s + tenant.burst_count

    def bound_count(self, limit_count: float) -> float:
        """Returns the requests that may run in any window at a limit."""
        return limit_count * (1 + self.excess_ratio) + self.slack_count


class TenantDemand(NamedTuple):
    """What a node tells of a tenant.

    Attributes:
        key: Identifies the tenant; see `tenant_key`.
        own_per_s: The requests per second that come to the node, the refused
            ones included.
        own_count: The requests that the node has sent in the last window.
        all_per_s: The first for all nodes that the sender hears of.
        all_count: The second for all nodes that the sender hears of.
    """

    key: int
    own_per_s: float
    own_count: float
    all_per_s: float
    all_count: float


class Contact(NamedTuple):
    """How this node stands to the others.

    Attributes:
        part: The part of the fleet that it hears, 0 to 1. The parts of nodes
            that don't hear each other add up to 1 at most.
        own_share: Its fixed share of a limit. Those of all nodes add up to 1 at
            most.
        is_hub: Whether it hears all nodes.
        names: The names of the nodes that it hears.
    """

    part: float
    own_share: float
    is_hub: bool
    names: Collection[str]


ALONE: Final = Contact(0.0, 0.0, is_hub=False, names=())


def tenant_key(name: str) -> int:
    """Returns the number by which nodes call a tenant."""
    digest = hashlib.blake2b(name.encode(), digest_size=8).digest()
    return int.from_bytes(digest)


class _HeardSums(NamedTuple):
    """What all nodes together have told of one tenant."""

    own_per_s: float
    own_count: float
    passed_on_per_s: float
    passed_on_count: float


class _Quota:
    """This node's bucket for one tenant, and what others tell of the tenant.

    Attributes:
        tenant: The tenant.
        limit_count: Its requests in a window.
        told_per_s: The demand that this node has told the others.
        heard: What other nodes have told, by the node's name.
        lost: What nodes that are not heard any more, or have started again, had
            sent, and the time until which that counts.
        admitted_count: The requests that took a token.
        refused_count: The requests that got none.
    """

    __slots__ = (
        "_depth_count",
        "_heard_sums",
        "_is_saturated",
        "_promised_at_s",
        "_rate_at_s",
        "_rate_per_s",
        "_refilled_at_s",
        "_started_at_s",
        "_terms",
        "_token_count",
        "_told_count",
        "_window",
        "admitted_count",
        "demand",
        "heard",
        "key",
        "limit_count",
        "lost",
        "refused_count",
        "tenant",
        "told_per_s",
    )

    def __init__(
        self, tenant: Tenant, terms: QuotaTerms, key: int, now_s: float
    ) -> None:
        self.key = key
        self.demand = Demand(now_s)
        self.told_per_s = 0.0
        self.heard: dict[str, TenantDemand] = {}
        self.lost: list[tuple[float, float]] = []
        self.admitted_count = 0
        self.refused_count = 0
        self._token_count = FIRST_TOKEN_COUNT
        self._window = WindowCount(terms.window_s)
        # What the others were told that this node has sent.
        self._told_count = 0.0
        self._started_at_s = now_s
        self._refilled_at_s = now_s
        self._promised_at_s = now_s
        self.set_tenant(tenant, terms)

    def set_tenant(self, tenant: Tenant, terms: QuotaTerms) -> None:
        """Sets the limit; what the bucket holds stays."""
        self.tenant = tenant
        self._terms = terms
        self.limit_count = terms.limit_count(tenant)
        self._rate_per_s = 0.0
        self._is_saturated = False
        self._depth_count = MIN_DEPTH_COUNT
        self.forget_rate()

    def forget_rate(self) -> None:
        """Computes the rate again before it is next used."""
        self._rate_at_s = -math.inf
        self._heard_sums: _HeardSums | None = None

    def _sum_heard(self) -> _HeardSums:
        """Returns the sums, which each request needs; kept until they change."""
        sums = self._heard_sums
        if sums is None:
            told = self.heard.values()
            sums = self._heard_sums = _HeardSums(
                sum(demand.own_per_s for demand in told),
                sum(demand.own_count for demand in told),
                max((demand.all_per_s for demand in told), default=0.0),
                max((demand.all_count for demand in told), default=0.0),
            )
        return sums

    def planned_per_s(self) -> float:
        """Returns the rate of all nodes together."""
        return self._planned_count() / self._terms.window_s

    def others_per_s(self, contact: Contact) -> float:
        """Returns the demand at the other nodes."""
        sums = self._sum_heard()
        if contact.is_hub:
            return sums.own_per_s
        # Hubs hear nodes that this one doesn't.
        return max(sums.own_per_s, sums.passed_on_per_s - self.told_per_s)

    def untold_per_s(self, contact: Contact) -> float:
        """Returns what this node uses of a tenant that it doesn't tell of."""
        return max(
            contact.own_share * self.planned_per_s(),
            UNTOLD_PER_WINDOW_COUNT / self._terms.window_s,
        )

    def _compute_rate(self, contact: Contact) -> float:
        all_per_s = self.planned_per_s() * contact.part
        own_per_s, others_per_s = self.told_per_s, self.others_per_s(contact)
        demand_per_s = own_per_s + others_per_s
        least_per_s = UNTOLD_PER_WINDOW_COUNT / self._terms.window_s
        least_per_s = min(all_per_s, least_per_s)
        window_s = self._terms.window_s
        self._is_saturated = (
            self._room_count(demand_per_s * window_s, contact) <= 0
        )
        if demand_per_s <= 0:
            return min(all_per_s, self.untold_per_s(contact))
        if demand_per_s >= all_per_s:
            return max(least_per_s, all_per_s * own_per_s / demand_per_s)
        part = (
            FIXED_LEFTOVER_RATIO * contact.own_share
            + (1 - FIXED_LEFTOVER_RATIO) * own_per_s / demand_per_s
        )
        leftover_per_s = (all_per_s - demand_per_s) * part
        return max(least_per_s, own_per_s + leftover_per_s)

    def _spare_count(self) -> float:
        """Returns the requests allowed in a window beyond the plan."""
        bound_count = self._terms.bound_count(self.limit_count)
        return bound_count - self._planned_count()

    def _compute_depth(self, contact: Contact) -> float:
        part = self._rate_per_s / self.planned_per_s()
        part = max(part, DEPTH_SHARE_FACTOR * contact.own_share)
        return max(MIN_DEPTH_COUNT, DEPTH_RATIO * self._spare_count() * part)

    def _refill(self, contact: Contact, now_s: float) -> None:
        if now_s - self._rate_at_s >= RATE_LIFE_S:
            self._rate_at_s = now_s
            self._rate_per_s = self._compute_rate(contact)
            self._depth_count = self._compute_depth(contact)
        elapsed_s = max(0.0, now_s - self._refilled_at_s)
        self._refilled_at_s = now_s
        self._token_count = min(
            self._depth_count,
            self._token_count + elapsed_s * self._rate_per_s,
        )

    def own_count(self, now_s: float) -> int:
        """Returns the requests that this node has sent in the last window."""
        return self._window.total(now_s)

    def others_count(self, contact: Contact, now_s: float) -> float:
        """Returns the requests that others have sent in the last window."""
        sums = self._sum_heard()
        count = sums.own_count
        if self.lost:
            self.lost = [entry for entry in self.lost if entry[1] > now_s]
            count += sum(entry[0] for entry in self.lost)
        if contact.is_hub:
            return count
        return max(count, sums.passed_on_count - self.own_count(now_s))

    def lose(self, node_name: str, now_s: float) -> None:
        """Handles that a node is not heard any more or has started again."""
        told = self.heard.pop(node_name, None)
        if told is not None and told.own_count:
            until_s = now_s + self._terms.window_s
            self.lost.append((told.own_count, until_s))

    def _may_grow(
        self, own_count: int, known_count: float, contact: Contact
    ) -> bool:
        """Returns whether this node may send more than others know of."""
        room_count = self._room_count(known_count, contact)
        credit_count = max(MIN_CREDIT_COUNT, contact.own_share * room_count)
        return own_count - self._told_count + 1 <= credit_count

    def _room_count(self, known_count: float, contact: Contact) -> float:
        """Returns the requests for which there is room in the window."""
        room_at = self._planned_count() + ROOM_RATIO * self._spare_count()
        return room_at * contact.part - known_count

    def _planned_count(self) -> float:
        return PLANNED_RATIO * self.limit_count

    def take(self, contact: Contact, now_s: float) -> bool:
        """Counts a request if it may be sent."""
        self._refill(contact, now_s)
        own_count = self.own_count(now_s)
        known_count = own_count + self.others_count(contact, now_s)
        cap_count = self._planned_count() + CAP_RATIO * self._spare_count()
        if known_count + 1 > max(MIN_DEPTH_COUNT, cap_count * contact.part):
            return False
        if self._token_count < 1 and not (
            now_s - self._started_at_s >= self._terms.window_s
            and not self._is_saturated
            and self._room_count(known_count, contact) >= 1
            and self._may_grow(own_count, known_count, contact)
        ):
            return False
        # A debt is paid off within a window, after which nothing of it counts.
        least_count = -self._rate_per_s * self._terms.window_s
        self._token_count = max(least_count, self._token_count - 1)
        self._window.add(now_s)
        return True

    def give_back(self, taken_at_s: float) -> None:
        """Takes back a request that has not run."""
        self._token_count = min(self._depth_count, self._token_count + 1)
        self._window.remove(taken_at_s)

    def record_told(self, per_s: float, count: float) -> None:
        """Records what the others are told."""
        self.told_per_s = per_s
        self._told_count = count
        self.forget_rate()

    def promise_s(self, contact: Contact, now_s: float) -> float:
        """Returns the delay after which there is a token for one more caller.

        Callers that are refused together are told times one after the other, up
        to a window.
        """
        self._refill(contact, now_s)
        if self._rate_per_s <= 0:
            return self._terms.window_s
        gap_s = 1 / self._rate_per_s
        first_at_s = now_s + max(0.0, 1 - self._token_count) * gap_s
        self._promised_at_s = max(first_at_s, self._promised_at_s + gap_s)
        latest_at_s = now_s + self._terms.window_s
        self._promised_at_s = min(self._promised_at_s, latest_at_s)
        return self._promised_at_s - now_s


class QuotaUse(NamedTuple):
    """How much of its quota a tenant uses, as this node knows.

    Attributes:
        name: The tenant.
        used_ratio: The requests of the last window at all nodes, as a ratio of
            the quota.
    """

    name: str
    used_ratio: float


class NodeQuotas:
    """This node's part of the quotas of all tenants.

    Attributes:
        terms: The users' bounds.
        is_rise_untold: Whether requests are refused for a demand of which the
            other nodes should be told now.
    """

    def __init__(self, terms: QuotaTerms) -> None:
        self.terms = terms
        self.is_rise_untold = False
        self._contact = ALONE
        self._quotas: dict[str, _Quota] = {}
        self._by_key: dict[int, _Quota] = {}
        self._keys_of_nodes: dict[str, Collection[int]] = {}

    def set_tenants(self, tenants: Iterable[Tenant], now_s: float) -> None:
        """Sets the tenants of the configuration in force."""
        previous, self._quotas, self._by_key = self._quotas, {}, {}
        for tenant in tenants:
            if self.terms.limit_count(tenant) <= 0:
                continue
            quota = previous.get(tenant.name)
            if quota is None:
                key = tenant_key(tenant.name)
                quota = _Quota(tenant, self.terms, key, now_s)
            else:
                quota.set_tenant(tenant, self.terms)
            self._quotas[tenant.name] = self._by_key[quota.key] = quota

    # Requests.

    def record_request(self, name: str, now_s: float) -> None:
        """Counts a caller's request, whether it is admitted or not."""
        quota = self._quotas.get(name)
        if quota is not None:
            quota.demand.add(now_s)

    def take(self, name: str, now_s: float) -> bool:
        """Counts a request that is about to be sent if the quota allows it."""
        quota = self._quotas.get(name)
        if quota is None:
            return True
        if quota.take(self._contact, now_s):
            quota.admitted_count += 1
            return True
        quota.refused_count += 1
        risen_per_s = quota.demand.per_s(now_s) - quota.told_per_s
        least_per_s = MIN_TOLD_PER_WINDOW_COUNT / self.terms.window_s
        if risen_per_s > max(least_per_s, RISE_RATIO * quota.told_per_s):
            self.is_rise_untold = True
        return False

    def give_back(self, name: str, taken_at_s: float) -> None:
        """Takes back a request that was counted at a time and has not run."""
        quota = self._quotas.get(name)
        if quota is not None:
            quota.give_back(taken_at_s)
            quota.admitted_count -= 1

    def retry_after_s(self, name: str, now_s: float) -> float:
        """Returns when a refused request can be served, in seconds from now."""
        quota = self._quotas.get(name)
        return 0.0 if quota is None else quota.promise_s(self._contact, now_s)

    def uses(self, now_s: float) -> list[QuotaUse]:
        """Returns the use of the quotas, the most used first."""
        uses = [
            QuotaUse(
                quota.tenant.name,
                (
                    quota.own_count(now_s)
                    + quota.others_count(self._contact, now_s)
                )
                / quota.limit_count,
            )
            for quota in self._quotas.values()
        ]
        return sorted(uses, key=lambda use: use.used_ratio, reverse=True)

    # Other nodes.

    def set_contact(self, contact: Contact, now_s: float) -> None:
        """Sets which nodes are heard; called periodically."""
        if contact != self._contact:
            self._contact = contact
            for quota in self._quotas.values():
                quota.forget_rate()
        for name in [*self._keys_of_nodes]:
            if name not in contact.names:
                self.lose(name, now_s)

    def lose(self, node_name: str, now_s: float) -> None:
        """Handles that a node is not heard any more or has started again.

        What it has sent counts for one more window.
        """
        for key in self._keys_of_nodes.pop(node_name, ()):
            quota = self._by_key.get(key)
            if quota is not None:
                quota.lose(node_name, now_s)
                quota.forget_rate()

    def merge(self, node_name: str, told: Sequence[TenantDemand]) -> None:
        """Takes over all that a node tells of its tenants."""
        if told or node_name in self._keys_of_nodes:
            self._merge(node_name, told)

    def _merge(self, node_name: str, told: Sequence[TenantDemand]) -> None:
        keys = {demand.key for demand in told}
        for key in self._keys_of_nodes.pop(node_name, ()):
            quota = self._by_key.get(key)
            if quota is not None and key not in keys:
                quota.heard.pop(node_name, None)
                quota.forget_rate()
        if told:
            self._keys_of_nodes[node_name] = keys
        for demand in told:
            quota = self._by_key.get(demand.key)
            if quota is not None:
                quota.heard[node_name] = demand
                quota.forget_rate()

    def tell(self, now_s: float) -> tuple[TenantDemand, ...]:
        """Returns what to tell the other nodes, and counts it as told.

        First come the tenants whose demand here is the largest multiple of what
        they get without being told of; then, at a hub, those that others use.
        """
        self.is_rise_untold = False
        contact = self._contact
        least_per_s = MIN_TOLD_PER_WINDOW_COUNT / self.terms.window_s
        ranked = []
        for quota in self._quotas.values():
            own_per_s = quota.demand.per_s(now_s)
            own_count = quota.own_count(now_s)
            if own_per_s < least_per_s and not own_count:
                own_per_s = 0.0
            others_per_s = quota.others_per_s(contact) if contact.is_hub else 0
            if own_per_s or others_per_s:
                rank = (
                    own_per_s / quota.untold_per_s(contact),
                    others_per_s / quota.planned_per_s(),
                )
                others_count = quota.others_count(contact, now_s)
                demand = TenantDemand(
                    quota.key,
                    own_per_s,
                    own_count,
                    own_per_s + others_per_s,
                    own_count + others_count,
                )
                ranked.append((rank, quota, demand))
            else:
                quota.record_told(0.0, own_count)
        ranked.sort(key=lambda entry: entry[0], reverse=True)
        for _, quota, _ in ranked[MAX_TOLD_COUNT:]:
            quota.record_told(0.0, quota.own_count(now_s))
        for _, quota, demand in ranked[:MAX_TOLD_COUNT]:
            quota.record_told(demand.own_per_s, demand.own_count)
        return tuple(demand for _, _, demand in ranked[:MAX_TOLD_COUNT])
