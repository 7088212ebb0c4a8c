"""The life of one query at its coordinator.

The run decides; the coordinator sends what it says. Every reply is matched by
attempt identity to a shard of the one snapshot that the query is on, so a
late or crossed reply finds no attempt and is dropped.
"""

from collections.abc import Callable, Iterable
from typing import Final, NamedTuple

from expression import Error, Ok, Result

from mulberrybay_core.attempts import Attempt, AttemptOutcome, AttemptReply
from mulberrybay_core.configuration import Targets
from mulberrybay_core.errors import Failure, FailureKind, RunState, Step
from mulberrybay_core.extra_load import ExtraLoadBudget
from mulberrybay_core.fleet import BackendServer, Fleet
from mulberrybay_core.hedging import HedgePolicy
from mulberrybay_core.queries import QueryAnswer, QueryRequest, ShardHits
from mulberrybay_core.replica_choice import ReplicaPolicy
from mulberrybay_core.snapshot import IndexSnapshot
from mulberrybay_core.snapshot_catalog import SnapshotCatalog

EARLY_SHARE: Final = 0.9
RETRY_DELAY_S: Final = 0.02
MAX_RETRY_DELAY_S: Final = 0.2
MAX_RESTART_COUNT: Final = 3

UNSENT_OUTCOMES: Final = frozenset(
    {
        AttemptOutcome.NOT_HOLDER,
        AttemptOutcome.NOT_ALLOWED,
        AttemptOutcome.QUEUE_FULL,
    }
)


class ClassPolicies(NamedTuple):
    """What the queries of one class share."""

    replicas: ReplicaPolicy
    hedging: HedgePolicy
    budget: ExtraLoadBudget


class QueryContext(NamedTuple):
    """What a query is planned with.

    Attributes:
        targets: The class's targets.
        revision: The configuration revision in force.
        fleet: The VMs.
        catalog: The index snapshots.
        may_use: Whether a backend server may get new work.
        next_attempt_id: Returns identities unique in this process.
        policies: What the class's queries share.
    """

    targets: Targets
    revision: int
    fleet: Fleet
    catalog: SnapshotCatalog
    may_use: Callable[[BackendServer], bool]
    next_attempt_id: Callable[[], int]
    policies: ClassPolicies


class QueryStep(NamedTuple):
    """What the coordinator must do next.

    Attributes:
        index_version: The snapshot that the attempts are for.
        attempts: Sub-requests to send.
        cancelled_ids: Attempts to cancel.
        result: The final answer; None while the query runs.
    """

    index_version: int
    attempts: tuple[Attempt, ...] = ()
    cancelled_ids: tuple[int, ...] = ()
    result: Result[QueryAnswer, Failure] | None = None


class _SentAttempt(NamedTuple):
    shard: int
    server_id: str
    sent_at_s: float
    is_extra: bool


class _Shard:
    """One shard of the query's snapshot."""

    def __init__(self, number: int, service: str) -> None:
        self.number = number
        self.service = service
        self.hits_json: bytes | None = None
        self.open_ids: set[int] = set()
        self.tried_ids: set[str] = set()
        self.retry_at_s: float | None = None
        self.hedge_at_s: float | None = None
        self.failure_count = 0


class QueryRun:
    """The state of one query."""

    def __init__(self, request: QueryRequest, context: QueryContext) -> None:
        self.request = request
        self._context = context
        self._snapshot: IndexSnapshot | None = None
        self._shards: list[_Shard] = []
        self._open: dict[int, _SentAttempt] = {}
        self._covered_count = 0
        self._restart_count = 0
        self._may_have_run = False
        lateness_s = context.targets.lateness_ms / 1000
        early_at_s = request.received_at_s + EARLY_SHARE * lateness_s
        self._early_at_s = min(early_at_s, request.deadline_at_s)
        self.wakeup_s = self._early_at_s

    @property
    def shard_count(self) -> int:
        """The shards of the query's snapshot; 0 before it has one."""
        return len(self._shards)

    @property
    def covered_count(self) -> int:
        """The shards that have replied."""
        return self._covered_count

    def start(self, now_s: float) -> QueryStep:
        """Plans the first attempt of every shard."""
        snapshot = self._context.catalog.choose(
            self.request.class_name, self._context.fleet, now_s
        )
        if snapshot is None or not snapshot.services:
            return self._fail(FailureKind.NOT_FOUND, "no index snapshot", 1.0)
        self._snapshot = snapshot
        self._shards = [
            _Shard(number, service)
            for number, service in enumerate(snapshot.services)
        ]
        self._covered_count = 0
        attempts = self._send(self._shards, now_s, is_extra=False)
        self._context.policies.budget.on_first_attempts(
            len(attempts), self._context.targets.extra_load_percent
        )
        self._schedule(now_s)
        return QueryStep(snapshot.index_version, tuple(attempts))

    def _send(
        self, shards: Iterable[_Shard], now_s: float, is_extra: bool
    ) -> list[Attempt]:
        attempts = []
        policies = self._context.policies
        extra_load_percent = self._context.targets.extra_load_percent
        hedge_delay_s = policies.hedging.delay_s(extra_load_percent)
        for shard in shards:
            shard.retry_at_s = None
            server = self._choose_server(shard, now_s)
            if server is None:
                shard.retry_at_s = now_s + RETRY_DELAY_S
                continue
            attempt_id = self._context.next_attempt_id()
            self._open[attempt_id] = _SentAttempt(
                shard.number, server.server_id, now_s, is_extra
            )
            shard.open_ids.add(attempt_id)
            shard.tried_ids.add(server.server_id)
            shard.hedge_at_s = None
            if hedge_delay_s is not None and len(shard.open_ids) == 1:
                shard.hedge_at_s = now_s + hedge_delay_s
            policies.replicas.on_sent(server.server_id)
            attempts.append(Attempt(attempt_id, server.server_id, shard.number))
        return attempts

    def _choose_server(
        self, shard: _Shard, now_s: float
    ) -> BackendServer | None:
        usable = self._usable_replicas(shard, now_s)
        busy_ids = {self._open[item].server_id for item in shard.open_ids}
        fresh = [s for s in usable if s.server_id not in shard.tried_ids]
        candidates = fresh or [
            server for server in usable if server.server_id not in busy_ids
        ]
        if not candidates:
            return None
        return self._context.policies.replicas.choose(
            candidates, self.request.failure_domain
        )

    def _usable_replicas(
        self, shard: _Shard, now_s: float
    ) -> list[BackendServer]:
        snapshot = self._current_snapshot()
        return [
            server
            for server in self._context.fleet.replicas(shard.service)
            if self._context.may_use(server)
            and not self._context.catalog.lacks(
                snapshot.class_name,
                server.server_id,
                snapshot.index_version,
                now_s,
            )
        ]

    def _current_snapshot(self) -> IndexSnapshot:
        if self._snapshot is None:
            raise RuntimeError("the query has not been started")
        return self._snapshot

    def on_reply(self, reply: AttemptReply, now_s: float) -> QueryStep:
        """Takes the end of an attempt; unknown attempts change nothing."""
        sent = self._open.pop(reply.attempt_id, None)
        if sent is None:
            return self._nothing()
        if reply.run_state is not RunState.NOT_RUN:
            self._may_have_run = True
        latency_s = now_s - sent.sent_at_s
        self._context.policies.replicas.on_reply(reply, latency_s)
        shard = self._shards[sent.shard]
        shard.open_ids.discard(reply.attempt_id)
        if reply.outcome is AttemptOutcome.OK:
            self._context.policies.hedging.on_latency(latency_s)
            return self._on_hits(shard, reply, now_s)
        if sent.is_extra and reply.outcome in UNSENT_OUTCOMES:
            self._context.policies.budget.refund()
        if reply.outcome is AttemptOutcome.WRONG_SNAPSHOT:
            return self._on_wrong_snapshot(shard, reply, now_s)
        return self._on_attempt_failed(shard, reply, now_s)

    def _on_hits(
        self, shard: _Shard, reply: AttemptReply, now_s: float
    ) -> QueryStep:
        if shard.hits_json is not None:
            return self._nothing()
        shard.hits_json = reply.body
        shard.retry_at_s = None
        shard.hedge_at_s = None
        self._covered_count += 1
        losers = tuple(shard.open_ids)
        for attempt_id in losers:
            self._close_attempt(attempt_id)
        is_early_enough = now_s >= self._early_at_s and self._meets_coverage()
        if self._covered_count == len(self._shards) or is_early_enough:
            return self._finish(losers)
        return self._nothing()._replace(cancelled_ids=losers)

    def _close_attempt(self, attempt_id: int) -> None:
        sent = self._open.pop(attempt_id)
        self._may_have_run = True
        self._shards[sent.shard].open_ids.discard(attempt_id)
        cancelled = AttemptReply(
            attempt_id,
            sent.server_id,
            AttemptOutcome.CANCELLED,
            RunState.UNKNOWN,
        )
        self._context.policies.replicas.on_reply(cancelled, 0.0)

    def _on_wrong_snapshot(
        self, shard: _Shard, reply: AttemptReply, now_s: float
    ) -> QueryStep:
        snapshot = self._current_snapshot()
        self._context.catalog.note_absent(
            snapshot.class_name, reply.server_id, snapshot.index_version, now_s
        )
        if self._usable_replicas(shard, now_s):
            shard.retry_at_s = now_s
            return self.on_wakeup(now_s)
        newer = self._context.catalog.choose(
            self.request.class_name, self._context.fleet, now_s
        )
        can_restart = (
            newer is not None
            and newer.index_version != snapshot.index_version
            and self._restart_count < MAX_RESTART_COUNT
        )
        if not can_restart:
            shard.retry_at_s = now_s + RETRY_DELAY_S
            self.wakeup_s = min(self.wakeup_s, shard.retry_at_s)
            return self._nothing()
        return self._restart(now_s)

    def _restart(self, now_s: float) -> QueryStep:
        """Starts over on another snapshot; nothing of the old one is kept."""
        self._restart_count += 1
        abandoned = tuple(self._open)
        for attempt_id in abandoned:
            self._close_attempt(attempt_id)
        step = self.start(now_s)
        return step._replace(cancelled_ids=abandoned)

    def _on_attempt_failed(
        self, shard: _Shard, reply: AttemptReply, now_s: float
    ) -> QueryStep:
        if shard.hits_json is not None or shard.open_ids:
            return self._nothing()
        shard.failure_count += 1
        shard.hedge_at_s = None
        delay_s = min(
            MAX_RETRY_DELAY_S, RETRY_DELAY_S * 2 ** (shard.failure_count - 1)
        )
        has_untried = any(
            server.server_id not in shard.tried_ids
            for server in self._usable_replicas(shard, now_s)
        )
        if has_untried and shard.failure_count == 1:
            delay_s = 0.0
        shard.retry_at_s = now_s + max(delay_s, reply.retry_after_ms / 1000)
        if delay_s == 0:
            return self.on_wakeup(now_s)
        self.wakeup_s = min(self.wakeup_s, shard.retry_at_s)
        return self._nothing()

    def on_wakeup(self, now_s: float) -> QueryStep:
        """Does what is due: answer, hedge or retry."""
        if now_s >= self.request.deadline_at_s:
            return self._finish(())
        if now_s >= self._early_at_s and self._meets_coverage():
            return self._finish(())
        attempts: list[Attempt] = []
        for shard in self._shards:
            if shard.hits_json is None and self._is_due(shard, now_s):
                attempts += self._send_extra(shard, now_s)
        self._schedule(now_s)
        return self._nothing()._replace(attempts=tuple(attempts))

    def _is_due(self, shard: _Shard, now_s: float) -> bool:
        due_s = shard.retry_at_s if not shard.open_ids else shard.hedge_at_s
        return due_s is not None and now_s >= due_s

    def _send_extra(self, shard: _Shard, now_s: float) -> list[Attempt]:
        shard.hedge_at_s = None
        budget = self._context.policies.budget
        if not budget.try_spend():
            if not shard.open_ids:
                shard.retry_at_s = now_s + MAX_RETRY_DELAY_S
            return []
        attempts = self._send([shard], now_s, is_extra=True)
        if not attempts:
            budget.refund()
            if shard.open_ids:
                shard.retry_at_s = None
        return attempts

    def _meets_coverage(self) -> bool:
        covered_percent = 100 * self._covered_count / len(self._shards)
        return covered_percent >= self._context.targets.coverage_percent

    def _schedule(self, now_s: float) -> None:
        """Sets when `on_wakeup` must be called next."""
        wakeup_s = self.request.deadline_at_s
        if now_s < self._early_at_s:
            wakeup_s = self._early_at_s
        for shard in self._shards:
            if shard.hits_json is not None:
                continue
            due_s = shard.retry_at_s if not shard.open_ids else shard.hedge_at_s
            if due_s is not None:
                wakeup_s = min(wakeup_s, due_s)
        self.wakeup_s = wakeup_s

    def _nothing(self) -> QueryStep:
        version = self._snapshot.index_version if self._snapshot else 0
        return QueryStep(version)

    def _finish(self, cancelled_ids: tuple[int, ...]) -> QueryStep:
        """Answers with what has come from the one snapshot."""
        snapshot = self._current_snapshot()
        abandoned = tuple(self._open)
        for attempt_id in abandoned:
            self._close_attempt(attempt_id)
        if self._covered_count == 0:
            step = self._fail(FailureKind.DEADLINE, "no shard replied", 0.5)
            return step._replace(cancelled_ids=cancelled_ids + abandoned)
        answer = QueryAnswer(
            request_id=self.request.request_id,
            index_version=snapshot.index_version,
            shard_count=snapshot.shard_count,
            parts=tuple(
                ShardHits(shard.number, shard.hits_json)
                for shard in self._shards
                if shard.hits_json is not None
            ),
            missing_shards=tuple(
                shard.number
                for shard in self._shards
                if shard.hits_json is None
            ),
            revision=self._context.revision,
        )
        return QueryStep(
            snapshot.index_version,
            cancelled_ids=cancelled_ids + abandoned,
            result=Ok(answer),
        )

    def _fail(
        self, kind: FailureKind, detail: str, retry_after_s: float
    ) -> QueryStep:
        run_state = RunState.UNKNOWN if self._may_have_run else RunState.NOT_RUN
        failure = Failure(
            kind=kind,
            step=Step.MERGE,
            peer="",
            detail=detail,
            retry_after_s=retry_after_s,
            run_state=run_state,
        )
        return self._nothing()._replace(result=Error(failure))
