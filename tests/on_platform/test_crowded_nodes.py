"""Ordinary callers get answers from a node while crowds of others send."""

import contextlib
import pathlib
import time
from collections.abc import Iterator
from typing import Any, Final

import pytest
from deployment import (
    SHARDS,
    Deployment,
    RunningNode,
    configuration,
    fetch,
    route,
)

from mulberrybay_testing.caller_crowd import (
    CROWD_KINDS,
    CrowdLimits,
    CrowdProcess,
)
from mulberrybay_testing.uncontrolled_callers import (
    MAX_BODY_BYTES,
    MAX_DESCRIPTORS,
    MAX_HEADER_BYTES,
    MEMORY_MB,
    SETTINGS,
    peak_memory_mb,
)
from mulberrybay_testing.waiting import wait_until

LIMITS: Final = CrowdLimits(MAX_HEADER_BYTES, MAX_BODY_BYTES)
CROWD_COUNT: Final = 60
# Beside each crowd, so many others connect and wait.
SILENT_COUNT: Final = 200
# How long a crowd sends before an ordinary caller comes.
LEAD_S: Final = 2.0
ANSWER_TIMEOUT_S: Final = 20.0
SEEDS: Final = (1, 2, 3)
# The replies of shards, and how long queries wait for them.
SHARD_REPLY_BYTES: Final = 1_000_000
HELD_S: Final = 4.0
OWN_LISTENERS: Final = {
    "readiness": "/api/readiness",
    "directory": "/api/resolve?name=a.example&region=r&zone=zone-a",
    "metrics": "/metrics",
}


class _CrowdedDeployment(Deployment):
    extra_settings = SETTINGS

    def first_configuration(self) -> dict[str, Any]:
        return self.configuration(1)

    def configuration(self, version: int, **fields: Any) -> dict[str, Any]:  # noqa: ANN401
        """Returns a configuration with the limits that crowds know."""
        limits = {
            "max_header_bytes": MAX_HEADER_BYTES,
            "max_body_bytes": MAX_BODY_BYTES,
            "header_timeout_ms": 10_000,
            "idle_timeout_ms": 10_000,
        }
        return configuration(version, limits=limits, **fields)


@pytest.fixture
def deployment(tmp_path: pathlib.Path) -> Iterator[_CrowdedDeployment]:
    """Yields a deployment without nodes."""
    with _CrowdedDeployment(tmp_path) as deployment:
        yield deployment


@contextlib.contextmanager
def crowd(
    port: int, kind: str, seed: int = 0, count: int = CROWD_COUNT
) -> Iterator[None]:
    """Lets a crowd of some kind send, and others connect, for a while."""
    with (
        CrowdProcess(port, kind, count, LIMITS, seed) as process,
        CrowdProcess(port, "silent", SILENT_COUNT, LIMITS) as others,
    ):
        time.sleep(LEAD_S)
        yield
        assert not process.has_ended
        assert not others.has_ended


def is_served(node: RunningNode, path: str = "/search/x") -> bool:
    with contextlib.suppress(OSError):
        return node.send_request(path, deadline_ms=8000).status == 200
    return False


def wait_served(node: RunningNode, path: str = "/search/x") -> None:
    wait_until(
        lambda: node.process.returncode is not None or is_served(node, path),
        ANSWER_TIMEOUT_S,
        "an ordinary request is served",
    )


def check_bounds(node: RunningNode) -> None:
    """Checks what the node uses."""
    assert node.process.returncode is None
    folder = pathlib.Path(f"/proc/{node.process.pid}/fd")
    count = len([*folder.iterdir()])
    peak_mb = peak_memory_mb(node.process.pid)
    print(f"{peak_mb:.0f} MB; {count} open")
    assert count <= MAX_DESCRIPTORS
    assert peak_mb < MEMORY_MB


@pytest.mark.parametrize("kind", [*CROWD_KINDS])
def test_ordinary_request_is_served_beside_a_crowd_and_after_it(
    deployment: _CrowdedDeployment, kind: str
) -> None:
    (node,) = deployment.start_nodes(1)
    with crowd(node.callers_port, kind):
        wait_served(node)
        check_bounds(node)
    wait_served(node)
    check_bounds(node)


@pytest.mark.parametrize("seed", SEEDS)
def test_ordinary_request_is_served_beside_callers_of_drawn_shapes(
    deployment: _CrowdedDeployment, seed: int
) -> None:
    (node,) = deployment.start_nodes(1)
    with crowd(node.callers_port, "drawn", seed):
        wait_served(node)
        check_bounds(node)
    wait_served(node)


def test_replies_held_while_queries_run_stay_within_memory(
    deployment: _CrowdedDeployment,
) -> None:
    """Large replies of some shards wait for those of a slow one."""
    (node,) = deployment.start_nodes(1)
    for shard in SHARDS[:-1]:
        for backend in deployment.backends[shard]:
            backend.padding_bytes = SHARD_REPLY_BYTES
    for backend in deployment.backends[SHARDS[-1]]:
        backend.delay_s = 1.5
    with crowd(node.callers_port, "searches"):
        time.sleep(HELD_S)
        wait_served(node, "/records/1")
        check_bounds(node)
    wait_served(node)


@pytest.mark.parametrize("listener", [*OWN_LISTENERS])
def test_listeners_that_nodes_answer_themselves_serve_beside_a_crowd(
    deployment: _CrowdedDeployment, listener: str
) -> None:
    """A crowd at one listener keeps neither it nor the callers' from serving."""
    (node,) = deployment.start_nodes(1)
    port = getattr(node, f"{listener}_port")

    def is_answered() -> bool:
        with contextlib.suppress(OSError):
            return fetch(port, OWN_LISTENERS[listener]).status == 200
        return False

    for kind in ("short lines", "tiny chunks", "drawn"):
        with crowd(port, kind):
            wait_served(node)
            wait_until(is_answered, ANSWER_TIMEOUT_S, f"{listener} answers")
            check_bounds(node)


@pytest.mark.parametrize("kind", ["short lines", "drawn"])
def test_node_stops_and_starts_beside_a_crowd(
    deployment: _CrowdedDeployment, kind: str
) -> None:
    (node,) = deployment.start_nodes(1)
    with crowd(node.callers_port, kind):
        wait_served(node)
        assert node.process.terminate() == 0
        node = deployment.restart(node)
        wait_served(node)
        check_bounds(node)


def test_configuration_is_applied_beside_a_crowd(
    deployment: _CrowdedDeployment,
) -> None:
    (node,) = deployment.start_nodes(1)
    routes = deployment.first_configuration()["routes"]
    changed = [*routes, route("added", "/added/", service="records")]
    with crowd(node.callers_port, "short lines"):
        spec = deployment.configuration(2, routes=changed)
        deployment.put("config", "main", spec)
        wait_served(node, "/added/1")
        check_bounds(node)


def test_nodes_that_relay_serve_beside_a_crowd(
    deployment: _CrowdedDeployment,
) -> None:
    """Several nodes, one of which is crowded; each serves its own callers."""
    nodes = deployment.start_nodes(3)
    with crowd(nodes[0].callers_port, "short lines"):
        for node in nodes:
            wait_served(node)
            wait_served(node, "/records/1")
    for node in nodes:
        check_bounds(node)
