"""A failure domain is taken out and returned while bookings are made."""

import itertools
import random
import threading
import time
from collections import Counter
from collections.abc import Iterator
from concurrent.futures import ThreadPoolExecutor

import pytest

from mulberrybay_testing.class_spec import run_class
from mulberrybay_testing.deployment import Deployment
from mulberrybay_testing.history import requests_within
from mulberrybay_testing.http_caller import make_key
from mulberrybay_testing.run_history import RunHistory, check_history
from mulberrybay_testing.waiting import wait_until

OUT_DOMAIN = "d2"
GRACE_S = 3.0
WATCH_S = 1.0
WAIT_S = 10.0
CALLER_COUNT = 8
# A booking takes 0.2 s, so that some are queued and some are at work.
SLOW_FACTOR = 60.0
BEGUN_S = 0.05


@pytest.fixture
def deployment(
    tmp_path_factory: pytest.TempPathFactory,
) -> Iterator[Deployment]:
    """Three nodes and three backend servers, one of each in each domain."""
    with Deployment(
        tmp_path_factory.mktemp("bookings"), (run_class(),)
    ) as running:
        yield running


class Bookers:
    """Callers that book, each key until it is known what became of it."""

    def __init__(self, deployment: Deployment) -> None:
        self.history = RunHistory()
        self._deployment = deployment
        self._ends = threading.Event()
        self._pool = ThreadPoolExecutor(CALLER_COUNT)
        self._callers = [
            self._pool.submit(self._book, seed) for seed in range(CALLER_COUNT)
        ]

    def end(self) -> None:
        """Ends after the bookings in progress."""
        self._ends.set()
        for caller in self._callers:
            caller.result()
        self._pool.shutdown()

    def _book(self, seed: int) -> None:
        source = random.Random(seed)
        while not self._ends.is_set():
            key = make_key(source)
            first = source.randrange(3)
            for index in itertools.count(first):
                node = self._deployment.nodes[index % 3]
                entry = self.history.run(node.node_id, node.caller_port, key)
                if entry.outcome == "ran" or index == first + 8:
                    break

    def wait_ran(self, count: int) -> None:
        """Waits for this many further bookings."""
        target = self.history.outcome_counts()["ran"] + count
        wait_until(
            lambda: self.history.outcome_counts()["ran"] >= target,
            WAIT_S,
            "bookings",
        )


def test_bookings_run_once_while_a_domain_leaves_and_returns(
    deployment: Deployment,
) -> None:
    [out_server] = [
        server["vm_id"]
        for server in deployment.backends
        if server["failure_domain"] == OUT_DOMAIN
    ]
    deployment.control_backends({"all": True}, slow_factor=SLOW_FACTOR)
    bookers = Bookers(deployment)
    bookers.wait_ran(20)
    wait_until(
        lambda: _has_just_begun(deployment, out_server), WAIT_S, "a booking"
    )
    out_at_s = time.time()
    deployment.put_configuration(out_domains=frozenset({OUT_DOMAIN}))
    time.sleep(GRACE_S + WATCH_S)
    bookers.wait_ran(10)
    back_at_s = time.time()
    deployment.put_configuration(out_domains=frozenset())
    wait_until(
        lambda: bool(_requests(deployment, out_server, back_at_s)),
        WAIT_S,
        "work again",
    )
    bookers.wait_ran(10)
    bookers.end()
    assert (
        _requests(deployment, out_server, out_at_s + GRACE_S, back_at_s) == []
    )
    assert _was_at_work(deployment, out_server, out_at_s)
    tries = bookers.history.tries
    assert check_history(tries, deployment.backend_events("effect")) == []
    # No booking was lost, and only nodes of the domain refused any.
    ran = {entry.key for entry in tries if entry.outcome == "ran"}
    assert {entry.key for entry in tries} == ran
    refusals = Counter(
        (entry.node_id, entry.outcome, entry.kind)
        for entry in tries
        if entry.outcome != "ran"
    )
    [out_node] = [
        node.node_id
        for node in deployment.nodes
        if node.failure_domain == OUT_DOMAIN
    ]
    assert set(refusals) == {(out_node, "not_run", "out_of_service")}


def _requests(
    deployment: Deployment,
    server_id: str,
    from_s: float,
    until_s: float = float("inf"),
) -> list[str]:
    events = deployment.backend_events()
    found = requests_within(events, {server_id}, from_s, until_s)
    return [event["request_id"] for event in found]


def _has_just_begun(deployment: Deployment, server_id: str) -> bool:
    """Returns whether a booking has come that will be at work for a while."""
    return bool(_requests(deployment, server_id, time.time() - BEGUN_S))


def _was_at_work(
    deployment: Deployment, server_id: str, out_at_s: float
) -> bool:
    """Returns whether a booking was at the server when its domain left."""
    before = set(_requests(deployment, server_id, 0, out_at_s))
    return any(
        event["request_id"] in before and event["at_s"] > out_at_s
        for event in deployment.backend_events("effect")
    )
