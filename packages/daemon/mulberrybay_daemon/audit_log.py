"""Keeps audit entries in the platform's store, one object per revision."""

from collections.abc import Callable

from expression import Error, Ok, Result

from mulberrybay_core.audit import (
    AUDIT_KEEP_COUNT,
    AUDIT_KIND,
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

KeepReply = Callable[[Result[None, Failure]], None]


class AuditLog:
    """Writes and reads audit entries."""

    def __init__(
        self, store: PlatformStore, keep_count: int = AUDIT_KEEP_COUNT
    ) -> None:
        """Starts without knowing what is kept.

        Args:
            store: The platform's store.
            keep_count: How many entries to keep besides the newest.
        """
        self._store = store
        self._expiry = AuditExpiry(store, keep_count)
        self._kept_revision = 0

    def keep(self, entry: AuditEntry, reply: KeepReply) -> None:
        """Keeps an entry, unless another node has done so."""
        if entry.revision <= self._kept_revision:
            reply(Ok(None))
            return

        def on_written(result: Result[WriteResult, Failure]) -> None:
            match result:
                case Result(tag="ok"):
                    # A conflict means that the entry is there already.
                    self._kept_revision = entry.revision
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
            current: The configuration in force, which has the newest entry.
            entry_count: How many to read at most.
            reply: Called once.
        """
        if current.revision == 0:
            reply(Ok(()))
            return
        entries = [make_audit_entry(current)]
        first_revision = max(1, current.revision - entry_count + 1)
        names = range(current.revision - 1, first_revision - 1, -1)
        if not names:
            reply(Ok(tuple(entries)))
            return
        reading = _AuditReading(entries, len(names), reply)
        for revision in names:
            self._store.read(AUDIT_KIND, str(revision), reading.on_read)


class _AuditReading:
    """Entries that are read at once, until the last answer."""

    def __init__(
        self, entries: list[AuditEntry], waiting_count: int, reply: AuditReply
    ) -> None:
        self._entries = entries
        self._waiting_count = waiting_count
        self._reply = reply
        self._failures: list[Failure] = []

    def on_read(self, result: Result[StoredObject | None, Failure]) -> None:
        """Takes one entry; replies after the last."""
        self._waiting_count -= 1
        match result:
            case Result(tag="ok", ok=StoredObject() as stored):
                # What no node wrote is left out, as what is not there.
                found = decode_audit_entry(stored.value)
                self._entries += found.to_option().to_list()
            case Result(tag="error", error=failure):
                self._failures.append(failure)
            case _:
                pass
        if self._waiting_count:
            return
        if self._failures:
            self._reply(Error(self._failures[0]))
        else:
            self._entries.sort(reverse=True)
            self._reply(Ok(tuple(self._entries)))
