"""A node that comes back after its goodbye gets a lease again."""

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


def test_node_away_for_longer_than_a_lease_acts_again() -> None:
    now_s = 100.0
    peer, other = make_node("a", now_s), make_node("b", now_s)
    came_back_at_s = 110.0
    while now_s < came_back_at_s:
        now_s += 0.1
        peer.tick(now_s, int(now_s * 1000))
        other.tick(now_s, int(now_s * 1000))
    node = make_node("c", now_s)
    while not node.has_lease(now_s):
        now_s += SETTINGS.heartbeat_period_s
        assert now_s < came_back_at_s + 3 * SETTINGS.lease_s
        for member in (peer, other):
            member.tick(now_s, int(now_s * 1000))
            heartbeat = node.make_heartbeat(member.info.node_id, now_s)
            node.on_ack(member.on_heartbeat(heartbeat, now_s), now_s)
        node.tick(now_s, int(now_s * 1000))
