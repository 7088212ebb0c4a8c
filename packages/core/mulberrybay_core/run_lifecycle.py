"""The lifecycle of one run, as a state machine without I/O.

Method calls deliver events, and their return values are the actions to
perform. The code that calls this module provides the client of the store, the
timers and the connections.

A run is dispatched only while its record contains its own token and its
deadline has not passed. It is dispatched again only after a reply that proves
that it was "not run". A run never replaces the pending record of another one:
there is no way to know whether a node that crashed had dispatched the run.
The outcome of such a key therefore stays "unknown" until the key is too old to
be used. A second record written just before the dispatch would not help,
because a node can also crash between that record and the dispatch.
"""

from typing import NamedTuple

from expression import Error, Ok, Result

from mulberrybay_core.errors import Failure, FailureKind, RunState, Step
from mulberrybay_core.platform_messages import WriteOutcome, WriteResult
from mulberrybay_core.queries import RunAnswer, RunRequest
from mulberrybay_core.run_record import (
    RunRecord,
    StoredRecord,
    digest_body,
    storable_result,
)


class WriteRecord(NamedTuple):
    """Write the record if the stored version is the expected one.

    Attributes:
        record: The record.
        expected_version: The version to replace; 0 if there must be none.
    """

    record: RunRecord
    expected_version: int


class ReadRecord(NamedTuple):
    """Read the record."""


class Dispatch(NamedTuple):
    """Send the request to a backend server that hasn't received it yet."""


class EndRun(NamedTuple):
    """Answer the caller."""

    result: Result[RunAnswer, Failure]


class SaveOutcome(NamedTuple):
    """Write the outcome to the record, with retries until it is stored.

    Attributes:
        record: The outcome.
        version: The version of the run's pending record; 0 if unknown.
    """

    record: RunRecord
    version: int


Action = WriteRecord | ReadRecord | Dispatch | EndRun | SaveOutcome


class RunLifecycle:
    """Decides the next actions for one run."""

    def __init__(self, request: RunRequest, token: str, unix_s: float) -> None:
        """Initializes a run that has no record yet.

        Args:
            request: The caller's request.
            token: ID of the run, unique over all nodes.
            unix_s: The Unix time to store in the record.
        """
        self._request = request
        self._pending_record = RunRecord(
            token, digest_body(request.body), RunState.UNKNOWN, unix_s
        )
        self._version = 0
        # Whether a write may still take effect, because it is in progress or
        # its outcome is unknown. In the latter case it may reach the store
        # later.
        self._has_unsettled_write = False
        self._has_unknown_write = False
        self._is_dispatched = False
        self.is_ended = False

    def start(self) -> list[Action]:
        """Starts the run by creating its record, if the key is unused."""
        return self._write(expected_version=0)

    def _write(self, expected_version: int) -> list[Action]:
        self._has_unsettled_write = True
        return [WriteRecord(self._pending_record, expected_version)]

    def on_written(
        self, result: Result[WriteResult, Failure], now_s: float
    ) -> list[Action]:
        """Handles the result of the write of the pending record."""
        match result:
            case Result(tag="ok", ok=write):
                self._has_unsettled_write = self._has_unknown_write
                if write.outcome is WriteOutcome.CONFLICT:
                    return (
                        self._block_unsettled_write()
                        if self.is_ended
                        else [ReadRecord()]
                    )
                self._version = write.version
                return self._on_record_owned(now_s)
            case Result(error=failure):
                if failure.run_state is RunState.UNKNOWN:
                    self._has_unknown_write = True
                    return (
                        self._block_unsettled_write()
                        if self.is_ended
                        else [ReadRecord()]
                    )
                self._has_unsettled_write = self._has_unknown_write
                return [
                    *self._end_not_run(failure),
                    *self._block_unsettled_write(),
                ]

    def on_read(
        self, result: Result[StoredRecord | None, Failure], now_s: float
    ) -> list[Action]:
        """Handles the result of a read; `None` if there is no record."""
        if self.is_ended:
            return self._block_unsettled_write()
        match result:
            case Result(tag="ok", ok=None):
                return self._write(expected_version=0)
            case Result(tag="ok", ok=StoredRecord() as stored):
                return self._on_record(stored, now_s)
            case Result(error=failure):
                return [
                    *self._end_not_run(failure),
                    *self._block_unsettled_write(),
                ]

    def _on_record(self, stored: StoredRecord, now_s: float) -> list[Action]:
        record = stored.record
        if record.body_digest != self._pending_record.body_digest:
            return self._end_not_run(
                _make_failure(
                    FailureKind.CONFLICT,
                    Step.RECORD,
                    "the idempotency key was used with another body",
                )
            )
        if record.state is RunState.RAN:
            return self._end(Ok(self._make_answer(record.result_json, True)))
        if record.state is RunState.NOT_RUN:
            return self._write(expected_version=stored.version)
        if record.token == self._pending_record.token:
            self._version = stored.version
            return self._on_record_owned(now_s)
        failure = _make_failure(
            FailureKind.CONFLICT,
            Step.RECORD,
            "another request with this idempotency key has not ended",
            retry_after_s=1.0,
        )
        return self._end(Error(_with_unknown_state(failure)))

    def _on_record_owned(self, now_s: float) -> list[Action]:
        if self.is_ended:
            # The caller got "not run" as the answer, so the record must agree.
            return [self._save_outcome(RunState.NOT_RUN)]
        return self._dispatch(now_s)

    def _dispatch(self, now_s: float) -> list[Action]:
        if now_s >= self._request.deadline_at_s:
            return self.on_deadline()
        self._is_dispatched = True
        return [Dispatch()]

    def on_no_server(self) -> list[Action]:
        """Handles a dispatch that found no backend server and sent nothing."""
        self._is_dispatched = False
        failure = _make_failure(
            FailureKind.NO_REPLICA,
            Step.ROUTING,
            "no backend server can accept the request",
            retry_after_s=1.0,
        )
        return [
            *self._end_not_run(failure),
            self._save_outcome(RunState.NOT_RUN),
        ]

    def on_reply(
        self, run_state: RunState, body: bytes, peer: str, now_s: float
    ) -> list[Action]:
        """Handles the end of the one outstanding dispatch.

        Args:
            run_state: Whether the backend server ran the request.
            body: Its result, if it ran.
            peer: The backend server, for the failure.
            now_s: The current time, on the clock of the deadline.
        """
        if run_state is RunState.UNKNOWN:
            failure = _make_failure(
                FailureKind.CONNECTION,
                Step.BACKEND,
                "the outcome of the request is unknown",
                peer=peer,
            )
            return self._end(Error(_with_unknown_state(failure)))
        self._is_dispatched = False
        if run_state is RunState.RAN:
            result_json = body.decode()
            save = self._save_outcome(
                RunState.RAN, storable_result(result_json)
            )
            return [*self._end(Ok(self._make_answer(result_json, False))), save]
        if self.is_ended:
            return [self._save_outcome(RunState.NOT_RUN)]
        return self._dispatch(now_s)

    def on_deadline(self) -> list[Action]:
        """Ends the run because the caller's deadline has passed."""
        if self.is_ended:
            return []
        failure = _make_failure(
            FailureKind.DEADLINE,
            Step.DISPATCH,
            "the deadline has passed",
            retry_after_s=0.5,
        )
        if self._is_dispatched:
            return self._end(Error(_with_unknown_state(failure)))
        actions = self._end_not_run(failure)
        if self._version:
            actions.append(self._save_outcome(RunState.NOT_RUN))
        return actions

    def on_internal_error(self, detail: str) -> list[Action]:
        """Ends the run as "unknown" after an internal error of the node."""
        failure = _make_failure(FailureKind.INTERNAL, Step.RECORD, detail)
        return self._end(Error(_with_unknown_state(failure)))

    def _end_not_run(self, failure: Failure) -> list[Action]:
        """Answers "not run"; the run is not dispatched afterwards."""
        return self._end(Error(failure._replace(run_state=RunState.NOT_RUN)))

    def _block_unsettled_write(self) -> list[Action]:
        """Makes sure that a late write can't leave the record pending.

        Saving "not run" changes the version, so that the late write conflicts.
        """
        if not self._has_unsettled_write:
            return []
        return [self._save_outcome(RunState.NOT_RUN)]

    def _end(self, result: Result[RunAnswer, Failure]) -> list[Action]:
        if self.is_ended:
            return []
        self.is_ended = True
        return [EndRun(result)]

    def _save_outcome(
        self, state: RunState, result_json: str = ""
    ) -> SaveOutcome:
        record = self._pending_record._replace(
            state=state, result_json=result_json
        )
        return SaveOutcome(record, self._version)

    def _make_answer(self, result_json: str, was_repeat: bool) -> RunAnswer:
        return RunAnswer(
            request_id=self._request.request_id,
            result_json=result_json.encode() or b"null",
            was_repeat=was_repeat,
        )


def is_refused_by_platform(failure: Failure) -> bool:
    """Returns whether a run was not begun because it could not be recorded."""
    return (
        failure.kind is FailureKind.PLATFORM
        and failure.run_state is RunState.NOT_RUN
    )


def next_outcome_write(
    outcome: RunRecord, stored: StoredRecord | None
) -> WriteRecord | None:
    """Returns the write that stores an outcome, or None if none is needed.

    A "not run" is also written if there is no record, or over the "not run" of
    another run. A late write of the pending record then conflicts with the new
    version, so it can't leave the key pending for ever.
    """
    is_not_run = outcome.state is RunState.NOT_RUN
    if stored is None:
        return WriteRecord(outcome, 0) if is_not_run else None
    record = stored.record
    has_same_token = record.token == outcome.token
    if has_same_token and record.state is RunState.UNKNOWN:
        return WriteRecord(outcome, stored.version)
    if is_not_run and not has_same_token and record.state is RunState.NOT_RUN:
        return WriteRecord(outcome, stored.version)
    return None


def _make_failure(
    kind: FailureKind,
    step: Step,
    detail: str,
    retry_after_s: float | None = None,
    peer: str = "",
) -> Failure:
    return Failure(kind, step, peer, detail, retry_after_s)


def _with_unknown_state(failure: Failure) -> Failure:
    return failure._replace(run_state=RunState.UNKNOWN)
