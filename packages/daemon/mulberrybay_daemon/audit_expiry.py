"""Deletes audit entries that are older than the retained ones.

Each sweep reads from the newest outdated entry down to the first missing one,
then deletes from the oldest entry up. If a sweep fails, the entries that it
did not delete have no gap between them, so the next sweep finds them all.
"""

from expression import Result

from mulberrybay_core.audit import AUDIT_KIND
from mulberrybay_core.errors import Failure
from mulberrybay_core.platform_messages import (
    PlatformStore,
    StoredObject,
    WriteResult,
)


class AuditExpiry:
    """Deletes old audit entries, with one call to the store at a time."""

    def __init__(self, store: PlatformStore, retained_count: int) -> None:
        self._store = store
        self._retained_count = retained_count
        self._outdated_entries: list[StoredObject] = []
        self._is_sweeping = False

    def sweep(self, newest_revision: int) -> None:
        """Deletes the entries that are older than the retained ones.

        Does nothing while an earlier sweep is in progress.

        Args:
            newest_revision: The revision of the newest stored entry.
        """
        if not self._is_sweeping:
            self._outdated_entries = []
            self._read_downwards(newest_revision - self._retained_count)

    def _read_downwards(self, revision: int) -> None:
        self._is_sweeping = revision > 0
        if not self._is_sweeping:
            self._delete_oldest()
            return

        def on_read(result: Result[StoredObject | None, Failure]) -> None:
            match result:
                case Result(tag="ok", ok=StoredObject() as stored):
                    self._outdated_entries.append(stored)
                    self._read_downwards(revision - 1)
                case Result(tag="ok"):
                    self._delete_oldest()
                case _:
                    self._is_sweeping = False

        self._store.read(AUDIT_KIND, str(revision), on_read)

    def _delete_oldest(self) -> None:
        self._is_sweeping = bool(self._outdated_entries)
        if not self._outdated_entries:
            return
        stored = self._outdated_entries.pop()
        self._store.delete(
            stored.kind, stored.name, stored.version, self._on_deleted
        )

    def _on_deleted(self, result: Result[WriteResult, Failure]) -> None:
        match result:
            case Result(tag="ok"):
                # A conflict means that another node has deleted the entry.
                self._delete_oldest()
            case _:
                self._is_sweeping = False
