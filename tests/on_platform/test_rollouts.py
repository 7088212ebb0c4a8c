"""Rollouts with real nodes: good and bad versions, and nodes that are killed."""

import itertools
import pathlib
import threading
from collections import Counter
from collections.abc import Iterator
from typing import Any, Final

import pytest
from deployment import Deployment, fetch
from rollout_play import BOUNDS, RolloutPlay, Version

from mulberrybay_testing.waiting import wait_until

DURATION_S: Final = 12.0
SERVICE: Final = "records"


class _Caller(threading.Thread):
    """Sends requests to the running nodes in turn; a context manager.

    Attributes:
        statuses: The number of answers by status.
    """

    def __init__(
        self, deployment: Deployment, path: str, period_s: float
    ) -> None:
        super().__init__()
        self._deployment = deployment
        self._path = path
        self._period_s = period_s
        self._stopping = threading.Event()
        self.statuses: Counter[int] = Counter()

    def __enter__(self) -> "_Caller":
        self.start()
        return self

    def __exit__(self, *_: object) -> None:
        self._stopping.set()
        self.join()

    def run(self) -> None:
        """Sends requests until the context ends."""
        for number in itertools.count():
            if self._stopping.wait(self._period_s):
                return
            nodes = [
                node
                for node in self._deployment.nodes
                if node.process.returncode is None
            ]
            node = nodes[number % len(nodes)]
            try:
                answer = node.send_request(
                    f"{self._path}{number}", request_id=f"r-{number}"
                )
            except OSError:
                # The node was killed meanwhile.
                continue
            self.statuses[answer.status] += 1


@pytest.fixture
def deployment(tmp_path: pathlib.Path) -> Iterator[Deployment]:
    """Yields a deployment whose nodes take part in rollouts."""
    with Deployment(tmp_path) as deployment:
        deployment.rollout_bounds = BOUNDS
        yield deployment


def _play(
    deployment: Deployment,
    version: Version,
    *,
    killed_count: int = 0,
    service: str = SERVICE,
    path: str = "/records/",
    **timing: Any,  # noqa: ANN401
) -> Counter[int]:
    """Plays a rollout in which the first nodes by name are killed."""
    nodes = deployment.start_nodes(3)
    period_s = timing.get("period_s", 0.02)
    duration_s = timing.get("duration_s", DURATION_S)
    with (
        _Caller(deployment, path, period_s) as caller,
        RolloutPlay(deployment, service, version, duration_s) as play,
    ):
        wait_until(lambda: play.status != {}, 8.0, "a status is written")
        for node in nodes[:killed_count]:
            node.process.kill()
        play.wait_for_end()
    assert [*play.problems()] == []
    return caller.statuses


@pytest.mark.parametrize("killed_count", [0, 1])
def test_good_version_is_completed_by_the_deadline(
    deployment: Deployment, killed_count: int
) -> None:
    """Guards against a rollout that ends with the node that writes it."""
    statuses = _play(deployment, Version(), killed_count=killed_count)
    assert {*statuses} == {200}


def test_version_that_fails_is_rolled_back(deployment: Deployment) -> None:
    """Guards against more requests to a bad version than are allowed."""
    _play(deployment, Version(fail_ratio=0.3), killed_count=1)


def test_slow_version_of_a_shard_is_rolled_back(
    deployment: Deployment,
) -> None:
    """Guards against gathered queries that take another way than others."""
    version = Version(delay_s=0.05)
    statuses = _play(deployment, version, service="shard-1", path="/search/")
    assert {*statuses} == {200}


def test_node_without_the_settings_takes_no_part(
    deployment: Deployment,
) -> None:
    """Guards against another choice of servers, or more calls, without them."""
    deployment.rollout_bounds = ""
    (node,) = deployment.start_nodes(1)
    with RolloutPlay(deployment, SERVICE, Version(), 1.0) as play:
        for server in play.old:
            deployment.remove("servers", server.server_id)
        wait_until(
            lambda: (
                node.send_request("/records/1").status == 200
                and play.arrival_times(play.new) != []
            ),
            5.0,
            "the new version gets requests",
        )
    page = fetch(node.metrics_port, "/metrics").body.decode()
    assert 'kind="servers"' in page
    assert 'kind="rollouts"' not in page
    assert play.status == {}
