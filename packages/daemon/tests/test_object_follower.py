"""Nodes with holders follow the store, whatever became of a call."""

import contextlib
import math
from collections.abc import Callable
from typing import Any

import pytest
from expression import Error, Ok

from mulberrybay_core.addresses import Address
from mulberrybay_core.configuration import (
    CONFIGURATION_KIND,
    EMPTY_CONFIGURATION,
)
from mulberrybay_core.decode_errors import DECODE_ERRORS
from mulberrybay_core.documents import encode_configuration, encode_snapshots
from mulberrybay_core.errors import Failure, FailureKind, Step
from mulberrybay_core.member_messages import NodeInfo
from mulberrybay_core.platform_messages import ObjectList, StoredObject
from mulberrybay_core.snapshot import SNAPSHOT_KIND, IndexSnapshot
from mulberrybay_core.snapshot_catalog import SnapshotCatalog
from mulberrybay_daemon.configuration_task import ConfigurationTask
from mulberrybay_daemon.fleet_task import FleetTask
from mulberrybay_platform.client import WATCH_TIMEOUT_MARGIN_S

# Promise 10, and the time that a call may take to be answered.
IN_FORCE_S = 5.0
ANSWER_S = 0.1
STEP_S = 0.05
OUTAGE = Failure(FailureKind.PLATFORM, Step.MEMBERSHIP, "platform", "down")
CLASS_NAME = "field-search"
ADDRESS = Address("127.0.0.1", 1)
Reply = Callable[[Any], None]


class PlayedStore:
    """A store and timers on a clock of the test.

    Attributes:
        is_silent: Whether calls are left unanswered, also those that wait as
            the silence begins or ends.
    """

    def __init__(self) -> None:
        self.now_s = 0.0
        self.is_silent = False
        self._version = 1
        self._objects: dict[str, StoredObject] = {}
        self._timers: list[tuple[float, Callable[[], None]]] = []
        self._watches: list[tuple[str, int, float, Reply]] = []
        self._answered: list[tuple[str, int, float, Reply]] = []

    def call_later(self, delay_s: float, action: Callable[[], None]) -> None:
        self._timers.append((self.now_s + delay_s, action))

    def list_vms(self, reply: Reply) -> None:
        self.call_later(ANSWER_S, lambda: reply(Error(OUTAGE)))

    def list_kind(self, kind: str, reply: Reply) -> None:
        if self.is_silent:
            # The client's timeout of a call.
            self.call_later(1.0, lambda: reply(Error(OUTAGE)))
            return
        self.call_later(ANSWER_S, lambda: reply(Ok(self._since(kind, 0))))

    def watch(
        self, kind: str, after: int, timeout_s: float, reply: Reply
    ) -> None:
        watch = (kind, after, self.now_s + timeout_s, reply)
        if not self.is_silent:
            self._watches.append(watch)

        def time_out() -> None:
            if watch not in self._answered:
                reply(Error(OUTAGE))

        self.call_later(timeout_s + WATCH_TIMEOUT_MARGIN_S, time_out)

    def _since(self, kind: str, after: int) -> ObjectList:
        items = tuple(
            item
            for item in self._objects.values()
            if item.kind == kind and item.version > after
        )
        return ObjectList(items, self._version)

    def put(self, kind: str, name: str, value: Any) -> None:  # noqa: ANN401
        self._version += 1
        self._objects[name] = StoredObject(kind, name, self._version, value)

    def fall_silent(self) -> None:
        self.is_silent = True
        self._watches.clear()

    def advance(self, span_s: float) -> None:
        ends_at_s = self.now_s + span_s
        while self.now_s < ends_at_s:
            self.now_s += STEP_S
            for entry in [*self._timers]:
                if entry[0] <= self.now_s:
                    self._timers.remove(entry)
                    self._run(entry[1])
            for watch in [*self._watches]:
                kind, after, until_s, reply = watch
                changes = self._since(kind, after)
                if changes.items or self.now_s >= until_s:
                    self._watches.remove(watch)
                    self._answered.append(watch)
                    answer = Ok(changes)
                    self.call_later(
                        ANSWER_S,
                        lambda reply=reply, answer=answer: reply(answer),  # type: ignore[misc]
                    )

    def _run(self, action: Callable[[], None]) -> None:
        """Runs an action; as in a node, exceptions don't end the event loop."""
        with contextlib.suppress(*DECODE_ERRORS):
            action()


class PlayedNode:
    """What a node knows of the configuration and the snapshots."""

    def __init__(self) -> None:
        self.store = PlayedStore()
        store: Any = self.store
        info = NodeInfo("node-1", "d1", ADDRESS, ADDRESS, False, True, 0)
        self._configuration = ConfigurationTask(
            "node-1", store, store, lambda: store, lambda _: None
        )
        self._catalog = SnapshotCatalog()
        self._fleet = FleetTask(
            "node-1", store, store, self._catalog, lambda: store, lambda _: None
        )
        self.put(1)
        self._configuration.start(lambda: (info,))
        self._fleet.start()
        self.store.advance(1.0)
        assert self.known() == (1, 1)

    def put(self, number: int) -> None:
        """Writes a configuration and a snapshot of a number."""
        snapshot = IndexSnapshot(CLASS_NAME, number, ("s1",))
        configuration = EMPTY_CONFIGURATION._replace(revision=number)
        self.put_values(
            encode_configuration(configuration), encode_snapshots((snapshot,))
        )

    def put_values(self, configuration: Any, snapshots: Any) -> None:  # noqa: ANN401
        self.store.put(CONFIGURATION_KIND, "current", configuration)
        self.store.put(SNAPSHOT_KIND, CLASS_NAME, snapshots)

    def known(self) -> tuple[int, int]:
        snapshots = self._catalog.snapshots(CLASS_NAME)
        index_version = snapshots[0].index_version if snapshots else 0
        return self._configuration.current.revision, index_version


@pytest.mark.parametrize("phase_s", [0.05, 0.9, 1.9, 3.9])
@pytest.mark.parametrize("span_s", [0.1, 3.0, 11.0])
def test_changes_after_a_silence_are_known_in_time(
    phase_s: float, span_s: float
) -> None:
    node = PlayedNode()
    node.store.advance(phase_s)
    node.store.fall_silent()
    node.store.advance(span_s)
    node.store.is_silent = False

    node.put(2)
    node.store.advance(IN_FORCE_S)

    assert node.known() == (2, 2)


def test_changes_are_known_at_once_while_the_store_answers() -> None:
    node = PlayedNode()
    for number in range(2, 9):
        node.put(number)
        node.store.advance(1.0)
        assert node.known() == (number, number)


UNREADABLE = {
    "number too large": ({"revision": math.inf}, {"index_version": math.inf}),
    "no object": (17, {"snapshots": 3}),
    "no fields": ({}, {}),
}


@pytest.mark.parametrize("name", UNREADABLE)
def test_change_that_can_not_be_decoded_does_not_end_the_following(
    name: str,
) -> None:
    node = PlayedNode()
    configuration, snapshot = UNREADABLE[name]
    if isinstance(configuration, dict) and configuration:
        configuration = {
            **encode_configuration(EMPTY_CONFIGURATION),
            **configuration,
        }
        snapshot = {"snapshots": [{"services": [], **snapshot}]}
    node.put_values(configuration, snapshot)
    node.store.advance(1.0)

    node.put(2)
    node.store.advance(IN_FORCE_S)

    assert node.known() == (2, 2)
