"""The components of a node that its metrics are read from."""

from collections.abc import Callable
from typing import TYPE_CHECKING, NamedTuple

from mulberrybay_core.edge_nodes import EdgeNodes
from mulberrybay_core.overload.answer_reserve import AnswerReserve
from mulberrybay_core.server_reach import ServerReach
from mulberrybay_edge.caller_service import RoutedService
from mulberrybay_edge.crash_watch import CrashWatch
from mulberrybay_edge.decision_log import DecisionLog
from mulberrybay_edge.dispatcher import Dispatcher
from mulberrybay_edge.platform_view import PlatformView
from mulberrybay_edge.reach_monitor import ReachMonitor
from mulberrybay_edge.request_context import RequestCounts
from mulberrybay_edge.rollout_control import RolloutControl
from mulberrybay_edge.server_connections import ServerConnections
from mulberrybay_edge.store_watch import StoreWatch
from mulberrybay_edge.tenant_gate import TenantGate
from mulberrybay_platform.client import PlatformClient
from mulberrybay_runtime.callers.server import CallerServer
from mulberrybay_runtime.faults import FaultLog

if TYPE_CHECKING:
    from mulberrybay_edge.peer_link import PeerLink


class MetricSources(NamedTuple):
    """The components of a node that its metrics are read from.

    Attributes:
        find_peer_link: Returns the link to the other nodes; None until it is
            opened, shortly after the start of the node.
        rollouts: This node's part in rollouts; None if it takes none.
    """

    service: RoutedService
    counts: RequestCounts
    dispatcher: Dispatcher
    reach: ServerReach
    reach_monitor: ReachMonitor
    connections: ServerConnections
    crash_watch: CrashWatch
    gate: TenantGate
    callers: CallerServer
    answer_reserve: AnswerReserve
    store: PlatformClient
    view: PlatformView
    watches: list[StoreWatch]
    nodes: EdgeNodes
    decisions: DecisionLog
    faults: FaultLog
    find_peer_link: Callable[[], "PeerLink | None"]
    rollouts: RolloutControl | None
