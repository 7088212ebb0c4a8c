"""The coordinator: processes callers' queries from admission to reply."""

import itertools
import random
from collections import Counter
from typing import Final

from expression import Error, Result

from mulberrybay_core.admission import Admission
from mulberrybay_core.attempts import (
    AttemptBatch,
    AttemptKind,
    AttemptOutcome,
    AttemptReply,
    AttemptTransport,
)
from mulberrybay_core.burn import RequestEnd
from mulberrybay_core.configuration import WorkClass
from mulberrybay_core.errors import Failure, FailureKind, RunState, Step
from mulberrybay_core.fleet import Fleet
from mulberrybay_core.policy_arms import PolicySettings, make_class_policies
from mulberrybay_core.queries import (
    CancelQuery,
    QueryAnswer,
    QueryReplyHandler,
    QueryRequest,
)
from mulberrybay_core.query_context import (
    ClassPolicies,
    QueryContext,
    QueryStep,
)
from mulberrybay_core.query_execution import QueryExecution
from mulberrybay_core.query_shard import UNSENT_OUTCOMES
from mulberrybay_core.refusals import RefusalReason
from mulberrybay_core.service_levels import ServiceLevels
from mulberrybay_core.snapshot_catalog import SnapshotCatalog
from mulberrybay_daemon.gate import Gate
from mulberrybay_runtime.clock import read_clock_s
from mulberrybay_runtime.timers import Timer, Timers

FAILED_OUTCOMES: Final = frozenset(
    {
        AttemptOutcome.SHED,
        AttemptOutcome.DEADLINE,
        AttemptOutcome.CONNECTION_LOST,
        AttemptOutcome.BAD_REPLY,
        AttemptOutcome.LINK_LOST,
    }
)

REFUSED: Final = "refused"
DISCONNECTED: Final = "left"
CALLER_GONE: Final = Failure(
    FailureKind.CALLER_GONE,
    Step.MERGE,
    "caller",
    "the caller has closed its connection",
    run_state=RunState.UNKNOWN,
)


def _classify_outcome(result: Result[QueryAnswer, Failure]) -> str:
    if result.is_ok():
        return "answered"
    if result.error.kind is FailureKind.CALLER_GONE:
        return DISCONNECTED
    is_refusal = result.error.kind is FailureKind.OVERLOADED
    return REFUSED if is_refusal else "failed"


class _ActiveQuery:
    """A query in progress."""

    def __init__(
        self,
        execution: QueryExecution,
        work_class: WorkClass,
        query_id: str,
        reply: QueryReplyHandler,
    ) -> None:
        self.execution = execution
        self.work_class = work_class
        self.query_id = query_id
        self.reply = reply
        self.timer: Timer | None = None
        self.timer_due_at_s = 0.0
        self.is_finished = False
        # Server IDs of the attempts without a reply, by attempt ID. Slow
        # attempts are counted per server.
        self.waiting: dict[int, str] = {}
        self.extra_attempt_ids: set[int] = set()
        self.attempt_count = 0


class Coordinator:
    """Processes the queries that callers have sent to this node."""

    def __init__(
        self,
        process_id: str,
        gate: Gate,
        transport: AttemptTransport,
        admission: Admission,
        timers: Timers,
        policy: PolicySettings,
    ) -> None:
        """Creates a coordinator without queries.

        Args:
            process_id: Prefix of the query IDs; unique across all nodes and
                restarts.
            gate: Decides whether backend servers may get new work.
            transport: Sends attempts to holders.
            admission: Limits the queries in progress on this node.
            timers: The process's timers.
            policy: Settings of the scheduling policies in use.
        """
        self._process_id = process_id
        self._gate = gate
        self._transport = transport
        self._admission = admission
        self._timers = timers
        self._policy = policy
        self._policies: dict[str, ClassPolicies] = {}
        self._query_sequence = itertools.count(1)
        self._attempt_sequence = itertools.count(1)
        self._active: dict[str, _ActiveQuery] = {}
        self._fleet = Fleet((), ())
        self.catalog = SnapshotCatalog()
        self.levels = ServiceLevels()
        self.attempt_counts: Counter[str] = Counter()
        self.refusal_counts: Counter[RefusalReason] = Counter()

    def set_fleet(self, fleet: Fleet) -> None:
        """Applies the platform's list of VMs."""
        self._fleet = fleet

    @property
    def active_count(self) -> int:
        """Number of queries in progress."""
        return len(self._active)

    def warm_latency_s(self, class_name: str, server_id: str) -> float | None:
        """Returns a warm server's latency in seconds, None if it is unknown.

        It is derived from replies to this node.
        """
        policies = self._policies.get(class_name)
        return policies.waits.warm_latency_s(server_id) if policies else None

    def submit(
        self,
        request: QueryRequest,
        work_class: WorkClass,
        reply: QueryReplyHandler,
    ) -> CancelQuery | None:
        """Starts a query whose class is in the configuration in force.

        Returns:
            A function that cancels the query, or None if it was refused.
        """
        now_s = read_clock_s()
        refusal = self._admission.try_admit(
            request.class_name, request.deadline_at_s - now_s
        )
        if refusal is not None:
            self.refusal_counts[refusal.reason] += 1
            self.levels.record_end(
                now_s, work_class, REFUSED, RequestEnd(0.0, is_answered=False)
            )
            reply(
                Error(
                    Failure(
                        FailureKind.OVERLOADED,
                        Step.ADMISSION,
                        "",
                        refusal.detail,
                        retry_after_s=refusal.retry_after_s,
                    )
                )
            )
            return None
        execution = QueryExecution(request, self._make_context(work_class))
        query_id = f"{self._process_id}-{next(self._query_sequence)}"
        active = _ActiveQuery(execution, work_class, query_id, reply)
        self._active[query_id] = active
        self._apply_step(active, execution.start(now_s))
        return lambda: self._cancel(active)

    def _cancel(self, active: _ActiveQuery) -> None:
        """Ends the query of a disconnected caller, who can't read an answer."""
        if active.is_finished:
            return
        abandoned_ids = active.execution.abandon(read_clock_s())
        self._transport.cancel(active.query_id, abandoned_ids)
        self._finish(active, Error(CALLER_GONE))

    def _make_context(self, work_class: WorkClass) -> QueryContext:
        policies = self._policies.get(work_class.name)
        if policies is None:
            policies = make_class_policies(self._policy, random.Random())
            self._policies[work_class.name] = policies
        return QueryContext(
            targets=work_class.targets,
            revision=self._gate.configuration.revision,
            fleet=self._fleet,
            catalog=self.catalog,
            may_use=self._gate.may_use,
            next_attempt_id=lambda: next(self._attempt_sequence),
            policies=policies,
        )

    def _apply_step(self, active: _ActiveQuery, step: QueryStep) -> None:
        if active.is_finished:
            return
        self._record_slow_attempts(active, step)
        if step.cancelled_ids:
            self._transport.cancel(active.query_id, step.cancelled_ids)
        if step.result is not None:
            self._finish(active, step.result)
            return
        self._reschedule_timer(active)
        if step.attempts:
            self._send(active, step)

    def _send(self, active: _ActiveQuery, step: QueryStep) -> None:
        request = active.execution.request
        self.attempt_counts[request.class_name] += len(step.attempts)
        is_extra = active.attempt_count > 0
        active.attempt_count += len(step.attempts)
        for attempt in step.attempts:
            active.waiting[attempt.attempt_id] = attempt.server_id
            if is_extra:
                active.extra_attempt_ids.add(attempt.attempt_id)
        batch = AttemptBatch(
            query_id=active.query_id,
            kind=AttemptKind.SEARCH,
            class_name=request.class_name,
            index_version=step.index_version,
            deadline_at_s=request.deadline_at_s,
            idempotency_key="",
            attempts=step.attempts,
            body=request.body,
        )
        self._transport.send(batch, lambda reply: self._on_reply(active, reply))

    def _on_reply(self, active: _ActiveQuery, reply: AttemptReply) -> None:
        if active.is_finished:
            return
        self._record_reply(active, reply)
        self._apply_step(
            active, active.execution.on_reply(reply, read_clock_s())
        )

    def _record_reply(self, active: _ActiveQuery, reply: AttemptReply) -> None:
        """Records the end of an attempt; counts it as bad if it failed."""
        active.waiting.pop(reply.attempt_id, None)
        if reply.outcome in UNSENT_OUTCOMES:
            active.attempt_count -= 1
        elif reply.outcome in FAILED_OUTCOMES:
            self.levels.record_bad_attempt(
                read_clock_s(),
                active.work_class.name,
                reply.server_id,
                is_failed=True,
            )

    def _record_slow_attempts(
        self, active: _ActiveQuery, step: QueryStep
    ) -> None:
        """Counts cancelled attempts as slow for the service-level report.

        Two kinds don't count as slow: a hedge that lost to the first attempt,
        and attempts cancelled by a restart on another snapshot.
        """
        is_restart = bool(step.attempts)
        for attempt_id in step.cancelled_ids:
            server_id = active.waiting.pop(attempt_id, None)
            is_slower_hedge = (
                step.result is None and attempt_id in active.extra_attempt_ids
            )
            is_slow = not is_slower_hedge and not is_restart
            if server_id is not None and is_slow:
                self.levels.record_bad_attempt(
                    read_clock_s(),
                    active.work_class.name,
                    server_id,
                    is_failed=False,
                )

    def _reschedule_timer(self, active: _ActiveQuery) -> None:
        if active.timer is not None and not active.timer.is_cancelled:
            if active.timer_due_at_s == active.execution.wakeup_s:
                return
            active.timer.cancel()
        active.timer_due_at_s = active.execution.wakeup_s
        active.timer = self._timers.call_at(
            active.execution.wakeup_s, lambda: self._on_timer(active)
        )

    def _on_timer(self, active: _ActiveQuery) -> None:
        if not active.is_finished:
            self._apply_step(active, active.execution.on_wakeup(read_clock_s()))

    def _finish(
        self, active: _ActiveQuery, result: Result[QueryAnswer, Failure]
    ) -> None:
        active.is_finished = True
        if active.timer is not None:
            active.timer.cancel()
        del self._active[active.query_id]
        request = active.execution.request
        now_s = read_clock_s()
        latency_s = now_s - request.received_at_s
        self._admission.release(request.class_name, latency_s)
        end = RequestEnd(
            latency_s=latency_s,
            is_answered=result.is_ok(),
            shard_count=active.execution.shard_count,
            covered_count=active.execution.covered_count,
            attempt_count=active.attempt_count,
        )
        self._record_end(active, _classify_outcome(result), end)
        active.reply(result)

    def _record_end(
        self, active: _ActiveQuery, outcome: str, end: RequestEnd
    ) -> None:
        """Records the end of a query for the service-level report."""
        if outcome == REFUSED:
            # Admission had accepted the query, so the backend servers' queues
            # were too long.
            self.refusal_counts[RefusalReason.QUEUES_FULL] += 1
        if outcome == DISCONNECTED:
            lateness_s = active.work_class.targets.lateness_ms / 1000
            if end.latency_s <= lateness_s:
                # The caller disconnected while the answer was not late yet.
                return
            end = RequestEnd(end.latency_s, is_answered=False)
        self.levels.record_end(read_clock_s(), active.work_class, outcome, end)
