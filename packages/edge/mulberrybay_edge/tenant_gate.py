"""Admits the requests of tenants by this node's part of their quotas."""

from collections.abc import Callable, Iterable
from typing import Final

from mulberrybay_core.edge_nodes import EdgeHeartbeat
from mulberrybay_core.tenants.keys import Tenant
from mulberrybay_core.tenants.quotas import (
    Contact,
    NodeQuotas,
    QuotaTerms,
    TenantDemand,
)

# The least time between two heartbeats that tell of a sudden rise of demand.
TELL_GAP_S: Final = 0.2


class TenantGate:
    """Admits requests, and exchanges demand with the other nodes.

    Attributes:
        quotas: This node's part of the quotas; None if none are enforced.
        tell_hubs: Sends a heartbeat to the nodes that hear all nodes at once.
    """

    def __init__(
        self, terms: QuotaTerms | None, clock: Callable[[], float]
    ) -> None:
        self.quotas = None if terms is None else NodeQuotas(terms)
        self.tell_hubs: Callable[[], None] | None = None
        self._clock = clock
        self._told_at_s = clock()

    def set_tenants(self, tenants: Iterable[Tenant]) -> None:
        """Sets the tenants of the configuration in force."""
        if self.quotas is not None:
            self.quotas.set_tenants(tenants, self._clock())

    def record_request(self, tenant_name: str) -> None:
        """Counts a caller's request, whether it is admitted or not."""
        if self.quotas is not None:
            self.quotas.record_request(tenant_name, self._clock())

    def take(self, tenant_name: str) -> float | None:
        """Counts a request that is about to be sent if the quota allows it.

        If the other nodes should know of a rise first, they are told.

        Returns:
            When it was counted; None if the quota doesn't allow it.
        """
        quotas, now_s = self.quotas, self._clock()
        if quotas is None or quotas.take(tenant_name, now_s):
            return now_s
        if (
            not quotas.is_rise_untold
            or self.tell_hubs is None
            or now_s - self._told_at_s < TELL_GAP_S
        ):
            return None
        self.tell_hubs()
        return now_s if quotas.take(tenant_name, now_s) else None

    def give_back(self, tenant_name: str, taken_at_s: float) -> None:
        """Takes back a request that was counted at a time and has not run."""
        if self.quotas is not None:
            self.quotas.give_back(tenant_name, taken_at_s)

    def retry_after_s(self, tenant_name: str) -> float:
        """Returns when a refused request can be served, from now."""
        if self.quotas is None:
            return 0.0
        return self.quotas.retry_after_s(tenant_name, self._clock())

    # Other nodes.

    def set_contact(self, contact: Contact) -> None:
        """Sets which nodes are heard; called periodically."""
        if self.quotas is not None:
            self.quotas.set_contact(contact, self._clock())

    def tell(self) -> tuple[TenantDemand, ...]:
        """Returns what a heartbeat tells of tenants, and counts it as told."""
        self._told_at_s = self._clock()
        return () if self.quotas is None else self.quotas.tell(self._told_at_s)

    def merge(self, heartbeat: EdgeHeartbeat, *, is_first: bool) -> None:
        """Takes over what another node tells.

        Args:
            heartbeat: The node's heartbeat.
            is_first: Whether it is the first of this start of the node.
        """
        if self.quotas is None:
            return
        name = heartbeat.sender.name
        if is_first:
            self.quotas.lose(name, self._clock())
        self.quotas.merge(name, heartbeat.tenants)
