"""Specifies classes of work and their backend servers, for tests and demos."""

from __future__ import annotations

from collections.abc import Mapping
from typing import Any, Final, NamedTuple

from mulberrybay_core.configuration import Targets, WorkClass

SEARCH_TARGETS: Final = Targets(
    lateness_ms=250.0,
    lateness_percent=99.0,
    coverage_percent=99.0,
    extra_load_percent=5.0,
)
RUN_TARGETS: Final = SEARCH_TARGETS._replace(lateness_ms=1000.0)


class ClassSpec(NamedTuple):
    """One class of work and the layout of its backend servers.

    Attributes:
        work_class: The class and its targets.
        services: The services: one per shard, or one named after the class.
        replica_count: Number of backend servers of each service.
        slot_count: Requests that a server processes concurrently.
        connection_cap: Maximum number of connections that a server accepts.
        service_time_ms: Median service time of a request.
        server_options: Additional keys for a server's spec, which override
            the defaults.
    """

    work_class: WorkClass
    services: tuple[str, ...]
    replica_count: int = 2
    slot_count: int = 3
    connection_cap: int = 30
    service_time_ms: float = 3.0
    server_options: Mapping[str, Any] = {}


def search_class(
    name: str = "field-search",
    shard_count: int = 4,
    *,
    targets: Targets = SEARCH_TARGETS,
    **options: Any,  # noqa: ANN401
) -> ClassSpec:
    """Returns a class with one service for each shard."""
    services = tuple(f"{name}/{shard:02d}" for shard in range(shard_count))
    return ClassSpec(WorkClass(name, False, targets), services, **options)


def run_class(
    name: str = "route-planner",
    *,
    targets: Targets = RUN_TARGETS,
    **options: Any,  # noqa: ANN401
) -> ClassSpec:
    """Returns a class whose callers may send non-idempotent requests."""
    options = {"replica_count": 3, **options}
    return ClassSpec(WorkClass(name, True, targets), (name,), **options)
