"""Promise 3: a cold backend server gets no more than it can bear."""

import time
from collections.abc import Iterator

import pytest

from mulberrybay_testing.class_spec import search_class
from mulberrybay_testing.deployment import Deployment
from mulberrybay_testing.history import (
    CallerLoad,
    answer_problems,
    requests_within,
)
from mulberrybay_testing.waiting import wait_until

IDLE_S = 1.0
TAKE_OVER_S = 12.0


@pytest.fixture(scope="module")
def deployment(
    tmp_path_factory: pytest.TempPathFactory,
) -> Iterator[Deployment]:
    """Five nodes, so that two may be lost, and eight backend servers."""
    with Deployment(
        tmp_path_factory.mktemp("cold"),
        (search_class(service_time_ms=5.0),),
        node_count=5,
    ) as running:
        yield running


def _watch(duration_s: float) -> None:
    ends_at_s = time.time() + duration_s
    wait_until(lambda: time.time() > ends_at_s, duration_s + 5, "the time")


def _turn_idle_cold(deployment: Deployment, lost_at_s: float) -> set[str]:
    """Turns the servers cold that have lost their holder; returns them."""
    _watch(IDLE_S)
    events = deployment.backend_events()
    idle_ids = {
        server["vm_id"]
        for server in deployment.backends
        if not requests_within(events, {server["vm_id"]}, lost_at_s + 0.3)
    }
    assert idle_ids
    deployment.control_backends({"vm_ids": sorted(idle_ids)}, cold=True)
    return idle_ids


def _wait_taken_over(
    deployment: Deployment, vm_ids: set[str], since_s: float
) -> None:
    for vm_id in vm_ids:
        wait_until(
            lambda: bool(
                requests_within(
                    deployment.backend_events(),
                    {vm_id},  # noqa: B023
                    since_s,
                )
            ),
            TAKE_OVER_S,
            f"work for {vm_id}",
        )


def _overfed(deployment: Deployment, vm_ids: set[str]) -> list[object]:
    return [
        event
        for event in deployment.backend_events("overfed")
        if event["vm_id"] in vm_ids
    ]


def test_holder_killed(deployment: Deployment) -> None:
    """Its servers are cold when others take them over."""
    held_count = deployment.status(deployment.nodes[3])["held_count"]
    assert held_count > 0
    with CallerLoad(deployment, node_indexes=(0, 1, 2), caller_count=8) as load:
        load.wait_answers(20)
        deployment.nodes[3].process.kill()
        lost_at_s = time.time()
        vm_ids = _turn_idle_cold(deployment, lost_at_s)
        _wait_taken_over(deployment, vm_ids, lost_at_s + IDLE_S)
        load.wait_answers(100)
    assert _overfed(deployment, vm_ids) == []
    assert answer_problems(load.records, {1: 4}) == []
    deployment.restart_node(3)
    # The others hold all until the node has claimed its share again.
    wait_until(
        lambda: (
            deployment.status(deployment.nodes[3])["held_count"] == held_count
        ),
        TAKE_OVER_S,
        "the share of the restarted node",
    )
    deployment.wait_serving()


def test_two_nodes_frozen_and_thawed(deployment: Deployment) -> None:
    """Both still believe to hold servers that others have just taken over."""
    frozen = deployment.nodes[3:]
    with CallerLoad(deployment, node_indexes=(0, 1, 2), caller_count=8) as load:
        load.wait_answers(20)
        for node in frozen:
            node.process.freeze()
        lost_at_s = time.time()
        vm_ids = _turn_idle_cold(deployment, lost_at_s)
        _wait_taken_over(deployment, vm_ids, lost_at_s + IDLE_S)
        for node in frozen:
            node.process.thaw()
        load.wait_answers(100)
        _watch(IDLE_S)
    assert _overfed(deployment, vm_ids) == []
    assert answer_problems(load.records, {1: 4}) == []
    deployment.wait_serving()
