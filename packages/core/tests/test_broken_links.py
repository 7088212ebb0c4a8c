"""Tests which broken links make a node step down.

A restarted node must not look like a broken link, and of two live nodes that
cannot reach each other exactly one must step down.
"""

import pytest

from mulberrybay_core.addresses import Address
from mulberrybay_core.fleet import EntryVm
from mulberrybay_core.member_messages import NodeInfo
from mulberrybay_core.membership import Membership, MembershipSettings

ADDRESS = Address("127.0.0.1", 1)
SETTINGS = MembershipSettings()
NODE_IDS = ("a", "b", "c")
TICK_S = 0.05
# The nodes do not send their heartbeats at the same time.
OFFSETS_S = {"a": 0.0, "b": 0.3, "c": 0.15}


class _Nodes:
    """Three nodes whose messages arrive at once unless their link is cut."""

    def __init__(self) -> None:
        self.now_s = 100.0
        self.running: dict[str, Membership] = {}
        self.cut: set[tuple[str, str]] = set()
        self.stepped_down: set[str] = set()
        self._due_s: dict[str, float] = {}
        for node_id in NODE_IDS:
            self.start(node_id)
        self.run(3 * SETTINGS.lease_s)

    def start(self, node_id: str) -> None:
        info = NodeInfo(node_id, "d1", ADDRESS, ADDRESS, is_serving=True)
        node = Membership(SETTINGS, info, int(self.now_s * 1000))
        vms = [EntryVm(i, "d1", ADDRESS, "live") for i in NODE_IDS]
        node.on_vm_list(vms, self.now_s)
        self.running[node_id] = node
        self._due_s[node_id] = self.now_s + OFFSETS_S[node_id]

    def stop(self, node_id: str) -> None:
        node = self.running.pop(node_id)
        for other in self.running.values():
            other.on_goodbye(node_id, node.epoch)

    def kill(self, node_id: str) -> None:
        del self.running[node_id]

    def run(self, duration_s: float) -> None:
        ends_at_s = self.now_s + duration_s
        while self.now_s < ends_at_s:
            self.now_s += TICK_S
            for node_id, node in self.running.items():
                if self.now_s >= self._due_s[node_id]:
                    self._due_s[node_id] += SETTINGS.heartbeat_period_s
                    self._send_heartbeats(node_id)
                node.tick(self.now_s, int(self.now_s * 1000))
                if node.steps_down:
                    self.stepped_down.add(node_id)

    def _send_heartbeats(self, node_id: str) -> None:
        node = self.running[node_id]
        for peer_id in NODE_IDS:
            if peer_id == node_id:
                continue
            heartbeat = node.make_heartbeat(peer_id, self.now_s)
            peer = self.running.get(peer_id)
            if peer is None or (node_id, peer_id) in self.cut:
                continue
            ack = peer.on_heartbeat(heartbeat, self.now_s)
            if (peer_id, node_id) not in self.cut:
                node.on_ack(ack, self.now_s)


@pytest.mark.parametrize("node_id", NODE_IDS)
@pytest.mark.parametrize("end", ["stop", "kill"])
@pytest.mark.parametrize("down_s", [0.5, 1.9, 2.5, 4.0, 9.0])
def test_restart_of_a_node_makes_no_node_step_down(
    node_id: str, end: str, down_s: float
) -> None:
    """Guards against taking a restarted node for a broken link.

    Shortly after the restart, one peer may already report a grant to the node
    while another has not exchanged heartbeats with it yet.
    """
    nodes = _Nodes()
    assert nodes.stepped_down == set()
    if end == "stop":
        nodes.stop(node_id)
    else:
        nodes.kill(node_id)
    nodes.run(down_s)
    nodes.start(node_id)
    nodes.run(3 * SETTINGS.lease_s)
    assert nodes.stepped_down == set()
    assert all(n.has_lease(nodes.now_s) for n in nodes.running.values())


@pytest.mark.parametrize(
    ("cut", "stepping_down"),
    [
        ([("a", "b"), ("b", "a")], "b"),
        ([("a", "b")], "b"),
        ([("b", "a")], "b"),
    ],
)
def test_one_of_two_nodes_with_a_broken_link_steps_down(
    cut: list[tuple[str, str]], stepping_down: str
) -> None:
    """Guards against two live nodes waiting for each other's answers forever.

    With the link cut in one or both directions, only the node with the larger
    ID steps down.
    """
    nodes = _Nodes()
    nodes.cut.update(cut)
    nodes.run(2 * SETTINGS.lease_s)
    assert nodes.stepped_down == {stepping_down}
