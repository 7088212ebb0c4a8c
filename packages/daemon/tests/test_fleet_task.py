"""Which list of VMs and which snapshots a node uses.

Both can come from the platform or, while its reads fail, from a peer.
"""

from typing import Any

import pytest
from expression import Error, Ok, Result

from mulberrybay_core.addresses import Address
from mulberrybay_core.documents import encode_snapshots
from mulberrybay_core.errors import Failure, FailureKind, Step
from mulberrybay_core.fleet import BackendServer, EntryVm, Fleet
from mulberrybay_core.fleet_messages import FleetRequest, FleetUpdate
from mulberrybay_core.platform_messages import ObjectList, StoredObject
from mulberrybay_core.snapshot import SNAPSHOT_KIND, IndexSnapshot
from mulberrybay_core.snapshot_catalog import SnapshotCatalog
from mulberrybay_daemon.fleet_task import NO_SNAPSHOT_VERSION, FleetTask
from mulberrybay_nodes.codec import decode_message, encode_message

ADDRESS = Address("127.0.0.1", 1)
CLASS_NAME = "field-search"
OUTAGE: Result[Any, Failure] = Error(
    Failure(FailureKind.PLATFORM, Step.MEMBERSHIP, "platform", "down")
)


def make_fleet(server_id: str) -> Fleet:
    vm = EntryVm("node-2", "d2", ADDRESS, "leaving")
    server = BackendServer(server_id, "d1", ADDRESS, "s1", 3, 30, "live")
    return Fleet((vm,), (server,))


def make_objects(store_version: int, index_version: int) -> ObjectList:
    snapshot = IndexSnapshot(CLASS_NAME, index_version, ("s1",))
    value = encode_snapshots((snapshot,))
    item = StoredObject(SNAPSHOT_KIND, CLASS_NAME, store_version, value)
    return ObjectList((item,), store_version)


class FakePlatform:
    """Records calls and timers; the test answers and runs them."""

    def __init__(self) -> None:
        self.list_vms_replies: list[Any] = []
        self.snapshot_replies: list[Any] = []
        self.due_actions: list[Any] = []

    def list_vms(self, reply: Any) -> None:  # noqa: ANN401
        self.list_vms_replies.append(reply)

    def list_kind(self, kind: str, reply: Any) -> None:  # noqa: ANN401
        assert kind == SNAPSHOT_KIND
        self.snapshot_replies.append(reply)

    def watch(self, kind: str, _: int, __: float, reply: Any) -> None:  # noqa: ANN401
        self.list_kind(kind, reply)

    def call_later(self, delay_s: float, action: Any) -> None:  # noqa: ANN401
        assert delay_s > 0
        self.due_actions.append(action)

    def answer(self, fleet: Any, objects: Any) -> None:  # noqa: ANN401
        """Answers the pending calls and runs the timers of the next ones."""
        self.list_vms_replies.pop()(fleet)
        self.snapshot_replies.pop()(objects)
        due_actions, self.due_actions = self.due_actions, []
        for action in due_actions:
            action()


class FakeLinks:
    """Encodes, decodes and delivers the messages between two nodes."""

    def __init__(self) -> None:
        self.peer: FleetTask | None = None
        self.task: FleetTask | None = None
        self.sent: list[Any] = []

    def connected_ids(self) -> list[str]:
        return ["node-2"] if self.peer else []

    def send(self, peer_id: str | Any, message: Any = None) -> None:  # noqa: ANN401
        if message is None:
            message = peer_id
        self.sent.append(message)
        decoded = decode_message(encode_message(message, 0.0), 0.0)
        match decoded:
            case FleetRequest():
                assert self.peer is not None
                self.peer.on_request(decoded, self)  # type: ignore[arg-type]
            case FleetUpdate():
                assert self.task is not None
                self.task.on_update(decoded)


class FleetTaskRig:
    """A fleet task with a fake platform and fake links."""

    def __init__(self) -> None:
        self.platform = FakePlatform()
        self.catalog = SnapshotCatalog()
        self.links = FakeLinks()
        self.fleets: list[Fleet] = []
        self.task = FleetTask(
            "node-1",
            self.platform,  # type: ignore[arg-type]
            self.platform,  # type: ignore[arg-type]
            self.catalog,
            lambda: self.links,  # type: ignore[arg-type, return-value]
            self.fleets.append,
        )
        self.links.task = self.task
        self.task.start()

    def versions(self) -> list[int]:
        snapshots = self.catalog.snapshots(CLASS_NAME)
        return [item.index_version for item in snapshots]


@pytest.fixture
def clock(monkeypatch: pytest.MonkeyPatch) -> list[float]:
    now = [100.0]
    monkeypatch.setattr(
        "mulberrybay_daemon.fleet_task.read_clock_s", lambda: now[0]
    )
    return now


def make_pair() -> tuple[FleetTaskRig, FleetTaskRig]:
    """Returns a peer that has read the platform and a node that has not."""
    peer, node = FleetTaskRig(), FleetTaskRig()
    peer.platform.answer(Ok(make_fleet("vm-1")), Ok(make_objects(7, 3)))
    node.links.peer = peer.task
    return peer, node


def test_node_that_starts_in_an_outage_uses_the_data_of_a_peer(
    clock: list[float],
) -> None:
    """Guards against a node that cannot serve after a start in an outage.

    The platform does not answer, but a peer read its data an hour before.
    Once the node has that data, the peer must not send it again.
    """
    _, node = make_pair()
    clock[0] += 3600.0
    assert not node.task.has_servers_and_snapshots
    node.platform.answer(OUTAGE, OUTAGE)
    assert node.task.has_servers_and_snapshots
    assert node.fleets[-1].servers == make_fleet("vm-1").servers
    assert node.fleets[-1].entry_vms == make_fleet("vm-1").entry_vms
    assert node.versions() == [3]
    node.platform.answer(OUTAGE, OUTAGE)
    updates = [x for x in node.links.sent if isinstance(x, FleetUpdate)]
    assert len(updates) == 1, "the peer sent data that is not newer"


def test_own_reads_replace_the_data_of_a_peer(
    clock: list[float],
) -> None:
    """Guards against a node that stays on a peer's data after an outage."""
    _, node = make_pair()
    node.platform.answer(OUTAGE, OUTAGE)
    clock[0] += 1.0
    node.platform.answer(Ok(make_fleet("vm-2")), Ok(make_objects(8, 4)))
    assert node.fleets[-1].server("vm-2") is not None
    assert node.versions() == [4]


def test_node_that_alone_cannot_reach_the_platform_uses_its_peer(
    clock: list[float],
) -> None:
    """Guards against old data on a node while its peers have newer data.

    The platform answers the peer, but no longer the node.
    """
    peer, node = make_pair()
    node.platform.answer(Ok(make_fleet("vm-1")), Ok(make_objects(7, 3)))
    clock[0] += 10.0
    peer.platform.answer(Ok(make_fleet("vm-9")), Ok(make_objects(9, 5)))
    # The age of a list counts from the request, so the peer's list is new
    # only after a second read.
    peer.platform.answer(Ok(make_fleet("vm-9")), Ok(make_objects(9, 5)))
    node.platform.answer(OUTAGE, OUTAGE)
    assert node.fleets[-1].server("vm-9") is not None
    assert node.versions() == [5]


@pytest.mark.parametrize(
    ("age_s", "snapshot_version", "server_id", "versions"),
    [
        (50.0, 6, "vm-1", [3]),
        (50.0, 8, "vm-1", [9]),
        (0.0, 6, "vm-old", [3]),
        (0.0, 8, "vm-old", [9]),
    ],
    ids=["both older", "snapshots newer", "list younger", "both newer"],
)
def test_only_newer_data_of_a_peer_is_applied(
    clock: list[float],
    age_s: float,
    snapshot_version: int,
    server_id: str,
    versions: list[int],
) -> None:
    """Guards against an update of a peer that replaces newer data.

    The list of VMs and the snapshots are compared separately.
    """
    peer, _ = make_pair()
    clock[0] += 1.0
    other = make_fleet("vm-old")
    peer.task.on_update(
        FleetUpdate(
            "node-3",
            age_s,
            other.entry_vms,
            other.servers,
            snapshot_version,
            (IndexSnapshot(CLASS_NAME, 9, ("s1",)),),
        )
    )
    assert peer.fleets[-1].server(server_id) is not None
    assert peer.versions() == versions


def test_late_platform_answer_does_not_replace_newer_snapshots(
    clock: list[float],
) -> None:
    """Guards against snapshots that revert to an older version.

    A peer sends newer snapshots while the node's own read is still pending.
    """
    del clock
    _, node = make_pair()
    node.platform.list_vms_replies.pop()(OUTAGE)
    assert node.versions() == [3]
    node.platform.snapshot_replies.pop()(Ok(make_objects(6, 2)))
    assert node.versions() == [3]


def test_node_without_data_sends_no_update() -> None:
    """Guards against an empty update from a node that has just started."""
    node, other = FleetTaskRig(), FleetTaskRig()
    request = FleetRequest("node-2", float("inf"), NO_SNAPSHOT_VERSION)
    node.links.task = other.task
    node.task.on_request(request, node.links)  # type: ignore[arg-type]
    assert node.links.sent == []
