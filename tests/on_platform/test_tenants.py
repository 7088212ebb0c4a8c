"""API keys at real nodes: open connections, relayed requests, the log."""

import contextlib
import http.client
import pathlib
import time
from collections.abc import Iterator
from typing import Any, Final

import pytest
from deployment import RunningNode, configuration
from linked_deployment import LinkedDeployment

from mulberrybay_testing.http_server import Request
from mulberrybay_testing.ports import HOST
from mulberrybay_testing.waiting import wait_until

KEY: Final = "secret-key-of-red"
TIMEOUT_S: Final = 5.0


def tenants(*keys: str) -> list[dict[str, Any]]:
    return [{"name": "red", "api_keys": [*keys]}]


@pytest.fixture
def linked(tmp_path: pathlib.Path) -> Iterator[LinkedDeployment]:
    with LinkedDeployment(tmp_path) as deployment:
        deployment.put("config", "main", configuration(2, tenants=tenants(KEY)))
        yield deployment


def record_headers(deployment: LinkedDeployment) -> list[dict[str, str]]:
    """Returns the headers of requests for records, as servers get them."""
    received: list[dict[str, str]] = []

    def record(request: Request) -> bool:
        received.append(dict(request.headers))
        return False

    for backend in deployment.backends["records"]:
        backend.is_fatal = record
    return received


def assert_no_key_was_passed_on(
    deployment: LinkedDeployment, received: list[dict[str, str]]
) -> None:
    assert received
    for headers in received:
        assert headers["x-tenant"] == "red"
        assert "authorization" not in headers
    for node in deployment.nodes:
        assert KEY not in str(deployment.log_lines(node))


def test_revoked_key_is_not_served_on_a_connection_that_stays_open(
    linked: LinkedDeployment,
) -> None:
    (node,) = linked.start_nodes(1)
    received = record_headers(linked)
    caller = http.client.HTTPConnection(HOST, node.callers_port, timeout=5)

    def ask(key: str) -> int:
        headers = {
            "Host": "a.example",
            "Authorization": f"Bearer {key}",
            "X-Tenant": "blue",
        }
        caller.request("GET", "/records/1", None, headers)
        reply = caller.getresponse()
        reply.read()
        return reply.status

    with contextlib.closing(caller):
        assert ask(KEY) == 200
        assert ask("other") == 401
        local_port = caller.sock.getsockname()[1]
        linked.put("config", "main", configuration(3, tenants=tenants("other")))
        wait_until(lambda: ask(KEY) == 401, TIMEOUT_S, "the key is revoked")
        assert ask("other") == 200
        assert caller.sock.getsockname()[1] == local_port
    assert_no_key_was_passed_on(linked, received)


def test_node_that_gets_a_relayed_request_judges_and_strips_its_key(
    linked: LinkedDeployment,
) -> None:
    cut, *_ = nodes = linked.start_nodes(3)

    def ask(node: RunningNode, key: str) -> int:
        return node.send_request("/records/1", caller=f"Bearer {key}").status

    for node in nodes:
        wait_until(
            lambda node=node: ask(node, KEY) == 200,  # type: ignore[misc]
            TIMEOUT_S,
            "the node serves",
        )
    linked.set_cut(cut.name, is_cut=True)
    wait_until(
        lambda: "no backend server can be reached" in linked.messages(cut),
        TIMEOUT_S,
        "the node has lost its servers",
    )
    received = record_headers(linked)

    assert ask(cut, KEY) == 200
    assert ask(cut, "other") == 401

    assert_no_key_was_passed_on(linked, received)


def test_quota_holds_over_two_nodes_and_refusals_have_not_run(
    tmp_path: pathlib.Path,
) -> None:
    """Guards against nodes that each let a tenant use the whole quota."""
    rate_per_s, window_s, slack_count = 20, 5, 20
    bound_count = rate_per_s * window_s * 1.1 + slack_count

    class _Quotas(LinkedDeployment):
        more_bounds = {
            "quota_window_s": window_s,
            "quota_excess": 0.1,
            "quota_slack": slack_count,
        }

    with _Quotas(tmp_path) as deployment:
        limited = [{**tenants(KEY)[0], "rate_per_s": rate_per_s}]
        deployment.put("config", "main", configuration(2, tenants=limited))
        nodes = deployment.start_nodes(2)
        statuses: list[int] = []
        began_at_s = time.monotonic()
        # A little less than a window, so that all count in the same one.
        while time.monotonic() < began_at_s + 0.9 * window_s:
            node = nodes[len(statuses) % 2]
            answer = node.send_request("/records/1", caller=f"Bearer {KEY}")
            statuses.append(answer.status)
            if answer.status == 429:
                assert 0 < float(answer.headers["retry-after"]) <= window_s
        run_count = sum(
            len(backend.arrivals) for backend in deployment.backends["records"]
        )
    assert {*statuses} == {200, 429}
    assert run_count == statuses.count(200)
    assert 0.5 * rate_per_s * window_s <= run_count <= bound_count
