"""What a node asks of peers after the store returned from an older copy."""

from typing import Any

import pytest

from mulberrybay_core.addresses import Address
from mulberrybay_core.edge_nodes import EdgeHeartbeat, EdgeNodeInfo, EdgeNodes
from mulberrybay_core.store_messages import ObjectList
from mulberrybay_core.store_position import make_position
from mulberrybay_edge import peer_link
from mulberrybay_edge.decision_log import DecisionLog
from mulberrybay_edge.peer_link import PeerLink
from mulberrybay_edge.store_watch import StoreWatch
from mulberrybay_edge.tenant_gate import TenantGate
from mulberrybay_runtime.timers import Timers

NOW_S = 100.0
POSITION = make_position(2, 40)


class _Listener:
    def on_list(self, objects: ObjectList) -> None:
        pass

    def on_changes(self, changes: ObjectList) -> None:
        pass


class _Streams:
    """Records the peers that are asked."""

    def __init__(self) -> None:
        self.dialled: list[Address] = []

    def dial(self, address: Address, observer: object) -> None:
        self.dialled.append(address)


def make_info(number: int) -> EdgeNodeInfo:
    address = Address("127.0.0.1", number)
    return EdgeNodeInfo(f"node-{number}", 1, "domain", address, address)


def make_link(
    monkeypatch: pytest.MonkeyPatch, heartbeat: EdgeHeartbeat
) -> tuple[PeerLink, _Streams]:
    """Returns the link of a node that has started since the return."""
    monkeypatch.setattr(peer_link, "read_clock_s", lambda: NOW_S)
    nodes = EdgeNodes(make_info(1), NOW_S)
    nodes.record_heartbeat(heartbeat, NOW_S)
    watch = StoreWatch(None, Timers(), "servers", _Listener())
    watch.cache.replace(ObjectList((), POSITION))
    streams: Any = _Streams()
    link = PeerLink(
        nodes,
        [watch],
        None,
        streams,
        Timers(),
        DecisionLog(lambda: NOW_S),
        lambda: heartbeat,
        lambda _: None,
        TenantGate(None, lambda: NOW_S),
    )
    return link, streams


def test_node_that_started_since_asks_a_peer_that_is_restoring(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    beat = EdgeHeartbeat(make_info(2), True, 1, (POSITION,), is_restoring=True)
    link, streams = make_link(monkeypatch, beat)

    link.request_restored_objects()

    assert link.awaits_kept_objects
    assert streams.dialled == [make_info(2).peer_address]


@pytest.mark.parametrize("versions", [(), (make_position(1, 90),)])
def test_heartbeat_without_a_position_of_the_era_is_ignored(
    monkeypatch: pytest.MonkeyPatch, versions: tuple[int, ...]
) -> None:
    """It may be malformed; the node's other duties must go on."""
    beat = EdgeHeartbeat(make_info(2), True, 1, versions, is_restoring=True)
    link, streams = make_link(monkeypatch, beat)

    link.request_restored_objects()

    assert not link.awaits_kept_objects
    assert streams.dialled == []
