"""Which list of VMs and which snapshots a node goes by."""

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
    """Keeps the calls and the timers; the test answers and fires them."""

    def __init__(self) -> None:
        self.list_vms_replies: list[Any] = []
        self.snapshot_replies: list[Any] = []
        self.due: list[Any] = []

    def list_vms(self, reply: Any) -> None:  # noqa: ANN401
        self.list_vms_replies.append(reply)

    def list_kind(self, kind: str, reply: Any) -> None:  # noqa: ANN401
        assert kind == SNAPSHOT_KIND
        self.snapshot_replies.append(reply)

    def watch(self, kind: str, _: int, __: float, reply: Any) -> None:  # noqa: ANN401
        self.list_kind(kind, reply)

    def call_later(self, delay_s: float, action: Any) -> None:  # noqa: ANN401
        assert delay_s > 0
        self.due.append(action)

    def answer(self, fleet: Any, objects: Any) -> None:  # noqa: ANN401
        """Answers the open calls and lets the next ones be made."""
        self.list_vms_replies.pop()(fleet)
        self.snapshot_replies.pop()(objects)
        due, self.due = self.due, []
        for action in due:
            action()


class FakeLinks:
    """Hands the messages to the other node, past a codec."""

    def __init__(self) -> None:
        self.peer: FleetTask | None = None
        self.owner: FleetTask | None = None
        self.sent: list[Any] = []

    def connected_ids(self) -> list[str]:
        return ["node-2"] if self.peer else []

    def send(self, peer_id: str | Any, message: Any = None) -> None:  # noqa: ANN401
        if message is None:
            message = peer_id
        self.sent.append(message)
        copy = decode_message(encode_message(message, 0.0), 0.0)
        match copy:
            case FleetRequest():
                assert self.peer is not None
                self.peer.on_request(copy, self)  # type: ignore[arg-type]
            case FleetUpdate():
                assert self.owner is not None
                self.owner.on_update(copy)


class Rig:
    """A node and the parts around it."""

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
        self.links.owner = self.task
        self.task.start()

    def versions(self) -> list[int]:
        known = self.catalog.snapshots(CLASS_NAME)
        return [item.index_version for item in known]


@pytest.fixture
def clock(monkeypatch: pytest.MonkeyPatch) -> list[float]:
    now = [100.0]
    monkeypatch.setattr(
        "mulberrybay_daemon.fleet_task.read_clock_s", lambda: now[0]
    )
    return now


def make_pair() -> tuple[Rig, Rig]:
    """Returns a node that has read the platform and one that has not."""
    peer, node = Rig(), Rig()
    peer.platform.answer(Ok(make_fleet("vm-1")), Ok(make_objects(7, 3)))
    node.links.peer = peer.task
    return peer, node


def test_node_that_starts_in_an_outage_takes_what_a_peer_has_read(
    clock: list[float],
) -> None:
    _, node = make_pair()
    clock[0] += 3600.0
    assert not node.task.knows_servers
    node.platform.answer(OUTAGE, OUTAGE)
    assert node.task.knows_servers
    assert node.fleets[-1].servers == make_fleet("vm-1").servers
    assert node.fleets[-1].entry_vms == make_fleet("vm-1").entry_vms
    assert node.versions() == [3]
    node.platform.answer(OUTAGE, OUTAGE)
    updates = [x for x in node.links.sent if isinstance(x, FleetUpdate)]
    assert len(updates) == 1, "nothing newer is known to the peer"


def test_own_reads_replace_what_a_peer_has_handed_on(
    clock: list[float],
) -> None:
    _, node = make_pair()
    node.platform.answer(OUTAGE, OUTAGE)
    clock[0] += 1.0
    node.platform.answer(Ok(make_fleet("vm-2")), Ok(make_objects(8, 4)))
    assert node.fleets[-1].server("vm-2") is not None
    assert node.versions() == [4]


def test_node_that_alone_lost_the_platform_follows_its_peer(
    clock: list[float],
) -> None:
    peer, node = make_pair()
    node.platform.answer(Ok(make_fleet("vm-1")), Ok(make_objects(7, 3)))
    clock[0] += 10.0
    peer.platform.answer(Ok(make_fleet("vm-9")), Ok(make_objects(9, 5)))
    # The peer's list was read when this answer was asked for.
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
def test_only_what_is_newer_is_taken(
    clock: list[float],
    age_s: float,
    snapshot_version: int,
    server_id: str,
    versions: list[int],
) -> None:
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


def test_late_answer_of_the_platform_does_not_undo_newer_snapshots(
    clock: list[float],
) -> None:
    del clock
    _, node = make_pair()
    node.platform.list_vms_replies.pop()(OUTAGE)
    assert node.versions() == [3]
    node.platform.snapshot_replies.pop()(Ok(make_objects(6, 2)))
    assert node.versions() == [3]


def test_node_that_knows_nothing_hands_nothing_on() -> None:
    node, other = Rig(), Rig()
    request = FleetRequest("node-2", float("inf"), NO_SNAPSHOT_VERSION)
    node.links.owner = other.task
    node.task.on_request(request, node.links)  # type: ignore[arg-type]
    assert node.links.sent == []
