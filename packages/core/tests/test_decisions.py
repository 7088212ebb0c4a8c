"""Tests of limits, waits, admission and the processing of a query."""

import itertools
import random
from collections.abc import Callable

import pytest

from mulberrybay_core.addresses import Address
from mulberrybay_core.admission import (
    Admission,
    AdmissionSettings,
    required_delay_s,
)
from mulberrybay_core.attempts import (
    Attempt,
    AttemptBatch,
    AttemptKind,
    AttemptOutcome,
    AttemptReply,
    ServerLoad,
)
from mulberrybay_core.concurrency_limit import ConcurrencyLimit
from mulberrybay_core.configuration import Targets
from mulberrybay_core.errors import FailureKind, RunState
from mulberrybay_core.extra_load import ExtraLoadBudget
from mulberrybay_core.fleet import BackendServer, Fleet
from mulberrybay_core.hedging import FixedHedging
from mulberrybay_core.held_server import HeldServer, QueuedAttempt
from mulberrybay_core.overload_episode import OverloadEpisode
from mulberrybay_core.queries import QueryRequest
from mulberrybay_core.query_context import (
    ClassPolicies,
    QueryContext,
    QueryStep,
)
from mulberrybay_core.query_execution import QueryExecution
from mulberrybay_core.replica_choice import LeastExpectedWait
from mulberrybay_core.server_waits import ServerWaits, WaitEstimate
from mulberrybay_core.snapshot import IndexSnapshot
from mulberrybay_core.snapshot_catalog import SnapshotCatalog

SLOT_COUNT = 3


def _server(server_id: str, service: str = "s0") -> BackendServer:
    return BackendServer(
        server_id,
        "d1",
        Address("127.0.0.1", 1),
        service,
        SLOT_COUNT,
        30,
        "live",
    )


def _capacity_count(done_count: int, warm_up_count: int) -> int:
    """Returns how many requests a server can handle while it warms up.

    Its warmth grows evenly with its requests, as in the stand-in.
    """
    warmth = min(1.0, done_count / warm_up_count)
    return 1 + int((SLOT_COUNT - 1) * max(0.0, warmth - 0.5) * 2)


@pytest.mark.parametrize("warm_up_count", [20, 30, 60])
@pytest.mark.parametrize("seed", range(10))
def test_limit_stays_within_the_capacity_of_a_cold_server(
    warm_up_count: int, seed: int
) -> None:
    """The limit must not exceed what a server can handle while it warms up.

    Service times vary, and one in a hundred is ten times as long. The limit
    must still reach the number of slots in the end.
    """
    source = random.Random(seed)
    limit = ConcurrencyLimit(SLOT_COUNT)
    reached_count = 0
    for done_count in range(8 * warm_up_count):
        assert limit.limit_count <= _capacity_count(done_count, warm_up_count)
        warmth = min(1.0, done_count / warm_up_count)
        latency_s = 0.01 * (4 - 3 * warmth) * source.lognormvariate(0, 0.2)
        limit.on_success(latency_s * (10 if source.random() < 0.01 else 1))
        reached_count = max(reached_count, limit.limit_count)
    assert reached_count == SLOT_COUNT


def _warm_limit() -> ConcurrencyLimit:
    limit = ConcurrencyLimit(SLOT_COUNT)
    limit.adopt_baseline(0.01)
    for _ in range(20):
        limit.on_success(0.01)
    assert limit.limit_count == SLOT_COUNT
    return limit


@pytest.mark.parametrize(
    ("apply_event", "limit_count"),
    [
        (lambda limit: limit.on_success(0.04), 1),
        (lambda limit: limit.on_cancelled(0.03), 1),
        (lambda limit: limit.on_cancelled(0.01), SLOT_COUNT),
        (lambda limit: limit.on_overload(0.0, 0.05), 1),
        (lambda limit: limit.restart_if_idle(60.0), 1),
        (lambda limit: limit.restart_if_idle(5.0), SLOT_COUNT),
    ],
)
def test_limit_drops_only_if_the_server_may_be_cold(
    apply_event: Callable[[ConcurrencyLimit], None], limit_count: int
) -> None:
    limit = _warm_limit()
    limit.on_dispatch(0.0)
    apply_event(limit)
    assert limit.limit_count == limit_count


def test_limit_recovers_after_one_straggler_but_not_after_two() -> None:
    limit = _warm_limit()
    limit.on_success(0.1)
    limit.on_success(0.01)
    assert limit.limit_count == SLOT_COUNT
    limit.on_success(0.04)
    limit.on_success(0.04)
    limit.on_success(0.01)
    assert limit.limit_count == 1


def test_server_with_an_overdue_request_gets_no_second_one() -> None:
    """A request that is late may mean that the server has become cold.

    A cold server can handle only one request, so it gets no other one until
    the late one ends.
    """
    held = HeldServer(_server("a"))
    held.limit = _warm_limit()
    attempts = tuple(Attempt(number, "a", 0) for number in range(2))
    batch = AttemptBatch(
        "q", AttemptKind.SEARCH, "c", 1, 9.0, "", attempts, b"{}"
    )
    first, second = (
        QueuedAttempt(batch, a, print, str(a.attempt_id)) for a in attempts
    )
    held.begin(first, 0.0)
    held.enqueue(second)
    assert not held.may_be_cold(0.01)
    assert held.may_be_cold(0.02)
    assert held.pop_next(0.02) is None
    held.end(first.request_id, has_replied=True)
    assert held.pop_next(0.02) == second


def test_second_request_needs_a_recent_reply_of_a_warm_server() -> None:
    """A server may have become cold since its last reply.

    Without a recent reply, the holder dispatches one request at a time.
    """
    held = HeldServer(_server("a"))
    held.limit = _warm_limit()
    attempts = tuple(Attempt(number, "a", 0) for number in range(4))
    batch = AttemptBatch(
        "q", AttemptKind.SEARCH, "c", 1, 9.0, "", attempts, b"{}"
    )
    items = [
        QueuedAttempt(batch, a, print, str(a.attempt_id)) for a in attempts
    ]
    for item in items:
        held.enqueue(item)
    # No reply yet.
    assert held.pop_next(0.5) == items[0]
    held.begin(items[0], 0.5)
    assert held.pop_next(0.501) is None
    held.end(items[0].request_id, has_replied=True)
    # The last reply is too old: the server may have become cold since then.
    assert held.pop_next(1.0) == items[1]
    held.begin(items[1], 1.0)
    assert held.pop_next(1.001) is None
    held.end(items[1].request_id, has_replied=True)
    for item in items[2:]:
        assert held.pop_next(1.011) == item
        held.begin(item, 1.011)


def test_server_that_has_become_slow_is_given_time_to_reply() -> None:
    held = HeldServer(_server("a"))
    held.limit = _warm_limit()
    lateness_ms = 250.0
    usual_s = held.reply_timeout_s(lateness_ms)
    assert usual_s < lateness_ms / 1000

    held.record_duration(usual_s)

    assert held.reply_timeout_s(lateness_ms) == lateness_ms / 1000
    held.record_duration(lateness_ms / 1000)
    assert held.reply_timeout_s(lateness_ms) == lateness_ms / 1000
    held.record_duration(usual_s / 10)
    assert held.reply_timeout_s(lateness_ms) == usual_s


def test_second_request_goes_to_an_idle_replica() -> None:
    """An idle replica is chosen even if it is slightly slower."""
    waits = ServerWaits()
    for server_id, time_ms in (("a", 15.0), ("b", 16.0)):
        reply = _reply(0, server_id, AttemptOutcome.OK)
        reply = reply._replace(
            service_time_ms=time_ms, load=ServerLoad(0, 0, 3)
        )
        for _ in range(50):
            waits.on_reply(reply, 0.0)
    choice = LeastExpectedWait(random.Random(1), waits)
    servers = [_server("a"), _server("b")]
    assert choice.choose(servers, "d1", 0.0).server_id == "a"
    waits.on_sent("a")
    assert choice.choose(servers, "d1", 0.0).server_id == "b"


@pytest.mark.parametrize(
    ("total_s", "service_s", "lateness_s", "deadline_s", "is_refused"),
    [
        (0.10, 0.01, 0.25, 1.0, False),
        (0.30, 0.01, 0.25, 1.0, True),
        (2.00, 0.01, 0.25, 1.0, True),
        # Not refused although the service is too slow: there is no queue.
        (0.60, 0.60, 0.25, 0.5, False),
        # The service time alone cannot meet the lateness target, so that only
        # the deadline counts.
        (0.40, 0.20, 0.25, 1.0, False),
    ],
)
def test_admission_refuses_queries_that_queues_would_make_late(
    total_s: float,
    service_s: float,
    lateness_s: float,
    deadline_s: float,
    is_refused: bool,
) -> None:
    estimates = [WaitEstimate(0.01, 0.01), WaitEstimate(total_s, service_s)]
    queue_delay_s = required_delay_s(estimates, 2, lateness_s, deadline_s)
    assert (queue_delay_s > 0) is is_refused
    assert required_delay_s(estimates, 1, lateness_s, deadline_s) == 0


def test_admission_uses_the_deadline_for_unknown_servers() -> None:
    estimate = WaitEstimate(0.20, 0.10, is_known=False)
    assert required_delay_s([estimate], 1, 0.25, 1.0) == 0
    assert required_delay_s([estimate], 1, 0.25, 0.3) > 0


def test_class_gets_its_fair_share_of_a_node_filled_by_another_class() -> None:
    admission = Admission(AdmissionSettings(max_query_count=10))
    for _ in range(10):
        assert admission.try_admit("a", 1.0) is None
    assert admission.try_admit("a", 1.0) is not None
    for _ in range(5):
        assert admission.try_admit("b", 1.0) is None
    assert admission.try_admit("b", 1.0) is not None
    # The first class is above its fair share, so a slot that it releases is
    # not given to it again.
    admission.release("a", 0.1)
    assert admission.try_admit("a", 1.0) is not None


def test_reported_queue_is_expected_to_shrink_over_time() -> None:
    waits = ServerWaits()
    reply = _reply(0, "a", AttemptOutcome.OK)
    waits.on_sent("a")
    waits.on_reply(reply._replace(load=ServerLoad(1, 60, 1)), 0.0)
    assert waits.estimate("a", 0.0).total_s > 0.4
    assert waits.estimate("a", 2.0).total_s < 0.05


class _Query:
    """A query over two shards with two replicas each."""

    def __init__(self, may_use: Callable[[BackendServer], bool]) -> None:
        servers = [
            _server(f"{service}{replica}", service)
            for service in ("s0", "s1")
            for replica in "ab"
        ]
        catalog = SnapshotCatalog()
        catalog.set_snapshots("c", (IndexSnapshot("c", 1, ("s0", "s1")),))
        self.waits = ServerWaits()
        self.budget = ExtraLoadBudget()
        sequence = itertools.count()
        replicas = LeastExpectedWait(random.Random(1), self.waits)
        context = QueryContext(
            targets=Targets(200.0, 99.0, 50.0, 5.0),
            revision=1,
            fleet=Fleet((), servers),
            catalog=catalog,
            may_use=lambda server, _: may_use(server),
            next_attempt_id=lambda: next(sequence),
            policies=ClassPolicies(
                replicas,
                FixedHedging(0.02),
                self.budget,
                self.waits,
                OverloadEpisode(),
            ),
        )
        request = QueryRequest("r", "c", "d1", 1.0, 0.0, b"{}")
        self.execution = QueryExecution(request, context)

    def reply(
        self, attempt: Attempt, outcome: AttemptOutcome, now_s: float
    ) -> QueryStep:
        """Reports the end of an attempt to the query."""
        reply = _reply(attempt.attempt_id, attempt.server_id, outcome)
        return self.execution.on_reply(reply, now_s)


def _reply(
    attempt_id: int, server_id: str, outcome: AttemptOutcome
) -> AttemptReply:
    state = RunState.NOT_RUN
    if outcome is AttemptOutcome.OK:
        state = RunState.RAN
    return AttemptReply(attempt_id, server_id, outcome, state, body=b"[]")


def test_hedge_uses_another_server_and_the_loser_is_cancelled() -> None:
    query = _Query(lambda server: True)
    first, second = query.execution.start(0.0).attempts
    query.reply(first, AttemptOutcome.OK, 0.01)
    assert query.execution.wakeup_s == pytest.approx(0.02)
    (hedge,) = query.execution.on_wakeup(0.02).attempts
    assert hedge.shard == second.shard
    assert hedge.server_id != second.server_id
    step = query.reply(hedge, AttemptOutcome.OK, 0.03)
    assert step.cancelled_ids == (second.attempt_id,)
    assert step.result is not None
    assert len(step.result.ok.shard_replies) == 2


def test_hedge_waits_for_a_token() -> None:
    query = _Query(lambda server: True)
    query.execution.start(0.0)
    while query.budget.try_spend():
        pass
    assert query.execution.on_wakeup(0.02).attempts == ()
    assert 0.02 < query.execution.wakeup_s < 0.03
    # The last tokens are kept for shards that are much slower than the hedge
    # delay.
    query.budget.refund()
    assert query.execution.on_wakeup(0.031).attempts == ()
    assert len(query.execution.on_wakeup(0.037).attempts) == 1


def test_hedge_waits_until_a_server_has_no_queue() -> None:
    """No hedge is sent, and no token spent, while the other replica queues."""
    query = _Query(lambda server: True)
    first, second = query.execution.start(0.0).attempts
    query.reply(second, AttemptOutcome.OK, 0.01)
    other_id = "s0b" if first.server_id == "s0a" else "s0a"
    busy = _reply(0, other_id, AttemptOutcome.OK)
    query.waits.on_reply(busy._replace(load=ServerLoad(3, 2, 3)), 0.02)
    token_count = _token_count(query.budget)
    assert query.execution.on_wakeup(0.02).attempts == ()
    assert _token_count(query.budget) == token_count
    assert query.execution.wakeup_s == pytest.approx(0.025)
    query.waits.on_reply(busy._replace(load=ServerLoad(2, 0, 3)), 0.024)
    (hedge,) = query.execution.on_wakeup(0.025).attempts
    assert hedge.server_id == other_id


def _token_count(budget: ExtraLoadBudget) -> int:
    """Returns the number of whole tokens left; the budget is unchanged."""
    count = 0
    while budget.try_spend():
        count += 1
    for _ in range(count):
        budget.refund()
    return count


def test_retry_of_an_unsent_first_attempt_needs_no_token() -> None:
    query = _Query(lambda server: True)
    first, _ = query.execution.start(0.0).attempts
    while query.budget.try_spend():
        pass
    (retry,) = query.reply(first, AttemptOutcome.QUEUE_FULL, 0.001).attempts
    assert retry.server_id != first.server_id


def test_answer_does_not_wait_for_shards_without_a_replica() -> None:
    query = _Query(lambda server: server.service == "s0")
    (attempt,) = query.execution.start(0.0).attempts
    step = query.reply(attempt, AttemptOutcome.OK, 0.01)
    assert step.result is not None
    assert step.result.ok.missing_shards == (1,)


def test_query_without_any_replica_fails_at_once() -> None:
    step = _Query(lambda server: False).execution.start(0.0)
    assert step.result is not None
    assert step.result.error.kind is FailureKind.NO_REPLICA
    assert step.result.error.run_state is RunState.NOT_RUN


def test_query_behind_long_queues_is_refused_without_attempts() -> None:
    query = _Query(lambda server: True)
    for server_id in ("s0a", "s0b", "s1a", "s1b"):
        reply = _reply(0, server_id, AttemptOutcome.OK)
        reply = reply._replace(service_time_ms=20.0)
        query.waits.on_reply(reply._replace(load=ServerLoad(1, 60, 1)), 0.0)
    step = query.execution.start(0.0)
    assert step.attempts == ()
    assert step.result is not None
    assert step.result.error.kind is FailureKind.OVERLOADED
    assert step.result.error.run_state is RunState.NOT_RUN
    assert step.result.error.retry_after_s > 0


def test_retry_delay_grows_with_the_duration_of_an_overload() -> None:
    overload = OverloadEpisode()
    assert overload.on_refused(0.0, 0.05) == 0.05
    for number in range(1, 400):
        retry_after_s = overload.on_refused(number / 100, 0.05)
        overload.on_admitted()
    # Half of the queries are refused, so the delay is twice the duration of the
    # overload.
    assert retry_after_s == pytest.approx(8.0, rel=0.1)
    # The delay is short if almost all queries are admitted, and minimal once
    # the overload has ended.
    for _ in range(200):
        overload.on_admitted()
    assert overload.on_refused(4.1, 0.05) < 0.5
    assert overload.on_refused(9.0, 0.05) == 0.05


def test_retry_delay_is_bounded_when_all_queries_are_refused() -> None:
    overload = OverloadEpisode()
    retry_after_s = [
        overload.on_refused(number, 0.05) for number in range(2000)
    ]
    assert max(retry_after_s) == 30.0
