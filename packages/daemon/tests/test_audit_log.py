"""The bound of the audit, with few entries and a store that fails."""

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

KEEP_COUNT = 3
LOST = Failure(FailureKind.PLATFORM, Step.RECORD, "platform", "", 1.0)


class Store:
    """Audit entries, with operations that may fail for a while."""

    def __init__(self) -> None:
        self.entries: dict[int, StoredObject] = {}
        self.failing: set[str] = set()
        self.call_count = 0

    def read(self, kind: str, name: str, reply: Callable[..., None]) -> None:
        self.call_count += 1
        if "read" in self.failing:
            reply(Error(LOST))
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
            reply(Error(LOST))
            return
        del self.entries[int(name)]
        reply(Ok(WriteResult(WriteOutcome.WRITTEN, 2)))


def entry(revision: int) -> AuditEntry:
    return AuditEntry(revision, revision - 1, f"c{revision}", "amina", 0.0, "")


def keep(log: AuditLog, *revisions: int) -> None:
    for revision in revisions:
        results: list[Result[None, Failure]] = []
        log.keep(entry(revision), results.append)
        assert [result.is_ok() for result in results] == [True]


def make_log() -> tuple[AuditLog, Store]:
    store = Store()
    return AuditLog(store, KEEP_COUNT), store  # type: ignore[arg-type]


def test_as_many_entries_as_the_bound_are_kept() -> None:
    log, store = make_log()
    for revision in range(1, 20):
        keep(log, revision)
        first = max(1, revision - KEEP_COUNT + 1)
        assert sorted(store.entries) == list(range(first, revision + 1))


def test_a_change_costs_two_reads_and_one_delete() -> None:
    log, store = make_log()
    keep(log, *range(1, 10))
    before = store.call_count
    keep(log, 10)
    assert store.call_count - before == 3


@pytest.mark.parametrize("operation", ["read", "delete"])
@pytest.mark.parametrize("is_other_node", [False, True])
def test_entries_missed_in_a_failure_go_with_the_next_change(
    operation: str, *, is_other_node: bool
) -> None:
    log, store = make_log()
    keep(log, *range(1, 6))
    store.failing = {operation}
    keep(log, 6, 7, 8)
    assert sorted(store.entries) == [3, 4, 5, 6, 7, 8]
    store.failing = set()
    if is_other_node:
        log = AuditLog(store, KEEP_COUNT)  # type: ignore[arg-type]
    keep(log, 9)
    assert sorted(store.entries) == [7, 8, 9]


def test_reader_gets_what_is_kept_and_the_newest() -> None:
    log, store = make_log()
    keep(log, *range(1, 10))
    current = EMPTY_CONFIGURATION._replace(revision=10, change_id="c10")
    results: list[Result[tuple[AuditEntry, ...], Failure]] = []
    log.read_newest(current, 50, results.append)
    assert [item.revision for item in results[0].ok] == [10, 9, 8, 7]
    assert store.entries[9].value == encode_audit_entry(entry(9))
