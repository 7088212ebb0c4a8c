"""How a node follows orders of rollouts, and how one writes their status."""

import math
import random
from collections.abc import Callable
from typing import Any, Final
from unittest import mock

import pytest
from request_fakes import FakeTimers

from mulberrybay_core.addresses import Address
from mulberrybay_core.edge_nodes import EdgeHeartbeat, EdgeNodeInfo, EdgeNodes
from mulberrybay_core.errors import Failure, FailureKind, Step
from mulberrybay_core.platform_documents import RolloutDocument
from mulberrybay_core.rollouts import (
    NodeRollouts,
    RolloutOrder,
    RolloutState,
    RolloutStatus,
    RolloutStep,
    RolloutTerms,
)
from mulberrybay_core.store_messages import (
    JsonObject,
    ObjectList,
    StoredObject,
    WriteHandler,
    WriteOutcome,
    WriteResult,
)
from mulberrybay_core.store_position import make_position
from mulberrybay_edge.decision_log import DecisionLog
from mulberrybay_edge.node import EdgeNode
from mulberrybay_edge.rollout_control import RolloutContext, RolloutControl

ADDRESS: Final = Address("127.0.0.1", 1)
CANARY: Final = RolloutStatus(RolloutState.RUNNING, RolloutStep.CANARY, "v2")
PROMOTE: Final = RolloutStatus(RolloutState.RUNNING, RolloutStep.PROMOTE, "v2")
COMPLETED: Final = RolloutStatus(RolloutState.COMPLETED, RolloutStep.DONE, "v2")
FAILURE: Final = Failure(
    kind=FailureKind.PLATFORM, step=Step.RECORD, peer="store", detail="away"
)


class _Documents:
    """Orders and statuses without a format."""

    class kinds:  # noqa: N801
        rollouts = "rollouts"

    def read_rollout(self, stored: StoredObject) -> RolloutDocument | None:
        target_version = stored.value.get("target")
        if target_version is None:
            return None
        order = RolloutOrder(stored.name, target_version, 30.0, stored.version)
        status = stored.status["status"] if stored.status else None
        return RolloutDocument(order, status)

    def encode_rollout_status(self, status: RolloutStatus) -> JsonObject:
        return {"status": status}


class _Store:
    """Keeps the writes and reads, which the test answers."""

    def __init__(self) -> None:
        self.writes: list[tuple[RolloutStatus, int, WriteHandler]] = []
        self.reads: list[Callable[[Any], None]] = []

    def read(self, kind: str, name: str, reply: Callable[[Any], None]) -> None:
        self.reads.append(reply)

    def write_status(
        self,
        kind: str,
        name: str,
        status: JsonObject,
        expected_version: int,
        reply: WriteHandler,
    ) -> None:
        self.writes.append((status["status"], expected_version, reply))


class _Watch:
    kind = "rollouts"
    is_restoring = False


def _info(name: str) -> EdgeNodeInfo:
    return EdgeNodeInfo(name, 1, "zone-a", ADDRESS, ADDRESS)


class _Node:
    """The control of rollouts of node-2, which is a hub."""

    def __init__(self) -> None:
        self.timers = FakeTimers()
        self.store = _Store()
        self.nodes = EdgeNodes(_info("node-2"), 0.0)
        self.nodes.is_hub(0.0)
        self.nodes.replace_registered([])
        self.rollouts = NodeRollouts(
            RolloutTerms(0.1, 50.0, 5.0), random.Random(1)
        )
        documents: Any = _Documents()
        self.control = RolloutControl(
            RolloutContext(
                self.store,
                documents,
                self.nodes,
                DecisionLog(self.timers.clock),
                self.timers.clock,
                4.0,
            ),
            self.rollouts,
        )
        self.watch = _Watch()
        watches: Any = [self.watch]
        self.control.attach(watches)

    def hear(self, name: str, store_age_s: float) -> None:
        beat = EdgeHeartbeat(_info(name), True, 1, (), store_age_s=store_age_s)
        self.nodes.record_heartbeat(beat, self.timers.now_s)

    def put(
        self,
        version: int,
        status: RolloutStatus | None = None,
        target: str | None = "v2",
    ) -> None:
        self.control.on_changes(
            ObjectList((make_order(version, status, target),), version)
        )

    def update(self, after_s: float = 0.2) -> list[tuple[RolloutState, int]]:
        """Returns the states written, with the version each expects."""
        self.timers.now_s += after_s
        self.store.writes.clear()
        self.control.update(1.0, None)
        self.control.write_due(1.0)
        return [(s.state, version) for s, version, _ in self.store.writes]

    def state(self) -> RolloutState:
        (summary,) = self.rollouts.summaries(self.timers.now_s)
        return summary.state


def make_order(
    version: int,
    status: RolloutStatus | None = None,
    target: str | None = "v2",
) -> StoredObject:
    stored_status = None if status is None else {"status": status}
    value = {"target": target}
    return StoredObject("rollouts", "web", version, value, stored_status)


@pytest.fixture
def node() -> _Node:
    """Returns a node that has read an empty list, and then an order."""
    node = _Node()
    node.control.on_list(ObjectList((), 1))
    node.update()
    node.put(5)
    return node


def test_writer_follows_its_status_before_its_watch(node: _Node) -> None:
    """Guards against a second write while the watch is slow."""
    assert node.update() == [(RolloutState.RUNNING, 5)]
    on_written = node.store.writes[0][2]
    assert node.update(1.0) == []
    on_written(WriteResult(WriteOutcome.WRITTEN, 6))
    assert node.update(1.0) == []


@pytest.mark.parametrize(
    ("status", "writes"), [(CANARY, True), (PROMOTE, False)]
)
def test_age_in_the_status_is_kept_up_to_date_in_the_canary_step(
    node: _Node, status: RolloutStatus, writes: bool
) -> None:
    """Guards against a deadline that is missed once all nodes were killed."""
    node.put(6, status)
    assert node.update() == []
    assert node.update(2.5) == []
    assert bool(node.update(1.0)) is writes
    if writes:
        written, version, _ = node.store.writes[0]
        assert (written[:3], version) == (CANARY[:3], 6)
        assert written.age_s >= 3.5


def test_failed_write_is_sent_again_later(node: _Node) -> None:
    assert len(node.update()) == 1
    node.store.writes[0][2](FAILURE)
    assert node.update(0.2) == []
    assert node.update(0.6) == [(RolloutState.RUNNING, 5)]


def test_conflict_is_read_back_and_a_final_state_is_not_overwritten(
    node: _Node,
) -> None:
    """Guards against two final states by two writers at the same time."""
    node.update()
    node.store.writes[0][2](WriteResult(WriteOutcome.CONFLICT, 7))
    assert node.update() == []
    node.store.reads[0](make_order(7, COMPLETED))
    assert node.state() is RolloutState.COMPLETED
    assert node.update(5.0) == []


def test_conflict_with_an_order_for_another_version_waits_for_the_watch(
    node: _Node,
) -> None:
    node.update()
    node.store.writes[0][2](WriteResult(WriteOutcome.CONFLICT, 7))
    node.store.reads[0](make_order(7, None, "v3"))
    (summary,) = node.rollouts.summaries(node.timers.now_s)
    assert summary.order.target_version == "v2"
    assert node.update(1.0) == [(RolloutState.RUNNING, 5)]


def test_status_is_written_under_the_revision_of_the_older_copy(
    node: _Node,
) -> None:
    """Guards against a kept order whose revision the store doesn't have."""
    kept = make_order(make_position(1, 9))
    node.control.on_list(ObjectList((kept,), kept.version))
    assert node.update() == [(RolloutState.RUNNING, kept.version)]
    node.store.writes[0][2](WriteResult(WriteOutcome.CONFLICT, 0))
    copied_version = make_position(1, 4)
    node.store.reads[0](make_order(copied_version))
    assert node.update() == [(RolloutState.RUNNING, copied_version)]


def test_final_state_that_the_copy_lacks_is_written_again(
    node: _Node,
) -> None:
    """Guards against a final state that is missing for as long as nodes keep it."""
    node.put(6, COMPLETED)
    assert node.update() == []
    node.watch.is_restoring = True
    kept = make_order(make_position(1, 9), COMPLETED)
    node.control.on_list(ObjectList((kept,), kept.version))
    assert node.update() == [(RolloutState.COMPLETED, kept.version)]


@pytest.mark.parametrize(
    ("peer", "store_age_s", "writes"),
    [
        ("node-1", 1.0, False),
        ("node-1", math.inf, True),
        ("node-3", 1.0, True),
    ],
)
def test_first_hub_that_reaches_the_store_writes(
    node: _Node, peer: str, store_age_s: float, writes: bool
) -> None:
    """Guards against a writer that is cut off from the store alone."""
    node.hear(peer, store_age_s)
    assert bool(node.update()) is writes


def test_order_that_can_not_be_read_leaves_the_known_one_in_force(
    node: _Node,
) -> None:
    node.put(6, None, None)
    assert node.control.unreadable_count == 1
    assert node.state() is RolloutState.RUNNING


@pytest.mark.parametrize(
    "end",
    [
        lambda node: node.control.on_list(ObjectList((), 9)),
        lambda node: node.control.on_changes(ObjectList((), 9, ("web",))),
        lambda node: node.put(9, None, "v3"),
        lambda node: node.put(9, COMPLETED),
    ],
)
def test_end_of_the_promote_step_ends_the_use_of_old_servers_beside_it(
    node: _Node, end: Callable[[_Node], None]
) -> None:
    node.put(6, PROMOTE)
    assert node.control.traffic.promoted_versions == {"web": "v2"}
    end(node)
    assert node.control.traffic.promoted_versions == {}


def test_older_object_does_not_replace_a_newer_one(node: _Node) -> None:
    """Guards against a watch that is behind what this node has written."""
    node.put(8, PROMOTE)
    node.put(7, CANARY)
    assert node.control.traffic.promoted_versions == {"web": "v2"}
    assert node.update() == []


@pytest.mark.parametrize("cause", ["service removed", "deadline over"])
def test_age_is_not_written_where_it_decides_nothing(
    node: _Node, cause: str
) -> None:
    """Guards against a write each 3 s for as long as an order waits."""
    if cause == "service removed":
        node.put(6, CANARY)
        node.rollouts.services = frozenset({"other"})
    else:
        node.put(6, CANARY._replace(age_s=30.5))
    assert node.update() == []
    assert node.update(10.0) == []


def test_nothing_is_written_while_the_order_can_not_be_read(
    node: _Node,
) -> None:
    """Guards against a conflict and a read each 0.6 s until it is replaced."""
    node.put(6, None, None)
    assert node.update() == []
    assert node.update(5.0) == []
    node.put(7)
    assert node.update() == [(RolloutState.RUNNING, 7)]


def _fail_new(node: _Node, service: str, count: int) -> None:
    for _ in range(count):
        now_s = node.timers.now_s
        node.rollouts.record_sent(service, "v2", now_s)
        node.rollouts.record_reply(service, "v2", "a", True, 1.0, now_s)


def test_other_nodes_are_told_at_once_of_a_fault_that_decides(
    node: _Node,
) -> None:
    """Guards against a heartbeat's period in which others use a bad version."""
    told_at_s = []
    node.control.tell = lambda: told_at_s.append(node.timers.now_s)
    _fail_new(node, "web", 1)
    assert told_at_s == []
    _fail_new(node, "web", 20)
    first_s = node.timers.now_s
    assert told_at_s == [first_s]
    # The writer's judgement is told too, but not within the least gap.
    node.timers.now_s += 0.1
    node.control.write_due(1.0)
    assert told_at_s == [first_s]
    node.update()
    assert told_at_s == [first_s, node.timers.now_s]
    node.update(1.0)
    assert len(told_at_s) == 2


def test_failure_that_decides_with_those_of_others_is_told(
    node: _Node,
) -> None:
    told: list[bool] = []
    node.control.tell = lambda: told.append(True)
    peer = _Node()
    peer.control.on_list(ObjectList((), 1))
    peer.put(5)
    _fail_new(peer, "web", 8)
    beat = EdgeHeartbeat(_info("node-3"), True, 1, ())
    node.control.merge(beat._replace(rollouts=peer.control.reports()))
    assert not told
    _fail_new(node, "web", 1)
    assert told


def test_node_that_stops_writes_statuses_until_it_ends() -> None:
    """Guards against a rollout that waits while its writer drains."""
    node = mock.MagicMock()
    node._stopping_since_s = 0.0
    EdgeNode._run_maintenance(node)
    node._rollouts.write_due.assert_called_once()
    node._registry.update.assert_not_called()
