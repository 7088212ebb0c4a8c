"""What a node answers to operators: status, the cluster, changes."""

from collections.abc import Callable

from mulberrybay_core.configuration import Configuration
from mulberrybay_core.configuration_change import ChangeRequest
from mulberrybay_core.holdings import Holdings, HoldingState
from mulberrybay_core.membership import Membership
from mulberrybay_core.operator_messages import (
    AuditReply,
    ChangeReply,
    ClusterNode,
    ClusterStatus,
    NodeStatus,
)
from mulberrybay_daemon.configuration_task import ConfigurationTask
from mulberrybay_daemon.holder import Holder
from mulberrybay_daemon.operator_desk import OperatorDesk
from mulberrybay_runtime.clock import read_clock_s


class NodeOperatorService:
    """Answers for one node; see `OperatorService`."""

    def __init__(
        self,
        membership: Membership,
        holdings: Holdings,
        holder: Holder,
        configuration_task: ConfigurationTask,
        desk: OperatorDesk,
        active_count: Callable[[], int],
    ) -> None:
        self._membership = membership
        self._holdings = holdings
        self._holder = holder
        self._configuration = configuration_task
        self._desk = desk
        self._active_count = active_count

    def status(self) -> NodeStatus:
        """Returns what the node says of itself."""
        states = list(self._holdings.states().values())
        held_count = states.count(HoldingState.HELD)
        return NodeStatus(
            info=self._membership.info,
            revision=self._configuration.current.revision,
            has_lease=self._membership.has_lease(read_clock_s()),
            epoch=self._membership.epoch,
            members=self._membership.peers,
            held_count=held_count,
            claiming_count=len(states) - held_count,
            active_count=self._active_count(),
            outstanding_count=self._holder.outstanding_count,
        )

    def cluster(self) -> ClusterStatus:
        """Returns the nodes and their revisions."""
        revision = self._configuration.current.revision
        live = self._membership.live_nodes(read_clock_s())
        heard_ids = {info.node_id for info in live}
        peers = sorted(self._membership.peers)
        nodes = [ClusterNode(self._membership.info, revision, True)]
        nodes += [
            ClusterNode(
                info,
                self._membership.peer_revision(info.node_id),
                info.node_id in heard_ids,
            )
            for info in peers
        ]
        node_id = self._membership.info.node_id
        return ClusterStatus(node_id, revision, tuple(nodes))

    def configuration(self) -> Configuration:
        """Returns the configuration in force at this node."""
        return self._configuration.current

    def submit_change(self, change: ChangeRequest, reply: ChangeReply) -> None:
        """Has a change accepted; the reply is called exactly once."""
        self._desk.submit(change, reply)

    def read_audit(self, entry_count: int, reply: AuditReply) -> None:
        """Reads the newest audit entries, newest first."""
        self._desk.read_audit(entry_count, reply)
