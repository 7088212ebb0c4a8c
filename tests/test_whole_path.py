"""End-to-end tests with separate processes: addresses, queries, bookings."""

import socket
import time
from collections.abc import Iterator

import pytest

from mulberrybay_testing.backend_model import expected_hits
from mulberrybay_testing.deployment import Deployment
from mulberrybay_testing.http_caller import (
    HttpAnswer,
    make_key,
    send_request,
)

ADDRESSES_TIMEOUT_S = 2.0


@pytest.fixture(scope="module")
def deployment(
    tmp_path_factory: pytest.TempPathFactory,
) -> Iterator[Deployment]:
    """A platform, eleven backend servers and three nodes."""
    with Deployment(tmp_path_factory.mktemp("path")) as running:
        yield running


def test_addresses_start_with_the_callers_domain(
    deployment: Deployment,
) -> None:
    def request_addresses() -> HttpAnswer:
        return send_request(
            deployment.nodes[0].caller_port,
            "GET",
            "/v1/addresses?failure_domain=d2",
        )

    # A node advertises a peer after a heartbeat that reports the peer as
    # serving. The first such heartbeat may still be on its way.
    ends_at_s = time.monotonic() + ADDRESSES_TIMEOUT_S
    answer = request_addresses()
    while len(answer.json()["addresses"]) < 3 and time.monotonic() < ends_at_s:
        time.sleep(0.05)
        answer = request_addresses()
    document = answer.json()
    assert answer.status == 200
    assert [item["failure_domain"] for item in document["addresses"]] == [
        "d2",
        "d1",
        "d3",
    ]
    assert document["time_to_live_s"] > 0


def test_query_returns_the_hits_of_all_shards_of_one_snapshot(
    deployment: Deployment,
) -> None:
    answer = deployment.query(deployment.nodes[0], body="valve")
    document = answer.json()
    expected_ids = [
        hit["id"]
        for shard in range(4)
        for hit in expected_hits(1, shard, b'"valve"')
    ]
    assert answer.status == 200
    assert [hit["id"] for hit in document["hits"]] == expected_ids
    assert document["coverage"]["covered_count"] == 4
    assert document["coverage"]["missing_shards"] == []


def test_query_sends_one_request_to_each_shard(deployment: Deployment) -> None:
    def count_requests() -> int:
        counters = deployment.backend_counters()
        return sum(item["requests"] for item in counters.values())

    before_count = count_requests()
    answer = deployment.query(deployment.nodes[2], body="salt")
    assert answer.status == 200
    assert count_requests() - before_count == 4


def test_booking_sent_to_two_nodes_runs_once(deployment: Deployment) -> None:
    key = make_key()
    first = deployment.run(deployment.nodes[0], key)
    second = deployment.run(deployment.nodes[1], key)
    effects = [
        event
        for event in deployment.backend_events("effect")
        if event["idempotency_key"] == key
    ]
    assert first.status == second.status == 200
    assert first.json()["result"] == second.json()["result"]
    assert second.json()["was_repeat"] is True
    assert len(effects) == 1


def test_request_sent_in_one_segment_gets_one_answer(
    deployment: Deployment,
) -> None:
    """Header and body arrive together, twice on the same connection."""
    port = deployment.nodes[0].caller_port
    head = "Host: x\r\nX-Deadline-Ms: 1000\r\nContent-Length: 3\r\n"
    request = f"POST /v1/query/field-search HTTP/1.1\r\n{head}"
    with socket.create_connection(("127.0.0.1", port), timeout=5) as client:
        for connection_header in ("", "Connection: close\r\n"):
            client.sendall(f'{request}{connection_header}\r\n"a"'.encode())
            if not connection_header:
                answers = client.recv(65536)
        while chunk := client.recv(65536):
            answers += chunk
    assert answers.count(b"HTTP/1.1 ") == 2
    assert answers.count(b"HTTP/1.1 200 ") == 2
