"""Which node holds which backend server, and how a holding moves.

The holder is chosen by rendezvous hashing over the live nodes, those of the
backend server's failure domain first. A node that wants a server claims it
from every other member and may dispatch to it once each has released it or is
buried by a majority.
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
    """Returns the node that should hold a server; None without nodes."""
    if not nodes:
        return None
    return max(nodes, key=lambda node: _rank(server, node))


def _rank(server: BackendServer, node: NodeInfo) -> tuple[bool, bytes]:
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
    """How this node came to hold a backend server, or ceased to."""

    GAINED = "gained"
    HANDED_OVER = "handed_over"
    LOST = "lost"


class _Holding:
    def __init__(self, first_claim_id: int) -> None:
        self.state = HoldingState.CLAIMING
        self.released_by: set[str] = set()
        self.first_claim_id = first_claim_id
        # Answers to claims before a peer's own claim no longer count.
        self.first_claim_id_by_peer: dict[str, int] = {}
        self.held_from_s = 0.0

    def accepts(self, peer_id: str, claim_id: int) -> bool:
        first = self.first_claim_id_by_peer.get(peer_id, self.first_claim_id)
        return self.state is HoldingState.CLAIMING and claim_id >= first


class ClaimTarget(NamedTuple):
    """The servers that a claim to one peer must name."""

    peer_id: str
    claim_id: int
    server_ids: tuple[str, ...]


class Holdings:
    """Decides what this node holds; sends nothing itself."""

    def __init__(self, node_id: str, attempt_limit_s: float) -> None:
        """Starts with nothing held.

        Args:
            node_id: This node.
            attempt_limit_s: The longest time that an attempt of any holder
                may run at a backend server.
        """
        self._node_id = node_id
        self._attempt_limit_s = attempt_limit_s
        self._holdings: dict[str, _Holding] = {}
        self._claim_id = 0
        self.change_counts: Counter[HolderChange] = Counter()

    def drop_all(self) -> None:
        """Gives everything up at once, since the lease may have lapsed."""
        states = [holding.state for holding in self._holdings.values()]
        lost_count = states.count(HoldingState.HELD)
        self.change_counts[HolderChange.LOST] += lost_count
        self._holdings.clear()

    def set_wanted(self, server_ids: Iterable[str]) -> list[str]:
        """Takes the servers that this node should hold.

        Returns:
            The servers that it must now release, held or only claimed: what
            is queued for them goes back, no new dispatch, and `mark_drained`
            once nothing is outstanding.
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
        """Notes that nothing is outstanding at a server being released."""
        holding = self._holdings.get(server_id)
        if holding is not None and holding.state is HoldingState.RELEASING:
            del self._holdings[server_id]

    def claims_due(self, peer_ids: Iterable[str]) -> list[ClaimTarget]:
        """Returns the claims to send to peers that have not answered."""
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
        """Answers a peer's claim.

        A node that holds a server, or is still draining it, does not release
        it. Of two claimants the one with the smaller identity wins, so that
        two nodes with different views do not both go ahead.

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
                holding.first_claim_id_by_peer[claimant_id] = self._claim_id + 1
                if claimant_id < self._node_id:
                    # Claimed anew: `set_wanted` gives it up if it must.
                    self._holdings[server_id] = _Holding(self._claim_id + 1)
                    released.append(server_id)
        return released

    def on_released(
        self, peer_id: str, claim_id: int, server_ids: Iterable[str]
    ) -> None:
        """Takes a peer's answer to a claim: it does not hold these servers."""
        for server_id in server_ids:
            holding = self._holdings.get(server_id)
            if holding is not None and holding.accepts(peer_id, claim_id):
                holding.released_by.add(peer_id)

    def advance(
        self,
        member_ids: Sequence[str],
        buried_ids: frozenset[str],
        now_s: float,
    ) -> list[str]:
        """Moves claims that are settled on.

        Args:
            member_ids: The other members.
            buried_ids: Those whose epoch a majority reports as lapsed.
            now_s: The time.

        Returns:
            The servers that this node holds from now on.
        """
        acquired = []
        for server_id, holding in self._holdings.items():
            if holding.state is HoldingState.CLAIMING:
                self._settle(holding, member_ids, buried_ids, now_s)
            if (
                holding.state is HoldingState.WAITING
                and now_s >= holding.held_from_s
            ):
                holding.state = HoldingState.HELD
                acquired.append(server_id)
        self.change_counts[HolderChange.GAINED] += len(acquired)
        return acquired

    def _settle(
        self,
        holding: _Holding,
        member_ids: Sequence[str],
        buried_ids: frozenset[str],
        now_s: float,
    ) -> None:
        missing = [
            member_id
            for member_id in member_ids
            if member_id not in holding.released_by
        ]
        if any(member_id not in buried_ids for member_id in missing):
            return
        # A buried node's last attempts may still run at the server.
        wait_s = self._attempt_limit_s if missing else 0.0
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
        """Returns the state of each server known here."""
        return {
            server_id: holding.state
            for server_id, holding in self._holdings.items()
        }
