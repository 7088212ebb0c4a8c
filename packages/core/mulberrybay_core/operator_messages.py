"""Messages between the operator interface and a node."""

from collections.abc import Callable
from typing import NamedTuple, Protocol

from expression import Result

from mulberrybay_core.audit import AuditEntry
from mulberrybay_core.burn import ClassBurn
from mulberrybay_core.configuration import Configuration
from mulberrybay_core.configuration_change import ChangeRequest
from mulberrybay_core.errors import Failure
from mulberrybay_core.member_messages import NodeInfo


class DrainingServer(NamedTuple):
    """A backend server that gets no new work and still has work in progress.

    Attributes:
        server_id: The backend server.
        failure_domain: The failure domain that it runs in.
        outstanding_count: Attempts that it hasn't answered yet.
    """

    server_id: str
    failure_domain: str
    outstanding_count: int


class NodeStatus(NamedTuple):
    """The state of a node, as it reports it.

    Attributes:
        info: The node.
        revision: The configuration revision that it applies.
        has_lease: Whether it has a lease, without which it must not act.
        epoch: Its current epoch.
        members: The other members in its view.
        held_count: Backend servers that it holds.
        claiming_count: Backend servers that it is claiming.
        active_count: Callers' requests in progress.
        outstanding_count: Attempts outstanding at backend servers.
        drains: Backend servers held by this node that are draining.
        is_platform_lost: Whether the platform is unreachable: the node's last
            calls to it all failed.
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
    drains: tuple[DrainingServer, ...]
    is_platform_lost: bool


class ClusterNode(NamedTuple):
    """One node as another sees it.

    Attributes:
        info: The node.
        revision: The configuration revision that it last reported.
        is_heard: Whether a message from it arrived within the length of a
            lease.
    """

    info: NodeInfo
    revision: int
    is_heard: bool


class ClusterStatus(NamedTuple):
    """The nodes and their configuration revisions, as one node sees them.

    Attributes:
        node_id: The node that answers.
        revision: The configuration revision that it applies.
        nodes: The nodes that it knows, itself first.
    """

    node_id: str
    revision: int
    nodes: tuple[ClusterNode, ...]


class NodeBurn(NamedTuple):
    """The counts of one node for the service-level report.

    Attributes:
        node_id: The node.
        uptime_s: How long it has been counting.
        revision: The configuration revision that it applies.
        classes: Its counts for each class of that revision.
    """

    node_id: str
    uptime_s: float
    revision: int
    classes: tuple[ClassBurn, ...]


class ChangeAccepted(NamedTuple):
    """The platform has stored a change.

    Attributes:
        change_id: The change.
        revision: The revision that it created.
        was_repeat: Whether the change had already been accepted before this
            request, which is a retry.
    """

    change_id: str
    revision: int
    was_repeat: bool


class ChangeRefused(NamedTuple):
    """A change was not accepted, or it is unknown whether it was.

    Attributes:
        failure: The reason. If its run state is UNKNOWN, the change may
            still take effect, so a retry must use the same change_id.
        current_revision: The newest accepted revision known; 0 if unknown.
    """

    failure: Failure
    current_revision: int


ChangeReply = Callable[[Result[ChangeAccepted, ChangeRefused]], None]
AuditReply = Callable[[Result[tuple[AuditEntry, ...], Failure]], None]


class OperatorService(Protocol):
    """The methods of a node that the operator interface calls."""

    def status(self) -> NodeStatus:
        """Returns the state of this node."""

    def cluster(self) -> ClusterStatus:
        """Returns the nodes and their configuration revisions."""

    def burn(self) -> NodeBurn:
        """Returns this node's counts for the service-level report."""

    def configuration(self) -> Configuration:
        """Returns the configuration that this node applies."""

    def submit_change(self, change: ChangeRequest, reply: ChangeReply) -> None:
        """Submits a change; `reply` is called exactly once."""

    def read_audit(self, entry_count: int, reply: AuditReply) -> None:
        """Passes the newest audit entries to `reply`, newest first."""
