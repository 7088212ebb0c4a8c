"""A non-idempotent request runs at most once, whatever fails."""

import random
import time
from collections.abc import Iterator
from concurrent.futures import Future, ThreadPoolExecutor

import pytest

from mulberrybay_core.run_record import record_kind
from mulberrybay_testing.booking_load import BookingLoad
from mulberrybay_testing.bookings import WAIT_S, Bookings
from mulberrybay_testing.fault_injector import SERVERS, FaultInjector
from mulberrybay_testing.http_caller import make_key
from mulberrybay_testing.proxied_deployment import ProxiedDeployment
from mulberrybay_testing.run_history import RunTry
from mulberrybay_testing.waiting import wait_until

# Above the lease of 2 s and above the deadlines used here.
FREEZE_S = 2.6
KEY_COUNT = 120
CHAOS_S = 8.0
FAULT_PERIOD_S = 0.5


@pytest.fixture(scope="module")
def deployment(
    tmp_path_factory: pytest.TempPathFactory,
) -> Iterator[ProxiedDeployment]:
    with ProxiedDeployment(tmp_path_factory.mktemp("runs")) as running:
        yield running


def start_recorded(bookings: Bookings, key: str) -> Future[RunTry]:
    """Returns a run at node 0 whose record is written and not yet known."""
    bookings.deployment.control_proxies("platform", delay_ms=400)
    run = bookings.start(0, key)
    bookings.wait_record(key, "unknown")
    return run


def test_node_killed_between_record_and_dispatch(bookings: Bookings) -> None:
    key = make_key()
    run = start_recorded(bookings, key)
    bookings.process(0).kill()
    assert run.result().outcome == "unknown"
    bookings.deployment.heal()
    # Nobody can know that the dead node did not dispatch.
    assert bookings.run(1, key).outcome == "unknown"
    assert bookings.effect_count(key) == 0


def test_node_frozen_past_the_deadline_after_the_record(
    bookings: Bookings,
) -> None:
    key = make_key()
    began_at_s = time.time()
    run = start_recorded(bookings, key)
    bookings.process(0).freeze()
    time.sleep(FREEZE_S)
    bookings.process(0).thaw()
    assert run.result().outcome == "not_run"
    # Nothing was sent, so it did not take the backend server's own check.
    sent = bookings.deployment.backend_events("request")
    assert [event for event in sent if event["at_s"] > began_at_s] == []
    bookings.deployment.heal()
    bookings.wait_record(key, "not_run")
    assert bookings.run(1, key).outcome == "ran"
    assert bookings.effect_count(key) == 1


@pytest.mark.parametrize("with_outage", [False, True])
def test_holder_frozen_longer_than_its_lease_with_work_queued(
    bookings: Bookings, with_outage: bool
) -> None:
    keys = [make_key() for _ in range(18)]
    bookings.deployment.control_backends(SERVERS, slow_factor=60.0)
    runs = [bookings.start(i % 3, key) for i, key in enumerate(keys)]
    wait_until(
        lambda: bookings.record_state(keys[-1]) is not None,
        WAIT_S,
        "a record of the last key",
    )
    bookings.process(2).freeze()
    if with_outage:
        bookings.deployment.control_platform(outage="silent")
    repeats = [bookings.start(i % 2, key) for i, key in enumerate(keys)]
    time.sleep(FREEZE_S)
    bookings.process(2).thaw()
    for run in [*runs, *repeats]:
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
    key = make_key()
    order = {fault: {"kind": record_kind(key), "count": count}}
    bookings.deployment.control_platform(**order)
    with ThreadPoolExecutor() as pool:
        indexes = range(1 + at_two_nodes)
        runs = list(pool.map(lambda index: bookings.run(index, key), indexes))
    assert "ran" in {run.outcome for run in runs}, runs
    assert bookings.effect_count(key) == 1
    # The outcome reaches the record in spite of the fault.
    bookings.wait_record(key, "ran")
    repeat = bookings.run(2, key)
    assert repeat.outcome == "ran", repeat


@pytest.mark.parametrize("body", ["van", "another van"])
def test_same_key_at_two_nodes_at_once(bookings: Bookings, body: str) -> None:
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
    """The caller repeats at other nodes what may have run."""
    deployment = bookings.deployment
    deployment.control_backends(SERVERS, reply_fault="cut_short")
    keys = [make_key() for _ in range(6)]
    if link_fault is not None:
        deployment.control_proxies("node-1", "node-2", **{link_fault: True})
    first = [bookings.start(i % 3, key) for i, key in enumerate(keys)]
    outcomes = {run.result().outcome for run in first}
    assert outcomes <= {"unknown", "not_run"}
    repeats = [bookings.start((i + 1) % 3, key) for i, key in enumerate(keys)]
    for run in repeats:
        run.result()
    if link_fault is None:
        assert all(bookings.effect_count(key) == 1 for key in keys)


def test_caller_repeats_after_a_timeout_at_another_node(
    bookings: Bookings,
) -> None:
    """The request reaches the backend server after the caller's timeout."""
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


def test_keys_out_of_their_time_are_refused(bookings: Bookings) -> None:
    now_s = int(time.time())
    for key in (f"{now_s - 3700}-aaaaaaaa", f"{now_s + 300}-aaaaaaaa"):
        entry = bookings.run(0, key)
        assert (entry.status, entry.outcome) == (400, "not_run")
        assert bookings.effect_count(key) == 0


@pytest.mark.parametrize("seed", [1, 2, 3, 4])
def test_history_of_concurrent_runs_under_pairs_of_faults(
    bookings: Bookings, seed: int
) -> None:
    source = random.Random(seed)
    keys = [make_key(source) for _ in range(KEY_COUNT)]
    injector = FaultInjector(bookings.deployment, source)
    with BookingLoad(bookings, keys, seed) as load:
        ends_at_s = time.monotonic() + CHAOS_S
        while time.monotonic() < ends_at_s:
            injector.inject()
            time.sleep(FAULT_PERIOD_S)
        load.stop()
        bookings.deployment.heal()
    bookings.deployment.heal()
    for index, key in enumerate(keys):
        bookings.run(index % 3, key)
    # The faults left something to check on both sides.
    counts = bookings.history.outcome_counts()
    assert counts["ran"] > KEY_COUNT / 4
    assert counts["not_run"] > 0
