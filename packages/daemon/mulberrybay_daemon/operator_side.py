"""What a node has for its operators: API, changes, metrics, log lines."""

from mulberrybay_core.fleet import Fleet
from mulberrybay_daemon.node_metrics import NodeMetrics
from mulberrybay_daemon.node_parts import NodeParts
from mulberrybay_daemon.operator_desk import OperatorDesk
from mulberrybay_daemon.operator_service import NodeOperatorService
from mulberrybay_daemon.result_store import ResultStore
from mulberrybay_daemon.settings import NodeSettings
from mulberrybay_daemon.state_watch import StateWatch
from mulberrybay_operators.application import OperatorApplication
from mulberrybay_runtime.clock import read_clock_s
from mulberrybay_runtime.logs import StructuredLog
from mulberrybay_runtime.metrics import MetricsPage


class OperatorSide:
    """Joins the components that serve operators."""

    def __init__(
        self, settings: NodeSettings, parts: NodeParts, log: StructuredLog
    ) -> None:
        self._desk = OperatorDesk(
            ResultStore(parts.store),
            parts.timers,
            parts.configuration,
            lambda: parts.membership.has_lease(read_clock_s()),
        )
        self._watch = StateWatch(parts, log)
        self.application = OperatorApplication(
            NodeOperatorService(parts, self._desk),
            settings.operator_token,
            MetricsPage(NodeMetrics(parts, self._desk)),
        )

    def start(self) -> None:
        """Starts the periodic work."""
        self._watch.start()

    def set_fleet(self, fleet: Fleet) -> None:
        """Takes the platform's list of VMs."""
        self._desk.set_fleet(fleet)
