"""Non-idempotent requests: at most one effect for each idempotency key.

The record is created in the platform's store before the one dispatch. A node
dispatches only while the record holds its own token; what it cannot learn in
time it does not dispatch.
"""

import time
import uuid
from collections.abc import Callable
from typing import Final

from expression import Error, Ok, Result

from mulberrybay_core.attempts import (
    Attempt,
    AttemptBatch,
    AttemptCarrier,
    AttemptKind,
    AttemptOutcome,
    AttemptReply,
)
from mulberrybay_core.documents import decode_run_record, encode_run_record
from mulberrybay_core.errors import Failure, FailureKind, RunState, Step
from mulberrybay_core.fleet import BackendServer, Fleet
from mulberrybay_core.platform_messages import (
    PlatformStore,
    StoredObject,
    WriteOutcome,
    WriteResult,
)
from mulberrybay_core.queries import RunAnswer, RunReply, RunRequest
from mulberrybay_core.replica_choice import LeastExpectedWait
from mulberrybay_core.run_record import (
    RUN_RECORD_KIND,
    RunRecord,
    check_key,
    digest_body,
    record_name,
)
from mulberrybay_daemon.gate import Gate
from mulberrybay_runtime.backoff import Backoff
from mulberrybay_runtime.clock import read_clock_s
from mulberrybay_runtime.timers import Timer, Timers

MAX_OUTCOME_TRY_COUNT: Final = 60
MAX_DISPATCH_COUNT: Final = 4


class _Run:
    """One non-idempotent request in progress."""

    def __init__(self, request: RunRequest, run_id: str) -> None:
        self.request = request
        self.run_id = run_id
        self.token = uuid.uuid4().hex
        self.digest = digest_body(request.body)
        self.version = 0
        self.reply: RunReply | None = None
        self.timer: Timer | None = None
        self.tried_ids: set[str] = set()
        self.dispatched_to = ""
        self.attempt_id = 0

    @property
    def name(self) -> str:
        """The name of the record's object."""
        return record_name(
            self.request.class_name, self.request.idempotency_key
        )


class RunCoordinator:
    """Owns the non-idempotent requests that callers sent to this node."""

    def __init__(
        self,
        process_id: str,
        gate: Gate,
        carrier: AttemptCarrier,
        store: PlatformStore,
        timers: Timers,
        replicas: LeastExpectedWait,
    ) -> None:
        self._process_id = process_id
        self._gate = gate
        self._carrier = carrier
        self._store = store
        self._timers = timers
        self._replicas = replicas
        self._fleet = Fleet((), ())
        self._active: dict[str, _Run] = {}
        self._sequence = 0

    def set_fleet(self, fleet: Fleet) -> None:
        """Takes the platform's list of VMs."""
        self._fleet = fleet

    @property
    def active_count(self) -> int:
        """Requests in progress."""
        return len(self._active)

    def submit(self, request: RunRequest, reply: RunReply) -> None:
        """Runs a request whose class is in force and allows runs."""
        problem = check_key(request.idempotency_key, time.time())
        if problem is not None:
            reply(Error(_failure(FailureKind.INVALID, Step.PARSE, problem)))
            return
        self._sequence += 1
        run = _Run(request, f"{self._process_id}-r{self._sequence}")
        run.reply = reply
        self._active[run.run_id] = run
        run.timer = self._timers.call_at(
            request.deadline_at_s, lambda: self._on_deadline(run)
        )
        self._create(run)

    # Creating the record.

    def _create(self, run: _Run) -> None:
        self._write_pending(run, expected_version=0)

    def _write_pending(self, run: _Run, expected_version: int) -> None:
        record = RunRecord(
            token=run.token,
            body_digest=run.digest,
            state=RunState.UNKNOWN,
            created_at_s=time.time(),
        )
        self._store.write(
            RUN_RECORD_KIND,
            run.name,
            encode_run_record(record),
            expected_version,
            lambda result: self._on_pending_written(run, result),
        )

    def _on_pending_written(
        self, run: _Run, result: Result[WriteResult, Failure]
    ) -> None:
        if run.reply is None:
            # The caller was told "not run"; the record must say so too.
            self._record_outcome(run, RunState.NOT_RUN, "")
            return
        match result:
            case Result(tag="ok", ok=write):
                if write.outcome is WriteOutcome.WRITTEN:
                    run.version = write.version
                    self._dispatch(run)
                else:
                    self._read_record(run)
            case Result(error=failure):
                if failure.run_state is RunState.UNKNOWN:
                    # The write may have taken effect: its token tells.
                    self._read_record(run)
                else:
                    self._refuse(run, failure)

    def _read_record(self, run: _Run) -> None:
        self._store.read(
            RUN_RECORD_KIND,
            run.name,
            lambda result: self._on_record_read(run, result),
        )

    def _on_record_read(
        self, run: _Run, result: Result[StoredObject | None, Failure]
    ) -> None:
        if run.reply is None:
            self._record_outcome(run, RunState.NOT_RUN, "")
            return
        match result:
            case Result(tag="ok", ok=None):
                self._create(run)
            case Result(tag="ok", ok=StoredObject() as stored):
                self._on_stored(run, stored)
            case Result(error=failure):
                self._refuse(run, failure)
                self._record_outcome(run, RunState.NOT_RUN, "")

    def _on_stored(self, run: _Run, stored: StoredObject) -> None:
        match decode_run_record(stored.value):
            case Result(tag="ok", ok=record):
                self._on_record(run, stored.version, record)
            case Result(error=detail):
                failure = _failure(FailureKind.INTERNAL, Step.RECORD, detail)
                self._end(run, Error(_unknown(failure)))

    def _on_record(self, run: _Run, version: int, record: RunRecord) -> None:
        if record.body_digest != run.digest:
            failure = _failure(
                FailureKind.CONFLICT,
                Step.RECORD,
                "the idempotency key was used with another body",
            )
            self._end(run, Error(failure))
        elif record.state is RunState.RAN:
            answer = RunAnswer(
                request_id=run.request.request_id,
                result_json=record.result_json.encode(),
                was_repeat=True,
            )
            self._end(run, Ok(answer))
        elif record.state is RunState.NOT_RUN:
            self._write_pending(run, expected_version=version)
        elif record.token == run.token:
            run.version = version
            self._dispatch(run)
        else:
            failure = _failure(
                FailureKind.CONFLICT,
                Step.RECORD,
                "another try of this request has not ended",
            )
            self._end(run, Error(_unknown(failure)))

    # The one dispatch.

    def _dispatch(self, run: _Run) -> None:
        server = self._choose_server(run)
        if server is None:
            failure = _failure(
                FailureKind.NO_REPLICA,
                Step.ROUTING,
                "no backend server is in service",
                retry_after_s=1.0,
            )
            self._refuse(run, failure)
            self._record_outcome(run, RunState.NOT_RUN, "")
            return
        run.tried_ids.add(server.server_id)
        run.dispatched_to = server.server_id
        run.attempt_id += 1
        self._replicas.waits.on_sent(server.server_id)
        batch = AttemptBatch(
            query_id=run.run_id,
            kind=AttemptKind.RUN,
            class_name=run.request.class_name,
            index_version=0,
            deadline_at_s=run.request.deadline_at_s,
            idempotency_key=run.request.idempotency_key,
            attempts=(Attempt(run.attempt_id, server.server_id, 0),),
            body=run.request.body,
        )
        self._carrier.send(batch, lambda reply: self._on_reply(run, reply))

    def _choose_server(self, run: _Run) -> BackendServer | None:
        if len(run.tried_ids) >= MAX_DISPATCH_COUNT:
            return None
        candidates = [
            server
            for server in self._fleet.replicas(run.request.class_name)
            if self._gate.may_use(server)
            and server.server_id not in run.tried_ids
        ]
        if not candidates:
            return None
        return self._replicas.choose(
            candidates, run.request.failure_domain, read_clock_s()
        )

    def _on_reply(self, run: _Run, reply: AttemptReply) -> None:
        self._replicas.waits.on_reply(reply, read_clock_s())
        run.dispatched_to = ""
        if reply.run_state is RunState.RAN:
            self._record_outcome(run, RunState.RAN, reply.body.decode())
            answer = RunAnswer(run.request.request_id, reply.body, False)
            self._end(run, Ok(answer))
        elif reply.run_state is RunState.UNKNOWN:
            failure = _failure(
                FailureKind.CONNECTION,
                Step.BACKEND,
                f"the outcome is not known: {reply.outcome.name.lower()}",
                peer=f"backend server {reply.server_id}",
            )
            self._end(run, Error(_unknown(failure)))
        elif run.reply is None:
            self._record_outcome(run, RunState.NOT_RUN, "")
        elif reply.outcome is AttemptOutcome.DEADLINE:
            self._on_deadline(run)
        else:
            self._dispatch(run)

    # Ends.

    def _on_deadline(self, run: _Run) -> None:
        failure = _failure(
            FailureKind.DEADLINE,
            Step.DISPATCH,
            "the deadline has passed",
            retry_after_s=0.5,
        )
        if run.dispatched_to:
            self._end(run, Error(_unknown(failure)))
            return
        self._refuse(run, failure)
        if run.version:
            self._record_outcome(run, RunState.NOT_RUN, "")

    def _refuse(self, run: _Run, failure: Failure) -> None:
        """Answers "not run"; nothing of the run is dispatched after it."""
        self._end(run, Error(failure._replace(run_state=RunState.NOT_RUN)))

    def _end(self, run: _Run, result: Result[RunAnswer, Failure]) -> None:
        reply = run.reply
        run.reply = None
        self._active.pop(run.run_id, None)
        if run.timer is not None:
            run.timer.cancel()
        if reply is not None:
            reply(result)

    def _record_outcome(
        self, run: _Run, state: RunState, result_json: str
    ) -> None:
        """Writes the outcome to the record, trying for a while."""
        record = RunRecord(
            run.token, run.digest, state, time.time(), result_json
        )
        _OutcomeWriter(run, record, self._store, self._timers).start()


class _OutcomeWriter:
    """Writes one outcome, with retries, to a record that holds its token."""

    def __init__(
        self,
        run: _Run,
        record: RunRecord,
        store: PlatformStore,
        timers: Timers,
    ) -> None:
        self._name = run.name
        self._version = run.version
        self._record = record
        self._store = store
        self._timers = timers
        self._backoff = Backoff()
        self._try_count = 0

    def start(self) -> None:
        """Writes at once if the record's version is known."""
        if self._version:
            self._write()
        else:
            self._read()

    def _write(self) -> None:
        self._store.write(
            RUN_RECORD_KIND,
            self._name,
            encode_run_record(self._record),
            self._version,
            self._on_written,
        )

    def _on_written(self, result: Result[WriteResult, Failure]) -> None:
        match result:
            case Result(tag="ok", ok=write):
                if write.outcome is WriteOutcome.CONFLICT:
                    self._read()
            case _:
                self._retry(self._read)

    def _read(self) -> None:
        self._store.read(RUN_RECORD_KIND, self._name, self._on_read)

    def _on_read(self, result: Result[StoredObject | None, Failure]) -> None:
        match result:
            case Result(tag="ok", ok=None):
                pass
            case Result(tag="ok", ok=StoredObject() as stored):
                self._on_stored(stored)
            case _:
                self._retry(self._read)

    def _on_stored(self, stored: StoredObject) -> None:
        match decode_run_record(stored.value):
            case Result(tag="ok", ok=record):
                is_open = record.state is RunState.UNKNOWN
                if is_open and record.token == self._record.token:
                    self._version = stored.version
                    self._write()
            case _:
                pass

    def _retry(self, step: Callable[[], None]) -> None:
        self._try_count += 1
        if self._try_count < MAX_OUTCOME_TRY_COUNT:
            self._timers.call_later(self._backoff.next_delay_s(), step)


def _failure(
    kind: FailureKind,
    step: Step,
    detail: str,
    retry_after_s: float | None = None,
    peer: str = "",
) -> Failure:
    return Failure(kind, step, peer, detail, retry_after_s)


def _unknown(failure: Failure) -> Failure:
    return failure._replace(run_state=RunState.UNKNOWN)
