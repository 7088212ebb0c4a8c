"""Follows one kind of objects in the platform's store: a list, then watches."""

from typing import Final, Protocol

from expression import Result

from mulberrybay_core.errors import Failure, FailureKind
from mulberrybay_core.platform_messages import ObjectList, PlatformStore
from mulberrybay_runtime.backoff import Backoff
from mulberrybay_runtime.logs import StateLog
from mulberrybay_runtime.timers import Timers

WATCH_TIMEOUT_S: Final = 25.0
# Changes that come together cost one call instead of one each.
BATCH_PAUSE_S: Final = 0.3
# Refused calls are priced and use up the rate, so they are spaced out.
FIRST_RETRY_S: Final = 0.2
MAX_RETRY_S: Final = 0.8


class WatchListener(Protocol):
    """What follows a kind of objects."""

    def on_list(self, objects: ObjectList) -> None:
        """Takes all objects of the kind."""

    def on_changes(self, changes: ObjectList) -> None:
        """Takes objects that were written or removed."""


class StoreWatch:
    """Keeps a listener up to date with one kind."""

    def __init__(
        self,
        store: PlatformStore,
        timers: Timers,
        kind: str,
        listener: WatchListener,
    ) -> None:
        self._store = store
        self._timers = timers
        self._kind = kind
        self._listener = listener
        self._backoff = Backoff(FIRST_RETRY_S, MAX_RETRY_S)
        self._log = StateLog("store")
        self.version: int | None = None
        self.is_failing = False

    def start(self) -> None:
        """Reads the list; watches follow."""
        self._store.list_kind(self._kind, self._on_listed)

    def _on_listed(self, result: Result[ObjectList, Failure]) -> None:
        match result:
            case Result(tag="ok", ok=objects):
                self._note_success()
                self._listener.on_list(objects)
                self.version = objects.store_version
                self._watch()
            case Result(error=failure):
                self._retry(failure)

    def _watch(self) -> None:
        if self.version is not None:
            self._store.watch(
                self._kind, self.version, WATCH_TIMEOUT_S, self._on_changes
            )

    def _on_changes(self, result: Result[ObjectList, Failure]) -> None:
        match result:
            case Result(tag="ok", ok=changes):
                self._note_success()
                self._listener.on_changes(changes)
                if changes.store_version > (self.version or 0):
                    self.version = changes.store_version
                self._timers.call_later(BATCH_PAUSE_S, self._watch)
            case Result(error=failure):
                if failure.kind is FailureKind.HISTORY_GONE:
                    self.version = None
                self._retry(failure)

    def _retry(self, failure: Failure) -> None:
        if not self.is_failing:
            self._log.warning(
                "the store fails", kind=self._kind, cause=failure.detail
            )
        self.is_failing = True
        next_step = self.start if self.version is None else self._watch
        self._timers.call_later(self._backoff.next_delay_s(), next_step)

    def _note_success(self) -> None:
        if self.is_failing:
            self._log.info("the store answers again", kind=self._kind)
        self.is_failing = False
        self._backoff.reset()
