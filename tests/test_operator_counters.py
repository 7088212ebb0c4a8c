"""What a node counts of runs, refusals and holders, as it is scraped."""

import threading
import time
from collections.abc import Callable, Iterator

import pytest

from mulberrybay_core.run_record import RECORD_RETENTION_S, record_kind, slot_of
from mulberrybay_testing.deployment import Deployment
from mulberrybay_testing.http_caller import make_key, send_request
from mulberrybay_testing.waiting import wait_until

WAIT_S = 15.0
PREFIX = "mulberrybay_"
SERVERS = {"all": True}


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


def change(
    before: dict[str, float], after: dict[str, float], name: str
) -> float:
    return after[name] - before[name]


def wait_for(condition: Callable[[], bool]) -> None:
    wait_until(condition, WAIT_S, "a counter")


def count_dispatches(deployment: Deployment) -> float:
    return sum(
        value
        for index in range(len(deployment.nodes))
        for name, value in scrape(deployment, index).items()
        if name.startswith("dispatches_total")
    )


def test_runs_count_by_what_is_known_of_them(deployment: Deployment) -> None:
    node = deployment.nodes[0]
    before = scrape(deployment)
    assert deployment.run(node, make_key()).status == 200
    assert deployment.run(node, "no-key").status == 400
    deployment.control_backends(SERVERS, slow_factor=1000)
    lost = deployment.run(node, make_key(), deadline_ms=300)
    deployment.control_backends(SERVERS, slow_factor=1)
    after = scrape(deployment)
    assert lost.json()["error"]["run_state"] == "unknown"
    for state in ("ran", "not_run", "unknown"):
        name = f'runs_total{{run_state="{state}"}}'
        assert change(before, after, name) == 1


def test_outcome_waits_while_the_platform_is_lost(
    deployment: Deployment,
) -> None:
    node = deployment.nodes[1]
    sent_count = count_dispatches(deployment)
    deployment.control_backends(SERVERS, slow_factor=200)
    caller = threading.Thread(
        target=deployment.run, args=(node, make_key()), daemon=True
    )
    caller.start()
    wait_for(lambda: count_dispatches(deployment) > sent_count)
    deployment.control_platform(outage="unavailable")
    caller.join()
    waiting_count = scrape(deployment, 1)["unsaved_outcomes"]
    deployment.control_platform(outage=None)
    deployment.control_backends(SERVERS, slow_factor=1)
    assert waiting_count == 1
    wait_for(lambda: scrape(deployment, 1)["unsaved_outcomes"] == 0)


def test_refusals_without_the_platform_say_so(deployment: Deployment) -> None:
    node = deployment.nodes[1]
    before = scrape(deployment, 1)
    deployment.control_platform(outage="unavailable")
    wait_for(lambda: deployment.run(node, make_key()).status == 503)
    refused = deployment.run(node, make_key())
    after = scrape(deployment, 1)
    deployment.control_platform(outage=None)
    assert refused.json()["error"]["run_state"] == "not_run"
    name = 'refusals_total{reason="platform_lost"}'
    assert change(before, after, name) >= 1
    assert change(before, after, 'runs_total{run_state="not_run"}') >= 2


def test_node_out_of_service_counts_its_refusals(
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
    # The other nodes hold all until this one has claimed its share again.
    held_count = before["held_servers"]
    wait_for(lambda: scrape(deployment, 2)["held_servers"] == held_count)
    # The node takes its share again before the next test counts what moves.
    wait_for(
        lambda: scrape(deployment, 2)["held_servers"] == before["held_servers"]
    )
    deployment.wait_serving()
    assert change(before, after, name) == 1
    handed_over = 'holder_changes_total{change="handed_over"}'
    assert change(before, after, handed_over) == before["held_servers"]


def test_servers_of_a_node_that_stops_are_gained_by_others(
    deployment: Deployment,
) -> None:
    name = 'holder_changes_total{change="gained"}'
    before = [scrape(deployment, index) for index in range(3)]
    moved_count = before[2]["held_servers"]
    assert deployment.nodes[2].process.terminate() == 0
    deployment.wait_serving()
    after = [scrape(deployment, index) for index in (0, 1)]
    deployment.restart_node(2)
    wait_for(lambda: scrape(deployment, 2)["held_servers"] == moved_count)
    last = [scrape(deployment, index) for index in range(3)]
    gained = [change(*pair, name) for pair in zip(before, after, strict=False)]
    assert sum(gained) == moved_count > 0
    assert last[2][name] == moved_count
    # What is held is what was gained and neither handed over nor lost.
    for values in (*before, *after, *last):
        assert values["held_servers"] == values[name] - sum(
            values[f'holder_changes_total{{change="{how}"}}']
            for how in ("handed_over", "lost")
        )


def test_deleted_records_are_counted(deployment: Deployment) -> None:
    old_s = int(time.time()) - int(RECORD_RETENTION_S) - 10
    key = f"{old_s}-aaaaaaaa"
    deployment.put_object(record_kind(key), f"route-planner:{key}", {})
    cursor = deployment.get_object("run-expiry", "cursor").json()
    slot = {"slot": slot_of(old_s)}
    deployment.put_object("run-expiry", "cursor", slot, cursor["version"])
    name = "deleted_run_records_total"
    wait_for(lambda: sum(scrape(deployment, x)[name] for x in range(3)) == 1)


def test_every_label_is_there_before_its_first_event(
    deployment: Deployment,
) -> None:
    """So that a rate over a counter sees its first event."""
    values = scrape(deployment, 2)
    for reason in ("stopping", "node_full", "write_share_used"):
        assert values[f'refusals_total{{reason="{reason}"}}'] == 0
    assert values["unsaved_outcomes"] == 0
    assert values["dropped_outcomes_total"] == 0
