"""A refusal that says "not run" is true, final, and given at once."""

import statistics
import time
from collections.abc import Iterator
from typing import Any

import pytest

from mulberrybay_core.run_record import RECORD_LIFE_S, record_kind, slot_of
from mulberrybay_testing.http_caller import make_key
from mulberrybay_testing.proxied_deployment import ProxiedDeployment
from mulberrybay_testing.run_history import RunHistory, RunTry, check_history

WAIT_S = 10.0
TRY_COUNT = 15
# A refusal is sent within this time of the decision.
REFUSAL_LIMIT_S = 0.05
SERVERS = {"all": True}


@pytest.fixture(scope="module")
def deployment(
    tmp_path_factory: pytest.TempPathFactory,
) -> Iterator[ProxiedDeployment]:
    with ProxiedDeployment(tmp_path_factory.mktemp("refusals")) as running:
        yield running


@pytest.fixture
def history(deployment: ProxiedDeployment) -> Iterator[RunHistory]:
    history = RunHistory()
    yield history
    deployment.heal()
    keys = {entry.key for entry in history.tries}
    events = deployment.backend_events("effect")
    own = [event for event in events if event["idempotency_key"] in keys]
    assert check_history(history.tries, own) == []


def send_runs(
    deployment: ProxiedDeployment,
    history: RunHistory,
    deadline_ms: int = 2000,
    key: str | None = None,
) -> list[RunTry]:
    """Sends runs to the first node, each with a key of its own."""
    node = deployment.nodes[0]
    return [
        history.run(
            node.node_id,
            node.caller_port,
            key or make_key(),
            deadline_ms=deadline_ms,
        )
        for _ in range(TRY_COUNT)
    ]


def wait_for_kind(
    deployment: ProxiedDeployment, history: RunHistory, kind: str
) -> None:
    """Sends runs until the node refuses them with this kind."""
    node = deployment.nodes[0]
    ends_at_s = time.monotonic() + WAIT_S
    entry = history.run(node.node_id, node.caller_port, make_key())
    while entry.kind != kind or entry.latency_s > REFUSAL_LIMIT_S:
        assert time.monotonic() < ends_at_s, entry
        entry = history.run(node.node_id, node.caller_port, make_key())


def check_refusals(entries: list[RunTry], kind: str) -> None:
    """Checks that all were refused at once, with the time to come back."""
    assert {entry.outcome for entry in entries} == {"not_run"}, entries
    assert {entry.kind for entry in entries} == {kind}, entries
    if kind != "invalid":
        assert all((entry.retry_after_s or 0) > 0 for entry in entries)
    latency_s = statistics.median(entry.latency_s for entry in entries)
    assert latency_s < REFUSAL_LIMIT_S


@pytest.mark.parametrize("outage", ["refuse", "silent", "unavailable"])
def test_platform_outage(
    deployment: ProxiedDeployment, history: RunHistory, outage: str
) -> None:
    """Runs are refused and queries go on, for as long as the outage lasts."""
    deployment.control_platform(outage=outage)
    first = history.run("node-1", deployment.nodes[0].caller_port, make_key())
    assert first.outcome == "not_run"
    wait_for_kind(deployment, history, "platform")
    check_refusals(send_runs(deployment, history), "platform")
    for node in deployment.nodes:
        answer = deployment.query(node)
        assert answer.status == 200
        assert answer.json()["coverage"]["percent"] == 100


def test_slow_platform_is_no_outage(
    deployment: ProxiedDeployment, history: RunHistory
) -> None:
    deployment.control_platform(delay_s=0.4)
    node = deployment.nodes[0]
    for _ in range(3):
        entry = history.run(node.node_id, node.caller_port, make_key())
        assert entry.outcome == "ran", entry


@pytest.mark.parametrize("lost_count", [0, 1])
def test_deadline_passes_before_the_record_is_known(
    deployment: ProxiedDeployment, history: RunHistory, lost_count: int
) -> None:
    """The answer to the write of the record comes late, or never."""
    deployment.control_proxies("platform", delay_ms=250)
    node, key = deployment.nodes[0], make_key()
    order = {"kind": record_kind(key), "count": lost_count}
    deployment.control_platform(lose_answers=order)
    entry = history.run(node.node_id, node.caller_port, key, deadline_ms=300)
    assert (entry.outcome, entry.kind) == ("not_run", "deadline")
    deployment.heal()
    # The key is not left open: another try of it runs.
    ends_at_s = time.monotonic() + WAIT_S
    while entry.outcome != "ran":
        assert time.monotonic() < ends_at_s, entry
        entry = history.run("node-2", deployment.nodes[1].caller_port, key)


@pytest.mark.parametrize(
    ("fault", "kind"),
    [({"refuse_shed": True}, "no_replica"), ({"down": True}, "no_replica")],
)
def test_backend_servers_refuse(
    deployment: ProxiedDeployment,
    history: RunHistory,
    fault: dict[str, Any],
    kind: str,
) -> None:
    deployment.control_backends(SERVERS, **fault)
    if "down" in fault:
        # Nothing listens: no byte of a request is handed to a socket.
        names = [server["vm_id"] for server in deployment.backends]
        deployment.control_proxies(*names, cut=True)
    entries = send_runs(deployment, history)
    assert {entry.outcome for entry in entries} == {"not_run"}, entries
    assert entries[-1].kind == kind


def test_request_handed_to_a_socket_is_not_denied(
    deployment: ProxiedDeployment, history: RunHistory
) -> None:
    """Silent backend servers: nobody knows, so nobody says "not run"."""
    names = [server["vm_id"] for server in deployment.backends]
    node = deployment.nodes[0]
    for delay_ms in (300, 600):
        deployment.control_proxies(*names, delay_ms=delay_ms)
        entry = history.run(
            node.node_id, node.caller_port, make_key(), deadline_ms=250
        )
        assert entry.outcome == "unknown"
    deadline_s = time.monotonic() + WAIT_S
    while not _has_effect(deployment, entry.key):
        assert time.monotonic() < deadline_s


def _has_effect(deployment: ProxiedDeployment, key: str) -> bool:
    events = deployment.backend_events("effect")
    return any(event["idempotency_key"] == key for event in events)


@pytest.mark.parametrize("key", ["", "van", "1-short", "9999999999-aaaaaaaa"])
def test_keys_that_are_refused(
    deployment: ProxiedDeployment, history: RunHistory, key: str
) -> None:
    entries = send_runs(deployment, history, key=key or "-")
    check_refusals(entries, "invalid")


def test_node_that_is_cut_off(
    deployment: ProxiedDeployment, history: RunHistory
) -> None:
    deployment.control_proxies("node-1", "node-2", "node-3", cut=True)
    wait_for_kind(deployment, history, "no_lease")
    check_refusals(send_runs(deployment, history), "no_lease")


def test_share_of_the_platforms_writes_is_bounded(
    tmp_path_factory: pytest.TempPathFactory,
) -> None:
    """Three nodes share nine writes a second: three runs a second."""
    folder = tmp_path_factory.mktemp("budget")
    history = RunHistory()
    settings = {"runs.platform_writes_per_s": 9.0}
    with ProxiedDeployment(folder, settings=settings) as running:
        began_at_s = time.monotonic()
        for _ in range(40):
            for node in running.nodes:
                history.run(node.node_id, node.caller_port, make_key())
        age_s = time.monotonic() - began_at_s
        refused = [e for e in history.tries if e.outcome == "not_run"]
        assert {entry.kind for entry in refused} == {"overloaded"}
        assert all(0 < (e.retry_after_s or 0) <= 1.0 for e in refused)
        ran_count = len(history.tries) - len(refused)
        assert 3 <= ran_count <= 3 * (age_s + 2)
        effects = running.backend_events("effect")
        assert check_history(history.tries, effects) == []


def test_records_of_old_keys_are_deleted(
    deployment: ProxiedDeployment,
) -> None:
    now_s = int(time.time())
    old_s = now_s - int(RECORD_LIFE_S) - 10
    old, fresh = f"{old_s}-aaaaaaaa", f"{now_s}-bbbbbbbb"
    for key in (old, fresh):
        deployment.put_object(record_kind(key), f"route-planner:{key}", {})
    cursor = deployment.get_object("run-expiry", "cursor").json()
    slot = {"slot": slot_of(old_s)}
    deployment.put_object("run-expiry", "cursor", slot, cursor["version"])
    ends_at_s = time.monotonic() + WAIT_S
    while _is_stored(deployment, old):
        assert time.monotonic() < ends_at_s
        time.sleep(0.05)
    assert _is_stored(deployment, fresh)


def _is_stored(deployment: ProxiedDeployment, key: str) -> bool:
    name = f"route-planner:{key}"
    return deployment.get_object(record_kind(key), name).status == 200
