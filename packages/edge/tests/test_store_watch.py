"""When a node asks the store for changes, and when it leaves that to others."""

from collections.abc import Callable

from run_fakes import FakeTimers

from mulberrybay_core.errors import Failure, FailureKind, RunState, Step
from mulberrybay_core.store_messages import ListHandler, ObjectList
from mulberrybay_edge.store_watch import BATCH_PAUSE_S, StoreWatch

FAILURE = Failure(
    FailureKind.PLATFORM, Step.RECORD, "store", "lost", 1.0, RunState.UNKNOWN
)


class _Store:
    """Keeps the calls for the test."""

    def __init__(self) -> None:
        self.lists: list[ListHandler] = []
        self.watches: list[ListHandler] = []
        self.given_up: list[int] = []

    def list_kind(self, kind: str, reply: ListHandler) -> None:
        self.lists.append(reply)

    def watch(
        self,
        kind: str,
        after_version: int,
        timeout_s: float,
        reply: ListHandler,
    ) -> Callable[[], None]:
        number = len(self.watches)
        self.watches.append(reply)
        return lambda: self.given_up.append(number)


class _Timers(FakeTimers):
    def call_later(self, delay_s: float, callback: Callable[[], None]) -> None:
        self.call_at(self.now_s + delay_s, callback)


class _Listener:
    def on_list(self, objects: ObjectList) -> None:
        pass

    def on_changes(self, changes: ObjectList) -> None:
        pass


class _Watching:
    """A watch that has read its list."""

    def __init__(self) -> None:
        self.store = _Store()
        self.timers = _Timers()
        self.watch = StoreWatch(
            self.store, self.timers, "servers", _Listener(), self.timers.clock
        )
        self.watch.start()
        self.store.lists[0](ObjectList((), 5))


def test_node_that_others_watch_for_asks_for_no_changes() -> None:
    watching = _Watching()
    watching.watch.set_paused(True)
    watching.timers.advance(10.0)
    assert watching.store.watches == []


def test_node_watches_soon_after_its_list() -> None:
    watching = _Watching()
    watching.timers.advance(BATCH_PAUSE_S)
    assert len(watching.store.watches) == 1


def test_watch_that_is_started_anew_ends_the_one_before() -> None:
    watching = _Watching()
    watching.timers.advance(BATCH_PAUSE_S)
    watching.watch.restart(9)
    assert len(watching.store.watches) == 2
    assert watching.store.given_up == [0]


def test_failed_watch_is_tried_again_and_gone_history_is_listed() -> None:
    watching = _Watching()
    watching.timers.advance(BATCH_PAUSE_S)
    watching.store.watches[0](FAILURE)
    watching.timers.advance(1.0)
    assert len(watching.store.watches) == 2
    gone = FAILURE._replace(kind=FailureKind.HISTORY_GONE)
    watching.store.watches[1](gone)
    watching.timers.advance(1.0)
    assert len(watching.store.lists) == 2
