"""What a node answers to operators: status, the cluster, changes."""

from mulberrybay_core.configuration import Configuration
from mulberrybay_core.configuration_change import ChangeRequest
from mulberrybay_core.membership import make_listed_info
from mulberrybay_core.operator_messages import (
    AuditReply,
    ChangeReply,
    ClusterNode,
    ClusterStatus,
    NodeBurn,
    NodeStatus,
)
from mulberrybay_daemon.node_parts import NodeParts
from mulberrybay_daemon.operator_desk import OperatorDesk
from mulberrybay_runtime.clock import read_clock_s


class NodeOperatorService:
    """Answers for one node; see `OperatorService`."""

    def __init__(self, parts: NodeParts, desk: OperatorDesk) -> None:
        self._parts = parts
        self._membership = parts.membership
        self._configuration = parts.configuration
        self._desk = desk
        self._began_at_s = read_clock_s()

    def status(self) -> NodeStatus:
        """Returns what the node says of itself."""
        parts = self._parts
        return NodeStatus(
            info=self._membership.info,
            revision=self._configuration.current.revision,
            has_lease=self._membership.has_lease(read_clock_s()),
            epoch=self._membership.epoch,
            members=self._membership.peers,
            held_count=parts.held_count(),
            claiming_count=parts.claiming_count(),
            active_count=parts.active_count(),
            outstanding_count=parts.holder.outstanding_count,
            drains=parts.holder.drains(),
            is_platform_lost=parts.store.is_failing,
        )

    def cluster(self) -> ClusterStatus:
        """Returns the nodes and their revisions.

        A node that has said goodbye is no member, but it is one of the nodes
        while the platform lists it.
        """
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
        known_ids = {node.info.node_id for node in nodes}
        nodes += [
            ClusterNode(make_listed_info(vm), 0, False)
            for vm in self._desk.fleet.entry_vms
            if vm.node_id not in known_ids
        ]
        return ClusterStatus(node_id, revision, tuple(nodes))

    def burn(self) -> NodeBurn:
        """Returns what this node counted for the service-level report."""
        now_s = read_clock_s()
        return NodeBurn(
            node_id=self._membership.info.node_id,
            uptime_s=now_s - self._began_at_s,
            revision=self._configuration.current.revision,
            classes=self._parts.coordinator.levels.burn(
                now_s, self._configuration.current, self._desk.fleet
            ),
        )

    def configuration(self) -> Configuration:
        """Returns the configuration in force at this node."""
        return self._configuration.current

    def submit_change(self, change: ChangeRequest, reply: ChangeReply) -> None:
        """Has a change accepted; the reply is called exactly once."""
        self._desk.submit(change, reply)

    def read_audit(self, entry_count: int, reply: AuditReply) -> None:
        """Reads the newest audit entries, newest first."""
        self._desk.read_audit(entry_count, reply)
