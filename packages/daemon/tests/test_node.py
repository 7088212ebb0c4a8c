"""Heartbeats that a node sends when it starts or stops to serve."""

from collections.abc import Iterator
from typing import Any

import pytest

from mulberrybay_core.addresses import Address
from mulberrybay_core.fleet import EntryVm, Fleet
from mulberrybay_core.member_messages import Heartbeat
from mulberrybay_daemon.node import Node
from mulberrybay_daemon.settings import NodeSettings

ADDRESS = Address("127.0.0.1", 1)
VMS = tuple(EntryVm(f"node-{x}", "d1", ADDRESS, "live") for x in (1, 2))


class FakeLinks:
    """Records the heartbeats that a node sends, and no other messages."""

    def __init__(self) -> None:
        self.heartbeats: list[Heartbeat] = []

    def send(self, peer_id: str, message: object) -> None:
        assert peer_id == "node-2"
        if isinstance(message, Heartbeat):
            self.heartbeats.append(message)

    def seed_ids(self) -> list[str]:
        return []

    def set_peers(self, addresses: object) -> None:
        del addresses

    def check_links(self, now_s: float) -> None:
        del now_s


@pytest.fixture
def links() -> FakeLinks:
    return FakeLinks()


@pytest.fixture
def node(links: FakeLinks) -> Iterator[Node]:
    """A node with one peer and without open sockets."""
    settings = NodeSettings("node-1", "d1", *[ADDRESS] * 4)
    node: Any = Node(settings)
    node._links = links
    node._members.set_fleet(Fleet(VMS, ()))
    assert links.heartbeats == []
    yield node


def test_node_announces_at_once_that_it_stops(
    node: Node, links: FakeLinks
) -> None:
    """Guards against peers that still advertise a node that is leaving.

    The node must not wait for its next periodic heartbeat.
    """
    node._stop.begin()
    [heartbeat] = links.heartbeats
    assert heartbeat.sender.is_leaving
    assert not heartbeat.sender.is_serving


def test_node_announces_at_once_and_only_once_that_it_serves(
    node: Node, links: FakeLinks, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against peers that do not yet advertise a node that serves.

    The node must not wait for its next periodic heartbeat. A second check
    without a change must not send another one.
    """
    monkeypatch.setattr(node, "_can_act", lambda: True)
    for _ in range(2):
        node._update_serving()
    [heartbeat] = links.heartbeats
    assert heartbeat.sender.is_serving


def test_node_sends_no_heartbeat_after_its_goodbye(
    node: Node, links: FakeLinks
) -> None:
    """Guards against a late heartbeat that makes a stopped node a member."""
    node._stop.begin()
    links.heartbeats.clear()
    node._members.say_goodbye()
    node._members.announce()
    assert links.heartbeats == []
