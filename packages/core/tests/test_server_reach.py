"""Guards against a node that doesn't notice that it has lost all servers.

Its callers would wait for their deadlines. Servers that fail are no such loss.
"""

import pytest

from mulberrybay_core.server_reach import (
    IDLE_PERIOD_S,
    MAX_REPLY_SILENCE_S,
    MIN_ROUND_PERIOD_S,
    PROBE_COUNT,
    ServerReach,
)

IDS = [f"i-{number}" for number in range(20)]


def reach_after_first_round() -> ServerReach:
    reach = ServerReach(0.0)
    reach.start_round(IDS, 0.0)
    reach.record_accepted(0.1)
    return reach


def test_node_that_starts_probes_at_once() -> None:
    assert ServerReach(0.0).should_probe(None, 0.0)


def test_servers_are_lost_once_no_probe_of_a_round_is_accepted() -> None:
    reach = reach_after_first_round()

    for server_id in reach.start_round(IDS, 1.0):
        assert not reach.is_lost
        reach.record_failed(server_id)

    assert reach.is_lost


def test_one_accepted_connection_shows_that_servers_are_reached() -> None:
    reach = reach_after_first_round()
    probed = reach.start_round(IDS, 1.0)

    for server_id in probed[:-1]:
        reach.record_failed(server_id)
    reach.record_accepted(1.2)

    assert not reach.is_lost
    reach.record_failed(probed[-1])
    assert not reach.is_lost


def test_servers_that_fail_outside_a_round_only_start_one() -> None:
    reach = reach_after_first_round()
    for server_id in IDS:
        reach.record_failed(server_id)

    assert not reach.is_lost
    assert reach.should_probe(None, MIN_ROUND_PERIOD_S)


def test_servers_that_replied_last_are_probed_first() -> None:
    reach = reach_after_first_round()
    for number, server_id in enumerate(IDS[10:]):
        reach.record_reply(server_id, 1.0 + number)

    assert set(reach.start_round(IDS, 20.0)) == set(IDS[-PROBE_COUNT:])


def test_requests_without_any_reply_start_a_round() -> None:
    reach = reach_after_first_round()
    reach.record_reply("i-1", 1.0)

    assert not reach.should_probe(1.0, 1.0 + MAX_REPLY_SILENCE_S / 2)
    assert reach.should_probe(1.0, 1.01 + MAX_REPLY_SILENCE_S)
    reach.record_reply("i-2", 1.2)
    assert not reach.should_probe(1.0, 1.01 + MAX_REPLY_SILENCE_S)


def test_node_without_requests_probes_only_if_it_may_be_advertised() -> None:
    reach = reach_after_first_round()

    assert not reach.should_probe(None, 100.0)
    assert reach.is_idle(0.2 + IDLE_PERIOD_S)


def test_lost_servers_are_probed_until_one_accepts() -> None:
    reach = reach_after_first_round()
    for server_id in reach.start_round(IDS, 1.0):
        reach.record_failed(server_id)
    assert not reach.should_probe(None, 1.0 + MIN_ROUND_PERIOD_S / 2)
    assert reach.should_probe(None, 1.0 + MIN_ROUND_PERIOD_S)

    reach.record_accepted(1.6)

    assert not reach.is_lost
    assert not reach.should_probe(None, 1.0 + MIN_ROUND_PERIOD_S)


def test_node_with_replies_on_open_connections_is_not_silent() -> None:
    reach = reach_after_first_round()
    for server_id in reach.start_round(IDS, 1.0):
        reach.record_failed(server_id)
    reach.record_reply("i-1", 1.3)

    assert not reach.is_silent(1.4)
    assert reach.is_silent(1.31 + MAX_REPLY_SILENCE_S)


@pytest.mark.parametrize("count", [0, 1, 2])
def test_few_servers_are_all_probed(count: int) -> None:
    reach = ServerReach(0.0)

    assert len(reach.start_round(IDS[:count], 0.0)) == count
    for server_id in IDS[:count]:
        reach.record_failed(server_id)
    assert reach.is_lost is (count > 0)


def test_probed_server_that_has_gone_decides_nothing() -> None:
    reach = reach_after_first_round()
    probed = reach.start_round(IDS, 1.0)
    for server_id in probed:
        reach.forget(server_id)

    assert not reach.is_lost
