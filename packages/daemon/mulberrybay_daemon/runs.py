"""Non-idempotent requests: at most one effect for each idempotency key.

`run_lifecycle` decides on actions. This module performs them: it calls the
platform's store and sends attempts to the holders of backend servers.
"""

import time
import uuid
from collections import Counter
from typing import Final

from expression import Error, Ok, Result

from mulberrybay_core.attempts import (
    Attempt,
    AttemptBatch,
    AttemptKind,
    AttemptOutcome,
    AttemptReply,
    AttemptTransport,
)
from mulberrybay_core.documents import encode_run_record
from mulberrybay_core.errors import Failure, FailureKind, RunState, Step
from mulberrybay_core.fleet import BackendServer, Fleet
from mulberrybay_core.platform_messages import PlatformStore, StoredObject
from mulberrybay_core.queries import RunAnswer, RunReplyHandler, RunRequest
from mulberrybay_core.refusals import RefusalReason
from mulberrybay_core.replica_choice import LeastExpectedWait
from mulberrybay_core.run_lifecycle import (
    Action,
    Dispatch,
    EndRun,
    ReadRecord,
    RunLifecycle,
    SaveOutcome,
    WriteRecord,
    is_refused_by_platform,
)
from mulberrybay_core.run_record import (
    StoredRecord,
    check_key,
    record_kind,
    record_name,
)
from mulberrybay_core.write_budget import RunSettings, WriteBudget
from mulberrybay_daemon.gate import Gate
from mulberrybay_daemon.outcome_writer import (
    OutcomeWriter,
    RecordLocation,
    read_stored_record,
)
from mulberrybay_runtime.clock import read_clock_s
from mulberrybay_runtime.timers import Timer, Timers

MAX_DISPATCH_COUNT: Final = 4
# Delay before a retry at servers that had no holder.
HOLDER_RETRY_DELAY_S: Final = 0.05


class _Run:
    """One non-idempotent request in progress."""

    def __init__(
        self, request: RunRequest, run_id: str, reply: RunReplyHandler
    ) -> None:
        self.request = request
        self.run_id = run_id
        self.reply = reply
        self.lifecycle = RunLifecycle(request, uuid.uuid4().hex, time.time())
        self.location = RecordLocation(
            record_kind(request.idempotency_key),
            record_name(request.class_name, request.idempotency_key),
        )
        self.timer: Timer | None = None
        self.attempt_count = 0
        self.tried_ids: set[str] = set()
        # The tried servers that no node held.
        self.unheld_ids: set[str] = set()


class RunCoordinator:
    """Processes the non-idempotent requests sent to this node."""

    def __init__(
        self,
        process_id: str,
        settings: RunSettings,
        gate: Gate,
        transport: AttemptTransport,
        store: PlatformStore,
        timers: Timers,
        replicas: LeastExpectedWait,
    ) -> None:
        self._process_id = process_id
        self._gate = gate
        self._transport = transport
        self._store = store
        self._timers = timers
        self._replicas = replicas
        self._budget = WriteBudget(settings, read_clock_s())
        self._outcome_writer = OutcomeWriter(store, timers)
        self._fleet = Fleet((), ())
        self._active: dict[str, _Run] = {}
        self._sequence = 0
        self.result_counts: Counter[RunState] = Counter()
        self.refusal_counts: Counter[RefusalReason] = Counter()

    def set_fleet(self, fleet: Fleet) -> None:
        """Applies the platform's list of VMs."""
        self._fleet = fleet

    def set_node_count(self, node_count: int) -> None:
        """Sets the number of nodes that share the platform's writes."""
        self._budget.set_node_count(node_count)

    @property
    def active_count(self) -> int:
        """Number of requests that have not been answered."""
        return len(self._active)

    @property
    def unsaved_count(self) -> int:
        """Number of outcomes that are not in the platform's store yet."""
        return self._outcome_writer.pending_count

    @property
    def dropped_count(self) -> int:
        """Number of outcomes dropped because the queue was full."""
        return self._outcome_writer.dropped_count

    def submit(self, request: RunRequest, reply: RunReplyHandler) -> None:
        """Starts a request whose class is in force and allows runs."""
        failure = self._check_request(request)
        if failure is not None:
            self.result_counts[RunState.NOT_RUN] += 1
            reply(Error(failure))
            return
        self._sequence += 1
        run = _Run(request, f"{self._process_id}-r{self._sequence}", reply)
        self._active[run.run_id] = run
        run.timer = self._timers.call_at(
            request.deadline_at_s,
            lambda: self._perform(run, run.lifecycle.on_deadline()),
        )
        self._perform(run, run.lifecycle.start())

    def _check_request(self, request: RunRequest) -> Failure | None:
        problem = check_key(request.idempotency_key, time.time())
        if problem is not None:
            return Failure(FailureKind.INVALID, Step.PARSE, "caller", problem)
        if self._store.is_failing:
            self.refusal_counts[RefusalReason.PLATFORM_LOST] += 1
            # Refuses at once, since the caller would only wait for a timeout.
            return Failure(
                FailureKind.PLATFORM,
                Step.RECORD,
                "platform",
                "the platform does not answer",
                retry_after_s=1.0,
            )
        wait_s = self._budget.reserve_run(read_clock_s())
        if wait_s <= 0:
            return None
        self.refusal_counts[RefusalReason.WRITE_SHARE_USED] += 1
        return Failure(
            FailureKind.OVERLOADED,
            Step.ADMISSION,
            "",
            "this node's share of the platform's writes is used up",
            retry_after_s=wait_s,
        )

    def _perform(self, run: _Run, actions: list[Action]) -> None:
        for action in actions:
            match action:
                case WriteRecord():
                    self._write(run, action)
                case ReadRecord():
                    self._store.read(
                        *run.location, lambda result: self._on_read(run, result)
                    )
                case Dispatch():
                    self._dispatch(run)
                case EndRun(result):
                    self._end(run, result)
                case SaveOutcome():
                    self._outcome_writer.save(run.location, action)

    # Access to the run record.

    def _write(self, run: _Run, action: WriteRecord) -> None:
        self._store.write(
            *run.location,
            encode_run_record(action.record),
            action.expected_version,
            lambda result: self._perform(
                run, run.lifecycle.on_written(result, read_clock_s())
            ),
        )

    def _on_read(
        self, run: _Run, result: Result[StoredObject | None, Failure]
    ) -> None:
        match result.map(read_stored_record):
            case Result(tag="ok", ok=Result(tag="ok", ok=stored)):
                read: Result[StoredRecord | None, Failure] = Ok(stored)
            case Result(tag="ok", ok=Result(error=detail)):
                self._perform(run, run.lifecycle.on_internal_error(detail))
                return
            case Result(error=failure):
                read = Error(failure)
        self._perform(run, run.lifecycle.on_read(read, read_clock_s()))

    # Dispatch to backend servers.

    def _dispatch(self, run: _Run) -> None:
        server = self._choose_server(run)
        if server is None:
            self._perform(run, run.lifecycle.on_no_server())
            return
        run.attempt_count += 1
        run.tried_ids.add(server.server_id)
        self._replicas.waits.on_sent(server.server_id)
        attempt = Attempt(run.attempt_count, server.server_id, 0)
        batch = AttemptBatch(
            query_id=run.run_id,
            kind=AttemptKind.RUN,
            class_name=run.request.class_name,
            index_version=0,
            deadline_at_s=run.request.deadline_at_s,
            idempotency_key=run.request.idempotency_key,
            attempts=(attempt,),
            body=run.request.body,
        )
        self._transport.send(batch, lambda reply: self._on_reply(run, reply))

    def _choose_server(self, run: _Run) -> BackendServer | None:
        now_s = read_clock_s()
        candidates = self._untried_servers(run, now_s)
        if not candidates:
            return None
        return self._replicas.choose(
            candidates, run.request.failure_domain, now_s
        )

    def _untried_servers(self, run: _Run, now_s: float) -> list[BackendServer]:
        if len(run.tried_ids) >= MAX_DISPATCH_COUNT:
            return []
        return [
            server
            for server in self._fleet.replicas(run.request.class_name)
            if self._gate.may_use(server, now_s)
            and server.server_id not in run.tried_ids
        ]

    def _on_reply(self, run: _Run, reply: AttemptReply) -> None:
        self._replicas.waits.on_reply(reply, read_clock_s())
        if reply.outcome is AttemptOutcome.NOT_HOLDER:
            run.unheld_ids.add(reply.server_id)
            if self._should_wait_for_holder(run):
                run.tried_ids -= run.unheld_ids
                run.unheld_ids.clear()
                self._timers.call_later(
                    HOLDER_RETRY_DELAY_S, lambda: self._apply_reply(run, reply)
                )
                return
        self._apply_reply(run, reply)

    def _should_wait_for_holder(self, run: _Run) -> bool:
        """Returns whether to retry at servers that had no holder.

        While a node stops or starts, its servers briefly have no holder.
        """
        now_s = read_clock_s()
        is_in_time = now_s + HOLDER_RETRY_DELAY_S < run.request.deadline_at_s
        return is_in_time and not self._untried_servers(run, now_s)

    def _apply_reply(self, run: _Run, reply: AttemptReply) -> None:
        peer = f"backend server {reply.server_id}: {reply.outcome.name.lower()}"
        actions = run.lifecycle.on_reply(
            reply.run_state, reply.body, peer, read_clock_s()
        )
        self._perform(run, actions)

    def _end(self, run: _Run, result: Result[RunAnswer, Failure]) -> None:
        self._active.pop(run.run_id, None)
        if run.timer is not None:
            run.timer.cancel()
        match result:
            case Result(tag="ok"):
                self.result_counts[RunState.RAN] += 1
            case Result(error=failure):
                self.result_counts[failure.run_state] += 1
                if is_refused_by_platform(failure):
                    self.refusal_counts[RefusalReason.PLATFORM_LOST] += 1
        run.reply(result)
