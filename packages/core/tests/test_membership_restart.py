"""Tests that a stopped node is handled correctly and can get a lease again."""

from mulberrybay_core.addresses import Address
from mulberrybay_core.fleet import EntryVm
from mulberrybay_core.member_messages import NodeInfo
from mulberrybay_core.membership import Membership, MembershipSettings

ADDRESS = Address("127.0.0.1", 1)
SETTINGS = MembershipSettings()


def make_node(node_id: str, now_s: float) -> Membership:
    info = NodeInfo(node_id, "d1", ADDRESS, ADDRESS)
    node = Membership(SETTINGS, info, int(now_s * 1000))
    vms = [EntryVm(i, "d1", ADDRESS, "live") for i in ("a", "b", "c")]
    node.on_vm_list(vms, now_s)
    return node


def test_node_down_for_longer_than_a_lease_gets_a_lease_again() -> None:
    """Guards against denying every epoch of a node that was down for long.

    Its peers have never heard from it and deny only its first epoch.
    """
    now_s = 100.0
    peer, other = make_node("a", now_s), make_node("b", now_s)
    restarted_at_s = 110.0
    while now_s < restarted_at_s:
        now_s += 0.1
        peer.tick(now_s, int(now_s * 1000))
        other.tick(now_s, int(now_s * 1000))
    node = make_node("c", now_s)
    while not node.has_lease(now_s):
        now_s += SETTINGS.heartbeat_period_s
        assert now_s < restarted_at_s + 3 * SETTINGS.lease_s
        for member in (peer, other):
            member.tick(now_s, int(now_s * 1000))
            heartbeat = node.make_heartbeat(member.info.node_id, now_s)
            node.on_ack(member.on_heartbeat(heartbeat, now_s), now_s)
        node.tick(now_s, int(now_s * 1000))


def test_departed_listed_node_counts_as_departed_until_it_restarts() -> None:
    """Guards against waiting for a stopped node that the platform still lists.

    It counts as departed once a majority has seen its goodbye, and no longer
    once its successor has sent a heartbeat.
    """
    now_s = 100.0
    peer, other, node = (make_node(name, now_s) for name in "abc")
    last = node.make_heartbeat("a", now_s)
    for member in (peer, other):
        assert member.on_heartbeat(last, now_s).is_granted
        member.on_goodbye("c", node.epoch)
    assert not peer.has_departed("c", now_s)
    # Two of three are a majority.
    peer.on_heartbeat(other.make_heartbeat("a", now_s), now_s)
    assert peer.has_departed("c", now_s)
    # A late message of the stopped process has no effect.
    assert not peer.on_heartbeat(last, now_s).is_granted
    assert peer.has_departed("c", now_s)
    successor = make_node("c", now_s + 1)
    first = successor.make_heartbeat("a", now_s)
    assert peer.on_heartbeat(first, now_s).is_granted
    assert not peer.has_departed("c", now_s)


def test_departed_node_is_removed_once_it_is_not_listed() -> None:
    """Guards against members that stay after the platform removed their VM."""
    now_s = 100.0
    peer, node = make_node("a", now_s), make_node("c", now_s)
    peer.on_heartbeat(node.make_heartbeat("a", now_s), now_s)
    peer.on_goodbye("c", node.epoch)
    vms = [EntryVm(i, "d1", ADDRESS, "live") for i in ("a", "b")]
    peer.on_vm_list(vms, now_s)
    assert [info.node_id for info in peer.peers] == ["b"]
