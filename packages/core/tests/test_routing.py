"""Routes are found by host and longest prefix; splits follow their weights."""

from collections import Counter

import pytest

from mulberrybay_core.routing import (
    CallerLimits,
    Route,
    RouteKind,
    RouteTable,
    RoutingConfiguration,
    WeightedService,
    WeightedTurn,
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
def test_longest_prefix_of_the_host_wins(
    host: str, path: str, name: str | None
) -> None:
    route = TABLE.find_route(host, path)

    assert (route.name if route else None) == name


def test_split_keeps_its_weights_over_short_spans() -> None:
    turn = WeightedTurn(
        (
            WeightedService("a", 7),
            WeightedService("b", 2),
            WeightedService("c", 1),
        )
    )

    for _ in range(5):
        counts = Counter(turn.take() for _ in range(10))
        assert counts == {"a": 7, "b": 2, "c": 1}
