"""Stores audit entries in the platform's store, one object per revision."""

from collections.abc import Callable

from expression import Error, Ok, Result

from mulberrybay_core.audit import (
    AUDIT_KIND,
    MAX_AUDIT_ENTRY_COUNT,
    AuditEntry,
    decode_audit_entry,
    encode_audit_entry,
    make_audit_entry,
)
from mulberrybay_core.configuration import Configuration
from mulberrybay_core.errors import Failure
from mulberrybay_core.operator_messages import AuditReply
from mulberrybay_core.platform_messages import (
    PlatformStore,
    StoredObject,
    WriteResult,
)
from mulberrybay_daemon.audit_expiry import AuditExpiry

ArchiveReply = Callable[[Result[None, Failure]], None]


class AuditLog:
    """Writes and reads audit entries."""

    def __init__(
        self, store: PlatformStore, retained_count: int = MAX_AUDIT_ENTRY_COUNT
    ) -> None:
        """Creates a log that has not yet read which entries are stored.

        Args:
            store: The platform's store.
            retained_count: The number of stored entries to retain, without
                the newest one, which is part of the configuration.
        """
        self._store = store
        self._expiry = AuditExpiry(store, retained_count)
        self._archived_revision = 0

    def archive(self, entry: AuditEntry, reply: ArchiveReply) -> None:
        """Stores an entry, unless this or another node has stored it."""
        if entry.revision <= self._archived_revision:
            reply(Ok(None))
            return

        def on_written(result: Result[WriteResult, Failure]) -> None:
            match result:
                case Result(tag="ok"):
                    # A conflict means that the entry is already stored.
                    self._archived_revision = entry.revision
                    self._expiry.sweep(entry.revision)
                    reply(Ok(None))
                case Result(error=failure):
                    reply(Error(failure))

        self._store.write(
            AUDIT_KIND,
            str(entry.revision),
            encode_audit_entry(entry),
            0,
            on_written,
        )

    def read_newest(
        self,
        current: Configuration,
        entry_count: int,
        reply: AuditReply,
    ) -> None:
        """Reads the newest entries, newest first.

        Args:
            current: The configuration in force, which includes the newest
                entry.
            entry_count: The maximum number of entries to read.
            reply: Called once with the entries or a failure.
        """
        if current.revision == 0:
            reply(Ok(()))
            return
        entries = [make_audit_entry(current)]
        first_revision = max(1, current.revision - entry_count + 1)
        revisions = range(current.revision - 1, first_revision - 1, -1)
        if not revisions:
            reply(Ok(tuple(entries)))
            return
        pending_reads = _PendingReads(entries, len(revisions), reply)
        for revision in revisions:
            self._store.read(AUDIT_KIND, str(revision), pending_reads.on_read)


class _PendingReads:
    """Collects the results of concurrent reads of audit entries."""

    def __init__(
        self, entries: list[AuditEntry], pending_count: int, reply: AuditReply
    ) -> None:
        self._entries = entries
        self._pending_count = pending_count
        self._reply = reply
        self._failures: list[Failure] = []

    def on_read(self, result: Result[StoredObject | None, Failure]) -> None:
        """Adds the result of one read; replies after the last one."""
        self._pending_count -= 1
        match result:
            case Result(tag="ok", ok=StoredObject() as stored):
                # An object that is not a valid audit entry is omitted, like
                # a missing one.
                decoded = decode_audit_entry(stored.value)
                self._entries += decoded.to_option().to_list()
            case Result(tag="error", error=failure):
                self._failures.append(failure)
            case _:
                pass
        if self._pending_count:
            return
        if self._failures:
            self._reply(Error(self._failures[0]))
        else:
            self._entries.sort(reverse=True)
            self._reply(Ok(tuple(self._entries)))
