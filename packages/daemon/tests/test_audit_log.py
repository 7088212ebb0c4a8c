"""Retention of audit entries, also when calls to the store fail.

The tests retain only a few entries, so that old ones are soon deleted.
"""

from collections.abc import Callable
from typing import Any

import pytest
from expression import Error, Ok, Result

from mulberrybay_core.audit import AuditEntry, encode_audit_entry
from mulberrybay_core.configuration import EMPTY_CONFIGURATION
from mulberrybay_core.errors import Failure, FailureKind, Step
from mulberrybay_core.platform_messages import (
    StoredObject,
    WriteOutcome,
    WriteResult,
)
from mulberrybay_daemon.audit_log import AuditLog

RETAINED_COUNT = 3
PLATFORM_FAILURE = Failure(
    FailureKind.PLATFORM, Step.RECORD, "platform", "", 1.0
)


class FakeStore:
    """A store of audit entries; operations in `failing` fail."""

    def __init__(self) -> None:
        self.entries: dict[int, StoredObject] = {}
        self.failing: set[str] = set()
        self.call_count = 0

    def read(self, kind: str, name: str, reply: Callable[..., None]) -> None:
        self.call_count += 1
        if "read" in self.failing:
            reply(Error(PLATFORM_FAILURE))
        else:
            reply(Ok(self.entries.get(int(name))))

    def write(
        self,
        kind: str,
        name: str,
        value: dict[str, Any],
        expected_version: int,
        reply: Callable[..., None],
    ) -> None:
        outcome = WriteOutcome.CONFLICT
        if int(name) not in self.entries:
            outcome = WriteOutcome.WRITTEN
            self.entries[int(name)] = StoredObject(kind, name, 1, value)
        reply(Ok(WriteResult(outcome, 1)))

    def delete(
        self,
        kind: str,
        name: str,
        expected_version: int,
        reply: Callable[..., None],
    ) -> None:
        self.call_count += 1
        if "delete" in self.failing:
            reply(Error(PLATFORM_FAILURE))
            return
        del self.entries[int(name)]
        reply(Ok(WriteResult(WriteOutcome.WRITTEN, 2)))


def make_entry(revision: int) -> AuditEntry:
    return AuditEntry(revision, revision - 1, f"c{revision}", "amina", 0.0, "")


def archive(log: AuditLog, *revisions: int) -> None:
    for revision in revisions:
        results: list[Result[None, Failure]] = []
        log.archive(make_entry(revision), results.append)
        assert [result.is_ok() for result in results] == [True]


def make_log() -> tuple[AuditLog, FakeStore]:
    store = FakeStore()
    return AuditLog(store, RETAINED_COUNT), store  # type: ignore[arg-type]


def test_number_of_stored_entries_is_limited() -> None:
    """Guards against a store that grows with each change.

    It also fails if an entry within the limit is deleted.
    """
    log, store = make_log()
    for revision in range(1, 20):
        archive(log, revision)
        first = max(1, revision - RETAINED_COUNT + 1)
        assert sorted(store.entries) == list(range(first, revision + 1))


def test_change_needs_two_reads_and_one_delete() -> None:
    """Guards against a sweep that reads more than it has to.

    A sweep stops at the first missing entry, so a change reads one entry to
    delete and one that is missing.
    """
    log, store = make_log()
    archive(log, *range(1, 10))
    calls_before = store.call_count
    archive(log, 10)
    assert store.call_count - calls_before == 3


@pytest.mark.parametrize("operation", ["read", "delete"])
@pytest.mark.parametrize("is_other_node", [False, True])
def test_entries_left_by_a_failed_sweep_are_deleted_at_the_next_change(
    operation: str, *, is_other_node: bool
) -> None:
    """Guards against old entries that stay for ever.

    Reads or deletes fail during several changes. The next change, made by the
    same or another node, must delete all the entries that are too old.
    """
    log, store = make_log()
    archive(log, *range(1, 6))
    store.failing = {operation}
    archive(log, 6, 7, 8)
    assert sorted(store.entries) == [3, 4, 5, 6, 7, 8]
    store.failing = set()
    if is_other_node:
        log = AuditLog(store, RETAINED_COUNT)  # type: ignore[arg-type]
    archive(log, 9)
    assert sorted(store.entries) == [7, 8, 9]


def test_read_newest_returns_the_stored_entries_and_the_current_one() -> None:
    """Guards against a reader that misses entries.

    The newest entry is part of the current configuration; the others are
    objects in the store.
    """
    log, store = make_log()
    archive(log, *range(1, 10))
    current = EMPTY_CONFIGURATION._replace(revision=10, change_id="c10")
    results: list[Result[tuple[AuditEntry, ...], Failure]] = []
    log.read_newest(current, 50, results.append)
    assert [item.revision for item in results[0].ok] == [10, 9, 8, 7]
    assert store.entries[9].value == encode_audit_entry(make_entry(9))
