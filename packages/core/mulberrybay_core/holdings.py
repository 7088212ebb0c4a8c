"""Decides which node holds which backend server, and how holdings move.

The holder is chosen by rendezvous hashing over the live nodes; nodes in the
backend server's failure domain are preferred. A node that should hold a server
claims it from every other member. It may dispatch to the server once each
member has released it or is fenced (a majority reported its epoch as expired).
"""

import enum
import hashlib
from collections import Counter
from collections.abc import Iterable, Sequence
from typing import NamedTuple

from mulberrybay_core.fleet import BackendServer
from mulberrybay_core.member_messages import NodeInfo


def choose_holder(
    server: BackendServer, nodes: Sequence[NodeInfo]
) -> NodeInfo | None:
    """Returns the node that should hold a server; None if `nodes` is empty."""
    if not nodes:
        return None
    return max(nodes, key=lambda node: _rank_node(server, node))


def _rank_node(server: BackendServer, node: NodeInfo) -> tuple[bool, bytes]:
    digest = hashlib.blake2b(
        f"{node.node_id}\0{server.server_id}".encode(), digest_size=8
    ).digest()
    return (node.failure_domain == server.failure_domain, digest)


class HoldingState(enum.Enum):
    """The state of a backend server at this node."""

    CLAIMING = "claiming"
    WAITING = "waiting"
    HELD = "held"
    RELEASING = "releasing"


class HolderChange(enum.Enum):
    """How this node started or stopped holding a backend server."""

    GAINED = "gained"
    HANDED_OVER = "handed_over"
    LOST = "lost"


class _Holding:
    def __init__(self, min_claim_id: int) -> None:
        self.state = HoldingState.CLAIMING
        self.released_by: set[str] = set()
        self.min_claim_id = min_claim_id
        # Answers to claims that were sent before a peer's own claim no longer
        # count.
        self.min_claim_id_by_peer: dict[str, int] = {}
        self.held_from_s = 0.0

    def accepts_answer(self, peer_id: str, claim_id: int) -> bool:
        min_id = self.min_claim_id_by_peer.get(peer_id, self.min_claim_id)
        return self.state is HoldingState.CLAIMING and claim_id >= min_id


class ClaimTarget(NamedTuple):
    """A claim to send to one peer, with the servers that it lists."""

    peer_id: str
    claim_id: int
    server_ids: tuple[str, ...]


class Holdings:
    """Decides which backend servers this node holds; sends no messages."""

    def __init__(self, node_id: str, max_attempt_duration_s: float) -> None:
        """Creates the holdings of a node that holds nothing.

        Args:
            node_id: The ID of this node.
            max_attempt_duration_s: The longest time that an attempt of any
                holder may take at a backend server.
        """
        self._node_id = node_id
        self._max_attempt_duration_s = max_attempt_duration_s
        self._holdings: dict[str, _Holding] = {}
        self._claim_id = 0
        self.change_counts: Counter[HolderChange] = Counter()

    def drop_all(self) -> None:
        """Drops all holdings at once, since the lease may have expired."""
        states = [holding.state for holding in self._holdings.values()]
        lost_count = states.count(HoldingState.HELD)
        self.change_counts[HolderChange.LOST] += lost_count
        self._holdings.clear()

    def set_wanted(self, server_ids: Iterable[str]) -> list[str]:
        """Sets the servers that this node should hold.

        Returns:
            The servers that it must now release, whether held or only claimed.
            The caller returns the attempts queued for them, dispatches no
            more, and calls `mark_drained` once no attempt is outstanding.
        """
        wanted = set(server_ids)
        released = []
        for server_id, holding in list(self._holdings.items()):
            if server_id in wanted:
                continue
            if holding.state is HoldingState.RELEASING:
                continue
            released.append(server_id)
            if holding.state is HoldingState.HELD:
                holding.state = HoldingState.RELEASING
                self.change_counts[HolderChange.HANDED_OVER] += 1
            else:
                del self._holdings[server_id]
        for server_id in sorted(wanted):
            if server_id not in self._holdings:
                self._holdings[server_id] = _Holding(self._claim_id + 1)
        return released

    def mark_drained(self, server_id: str) -> None:
        """Records that a server being released has no outstanding attempts."""
        holding = self._holdings.get(server_id)
        if holding is not None and holding.state is HoldingState.RELEASING:
            del self._holdings[server_id]

    def claims_due(self, peer_ids: Iterable[str]) -> list[ClaimTarget]:
        """Returns claims to send to the peers that have not answered yet."""
        targets = []
        self._claim_id += 1
        for peer_id in peer_ids:
            server_ids = tuple(
                server_id
                for server_id, holding in self._holdings.items()
                if holding.state is HoldingState.CLAIMING
                and peer_id not in holding.released_by
            )
            if server_ids:
                targets.append(ClaimTarget(peer_id, self._claim_id, server_ids))
        return targets

    def on_claim(
        self, claimant_id: str, server_ids: Iterable[str]
    ) -> list[str]:
        """Handles a peer's claim.

        A node that holds a server, or is still draining it, does not release
        it. Of two claimants, the one with the smaller ID wins, so that two
        nodes with different views do not both acquire the server.

        Returns:
            The servers that this node does not hold.
        """
        released = []
        for server_id in server_ids:
            holding = self._holdings.get(server_id)
            if holding is None:
                released.append(server_id)
            elif holding.state is HoldingState.CLAIMING:
                holding.released_by.discard(claimant_id)
                holding.min_claim_id_by_peer[claimant_id] = self._claim_id + 1
                if claimant_id < self._node_id:
                    # This node's claim starts again; the next `set_wanted`
                    # drops it if another node should hold the server.
                    self._holdings[server_id] = _Holding(self._claim_id + 1)
                    released.append(server_id)
        return released

    def on_released(
        self, peer_id: str, claim_id: int, server_ids: Iterable[str]
    ) -> None:
        """Records a peer's answer to a claim: it does not hold the servers."""
        for server_id in server_ids:
            holding = self._holdings.get(server_id)
            if holding is not None and holding.accepts_answer(
                peer_id, claim_id
            ):
                holding.released_by.add(peer_id)

    def advance(
        self,
        member_ids: Sequence[str],
        fenced_ids: frozenset[str],
        now_s: float,
    ) -> list[str]:
        """Updates the state of claims that are complete.

        Args:
            member_ids: The other members.
            fenced_ids: The fenced members: a majority reports their epoch as
                expired.
            now_s: The current time.

        Returns:
            The servers that this node has started to hold.
        """
        acquired = []
        for server_id, holding in self._holdings.items():
            if holding.state is HoldingState.CLAIMING:
                self._check_answers(holding, member_ids, fenced_ids, now_s)
            if (
                holding.state is HoldingState.WAITING
                and now_s >= holding.held_from_s
            ):
                holding.state = HoldingState.HELD
                acquired.append(server_id)
        self.change_counts[HolderChange.GAINED] += len(acquired)
        return acquired

    def _check_answers(
        self,
        holding: _Holding,
        member_ids: Sequence[str],
        fenced_ids: frozenset[str],
        now_s: float,
    ) -> None:
        unanswered_ids = [
            member_id
            for member_id in member_ids
            if member_id not in holding.released_by
        ]
        if any(member_id not in fenced_ids for member_id in unanswered_ids):
            return
        # The server may still be processing the last attempts of a fenced node.
        wait_s = self._max_attempt_duration_s if unanswered_ids else 0.0
        holding.state = HoldingState.WAITING
        holding.held_from_s = now_s + wait_s

    def is_held(self, server_id: str) -> bool:
        """Returns whether this node may dispatch to a server."""
        holding = self._holdings.get(server_id)
        return holding is not None and holding.state is HoldingState.HELD

    def is_wanted(self, server_id: str) -> bool:
        """Returns whether this node holds a server or is about to."""
        holding = self._holdings.get(server_id)
        return holding is not None and (
            holding.state is not HoldingState.RELEASING
        )

    def states(self) -> dict[str, HoldingState]:
        """Returns the state of each server in a holding, by server ID."""
        return {
            server_id: holding.state
            for server_id, holding in self._holdings.items()
        }
