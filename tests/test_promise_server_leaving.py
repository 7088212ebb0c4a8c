"""Promise 8: a leaving backend server gets no new work after a few seconds."""

import functools
import time
from collections.abc import Iterator

import pytest

from mulberrybay_core.addresses import Address
from mulberrybay_core.fleet import BackendServer
from mulberrybay_daemon.leaving import LeavingServers
from mulberrybay_testing.class_spec import search_class
from mulberrybay_testing.deployment import Deployment
from mulberrybay_testing.history import (
    QueryLoad,
    answer_problems,
    requests_within,
)
from mulberrybay_testing.waiting import wait_until

GRACE_S = 3.0
WATCH_S = 3.0
LIST_LAG_S = 10.0
SERVER = BackendServer(
    "vm-1", "d1", Address("127.0.0.1", 9000), "service", 2, 10, "live"
)


@pytest.fixture(scope="module")
def deployment(
    tmp_path_factory: pytest.TempPathFactory,
) -> Iterator[Deployment]:
    """Starts two replicas of each of four shards.

    The platform's list of VMs lags 10 s.
    """
    with Deployment(
        tmp_path_factory.mktemp("leaving"), (search_class(),)
    ) as running:
        running.control_platform(vm_list_lag_s=LIST_LAG_S)
        yield running


def _got_request(deployment: Deployment, vm_id: str, from_s: float) -> bool:
    events = deployment.backend_events("request")
    return bool(requests_within(events, {vm_id}, from_s))


@pytest.mark.parametrize(
    ("health_by_replica", "pause_s"),
    [
        # Two servers leave; the health of one still reports live.
        ({0: None, 2: "live"}, 0.01),
        # Each caller pauses 4 s between its queries: too little traffic to
        # learn from replies that a server leaves.
        ({4: None}, 4.0),
    ],
)
def test_leaving_server_gets_no_new_work_and_comes_back(
    deployment: Deployment,
    health_by_replica: dict[int, str | None],
    pause_s: float,
) -> None:
    """Replies or health show that a server leaves, before the list does.

    No coverage is lost meanwhile, and the server gets work again when it no
    longer reports that it is leaving.
    """
    vm_ids = [deployment.backends[n]["vm_id"] for n in health_by_replica]
    with QueryLoad(deployment, caller_count=3) as load:
        load.wait_answers(30)
    with QueryLoad(deployment, caller_count=3, pause_s=pause_s) as load:
        began_at_s = time.time()
        for vm_id, health in zip(
            vm_ids, health_by_replica.values(), strict=True
        ):
            deployment.control_backends(
                {"vm_ids": [vm_id]}, leaving=True, health_says=health
            )
        ends_at_s = began_at_s + GRACE_S + WATCH_S
        wait_until(
            lambda: time.time() > ends_at_s, 10, "the end of the observed time"
        )
    late_requests = requests_within(
        deployment.backend_events(), vm_ids, began_at_s + GRACE_S
    )
    assert late_requests == []
    assert load.answered()
    assert answer_problems(load.records, {1: 4}) == []
    for record in load.answered():
        assert record.document["coverage"]["missing_shards"] == []
    deployment.control_backends(
        {"vm_ids": vm_ids}, leaving=False, health_says=None
    )
    back_at_s = time.time()
    with QueryLoad(deployment, caller_count=3):
        for vm_id in vm_ids:
            wait_until(
                functools.partial(_got_request, deployment, vm_id, back_at_s),
                25,
                "a request after the return",
            )


def test_false_health_removes_no_busy_server(deployment: Deployment) -> None:
    """Health that falsely reports all servers as leaving costs no coverage.

    Their replies to queries contradict it.
    """
    with QueryLoad(deployment, caller_count=3) as load:
        load.wait_answers(30)
        deployment.control_backends({"all": True}, health_says="leaving")
        began_at_s = time.time()
        ends_at_s = began_at_s + 4.0
        wait_until(
            lambda: time.time() > ends_at_s, 10, "the end of the observed time"
        )
    deployment.control_backends({"all": True}, health_says=None)
    late_records = [
        item for item in load.answered() if item.started_at_s > ends_at_s - 1
    ]
    assert late_records
    for record in late_records:
        assert record.document["coverage"]["missing_shards"] == []


@pytest.mark.parametrize(
    ("reply_at_s", "health_from_s", "now_s", "is_leaving"),
    [
        (None, None, 9.0, False),
        # Health alone counts after a delay and until the platform's list would
        # show that the server is leaving.
        (None, 5.0, 5.1, False),
        (None, 5.0, 6.0, True),
        (None, 5.0, 21.0, False),
        # Only a recent reply from after health began to report leaving
        # contradicts it.
        (4.0, 5.0, 6.0, True),
        (5.6, 5.0, 6.0, False),
        (5.6, 5.0, 9.0, True),
    ],
)
def test_replies_take_precedence_over_health(
    reply_at_s: float | None,
    health_from_s: float | None,
    now_s: float,
    is_leaving: bool,
) -> None:
    """A server's own recent reply counts more than what its health reports."""
    servers = LeavingServers()
    if reply_at_s is not None:
        servers.record_reply(SERVER.server_id, False, reply_at_s)
    if health_from_s is not None:
        servers.record_health(SERVER.server_id, True, health_from_s)
    assert servers.is_leaving(SERVER, now_s) is is_leaving
