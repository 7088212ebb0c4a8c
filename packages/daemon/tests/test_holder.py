"""Attempts that are queued while the node claims their backend server.

They must be refused as soon as the node gives up the claim or another node wins
it, and must stay queued while a lost claim is retried.
"""

from typing import Any

from mulberrybay_core.addresses import Address
from mulberrybay_core.attempts import (
    Attempt,
    AttemptBatch,
    AttemptKind,
    AttemptOutcome,
    AttemptReply,
)
from mulberrybay_core.fleet import BackendServer, Fleet
from mulberrybay_core.holdings import Holdings
from mulberrybay_daemon.holder import MAX_ATTEMPT_DURATION_S, Holder
from mulberrybay_runtime.clock import read_clock_s
from mulberrybay_runtime.timers import Timers

SERVER = BackendServer(
    "server-1", "d1", Address("127.0.0.1", 1), "service", 2, 10, "live"
)


class PermissiveGate:
    """Allows new work at every server."""

    def may_use(self, server: BackendServer, now_s: float) -> bool:
        del server, now_s
        return True


class FakeConnections:
    """Replaces the connections to backend servers; sends nothing."""

    def drop_server(self, server_id: str) -> None:
        del server_id


class ClaimingNode:
    """A node that claims the server, with one attempt queued for it."""

    def __init__(self) -> None:
        unused: Any = None
        gate: Any = PermissiveGate()
        connections: Any = FakeConnections()
        self.holdings = Holdings("node-2", MAX_ATTEMPT_DURATION_S)
        self.holder = Holder(
            self.holdings, gate, unused, connections, Timers(), unused
        )
        self.holder.set_fleet(Fleet((), (SERVER,)))
        self.replies: list[AttemptReply] = []
        self.set_wanted_servers("server-1")
        batch = AttemptBatch(
            query_id="q",
            kind=AttemptKind.SEARCH,
            class_name="field-search",
            index_version=1,
            deadline_at_s=read_clock_s() + 60,
            idempotency_key="",
            attempts=(Attempt(1, "server-1", 0),),
            body=b"",
        )
        self.holder.submit(batch, self.replies.append)
        assert self.replies == []

    def set_wanted_servers(self, *server_ids: str) -> None:
        """Sets the servers that the node should hold."""
        self.holder.release(self.holdings.set_wanted(server_ids))

    def outcomes(self) -> list[AttemptOutcome]:
        """Returns the outcomes of the attempts."""
        return [reply.outcome for reply in self.replies]


def test_attempt_is_refused_when_the_claim_is_given_up() -> None:
    node = ClaimingNode()
    node.set_wanted_servers()
    assert node.outcomes() == [AttemptOutcome.NOT_HOLDER]


def test_attempt_is_refused_when_another_node_wins_the_claim() -> None:
    node = ClaimingNode()
    assert node.holdings.on_claim("node-1", ["server-1"]) == ["server-1"]
    node.set_wanted_servers()
    assert node.outcomes() == [AttemptOutcome.NOT_HOLDER]


def test_attempt_stays_queued_while_a_lost_claim_is_retried() -> None:
    node = ClaimingNode()
    node.holdings.on_claim("node-1", ["server-1"])
    node.set_wanted_servers("server-1")
    assert node.outcomes() == []
    assert not node.holdings.is_held("server-1")
