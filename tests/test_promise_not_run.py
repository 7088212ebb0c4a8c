"""A refusal that says "not run" is true, final, and sent at once."""

import statistics
import time
from collections.abc import Iterator
from typing import Any

import pytest

from mulberrybay_core.run_record import RECORD_RETENTION_S, record_kind, slot_of
from mulberrybay_testing.bookings import Bookings
from mulberrybay_testing.fault_injector import ALL_SERVERS
from mulberrybay_testing.http_caller import make_key
from mulberrybay_testing.proxied_deployment import ProxiedDeployment
from mulberrybay_testing.run_history import RunCall, check_history
from mulberrybay_testing.waiting import wait_until

WAIT_S = 10.0
TRY_COUNT = 15
# Limit for the time from a request to its refusal.
REFUSAL_LIMIT_S = 0.05


@pytest.fixture(scope="module")
def deployment(
    tmp_path_factory: pytest.TempPathFactory,
) -> Iterator[ProxiedDeployment]:
    with ProxiedDeployment(tmp_path_factory.mktemp("refusals")) as running:
        yield running


def send_runs(bookings: Bookings, key: str | None = None) -> list[RunCall]:
    """Sends runs to the first node, with new keys unless a key is given."""
    return [bookings.send(0, key) for _ in range(TRY_COUNT)]


def wait_for_refusal(bookings: Bookings, kind: str) -> None:
    """Sends runs until the node refuses them with this kind."""

    def is_refused() -> bool:
        entry = bookings.send(0)
        return entry.kind == kind and entry.latency_s <= REFUSAL_LIMIT_S

    wait_until(is_refused, WAIT_S, f"a refusal as {kind!r}")


def check_refusals(entries: list[RunCall], kind: str) -> None:
    """Checks that all were refused at once and say when to retry."""
    assert {entry.outcome for entry in entries} == {"not_run"}, entries
    assert {entry.kind for entry in entries} == {kind}, entries
    if kind != "invalid":
        assert all((entry.retry_after_s or 0) > 0 for entry in entries)
    latency_s = statistics.median(entry.latency_s for entry in entries)
    assert latency_s < REFUSAL_LIMIT_S


@pytest.mark.parametrize("outage", ["refuse", "silent", "unavailable"])
def test_platform_outage(
    deployment: ProxiedDeployment, bookings: Bookings, outage: str
) -> None:
    """Runs are refused and queries are answered while the outage lasts."""
    deployment.control_platform(outage=outage)
    first = bookings.send(0)
    assert first.outcome == "not_run"
    wait_for_refusal(bookings, "platform")
    check_refusals(send_runs(bookings), "platform")
    for node in deployment.nodes:
        answer = deployment.query(node)
        assert answer.status == 200
        assert answer.json()["coverage"]["percent"] == 100


def test_slow_platform_is_not_an_outage(
    deployment: ProxiedDeployment, bookings: Bookings
) -> None:
    """A platform that answers after 0.4 s is not taken for an outage."""
    deployment.control_platform(delay_s=0.4)
    for _ in range(3):
        entry = bookings.send(0)
        assert entry.outcome == "ran", entry


@pytest.mark.parametrize("lost_count", [0, 1])
def test_deadline_passes_before_the_record_is_confirmed(
    deployment: ProxiedDeployment, bookings: Bookings, lost_count: int
) -> None:
    """A run whose record is confirmed too late or never is not dispatched."""
    deployment.control_proxies("platform", delay_ms=250)
    key = make_key()
    lost_answers = {"kind": record_kind(key), "count": lost_count}
    deployment.control_platform(lose_answers=lost_answers)
    entry = bookings.send(0, key, deadline_ms=300)
    assert (entry.outcome, entry.kind) == ("not_run", "deadline")
    deployment.heal()
    # The key is not blocked: a retry at another node runs.
    wait_until(lambda: bookings.send(1, key).outcome == "ran", WAIT_S, "a run")


@pytest.mark.parametrize(
    ("fault", "kind"),
    [({"refuse_shed": True}, "no_replica"), ({"down": True}, "no_replica")],
)
def test_run_refused_by_all_backend_servers(
    deployment: ProxiedDeployment,
    bookings: Bookings,
    fault: dict[str, Any],
    kind: str,
) -> None:
    """Runs that every backend server refuses are reported as not run.

    The servers shed all requests, or nothing listens at their ports.
    """
    deployment.control_backends(ALL_SERVERS, **fault)
    if "down" in fault:
        # With nothing listening, no byte of a request is written to a socket.
        names = [server["vm_id"] for server in deployment.backends]
        deployment.control_proxies(*names, cut=True)
    entries = send_runs(bookings)
    assert {entry.outcome for entry in entries} == {"not_run"}, entries
    assert entries[-1].kind == kind


def test_request_written_to_a_socket_is_reported_as_unknown(
    deployment: ProxiedDeployment, bookings: Bookings
) -> None:
    """A run that may have reached a backend server is reported as unknown.

    The links to the backend servers delay requests beyond the deadline.
    """
    names = [server["vm_id"] for server in deployment.backends]
    for delay_ms in (300, 600):
        deployment.control_proxies(*names, delay_ms=delay_ms)
        entry = bookings.send(0, deadline_ms=250)
        assert entry.outcome == "unknown"
    wait_until(
        lambda: bookings.effect_count(entry.key) > 0, WAIT_S, "an effect"
    )


@pytest.mark.parametrize("key", ["", "van", "1-short", "9999999999-aaaaaaaa"])
def test_invalid_keys_are_refused(
    deployment: ProxiedDeployment, bookings: Bookings, key: str
) -> None:
    """A key that is malformed or has a time in the future is refused."""
    entries = send_runs(bookings, key or "-")
    check_refusals(entries, "invalid")


def test_node_cut_off_from_its_peers_refuses_runs(
    deployment: ProxiedDeployment, bookings: Bookings
) -> None:
    """A node that can't reach its peers has no lease and refuses runs."""
    deployment.control_proxies("node-1", "node-2", "node-3", cut=True)
    wait_for_refusal(bookings, "no_lease")
    check_refusals(send_runs(bookings), "no_lease")


def test_runs_are_limited_by_the_share_of_platform_writes(
    tmp_path_factory: pytest.TempPathFactory,
) -> None:
    """Nodes refuse runs beyond their share of the platform's writes.

    Three nodes share nine writes per second, which allows three runs per
    second.
    """
    folder = tmp_path_factory.mktemp("budget")
    settings = {"runs.platform_writes_per_s": 9.0}
    with (
        ProxiedDeployment(folder, settings=settings) as running,
        Bookings(running) as bookings,
    ):
        began_at_s = time.monotonic()
        for _ in range(40):
            for index in range(len(running.nodes)):
                bookings.send(index)
        age_s = time.monotonic() - began_at_s
        calls = bookings.history.calls
        refused = [entry for entry in calls if entry.outcome == "not_run"]
        assert {entry.kind for entry in refused} == {"overloaded"}
        assert all(0 < (e.retry_after_s or 0) <= 1.0 for e in refused)
        ran_count = len(calls) - len(refused)
        assert 3 <= ran_count <= 3 * (age_s + 2)
        effects = running.backend_events("effect")
        assert check_history(calls, effects) == []


def test_records_of_old_keys_are_deleted(
    deployment: ProxiedDeployment,
) -> None:
    """Records past their lifetime are deleted, and no others.

    The cursor of the deletion is set back to the slot of the old key.
    """
    now_s = int(time.time())
    old_s = now_s - int(RECORD_RETENTION_S) - 10
    old_key, fresh_key = f"{old_s}-aaaaaaaa", f"{now_s}-bbbbbbbb"
    for key in (old_key, fresh_key):
        deployment.put_object(record_kind(key), f"route-planner:{key}", {})
    cursor = deployment.get_object("run-expiry", "cursor").json()
    slot = {"slot": slot_of(old_s)}
    deployment.put_object("run-expiry", "cursor", slot, cursor["version"])
    wait_until(
        lambda: not _is_stored(deployment, old_key), WAIT_S, "the deletion"
    )
    assert _is_stored(deployment, fresh_key)


def _is_stored(deployment: ProxiedDeployment, key: str) -> bool:
    name = f"route-planner:{key}"
    return deployment.get_object(record_kind(key), name).status == 200
