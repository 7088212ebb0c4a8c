"""Routes: which services a caller's request goes to, and on what terms."""

import enum
from typing import Final, NamedTuple


class RouteKind(enum.Enum):
    """What may be repeated on a route."""

    IDEMPOTENT = "idempotent"
    NON_IDEMPOTENT = "non_idempotent"


class WeightedService(NamedTuple):
    """One part of a split route."""

    service: str
    weight: float


class Route(NamedTuple):
    """Where requests of one host and path prefix go.

    Attributes:
        name: Unique within the configuration.
        host: The host that callers name, in lower case.
        path_prefix: Begins and ends with a slash.
        kind: What may be repeated.
        timeout_s: The longest time that a caller is kept waiting.
        target_latency_s: The operator's target for lateness.
        priority: The rank among classes of work; 0 is the highest.
        max_server_count: How many backend servers one request may be sent to;
            for each shard, where the route has shards.
        split: The services that share the requests; empty with shards.
        shards: The services that each hold one shard of the index.
        top_hit_count: How many hits an answer over shards holds.
        min_coverage: The lowest share of shards of a useful answer.
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


class ServiceTerms(NamedTuple):
    """What is configured of one service.

    Attributes:
        name: Unique within the configuration.
        health_path: Where its backend servers answer health checks.
        connection_cap: Connections a backend server takes from all nodes.
        cold_requests_per_s: What a cold backend server bears; 0 for no limit.
    """

    name: str
    health_path: str
    connection_cap: int
    cold_requests_per_s: float


class CallerLimits(NamedTuple):
    """What callers may send and how long they may take."""

    max_header_bytes: int = 16_384
    max_body_bytes: int = 262_144
    header_timeout_s: float = 3.0
    idle_timeout_s: float = 15.0


class RoutingConfiguration(NamedTuple):
    """One revision of routes, services and limits."""

    revision: int
    routes: tuple[Route, ...]
    services: tuple[ServiceTerms, ...]
    limits: CallerLimits


DEFAULT_CONNECTION_CAP: Final = 8
UNKNOWN_SERVICE: Final = ServiceTerms("", "", DEFAULT_CONNECTION_CAP, 0.0)


class RouteTable:
    """Looks up routes and services of one configuration."""

    def __init__(self, configuration: RoutingConfiguration) -> None:
        self.revision = configuration.revision
        self.limits = configuration.limits
        self._services = {terms.name: terms for terms in configuration.services}
        self._routes: dict[str, dict[str, Route]] = {}
        for route in configuration.routes:
            by_prefix = self._routes.setdefault(route.host, {})
            by_prefix[route.path_prefix] = route

    def find_route(self, host: str, path: str) -> Route | None:
        """Returns the route with the longest prefix of the path."""
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

    def service_terms(self, service: str) -> ServiceTerms:
        """Returns the terms of a service, or defaults if it has none."""
        return self._services.get(service, UNKNOWN_SERVICE)

    def service_names(self) -> tuple[str, ...]:
        """Returns the services that are configured."""
        return tuple(self._services)


class WeightedTurn:
    """Divides requests among services in proportion to their weights.

    Smooth weighted round-robin: each part falls behind by its weight and the
    one furthest behind takes the request, so shares hold over short spans.
    """

    def __init__(self, split: tuple[WeightedService, ...]) -> None:
        self.split = split
        self._behind = [0.0] * len(split)

    def take(self) -> str:
        """Returns the service of the next request."""
        total = 0.0
        for index, part in enumerate(self.split):
            self._behind[index] += part.weight
            total += part.weight
        chosen = max(range(len(self.split)), key=self._behind.__getitem__)
        self._behind[chosen] -= total
        return self.split[chosen].service
