"""Rollouts over a store that is lost and returns, with nodes that are lost."""

import enum
import random
from typing import NamedTuple

from hypothesis import given, settings, strategies

from mulberrybay_core.addresses import Address
from mulberrybay_core.rollouts import (
    NodeRollouts,
    RolloutOrder,
    RolloutState,
    RolloutStatus,
    RolloutStep,
    RolloutTerms,
)
from mulberrybay_core.server_directory import KnownServer, ServerEntry
from mulberrybay_core.store_position import era_of, make_position

TERMS = RolloutTerms(expose_share=0.1, expose_slack_count=50, rollback_s=5.0)
SERVICE, OLD = "search", "v0"
NODE_COUNT = 3
DURATION_S = 12.0


class _Event(enum.Enum):
    NONE = enum.auto()
    ORDER = enum.auto()
    REMOVE = enum.auto()
    LOSE_STORE = enum.auto()
    RETURN_STORE = enum.auto()
    RETURN_OLDER_STORE = enum.auto()
    RESTART = enum.auto()
    DECIDE = enum.auto()
    WRITE = enum.auto()


class _Step(NamedTuple):
    """An event, and how the time after it is played.

    Attributes:
        event: The event.
        index: Which node, copy or write it concerns.
        round_count: The time after it, in rounds of 0.1 s.
        watching: The nodes that see changes of the store.
        writer: The node that writes; none if there is no such node.
        has_heartbeats: Whether nodes hear each other.
    """

    event: _Event
    index: int
    round_count: int
    watching: set[int]
    writer: int
    has_heartbeats: bool


STEPS = strategies.lists(
    strategies.builds(
        _Step,
        event=strategies.sampled_from(_Event),
        index=strategies.integers(0, 5),
        round_count=strategies.sampled_from([20, 60, 3, 150]),
        watching=strategies.sampled_from([{0, 1, 2}, {0, 2}, set()]),
        writer=strategies.integers(0, NODE_COUNT),
        has_heartbeats=strategies.booleans(),
    ),
    min_size=3,
    max_size=8,
)

# The ratio of bad replies and of the latency of new versions.
FAULTS = strategies.sampled_from([(0.0, 1.0), (0.3, 1.0), (0.0, 3.0)])

# An order and its status, as the store shows them; None if there is no object.
Shown = tuple[RolloutOrder, RolloutStatus | None] | None


def make_server(version: str, index: int) -> KnownServer:
    entry = ServerEntry(
        server_id=f"{version}-{index}",
        service=SERVICE,
        address=Address("127.0.0.1", 1),
        failure_domain="d",
        slot_count=2,
        is_leaving=False,
        cold_left_s=0.0,
        started_at_ms=1,
        version=version,
    )
    return KnownServer(entry, 0.0)


class _Node:
    """One incarnation of a node, and what it has seen."""

    def __init__(self, seed: int, incarnation: int) -> None:
        self.incarnation = incarnation
        self.rollouts = NodeRollouts(TERMS, random.Random(seed))
        self.rollouts.share_divisor = NODE_COUNT
        self.shown: Shown = None
        self.final: tuple[str, RolloutState] | None = None
        # The entries of new servers come by the same way as their order.
        self.versions = [OLD]


class _Race:
    """Nodes, writers and a store in any order of events.

    Guards against more requests to an unjudged version than allowed, a final
    state that changes, and requests to a version that was ruled out. These
    could come from lost nodes, an older copy of the store, or two writers.
    """

    def __init__(self) -> None:
        self.now_s = 0.0
        self.era = 0
        self.version = 1
        self.shown: Shown = None
        self.copies: list[Shown] = [None]
        self.is_lost = False
        self.writes: list[tuple[RolloutOrder, RolloutStatus]] = []
        self.in_flight: list[tuple[_Node, str]] = []
        self.order_count = 0
        self.request_count = 0
        self.sent_counts: dict[str, int] = {}
        self.judged: set[str] = set()
        self.incarnation = NODE_COUNT
        self.nodes = [_Node(index, index) for index in range(NODE_COUNT)]
        for node in self.nodes:
            node.rollouts.finish_first_list()
            node.rollouts.select(SERVICE, [make_server(OLD, 0)], 0.0)

    def target(self) -> str:
        return f"v{self.order_count}"

    def next_position(self) -> int:
        self.version += 1
        return make_position(self.era, self.version)

    def show(self, node: _Node) -> None:
        """Shows a node the object as it is in the store."""
        rollouts = node.rollouts
        if self.shown is None:
            if node.shown is not None:
                rollouts.remove_order(SERVICE, self.now_s)
                target = node.shown[0].target_version
                if node.final is None:
                    node.final = target, RolloutState.ROLLED_BACK
        else:
            order, status = self.shown
            if order.target_version not in node.versions:
                node.versions.append(order.target_version)
            is_restored = node.shown is None or (
                era_of(order.object_version)
                > era_of(node.shown[0].object_version)
            )
            rollouts.set_order(order, status, self.now_s)
            if (
                node.final is not None
                and not is_restored
                and (node.final[0] != order.target_version)
            ):
                node.final = None
            is_final = status is not None and (
                status.state is not RolloutState.RUNNING
            )
            if node.final is None and is_final and status is not None:
                node.final = status.target_version, status.state
        node.shown = self.shown

    # Orders and the store.

    def order(self) -> None:
        if self.is_lost:
            return
        self.order_count += 1
        self.request_count = 0
        # The operator's write leaves the status of the order before.
        status = self.shown[1] if self.shown else None
        order = RolloutOrder(
            SERVICE, self.target(), DURATION_S, self.next_position()
        )
        self.shown = order, status
        self.sent_counts[self.target()] = 0

    def remove(self) -> None:
        if not self.is_lost:
            self.version += 1
            self.shown = None

    def lose_store(self) -> None:
        if not self.is_lost:
            self.copies.append(self.shown)
        self.is_lost = True

    def return_store(self, index: int, *, is_older: bool) -> None:
        self.is_lost = False
        copy = self.copies[-1 - index % len(self.copies)]
        if not is_older or copy is None:
            return
        if copy[0].target_version == self.target():
            self.era += 1
            order = copy[0]._replace(object_version=self.next_position())
            self.shown = order, copy[1]

    # Writers.

    def decide(self, node: int, all_have_seen: bool) -> None:
        due = self.nodes[node].rollouts.due_statuses(
            self.now_s, lambda _: all_have_seen
        )
        self.writes.extend(due)

    def write(self, index: int) -> None:
        if not self.writes:
            return
        order, status = self.writes.pop(index % len(self.writes))
        if self.is_lost or self.shown is None:
            return
        current, before = self.shown
        if current.object_version != order.object_version:
            return
        if before is not None and before.target_version == (
            current.target_version
        ):
            assert before.state is RolloutState.RUNNING
        if status.step is not RolloutStep.CANARY:
            self.judged.add(status.target_version)
        position = self.next_position()
        self.shown = current._replace(object_version=position), status

    # Nodes and their requests.

    def restart(self, node: int) -> None:
        self.incarnation += 1
        lost = self.nodes[node]
        self.in_flight = [
            item for item in self.in_flight if item[0] is not lost
        ]
        started = _Node(self.incarnation, self.incarnation)
        self.nodes[node] = started
        if not self.is_lost:
            self.show(started)
            started.rollouts.finish_first_list(self.now_s)

    def run(self, step: _Step, fault: tuple[float, float]) -> None:
        """Plays 0.1 s a round, with two requests of each node."""
        for index in range(step.round_count):
            self.now_s += 0.1
            self.reply(*fault)
            for node in self.nodes:
                self.request(node)
                self.request(node)
            if index % 5 == 0:
                self.exchange(step)
            self.check_final_states()
            self.check_exposure()

    def exchange(self, step: _Step) -> None:
        if not self.is_lost:
            for watcher in step.watching:
                self.show(self.nodes[watcher])
        if step.has_heartbeats:
            self.send_heartbeats()
        if step.writer < NODE_COUNT:
            self.decide(step.writer, len(step.watching) == NODE_COUNT)
            self.write(-1)

    def request(self, sender: _Node) -> None:
        servers = [
            make_server(name, index)
            for name in sender.versions
            for index in range(3)
        ]
        rollouts = sender.rollouts
        rollouts.record_request(SERVICE, self.now_s)
        self.request_count += 1
        # With a hedge or a retry for each request.
        for attempt in range(2):
            chosen = rollouts.select(SERVICE, servers, self.now_s)
            chosen = rollouts.narrow(SERVICE, chosen, self.now_s)
            if not chosen:
                continue
            server = chosen[(self.request_count + attempt) % len(chosen)]
            version = server.entry.version
            self.check_allowed(sender, version)
            rollouts.record_sent(SERVICE, version, self.now_s)
            self.in_flight.append((sender, version))
            if version in self.sent_counts:
                self.sent_counts[version] += 1

    def check_allowed(self, sender: _Node, version: str) -> None:
        if sender.final is None:
            return
        target, state = sender.final
        if state is RolloutState.ROLLED_BACK:
            assert version != target
        elif sender.shown and sender.shown[0].target_version == target:
            assert version != OLD

    def reply(self, bad_ratio: float, latency_ratio: float) -> None:
        for index, (node, version) in enumerate(self.in_flight):
            is_new = version != OLD
            node.rollouts.record_reply(
                SERVICE,
                version,
                "route",
                is_new and index % 10 < 10 * bad_ratio,
                latency_ratio if is_new else 1.0,
                self.now_s,
            )
        self.in_flight.clear()

    def send_heartbeats(self) -> None:
        for index, node in enumerate(self.nodes):
            reports = node.rollouts.reports(self.now_s)
            for peer in self.nodes:
                if peer is not node:
                    peer.rollouts.merge(
                        f"n{index}", node.incarnation, reports, self.now_s
                    )

    def check_exposure(self) -> None:
        version = self.target()
        if version in self.judged or not self.order_count:
            return
        bound = TERMS.expose_share * self.request_count
        assert self.sent_counts[version] <= bound + TERMS.expose_slack_count

    def check_final_states(self) -> None:
        for node in self.nodes:
            if node.final is None:
                continue
            target, state = node.final
            for summary in node.rollouts.summaries(self.now_s):
                if summary.order.target_version == target:
                    assert summary.state is state


@settings(max_examples=120, deadline=None, derandomize=True)
@given(steps=STEPS, fault=FAULTS)
def test_no_order_of_events_breaks_the_rules_of_a_rollout(
    steps: list[_Step], fault: tuple[float, float]
) -> None:
    """Guards against exposure, changed final states and excluded versions."""
    race = _Race()
    race.order()
    for step in steps:
        match step.event:
            case _Event.ORDER:
                race.order()
            case _Event.REMOVE:
                race.remove()
            case _Event.LOSE_STORE:
                race.lose_store()
            case _Event.RETURN_STORE:
                race.return_store(step.index, is_older=False)
            case _Event.RETURN_OLDER_STORE:
                race.return_store(step.index, is_older=True)
            case _Event.RESTART:
                race.restart(step.index % NODE_COUNT)
            case _Event.DECIDE:
                race.decide(step.index % NODE_COUNT, True)
            case _Event.WRITE:
                race.write(step.index)
            case _Event.NONE:
                pass
        race.run(step, fault)
