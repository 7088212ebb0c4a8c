"""Promise 2: every answer states its coverage correctly."""

from collections.abc import Iterator

import pytest

from mulberrybay_testing.class_spec import SEARCH_TARGETS, search_class
from mulberrybay_testing.deployment import Deployment
from mulberrybay_testing.history import (
    QueryLoad,
    answer_problems,
)
from mulberrybay_testing.waiting import wait_until

SHARD_COUNT = 4
NONE_MISSING: list[int] = []


@pytest.fixture(scope="module")
def deployment(
    tmp_path_factory: pytest.TempPathFactory,
) -> Iterator[Deployment]:
    """Starts two classes: one needs all shards, the other half of them."""
    half_coverage = SEARCH_TARGETS._replace(
        lateness_ms=100.0, coverage_percent=50.0
    )
    classes = (
        search_class(),
        search_class("parts-catalog", targets=half_coverage),
    )
    with Deployment(tmp_path_factory.mktemp("coverage"), classes) as running:
        yield running


@pytest.fixture(autouse=True)
def sound_backends(deployment: Deployment) -> Iterator[None]:
    """Clears the backend servers' faults after a test."""
    yield
    deployment.control_backends(
        {"all": True},
        reply_fault=None,
        slow_factor=1.0,
        down=False,
        refuse_shed=False,
        silent_new=False,
    )


def _replica_ids(deployment: Deployment, service: str) -> list[str]:
    return [
        server["vm_id"]
        for server in deployment.backends
        if server["service"] == service
    ]


@pytest.mark.parametrize(
    ("fault", "replica_count", "missing"),
    [
        ({"down": True}, 1, NONE_MISSING),
        ({"down": True}, 2, [2]),
        ({"refuse_shed": True}, 2, [2]),
        ({"silent_new": True}, 2, [2]),
        ({"reply_fault": "cut_short"}, 2, [2]),
        ({"reply_fault": "wrong_shard"}, 2, [2]),
        ({"slow_factor": 1000.0}, 2, [2]),
    ],
)
def test_shard_without_valid_reply_is_reported_missing(
    deployment: Deployment,
    fault: dict[str, object],
    replica_count: int,
    missing: list[int],
) -> None:
    """An answer lists exactly the shards without a valid reply as missing."""
    vm_ids = _replica_ids(deployment, "field-search/02")[:replica_count]
    deployment.control_backends({"vm_ids": vm_ids}, **fault)
    with QueryLoad(deployment, caller_count=4, deadline_ms=500) as load:
        load.wait_answers(
            6,
            matches=lambda record: (
                record.document["coverage"]["missing_shards"] == missing
            ),
        )
    assert answer_problems(load.records, {1: SHARD_COUNT}) == []


def test_shard_with_an_empty_reply_is_covered(deployment: Deployment) -> None:
    """A shard whose reply has no hits is covered, not missing."""
    vm_ids = _replica_ids(deployment, "field-search/01")
    deployment.control_backends({"vm_ids": vm_ids}, reply_fault="empty")
    with QueryLoad(deployment, caller_count=4) as load:
        load.wait_answers(20)
    assert answer_problems(load.records, {1: SHARD_COUNT}, {1}) == []
    for record in load.answered():
        assert record.document["coverage"]["missing_shards"] == []


@pytest.mark.parametrize("reply_fault", [None, "duplicate"])
def test_early_answer_reports_the_shard_it_did_not_wait_for(
    deployment: Deployment, reply_fault: str | None
) -> None:
    """An answer sent before a slow shard replied lists it as missing.

    Duplicate replies of other shards must not count for it.
    """
    deployment.control_backends({"all": True}, reply_fault=reply_fault)
    slow_ids = _replica_ids(deployment, "parts-catalog/03")
    deployment.control_backends({"vm_ids": slow_ids}, slow_factor=200.0)
    with QueryLoad(deployment, "parts-catalog", caller_count=4) as load:
        load.wait_answers(
            10,
            matches=lambda record: (
                record.document["coverage"]["missing_shards"] == [3]
                and record.ended_at_s - record.started_at_s < 0.5
            ),
        )
    assert answer_problems(load.records, {1: SHARD_COUNT}) == []


def test_query_without_any_shard_reply_fails(deployment: Deployment) -> None:
    """A query without any shard reply fails; it gets no empty answer."""
    deployment.control_backends({"all": True}, down=True)
    with QueryLoad(deployment, caller_count=3, deadline_ms=300) as load:
        wait_until(lambda: len(load.records) >= 6, 10, "6 refusals")
    assert {record.status for record in load.records} <= {503, 504}
