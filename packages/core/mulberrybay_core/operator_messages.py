"""Messages between the operators' interface and a node."""

from collections.abc import Callable
from typing import NamedTuple, Protocol

from expression import Result

from mulberrybay_core.audit import AuditEntry
from mulberrybay_core.burn import ClassBurn
from mulberrybay_core.configuration import Configuration
from mulberrybay_core.configuration_change import ChangeRequest
from mulberrybay_core.errors import Failure
from mulberrybay_core.member_messages import NodeInfo


class Drain(NamedTuple):
    """A backend server that gets no new work and still has some."""

    server_id: str
    failure_domain: str
    outstanding_count: int


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
        drains: Backend servers held here that finish their last work.
        is_platform_lost: Whether its last calls to the platform all failed.
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
    drains: tuple[Drain, ...]
    is_platform_lost: bool


class ClusterNode(NamedTuple):
    """One node as another sees it.

    Attributes:
        info: The node.
        revision: The configuration revision that it last named.
        is_heard: Whether it was heard within the length of a lease.
    """

    info: NodeInfo
    revision: int
    is_heard: bool


class ClusterStatus(NamedTuple):
    """The nodes and their revisions, as one node sees them.

    Attributes:
        node_id: The node that answers.
        revision: The revision in force there.
        nodes: All members, the answering node first.
    """

    node_id: str
    revision: int
    nodes: tuple[ClusterNode, ...]


class NodeBurn(NamedTuple):
    """What one node counted for the service-level report.

    Attributes:
        node_id: The node.
        uptime_s: Since when it has counted.
        revision: The configuration revision in force there.
        classes: Its counts for each class in force.
    """

    node_id: str
    uptime_s: float
    revision: int
    classes: tuple[ClassBurn, ...]


class ChangeAccepted(NamedTuple):
    """The platform has confirmed a change.

    Attributes:
        change_id: The change.
        revision: The revision that it led to.
        was_repeat: Whether an earlier try had been accepted already.
    """

    change_id: str
    revision: int
    was_repeat: bool


class ChangeRefused(NamedTuple):
    """A change was not accepted, or nobody knows whether it was.

    Attributes:
        failure: Why; its run state UNKNOWN means that the change may yet
            prove accepted, so a retry must repeat the change's identity.
        current_revision: The newest accepted revision known; 0 if unknown.
    """

    failure: Failure
    current_revision: int


ChangeReply = Callable[[Result[ChangeAccepted, ChangeRefused]], None]
AuditReply = Callable[[Result[tuple[AuditEntry, ...], Failure]], None]


class OperatorService(Protocol):
    """What the operators' interface asks of a node."""

    def status(self) -> NodeStatus:
        """Returns what the node says of itself."""

    def cluster(self) -> ClusterStatus:
        """Returns the nodes and their revisions."""

    def burn(self) -> NodeBurn:
        """Returns what this node counted for the service-level report."""

    def configuration(self) -> Configuration:
        """Returns the configuration in force at this node."""

    def submit_change(self, change: ChangeRequest, reply: ChangeReply) -> None:
        """Has a change accepted; the reply is called exactly once."""

    def read_audit(self, entry_count: int, reply: AuditReply) -> None:
        """Reads the newest audit entries, newest first."""
