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
# A booking takes 0.2 s, so that some are queued while others are processed.
SLOW_FACTOR = 60.0
NEW_BOOKING_AGE_S = 0.05


@pytest.fixture
def deployment(
    tmp_path_factory: pytest.TempPathFactory,
) -> Iterator[Deployment]:
    """Starts three nodes and three backend servers, one of each per domain."""
    with Deployment(
        tmp_path_factory.mktemp("bookings"), (run_class(),)
    ) as running:
        yield running


class BookingCallers:
    """Callers that make bookings; they retry a key until it has run.

    A caller gives a key up after 8 retries.
    """

    def __init__(self, deployment: Deployment) -> None:
        self.history = RunHistory()
        self._deployment = deployment
        self._stop_requested = threading.Event()
        self._pool = ThreadPoolExecutor(CALLER_COUNT)
        self._callers = [
            self._pool.submit(self._make_bookings, seed)
            for seed in range(CALLER_COUNT)
        ]

    def stop(self) -> None:
        """Stops after the bookings in progress."""
        self._stop_requested.set()
        for caller in self._callers:
            caller.result()
        self._pool.shutdown()

    def _make_bookings(self, seed: int) -> None:
        rng = random.Random(seed)
        while not self._stop_requested.is_set():
            key = make_key(rng)
            first_index = rng.randrange(3)
            for index in itertools.count(first_index):
                node = self._deployment.nodes[index % 3]
                entry = self.history.run(node.node_id, node.caller_port, key)
                if entry.outcome == "ran" or index == first_index + 8:
                    break

    def wait_until_ran(self, count: int) -> None:
        """Waits until this many more bookings have run."""
        target = self.history.outcome_counts()["ran"] + count
        wait_until(
            lambda: self.history.outcome_counts()["ran"] >= target,
            WAIT_S,
            "bookings",
        )


def test_bookings_run_once_while_a_domain_leaves_and_returns(
    deployment: Deployment,
) -> None:
    """No booking is lost or run twice while a domain is out of service.

    The domain is taken out while a booking is processed there, and returned
    later. It gets no new work in between.
    """
    [out_server] = [
        server["vm_id"]
        for server in deployment.backends
        if server["failure_domain"] == OUT_DOMAIN
    ]
    deployment.control_backends({"all": True}, slow_factor=SLOW_FACTOR)
    callers = BookingCallers(deployment)
    callers.wait_until_ran(20)
    wait_until(
        lambda: _has_new_booking(deployment, out_server), WAIT_S, "a booking"
    )
    out_at_s = time.time()
    deployment.put_configuration(out_domains=frozenset({OUT_DOMAIN}))
    time.sleep(GRACE_S + WATCH_S)
    callers.wait_until_ran(10)
    back_at_s = time.time()
    deployment.put_configuration(out_domains=frozenset())
    wait_until(
        lambda: bool(_request_ids(deployment, out_server, back_at_s)),
        WAIT_S,
        "a request to the returned domain",
    )
    callers.wait_until_ran(10)
    callers.stop()
    assert (
        _request_ids(deployment, out_server, out_at_s + GRACE_S, back_at_s)
        == []
    )
    assert _had_booking_in_progress(deployment, out_server, out_at_s)
    calls = callers.history.calls
    assert check_history(calls, deployment.backend_events("effect")) == []
    # No booking was lost, and only nodes of the domain refused any.
    ran = {entry.key for entry in calls if entry.outcome == "ran"}
    assert {entry.key for entry in calls} == ran
    refusals = Counter(
        (entry.node_id, entry.outcome, entry.kind)
        for entry in calls
        if entry.outcome != "ran"
    )
    [out_node] = [
        node.node_id
        for node in deployment.nodes
        if node.failure_domain == OUT_DOMAIN
    ]
    assert set(refusals) == {(out_node, "not_run", "out_of_service")}


def _request_ids(
    deployment: Deployment,
    server_id: str,
    from_s: float,
    until_s: float = float("inf"),
) -> list[str]:
    events = deployment.backend_events()
    matching_events = requests_within(events, {server_id}, from_s, until_s)
    return [event["request_id"] for event in matching_events]


def _has_new_booking(deployment: Deployment, server_id: str) -> bool:
    """Returns whether a booking arrived less than NEW_BOOKING_AGE_S ago.

    Such a booking is still in progress when the domain is taken out.
    """
    return bool(
        _request_ids(deployment, server_id, time.time() - NEW_BOOKING_AGE_S)
    )


def _had_booking_in_progress(
    deployment: Deployment, server_id: str, out_at_s: float
) -> bool:
    """Returns whether the server had a booking when its domain was taken out."""
    earlier_ids = set(_request_ids(deployment, server_id, 0, out_at_s))
    return any(
        event["request_id"] in earlier_ids and event["at_s"] > out_at_s
        for event in deployment.backend_events("effect")
    )
