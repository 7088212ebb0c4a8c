"""Follows one kind of objects in the platform's store: a list, then watches."""

import math
from collections.abc import Callable
from typing import Final, Protocol

from mulberrybay_core.errors import Failure, FailureKind
from mulberrybay_core.object_cache import CacheUpdate, ObjectCache
from mulberrybay_core.store_messages import ObjectList, ObjectStore
from mulberrybay_runtime.backoff import Backoff
from mulberrybay_runtime.clock import read_clock_s
from mulberrybay_runtime.logs import StateLog
from mulberrybay_runtime.timers import Timers

# A lost answer leaves its connection alive and silent, so a watch must end
# before what it missed gets too old. Other nodes show that something was
# missed; a node that has hardly any relies on the time alone.
WATCH_TIMEOUT_S: Final = 8.0
SMALL_FLEET_WATCH_TIMEOUT_S: Final = 2.5
# Others rely on a watcher, so it must notice soon that it hears nothing.
SHARED_WATCH_TIMEOUT_S: Final = 2.5
MAX_SMALL_FLEET_NODE_COUNT: Final = 2
# Nodes learn of a change at different moments, by this much at most.
BEHIND_GRACE_S: Final = 0.7
# Changes that come together cost one call instead of one each.
BATCH_DELAY_S: Final = 0.3
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
        store: ObjectStore,
        timers: Timers,
        kind: str,
        listener: WatchListener,
        clock: Callable[[], float] = read_clock_s,
    ) -> None:
        self._clock = clock
        self._store = store
        self._timers = timers
        self.kind = kind
        self._listener = listener
        self._backoff = Backoff(FIRST_RETRY_S, MAX_RETRY_S)
        self._log = StateLog("store")
        self._generation = 0
        self._behind_since_s: float | None = None
        self._is_paused = False
        self._last_reply_at_s: float | None = None
        self.cache = ObjectCache()
        self._needs_list = True
        self.is_failing = False
        self._cancel_watch: Callable[[], None] = lambda: None
        self.timeout_s = SMALL_FLEET_WATCH_TIMEOUT_S

    def start(self) -> None:
        """Reads the list; watches follow."""
        self._generation += 1
        generation = self._generation

        def on_result(result: ObjectList | Failure) -> None:
            if generation == self._generation:
                self._on_list_result(result)

        self._store.list_kind(self.kind, on_result)

    @property
    def version(self) -> int | None:
        """What is known is complete up to this version of the store."""
        return self.cache.version

    @property
    def changed_version(self) -> int:
        """The version of the last change of this kind that was seen."""
        return self.cache.changed_version

    def age_s(self, now_s: float) -> float:
        """Returns how long ago the store answered."""
        if self._last_reply_at_s is None:
            return math.inf
        return now_s - self._last_reply_at_s

    def set_paused(self, is_paused: bool) -> None:
        """Leaves it to other nodes to follow the store, or takes it up."""
        if is_paused == self._is_paused:
            return
        self._is_paused = is_paused
        self._log.info(
            "left to other nodes" if is_paused else "followed by this node",
            kind=self.kind,
        )
        if not is_paused:
            self._resume()

    def is_behind(self, peer_version: int, now_s: float) -> bool:
        """Whether this node has lacked a change for longer than usual.

        Args:
            peer_version: The newest change that other nodes have seen.
            now_s: The time.
        """
        if peer_version <= (self.version or 0):
            self._behind_since_s = None
            return False
        if self._behind_since_s is None:
            self._behind_since_s = now_s
        wait_s = 0.0 if self._is_paused else BEHIND_GRACE_S
        return now_s - self._behind_since_s >= wait_s

    def restart(self, peer_version: int) -> None:
        """Starts anew what waits for an answer that was lost."""
        self._behind_since_s = None
        if self._is_paused:
            return
        self._log.warning(
            "a change was missed",
            kind=self.kind,
            version=self.version,
            peer_version=peer_version,
        )
        self._resume()

    def apply_peer_update(self, update: CacheUpdate) -> None:
        """Takes what another node knows, if it is more."""
        is_first = self.version is None
        changes = self.cache.merge(update)
        if is_first:
            self._listener.on_list(self.cache.all_objects())
        elif changes.items or changes.removed_names:
            self._listener.on_changes(changes)

    def _on_list_result(self, result: ObjectList | Failure) -> None:
        if isinstance(result, Failure):
            self._schedule_retry(result)
            return
        self._record_success()
        self._needs_list = False
        self.cache.replace(result)
        self._listener.on_list(self.cache.all_objects())
        # By then it is known from the list of nodes whether others watch.
        self._schedule_watch()

    def _resume(self) -> None:
        if self._needs_list:
            self.start()
        else:
            self._watch()

    def _watch(self) -> None:
        if self.version is None or self._is_paused:
            return
        self._generation += 1
        generation = self._generation

        def on_result(result: ObjectList | Failure) -> None:
            if generation == self._generation:
                self._on_watch_result(result)

        # One that waits for an answer that was lost would share the link with
        # the next.
        self._cancel_watch()
        self._cancel_watch = self._store.watch(
            self.kind, self.version, self.timeout_s, on_result
        )

    def _watch_if_current(self, generation: int) -> None:
        if generation == self._generation:
            self._watch()

    def _on_watch_result(self, result: ObjectList | Failure) -> None:
        if isinstance(result, Failure):
            if result.kind is FailureKind.HISTORY_GONE:
                self._needs_list = True
            self._schedule_retry(result)
            return
        self._record_success()
        new_changes = self.cache.apply(result)
        if new_changes.items or new_changes.removed_names:
            self._listener.on_changes(new_changes)
        self._schedule_watch()

    def _schedule_watch(self) -> None:
        generation = self._generation
        self._timers.call_later(
            BATCH_DELAY_S, lambda: self._watch_if_current(generation)
        )

    def _schedule_retry(self, failure: Failure) -> None:
        if not self.is_failing:
            self._log.warning(
                "the store fails", kind=self.kind, cause=failure.detail
            )
        self.is_failing = True
        generation = self._generation

        def retry() -> None:
            if generation == self._generation:
                self._resume()

        self._timers.call_later(self._backoff.next_delay_s(), retry)

    def _record_success(self) -> None:
        self._last_reply_at_s = self._clock()
        if self.is_failing:
            self._log.info("the store answers again", kind=self.kind)
        self.is_failing = False
        self._backoff.reset()
