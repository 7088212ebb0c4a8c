"""Answers operators' requests: status, cluster, burn rates, changes."""

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
from mulberrybay_daemon.change_handler import ChangeHandler
from mulberrybay_daemon.node_parts import NodeParts
from mulberrybay_runtime.clock import read_clock_s


class NodeOperatorService:
    """Implements `OperatorService` for one node."""

    def __init__(self, parts: NodeParts, change_handler: ChangeHandler) -> None:
        self._parts = parts
        self._membership = parts.membership
        self._configuration = parts.configuration
        self._change_handler = change_handler
        self._started_at_s = read_clock_s()

    def status(self) -> NodeStatus:
        """Returns the status of this node."""
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
        """Returns the nodes and their configuration revisions.

        A node that sent a goodbye is no longer a member, but it is included
        while the platform lists it.
        """
        revision = self._configuration.current.revision
        live = self._membership.live_nodes(read_clock_s())
        live_ids = {info.node_id for info in live}
        peers = sorted(self._membership.peers)
        nodes = [ClusterNode(self._membership.info, revision, True)]
        nodes += [
            ClusterNode(
                info,
                self._membership.peer_revision(info.node_id),
                info.node_id in live_ids,
            )
            for info in peers
        ]
        node_id = self._membership.info.node_id
        known_ids = {node.info.node_id for node in nodes}
        nodes += [
            ClusterNode(make_listed_info(vm), 0, False)
            for vm in self._change_handler.fleet.entry_vms
            if vm.node_id not in known_ids
        ]
        return ClusterStatus(node_id, revision, tuple(nodes))

    def burn(self) -> NodeBurn:
        """Returns the counts of this node for the service-level report."""
        now_s = read_clock_s()
        return NodeBurn(
            node_id=self._membership.info.node_id,
            uptime_s=now_s - self._started_at_s,
            revision=self._configuration.current.revision,
            classes=self._parts.coordinator.levels.burn(
                now_s, self._configuration.current, self._change_handler.fleet
            ),
        )

    def configuration(self) -> Configuration:
        """Returns the configuration in force at this node."""
        return self._configuration.current

    def submit_change(self, change: ChangeRequest, reply: ChangeReply) -> None:
        """Applies a change; calls `reply` exactly once with the result."""
        self._change_handler.submit(change, reply)

    def read_audit(self, entry_count: int, reply: AuditReply) -> None:
        """Reads the newest audit entries, newest first."""
        self._change_handler.read_audit(entry_count, reply)
