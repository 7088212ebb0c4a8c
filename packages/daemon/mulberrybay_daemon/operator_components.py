"""The components for operators: API, changes, metrics, log of changes."""

from mulberrybay_core.fleet import Fleet
from mulberrybay_daemon.change_handler import ChangeHandler
from mulberrybay_daemon.node_metrics import NodeMetrics
from mulberrybay_daemon.node_parts import NodeParts
from mulberrybay_daemon.operator_service import NodeOperatorService
from mulberrybay_daemon.settings import NodeSettings
from mulberrybay_daemon.state_watch import StateWatch
from mulberrybay_daemon.store_adapter import PlatformStoreAdapter
from mulberrybay_operators.application import OperatorApplication
from mulberrybay_runtime.clock import read_clock_s
from mulberrybay_runtime.logs import StructuredLog
from mulberrybay_runtime.metrics import MetricsPage


class OperatorComponents:
    """Builds and connects the components that serve operators."""

    def __init__(
        self, settings: NodeSettings, parts: NodeParts, log: StructuredLog
    ) -> None:
        self._change_handler = ChangeHandler(
            PlatformStoreAdapter(parts.store),
            parts.timers,
            parts.configuration,
            lambda: parts.membership.has_lease(read_clock_s()),
        )
        self._state_watch = StateWatch(parts, log)
        self.application = OperatorApplication(
            NodeOperatorService(parts, self._change_handler),
            settings.operator_token,
            MetricsPage(NodeMetrics(parts, self._change_handler)),
        )

    def start(self) -> None:
        """Starts to log changes of the node's state."""
        self._state_watch.start()

    def set_fleet(self, fleet: Fleet) -> None:
        """Updates the list of VMs, against which names are checked."""
        self._change_handler.set_fleet(fleet)
