"""Callers that nobody controls don't exhaust a node's memory or descriptors."""

import contextlib
import pathlib
import socket
from collections.abc import Iterator
from typing import Any, Final

import pytest
from deployment import Deployment, RunningNode, configuration

from mulberrybay_testing.ports import HOST
from mulberrybay_testing.uncontrolled_callers import (
    KINDS,
    MAX_BODY_BYTES,
    MAX_DESCRIPTORS,
    MAX_HEADER_BYTES,
    MEMORY_MB,
    PEER_KINDS,
    SETTINGS,
    SILENT_KINDS,
    CallerKind,
    UncontrolledCallers,
    peak_memory_mb,
)
from mulberrybay_testing.waiting import wait_until

ANSWER_BYTES: Final = 100_000
ANSWER_TIMEOUT_S: Final = 20.0


class _LimitedDeployment(Deployment):
    extra_settings = SETTINGS

    def first_configuration(self) -> dict[str, Any]:
        limits = {
            "max_header_bytes": MAX_HEADER_BYTES,
            "max_body_bytes": MAX_BODY_BYTES,
            "header_timeout_ms": 10_000,
            "idle_timeout_ms": 10_000,
        }
        return configuration(1, limits=limits)


@pytest.fixture
def node(tmp_path: pathlib.Path) -> Iterator[RunningNode]:
    """Yields a node with little memory, whose servers give large answers."""
    with _LimitedDeployment(tmp_path) as deployment:
        (node,) = deployment.start_nodes(1)
        for backend in deployment.backends["records"]:
            backend.padding_bytes = ANSWER_BYTES
        wait_until(
            lambda: is_listening(node.peer_port), 10.0, "all ports are open"
        )
        yield node


def is_listening(port: int) -> bool:
    with contextlib.suppress(OSError):
        socket.create_connection((HOST, port)).close()
        return True
    return False


def count_descriptors(node: RunningNode) -> int:
    with contextlib.suppress(OSError):
        return len([*pathlib.Path(f"/proc/{node.process.pid}/fd").iterdir()])
    return 0


def is_served(node: RunningNode) -> bool:
    with contextlib.suppress(OSError):
        return node.send_request("/search/x", deadline_ms=8000).status == 200
    return False


def check(node: RunningNode, port: int, kinds: list[CallerKind]) -> None:
    """Lets callers send, then checks the node while they stay connected."""
    before_mb = peak_memory_mb(node.process.pid)
    counts = []
    with UncontrolledCallers(port, kinds) as callers:
        callers.send(lambda: counts.append(count_descriptors(node)))
        wait_until(
            lambda: node.process.returncode is not None or is_served(node),
            ANSWER_TIMEOUT_S,
            "an ordinary request is served",
        )
    peak_mb = peak_memory_mb(node.process.pid)
    print(f"{before_mb:.0f} MB, then {peak_mb:.0f}; {max(counts)} open")
    assert node.process.returncode is None
    assert peak_mb < MEMORY_MB
    assert max(counts) <= MAX_DESCRIPTORS


@pytest.mark.parametrize("name", [*KINDS])
def test_node_survives_callers_that_make_it_hold_bytes(
    node: RunningNode, name: str
) -> None:
    check(node, node.callers_port, [KINDS[name]])


def test_node_survives_all_kinds_of_callers_at_once(node: RunningNode) -> None:
    check(node, node.callers_port, [*KINDS.values(), *SILENT_KINDS.values()])


@pytest.mark.parametrize("name", [*SILENT_KINDS])
@pytest.mark.parametrize(
    "listener", ["callers", "readiness", "directory", "metrics"]
)
def test_silent_connections_take_no_more_than_their_descriptors(
    node: RunningNode, listener: str, name: str
) -> None:
    port = getattr(node, f"{listener}_port")
    check(node, port, [SILENT_KINDS[name]])


@pytest.mark.parametrize("listener", ["readiness", "directory", "metrics"])
def test_other_listeners_survive_callers_that_make_them_hold_bytes(
    node: RunningNode, listener: str
) -> None:
    """A node without a limit for these held every byte."""
    port = getattr(node, f"{listener}_port")
    check(node, port, [*KINDS.values()])


@pytest.mark.parametrize("name", [*PEER_KINDS])
def test_port_for_other_nodes_survives_callers_that_are_none(
    node: RunningNode, name: str
) -> None:
    check(node, node.peer_port, [PEER_KINDS[name]])
