"""Promise 3: a cold backend server gets no more work than it can handle."""

import time
from collections.abc import Iterator

import pytest

from mulberrybay_testing.class_spec import search_class
from mulberrybay_testing.deployment import Deployment
from mulberrybay_testing.history import (
    QueryLoad,
    answer_problems,
    requests_within,
)
from mulberrybay_testing.waiting import wait_until

IDLE_S = 1.0
TAKEOVER_TIMEOUT_S = 12.0


@pytest.fixture(scope="module")
def deployment(
    tmp_path_factory: pytest.TempPathFactory,
) -> Iterator[Deployment]:
    """Starts five nodes, so that two may fail, and eight backend servers."""
    with Deployment(
        tmp_path_factory.mktemp("cold"),
        (search_class(service_time_ms=5.0),),
        node_count=5,
    ) as running:
        yield running


def _wait_for_duration(duration_s: float) -> None:
    """Waits while the callers go on."""
    ends_at_s = time.time() + duration_s
    wait_until(
        lambda: time.time() > ends_at_s,
        duration_s + 5,
        "the end of the waiting time",
    )


def _make_idle_servers_cold(
    deployment: Deployment, failed_at_s: float
) -> set[str]:
    """Makes the servers without a holder cold; returns their ids.

    These are the servers that got no request from 0.3 s after the failure.
    """
    _wait_for_duration(IDLE_S)
    events = deployment.backend_events()
    idle_ids = {
        server["vm_id"]
        for server in deployment.backends
        if not requests_within(events, {server["vm_id"]}, failed_at_s + 0.3)
    }
    assert idle_ids
    deployment.control_backends({"vm_ids": sorted(idle_ids)}, cold=True)
    return idle_ids


def _wait_for_takeover(
    deployment: Deployment, vm_ids: set[str], since_s: float
) -> None:
    """Waits until each server has got a request from its new holder."""
    for vm_id in vm_ids:
        wait_until(
            lambda: bool(
                requests_within(
                    deployment.backend_events(),
                    {vm_id},  # noqa: B023
                    since_s,
                )
            ),
            TAKEOVER_TIMEOUT_S,
            f"a request to {vm_id}",
        )


def _overload_events(deployment: Deployment, vm_ids: set[str]) -> list[object]:
    """Returns the events of cold servers that got more than they can handle."""
    return [
        event
        for event in deployment.backend_events("overfed")
        if event["vm_id"] in vm_ids
    ]


def test_cold_servers_of_a_killed_holder_are_not_overloaded(
    deployment: Deployment,
) -> None:
    """New holders do not overload the cold servers of a killed node."""
    held_count = deployment.status(deployment.nodes[3])["held_count"]
    assert held_count > 0
    with QueryLoad(deployment, node_indexes=(0, 1, 2), caller_count=8) as load:
        load.wait_answers(20)
        deployment.nodes[3].process.kill()
        failed_at_s = time.time()
        vm_ids = _make_idle_servers_cold(deployment, failed_at_s)
        _wait_for_takeover(deployment, vm_ids, failed_at_s + IDLE_S)
        load.wait_answers(100)
    assert _overload_events(deployment, vm_ids) == []
    assert answer_problems(load.records, {1: 4}) == []
    deployment.restart_node(3)
    # The other nodes hold all servers until this one has claimed its own.
    wait_until(
        lambda: (
            deployment.status(deployment.nodes[3])["held_count"] == held_count
        ),
        TAKEOVER_TIMEOUT_S,
        "the holdings of the restarted node",
    )
    deployment.wait_serving()


def test_cold_servers_of_two_frozen_holders_are_not_overloaded(
    deployment: Deployment,
) -> None:
    """Thawed nodes do not add load to cold servers that others took over.

    Both nodes still count these servers as their own when they thaw.
    """
    frozen_nodes = deployment.nodes[3:]
    with QueryLoad(deployment, node_indexes=(0, 1, 2), caller_count=8) as load:
        load.wait_answers(20)
        for node in frozen_nodes:
            node.process.freeze()
        failed_at_s = time.time()
        vm_ids = _make_idle_servers_cold(deployment, failed_at_s)
        _wait_for_takeover(deployment, vm_ids, failed_at_s + IDLE_S)
        for node in frozen_nodes:
            node.process.thaw()
        load.wait_answers(100)
        _wait_for_duration(IDLE_S)
    assert _overload_events(deployment, vm_ids) == []
    assert answer_problems(load.records, {1: 4}) == []
    deployment.wait_serving()
