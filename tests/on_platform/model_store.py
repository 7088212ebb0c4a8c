"""A model of the platform's store, without a network and on a test's clock."""

import random
from collections.abc import Callable
from typing import Final, NamedTuple

from mulberrybay_core.errors import Failure, FailureKind, Step
from mulberrybay_core.store_messages import (
    JsonObject,
    ListHandler,
    ObjectList,
    StoredObject,
)
from mulberrybay_core.store_position import (
    make_position,
    place_list,
    version_of,
)

POLL_S: Final = 0.05
CALL_TIMEOUT_S: Final = 1.5
# The client's timeout of a watch beyond its wait.
WATCH_MARGIN_S: Final = 2.0
REPLY_DELAY_S: Final = 0.004
# The longest time by which a late reply comes after its call was answered.
MAX_LATE_S: Final = 1.2


def _failure(kind: FailureKind = FailureKind.PLATFORM) -> Failure:
    return Failure(kind, Step.CONFIGURATION, "store", "failed")


class _Change(NamedTuple):
    stored: StoredObject
    is_removed: bool


class ModelCopy(NamedTuple):
    """The model's content at a moment."""

    revision: int
    objects: dict[tuple[str, str], StoredObject]
    changes: tuple[_Change, ...]


class ModelStore:
    """Objects, their history, and the era.

    Attributes:
        is_away: Whether all calls fail.
        is_silent: Whether no call is answered.
        silence_count: Changes as silence begins and ends; calls that wait then are
            never answered.
        late_ratio: The ratio of replies that come late.
        lost_ratio: The ratio of replies that never come.
        stale_copy: What stale lists show; None for the present content.
    """

    def __init__(self) -> None:
        self.era = 0
        self.is_away = False
        self.is_silent = False
        self.silence_count = 0
        self.stale_copy: ModelCopy | None = None
        self.late_ratio = self.lost_ratio = 0.0
        self._revision = 1
        self._first_revision = 1
        self._objects: dict[tuple[str, str], StoredObject] = {}
        self._changes: list[_Change] = []

    @property
    def position(self) -> int:
        """The position of the last write."""
        return make_position(self.era, self._revision)

    def names(self, kind: str) -> list[str]:
        """Returns the names of the objects of a kind."""
        return [name for key_kind, name in self._objects if key_kind == kind]

    def value(self, kind: str, name: str) -> JsonObject | None:
        """Returns an object's value; None if there is no such object."""
        stored = self._objects.get((kind, name))
        return stored.value if stored else None

    def put(self, kind: str, name: str, value: JsonObject) -> None:
        """Writes an object."""
        self._revision += 1
        stored = StoredObject(kind, name, self._revision, value)
        self._objects[kind, name] = stored
        self._changes.append(_Change(stored, is_removed=False))

    def remove(self, kind: str, name: str) -> None:
        """Removes an object."""
        self._revision += 1
        stored = self._objects.pop((kind, name))
        stored = stored._replace(version=self._revision)
        self._changes.append(_Change(stored, is_removed=True))

    def fall_silent(self) -> None:
        """Leaves new and waiting calls unanswered."""
        self.is_silent = True
        self.silence_count += 1

    def answer_again(self) -> None:
        """Answers the calls that come from now on."""
        self.is_silent = False
        self.silence_count += 1

    def forget_history(self) -> None:
        """Discards the history."""
        self._changes.clear()
        self._first_revision = self._revision

    def take_copy(self) -> ModelCopy:
        """Returns the present content."""
        return ModelCopy(
            self._revision, {**self._objects}, tuple(self._changes)
        )

    def return_from(self, copy: ModelCopy) -> None:
        """Loses what was written since a copy."""
        self.era += 1
        self.stale_copy = None
        self._revision = copy.revision
        self._first_revision = min(self._first_revision, copy.revision)
        self._objects = {**copy.objects}
        self._changes = [*copy.changes]

    def list_kind(self, kind: str) -> ObjectList:
        """Returns the reply to a list."""
        items = tuple(s for s in self._objects.values() if s.kind == kind)
        changed = max((stored.version for stored in items), default=0)
        objects = ObjectList(items, self._revision, changed_version=changed)
        return place_list(objects, self.era)

    def list_stale(self, kind: str) -> ObjectList:
        """Returns the reply to a list that may lack the last changes."""
        if self.stale_copy is None:
            return self.list_kind(kind)
        store = ModelStore()
        store.return_from(self.stale_copy)
        store.era = self.era
        return store.list_kind(kind)

    def changes_since(
        self, kind: str, after_version: int
    ) -> ObjectList | Failure:
        """Returns the reply to a watch, which may have no changes."""
        if not self._first_revision <= after_version <= self._revision:
            return _failure(FailureKind.HISTORY_GONE)
        latest = {
            change.stored.name: change
            for change in self._changes
            if change.stored.kind == kind
            and change.stored.version > after_version
        }
        changes = [*latest.values()]
        objects = ObjectList(
            tuple(c.stored for c in changes if not c.is_removed),
            self._revision,
            tuple(c.stored.name for c in changes if c.is_removed),
            changed_version=max((c.stored.version for c in changes), default=0),
        )
        return place_list(objects, self.era)


class ModelClient:
    """One node's client of the store; implements a part of `ObjectStore`.

    Attributes:
        is_refused: Whether the store refuses this node's calls.
        era: The highest era that a reply has named.
    """

    def __init__(
        self,
        store: ModelStore,
        call_later: Callable[[float, Callable[[], None]], None],
        source: random.Random,
    ) -> None:
        self._store = store
        self._later = call_later
        self._random = source
        self.is_refused = False
        self.era = 0

    def _is_failing(self) -> bool:
        return self._store.is_away or self.is_refused

    def _reply(
        self,
        reply: ListHandler,
        result: ObjectList | Failure,
        lost_after_s: float = CALL_TIMEOUT_S,
    ) -> None:
        store = self._store
        if store.is_silent or self._random.random() < store.lost_ratio:
            self._later(lost_after_s, lambda: reply(_failure()))
            return
        era = store.era

        def answer() -> None:
            self.era = max(self.era, era)
            reply(result)

        delay_s = REPLY_DELAY_S
        if self._random.random() < store.late_ratio:
            delay_s = self._random.uniform(0, MAX_LATE_S)
        self._later(delay_s, answer)

    def list_kind(
        self, kind: str, reply: ListHandler, *, may_be_stale: bool
    ) -> None:
        """Lists a kind."""
        if self._is_failing():
            self._reply(reply, _failure())
        elif may_be_stale:
            self._reply(reply, self._store.list_stale(kind))
        else:
            self._reply(reply, self._store.list_kind(kind))

    def watch(
        self,
        kind: str,
        after_version: int,
        timeout_s: float,
        reply: ListHandler,
    ) -> Callable[[], None]:
        """Waits for changes; returns a function that cancels the call."""
        cancelled: list[bool] = []
        left = [int(timeout_s / POLL_S)]
        version = version_of(after_version)
        silence_count = self._store.silence_count

        def poll() -> None:
            if cancelled:
                return
            if self._store.is_silent or (
                silence_count != self._store.silence_count
            ):
                lost_after_s = POLL_S * max(0, left[0]) + WATCH_MARGIN_S
                self._later(lost_after_s, lambda: answer(_failure()))
                return
            left[0] -= 1
            if self._is_failing():
                self._reply(answer, _failure())
                return
            result = self._store.changes_since(kind, version)
            has_changes = isinstance(result, Failure) or bool(
                result.items or result.removed_names
            )
            if has_changes or left[0] <= 0:
                self._reply(answer, result)
            else:
                self._later(POLL_S, poll)

        def answer(result: ObjectList | Failure) -> None:
            if not cancelled:
                reply(result)

        poll()
        return lambda: cancelled.append(True)
