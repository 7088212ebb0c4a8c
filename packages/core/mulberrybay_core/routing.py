"""Routes, which map callers' requests to services, and their configuration."""

import enum
from typing import Final, NamedTuple

from mulberrybay_core.tenants.keys import KeyRing, Tenant


class RouteKind(enum.Enum):
    """Whether the requests of a route are idempotent.

    Idempotent requests may be retried and hedged even if an earlier attempt may
    have been processed.
    """

    IDEMPOTENT = "idempotent"
    NON_IDEMPOTENT = "non_idempotent"


class WeightedService(NamedTuple):
    """One of the services of a route with a traffic split."""

    service: str
    weight: float


class Route(NamedTuple):
    """The services and limits for requests of one host and path prefix.

    Attributes:
        name: Unique within the configuration.
        host: The value of the Host header without a port, in lower case.
        path_prefix: The path prefix; starts and ends with a slash.
        kind: Whether requests are idempotent.
        timeout_s: The maximum time that a caller waits for an answer.
        target_latency_s: The operators' target for the latency of an answer.
        priority: The priority among classes of work; 0 is the highest.
        max_server_count: The maximum number of backend servers that one request
            is sent to; if the route has shards, the maximum for each shard.
        split: The services among which requests are divided; empty if the route
            has shards.
        shards: The services, one for each shard of the index.
        top_hit_count: The maximum number of hits in an answer over shards.
        min_coverage: The minimum ratio of shards that an answer must cover.
        is_public: Whether requests need no API key.
    """

    name: str
    host: str
    path_prefix: str
    kind: RouteKind
    timeout_s: float
    target_latency_s: float
    priority: int = 0
    max_server_count: int = 1
    split: tuple[WeightedService, ...] = ()
    shards: tuple[str, ...] = ()
    top_hit_count: int = 0
    min_coverage: float = 0.0
    is_public: bool = False


class ServiceSettings(NamedTuple):
    """The configuration of one service.

    Attributes:
        name: Unique within the configuration.
        health_path: The path of health checks on its backend servers.
        connection_cap: The number of connections that a backend server accepts
            from all nodes together.
        cold_requests_per_s: The request rate that a cold backend server can
            handle, from all nodes together; 0 for no limit.
    """

    name: str
    health_path: str
    connection_cap: int
    cold_requests_per_s: float


class CallerLimits(NamedTuple):
    """Limits on the size of callers' requests and on how long callers take."""

    max_header_bytes: int = 16_384
    max_body_bytes: int = 262_144
    header_timeout_s: float = 3.0
    idle_timeout_s: float = 15.0


class RoutingConfiguration(NamedTuple):
    """One revision of the routes, services, caller limits and tenants.

    Attributes:
        tenants: The tenants; None if requests need no API key at all.
    """

    revision: int
    routes: tuple[Route, ...]
    services: tuple[ServiceSettings, ...]
    limits: CallerLimits
    tenants: tuple[Tenant, ...] | None = None


DEFAULT_CONNECTION_CAP_COUNT: Final = 8
DEFAULT_SERVICE_SETTINGS: Final = ServiceSettings(
    "", "", DEFAULT_CONNECTION_CAP_COUNT, 0.0
)


class RouteTable:
    """Looks up the routes and services of one configuration."""

    def __init__(self, configuration: RoutingConfiguration) -> None:
        self.revision = configuration.revision
        self.limits = configuration.limits
        self.tenants = configuration.tenants or ()
        # None if requests need no API key at all.
        self.key_ring = (
            None
            if configuration.tenants is None
            else KeyRing(configuration.tenants)
        )
        self._services = {
            service.name: service for service in configuration.services
        }
        # Whether requests differ in priority.
        self.has_priorities = len(
            {route.priority for route in configuration.routes}
        ) > 1 or any(tenant.priority is not None for tenant in self.tenants)
        self._routes: dict[str, dict[str, Route]] = {}
        for route in configuration.routes:
            by_prefix = self._routes.setdefault(route.host, {})
            by_prefix[route.path_prefix] = route

    def find_route(self, host: str, path: str) -> Route | None:
        """Returns the route whose prefix is the longest match for a path.

        Returns:
            The route; None if no route matches.
        """
        by_prefix = self._routes.get(host)
        if by_prefix is None:
            return None
        end = path.rfind("/")
        while end >= 0:
            route = by_prefix.get(path[: end + 1])
            if route is not None:
                return route
            end = path.rfind("/", 0, end)
        return None

    def service_settings(self, service: str) -> ServiceSettings:
        """Returns the settings of a service, or defaults if it has none."""
        return self._services.get(service, DEFAULT_SERVICE_SETTINGS)

    def service_names(self) -> tuple[str, ...]:
        """Returns the names of the configured services."""
        return tuple(self._services)


class WeightedRoundRobin:
    """Divides requests among services in proportion to their weights.

    This is smooth weighted round-robin: with each request, the deficit of every
    service grows by its weight, and the service with the largest deficit is
    chosen. So the proportions also hold over a few requests.
    """

    def __init__(self, split: tuple[WeightedService, ...]) -> None:
        self.split = split
        self._deficits = [0.0] * len(split)

    def next_service(self) -> str:
        """Returns the service for the next request."""
        total = 0.0
        for index, weighted in enumerate(self.split):
            self._deficits[index] += weighted.weight
            total += weighted.weight
        chosen = max(range(len(self.split)), key=self._deficits.__getitem__)
        self._deficits[chosen] -= total
        return self.split[chosen].service
