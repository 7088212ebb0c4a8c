"""Reads a resource from every node: the given nodes and their members.

The command line sends a request to each node, so that the nodes need not
exchange data for it. A node without a usable response is listed with the
reason.
"""

import time
from collections.abc import Iterable
from typing import Any, Final, NamedTuple

from expression import Error, Ok, Result

from mulberrybay_core.addresses import Address, parse_address
from mulberrybay_operators.exit_codes import CommandFailure, ExitCode
from mulberrybay_operators.node_client import NodeClient, NodeRequest

NODE_TIMEOUT_S: Final = 2.0


class MissingNode(NamedTuple):
    """A node that is missing from a report.

    Attributes:
        node_id: The identity of the node; empty if only its address is known.
        detail: The reason, with the address where it is known.
    """

    node_id: str
    detail: str

    def __str__(self) -> str:
        """Returns the node and the reason why it is missing."""
        if not self.node_id:
            return self.detail
        return f"{self.node_id} ({self.detail})"


class ClusterResponses(NamedTuple):
    """The responses of all nodes to a request for one resource.

    Attributes:
        members: The entry of each node in the given nodes' lists of members,
            by identity.
        documents: The resource as each node returned it, by identity.
        silent: The nodes without a usable response, or not asked; named as
            the JSON key of reports.
    """

    members: dict[str, dict[str, Any]]
    documents: dict[str, dict[str, Any]]
    silent: tuple[MissingNode, ...]


class _NodeLocation(NamedTuple):
    """The address of a node, whose identity is empty if it is unknown."""

    node_id: str
    address: Address


class NodeFinder:
    """Reads one resource from every node."""

    def __init__(self, client: NodeClient) -> None:
        self._client = client
        self._stop_at_s = 0.0
        self._members: dict[str, dict[str, Any]] = {}
        self._documents: dict[str, dict[str, Any]] = {}
        # By address, or by identity if no request was sent.
        self._silent: dict[str, MissingNode] = {}

    def fetch_from_nodes(
        self, path: str, *, only_given: bool
    ) -> Result[ClusterResponses, CommandFailure]:
        """Reads a resource from the given nodes, then from their members.

        Args:
            path: The path of the resource, which must have the key "node_id".
            only_given: Whether to send no request to nodes that were not
                given, and list them as missing.
        """
        self._stop_at_s = time.monotonic() + self._client.timeout_s
        self._members, self._documents, self._silent = {}, {}, {}
        for address in self._client.addresses:
            if self._fetch_from_node(_NodeLocation("", address), path):
                self._fetch_members(address)
        if not self._members:
            detail = describe_missing(self._silent.values())
            return Error(
                CommandFailure(ExitCode.FAILED, f"no node answered: {detail}")
            )
        self._fetch_from_members(path, only_given=only_given)
        silent = tuple(self._silent.values())
        return Ok(ClusterResponses(self._members, self._documents, silent))

    def _fetch_members(self, address: Address) -> None:
        """Adds the members that a node lists; keeps earlier entries."""
        match self._fetch_json(address, "/v1/cluster"):
            case Result(tag="ok", ok={"nodes": list(nodes)}):
                for node in nodes:
                    self._add_member(node)
            case Result(tag="ok"):
                detail = f"{address} returned no list of members"
                self._silent[str(address)] = MissingNode("", detail)
            case Result(error=detail):
                self._silent[str(address)] = MissingNode("", detail)

    def _add_member(self, node: dict[str, Any]) -> None:
        entry = self._members.setdefault(node["node_id"], node)
        if not entry.get("operator_address"):
            entry["operator_address"] = node.get("operator_address", "")

    def _fetch_from_members(self, path: str, *, only_given: bool) -> None:
        """Reads from the remaining members, recently heard ones first."""
        members = [
            node
            for node_id, node in self._members.items()
            if node_id not in self._documents
        ]
        for node in sorted(members, key=lambda node: not node["is_heard"]):
            node_id, address = node["node_id"], node["operator_address"]
            if address in self._silent:
                silent = self._silent[address]
                self._silent[address] = silent._replace(node_id=node_id)
            elif only_given:
                detail = "not asked: --only"
                self._silent[node_id] = MissingNode(node_id, detail)
            elif not address:
                detail = "its address is unknown; use --node if it runs"
                self._silent[node_id] = MissingNode(node_id, detail)
            else:
                self._fetch_from_node(
                    _NodeLocation(node_id, parse_address(address)), path
                )

    def _fetch_from_node(self, location: _NodeLocation, path: str) -> bool:
        """Reads from one node; returns whether the expected node responded."""
        match self._fetch_json(location.address, path):
            case Result(tag="ok", ok={"node_id": str(node_id)} as document):
                self._documents.setdefault(node_id, document)
                if location.node_id in ("", node_id):
                    return True
                detail = f"{location.address} is {node_id}"
            case Result(tag="ok"):
                detail = f"{location.address} is not a node"
            case Result(error=detail):
                pass
        silent = MissingNode(location.node_id, detail)
        self._silent[str(location.address)] = silent
        return False

    def _fetch_json(self, address: Address, path: str) -> Result[Any, str]:
        """Returns a resource of one node as JSON; the error is a text."""
        remaining_s = min(NODE_TIMEOUT_S, self._stop_at_s - time.monotonic())
        if remaining_s <= 0:
            return Error(f"{address}: no time left; raise --timeout")
        match self._client.send_once(
            address, NodeRequest("GET", path), remaining_s
        ):
            case Result(tag="ok", ok=response) if response.status == 200:
                return Ok(response.json())
            case Result(tag="ok", ok=response):
                return Error(response.describe())
            case Result(error=no_response):
                return Error(no_response.detail)


def describe_missing(nodes: Iterable[MissingNode]) -> str:
    """Returns the missing nodes and the reasons as text."""
    return "; ".join(str(node) for node in nodes)
