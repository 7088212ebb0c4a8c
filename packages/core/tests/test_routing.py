"""Guards against requests that reach the wrong route or service."""

from collections import Counter

import pytest

from mulberrybay_core.routing import (
    CallerLimits,
    Route,
    RouteKind,
    RouteTable,
    RoutingConfiguration,
    WeightedRoundRobin,
    WeightedService,
)


def make_route(name: str, host: str, prefix: str) -> Route:
    return Route(name, host, prefix, RouteKind.IDEMPOTENT, 1.0, 0.1)


TABLE = RouteTable(
    RoutingConfiguration(
        7,
        (
            make_route("root", "a.example", "/"),
            make_route("short", "a.example", "/one/"),
            make_route("long", "a.example", "/one/two/"),
            make_route("other", "b.example", "/one/"),
        ),
        (),
        CallerLimits(),
    )
)


@pytest.mark.parametrize(
    ("host", "path", "name"),
    [
        ("a.example", "/one/two/three", "long"),
        ("a.example", "/one/two/", "long"),
        ("a.example", "/one/two", "short"),
        ("a.example", "/onefold/x", "root"),
        ("b.example", "/one/two/x", "other"),
        ("b.example", "/two/", None),
        ("c.example", "/one/", None),
    ],
)
def test_find_route_returns_the_longest_prefix_of_the_host(
    host: str, path: str, name: str | None
) -> None:
    route = TABLE.find_route(host, path)

    assert (route.name if route else None) == name


def test_split_follows_the_weights_in_every_ten_requests() -> None:
    rotation = WeightedRoundRobin(
        (
            WeightedService("a", 7),
            WeightedService("b", 2),
            WeightedService("c", 1),
        )
    )

    for _ in range(5):
        counts = Counter(rotation.next_service() for _ in range(10))
        assert counts == {"a": 7, "b": 2, "c": 1}
