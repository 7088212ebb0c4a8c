"""Tests leases, holdings and claims with lost, late and duplicated messages.

Several member tasks run in one thread on simulated clocks. Hypothesis chooses
when links between them fail and when nodes freeze and restart.
"""

import os
import random
from collections.abc import Collection, Iterable
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
from mulberrybay_daemon import member_task
from mulberrybay_testing.simulated_member import DOMAINS, SimulatedMember

STEP_S: Final = 0.1
RECOVERY_S: Final = 15.0
NODE_COUNT: Final = 4
EXAMPLE_COUNT: Final = int(os.environ.get("MULBERRYBAY_EXAMPLES", "150"))
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


nodes = strategies.integers(0, NODE_COUNT - 1)
pairs = strategies.tuples(nodes, nodes).filter(lambda pair: pair[0] != pair[1])


class MemberMachine(RuleBasedStateMachine):
    """Simulated nodes, the network between them, and faults of both."""

    def __init__(self) -> None:
        super().__init__()
        self.now_s = 100.0
        self.random = random.Random(0)
        self.unix_skew_ms = [0] * NODE_COUNT
        self.nodes: list[SimulatedMember] = []
        self.cut: set[tuple[int, int]] = set()
        self.delayed_links: set[tuple[int, int]] = set()
        self.network: list[
            tuple[SimulatedMember, int, SimulatedMember, object]
        ] = []
        self.delayed_items: list[
            tuple[SimulatedMember, int, SimulatedMember, object]
        ] = []

    @initialize(seed=strategies.integers(0, 2**32))
    def start(self, seed: int) -> None:
        """Starts all nodes and waits until every server is held."""
        self.random.seed(seed)
        self.unix_skew_ms = [
            self.random.randint(-3000, 3000) for _ in range(NODE_COUNT)
        ]
        self.nodes = [
            SimulatedMember(self, index, self.now_s)
            for index in range(NODE_COUNT)
        ]
        for node in self.nodes:
            self._set_vm_list(node, range(NODE_COUNT))
        self._recover(frozenset())

    def unix_ms(self, index: int, now_s: float) -> int:
        """Returns the time of the wall clock on a node's VM."""
        return int(now_s * 1000) + 1_000_000 + self.unix_skew_ms[index]

    def _set_vm_list(
        self, node: SimulatedMember, indexes: Iterable[int]
    ) -> None:
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

    def post(
        self, sender: SimulatedMember, peer_id: str, message: object
    ) -> None:
        """Sends a message: queues it, delays it, or loses it on a cut link."""
        target = int(peer_id.rpartition("-")[2])
        pair = (sender.index, target)
        item = (sender, target, self.nodes[target], message)
        if pair in self.delayed_links:
            self.delayed_items.append(item)
        elif pair not in self.cut:
            self.network.append(item)

    def _deliver(
        self, item: tuple[SimulatedMember, int, SimulatedMember, object]
    ) -> None:
        sender, target, process, message = item
        # A connection closes when the process at either end stops. The
        # receiver may still read what the sender had sent before it stopped.
        if self.nodes[target] is process and not process.is_frozen:
            process.receive(sender.node_id, message)
        elif self.nodes[target] is process:
            self.delayed_items.append(item)

    def _deliver_network(self) -> None:
        for _ in range(4):
            items, self.network = self.network, []
            for item in items:
                self._deliver(item)
                self.check_single_holder()

    def _step(self) -> None:
        self.now_s += STEP_S
        for node in self.nodes:
            if not node.is_frozen:
                node.run_timers()
                self.check_single_holder()
        self._deliver_network()

    @rule(step_count=strategies.integers(1, 30))
    def elapse(self, step_count: int) -> None:
        """Lets time pass."""
        for _ in range(step_count):
            self._step()

    @rule(pair=pairs)
    def cut_link(self, pair: tuple[int, int]) -> None:
        """Cuts a link in one direction: its messages are lost."""
        self.cut.add(pair)

    @rule(pair=pairs)
    def delay_link(self, pair: tuple[int, int]) -> None:
        """Delays the messages of a link in one direction."""
        self.delayed_links.add(pair)

    @rule(node=nodes)
    def cut_off(self, node: int) -> None:
        """Cuts all links from and to a node."""
        for other in range(NODE_COUNT):
            if other != node:
                self.cut |= {(node, other), (other, node)}

    @rule(pair=pairs)
    def heal_link(self, pair: tuple[int, int]) -> None:
        """Ends the faults of a link in both directions."""
        for ends in (pair, pair[::-1]):
            self.cut.discard(ends)
            self.delayed_links.discard(ends)

    @rule(seed=strategies.integers(0, 2**16))
    def deliver_late(self, seed: int) -> None:
        """Delivers delayed messages in random order, some of them twice."""
        random_source = random.Random(seed)
        items, self.delayed_items = self.delayed_items, []
        items += [item for item in items if random_source.random() < 0.2]
        random_source.shuffle(items)
        for item in items:
            self._deliver(item)
            self.check_single_holder()

    @rule(node=nodes)
    def freeze(self, node: int) -> None:
        """Freezes a process: it handles no messages and no timers."""
        self.nodes[node].is_frozen = True

    @rule(node=nodes, reads_first=strategies.booleans())
    def thaw(self, node: int, reads_first: bool) -> None:
        """Resumes a process, which first reads messages or runs its timers."""
        process = self.nodes[node]
        if process.is_frozen:
            process.is_frozen = False
            if not reads_first:
                process.run_timers()
            own_items = [
                item for item in self.delayed_items if item[2] is process
            ]
            self.delayed_items = [
                item for item in self.delayed_items if item not in own_items
            ]
            for item in own_items:
                self._deliver(item)

    @rule(node=nodes, skew_ms=strategies.integers(-3000, 3000))
    def restart(self, node: int, skew_ms: int) -> None:
        """Kills a process and starts a new one; the VM's clock may jump."""
        self.unix_skew_ms[node] = skew_ms
        self.now_s += STEP_S
        self.nodes[node] = SimulatedMember(self, node, self.now_s)
        self._set_vm_list(self.nodes[node], range(NODE_COUNT))

    @rule(node=nodes, absent=nodes)
    def take_lagging_list(self, node: int, absent: int) -> None:
        """Sets an outdated VM list, which lacks one VM, at a node."""
        if node != absent:
            indexes = [i for i in range(NODE_COUNT) if i != absent]
            self._set_vm_list(self.nodes[node], indexes)

    @rule(node=nodes)
    def say_goodbye(self, node: int) -> None:
        """Stops a node that has released its holdings, and restarts it."""
        process = self.nodes[node]
        if process.is_frozen:
            return
        process.run(process.holdings.drop_all)
        process.run(process.task.say_goodbye)
        self.restart(node, self.unix_skew_ms[node])

    @rule(node=nodes)
    def accept_revision(self, node: int) -> None:
        """Sets the next configuration revision at one node."""
        highest = max(item.membership.revision for item in self.nodes)
        process = self.nodes[node]
        if not process.is_frozen:
            process.run(
                process.task.set_configuration,
                EMPTY_CONFIGURATION._replace(revision=highest + 1),
            )

    @rule()
    def recover(self) -> None:
        """Ends all faults; every server must be held within `RECOVERY_S`."""
        self._recover(frozenset())

    @rule(pair=pairs, is_one_way=strategies.booleans())
    def recover_but_for_one_link(
        self, pair: tuple[int, int], is_one_way: bool
    ) -> None:
        """Ends all faults except one cut link; servers must be held, too."""
        self._recover({pair} if is_one_way else {pair, pair[::-1]})

    def _recover(self, cut: Collection[tuple[int, int]]) -> None:
        self.cut = set(cut)
        self.delayed_links.clear()
        for index, node in enumerate(self.nodes):
            if node.is_frozen:
                self.thaw(index, True)
            self._set_vm_list(node, range(NODE_COUNT))
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
        """Checks that at most one node may send requests to a server."""
        for server in SERVERS:
            holders = [
                node.node_id
                for node in self.nodes
                if node.may_dispatch(server.server_id)
            ]
            assert len(holders) <= 1, f"{server.server_id}: {holders}"


def test_servers_never_have_two_holders_and_are_all_held_after_faults(
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
            # Without shrinking, which takes minutes per case.
            phases=(Phase.generate,),
            suppress_health_check=list(HealthCheck),
        ),
    )
