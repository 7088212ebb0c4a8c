"""The node: connects the components of the other modules in one process."""

import contextlib
import random
import time
import uuid
from types import TracebackType
from typing import Any, Final, Self

from circuits import BaseComponent, handler

from mulberrybay_backends.connections import BackendPool
from mulberrybay_backends.health import HealthConnections
from mulberrybay_callers.application import CallerApplication
from mulberrybay_core.admission import Admission
from mulberrybay_core.attempts import AttemptBatch, AttemptReply
from mulberrybay_core.configuration import Configuration
from mulberrybay_core.fleet import Fleet
from mulberrybay_core.fleet_messages import FleetRequest, FleetUpdate
from mulberrybay_core.holdings import Holdings
from mulberrybay_core.member_messages import (
    Claim,
    ClaimAnswer,
    ConfigurationRequest,
    ConfigurationUpdate,
    Goodbye,
    Heartbeat,
    HeartbeatAck,
    NodeInfo,
)
from mulberrybay_core.membership import Membership
from mulberrybay_core.replica_choice import LeastExpectedWait
from mulberrybay_core.server_waits import ServerWaits
from mulberrybay_daemon.attempt_router import AttemptRouter, HolderMap
from mulberrybay_daemon.configuration_task import ConfigurationTask
from mulberrybay_daemon.coordinator import Coordinator
from mulberrybay_daemon.fleet_task import FleetTask
from mulberrybay_daemon.gate import Gate
from mulberrybay_daemon.graceful_stop import GracefulStop
from mulberrybay_daemon.health_task import HealthTask
from mulberrybay_daemon.holder import MAX_ATTEMPT_DURATION_S, Holder
from mulberrybay_daemon.leaving import LeavingServers
from mulberrybay_daemon.member_task import MemberTask
from mulberrybay_daemon.node_parts import NodeParts
from mulberrybay_daemon.operator_components import OperatorComponents
from mulberrybay_daemon.record_expiry import RecordExpiry
from mulberrybay_daemon.runs import RunCoordinator
from mulberrybay_daemon.service import NodeService
from mulberrybay_daemon.settings import NodeSettings
from mulberrybay_daemon.store_adapter import PlatformStoreAdapter
from mulberrybay_nodes.links import Link, NodeLinks
from mulberrybay_nodes.peer_messages import (
    AttemptReplyMessage,
    CancelMessage,
    PeerMessage,
)
from mulberrybay_platform.client import PlatformClient, PlatformSettings
from mulberrybay_runtime.callers.resources import CallerResources
from mulberrybay_runtime.callers.turns import TurnLoop
from mulberrybay_runtime.clock import read_clock_s
from mulberrybay_runtime.faults import FaultLog
from mulberrybay_runtime.http_server import HttpServer, ListenerParts
from mulberrybay_runtime.logs import StructuredLog
from mulberrybay_runtime.streams import StreamPoller, Streams
from mulberrybay_runtime.timers import Timers

SERVING_CHECK_PERIOD_S: Final = 0.2


class Node(BaseComponent):
    """One node of the query tier.

    It is a context manager: it listens and works while the context is active.
    """

    channel = "node"

    def __init__(self, settings: NodeSettings) -> None:
        """Builds the components; listens only once the context is entered."""
        super().__init__()
        self._settings = settings
        self._log = StructuredLog("node")
        self._exit_stack = contextlib.ExitStack()
        self._faults = FaultLog().register(self)
        self._poller = StreamPoller().register(self)
        self._timers = Timers().register(self)
        self._streams = Streams(self._poller, self._timers.run_prompt).register(
            self
        )
        self._caller_resources = CallerResources(settings.machine)
        self._links = NodeLinks(
            self._streams, self._timers, self, self._caller_resources
        )
        self._platform = PlatformClient(
            PlatformSettings(
                settings.platform_address, settings.platform_timeout_s
            ),
            self._streams,
            self._timers,
        )
        self._store = PlatformStoreAdapter(self._platform)
        self._build_holding()
        self._build_membership()
        self._build_requests()
        self._caller_application = CallerApplication(self._service)
        parts = self._make_parts()
        self._operators = OperatorComponents(settings, parts, self._log)
        self._build_servers()
        self._stop = GracefulStop(
            parts, self._caller_application, self._log, self.stop
        )
        self._stop.count_unsent_answers = lambda: (
            self._caller_server.pending_count
        )

    def _build_servers(self) -> None:
        """Builds the HTTP servers for callers and operators."""
        listener_parts = ListenerParts(
            self._streams,
            self._timers,
            self._caller_resources,
            TurnLoop(self._timers).register(self),
        )
        self._caller_server = HttpServer(
            self._caller_application, "callers", listener_parts
        )
        self._operator_server = HttpServer(
            self._operators.application,
            "operators",
            listener_parts,
            self._caller_resources.connection_limits.own_answer_count,
        )

    def _build_holding(self) -> None:
        """Builds the components that hold and use backend servers."""
        settings = self._settings
        info = NodeInfo(
            node_id=settings.node_id,
            failure_domain=settings.failure_domain,
            peer_address=(
                settings.advertised_peer_address or settings.peer_address
            ),
            caller_address=settings.caller_address,
            operator_port=settings.operator_address.port,
        )
        self._membership = Membership(
            settings.membership, info, int(time.time() * 1000)
        )
        self._holdings = Holdings(settings.node_id, MAX_ATTEMPT_DURATION_S)
        leaving_servers = LeavingServers()
        self._health_connections = HealthConnections(self._streams)
        self._health = HealthTask(
            self._holdings,
            leaving_servers,
            self._health_connections,
            self._timers,
        )
        self._gate = Gate(self._membership, leaving_servers)
        self._backends = BackendPool(self._streams, self._timers)
        self._holder = Holder(
            self._holdings,
            self._gate,
            leaving_servers,
            self._backends,
            self._timers,
            self._warm_latency_s,
        )

    def _build_membership(self) -> None:
        """Builds the components for the lease and the configuration."""
        settings = self._settings
        self._holder_map = HolderMap()
        self._configuration = ConfigurationTask(
            settings.node_id,
            self._store,
            self._timers,
            lambda: self._links,
            self._on_configuration,
        )
        self._members = MemberTask(
            settings.membership,
            self._membership,
            self._holdings,
            self._holder_map,
            self._holder,
            self._timers,
            lambda: self._links,
            self._configuration,
        )

    def _build_requests(self) -> None:
        """Builds the components that process callers' requests."""
        settings = self._settings
        process_id = uuid.uuid4().hex[:12]
        self._router = AttemptRouter(
            settings.node_id,
            self._holder_map,
            self._holder,
            lambda: self._links,
        )
        self._coordinator = Coordinator(
            process_id,
            self._gate,
            self._router,
            Admission(settings.admission),
            self._timers,
            settings.policy,
        )
        self._runs = RunCoordinator(
            process_id,
            settings.runs,
            self._gate,
            self._router,
            self._store,
            self._timers,
            LeastExpectedWait(random.Random(), ServerWaits()),
        )
        self._fleet_task = FleetTask(
            settings.node_id,
            self._store,
            self._timers,
            self._coordinator.catalog,
            lambda: self._links,
            self._on_fleet,
        )
        self._expiry = RecordExpiry(
            settings.runs, self._store, self._timers, self._should_sweep
        )
        self._service = NodeService(
            self._membership,
            self._members,
            self._gate,
            self._coordinator,
            self._runs,
        )

    def _make_parts(self) -> NodeParts:
        return NodeParts(
            timers=self._timers,
            faults=self._faults,
            membership=self._membership,
            holdings=self._holdings,
            holder=self._holder,
            backends=self._backends,
            links=self._links,
            store=self._platform,
            configuration=self._configuration,
            members=self._members,
            coordinator=self._coordinator,
            runs=self._runs,
            expiry=self._expiry,
            service=self._service,
            caller_resources=self._caller_resources,
        )

    def __enter__(self) -> Self:
        """Starts to listen and starts the periodic tasks.

        Raises:
            OSError: An address is in use or does not belong to this VM.
        """
        settings = self._settings
        self._exit_stack.enter_context(self._streams)
        self._exit_stack.enter_context(self._links)
        self._exit_stack.enter_context(self._platform)
        self._exit_stack.enter_context(self._backends)
        self._exit_stack.enter_context(self._health_connections)
        self._exit_stack.enter_context(self._caller_server)
        self._caller_server.listen(settings.caller_address)
        self._exit_stack.enter_context(self._operator_server)
        self._operator_server.listen(settings.operator_address)
        self._links.listen(settings.peer_address)
        # The heartbeats of the seeds list the members.
        self._links.set_seeds(settings.seed_addresses)
        self._members.start()
        self._health.start()
        self._configuration.start(
            lambda: self._membership.live_nodes(read_clock_s())
        )
        self._fleet_task.start()
        self._expiry.start()
        self._operators.start()
        self._timers.call_every(SERVING_CHECK_PERIOD_S, self._update_serving)
        self._log.info(
            "listening",
            step="start",
            peer="",
            callers=str(settings.caller_address),
            operators=str(settings.operator_address),
        )
        return self

    def __exit__(
        self,
        exception_type: type[BaseException] | None,
        exception: BaseException | None,
        traceback: TracebackType | None,
    ) -> None:
        self._exit_stack.close()

    def _on_fleet(self, fleet: Fleet) -> None:
        self._gate.set_fleet(fleet)
        self._health.set_fleet(fleet)
        self._holder.set_fleet(fleet)
        self._coordinator.set_fleet(fleet)
        self._runs.set_fleet(fleet)
        self._members.set_fleet(fleet)
        self._operators.set_fleet(fleet)

    def _on_configuration(self, configuration: Configuration) -> None:
        self._log.info(
            "configuration in force",
            step="configuration",
            peer="",
            revision=configuration.revision,
        )
        self._gate.set_configuration(configuration)
        self._holder.reset_unused_limits()
        self._members.set_configuration(configuration)
        self._service.set_configuration(configuration)
        self._coordinator.levels.set_configuration(configuration)

    def _should_sweep(self) -> bool:
        live = self._membership.live_nodes(read_clock_s())
        first_id = min(info.node_id for info in live)
        return first_id == self._settings.node_id and self._can_act()

    def _can_act(self) -> bool:
        return (
            self._membership.has_lease(read_clock_s())
            and self._configuration.current.revision > 0
            and not self._membership.steps_down
            and self._fleet_task.has_servers_and_snapshots
        )

    def _update_serving(self) -> None:
        is_serving = self._can_act() and not self._stop.has_begun
        live = self._membership.live_nodes(read_clock_s())
        self._runs.set_node_count(len(live))
        info = self._membership.info
        if info.is_serving != is_serving:
            message = "serving" if is_serving else "not serving"
            self._log.info(message, step="admission", peer="")
            self._membership.info = info._replace(is_serving=is_serving)
            self._members.announce()

    def _warm_latency_s(self, class_name: str, server_id: str) -> float | None:
        return self._coordinator.warm_latency_s(class_name, server_id)

    # Messages from peers.

    def on_peer_message(self, message: PeerMessage, link: Link) -> None:
        """Passes a message to the component that handles it."""
        match message:
            case AttemptBatch():
                self._on_batch(message, link)
            case AttemptReplyMessage(query_id, reply):
                self._router.on_reply(query_id, reply)
            case CancelMessage(query_id, attempt_ids):
                self._holder.cancel(query_id, attempt_ids)
            case Heartbeat():
                self._members.on_heartbeat(message, link)
            case HeartbeatAck():
                self._members.on_ack(message)
            case Goodbye():
                self._members.on_goodbye(message)
            case Claim():
                self._members.on_claim(message, link)
            case ClaimAnswer():
                self._members.on_claim_answer(message)
            case ConfigurationRequest():
                self._configuration.on_request(message, link)
            case ConfigurationUpdate():
                self._configuration.on_update(message)
            case FleetRequest():
                self._fleet_task.on_request(message, link)
            case FleetUpdate():
                self._fleet_task.on_update(message)

    def _on_batch(self, batch: AttemptBatch, link: Link) -> None:
        def reply(answer: AttemptReply) -> None:
            link.send_soon(AttemptReplyMessage(batch.query_id, answer))

        self._holder.submit(batch, reply)

    def on_link_closed(self, link: Link) -> None:
        """Ends the attempts that wait for replies on a closed link."""
        self._router.on_link_closed(link)

    # Stopping.

    @handler("signal", channel="*")
    def _on_signal(self, event: Any, signal_number: int, _: Any) -> None:  # noqa: ANN401
        del signal_number
        event.stop()
        self._stop.begin()
