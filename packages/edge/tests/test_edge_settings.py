"""The settings of an edge node."""

import math
import pathlib
from typing import Final

import pytest

from mulberrybay_core.caller_messages import HeaderNames
from mulberrybay_core.follow_times import DEFAULT_FOLLOW_TIMES, FollowTimes
from mulberrybay_core.rollouts import RolloutTerms
from mulberrybay_core.tenants.quotas import QuotaTerms
from mulberrybay_edge.settings import EdgeBoundNames, EdgePaths, EdgeSettings
from mulberrybay_edge.settings_file import parse_edge_settings

ROOT: Final = pathlib.Path(__file__).parents[3]
TEXT = """
node_name = "node-1"
failure_domain = "zone-a"
stop_grace_s = 3
max_address_life_s = 0.3
cold_factor = 1.5
cpu_share = 0.5
core_speed = 2
memory_mb = 300
max_descriptors = 4100
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


def parse_text(text: str) -> EdgeSettings:
    return parse_edge_settings(
        text,
        HeaderNames(*["x"] * len(HeaderNames._fields)),
        EdgePaths("/a", "/b", "/c"),
        EdgeBoundNames("contact", "apply", "window", "excess", "slack"),
    )


def parse_times(bounds: str) -> FollowTimes:
    return parse_text(TEXT.format(bounds=bounds)).follow_times


def test_times_follow_from_the_operators_bounds() -> None:
    bounds = """bounds = '{"contact": 6000, "apply": 5000, "new": [1]}'"""
    assert parse_times(bounds) == FollowTimes.from_bounds(6.0, 5.0)
    assert parse_times("") == DEFAULT_FOLLOW_TIMES


def test_quotas_are_enforced_only_with_a_window_among_the_bounds() -> None:
    bounds = """bounds = '{"window": 5, "excess": 0.1, "slack": 20}'"""
    quotas = parse_text(TEXT.format(bounds=bounds)).quotas
    assert quotas == QuotaTerms(5, 0.1, 20)
    for text in ("", """bounds = '{"excess": 0.1, "slack": 20}'"""):
        assert parse_text(TEXT.format(bounds=text)).quotas is None
    with pytest.raises(ValueError, match="window"):
        parse_text(TEXT.format(bounds="""bounds = '{"window": 0}'"""))


@pytest.mark.parametrize("bounds", ["[]", "no JSON", '{"contact": "soon"}'])
def test_bounds_that_can_not_be_read_are_rejected(bounds: str) -> None:
    with pytest.raises(ValueError, match=r"JSON|number|Expecting"):
        parse_times(f"bounds = '{bounds}'")


ROLLOUTS = """
[rollouts]
expose_share = 0.1
expose_slack = 50
rollback_ms = 5000
"""


def test_rollouts_are_off_without_their_table() -> None:
    text = TEXT.format(bounds="")
    assert parse_text(text).rollouts is None
    assert parse_text(text + ROLLOUTS).rollouts == RolloutTerms(0.1, 50.0, 5.0)


@pytest.mark.parametrize("line", ROLLOUTS.strip().splitlines()[1:])
def test_bound_of_rollouts_that_lacks_or_is_no_number_is_rejected(
    line: str,
) -> None:
    """Guards against an exposure that is bounded by half of the bounds."""
    text = TEXT.format(bounds="") + ROLLOUTS
    for other in ("", f"{line.partition(' = ')[0]} = -1"):
        with pytest.raises(ValueError, match=line.partition(" = ")[0]):
            parse_text(text.replace(line, other))


def test_template_has_the_table_only_if_the_share_is_present() -> None:
    template = (ROOT / "deploy" / "settings.toml.template").read_text()
    start = template.index("{{#bounds.expose_share}}")
    end = template.index("{{/bounds.expose_share}}")
    section = template[start:end]
    assert "[rollouts]" not in template[:start] + template[end:]
    for line in ROLLOUTS.strip().splitlines()[1:]:
        name = line.partition(" = ")[0]
        assert f"{name} = {{{{bounds.{name}}}}}" in section


LINES = [line for line in TEXT.splitlines() if " = " in line]
VALUES = ["nan", "inf", "-1", "[]", "{}", "true", "''", "'x'", "70000", "1e400"]


@pytest.mark.parametrize("value", VALUES)
@pytest.mark.parametrize("line", [*LINES, "bounds = 1", "metrics_port = 1"])
def test_setting_with_any_value_is_used_or_rejected_as_invalid(
    line: str, value: str
) -> None:
    """Another exception would end a node that reads its settings anew."""
    key = line.partition(" = ")[0]
    text = TEXT.format(bounds="bounds = '{}'")
    text = text.replace("peer_port = 2", "peer_port = 2\nmetrics_port = 4")
    (old,) = [item for item in text.splitlines() if item.startswith(f"{key} =")]
    try:
        settings = parse_text(text.replace(old, f"{key} = {value}"))
    except ValueError:
        return
    ports = [settings.addresses.peers.port, settings.addresses.metrics.port]
    assert all(1 <= port <= 65535 for port in ports)
    numbers = [
        settings.cpu_cores,
        settings.cold_factor,
        settings.stop_grace_s,
        settings.address_life_s,
        *settings.retry_terms,
        *settings.machine,
    ]
    assert min(settings.machine) > 0
    assert all(math.isfinite(number) for number in numbers)


@pytest.mark.parametrize(
    ("contact_s", "apply_s"), [(4.0, 3.0), (5.0, 5.0), (6.0, 6.0), (6.0, 2.0)]
)
def test_waits_and_patience_fit_into_the_bounds(
    contact_s: float, apply_s: float
) -> None:
    times = FollowTimes.from_bounds(contact_s, apply_s)
    assert times.wait_s + 2 * times.patience_s < contact_s
    assert times.shared_wait_s < times.max_peer_age_s < apply_s
