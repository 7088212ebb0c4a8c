"""What a node does with messages that can't be a peer's."""

from typing import Any

from mulberrybay_core.addresses import Address
from mulberrybay_core.member_messages import NodeInfo
from mulberrybay_core.membership import Membership, MembershipSettings
from mulberrybay_daemon.member_task import MemberTask


def test_own_heartbeat_over_a_seed_is_dropped() -> None:
    address = Address("127.0.0.1", 1)
    info = NodeInfo("node-1", "d1", address, address)
    settings = MembershipSettings()
    membership = Membership(settings, info, 5)
    unused: Any = None
    task = MemberTask(
        settings, membership, *[unused] * 4, lambda: unused, unused
    )
    task.on_heartbeat(membership.make_probe(0.0), unused)
    assert membership.peers == ()
