"""Promise 4: a failure domain taken out gets no new work 3 s later."""

import time
from collections.abc import Iterator
from typing import Any

import pytest

from mulberrybay_testing.class_spec import search_class
from mulberrybay_testing.deployment import Deployment
from mulberrybay_testing.history import (
    QueryLoad,
    answer_problems,
    requests_within,
    send_query,
)
from mulberrybay_testing.waiting import wait_until

OUT_DOMAIN = "d2"
GRACE_S = 3.0
WATCH_S = 2.0


@pytest.fixture(scope="module")
def deployment(
    tmp_path_factory: pytest.TempPathFactory,
) -> Iterator[Deployment]:
    """Starts four nodes, so that one failure domain has two."""
    with Deployment(
        tmp_path_factory.mktemp("out"), (search_class(),), node_count=4
    ) as running:
        yield running


def _vm_ids_in(deployment: Deployment, domain: str) -> set[str]:
    return {
        server["vm_id"]
        for server in deployment.backends
        if server["failure_domain"] == domain
    }


def _wait_past_grace(changed_at_s: float) -> None:
    """Waits until WATCH_S after the grace period of a change."""
    ends_at_s = changed_at_s + GRACE_S + WATCH_S
    wait_until(
        lambda: time.time() > ends_at_s, 10, "the end of the observed time"
    )


@pytest.mark.parametrize(
    "fault",
    [
        {},
        # Queues fill up, and attempts are retried and hedged.
        {
            "slow_factor": 30.0,
            "reply_fault": "cut_short",
            "reply_fault_probability": 0.3,
        },
    ],
)
def test_domain_out_gets_no_new_work(
    deployment: Deployment, fault: dict[str, object]
) -> None:
    """Queued, retried and hedged work must not reach the domain either.

    The domain gets work again once it is returned.
    """
    vm_ids = _vm_ids_in(deployment, OUT_DOMAIN)
    deployment.control_backends({"all": True}, **fault)
    with QueryLoad(deployment, caller_count=8, deadline_ms=800) as load:
        load.wait_answers(10)
        changed_at_s = time.time()
        deployment.put_configuration(out_domains=frozenset({OUT_DOMAIN}))
        _wait_past_grace(changed_at_s)
    events = deployment.backend_events()
    assert requests_within(events, vm_ids, 0, changed_at_s)
    assert requests_within(events, vm_ids, changed_at_s + GRACE_S) == []
    assert answer_problems(load.records, {1: 4}) == []
    _check_nodes_refuse_work(deployment)
    deployment.control_backends(
        {"all": True}, slow_factor=1.0, reply_fault=None
    )
    returned_at_s = time.time()
    deployment.put_configuration(out_domains=frozenset())
    with QueryLoad(deployment, caller_count=8):
        wait_until(
            lambda: bool(
                requests_within(
                    deployment.backend_events(), vm_ids, returned_at_s
                )
            ),
            10,
            "a request to the returned domain",
        )
    deployment.wait_serving()


def _check_nodes_refuse_work(deployment: Deployment) -> None:
    """Checks that nodes of the domain hold no server and refuse requests."""
    for node in deployment.nodes:
        record = send_query(node, "field-search", "late", b'"late"')
        if node.failure_domain != OUT_DOMAIN:
            assert record.status == 200
            continue
        assert record.status == 503
        assert record.document["error"]["run_state"] == "not_run"
        assert deployment.status(node)["held_count"] == 0


@pytest.mark.parametrize(
    "fault",
    [
        {"outage": "silent"},
        {"lose_answers": {"kind": "configuration", "count": 1}},
    ],
)
def test_change_in_an_outage_is_refused_or_in_force_everywhere(
    deployment: Deployment, fault: dict[str, object]
) -> None:
    """An answer that says "accepted" or "not accepted" must be true.

    The platform is silent, or it stores the change and its answer is lost.
    """
    vm_ids = _vm_ids_in(deployment, OUT_DOMAIN)
    deployment.wait_serving()
    deployment.control_platform(**fault)
    with QueryLoad(deployment, caller_count=4) as load:
        answer = deployment.change(
            deployment.nodes[0], f"/v1/domains/{OUT_DOMAIN}", {"state": "out"}
        )
        answered_at_s = time.time()
        deployment.control_platform(outage=None)
        outcome = answer.json()["outcome"]
        _wait_past_grace(answered_at_s)
    late_requests = requests_within(
        deployment.backend_events(), vm_ids, answered_at_s + GRACE_S
    )
    is_out = OUT_DOMAIN in _stored_configuration(deployment)["out_domains"]
    assert outcome in {"accepted", "not_accepted", "not_known"}
    assert outcome != "accepted" or (is_out and late_requests == [])
    assert outcome != "not_accepted" or (not is_out and late_requests != [])
    assert answer_problems(load.records, {1: 4}) == []
    deployment.put_configuration(out_domains=frozenset())


def _stored_configuration(deployment: Deployment) -> dict[str, Any]:
    stored = deployment.get_object("configuration", "current").json()
    value: dict[str, Any] = stored["value"]
    return value
