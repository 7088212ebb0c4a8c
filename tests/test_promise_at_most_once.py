"""A non-idempotent request runs at most once under any fault."""

import random
import time
from collections.abc import Iterator
from concurrent.futures import Future, ThreadPoolExecutor

import pytest

from mulberrybay_core.run_record import record_kind
from mulberrybay_testing.booking_load import BookingLoad
from mulberrybay_testing.bookings import WAIT_S, Bookings
from mulberrybay_testing.fault_injector import ALL_SERVERS, FaultInjector
from mulberrybay_testing.http_caller import make_key
from mulberrybay_testing.proxied_deployment import ProxiedDeployment
from mulberrybay_testing.run_history import RunCall
from mulberrybay_testing.waiting import wait_until

# Longer than the lease of 2 s and the deadlines in these tests.
FREEZE_S = 2.6
KEY_COUNT = 120
FAULTS_DURATION_S = 8.0
FAULT_PERIOD_S = 0.5


@pytest.fixture(scope="module")
def deployment(
    tmp_path_factory: pytest.TempPathFactory,
) -> Iterator[ProxiedDeployment]:
    with ProxiedDeployment(tmp_path_factory.mktemp("runs")) as running:
        yield running


def start_run_with_stored_record(
    bookings: Bookings, key: str
) -> Future[RunCall]:
    """Starts a run at node 0; returns once its record is stored.

    The platform's answer is delayed by 400 ms, so the node does not know yet
    that the record was written and has not dispatched the run.
    """
    bookings.deployment.control_proxies("platform", delay_ms=400)
    run = bookings.start(0, key)
    bookings.wait_for_record_state(key, "unknown")
    return run


def test_node_killed_between_record_and_dispatch(bookings: Bookings) -> None:
    """A run that a dead node may have dispatched stays unknown.

    Another node must not dispatch it when the caller retries.
    """
    key = make_key()
    run = start_run_with_stored_record(bookings, key)
    bookings.process(0).kill()
    assert run.result().outcome == "unknown"
    bookings.deployment.heal()
    # No other node can know whether the dead node dispatched the run.
    assert bookings.run(1, key).outcome == "unknown"
    assert bookings.effect_count(key) == 0


def test_node_frozen_past_the_deadline_after_the_record(
    bookings: Bookings,
) -> None:
    """A thawed node checks the deadline before it dispatches a run.

    The record was written before the node was frozen. The run is reported as
    not run, and a retry runs it.
    """
    key = make_key()
    began_at_s = time.time()
    run = start_run_with_stored_record(bookings, key)
    bookings.process(0).freeze()
    time.sleep(FREEZE_S)
    bookings.process(0).thaw()
    assert run.result().outcome == "not_run"
    # The node itself withheld the run: no backend server got a request that
    # it had to reject.
    sent_requests = bookings.deployment.backend_events("request")
    assert [
        event for event in sent_requests if event["at_s"] > began_at_s
    ] == []
    bookings.deployment.heal()
    bookings.wait_for_record_state(key, "not_run")
    assert bookings.run(1, key).outcome == "ran"
    assert bookings.effect_count(key) == 1


@pytest.mark.parametrize("with_outage", [False, True])
def test_holder_frozen_longer_than_its_lease_with_work_queued(
    bookings: Bookings, with_outage: bool
) -> None:
    """A thawed node does not dispatch queued runs that others have run.

    Callers retry at the other nodes while the holder is frozen past its lease.
    """
    keys = [make_key() for _ in range(18)]
    bookings.deployment.control_backends(ALL_SERVERS, slow_factor=60.0)
    runs = [bookings.start(i % 3, key) for i, key in enumerate(keys)]
    wait_until(
        lambda: bookings.record_state(keys[-1]) is not None,
        WAIT_S,
        "a record of the last key",
    )
    bookings.process(2).freeze()
    if with_outage:
        bookings.deployment.control_platform(outage="silent")
    retries = [bookings.start(i % 2, key) for i, key in enumerate(keys)]
    time.sleep(FREEZE_S)
    bookings.process(2).thaw()
    for run in [*runs, *retries]:
        run.result()
    bookings.deployment.heal()
    for key in keys:
        bookings.run(0, key)


@pytest.mark.parametrize("fault", ["lose_answers", "lose_requests"])
@pytest.mark.parametrize("count", [1, 2, 4])
@pytest.mark.parametrize("at_two_nodes", [False, True])
def test_write_whose_answer_or_request_is_lost(
    bookings: Bookings, fault: str, count: int, at_two_nodes: bool
) -> None:
    """A lost write of a run record must not cause a second run or none.

    The platform drops write requests, or answers to writes that it applied.
    """
    key = make_key()
    platform_fault = {fault: {"kind": record_kind(key), "count": count}}
    bookings.deployment.control_platform(**platform_fault)
    with ThreadPoolExecutor() as pool:
        indexes = range(1 + at_two_nodes)
        runs = list(pool.map(lambda index: bookings.run(index, key), indexes))
    assert "ran" in {run.outcome for run in runs}, runs
    assert bookings.effect_count(key) == 1
    # The outcome is stored in the record despite the fault.
    bookings.wait_for_record_state(key, "ran")
    retry = bookings.run(2, key)
    assert retry.outcome == "ran", retry


@pytest.mark.parametrize("body", ["van", "another van"])
def test_same_key_at_two_nodes_at_once(bookings: Bookings, body: str) -> None:
    """Two nodes that get the same key at once run it only once.

    With another body, one of the two requests is refused.
    """
    for _ in range(10):
        key = make_key()
        runs = [bookings.start(0, key), bookings.start(1, key, body)]
        outcomes = sorted(run.result().outcome for run in runs)
        assert "ran" in outcomes
        if body != "van":
            assert outcomes == ["not_run", "ran"]
        assert bookings.run(2, key).outcome in {"ran", "not_run"}
        assert bookings.effect_count(key) == 1


@pytest.mark.parametrize("link_fault", [None, "cut", "silent_all"])
def test_connection_cut_after_the_effect(
    bookings: Bookings, link_fault: str | None
) -> None:
    """A run whose reply was cut short is not run again.

    Callers retry at other nodes, while the links between nodes are cut or
    silent in some cases.
    """
    deployment = bookings.deployment
    deployment.control_backends(ALL_SERVERS, reply_fault="cut_short")
    keys = [make_key() for _ in range(6)]
    if link_fault is not None:
        deployment.control_proxies("node-1", "node-2", **{link_fault: True})
    first_runs = [bookings.start(i % 3, key) for i, key in enumerate(keys)]
    outcomes = {run.result().outcome for run in first_runs}
    assert outcomes <= {"unknown", "not_run"}
    retries = [bookings.start((i + 1) % 3, key) for i, key in enumerate(keys)]
    for run in retries:
        run.result()
    if link_fault is None:
        assert all(bookings.effect_count(key) == 1 for key in keys)


def test_caller_retries_at_another_node_after_a_timeout(
    bookings: Bookings,
) -> None:
    """A retry does not run a request again that is still on its way.

    The first request reaches the backend server after the caller's timeout.
    """
    deployment = bookings.deployment
    server_ids = [server["vm_id"] for server in deployment.backends]
    deployment.control_proxies(*server_ids, delay_ms=600)
    key = make_key()
    first = bookings.start(0, key, deadline_ms=300).result()
    second = bookings.start(1, key, deadline_ms=300).result()
    assert first.outcome == "unknown", first
    assert second.outcome == "unknown", second
    wait_until(lambda: bookings.effect_count(key) == 1, WAIT_S, "an effect")
    assert bookings.run(2, key).outcome in {"ran", "unknown"}


def test_expired_and_future_keys_are_refused(bookings: Bookings) -> None:
    """A key whose time is too old or in the future runs nothing."""
    now_s = int(time.time())
    for key in (f"{now_s - 3700}-aaaaaaaa", f"{now_s + 300}-aaaaaaaa"):
        entry = bookings.run(0, key)
        assert (entry.status, entry.outcome) == (400, "not_run")
        assert bookings.effect_count(key) == 0


@pytest.mark.parametrize("seed", [1, 2, 3, 4])
def test_history_of_concurrent_runs_under_pairs_of_faults(
    bookings: Bookings, seed: int
) -> None:
    """Each key runs at most once while random pairs of faults are injected."""
    rng = random.Random(seed)
    keys = [make_key(rng) for _ in range(KEY_COUNT)]
    injector = FaultInjector(bookings.deployment, rng)
    with BookingLoad(bookings, keys, seed) as load:
        ends_at_s = time.monotonic() + FAULTS_DURATION_S
        while time.monotonic() < ends_at_s:
            injector.inject()
            time.sleep(FAULT_PERIOD_S)
        load.stop()
        bookings.deployment.heal()
    bookings.deployment.heal()
    for index, key in enumerate(keys):
        bookings.run(index % 3, key)
    # Enough requests ran and some were refused, so both were checked.
    counts = bookings.history.outcome_counts()
    assert counts["ran"] > KEY_COUNT / 4
    assert counts["not_run"] > 0
