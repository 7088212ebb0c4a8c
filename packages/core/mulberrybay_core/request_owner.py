"""Which node sends a request under which backend servers have crashed.

Nodes that each send it to one server crash as many servers before they learn of
each other's crashes, so one node sends it for all: its owner. Every node that knows
the same nodes names the same owner.
"""

import functools
from collections.abc import Collection, Iterable, Iterator
from typing import Final

from mulberrybay_core.edge_nodes import (
    MIN_ADVERTISED_PER_DOMAIN_COUNT,
    EdgeNodeInfo,
    EdgeNodes,
    choose_advertised,
    rank_key,
)

# A node that has just lost all servers may only have probed some that are down.
MIN_CUT_OFF_S: Final = 2.0


class OwnerCandidates:
    """The nodes among which owners are chosen.

    While the owner changes, nodes disagree on it and several send the same request.
    Nodes that lose their servers for a moment therefore remain candidates, and
    load doesn't change their number.
    """

    def __init__(self) -> None:
        # Since when nodes have reached no server, while others have.
        self._cut_off_since_s: dict[str, float] = {}

    def record_reach(
        self,
        serving_names: Iterable[str],
        reaching_names: Collection[str],
        now_s: float,
    ) -> None:
        """Records which nodes reach servers.

        Args:
            serving_names: The nodes that serve callers, including this one.
            reaching_names: Those of them that reach servers.
            now_s: The time.
        """
        cut_off = {*serving_names} - {*reaching_names}
        if not reaching_names:
            cut_off.clear()
        self._cut_off_since_s = {
            name: self._cut_off_since_s.get(name, now_s) for name in cut_off
        }

    def choose(
        self, serving: Iterable[EdgeNodeInfo], now_s: float
    ) -> list[EdgeNodeInfo]:
        """Returns the candidates among the nodes that serve callers.

        They are few and the first of their failure domains, so that all nodes know
        the same ones also where nodes are many.
        """
        infos = [
            info
            for info in serving
            if now_s - self._cut_off_since_s.get(info.name, now_s)
            < MIN_CUT_OFF_S
        ]
        domain_count = len({info.failure_domain for info in infos})
        return choose_advertised(
            infos, MIN_ADVERTISED_PER_DOMAIN_COUNT * domain_count
        )


def rank_owners(
    identity: bytes, nodes: Iterable[EdgeNodeInfo]
) -> list[EdgeNodeInfo]:
    """Returns nodes in the order in which they own a request."""
    return sorted(nodes, key=lambda info: _rank(identity, info))


def _rank(identity: bytes, info: EdgeNodeInfo) -> str:
    return rank_key(f"{identity.hex()} {info.name}")


def find_owned(
    identities: Iterable[bytes], nodes: Collection[EdgeNodeInfo], own_name: str
) -> Iterator[bytes]:
    """Finds the requests that one node owns.

    Args:
        identities: The requests to choose from.
        nodes: The nodes that may own them.
        own_name: The name of the node.

    Yields:
        Those that it owns.
    """
    if all(info.name != own_name for info in nodes):
        return
    for identity in identities:
        owner = min(nodes, key=functools.partial(_rank, identity))
        if owner.name == own_name:
            yield identity


def choose_owner(
    ranked: Iterable[EdgeNodeInfo],
    nodes: EdgeNodes,
    configuration_revision: int,
    unreached_names: Collection[str],
) -> EdgeNodeInfo | None:
    """Returns the node to which this one hands a request.

    Nodes with an older configuration than this node's are passed over: its callers
    may rely on the newer one already.

    Args:
        ranked: The nodes that may own it; see `rank_owners`.
        nodes: What this node knows of the others.
        configuration_revision: The revision that this node has.
        unreached_names: Nodes to which it could not be handed.

    Returns:
        The node; None if this node is to send it, or no node can.
    """
    for info in ranked:
        if info.name == nodes.own_info.name:
            if not unreached_names:
                return None
        elif info.name not in unreached_names and nodes.has_configuration(
            info.name, configuration_revision
        ):
            return info
    return None
