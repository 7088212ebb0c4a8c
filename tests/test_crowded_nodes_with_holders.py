"""Nodes with holders stay within their memory and serve while crowds send."""

import contextlib
import pathlib
import time
from collections.abc import Iterator
from typing import Final

import pytest

from mulberrybay_testing.caller_crowd import (
    CROWD_KINDS,
    CrowdLimits,
    CrowdProcess,
)
from mulberrybay_testing.deployment import Deployment
from mulberrybay_testing.deployment_access import NodeProcess
from mulberrybay_testing.http_caller import send_request
from mulberrybay_testing.uncontrolled_callers import (
    PEER_KINDS,
    UncontrolledCallers,
    peak_memory_mb,
)
from mulberrybay_testing.waiting import wait_until

# What these nodes allow, and the memory of the smallest machine.
LIMITS: Final = CrowdLimits(16_384, 1024 * 1024)
MEMORY_MB: Final = 160
MAX_DESCRIPTORS: Final = 4_100
CROWD_COUNT: Final = 60
SILENT_COUNT: Final = 200
LEAD_S: Final = 2.0
ANSWER_TIMEOUT_S: Final = 20.0
SEEDS: Final = (1, 2, 3)
LISTENERS: Final = ("caller", "operator")


@pytest.fixture
def deployment(tmp_path: pathlib.Path) -> Iterator[Deployment]:
    """Yields a deployment of three nodes."""
    with Deployment(tmp_path) as deployment:
        yield deployment


def is_served(deployment: Deployment, node: NodeProcess) -> bool:
    with contextlib.suppress(OSError):
        return deployment.query(node, deadline_ms=8000).status == 200
    return False


def is_observed(node: NodeProcess) -> bool:
    with contextlib.suppress(OSError):
        answer = send_request(node.operator_port, "GET", "/metrics")
        return answer.status == 200
    return False


def check(deployment: Deployment, node: NodeProcess) -> None:
    """Checks that callers and operators are served, and what the node uses."""
    wait_until(
        lambda: (
            node.process.returncode is not None or is_served(deployment, node)
        ),
        ANSWER_TIMEOUT_S,
        "an ordinary request is served",
    )
    wait_until(
        lambda: node.process.returncode is not None or is_observed(node),
        ANSWER_TIMEOUT_S,
        "an operator's request is served",
    )
    assert node.process.returncode is None
    folder = pathlib.Path(f"/proc/{node.process.pid}/fd")
    count = len([*folder.iterdir()])
    peak_mb = peak_memory_mb(node.process.pid)
    print(f"{peak_mb:.0f} MB; {count} open")
    assert count <= MAX_DESCRIPTORS
    assert peak_mb < MEMORY_MB


@contextlib.contextmanager
def crowd(port: int, kind: str, seed: int = 0) -> Iterator[None]:
    """Lets a crowd of some kind send, and others connect, for a while."""
    with (
        CrowdProcess(port, kind, CROWD_COUNT, LIMITS, seed) as process,
        CrowdProcess(port, "silent", SILENT_COUNT, LIMITS) as others,
    ):
        time.sleep(LEAD_S)
        yield
        assert not process.has_ended
        assert not others.has_ended


@pytest.mark.parametrize("listener", LISTENERS)
def test_node_with_holders_serves_beside_each_kind_of_crowd(
    deployment: Deployment, listener: str
) -> None:
    """The kinds come one after the other, so that what is kept adds up."""
    node = deployment.nodes[0]
    for kind in CROWD_KINDS:
        print(kind)
        with crowd(getattr(node, f"{listener}_port"), kind):
            check(deployment, node)
    check(deployment, node)


@pytest.mark.parametrize("seed", SEEDS)
def test_node_with_holders_serves_beside_callers_of_drawn_shapes(
    deployment: Deployment, seed: int
) -> None:
    node = deployment.nodes[0]
    with crowd(node.caller_port, "drawn", seed):
        check(deployment, node)
    check(deployment, node)


@pytest.mark.parametrize("name", [*PEER_KINDS])
def test_node_with_holders_survives_callers_of_its_port_for_nodes(
    deployment: Deployment, name: str
) -> None:
    """Anyone who connects could make it hold frames without a bound."""
    node = deployment.nodes[0]
    with UncontrolledCallers(node.peer_port, [PEER_KINDS[name]]) as callers:
        callers.send(lambda: None)
        check(deployment, node)
    check(deployment, node)


def test_node_with_holders_stops_beside_a_crowd(
    deployment: Deployment,
) -> None:
    node = deployment.nodes[0]
    with crowd(node.caller_port, "short lines"):
        check(deployment, node)
        assert node.process.terminate(timeout_s=40.0) == 0
    check(deployment, deployment.nodes[1])
