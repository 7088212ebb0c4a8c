"""The holder: queues and dispatches attempts for the servers it holds."""

from collections import Counter
from collections.abc import Callable, Iterable
from typing import Final

from mulberrybay_core.attempts import (
    AttemptBatch,
    AttemptKind,
    AttemptOutcome,
    AttemptReply,
    AttemptReplyHandler,
)
from mulberrybay_core.backend_messages import (
    BackendConnections,
    BackendOutcome,
    BackendRequest,
    BackendResult,
)
from mulberrybay_core.concurrency_limit import ConcurrencyLimit
from mulberrybay_core.errors import RunState
from mulberrybay_core.fleet import Fleet
from mulberrybay_core.held_server import HeldServer, QueuedAttempt
from mulberrybay_core.holdings import Holdings
from mulberrybay_core.operator_messages import DrainingServer
from mulberrybay_daemon.gate import Gate
from mulberrybay_daemon.leaving import LeavingServers
from mulberrybay_runtime.clock import read_clock_s
from mulberrybay_runtime.timers import Timers

# Maximum duration of an attempt at a backend server. A node that replaces a
# dead holder waits this long, until none of its attempts is in progress.
MAX_ATTEMPT_DURATION_S: Final = 2.0

_ATTEMPT_OUTCOMES: Final = {
    BackendOutcome.OK: AttemptOutcome.OK,
    BackendOutcome.WRONG_SNAPSHOT: AttemptOutcome.WRONG_SNAPSHOT,
    BackendOutcome.SHED: AttemptOutcome.SHED,
    BackendOutcome.DEADLINE: AttemptOutcome.DEADLINE,
    BackendOutcome.CANCELLED: AttemptOutcome.CANCELLED,
    BackendOutcome.CONNECTION_LOST: AttemptOutcome.CONNECTION_LOST,
    BackendOutcome.BAD_REPLY: AttemptOutcome.BAD_REPLY,
    BackendOutcome.NOT_ALLOWED: AttemptOutcome.NOT_ALLOWED,
}


class Holder:
    """Manages the queues of the backend servers that this node holds."""

    def __init__(
        self,
        holdings: Holdings,
        gate: Gate,
        leaving_servers: LeavingServers,
        connections: BackendConnections,
        timers: Timers,
        get_warm_latency_s: Callable[[str, str], float | None],
    ) -> None:
        self._holdings = holdings
        self._gate = gate
        self._leaving_servers = leaving_servers
        self._connections = connections
        self._timers = timers
        self._get_warm_latency_s = get_warm_latency_s
        self._fleet = Fleet((), ())
        self._held_servers: dict[str, HeldServer] = {}
        self._server_by_request: dict[str, str] = {}
        self.outcome_counts: Counter[AttemptOutcome] = Counter()
        self.dispatch_counts: Counter[str] = Counter()

    def set_fleet(self, fleet: Fleet) -> None:
        """Applies the platform's list of VMs."""
        self._fleet = fleet
        for held in self._held_servers.values():
            server = fleet.server(held.server.server_id)
            if server is not None:
                held.server = server
        self.reset_unused_limits()

    def reset_unused_limits(self) -> None:
        """Resets the concurrency limit of servers that get no new work.

        They start with one attempt at a time when they return to service.
        """
        now_s = read_clock_s()
        for held in self._held_servers.values():
            if not self._gate.may_use(held.server, now_s):
                held.limit.restart()

    def submit(self, batch: AttemptBatch, reply: AttemptReplyHandler) -> None:
        """Queues the attempts of a batch; see `AttemptTransport.send`."""
        for attempt in batch.attempts:
            request_id = f"{batch.query_id}-{attempt.attempt_id}"
            self._enqueue(QueuedAttempt(batch, attempt, reply, request_id))
        self._timers.call_at(batch.deadline_at_s, lambda: self._expire(batch))

    def _enqueue(self, item: QueuedAttempt) -> None:
        server = self._fleet.server(item.attempt.server_id)
        if server is None or not self._holdings.is_wanted(server.server_id):
            self._refuse(item, AttemptOutcome.NOT_HOLDER)
            return
        now_s = read_clock_s()
        if not self._gate.may_use(server, now_s):
            self._refuse(item, AttemptOutcome.NOT_ALLOWED)
            return
        held = self._held_servers.get(server.server_id)
        if held is None:
            held = self._held_servers[server.server_id] = HeldServer(server)
        is_search = item.batch.kind is AttemptKind.SEARCH
        may_be_cold = is_search and held.may_be_cold(now_s)
        if may_be_cold or not held.enqueue(item):
            self._refuse(item, AttemptOutcome.QUEUE_FULL)
            return
        self._server_by_request[item.request_id] = server.server_id
        self.dispatch_queued(server.server_id)

    def _refuse(self, item: QueuedAttempt, outcome: AttemptOutcome) -> None:
        """Ends an attempt that has not been dispatched."""
        self._server_by_request.pop(item.request_id, None)
        self.outcome_counts[outcome] += 1
        held = self._held_servers.get(item.attempt.server_id)
        reply = AttemptReply(
            attempt_id=item.attempt.attempt_id,
            server_id=item.attempt.server_id,
            outcome=outcome,
            run_state=RunState.NOT_RUN,
        )
        item.reply(reply._replace(load=held.load()) if held else reply)

    def _expire(self, batch: AttemptBatch) -> None:
        now_s = read_clock_s()
        for attempt in batch.attempts:
            held = self._held_servers.get(attempt.server_id)
            for item in held.pop_expired(now_s) if held else ():
                self._refuse(item, AttemptOutcome.DEADLINE)

    def dispatch_queued(self, server_id: str) -> None:
        """Dispatches queued attempts within the server's current limit."""
        held = self._held_servers.get(server_id)
        if held is None or not self._holdings.is_held(server_id):
            return
        now_s = read_clock_s()
        while (item := held.pop_next(now_s)) is not None:
            self._dispatch(held, item, now_s)
            now_s = read_clock_s()
        pause_s = held.limit.paused_until_s - now_s
        if pause_s > 0:
            self._timers.call_later(
                pause_s, lambda: self.dispatch_queued(server_id)
            )

    def _dispatch(
        self, held: HeldServer, item: QueuedAttempt, now_s: float
    ) -> None:
        if item.batch.deadline_at_s <= now_s:
            self._refuse(item, AttemptOutcome.DEADLINE)
            return
        if not self._gate.may_dispatch(held.server, now_s):
            self._refuse(item, AttemptOutcome.NOT_ALLOWED)
            return
        held.begin(item, now_s)
        self.dispatch_counts[held.server.failure_domain] += 1
        request = BackendRequest(
            request_id=item.request_id,
            kind=item.batch.kind,
            index_version=item.batch.index_version,
            shard=item.attempt.shard,
            idempotency_key=item.batch.idempotency_key,
            deadline_at_s=min(
                item.batch.deadline_at_s,
                now_s + self._attempt_timeout_s(held, item),
            ),
            body=item.batch.body,
        )
        self._connections.execute(
            held.server,
            request,
            lambda: self._gate.may_dispatch(held.server, read_clock_s()),
            lambda result: self._on_result(held, item, result),
        )

    def _attempt_timeout_s(
        self, held: HeldServer, item: QueuedAttempt
    ) -> float:
        """Returns the maximum duration of an attempt at the backend server."""
        work_class = self._gate.configuration.find_class(item.batch.class_name)
        if work_class is None or item.batch.kind is not AttemptKind.SEARCH:
            return MAX_ATTEMPT_DURATION_S
        lateness_ms = work_class.targets.lateness_ms
        return min(MAX_ATTEMPT_DURATION_S, held.reply_timeout_s(lateness_ms))

    def _on_result(
        self, held: HeldServer, item: QueuedAttempt, result: BackendResult
    ) -> None:
        server_id = held.server.server_id
        has_replied = result.outcome is BackendOutcome.OK
        held.end(item.request_id, has_replied=has_replied)
        if has_replied or result.outcome is BackendOutcome.DEADLINE:
            held.record_duration(result.latency_s)
        self._server_by_request.pop(item.request_id, None)
        self._update_limit(held, item.batch.class_name, result)
        if result.run_state is RunState.RAN or result.is_leaving:
            self._leaving_servers.record_reply(
                server_id, result.is_leaving, read_clock_s()
            )
        outcome = _ATTEMPT_OUTCOMES[result.outcome]
        self.outcome_counts[outcome] += 1
        item.reply(
            AttemptReply(
                attempt_id=item.attempt.attempt_id,
                server_id=server_id,
                outcome=outcome,
                run_state=result.run_state,
                index_versions=result.index_versions,
                service_time_ms=result.latency_s * 1000,
                retry_after_ms=result.retry_after_s * 1000,
                load=held.load(),
                body=result.body,
            )
        )
        self._complete_release(held)
        self.dispatch_queued(server_id)

    def _update_limit(
        self, held: HeldServer, class_name: str, result: BackendResult
    ) -> None:
        if result.outcome is BackendOutcome.OK:
            if held.limit.baseline_s is None:
                warm_s = self._get_warm_latency_s(
                    class_name, held.server.server_id
                )
                if warm_s is not None:
                    held.limit.adopt_baseline(warm_s)
            held.limit.on_success(result.latency_s)
        elif result.outcome is BackendOutcome.CANCELLED:
            held.limit.on_cancelled(result.latency_s)
        elif result.outcome is BackendOutcome.CONNECTION_LOST:
            # The server may have restarted and be cold.
            held.limit.restart()
        elif result.outcome in {BackendOutcome.SHED, BackendOutcome.DEADLINE}:
            held.limit.on_overload(read_clock_s(), result.retry_after_s)

    def cancel(self, query_id: str, attempt_ids: Iterable[int]) -> None:
        """Cancels queued or dispatched attempts."""
        for attempt_id in attempt_ids:
            request_id = f"{query_id}-{attempt_id}"
            server_id = self._server_by_request.get(request_id)
            held = self._held_servers.get(server_id or "")
            if held is None:
                continue
            item = held.remove_queued(request_id)
            if item is not None:
                self._refuse(item, AttemptOutcome.CANCELLED)
            else:
                self._connections.cancel(request_id)

    def acquire(self, server_ids: Iterable[str]) -> None:
        """Starts dispatching to servers that this node now holds."""
        for server_id in server_ids:
            self.dispatch_queued(server_id)

    def release(self, server_ids: Iterable[str]) -> None:
        """Stops dispatching to servers and refuses their queued attempts."""
        for server_id in server_ids:
            held = self._held_servers.get(server_id)
            if held is None:
                self._holdings.mark_drained(server_id)
                continue
            for item in held.pop_all():
                self._refuse(item, AttemptOutcome.NOT_HOLDER)
            self._complete_release(held)

    def _complete_release(self, held: HeldServer) -> None:
        server_id = held.server.server_id
        if held.outstanding or self._holdings.is_wanted(server_id):
            return
        self._holdings.mark_drained(server_id)
        self._connections.drop_server(server_id)
        if self._held_servers.get(server_id) is held:
            del self._held_servers[server_id]

    def drop_all(self) -> None:
        """Drops all queues at once, since the lease may have expired."""
        for server_id, held in list(self._held_servers.items()):
            for item in held.pop_all():
                self._refuse(item, AttemptOutcome.NOT_HOLDER)
            # Outstanding attempts still count if this node holds the server
            # again.
            held.limit = ConcurrencyLimit(held.server.slot_count)
            if not held.outstanding:
                del self._held_servers[server_id]

    def has_outstanding(self, server_id: str) -> bool:
        """Returns whether a server still processes attempts of this node."""
        held = self._held_servers.get(server_id)
        return held is not None and bool(held.outstanding)

    @property
    def outstanding_count(self) -> int:
        """Number of attempts dispatched and not yet answered."""
        return sum(
            len(held.outstanding) for held in self._held_servers.values()
        )

    def drains(self) -> tuple[DrainingServer, ...]:
        """Returns servers that get no new work but still process attempts."""
        now_s = read_clock_s()
        return tuple(
            DrainingServer(
                server_id, held.server.failure_domain, len(held.outstanding)
            )
            for server_id, held in self._held_servers.items()
            if held.outstanding and not self._gate.may_use(held.server, now_s)
        )
