"""The settings of an edge node."""

import pytest

from mulberrybay_core.caller_messages import HeaderNames
from mulberrybay_core.follow_times import DEFAULT_FOLLOW_TIMES, FollowTimes
from mulberrybay_edge.settings import EdgeBoundNames, EdgePaths
from mulberrybay_edge.settings_file import parse_edge_settings

TEXT = """
node_name = "node-1"
failure_domain = "zone-a"
stop_grace_s = 3
max_address_life_s = 0.3
cold_factor = 1.5
cpu_share = 0.5
core_speed = 2
store_address = "127.0.0.1:1"
{bounds}
[listen]
host = "127.0.0.1"
peer_port = 2
callers = "127.0.0.1:3"
[repeats]
ratio = 0.2
window_s = 10
slack_count = 56
"""


def parse_times(bounds: str) -> FollowTimes:
    settings = parse_edge_settings(
        TEXT.format(bounds=bounds),
        HeaderNames(*["x"] * len(HeaderNames._fields)),
        EdgePaths("/a", "/b", "/c"),
        EdgeBoundNames("contact", "apply"),
    )
    return settings.follow_times


def test_times_follow_from_the_operators_bounds() -> None:
    bounds = """bounds = '{"contact": 6000, "apply": 5000, "new": [1]}'"""
    assert parse_times(bounds) == FollowTimes.from_bounds(6.0, 5.0)
    assert parse_times("") == DEFAULT_FOLLOW_TIMES


@pytest.mark.parametrize("bounds", ["[]", "no JSON", '{"contact": "soon"}'])
def test_bounds_that_can_not_be_read_are_rejected(bounds: str) -> None:
    with pytest.raises(ValueError, match=r"JSON|number|Expecting"):
        parse_times(f"bounds = '{bounds}'")


@pytest.mark.parametrize(
    ("contact_s", "apply_s"), [(4.0, 3.0), (5.0, 5.0), (6.0, 6.0), (6.0, 2.0)]
)
def test_waits_and_patience_fit_into_the_bounds(
    contact_s: float, apply_s: float
) -> None:
    times = FollowTimes.from_bounds(contact_s, apply_s)
    assert times.wait_s + 2 * times.patience_s < contact_s
    assert times.shared_wait_s < times.max_peer_age_s < apply_s
