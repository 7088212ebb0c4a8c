"""Writes the outcomes of runs to their records, in the background.

All outcomes share one queue and one backoff: while the platform is down,
thousands of outcomes cause no more calls than one.
"""

from collections import deque
from typing import Final, NamedTuple

from expression import Result

from mulberrybay_core.documents import decode_run_record, encode_run_record
from mulberrybay_core.errors import Failure, RunState
from mulberrybay_core.platform_messages import (
    PlatformStore,
    StoredObject,
    WriteOutcome,
    WriteResult,
)
from mulberrybay_core.run_lifecycle import (
    SaveOutcome,
    WriteRecord,
    next_outcome_write,
)
from mulberrybay_core.run_record import StoredRecord
from mulberrybay_runtime.backoff import Backoff
from mulberrybay_runtime.timers import Timers

MAX_QUEUED_COUNT: Final = 10_000
MAX_CONCURRENT_SAVE_COUNT: Final = 2


class RecordLocation(NamedTuple):
    """The kind and name of a record in the store."""

    kind: str
    name: str


class _PendingSave(NamedTuple):
    location: RecordLocation
    action: SaveOutcome


class OutcomeWriter:
    """Writes outcomes until the store has confirmed them."""

    def __init__(self, store: PlatformStore, timers: Timers) -> None:
        self._store = store
        self._timers = timers
        self._queue: deque[_PendingSave] = deque()
        self._backoff = Backoff()
        self._active_count = 0
        self._is_backing_off = False
        self.dropped_count = 0

    @property
    def pending_count(self) -> int:
        """Number of outcomes that are not in the store yet."""
        return len(self._queue) + self._active_count

    def save(self, location: RecordLocation, action: SaveOutcome) -> None:
        """Saves an outcome in its record, with retries until it succeeds."""
        if len(self._queue) >= MAX_QUEUED_COUNT:
            # The record stays pending, so retries get the answer "unknown".
            self._queue.popleft()
            self.dropped_count += 1
        self._queue.append(_PendingSave(location, action))
        self._start_saves()

    def _start_saves(self) -> None:
        while (
            self._queue
            and self._active_count < MAX_CONCURRENT_SAVE_COUNT
            and not self._is_backing_off
        ):
            self._active_count += 1
            save = self._queue.popleft()
            if save.action.version:
                record = save.action.record
                self._write(save, WriteRecord(record, save.action.version))
            else:
                self._read(save)

    def _write(self, save: _PendingSave, write: WriteRecord) -> None:
        self._store.write(
            save.location.kind,
            save.location.name,
            encode_run_record(write.record),
            write.expected_version,
            lambda result: self._on_written(save, result),
        )

    def _on_written(
        self, save: _PendingSave, result: Result[WriteResult, Failure]
    ) -> None:
        match result:
            case Result(tag="ok", ok=write):
                if write.outcome is WriteOutcome.CONFLICT:
                    self._read(save)
                else:
                    self._complete_save()
            case _:
                self._retry(save)

    def _read(self, save: _PendingSave) -> None:
        self._store.read(
            save.location.kind,
            save.location.name,
            lambda result: self._on_read(save, result),
        )

    def _on_read(
        self, save: _PendingSave, result: Result[StoredObject | None, Failure]
    ) -> None:
        match result.map(read_stored_record):
            case Result(tag="ok", ok=Result(tag="ok", ok=stored)):
                write = next_outcome_write(save.action.record, stored)
                if write is None:
                    self._complete_save()
                else:
                    self._write(save, write)
            case Result(tag="ok"):
                # This program didn't write the record.
                self._complete_save()
            case _:
                self._retry(save)

    def _complete_save(self) -> None:
        self._active_count -= 1
        self._backoff.reset()
        self._start_saves()

    def _retry(self, save: _PendingSave) -> None:
        self._active_count -= 1
        action = save.action._replace(version=0)
        if save.action.record.state is RunState.RAN:
            self._queue.appendleft(save._replace(action=action))
        else:
            self._queue.append(save._replace(action=action))
        if not self._is_backing_off:
            self._is_backing_off = True
            self._timers.call_later(
                self._backoff.next_delay_s(), self._end_backoff
            )

    def _end_backoff(self) -> None:
        self._is_backing_off = False
        self._start_saves()


def read_stored_record(
    stored: StoredObject | None,
) -> Result[StoredRecord | None, str]:
    """Decodes a record as the store returned it; None if there is none."""
    if stored is None:
        return Result.Ok(None)
    return decode_run_record(stored.value).map(
        lambda record: StoredRecord(stored.version, record)
    )
