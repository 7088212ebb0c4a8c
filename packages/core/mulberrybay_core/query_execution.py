"""Processing of one query at its coordinator.

This module decides which attempts to send or cancel and when to answer; the
coordinator performs these actions. Each reply is matched by its attempt ID
to a shard of the snapshot that the query uses. A reply without an open
attempt, such as a late one, is dropped.
"""

from collections.abc import Iterable, Sequence
from typing import Final

from expression import Error, Ok

from mulberrybay_core.admission import MAX_BURST_WAIT_RATIO, MAX_WAIT_RATIO
from mulberrybay_core.attempts import Attempt, AttemptOutcome, AttemptReply
from mulberrybay_core.errors import Failure, FailureKind, RunState, Step
from mulberrybay_core.queries import QueryRequest
from mulberrybay_core.query_attempts import OpenAttempts
from mulberrybay_core.query_context import QueryContext, QueryStep
from mulberrybay_core.query_replicas import QueryReplicas, ShardReplicas
from mulberrybay_core.query_shard import (
    UNSENT_OUTCOMES,
    QueryShard,
    build_answer,
)

# Fraction of the lateness target after which a query is answered as soon as
# the coverage target is met, without waiting for the other shards.
EARLY_ANSWER_RATIO: Final = 0.9
RETRY_DELAY_S: Final = 0.02
MAX_RETRY_DELAY_S: Final = 0.2
MAX_RESTART_COUNT: Final = 3
# Delay before the next try for a hedge that could not be sent, for example
# because the budget is empty.
HEDGE_RETRY_S: Final = 0.005
# When few tokens are left, a shard is hedged only after this multiple of the
# hedge delay.
STRAGGLER_RATIO: Final = 1.6
# Delay before a retry when a server's queue is full; a replica may be free by
# then.
BUSY_RETRY_S: Final = 0.01
NO_REPLICA_RETRY_S: Final = 1.0


class QueryExecution:
    """The state of one query.

    Attributes:
        request: The caller's request.
        wakeup_s: When `on_wakeup` must be called next.
    """

    def __init__(self, request: QueryRequest, context: QueryContext) -> None:
        self.request = request
        self._context = context
        self._replicas: QueryReplicas | None = None
        self._shards: list[QueryShard] = []
        self._open_attempts = OpenAttempts(context.policies)
        self._covered_count = 0
        self._restart_count = 0
        lateness_s = context.targets.lateness_ms / 1000
        early_answer_at_s = (
            request.received_at_s + EARLY_ANSWER_RATIO * lateness_s
        )
        self._early_answer_at_s = min(early_answer_at_s, request.deadline_at_s)
        self.wakeup_s = self._early_answer_at_s

    @property
    def shard_count(self) -> int:
        """The number of shards of the snapshot; 0 before one is chosen."""
        return len(self._shards)

    @property
    def covered_count(self) -> int:
        """The number of shards that have replied."""
        return self._covered_count

    def start(self, now_s: float) -> QueryStep:
        """Chooses a snapshot and plans the first attempt for each shard.

        Refuses the query instead if the replicas' queues are too long.
        """
        snapshot = self._context.catalog.choose(
            self.request.class_name, self._context.fleet, now_s
        )
        if snapshot is None or not snapshot.services:
            return self._fail(FailureKind.NOT_FOUND, "no index snapshot", 1.0)
        self._replicas = QueryReplicas(self.request, self._context, snapshot)
        self._shards = [
            QueryShard(number, service)
            for number, service in enumerate(snapshot.services)
        ]
        self._covered_count = 0
        usable = [self._find_usable(shard, now_s) for shard in self._shards]
        overload = self._context.policies.overload
        queue_delay_s = self._required_delay_s(usable, now_s)
        if queue_delay_s > 0 and self._restart_count == 0:
            retry_after_s = overload.on_refused(now_s, queue_delay_s)
            detail = "the backend servers have too much queued"
            return self._fail(FailureKind.OVERLOADED, detail, retry_after_s)
        attempts = self._plan_attempts(usable, now_s, is_extra=False)
        if self._restart_count == 0:
            overload.on_admitted()
            self._context.policies.budget.on_first_attempts(
                len(attempts), self._context.targets.extra_load_percent
            )
        self._schedule(now_s)
        if self._cannot_progress(now_s):
            return self._finish((), now_s)
        return QueryStep(snapshot.index_version, tuple(attempts))

    def _required_delay_s(
        self, usable: Sequence[ShardReplicas], now_s: float
    ) -> float:
        """Returns the delay before a retry; 0 if the query may be sent now."""
        replicas = self._current_replicas()
        delay_s = replicas.required_delay_s(usable, now_s, MAX_WAIT_RATIO)
        overload = self._context.policies.overload
        if overload.is_burst(is_long=delay_s > 0, now_s=now_s):
            return replicas.required_delay_s(
                usable, now_s, MAX_BURST_WAIT_RATIO
            )
        return delay_s

    def _cannot_progress(self, now_s: float) -> bool:
        """Returns whether no further shard can be covered.

        True if no attempt is open and no shard without a reply has a replica
        in service.
        """
        if not self._open_attempts.is_empty:
            return False
        missing = [shard for shard in self._shards if shard.hits_json is None]
        return not self._current_replicas().has_replica_in_service(
            missing, now_s
        )

    def _find_usable(self, shard: QueryShard, now_s: float) -> ShardReplicas:
        return self._current_replicas().find_usable(shard, now_s)

    def _plan_attempts(
        self, usable: Iterable[ShardReplicas], now_s: float, is_extra: bool
    ) -> list[Attempt]:
        attempts = []
        choose = self._current_replicas().choose
        extra_load_percent = self._context.targets.extra_load_percent
        policies = self._context.policies
        hedge_delay_s = policies.hedging.delay_s(extra_load_percent)
        for shard_replicas in usable:
            shard = shard_replicas.shard
            shard.retry_at_s = None
            server = choose(
                shard_replicas,
                self._open_attempts.busy_server_ids(shard),
                now_s,
            )
            if server is None:
                shard.retry_at_s = now_s + RETRY_DELAY_S
                continue
            if shard.open_attempt_ids and policies.waits.has_queue(
                server.server_id, now_s
            ):
                # A hedge would only delay the requests queued at that server.
                shard.hedge_at_s = now_s + HEDGE_RETRY_S
                continue
            attempt = Attempt(
                self._context.next_attempt_id(), server.server_id, shard.number
            )
            self._open_attempts.add(attempt, shard, now_s, is_extra)
            shard.hedge_at_s = None
            if hedge_delay_s is not None and len(shard.open_attempt_ids) == 1:
                shard.hedge_at_s = now_s + hedge_delay_s
            attempts.append(attempt)
        return attempts

    def _current_replicas(self) -> QueryReplicas:
        if self._replicas is None:
            raise RuntimeError("the query has not been started")
        return self._replicas

    def on_reply(self, reply: AttemptReply, now_s: float) -> QueryStep:
        """Handles the end of an attempt; ignores attempts that are not open."""
        sent = self._open_attempts.record_end(reply, now_s)
        if sent is None:
            return self._make_step()
        if reply.outcome is AttemptOutcome.OK:
            return self._on_hits(sent.shard, reply, now_s)
        if sent.is_extra and reply.outcome in UNSENT_OUTCOMES:
            self._context.policies.budget.refund()
        if reply.outcome is AttemptOutcome.WRONG_SNAPSHOT:
            return self._on_wrong_snapshot(sent.shard, reply, now_s)
        return self._on_attempt_failed(sent.shard, reply, now_s)

    def _on_hits(
        self, shard: QueryShard, reply: AttemptReply, now_s: float
    ) -> QueryStep:
        if shard.hits_json is not None:
            return self._make_step()
        shard.hits_json = reply.body
        shard.retry_at_s = None
        shard.hedge_at_s = None
        self._covered_count += 1
        superseded_ids = self._open_attempts.abandon(
            shard.open_attempt_ids, now_s
        )
        can_answer_early = (
            now_s >= self._early_answer_at_s and self._meets_coverage()
        )
        is_complete = self._covered_count == self.shard_count
        if is_complete or can_answer_early or self._cannot_progress(now_s):
            return self._finish(superseded_ids, now_s)
        return self._make_step(cancelled_ids=superseded_ids)

    def _on_wrong_snapshot(
        self, shard: QueryShard, reply: AttemptReply, now_s: float
    ) -> QueryStep:
        replicas = self._current_replicas()
        replicas.record_missing(reply.server_id, now_s)
        if replicas.find_usable(shard, now_s).servers:
            shard.retry_at_s = now_s
            return self.on_wakeup(now_s)
        alternative = self._context.catalog.choose(
            self.request.class_name, self._context.fleet, now_s
        )
        can_restart = (
            alternative is not None
            and alternative.index_version != replicas.snapshot.index_version
            and self._restart_count < MAX_RESTART_COUNT
        )
        if not can_restart:
            shard.retry_at_s = now_s + RETRY_DELAY_S
            self.wakeup_s = min(self.wakeup_s, shard.retry_at_s)
            return self._make_step()
        return self._restart(now_s)

    def _restart(self, now_s: float) -> QueryStep:
        """Restarts the query on another snapshot and discards all replies."""
        self._restart_count += 1
        abandoned_ids = self._open_attempts.abandon_all(now_s)
        step = self.start(now_s)
        return step._replace(cancelled_ids=abandoned_ids)

    def _on_attempt_failed(
        self, shard: QueryShard, reply: AttemptReply, now_s: float
    ) -> QueryStep:
        if shard.open_attempt_ids:
            if reply.outcome in UNSENT_OUTCOMES:
                # The hedge reached no server, so its token was refunded.
                shard.hedge_at_s = now_s + HEDGE_RETRY_S
                self.wakeup_s = min(self.wakeup_s, shard.hedge_at_s)
            return self._make_step()
        delay_s = min(MAX_RETRY_DELAY_S, RETRY_DELAY_S * 2**shard.failure_count)
        shard.failure_count += 1
        shard.hedge_at_s = None
        has_untried = any(
            server.server_id not in shard.tried_server_ids
            for server in self._find_usable(shard, now_s).servers
        )
        if reply.outcome is AttemptOutcome.QUEUE_FULL:
            shard.failure_count = 1
            delay_s = BUSY_RETRY_S
        if has_untried and shard.failure_count == 1:
            delay_s = 0.0
        shard.retry_at_s = now_s + max(delay_s, reply.retry_after_ms / 1000)
        if delay_s == 0:
            return self.on_wakeup(now_s)
        self.wakeup_s = min(self.wakeup_s, shard.retry_at_s)
        return self._make_step()

    def abandon(self, now_s: float) -> tuple[int, ...]:
        """Ends the query unanswered; returns the attempts to cancel."""
        return self._open_attempts.abandon_all(now_s)

    def on_wakeup(self, now_s: float) -> QueryStep:
        """Returns the answer, or the hedges and retries that are due."""
        if now_s >= self.request.deadline_at_s or self._cannot_progress(now_s):
            return self._finish((), now_s)
        if now_s >= self._early_answer_at_s and self._meets_coverage():
            return self._finish((), now_s)
        attempts: list[Attempt] = []
        for shard in self._shards:
            if shard.hits_json is None and self._is_due(shard, now_s):
                attempts += self._plan_extra_attempt(shard, now_s)
        self._schedule(now_s)
        return self._make_step(attempts=tuple(attempts))

    def _is_due(self, shard: QueryShard, now_s: float) -> bool:
        return shard.due_at_s is not None and now_s >= shard.due_at_s

    def _plan_extra_attempt(
        self, shard: QueryShard, now_s: float
    ) -> list[Attempt]:
        shard.hedge_at_s = None
        is_extra = bool(shard.open_attempt_ids) or shard.may_have_been_reached
        budget = self._context.policies.budget
        should_save = budget.is_low and not self._is_straggling(shard, now_s)
        if is_extra and (should_save or not budget.try_spend()):
            if shard.open_attempt_ids:
                shard.hedge_at_s = now_s + HEDGE_RETRY_S
            else:
                shard.retry_at_s = now_s + RETRY_DELAY_S
            return []
        usable = self._find_usable(shard, now_s)
        attempts = self._plan_attempts([usable], now_s, is_extra)
        if not attempts and is_extra:
            budget.refund()
        if not attempts and shard.open_attempt_ids:
            shard.retry_at_s = None
        return attempts

    def _is_straggling(self, shard: QueryShard, now_s: float) -> bool:
        """Returns whether a shard is much slower than the hedge delay."""
        extra_load_percent = self._context.targets.extra_load_percent
        delay_s = self._context.policies.hedging.delay_s(extra_load_percent)
        sent_at_s = self._open_attempts.oldest_sent_at_s(shard)
        if delay_s is None or sent_at_s is None:
            return True
        return now_s - sent_at_s >= STRAGGLER_RATIO * delay_s

    def _meets_coverage(self) -> bool:
        covered_percent = 100 * self._covered_count / len(self._shards)
        return covered_percent >= self._context.targets.coverage_percent

    def _schedule(self, now_s: float) -> None:
        """Sets when `on_wakeup` must be called next."""
        is_before_early = now_s < self._early_answer_at_s
        wakeup_s = (
            self._early_answer_at_s
            if is_before_early
            else self.request.deadline_at_s
        )
        for shard in self._shards:
            if shard.hits_json is None and shard.due_at_s is not None:
                wakeup_s = min(wakeup_s, shard.due_at_s)
        self.wakeup_s = wakeup_s

    def _make_step(
        self,
        attempts: tuple[Attempt, ...] = (),
        cancelled_ids: tuple[int, ...] = (),
    ) -> QueryStep:
        replicas = self._replicas
        version = replicas.snapshot.index_version if replicas else 0
        return QueryStep(version, attempts, cancelled_ids)

    def _finish(
        self, cancelled_ids: tuple[int, ...], now_s: float
    ) -> QueryStep:
        """Answers with the shard replies so far; fails if there are none."""
        index_version = self._current_replicas().snapshot.index_version
        abandoned_ids = self._open_attempts.abandon_all(now_s)
        if self._covered_count == 0:
            step = self._fail_without_hits(now_s)
            return step._replace(cancelled_ids=cancelled_ids + abandoned_ids)
        answer = build_answer(
            self.request.request_id,
            index_version,
            self._shards,
            self._context.revision,
        )
        return QueryStep(
            index_version,
            cancelled_ids=cancelled_ids + abandoned_ids,
            result=Ok(answer),
        )

    def _fail_without_hits(self, now_s: float) -> QueryStep:
        if now_s >= self.request.deadline_at_s:
            return self._fail(FailureKind.DEADLINE, "no shard replied", 0.5)
        detail = "no shard has a replica in service"
        return self._fail(FailureKind.NO_REPLICA, detail, NO_REPLICA_RETRY_S)

    def _fail(
        self, kind: FailureKind, detail: str, retry_after_s: float
    ) -> QueryStep:
        may_have_executed = self._open_attempts.may_have_executed
        run_state = RunState.UNKNOWN if may_have_executed else RunState.NOT_RUN
        failure = Failure(
            kind=kind,
            step=Step.MERGE,
            peer="",
            detail=detail,
            retry_after_s=retry_after_s,
            run_state=run_state,
        )
        return self._make_step()._replace(result=Error(failure))
