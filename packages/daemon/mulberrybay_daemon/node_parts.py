"""The components of one node, for code that only reads them."""

from collections import Counter
from typing import NamedTuple

from mulberrybay_backends.connections import BackendPool
from mulberrybay_core.holdings import Holdings, HoldingState
from mulberrybay_core.membership import Membership
from mulberrybay_core.refusals import RefusalReason
from mulberrybay_daemon.configuration_task import ConfigurationTask
from mulberrybay_daemon.coordinator import Coordinator
from mulberrybay_daemon.holder import Holder
from mulberrybay_daemon.member_task import MemberTask
from mulberrybay_daemon.record_expiry import RecordExpiry
from mulberrybay_daemon.runs import RunCoordinator
from mulberrybay_daemon.service import NodeService
from mulberrybay_nodes.links import NodeLinks
from mulberrybay_platform.client import PlatformClient
from mulberrybay_runtime.callers.resources import CallerResources
from mulberrybay_runtime.faults import FaultLog
from mulberrybay_runtime.timers import Timers


class NodeParts(NamedTuple):
    """The components of one node."""

    timers: Timers
    faults: FaultLog
    membership: Membership
    holdings: Holdings
    holder: Holder
    backends: BackendPool
    links: NodeLinks
    store: PlatformClient
    configuration: ConfigurationTask
    members: MemberTask
    coordinator: Coordinator
    runs: RunCoordinator
    expiry: RecordExpiry
    service: NodeService
    caller_resources: CallerResources

    def active_count(self) -> int:
        """Returns the number of callers' requests in progress."""
        return self.coordinator.active_count + self.runs.active_count

    def refusal_counts(self) -> Counter[RefusalReason]:
        """Returns the number of refused requests by reason.

        A refused request was not begun.
        """
        counts = self.service.refusal_counts + self.coordinator.refusal_counts
        return counts + self.runs.refusal_counts

    def held_count(self) -> int:
        """Returns the number of backend servers that the node holds."""
        states = list(self.holdings.states().values())
        return states.count(HoldingState.HELD)

    def claiming_count(self) -> int:
        """Returns the number of backend servers with a pending claim."""
        return len(self.holdings.states()) - self.held_count()
