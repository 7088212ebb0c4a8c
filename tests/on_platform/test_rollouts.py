"""Rollouts with real nodes: a good version, a bad one, a node killed midway."""

import itertools
import pathlib
import threading
import time
from collections.abc import Iterator
from typing import Any, Final

import pytest
from deployment import Deployment, RunningNode, fetch
from standins import BackendStandIn

from mulberrybay_testing.waiting import wait_until

DURATION_S: Final = 12.0
EXPOSE_SHARE: Final = 0.1
EXPOSE_SLACK: Final = 50
ROLLBACK_S: Final = 5.0
REQUEST_PERIOD_S: Final = 0.02
SERVICE: Final = "records"


class _RolloutDeployment(Deployment):
    rollout_bounds = (
        f"[rollouts]\nexpose_share = {EXPOSE_SHARE}\n"
        f"expose_slack = {EXPOSE_SLACK}\n"
        f"rollback_ms = {int(1000 * ROLLBACK_S)}\n"
    )


class _Rollout(threading.Thread):
    """One rollout under a steady load; a context manager.

    Attributes:
        ordered_at_s: When it was ordered.
        old: The servers that ran before.
        new: The servers of the new version.
        statuses: The statuses of answers to callers.
    """

    def __init__(self, deployment: Deployment) -> None:
        super().__init__()
        self._deployment = deployment
        self._stopping = threading.Event()
        self.old = [*deployment.backends[SERVICE]]
        self.statuses: list[int] = []
        self.ordered_at_s = time.monotonic()
        spec = {
            "service": SERVICE,
            "target_version": "v2",
            "duration_s": DURATION_S,
        }
        deployment.put("rollouts", SERVICE, spec)
        self.new: list[BackendStandIn] = []

    def __enter__(self) -> "_Rollout":
        self.start()
        return self

    def __exit__(self, *_: object) -> None:
        self._stopping.set()
        self.join()

    def add_servers(self, status: int) -> None:
        """Starts the servers of the new version."""
        for _ in self.old:
            server = self._deployment.add_backend(SERVICE, version="v2")
            server.status = status
            self.new.append(server)

    def run(self) -> None:
        """Sends requests to the running nodes in turn."""
        for number in itertools.count():
            if self._stopping.wait(REQUEST_PERIOD_S):
                return
            nodes = [
                node
                for node in self._deployment.nodes
                if node.process.returncode is None
            ]
            try:
                answer = nodes[number % len(nodes)].send_request(
                    f"/records/{number}", request_id=f"r-{number}"
                )
            except OSError:
                # The node was killed meanwhile.
                continue
            self.statuses.append(answer.status)

    def status(self) -> dict[str, Any]:
        """Returns the status in the store."""
        return self._deployment.store.status_of("rollouts", SERVICE) or {}

    def wait_for(self, state: str) -> float:
        """Waits for a state; returns when it came, from the order on."""
        wait_until(
            lambda: self.status().get("state") == state,
            DURATION_S + 2.0,
            f"{self.status()} is {state}",
        )
        return time.monotonic() - self.ordered_at_s


def _arrival_times(servers: list[BackendStandIn]) -> list[float]:
    return sorted(arrival.at_s for s in servers for arrival in s.arrivals)


def _step(node: RunningNode) -> str:
    """Returns the lines of a node's metrics that tell of rollouts."""
    text = fetch(node.metrics_port, "/metrics").body.decode()
    lines = text.splitlines()
    return "\n".join(line for line in lines if "_rollout" in line)


@pytest.fixture
def deployment(tmp_path: pathlib.Path) -> Iterator[Deployment]:
    """Yields a deployment whose nodes take part in rollouts."""
    with _RolloutDeployment(tmp_path) as deployment:
        yield deployment


@pytest.mark.parametrize("killed_count", [0, 1])
def test_good_version_is_completed_by_the_deadline(
    deployment: Deployment, killed_count: int
) -> None:
    """Guards against a rollout that ends with the node that writes it."""
    nodes = deployment.start_nodes(3)
    with _Rollout(deployment) as rollout:
        rollout.add_servers(status=200)
        wait_until(lambda: rollout.status() != {}, 5.0, "a status is written")
        for node in nodes[:killed_count]:
            node.process.kill()
        took_s = rollout.wait_for("completed")
        completed_at_s = time.monotonic()
        last_count = len(_arrival_times(rollout.new))
        wait_until(
            lambda: len(_arrival_times(rollout.new)) > last_count + 20,
            5.0,
            "new servers get requests",
        )
    assert took_s <= DURATION_S
    assert {*rollout.statuses} == {200}
    # What was sent before a node knew of the end has arrived by then.
    late_s = [t for t in _arrival_times(rollout.old) if t > completed_at_s + 1]
    assert not late_s


def test_bad_version_is_rolled_back_and_gets_no_more_requests(
    deployment: Deployment,
) -> None:
    """Guards against more requests to a bad version than are allowed."""
    deployment.start_nodes(3)
    with _Rollout(deployment) as rollout:
        rollout.add_servers(status=500)
        took_s = rollout.wait_for("rolled_back")
        rolled_back_at_s = time.monotonic()
        sent_count = len(rollout.statuses)
        wait_until(
            lambda: len(rollout.statuses) > sent_count + 100, 10.0, "requests"
        )
    assert took_s <= DURATION_S
    times_s = _arrival_times(rollout.new)
    assert times_s[-1] <= rolled_back_at_s + 1
    bound_count = EXPOSE_SHARE * len(rollout.statuses) + EXPOSE_SLACK
    assert len(times_s) <= bound_count
