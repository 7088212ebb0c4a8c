"""Messages between the operators' interface and a node."""

from typing import NamedTuple, Protocol

from mulberrybay_core.member_messages import NodeInfo


class NodeStatus(NamedTuple):
    """What a node says of itself.

    Attributes:
        info: The node.
        revision: The configuration revision in force.
        has_lease: Whether it may act.
        epoch: Its present epoch.
        members: The other members it knows of.
        held_count: Backend servers that it holds.
        claiming_count: Backend servers that it is about to hold.
        active_count: Requests of callers in progress.
        outstanding_count: Attempts outstanding at backend servers.
    """

    info: NodeInfo
    revision: int
    has_lease: bool
    epoch: int
    members: tuple[NodeInfo, ...]
    held_count: int
    claiming_count: int
    active_count: int
    outstanding_count: int


class OperatorService(Protocol):
    """What the operators' interface asks of a node."""

    def status(self) -> NodeStatus:
        """Returns what the node says of itself."""
