"""The life of one non-idempotent request, as a pure state machine.

Messages come in as method calls, actions go out as return values; the caller
of this module owns the store's client, the timers and the links.

A run dispatches only while the record holds its own token and its deadline
has not passed, and dispatches again only after a reply that is provably "not
run". A pending record is never taken over: whether its owner dispatched
before it died can't be learned, so such a key stays "unknown" until it is too
old to be used. A second record written just before the dispatch would not
help, since the same gap lies between that record and the dispatch.
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
    """Write the record if its version is as expected; 0 for absent."""

    record: RunRecord
    expected_version: int


class ReadRecord(NamedTuple):
    """Read the record."""


class Dispatch(NamedTuple):
    """Send the request to a backend server that was not asked before."""


class EndRun(NamedTuple):
    """Answer the caller."""

    result: Result[RunAnswer, Failure]


class SaveOutcome(NamedTuple):
    """Write the outcome to the record, however often that must be tried.

    Attributes:
        record: The outcome.
        version: The version of the run's pending record; 0 if not known.
    """

    record: RunRecord
    version: int


Action = WriteRecord | ReadRecord | Dispatch | EndRun | SaveOutcome


class RunLife:
    """Decides what happens next to one request."""

    def __init__(self, request: RunRequest, token: str, unix_s: float) -> None:
        """Begins before the record exists.

        Args:
            request: What the caller asked.
            token: Unique over all runs of all nodes.
            unix_s: The wall-clock time, kept in the record.
        """
        self._request = request
        self._pending = RunRecord(
            token, digest_body(request.body), RunState.UNKNOWN, unix_s
        )
        self._version = 0
        # A write may yet take effect: it is on its way, or its answer was
        # lost and may not even have reached the store.
        self._is_write_open = False
        self._was_write_lost = False
        self._is_dispatched = False
        self.is_ended = False

    def start(self) -> list[Action]:
        """Begins with the record: created only if the key is unused."""
        return self._write(expected_version=0)

    def _write(self, expected_version: int) -> list[Action]:
        self._is_write_open = True
        return [WriteRecord(self._pending, expected_version)]

    def on_written(
        self, result: Result[WriteResult, Failure], now_s: float
    ) -> list[Action]:
        """Takes how the write of the pending record ended."""
        match result:
            case Result(tag="ok", ok=write):
                self._is_write_open = self._was_write_lost
                if write.outcome is WriteOutcome.CONFLICT:
                    return self._fence() if self.is_ended else [ReadRecord()]
                self._version = write.version
                return self._own_record(now_s)
            case Result(error=failure):
                if failure.run_state is RunState.UNKNOWN:
                    self._was_write_lost = True
                    return self._fence() if self.is_ended else [ReadRecord()]
                self._is_write_open = self._was_write_lost
                return [*self._refuse(failure), *self._fence()]

    def on_read(
        self, result: Result[StoredRecord | None, Failure], now_s: float
    ) -> list[Action]:
        """Takes the record as the store has it."""
        if self.is_ended:
            return self._fence()
        match result:
            case Result(tag="ok", ok=None):
                return self._write(expected_version=0)
            case Result(tag="ok", ok=StoredRecord() as stored):
                return self._on_record(stored, now_s)
            case Result(error=failure):
                return [*self._refuse(failure), *self._fence()]

    def _on_record(self, stored: StoredRecord, now_s: float) -> list[Action]:
        record = stored.record
        if record.body_digest != self._pending.body_digest:
            return self._refuse(
                _failure(
                    FailureKind.CONFLICT,
                    Step.RECORD,
                    "the idempotency key was used with another body",
                )
            )
        if record.state is RunState.RAN:
            return self._end(Ok(self._answer(record.result_json, True)))
        if record.state is RunState.NOT_RUN:
            return self._write(expected_version=stored.version)
        if record.token == self._pending.token:
            self._version = stored.version
            return self._own_record(now_s)
        failure = _failure(
            FailureKind.CONFLICT,
            Step.RECORD,
            "another try of this request has not ended",
            retry_after_s=1.0,
        )
        return self._end(Error(_unknown(failure)))

    def _own_record(self, now_s: float) -> list[Action]:
        if self.is_ended:
            # The caller was told "not run"; the record must say so too.
            return [self._save(RunState.NOT_RUN)]
        return self._dispatch(now_s)

    def _dispatch(self, now_s: float) -> list[Action]:
        if now_s >= self._request.deadline_at_s:
            return self.on_deadline()
        self._is_dispatched = True
        return [Dispatch()]

    def on_no_server(self) -> list[Action]:
        """No backend server is left to be asked; nothing was sent."""
        self._is_dispatched = False
        failure = _failure(
            FailureKind.NO_REPLICA,
            Step.ROUTING,
            "no backend server can take the request",
            retry_after_s=1.0,
        )
        return [*self._refuse(failure), self._save(RunState.NOT_RUN)]

    def on_reply(
        self, run_state: RunState, body: bytes, peer: str, now_s: float
    ) -> list[Action]:
        """Takes how the one outstanding dispatch ended."""
        if run_state is RunState.UNKNOWN:
            failure = _failure(
                FailureKind.CONNECTION,
                Step.BACKEND,
                "the outcome is not known",
                peer=peer,
            )
            return self._end(Error(_unknown(failure)))
        self._is_dispatched = False
        if run_state is RunState.RAN:
            result_json = body.decode()
            save = self._save(RunState.RAN, storable_result(result_json))
            return [*self._end(Ok(self._answer(result_json, False))), save]
        if self.is_ended:
            return [self._save(RunState.NOT_RUN)]
        return self._dispatch(now_s)

    def on_deadline(self) -> list[Action]:
        """The caller's deadline has passed."""
        if self.is_ended:
            return []
        failure = _failure(
            FailureKind.DEADLINE,
            Step.DISPATCH,
            "the deadline has passed",
            retry_after_s=0.5,
        )
        if self._is_dispatched:
            return self._end(Error(_unknown(failure)))
        actions = self._refuse(failure)
        if self._version:
            actions.append(self._save(RunState.NOT_RUN))
        return actions

    def on_internal_error(self, detail: str) -> list[Action]:
        """Ends the run after a fault in this program."""
        failure = _failure(FailureKind.INTERNAL, Step.RECORD, detail)
        return self._end(Error(_unknown(failure)))

    def _refuse(self, failure: Failure) -> list[Action]:
        """Answers "not run"; nothing of the run is dispatched after it."""
        return self._end(Error(failure._replace(run_state=RunState.NOT_RUN)))

    def _fence(self) -> list[Action]:
        """Keeps a write that may still take effect from leaving a key open."""
        if not self._is_write_open:
            return []
        return [self._save(RunState.NOT_RUN)]

    def _end(self, result: Result[RunAnswer, Failure]) -> list[Action]:
        if self.is_ended:
            return []
        self.is_ended = True
        return [EndRun(result)]

    def _save(self, state: RunState, result_json: str = "") -> SaveOutcome:
        record = self._pending._replace(state=state, result_json=result_json)
        return SaveOutcome(record, self._version)

    def _answer(self, result_json: str, was_repeat: bool) -> RunAnswer:
        return RunAnswer(
            request_id=self._request.request_id,
            result_json=result_json.encode() or b"null",
            was_repeat=was_repeat,
        )


def next_outcome_write(
    outcome: RunRecord, stored: StoredRecord | None
) -> WriteRecord | None:
    """Returns the write that brings an outcome into the record, if any.

    A "not run" also replaces a record that is absent, or the "not run" of
    another try: a write of the pending record that is still on its way then
    finds a version that it does not expect, and leaves no key open for ever.
    """
    is_not_run = outcome.state is RunState.NOT_RUN
    if stored is None:
        return WriteRecord(outcome, 0) if is_not_run else None
    record = stored.record
    is_own = record.token == outcome.token
    if is_own and record.state is RunState.UNKNOWN:
        return WriteRecord(outcome, stored.version)
    if is_not_run and not is_own and record.state is RunState.NOT_RUN:
        return WriteRecord(outcome, stored.version)
    return None


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
