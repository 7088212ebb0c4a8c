"""Follows one kind of objects in the platform's store.

Lists the objects, then sends calls that wait for changes. The store may never
answer a call, and nothing shows that but the time: a call whose reply is overdue
is followed by a list beside it.
"""

from collections.abc import Callable
from typing import Final

from expression import Result

from mulberrybay_core.errors import Failure
from mulberrybay_core.platform_messages import ObjectList, PlatformStore
from mulberrybay_runtime.backoff import Backoff
from mulberrybay_runtime.timers import Timers

# Added to the time that the store may hold a call.
PATIENCE_S: Final = 0.5
PAUSE_CHECK_PERIOD_S: Final = 1.0
MAX_RETRY_DELAY_S: Final = 1.0

ObjectsHandler = Callable[[ObjectList], None]


class ObjectFollower:
    """Passes the objects of one kind on as they are read and change."""

    def __init__(
        self,
        store: PlatformStore,
        timers: Timers,
        kind: str,
        wait_s: float,
        on_objects: ObjectsHandler,
        is_paused: Callable[[], bool] = lambda: False,
    ) -> None:
        """Creates a follower that sends nothing yet.

        Args:
            store: The platform's store.
            timers: Calls back later.
            kind: The kind of objects.
            wait_s: How long the store may hold a call that waits for changes.
            on_objects: Called with lists and changes, in any order: an overdue
                reply may come after a later one.
            is_paused: Whether other nodes follow the store for this one.
        """
        self._store = store
        self._timers = timers
        self._kind = kind
        self._wait_s = wait_s
        self._on_objects = on_objects
        self._is_paused = is_paused
        self._backoff = Backoff(max_delay_s=MAX_RETRY_DELAY_S)
        self._store_version = 0
        self._call_number = 0

    def start(self) -> None:
        """Lists the objects; calls that wait for changes follow."""
        number = self._next_call_number()
        self._store.list_kind(
            self._kind, lambda result: self._on_result(number, result)
        )

    def _next_call_number(self) -> int:
        self._call_number += 1
        return self._call_number

    def _watch(self) -> None:
        number = self._next_call_number()
        if self._is_paused():
            self._call_later(number, PAUSE_CHECK_PERIOD_S, self._watch)
            return
        self._store.watch(
            self._kind,
            self._store_version,
            self._wait_s,
            lambda result: self._on_result(number, result),
        )
        self._call_later(number, self._wait_s + PATIENCE_S, self.start)

    def _call_later(
        self, number: int, delay_s: float, callback: Callable[[], None]
    ) -> None:
        """Calls back after a delay unless another call is sent before."""

        def call_if_current() -> None:
            if number == self._call_number:
                callback()

        self._timers.call_later(delay_s, call_if_current)

    def _on_result(
        self, number: int, result: Result[ObjectList, Failure]
    ) -> None:
        is_current = number == self._call_number
        match result:
            case Result(tag="ok", ok=objects):
                if is_current:
                    self._backoff.reset()
                    self._store_version = objects.store_version
                    # First, so that a fault below doesn't end the following.
                    self._watch()
                self._on_objects(objects)
            case _:
                if is_current:
                    delay_s = self._backoff.next_delay_s()
                    self._call_later(number, delay_s, self.start)
