"""When a node sends watch calls to the store, and when it sends none."""

import math
from collections.abc import Callable

import pytest
from request_fakes import FakeTimers

from mulberrybay_core.errors import Failure, FailureKind, RunState, Step
from mulberrybay_core.follow_times import DEFAULT_FOLLOW_TIMES
from mulberrybay_core.object_cache import CacheUpdate
from mulberrybay_core.restore_rules import RESTORE_PERIOD_S
from mulberrybay_core.store_messages import (
    ListHandler,
    ObjectList,
    StoredObject,
)
from mulberrybay_core.store_position import make_position
from mulberrybay_edge.store_watch import (
    BATCH_DELAY_S,
    LIST_PATIENCE_S,
    MAX_OPEN_COUNT,
    MAX_RETRY_S,
    StoreWatch,
)

# The users' bound of the smaller deployments.
CONTACT_S = 4.0
CHECK_PERIOD_S = 0.2

FAILURE = Failure(
    FailureKind.PLATFORM, Step.RECORD, "store", "lost", 1.0, RunState.UNKNOWN
)


class _Store:
    """Records calls, which the test ends, and cancelled watch calls."""

    def __init__(self) -> None:
        self.lists: list[ListHandler] = []
        self.stale_lists: list[bool] = []
        self.watches: list[ListHandler] = []
        self.cancelled: list[int] = []
        self.waits_s: list[float] = []
        self.era = 0

    def list_kind(
        self, kind: str, reply: ListHandler, *, may_be_stale: bool
    ) -> None:
        self.lists.append(reply)
        self.stale_lists.append(may_be_stale)

    def watch(
        self,
        kind: str,
        after_version: int,
        timeout_s: float,
        reply: ListHandler,
    ) -> Callable[[], None]:
        number = len(self.watches)
        self.waits_s.append(timeout_s)
        self.watches.append(reply)
        return lambda: self.cancelled.append(number)


class _Timers(FakeTimers):
    def drop_all(self) -> None:
        self._heap.clear()

    def call_later(self, delay_s: float, callback: Callable[[], None]) -> None:
        self.call_at(self.now_s + delay_s, callback)


class _Listener:
    def __init__(self) -> None:
        self.is_failing = False
        self.names: set[str] = set()

    def on_list(self, objects: ObjectList) -> None:
        self.on_changes(objects)

    def on_changes(self, changes: ObjectList) -> None:
        if self.is_failing:
            raise OverflowError
        self.names |= {stored.name for stored in changes.items}


class _StartedWatch:
    """A watch that has received the list of objects."""

    def __init__(self) -> None:
        self.store = _Store()
        self.timers = _Timers()
        self.listener = _Listener()
        self.watch = StoreWatch(
            self.store,
            self.timers,
            "servers",
            self.listener,
            self.timers.clock,
        )
        self.watch.start()
        self.store.lists[0](ObjectList((), 5))


def test_paused_watch_sends_no_watch_calls() -> None:
    """Guards against calls of a node for which other nodes watch."""
    started = _StartedWatch()
    started.watch.set_paused(True)
    started.timers.advance(10.0)
    assert started.store.watches == []


def test_watch_starts_after_list() -> None:
    """Guards against missed changes because no watch call follows the list."""
    started = _StartedWatch()
    started.timers.advance(BATCH_DELAY_S)
    assert len(started.store.watches) == 1


def test_calls_whose_replies_are_lost_end_with_the_next_reply() -> None:
    """Guards against watch calls with lost replies that stay open."""
    started = _StartedWatch()
    started.timers.advance(BATCH_DELAY_S)
    started.watch.restart(9)
    started.watch.restart(9)
    assert started.store.cancelled == []
    started.store.watches[1](ObjectList((), 9))
    assert sorted(started.store.cancelled) == [0, 2]


def test_number_of_open_watch_calls_is_bounded() -> None:
    started = _StartedWatch()
    started.timers.advance(BATCH_DELAY_S)
    for _ in range(10):
        started.watch.restart(9)
    open_count = len(started.store.watches) - len(started.store.cancelled)
    assert open_count == MAX_OPEN_COUNT
    assert 10 not in started.store.cancelled


def advance_with_checks(started: _StartedWatch, span_s: float) -> None:
    ends_at_s = started.timers.now_s + span_s
    while started.timers.now_s < ends_at_s:
        started.watch.check()
        started.timers.advance(CHECK_PERIOD_S)


@pytest.mark.parametrize("silent_s", [0.0, 4.5, 11.0])
def test_store_is_asked_again_in_time_after_it_left_calls_unanswered(
    silent_s: float,
) -> None:
    started = _StartedWatch()
    started.watch.timeout_s = DEFAULT_FOLLOW_TIMES.wait_s
    started.timers.advance(BATCH_DELAY_S)
    advance_with_checks(started, silent_s)
    unanswered_count = len(started.store.watches)

    advance_with_checks(started, CONTACT_S - 2 * CHECK_PERIOD_S)

    assert len(started.store.watches) > unanswered_count


def test_slow_reply_is_applied_beside_a_later_call() -> None:
    started = _StartedWatch()
    started.timers.advance(BATCH_DELAY_S)
    advance_with_checks(started, CONTACT_S)
    assert len(started.store.watches) > 1

    started.store.watches[0](ObjectList((), 8))

    assert started.watch.version == 8


def test_watch_that_lost_its_timer_goes_on() -> None:
    started = _StartedWatch()
    started.timers.drop_all()

    advance_with_checks(started, CONTACT_S)

    assert started.store.watches


def test_nodes_whose_calls_one_change_ended_do_not_wait_in_step() -> None:
    waits_s = set()
    for _ in range(4):
        started = _StartedWatch()
        started.timers.advance(BATCH_DELAY_S)
        waits_s.add(started.store.waits_s[0])
    assert len(waits_s) == 4


def test_failed_watch_is_retried_and_lost_history_is_listed() -> None:
    """Guards against a watch that stops, or misses changes, after a failure.

    If the store no longer has the history after the known version, only a new
    list returns all changes.
    """
    started = _StartedWatch()
    started.timers.advance(BATCH_DELAY_S)
    started.store.watches[0](FAILURE)
    started.timers.advance(1.0)
    assert len(started.store.watches) == 2
    gone = FAILURE._replace(kind=FailureKind.HISTORY_GONE)
    started.store.watches[1](gone)
    started.timers.advance(1.0)
    assert len(started.store.lists) == 2


def test_objects_are_listed_after_a_reply_to_a_watch_was_too_large() -> None:
    """The same watch was sent again, whose reply only grew."""
    started = _StartedWatch()
    started.timers.advance(BATCH_DELAY_S)
    too_large = FAILURE._replace(kind=FailureKind.TOO_LARGE)
    started.store.watches[0](too_large)
    started.timers.advance(1.0)
    assert len(started.store.lists) == 2
    assert len(started.store.watches) == 1


def test_only_the_first_list_may_be_stale() -> None:
    """Guards against the price of lists at a start, and against old lists later.

    What the first one lacks is in the watch call that follows.
    """
    started = _StartedWatch()
    started.timers.advance(BATCH_DELAY_S)
    gone = FAILURE._replace(kind=FailureKind.HISTORY_GONE)
    started.store.watches[0](gone)
    started.timers.advance(1.0)

    assert started.store.stale_lists == [True, False]


def test_first_list_that_failed_may_be_stale_again() -> None:
    store, timers = _Store(), _Timers()
    watch = StoreWatch(store, timers, "servers", _Listener(), timers.clock)
    watch.start()
    store.lists[0](FAILURE)
    timers.advance(1.0)

    assert store.stale_lists == [True, True]


def test_objects_are_listed_as_soon_as_any_reply_names_a_new_era() -> None:
    started = _StartedWatch()
    started.timers.advance(BATCH_DELAY_S)
    started.store.era = 1

    started.watch.check()

    assert len(started.store.lists) == 2
    assert started.watch.age_s(started.timers.now_s) == math.inf
    started.watch.check()
    assert len(started.store.lists) == 2


def test_no_watch_is_sent_into_an_earlier_era() -> None:
    """Its revision may have been given out again, and nothing would end it."""
    started = _StartedWatch()
    started.timers.advance(BATCH_DELAY_S)
    started.store.era = 1
    started.store.watches[0](FAILURE)

    started.timers.advance(MAX_RETRY_S)

    assert (len(started.store.watches), len(started.store.lists)) == (1, 2)


def test_peer_that_knows_a_later_era_makes_a_node_list_its_objects() -> None:
    started = _StartedWatch()
    started.timers.advance(BATCH_DELAY_S)

    started.watch.restart(make_position(1, 3))

    assert (len(started.store.watches), len(started.store.lists)) == (1, 2)


def test_change_that_its_listener_fails_on_does_not_end_the_watch() -> None:
    """The objects are listed again, as the listener lacks a change."""
    started = _StartedWatch()
    started.timers.advance(BATCH_DELAY_S)
    started.listener.is_failing = True
    changed = StoredObject("servers", "i-1", 9, {})
    with pytest.raises(OverflowError):
        started.store.watches[0](ObjectList((changed,), 9))
    started.listener.is_failing = False

    started.timers.advance(BATCH_DELAY_S)
    started.store.lists[1](ObjectList((changed,), 9))
    started.timers.advance(BATCH_DELAY_S)

    assert started.listener.names == {"i-1"}
    assert len(started.store.watches) == 2


def test_time_without_answers_does_not_count_towards_trust_in_a_copy() -> None:
    """Operators could not write again what the copy lacks."""
    started = _StartedWatch()
    started.timers.advance(BATCH_DELAY_S)
    started.store.era = 1
    started.watch.check()
    started.store.lists[1](ObjectList((), make_position(1, 3)))
    advance_with_checks(started, RESTORE_PERIOD_S)
    assert started.watch.trusts_store

    started.store.lists[-1](ObjectList((), make_position(1, 3)))

    assert started.watch.is_restoring
    assert not started.watch.trusts_store


def test_reply_to_a_watch_of_an_earlier_era_skips_no_change_of_the_later_one() -> (
    None
):
    started = _StartedWatch()
    started.timers.advance(BATCH_DELAY_S)
    started.store.era = 1
    started.watch.check()
    started.store.lists[1](ObjectList((), make_position(1, 3)))

    # It has what came after revision 5, and lacks what came after revision 3.
    started.store.watches[0](ObjectList((), make_position(1, 7)))

    assert started.watch.version == make_position(1, 3)
    assert len(started.store.lists) == 3


def test_list_that_comes_after_a_later_one_takes_nothing_back() -> None:
    """While a store that returned from a copy is doubted, lists replace all."""
    started = _StartedWatch()
    started.timers.advance(BATCH_DELAY_S)
    started.store.era = 1
    started.watch.check()
    advance_with_checks(started, LIST_PATIENCE_S + 2 * CHECK_PERIOD_S)
    assert len(started.store.lists) == 3
    position = make_position(1, 8)
    added = StoredObject("servers", "i-1", position, {})

    started.store.lists[2](ObjectList((added,), position))
    started.store.lists[1](ObjectList((), make_position(1, 7)))

    assert started.watch.version == position
    assert started.watch.cache.find("i-1") is not None


def test_whole_list_of_a_peer_in_a_later_era_does_not_end_doubt_in_the_copy() -> (
    None
):
    """The later copy may lack what this node has kept from the one before."""
    started = _StartedWatch()
    started.store.era = 1
    started.watch.check()
    started.store.lists[1](ObjectList((), make_position(1, 3)))
    started.watch.set_paused(True)
    started.timers.advance(RESTORE_PERIOD_S)
    assert started.watch.needs_complete_update

    started.watch.apply_complete_update(
        CacheUpdate(make_position(2, 3), (), ())
    )

    assert started.watch.version == make_position(2, 3)
    assert started.watch.is_restoring
    assert not started.watch.trusts_store
