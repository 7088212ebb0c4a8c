"""Deletes audit entries that are too old to be kept.

Each sweep walks from the newest entry that is too old down to the first that
is missing, then deletes upwards. So a sweep that fails leaves no gap below
what it missed, and the next one finds all of it.
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
    """Owns the deletion of audit entries; one call at a time."""

    def __init__(self, store: PlatformStore, keep_count: int) -> None:
        self._store = store
        self._keep_count = keep_count
        self._found: list[StoredObject] = []
        self._is_busy = False

    def sweep(self, newest_revision: int) -> None:
        """Deletes what is older than the entries to keep.

        Args:
            newest_revision: The newest kept entry.
        """
        if not self._is_busy:
            self._found = []
            self._find(newest_revision - self._keep_count)

    def _find(self, revision: int) -> None:
        self._is_busy = revision > 0
        if not self._is_busy:
            self._delete_oldest()
            return

        def on_read(result: Result[StoredObject | None, Failure]) -> None:
            match result:
                case Result(tag="ok", ok=StoredObject() as stored):
                    self._found.append(stored)
                    self._find(revision - 1)
                case Result(tag="ok"):
                    self._delete_oldest()
                case _:
                    self._is_busy = False

        self._store.read(AUDIT_KIND, str(revision), on_read)

    def _delete_oldest(self) -> None:
        self._is_busy = bool(self._found)
        if not self._found:
            return
        stored = self._found.pop()
        self._store.delete(
            stored.kind, stored.name, stored.version, self._on_deleted
        )

    def _on_deleted(self, result: Result[WriteResult, Failure]) -> None:
        match result:
            case Result(tag="ok"):
                # After a conflict another node has deleted it.
                self._delete_oldest()
            case _:
                self._is_busy = False
