"""When a node sends heartbeats, and how it handles its own.

A node without the list of VMs must not send heartbeats, since peers would
choose it as the holder of servers that it doesn't know.
"""

from typing import Any

from mulberrybay_core.addresses import Address
from mulberrybay_core.configuration import EMPTY_CONFIGURATION
from mulberrybay_core.fleet import BackendServer, EntryVm, Fleet
from mulberrybay_core.holdings import Holdings
from mulberrybay_core.member_messages import NodeInfo
from mulberrybay_core.membership import Membership, MembershipSettings
from mulberrybay_daemon.attempt_router import HolderMap
from mulberrybay_daemon.member_task import MemberTask

ADDRESS = Address("127.0.0.1", 1)
VMS = tuple(EntryVm(f"node-{x}", "d1", ADDRESS, "live") for x in (1, 2))


class FakeLinks:
    """Records what is sent."""

    def __init__(self) -> None:
        self.sent: list[Any] = []

    def send(self, peer_id: str, message: object) -> None:
        self.sent.append((peer_id, message))

    def dial_now(self, peer_id: str) -> None:
        """Does nothing, since the peer is already dialled."""

    def seed_ids(self) -> list[str]:
        return ["seed"]

    def set_peers(self, addresses: object) -> None:
        del addresses

    def check_links(self, now_s: float) -> None:
        del now_s


class FakeHolder:
    """Records the servers that the node may dispatch to."""

    def __init__(self) -> None:
        self.acquired_ids: list[str] = []

    def acquire(self, server_ids: list[str]) -> None:
        self.acquired_ids += server_ids

    def release(self, server_ids: list[str]) -> None:
        assert not server_ids


class FakeRevisionListener:
    """Ignores the revisions that peers report."""

    def on_peer_revision(self, peer_id: str, revision: int) -> None:
        del peer_id, revision


def make_task(
    links: FakeLinks, holder: FakeHolder | None = None
) -> tuple[MemberTask, Membership]:
    info = NodeInfo("node-1", "d1", ADDRESS, ADDRESS)
    membership = Membership(MembershipSettings(), info, 5)
    unused: Any = None
    task = MemberTask(
        MembershipSettings(),
        membership,
        Holdings("node-1", 0.0),
        HolderMap(),
        holder,  # type: ignore[arg-type]
        unused,
        lambda: links,  # type: ignore[arg-type, return-value]
        FakeRevisionListener(),
    )
    return task, membership


def test_own_heartbeat_over_a_seed_is_dropped() -> None:
    task, membership = make_task(FakeLinks())
    unused: Any = None
    task.on_heartbeat(membership.make_probe(0.0), unused)
    assert membership.peers == ()


def test_node_without_the_vm_list_grants_but_sends_no_heartbeats() -> None:
    links = FakeLinks()
    task, _ = make_task(links)
    peer = Membership(
        MembershipSettings(), NodeInfo("node-2", "d1", ADDRESS, ADDRESS), 9
    )
    acks = FakeLinks()
    acks.send = acks.sent.append  # type: ignore
    task.on_heartbeat(peer.make_probe(0.0), acks)  # type: ignore[arg-type]
    task.set_configuration(EMPTY_CONFIGURATION._replace(revision=3))
    assert acks.sent[0].is_granted
    assert links.sent == []
    task.set_fleet(Fleet(VMS, ()))
    task.set_configuration(EMPTY_CONFIGURATION._replace(revision=4))
    assert [peer_id for peer_id, _ in links.sent] == ["node-2", "seed"]


def test_node_that_says_that_it_serves_has_claimed_its_servers() -> None:
    holder = FakeHolder()
    task, membership = make_task(FakeLinks(), holder)
    server = BackendServer("a", "d1", ADDRESS, "search/0", 1, 1, "live")
    task.set_fleet(Fleet(VMS[:1], (server,)))
    membership.info = membership.info._replace(is_serving=True)

    task.announce()

    assert holder.acquired_ids == ["a"]
