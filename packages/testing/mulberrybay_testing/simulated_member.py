"""Runs the member task of a node on a simulated clock and network.

The test's state machine advances the clock. It delivers, drops, delays and
duplicates the messages.
"""

from __future__ import annotations

import random
from collections.abc import Callable, Iterable
from types import SimpleNamespace
from typing import Final, Protocol

from mulberrybay_core.addresses import Address
from mulberrybay_core.holdings import Holdings
from mulberrybay_core.member_messages import (
    Claim,
    ClaimAnswer,
    Goodbye,
    Heartbeat,
    HeartbeatAck,
    NodeInfo,
)
from mulberrybay_core.membership import Membership, MembershipSettings
from mulberrybay_daemon import member_task
from mulberrybay_daemon.attempt_router import HolderMap
from mulberrybay_daemon.member_task import MemberTask

SETTINGS: Final = MembershipSettings()
ATTEMPT_LIMIT_S: Final = 2.0
HEARTBEAT_STEP_COUNT: Final = 4
DOMAINS: Final = ("d1", "d2")


class Simulation(Protocol):
    """The simulated clocks of all nodes and the network between them."""

    now_s: float
    random: random.Random

    def unix_ms(self, index: int, now_s: float) -> int:
        """Returns the wall clock time of a node's VM."""

    def post(
        self, sender: SimulatedMember, peer_id: str, message: object
    ) -> None:
        """Sends a message to a peer through the network."""


class _SimulatedLinks:
    """Stands in for a node's links to its peers; posts to the network."""

    def __init__(self, node: SimulatedMember) -> None:
        self._node = node

    def set_peers(self, addresses: dict[str, Address]) -> None:
        pass

    def check_links(self, now_s: float) -> None:
        pass

    def dial_now(self, peer_id: str) -> None:
        pass

    def seed_ids(self) -> list[str]:
        return []

    def send(self, peer_id: str, message: object) -> None:
        self._node.simulation.post(self._node, peer_id, message)


class _IdleHolder:
    """Stands in for a node's holder.

    No attempts are ever outstanding, so a released server is drained
    immediately.
    """

    def __init__(self, holdings: Holdings) -> None:
        self._holdings = holdings

    def acquire(self, server_ids: Iterable[str]) -> None:
        pass

    def release(self, server_ids: Iterable[str]) -> None:
        for server_id in server_ids:
            self._holdings.mark_drained(server_id)

    def drop_all(self) -> None:
        pass

    def has_outstanding(self, server_id: str) -> bool:
        del server_id
        return False


class SimulatedMember:
    """One process of a node, with its own clock."""

    def __init__(
        self, simulation: Simulation, index: int, now_s: float
    ) -> None:
        self.simulation = simulation
        self.index = index
        self.node_id = f"node-{index}"
        self.is_frozen = False
        self.step = index
        self.skew_s = simulation.random.uniform(0, 1000)
        self.info = NodeInfo(
            self.node_id,
            DOMAINS[index % 2],
            Address("127.0.0.1", 8000 + index),
            Address("127.0.0.1", 7000 + index),
            is_serving=True,
        )
        self.membership = Membership(
            SETTINGS, self.info, simulation.unix_ms(index, now_s)
        )
        self.holdings = Holdings(self.node_id, ATTEMPT_LIMIT_S)
        self.task = MemberTask(
            SETTINGS,
            self.membership,
            self.holdings,
            HolderMap(),
            _IdleHolder(self.holdings),  # type: ignore[arg-type]
            SimpleNamespace(),  # type: ignore[arg-type]
            lambda: _SimulatedLinks(self),  # type: ignore[arg-type,return-value]
            self,
        )

    def on_peer_revision(self, peer_id: str, revision: int) -> None:
        """Applies a peer's revision without a request to the peer."""
        del peer_id
        self.membership.revision = max(self.membership.revision, revision)

    def clock_s(self) -> float:
        """Returns the time on this process's clock."""
        return self.simulation.now_s + self.skew_s

    def run(self, method: Callable[..., object], *arguments: object) -> None:
        """Calls a method while the member task reads this process's clocks."""
        simulation = self.simulation
        member_task.read_clock_s = self.clock_s  # type: ignore[attr-defined]
        member_task.time = SimpleNamespace(  # type: ignore[assignment,attr-defined]
            time=lambda: simulation.unix_ms(self.index, simulation.now_s) / 1000
        )
        method(*arguments)

    def receive(self, sender_id: str, message: object) -> None:
        """Handles a message; an answer is sent back to the sender."""
        link = SimpleNamespace(
            send=lambda answer: self.simulation.post(self, sender_id, answer)
        )
        match message:
            case Heartbeat():
                self.run(self.task.on_heartbeat, message, link)
            case HeartbeatAck():
                self.run(self.task.on_ack, message)
            case Goodbye():
                self.run(self.task.on_goodbye, message)
            case Claim():
                self.run(self.task.on_claim, message, link)
            case ClaimAnswer():
                self.run(self.task.on_claim_answer, message)

    def run_timers(self) -> None:
        """Runs the timers that are due in one step of the simulation."""
        self.step += 1
        if self.step % HEARTBEAT_STEP_COUNT == 0:
            self.run(self.task._send_heartbeats)
        self.run(self.task._tick)

    def may_dispatch(self, server_id: str) -> bool:
        """Returns whether the process may send requests to a server now."""
        return self.holdings.is_held(server_id) and self.membership.has_lease(
            self.clock_s()
        )
