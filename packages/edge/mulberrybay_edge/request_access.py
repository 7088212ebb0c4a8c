"""Whether a caller's request may be sent, by its API key and its quota."""

from collections.abc import Callable

from mulberrybay_core.caller_messages import CallerRequest
from mulberrybay_core.routing import Route, RouteTable
from mulberrybay_core.tenants.keys import Tenant, read_key_digest
from mulberrybay_edge.sending import RequestTemplate
from mulberrybay_edge.tenant_gate import TenantGate


class RequestAccess:
    """Judges one request by the configuration in force.

    It is judged again when another configuration is in force, as long as it
    has not been sent to a backend server.
    """

    __slots__ = (
        "_charged_at_s",
        "_charged_name",
        "_digest",
        "_find_table",
        "_gate",
        "_has_started",
        "_is_admitted",
        "_is_recorded",
        "_request",
        "_route",
        "_table",
        "_template",
        "tenant",
    )

    def __init__(
        self,
        request: CallerRequest,
        route: Route,
        table: RouteTable,
        find_table: Callable[[], RouteTable | None],
        gate: TenantGate,
    ) -> None:
        self._request = request
        self._route = route
        self._find_table = find_table
        self._gate = gate
        # The tenant whose quota the request is charged to; empty if to none.
        self._charged_name = ""
        self._charged_at_s = 0.0
        self._is_recorded = False
        self._table = table
        self._template: RequestTemplate | None = None
        self._digest: bytes | None = None
        self._has_started = False
        self._is_admitted = True
        # The tenant whose key the request carries, or carried when last admitted.
        self.tenant: Tenant | None = None
        self._judge(table)

    def bind(self, template: RequestTemplate) -> None:
        """Sets the request that is sent to servers, which get no key."""
        self._template = template
        self._name_tenant()

    @property
    def needs_keys(self) -> bool:
        """Whether the configuration has tenants."""
        return self._table.key_ring is not None

    def is_admitted(self) -> bool:
        """Returns whether the request may be served."""
        table = self._find_table()
        if table is not None and table is not self._table:
            self._table = table
            self._judge(table)
            self._name_tenant()
        return self._is_admitted

    def may_start(self) -> bool:
        """Returns whether bytes of the request may be sent to a server now.

        A request that has been sent to a server may be repeated there.
        """
        self._has_started = self._has_started or self.is_admitted()
        return self._has_started

    # The quota of the tenant.

    def charge(self) -> bool:
        """Charges the request once; returns whether the quota allows it."""
        if self.tenant is None or self._charged_name:
            return True
        name = self.tenant.name
        if not self._is_recorded:
            self._is_recorded = True
            self._gate.record_request(name)
        taken_at_s = self._gate.take(name)
        if taken_at_s is None:
            return False
        self._charged_name, self._charged_at_s = name, taken_at_s
        return True

    def give_back(self) -> None:
        """Takes back the charge of a request that no server has run."""
        if self._charged_name:
            self._gate.give_back(self._charged_name, self._charged_at_s)
            self._charged_name = ""

    def retry_after_s(self) -> float:
        """Returns when the quota allows the request, in seconds from now."""
        if self.tenant is None:
            return 0.0
        return self._gate.retry_after_s(self.tenant.name)

    def _judge(self, table: RouteTable) -> None:
        key_ring = table.key_ring
        if key_ring is None:
            self._is_admitted, self.tenant = True, None
            return
        if self._digest is None:
            self._digest = read_key_digest(self._request.headers)
        route = table.find_route(self._request.host, self._request.path)
        verdict = key_ring.judge(
            self._digest, is_public=(route or self._route).is_public
        )
        self._is_admitted = verdict.is_admitted
        if verdict.is_admitted:
            # A refused request that has started goes on for its tenant.
            self.tenant = verdict.tenant

    def _name_tenant(self) -> None:
        if self._template is not None and self.needs_keys:
            name = self.tenant.name if self.tenant is not None else ""
            self._template.name_tenant(self._request, name)
