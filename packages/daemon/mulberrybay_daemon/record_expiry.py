"""Deletes run records whose keys are too old to be used.

One node at a time sweeps the records slot by slot. It stores its position in an
object of the store, so that another node can continue from there. Two nodes may
sweep at the same time for a while: all nodes refuse keys of that age, so nobody
reads their records.
"""

import time
from collections.abc import Callable
from typing import Final

from expression import Result

from mulberrybay_core.errors import Failure
from mulberrybay_core.platform_messages import (
    ObjectList,
    PlatformStore,
    StoredObject,
    WriteOutcome,
    WriteResult,
)
from mulberrybay_core.run_record import (
    RECORD_RETENTION_S,
    SLOT_LENGTH_S,
    is_expired,
    slot_kind,
    slot_of,
)
from mulberrybay_core.write_budget import WRITES_PER_RUN, RunSettings
from mulberrybay_runtime.timers import Timers

CURSOR_KIND: Final = "run-expiry"
CURSOR_NAME: Final = "cursor"
POLL_PERIOD_S: Final = 1.0


class RecordExpiry:
    """Deletes expired records while this node is responsible for it."""

    def __init__(
        self,
        settings: RunSettings,
        store: PlatformStore,
        timers: Timers,
        should_sweep: Callable[[], bool],
    ) -> None:
        self._store = store
        self._timers = timers
        self._should_sweep = should_sweep
        self._delete_period_s = WRITES_PER_RUN / settings.platform_writes_per_s
        self._expired_records: list[StoredObject] = []
        self._cursor_version = 0
        self._slot = 0
        self.deleted_count = 0

    def start(self) -> None:
        """Starts the periodic sweep."""
        self._timers.call_later(POLL_PERIOD_S, self._sweep)

    def _restart_later(self) -> None:
        self._expired_records = []
        self._cursor_version = 0
        self._timers.call_later(POLL_PERIOD_S, self._sweep)

    def _sweep(self) -> None:
        if not self._should_sweep():
            self._restart_later()
        elif self._cursor_version:
            self._list_slot()
        else:
            self._store.read(CURSOR_KIND, CURSOR_NAME, self._on_cursor)

    def _on_cursor(self, result: Result[StoredObject | None, Failure]) -> None:
        match result:
            case Result(tag="ok", ok=None):
                self._slot = slot_of(time.time() - RECORD_RETENTION_S)
                self._write_cursor()
            case Result(tag="ok", ok=StoredObject() as stored):
                self._slot = int(stored.value["slot"])
                self._cursor_version = stored.version
                self._list_slot()
            case _:
                self._restart_later()

    def _write_cursor(self) -> None:
        self._store.write(
            CURSOR_KIND,
            CURSOR_NAME,
            {"slot": self._slot},
            self._cursor_version,
            self._on_cursor_written,
        )

    def _on_cursor_written(self, result: Result[WriteResult, Failure]) -> None:
        match result:
            case Result(tag="ok", ok=write):
                # After a conflict the version is another node's, so the cursor
                # is read again.
                is_written = write.outcome is WriteOutcome.WRITTEN
                self._cursor_version = write.version if is_written else 0
                self._timers.call_later(self._delete_period_s, self._sweep)
            case _:
                self._restart_later()

    def _list_slot(self) -> None:
        slot_ends_at_s = (self._slot + 1) * SLOT_LENGTH_S
        if time.time() < slot_ends_at_s + RECORD_RETENTION_S:
            self._timers.call_later(POLL_PERIOD_S, self._sweep)
            return
        self._store.list_kind(slot_kind(self._slot), self._on_listed)

    def _on_listed(self, result: Result[ObjectList, Failure]) -> None:
        match result:
            case Result(tag="ok", ok=listed):
                now_s = time.time()
                self._expired_records = [
                    item
                    for item in listed.items
                    if is_expired(item.name, now_s)
                ]
                self._delete_next()
            case _:
                self._restart_later()

    def _delete_next(self) -> None:
        if not self._expired_records:
            self._slot += 1
            self._write_cursor()
            return
        item = self._expired_records.pop()
        self._store.delete(item.kind, item.name, item.version, self._on_deleted)

    def _on_deleted(self, result: Result[WriteResult, Failure]) -> None:
        match result:
            case Result(tag="ok"):
                self.deleted_count += 1
                self._timers.call_later(
                    self._delete_period_s, self._delete_next
                )
            case _:
                self._restart_later()
