"""Follows one kind of objects in the platform's store.

Lists the objects once and then sends watch calls, each of which returns the
changes after the known version or ends at its timeout. A call that is not
answered in time is followed by another one beside it. When the store has
returned from an older copy, the objects are listed anew; for a while, what this
node knows goes before that copy, and then a further list ends that.
"""

import math
import random
from collections.abc import Callable
from typing import Final, Protocol

from mulberrybay_core.errors import Failure, FailureKind
from mulberrybay_core.follow_times import DEFAULT_FOLLOW_TIMES
from mulberrybay_core.object_cache import (
    CacheUpdate,
    ObjectCache,
    RestoreRule,
)
from mulberrybay_core.restore_rules import RESTORE_PERIOD_S, take_copy
from mulberrybay_core.store_messages import ObjectList, ObjectStore
from mulberrybay_core.store_position import era_of
from mulberrybay_runtime.backoff import Backoff
from mulberrybay_runtime.clock import read_clock_s
from mulberrybay_runtime.logs import StructuredLog
from mulberrybay_runtime.timers import Timers

# The longest wait of a watch that no change has to be learned from in time.
UNBOUNDED_WAIT_S: Final = 8.0
# Other nodes depend on the nodes that watch, so these must soon notice that
# replies are missing.
SHARED_WATCH_TIMEOUT_S: Final = 2.5
# A part of each wait is random, so that nodes whose calls one change has ended
# don't all wait in step.
MIN_WAIT_RATIO: Final = 0.75
# The most watch calls of a kind that are open at a time.
MAX_OPEN_COUNT: Final = 3
# Beyond the client's own timeout of a list.
LIST_PATIENCE_S: Final = 2.5
# The largest difference between the times at which two nodes see a change.
BEHIND_GRACE_S: Final = 0.7
# Changes within this time are read in one call instead of one call each.
BATCH_DELAY_S: Final = 0.3
# Calls that the store rejects also cost money and count towards the rate limit,
# so retries are spaced out.
FIRST_RETRY_S: Final = 0.2
MAX_RETRY_S: Final = 0.8


class WatchListener(Protocol):
    """Handles the objects of one kind as they are read and change."""

    def on_list(self, objects: ObjectList) -> None:
        """Handles a complete list of the objects."""

    def on_changes(self, changes: ObjectList) -> None:
        """Handles objects that were written or removed."""


class StoreWatch:
    """Keeps a listener up to date with the objects of one kind.

    Attributes:
        kind: The kind of objects.
        cache: The objects as they were read last.
        is_failing: Whether the last call to the store failed.
        timeout_s: How long the store may hold a watch call without changes.
        serves_others: Whether nodes that don't call the store themselves learn
            changes from this one.
        restore_count: How often the store has returned from an older copy.
        previous_age_s: The time between the last two answers of the store;
            infinite before the second.
        has_bound: Whether changes must be known within a stated time.
        patience_s: How long a reply may come after its timeout before another
            call is sent.
    """

    def __init__(
        self,
        store: ObjectStore,
        timers: Timers,
        kind: str,
        listener: WatchListener,
        clock: Callable[[], float] = read_clock_s,
        restore_rule: RestoreRule = take_copy,
        *,
        has_bound: bool = True,
        source: random.Random | None = None,
    ) -> None:
        self._clock = clock
        self._random = source or random.Random()
        self.has_bound = has_bound
        self._restore_rule = restore_rule
        # When to list the objects once more and to take the list as it is.
        self._trust_store_at_s: float | None = None
        self._has_kept_objects_of_peer = False
        self.restore_count = 0
        self._store = store
        self._timers = timers
        self.kind = kind
        self._listener = listener
        self._backoff = Backoff(FIRST_RETRY_S, MAX_RETRY_S)
        self._log = StructuredLog("store")
        self._generation = 0
        self._behind_since_s: float | None = None
        self._is_paused = False
        self._last_reply_at_s: float | None = None
        self.previous_age_s = math.inf
        self.cache = ObjectCache()
        self._needs_list = True
        self.is_failing = False
        # Functions that cancel the open watch calls, by the calls' generations.
        self._open_watches: dict[int, Callable[[], None]] = {}
        self._listed_era = 0
        # When another call must have been sent, whatever became of the last one.
        self._next_call_due_s = math.inf
        self.timeout_s = DEFAULT_FOLLOW_TIMES.wait_s
        self.patience_s = DEFAULT_FOLLOW_TIMES.patience_s
        self.serves_others = False
        self._has_stale_list = False

    def start(self) -> None:
        """Lists the objects; watch calls follow after the reply."""
        self._generation += 1
        generation = self._generation
        self._listed_era = self._store.era
        self._next_call_due_s = self._clock() + LIST_PATIENCE_S

        # The first watch call, or a peer, adds what a stale list lacks.
        is_stale = self._has_stale_list = self.version is None

        def on_result(result: ObjectList | Failure) -> None:
            if not isinstance(result, Failure):
                self._on_list_result(result, is_stale=is_stale)
            elif generation == self._generation:
                self._schedule_retry(result)

        self._store.list_kind(self.kind, on_result, may_be_stale=is_stale)

    def check(self) -> None:
        """Sends another call if no reply to the last one can be counted on.

        Called periodically. Nothing else has to work for this: neither a reply,
        nor a timeout of the client, nor a peer.
        """
        if self._is_paused:
            return
        if self._is_of_earlier_era and self._listed_era < self._store.era:
            # Positions of the earlier era mean other changes in this one.
            self._needs_list = True
            self.start()
        elif self._clock() >= self._next_call_due_s:
            self._note_failing("a reply is overdue")
            self._resume()

    @property
    def _is_of_earlier_era(self) -> bool:
        """Whether the store has returned from a copy since it was read."""
        return (
            self.version is not None and era_of(self.version) < self._store.era
        )

    @property
    def version(self) -> int | None:
        """The version of the store up to which all changes are known."""
        return self.cache.version

    @property
    def changed_version(self) -> int:
        """The version of the newest known change of this kind."""
        return self.cache.changed_version

    def age_s(self, now_s: float) -> float:
        """Returns for how long the store may have had changes unknown here.

        Infinite before the first reply that can't be stale, and while the
        objects are those of an earlier era of the store.
        """
        if self._last_reply_at_s is None or self._is_of_earlier_era:
            return math.inf
        return now_s - self._last_reply_at_s

    def set_paused(self, is_paused: bool) -> None:
        """Stops calls to the store, because other nodes watch, or resumes."""
        if is_paused == self._is_paused:
            return
        self._is_paused = is_paused
        self._log.info(
            "watch paused; other nodes watch" if is_paused else "watch resumed",
            kind=self.kind,
        )
        if not is_paused:
            self._resume()

    def is_behind(self, peer_version: int, now_s: float) -> bool:
        """Whether this node has lacked a change for longer than is normal.

        Args:
            peer_version: The version of the newest change that peers have seen.
            now_s: The current time.
        """
        if peer_version <= (self.version or 0):
            self._behind_since_s = None
            return False
        if self._behind_since_s is None:
            self._behind_since_s = now_s
        wait_s = 0.0 if self._is_paused else BEHIND_GRACE_S
        return now_s - self._behind_since_s >= wait_s

    def restart(self, peer_version: int) -> None:
        """Sends another call, as the last one's reply must have been lost.

        Does nothing while the watch is paused.
        """
        self._behind_since_s = None
        if self._is_paused:
            return
        self._needs_list |= self._is_later_era(peer_version)
        self._log.warning(
            "a change was missed",
            kind=self.kind,
            version=self.version,
            peer_version=peer_version,
        )
        self._resume()

    @property
    def is_restoring(self) -> bool:
        """Whether this node may hold objects that the store doesn't."""
        return self._trust_store_at_s is not None

    @property
    def trusts_store(self) -> bool:
        """Whether the store's list goes before what this node knows."""
        return (
            self._trust_store_at_s is None
            or self._clock() >= self._trust_store_at_s
        )

    @property
    def needs_complete_update(self) -> bool:
        """Whether to end the preference for own knowledge by a peer's list.

        That is for nodes that don't call the store themselves.
        """
        return self._is_paused and self.is_restoring and self.trusts_store

    def apply_complete_update(self, update: CacheUpdate) -> None:
        """Takes all objects of a peer that has read the store's list."""
        if self.version is None or update.store_version < self.version:
            return
        if self._is_later_era(update.store_version):
            # The store has returned from a copy once more.
            self._restore(update.to_list())
            return
        self._trust_store_at_s = None
        self.cache.reset(update.to_list())
        self._listener.on_list(self.cache.all_objects())

    def needs_kept_objects(self, peer_version: int) -> bool:
        """Whether a peer that is restoring may know more than the store.

        A node that has started since the store returned has only read the
        older copy.
        """
        return (
            self.version is not None
            and era_of(peer_version) == era_of(self.version)
            and self.restore_count == 0
            and not self._has_kept_objects_of_peer
        )

    def apply_peer_update(self, update: CacheUpdate) -> None:
        """Applies a peer's update if it is newer than the cache."""
        is_first = self.version is None
        if self._is_later_era(update.store_version):
            # All objects have a later position than any of the earlier era.
            self._restore(update.to_list())
            return
        changes = self.cache.merge(update)
        if changes.items and update.has_kept_objects and not self.is_restoring:
            self._prefer_own_knowledge()
        if is_first:
            self._listener.on_list(self.cache.all_objects())
        else:
            self._pass_on(changes)

    def _pass_on(self, changes: ObjectList) -> None:
        """Passes changes on; the first ones correct a stale list."""
        corrects_stale_list = self._has_stale_list
        self._has_stale_list = False
        if changes.items or changes.removed_names:
            self._listener.on_changes(
                changes._replace(corrects_stale_list=corrects_stale_list)
            )

    def apply_kept_objects(self, update: CacheUpdate) -> None:
        """Applies objects that a peer kept when the store returned."""
        if self.version is None or era_of(update.store_version) != era_of(
            self.version
        ):
            self.apply_peer_update(update)
            return
        self._has_kept_objects_of_peer = True
        self._prefer_own_knowledge()
        changes = self.cache.merge_kept(update, self._restore_rule)
        if changes.items:
            self._listener.on_changes(changes)

    def _is_later_era(self, position: int) -> bool:
        return self.version is not None and era_of(position) > era_of(
            self.version
        )

    def _is_earlier_era(self, position: int) -> bool:
        return self.version is not None and era_of(position) < era_of(
            self.version
        )

    def _prefer_own_knowledge(self) -> None:
        """Lets what this node knows go before the store for a while."""
        self._trust_store_at_s = self._clock() + RESTORE_PERIOD_S

        def list_again() -> None:
            if self.is_restoring and self.trusts_store and not self._is_paused:
                self.start()

        self._timers.call_later(RESTORE_PERIOD_S, list_again)

    def _restore(self, objects: ObjectList) -> None:
        """Handles the first list after the store returned from a copy."""
        self.restore_count += 1
        self._prefer_own_knowledge()
        differing_count = self.cache.restore(objects, self._restore_rule)
        self._log.warning(
            "the store returned from an older copy",
            kind=self.kind,
            era=era_of(objects.store_version),
            differing=differing_count,
        )
        self._listener.on_list(self.cache.all_objects())

    def _on_list_result(self, result: ObjectList, *, is_stale: bool) -> None:
        self._record_success(is_stale=is_stale)
        if self._is_earlier_era(result.store_version):
            # The reply was sent before the store returned from a copy.
            self._call_later(self._resume)
            return
        # After the delay, the list of nodes shows whether other nodes watch.
        # If they do, this watch is paused by then.
        self._schedule_watch()
        if self.version is not None and result.store_version < self.version:
            # A later call or a peer has told more since the list was sent.
            self._needs_list = False
            return
        # A fault of the listener leaves the flag set: the list is read again.
        self._needs_list = True
        if self._is_later_era(result.store_version):
            self._restore(result)
        else:
            self._apply_list(result)
        self._needs_list = False

    def _apply_list(self, objects: ObjectList) -> None:
        if not self.trusts_store:
            self.cache.restore(objects, self._restore_rule)
        elif self.is_restoring:
            self._trust_store_at_s = None
            self.cache.reset(objects)
        else:
            self.cache.replace(objects)
        self._listener.on_list(self.cache.all_objects())

    def _resume(self) -> None:
        if (
            self._needs_list
            or self._is_of_earlier_era
            or (self.is_restoring and self.trusts_store)
        ):
            self.start()
        else:
            self._watch()

    def _watch(self) -> None:
        if self.version is None or self._is_paused:
            return
        if self._needs_list or (self.is_restoring and self.trusts_store):
            self.start()
            return
        self._generation += 1
        generation, since = self._generation, self.version
        confirms_list = self._has_stale_list and self.serves_others
        # A store that failed answers at once or not at all.
        timeout_s = 0.0 if confirms_list or self.is_failing else self._wait_s()
        self._next_call_due_s = self._clock() + timeout_s + self.patience_s

        def on_result(result: ObjectList | Failure) -> None:
            self._open_watches.pop(generation, None)
            if not isinstance(result, Failure):
                self._on_watch_result(result, since)
            elif generation == self._generation:
                self._on_watch_failure(result)

        # Earlier calls stay open: their replies may only be slow.
        while len(self._open_watches) >= MAX_OPEN_COUNT:
            self._open_watches.pop(min(self._open_watches))()
        self._open_watches[generation] = self._store.watch(
            self.kind, self.version, timeout_s, on_result
        )

    def _wait_s(self) -> float:
        return self.timeout_s * self._random.uniform(MIN_WAIT_RATIO, 1.0)

    def _on_watch_failure(self, failure: Failure) -> None:
        # A reply that is too large only grows; a list comes in pages.
        if failure.kind in (FailureKind.HISTORY_GONE, FailureKind.TOO_LARGE):
            self._needs_list = True
        self._schedule_retry(failure)

    def _on_watch_result(self, result: ObjectList, since: int) -> None:
        """Applies changes after a position, if it means the same to the store.

        A call that was open as the store returned from a copy gets the changes
        after a revision of the later era.
        """
        self._record_success(is_stale=False)
        while self._open_watches:
            self._open_watches.popitem()[1]()
        if era_of(result.store_version) != era_of(since):
            self._needs_list = True
            self.start()
            return
        self._schedule_watch()
        new_changes = self.cache.apply(result)
        if self._has_stale_list and self.serves_others:
            # Other nodes may have older lists, and removals since then are in
            # no later change.
            self.cache.changed_version = result.store_version
        needs_list, self._needs_list = self._needs_list, True
        self._pass_on(new_changes)
        self._needs_list = needs_list

    def _schedule_watch(self) -> None:
        self._call_later(self._watch)

    def _call_later(
        self, callback: Callable[[], None], delay_s: float = BATCH_DELAY_S
    ) -> None:
        """Calls back after a delay unless another call is sent before."""
        generation = self._generation
        self._next_call_due_s = self._clock() + delay_s + self.patience_s

        def call_if_current() -> None:
            if generation == self._generation:
                callback()

        self._timers.call_later(delay_s, call_if_current)

    def _schedule_retry(self, failure: Failure) -> None:
        self._note_failing(failure.detail)
        self._call_later(self._resume, self._backoff.next_delay_s())

    def _note_failing(self, cause: str) -> None:
        if not self.is_failing:
            self._log.warning(
                "the store fails",
                kind=self.kind,
                cause=cause,
                answer_age_s=round(self.age_s(self._clock()), 3),
            )
        self.is_failing = True

    def _record_success(self, *, is_stale: bool) -> None:
        now_s = self._clock()
        if not is_stale:
            self.previous_age_s = self.age_s(now_s)
            self._last_reply_at_s = now_s
        if self.is_failing:
            self._log.info("the store answers again", kind=self.kind)
            if self.is_restoring:
                # Writers could not write again what the copy lacks.
                self._prefer_own_knowledge()
        self.is_failing = False
        self._backoff.reset()
