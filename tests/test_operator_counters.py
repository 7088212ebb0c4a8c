"""Checks scraped counters of runs, refusals and changes of holders."""

import threading
import time
from collections.abc import Callable, Iterator

import pytest

from mulberrybay_core.run_record import RECORD_RETENTION_S, record_kind, slot_of
from mulberrybay_testing.deployment import Deployment
from mulberrybay_testing.http_caller import make_key, send_request
from mulberrybay_testing.waiting import wait_until

WAIT_TIMEOUT_S = 15.0
PREFIX = "mulberrybay_"
ALL_SERVERS = {"all": True}


@pytest.fixture(scope="module")
def deployment(
    tmp_path_factory: pytest.TempPathFactory,
) -> Iterator[Deployment]:
    """A platform, backend servers and three nodes."""
    with Deployment(tmp_path_factory.mktemp("counters")) as running:
        yield running


def scrape(deployment: Deployment, index: int = 0) -> dict[str, float]:
    port = deployment.nodes[index].operator_port
    text = send_request(port, "GET", "/metrics").body.decode()
    values = {}
    for line in text.splitlines():
        if line.startswith(PREFIX):
            name, value = line.removeprefix(PREFIX).rsplit(" ", 1)
            values[name] = float(value)
    return values


def difference(
    before: dict[str, float], after: dict[str, float], name: str
) -> float:
    return after[name] - before[name]


def wait_for(condition: Callable[[], bool]) -> None:
    wait_until(condition, WAIT_TIMEOUT_S, "a counter")


def count_dispatches(deployment: Deployment) -> float:
    return sum(
        value
        for index in range(len(deployment.nodes))
        for name, value in scrape(deployment, index).items()
        if name.startswith("dispatches_total")
    )


def test_runs_are_counted_by_run_state(deployment: Deployment) -> None:
    node = deployment.nodes[0]
    before = scrape(deployment)
    assert deployment.run(node, make_key()).status == 200
    assert deployment.run(node, "no-key").status == 400
    deployment.control_backends(ALL_SERVERS, slow_factor=1000)
    timed_out = deployment.run(node, make_key(), deadline_ms=300)
    deployment.control_backends(ALL_SERVERS, slow_factor=1)
    after = scrape(deployment)
    assert timed_out.json()["error"]["run_state"] == "unknown"
    for state in ("ran", "not_run", "unknown"):
        name = f'runs_total{{run_state="{state}"}}'
        assert difference(before, after, name) == 1


def test_outcome_stays_unsaved_during_a_platform_outage(
    deployment: Deployment,
) -> None:
    node = deployment.nodes[1]
    dispatch_count = count_dispatches(deployment)
    deployment.control_backends(ALL_SERVERS, slow_factor=200)
    caller = threading.Thread(
        target=deployment.run, args=(node, make_key()), daemon=True
    )
    caller.start()
    wait_for(lambda: count_dispatches(deployment) > dispatch_count)
    deployment.control_platform(outage="unavailable")
    caller.join()
    unsaved_count = scrape(deployment, 1)["unsaved_outcomes"]
    deployment.control_platform(outage=None)
    deployment.control_backends(ALL_SERVERS, slow_factor=1)
    assert unsaved_count == 1
    wait_for(lambda: scrape(deployment, 1)["unsaved_outcomes"] == 0)


def test_runs_refused_during_a_platform_outage_are_counted(
    deployment: Deployment,
) -> None:
    node = deployment.nodes[1]
    before = scrape(deployment, 1)
    deployment.control_platform(outage="unavailable")
    wait_for(lambda: deployment.run(node, make_key()).status == 503)
    refused = deployment.run(node, make_key())
    after = scrape(deployment, 1)
    deployment.control_platform(outage=None)
    assert refused.json()["error"]["run_state"] == "not_run"
    name = 'refusals_total{reason="platform_lost"}'
    assert difference(before, after, name) >= 1
    assert difference(before, after, 'runs_total{run_state="not_run"}') >= 2


def test_node_out_of_service_counts_refusals_and_handed_over_servers(
    deployment: Deployment,
) -> None:
    node = deployment.nodes[2]
    name = 'refusals_total{reason="out_of_service"}'
    path = f"/v1/domains/{node.failure_domain}"
    before = scrape(deployment, 2)
    deployment.change(deployment.nodes[0], path, {"state": "out"})
    wait_for(lambda: deployment.query(node).status == 503)
    after = scrape(deployment, 2)
    deployment.change(deployment.nodes[0], path, {"state": "in"})
    # The other nodes hold all servers until this node has claimed its own
    # again.
    held_count = before["held_servers"]
    wait_for(lambda: scrape(deployment, 2)["held_servers"] == held_count)
    # The next test counts servers that change their holder, so this node must
    # hold its servers again before that test starts.
    wait_for(
        lambda: scrape(deployment, 2)["held_servers"] == before["held_servers"]
    )
    deployment.wait_serving()
    assert difference(before, after, name) == 1
    handed_over_name = 'holder_changes_total{change="handed_over"}'
    assert difference(before, after, handed_over_name) == before["held_servers"]


def test_servers_of_a_stopped_node_are_gained_by_others(
    deployment: Deployment,
) -> None:
    name = 'holder_changes_total{change="gained"}'
    before = [scrape(deployment, index) for index in range(3)]
    server_count = before[2]["held_servers"]
    assert deployment.nodes[2].process.terminate() == 0
    deployment.wait_serving()
    after = [scrape(deployment, index) for index in (0, 1)]
    deployment.restart_node(2)
    wait_for(lambda: scrape(deployment, 2)["held_servers"] == server_count)
    final = [scrape(deployment, index) for index in range(3)]
    gained_counts = [
        difference(*pair, name) for pair in zip(before, after, strict=False)
    ]
    assert sum(gained_counts) == server_count > 0
    assert final[2][name] == server_count
    # A node holds the servers that it gained and neither handed over nor lost.
    for values in (*before, *after, *final):
        assert values["held_servers"] == values[name] - sum(
            values[f'holder_changes_total{{change="{how}"}}']
            for how in ("handed_over", "lost")
        )


def test_deleted_run_records_are_counted(deployment: Deployment) -> None:
    created_at_s = int(time.time()) - int(RECORD_RETENTION_S) - 10
    key = f"{created_at_s}-aaaaaaaa"
    deployment.put_object(record_kind(key), f"route-planner:{key}", {})
    cursor = deployment.get_object("run-expiry", "cursor").json()
    slot = {"slot": slot_of(created_at_s)}
    deployment.put_object("run-expiry", "cursor", slot, cursor["version"])
    name = "deleted_run_records_total"
    wait_for(lambda: sum(scrape(deployment, x)[name] for x in range(3)) == 1)


def test_counters_start_at_zero_before_their_first_event(
    deployment: Deployment,
) -> None:
    """Without a value of 0, a rate over a counter misses its first event."""
    values = scrape(deployment, 2)
    for reason in ("stopping", "node_full", "write_share_used"):
        assert values[f'refusals_total{{reason="{reason}"}}'] == 0
    assert values["unsaved_outcomes"] == 0
    assert values["dropped_outcomes_total"] == 0
