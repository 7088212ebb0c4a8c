"""Leases, holdings and claims under lost, late and doubled messages.

Several member tasks run in one thread on simulated clocks; the links between
them, their freezes and their restarts are in the hands of Hypothesis.
"""

import os
import random
from collections.abc import Callable, Collection, Iterable
from types import SimpleNamespace
from typing import Final

import pytest
from hypothesis import HealthCheck, Phase, settings, strategies
from hypothesis.stateful import (
    RuleBasedStateMachine,
    initialize,
    invariant,
    rule,
    run_state_machine_as_test,
)

from mulberrybay_core.addresses import Address
from mulberrybay_core.configuration import EMPTY_CONFIGURATION
from mulberrybay_core.fleet import BackendServer, EntryVm, Fleet
from mulberrybay_core.holdings import Holdings
from mulberrybay_core.member_messages import (
    Claim,
    ClaimAnswer,
    Goodbye,
    Heartbeat,
    HeartbeatAck,
    NodeInfo,
)
from mulberrybay_core.membership import Membership, MembershipSettings
from mulberrybay_daemon import member_task
from mulberrybay_daemon.attempt_router import HolderMap
from mulberrybay_daemon.member_task import MemberTask

SETTINGS: Final = MembershipSettings()
ATTEMPT_LIMIT_S: Final = 2.0
STEP_S: Final = 0.1
HEARTBEAT_STEP_COUNT: Final = 4
RECOVERY_S: Final = 15.0
NODE_COUNT: Final = 4
EXAMPLE_COUNT: Final = int(os.environ.get("MULBERRYBAY_EXAMPLES", "150"))
DOMAINS: Final = ("d1", "d2")
SERVERS: Final = tuple(
    BackendServer(
        f"server-{number}",
        DOMAINS[number % 2],
        Address("127.0.0.1", 9000 + number),
        "service",
        2,
        10,
        "live",
    )
    for number in range(4)
)


class _Links:
    """Hands the messages of one node to the network."""

    def __init__(self, node: "_Node") -> None:
        self._node = node

    def set_peers(self, addresses: dict[str, Address]) -> None:
        pass

    def check_silence(self, now_s: float) -> None:
        pass

    def dial_now(self, peer_id: str) -> None:
        pass

    def seed_ids(self) -> list[str]:
        return []

    def send(self, peer_id: str, message: object) -> None:
        self._node.world.post(self._node, peer_id, message)


class _Holder:
    """Has nothing outstanding, so that releases drain at once."""

    def __init__(self, holdings: Holdings) -> None:
        self._holdings = holdings

    def acquire(self, server_ids: Iterable[str]) -> None:
        pass

    def release(self, server_ids: Iterable[str]) -> None:
        for server_id in server_ids:
            self._holdings.mark_drained(server_id)

    def drop_all(self) -> None:
        pass

    def has_outstanding(self, server_id: str) -> bool:
        del server_id
        return False


class _Node:
    """One process of a node, on a clock of its own."""

    def __init__(
        self, world: "MemberMachine", index: int, now_s: float
    ) -> None:
        self.world = world
        self.index = index
        self.node_id = f"node-{index}"
        self.is_frozen = False
        self.step = index
        self.skew_s = world.random.uniform(0, 1000)
        self.info = NodeInfo(
            self.node_id,
            DOMAINS[index % 2],
            Address("127.0.0.1", 8000 + index),
            Address("127.0.0.1", 7000 + index),
            is_serving=True,
        )
        self.membership = Membership(
            SETTINGS, self.info, world.unix_ms(index, now_s)
        )
        self.holdings = Holdings(self.node_id, ATTEMPT_LIMIT_S)
        self.task = MemberTask(
            SETTINGS,
            self.membership,
            self.holdings,
            HolderMap(),
            _Holder(self.holdings),  # type: ignore[arg-type]
            SimpleNamespace(),  # type: ignore[arg-type]
            lambda: _Links(self),  # type: ignore[arg-type,return-value]
            self,
        )

    def on_peer_revision(self, peer_id: str, revision: int) -> None:
        """Takes a peer's revision, as if asking for it took no time."""
        del peer_id
        self.membership.revision = max(self.membership.revision, revision)

    def clock_s(self) -> float:
        """The time on this process's clock."""
        return self.world.now_s + self.skew_s

    def run(self, method: Callable[..., object], *arguments: object) -> None:
        """Calls the task on this process's clock."""
        world = self.world
        member_task.read_clock_s = self.clock_s  # type: ignore[assignment]
        member_task.time = SimpleNamespace(  # type: ignore[assignment]
            time=lambda: world.unix_ms(self.index, world.now_s) / 1000
        )
        method(*arguments)

    def receive(self, sender_id: str, message: object) -> None:
        """Handles a message; an answer goes back to its sender."""
        link = SimpleNamespace(
            send=lambda answer: self.world.post(self, sender_id, answer)
        )
        match message:
            case Heartbeat():
                self.run(self.task.on_heartbeat, message, link)
            case HeartbeatAck():
                self.run(self.task.on_ack, message)
            case Goodbye():
                self.run(self.task.on_goodbye, message)
            case Claim():
                self.run(self.task.on_claim, message, link)
            case ClaimAnswer():
                self.run(self.task.on_claim_answer, message)

    def work(self) -> None:
        """Runs the timers of one step."""
        self.step += 1
        if self.step % HEARTBEAT_STEP_COUNT == 0:
            self.run(self.task._send_heartbeats)
        self.run(self.task._tick)

    def may_dispatch(self, server_id: str) -> bool:
        """Whether the process could send work to a server now."""
        return self.holdings.is_held(server_id) and self.membership.has_lease(
            self.clock_s()
        )


nodes = strategies.integers(0, NODE_COUNT - 1)
pairs = strategies.tuples(nodes, nodes).filter(lambda pair: pair[0] != pair[1])


class MemberMachine(RuleBasedStateMachine):
    """Nodes, the links between them, and what befalls both."""

    def __init__(self) -> None:
        super().__init__()
        self.now_s = 100.0
        self.random = random.Random(0)
        self.unix_skew_ms = [0] * NODE_COUNT
        self.nodes: list[_Node] = []
        self.cut: set[tuple[int, int]] = set()
        self.delayed: set[tuple[int, int]] = set()
        self.network: list[tuple[_Node, int, _Node, object]] = []
        self.held_back: list[tuple[_Node, int, _Node, object]] = []

    @initialize(seed=strategies.integers(0, 2**32))
    def start(self, seed: int) -> None:
        """Starts all the nodes and lets them settle."""
        self.random.seed(seed)
        self.unix_skew_ms = [
            self.random.randint(-3000, 3000) for _ in range(NODE_COUNT)
        ]
        self.nodes = [
            _Node(self, index, self.now_s) for index in range(NODE_COUNT)
        ]
        for node in self.nodes:
            self._give_list(node, range(NODE_COUNT))
        self._recover(frozenset())

    def unix_ms(self, index: int, now_s: float) -> int:
        """The wall clock of a node's VM."""
        return int(now_s * 1000) + 1_000_000 + self.unix_skew_ms[index]

    def _give_list(self, node: _Node, indexes: Iterable[int]) -> None:
        vms = [
            EntryVm(
                other.node_id,
                other.info.failure_domain,
                other.info.peer_address,
                "live",
            )
            for other in (self.nodes[index] for index in indexes)
        ]
        node.run(node.task.set_fleet, Fleet(vms, SERVERS))

    def post(self, sender: _Node, peer_id: str, message: object) -> None:
        """Takes a message into the network, unless its link is cut."""
        target = int(peer_id.rpartition("-")[2])
        pair = (sender.index, target)
        item = (sender, target, self.nodes[target], message)
        if pair in self.delayed:
            self.held_back.append(item)
        elif pair not in self.cut:
            self.network.append(item)

    def _deliver(self, item: tuple[_Node, int, _Node, object]) -> None:
        sender, target, process, message = item
        # A connection ends with the process at either end; what its peer
        # had already sent may still be read.
        if self.nodes[target] is process and not process.is_frozen:
            process.receive(sender.node_id, message)
        elif self.nodes[target] is process:
            self.held_back.append(item)

    def _deliver_all(self) -> None:
        for _ in range(4):
            items, self.network = self.network, []
            for item in items:
                self._deliver(item)
                self.check_single_holder()

    def _step(self) -> None:
        self.now_s += STEP_S
        for node in self.nodes:
            if not node.is_frozen:
                node.work()
                self.check_single_holder()
        self._deliver_all()

    @rule(step_count=strategies.integers(1, 30))
    def elapse(self, step_count: int) -> None:
        """Lets time pass."""
        for _ in range(step_count):
            self._step()

    @rule(pair=pairs)
    def cut_link(self, pair: tuple[int, int]) -> None:
        """Loses all messages in one direction."""
        self.cut.add(pair)

    @rule(pair=pairs)
    def delay_link(self, pair: tuple[int, int]) -> None:
        """Holds the messages of one direction back."""
        self.delayed.add(pair)

    @rule(node=nodes)
    def cut_off(self, node: int) -> None:
        """Loses all messages from and to a node."""
        for other in range(NODE_COUNT):
            if other != node:
                self.cut |= {(node, other), (other, node)}

    @rule(pair=pairs)
    def heal_link(self, pair: tuple[int, int]) -> None:
        """Ends the faults of a link."""
        for ends in (pair, pair[::-1]):
            self.cut.discard(ends)
            self.delayed.discard(ends)

    @rule(seed=strategies.integers(0, 2**16))
    def deliver_late(self, seed: int) -> None:
        """Delivers late messages in any order, some of them twice."""
        source = random.Random(seed)
        items, self.held_back = self.held_back, []
        items += [item for item in items if source.random() < 0.2]
        source.shuffle(items)
        for item in items:
            self._deliver(item)
            self.check_single_holder()

    @rule(node=nodes)
    def freeze(self, node: int) -> None:
        """Stops a process."""
        self.nodes[node].is_frozen = True

    @rule(node=nodes, reads_first=strategies.booleans())
    def thaw(self, node: int, reads_first: bool) -> None:
        """Lets a process go on, reading or with its timers first."""
        process = self.nodes[node]
        if process.is_frozen:
            process.is_frozen = False
            if not reads_first:
                process.work()
            mine = [item for item in self.held_back if item[2] is process]
            self.held_back = [i for i in self.held_back if i not in mine]
            for item in mine:
                self._deliver(item)

    @rule(node=nodes, skew_ms=strategies.integers(-3000, 3000))
    def restart(self, node: int, skew_ms: int) -> None:
        """Kills a process and starts it anew; the VM's clock may jump."""
        self.unix_skew_ms[node] = skew_ms
        self.now_s += STEP_S
        self.nodes[node] = _Node(self, node, self.now_s)
        self._give_list(self.nodes[node], range(NODE_COUNT))

    @rule(node=nodes, absent=nodes)
    def take_lagging_list(self, node: int, absent: int) -> None:
        """Gives a node a list that lacks one VM."""
        if node != absent:
            indexes = [i for i in range(NODE_COUNT) if i != absent]
            self._give_list(self.nodes[node], indexes)

    @rule(node=nodes)
    def say_goodbye(self, node: int) -> None:
        """Stops a node for good, after it has released all; a new one."""
        process = self.nodes[node]
        if process.is_frozen:
            return
        process.run(process.holdings.drop_all)
        process.run(process.task.say_goodbye)
        self.restart(node, self.unix_skew_ms[node])

    @rule(node=nodes)
    def accept_revision(self, node: int) -> None:
        """Brings a further revision into force at one node."""
        highest = max(item.membership.revision for item in self.nodes)
        process = self.nodes[node]
        if not process.is_frozen:
            process.run(
                process.task.set_configuration,
                EMPTY_CONFIGURATION._replace(revision=highest + 1),
            )

    @rule()
    def recover(self) -> None:
        """Ends all faults; every server is held again in time."""
        self._recover(frozenset())

    @rule(pair=pairs, is_one_way=strategies.booleans())
    def recover_but_for_one_link(
        self, pair: tuple[int, int], is_one_way: bool
    ) -> None:
        """Ends all faults but the cut of one link; the same holds."""
        self._recover({pair} if is_one_way else {pair, pair[::-1]})

    def _recover(self, cut: Collection[tuple[int, int]]) -> None:
        self.cut = set(cut)
        self.delayed.clear()
        for index, node in enumerate(self.nodes):
            if node.is_frozen:
                self.thaw(index, True)
            self._give_list(node, range(NODE_COUNT))
        self.deliver_late(0)
        for _ in range(int(RECOVERY_S / STEP_S)):
            self._step()
            if all(map(self._is_held, SERVERS)):
                return
        for server in SERVERS:
            assert self._is_held(server), f"{server.server_id} is not held"

    def _is_held(self, server: BackendServer) -> bool:
        return any(node.may_dispatch(server.server_id) for node in self.nodes)

    @invariant()
    def check_single_holder(self) -> None:
        """No two nodes could send work to the same server."""
        for server in SERVERS:
            holders = [
                node.node_id
                for node in self.nodes
                if node.may_dispatch(server.server_id)
            ]
            assert len(holders) <= 1, f"{server.server_id}: {holders}"


def test_no_server_has_two_holders_and_all_are_held_again(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(member_task, "read_clock_s", member_task.read_clock_s)
    monkeypatch.setattr(member_task, "time", member_task.time)
    run_state_machine_as_test(
        MemberMachine,
        settings=settings(
            max_examples=EXAMPLE_COUNT,
            stateful_step_count=30,
            deadline=None,
            derandomize=True,
            database=None,
            # Shrinking a case takes minutes.
            phases=(Phase.generate,),
            suppress_health_check=list(HealthCheck),
        ),
    )
