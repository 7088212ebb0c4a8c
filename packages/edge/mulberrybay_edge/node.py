"""The edge node: builds the components of one process and runs them."""

import contextlib
import random
import signal
import sys
import time
from collections.abc import Iterable, Iterator
from types import TracebackType
from typing import TYPE_CHECKING, Any, Final, Self

from circuits import BaseComponent, handler

from mulberrybay_core.edge_nodes import (
    EdgeHeartbeat,
    EdgeNodeInfo,
    EdgeNodes,
)
from mulberrybay_core.overload.answer_reserve import AnswerReserve
from mulberrybay_core.overload.caller_lookups import CallerLookups
from mulberrybay_core.request_owner import (
    choose_owner,
    find_owned,
    rank_owners,
)
from mulberrybay_core.routing import RouteTable
from mulberrybay_core.server_reach import ServerReach
from mulberrybay_core.shared_limits import ColdServerRateLimit, RetryBudget
from mulberrybay_edge.caller_service import (
    DirectoryService,
    MetricsService,
    ReadinessService,
    RoutedService,
)
from mulberrybay_edge.crash_watch import CrashWatch
from mulberrybay_edge.decision_log import DecisionLog
from mulberrybay_edge.dispatcher import DispatchContext, Dispatcher
from mulberrybay_edge.fleet_sharing import FleetSharing
from mulberrybay_edge.metric_sources import MetricSources
from mulberrybay_edge.node_registry import NODE_KIND, NodeRegistry
from mulberrybay_edge.platform_adapter import PlatformAdapter
from mulberrybay_edge.platform_view import PlatformView
from mulberrybay_edge.reach_monitor import ReachMonitor
from mulberrybay_edge.relay_handler import (
    CUT_OFF,
    OWNER_UNREACHED,
    RelayTargets,
)
from mulberrybay_edge.request_context import HandlerContext, RequestCounts
from mulberrybay_edge.rollout_control import (
    find_status_kinds,
    make_rollout_control,
)
from mulberrybay_edge.server_connections import ServerConnections
from mulberrybay_edge.settings import EdgeSettings
from mulberrybay_edge.settings_watch import SettingsWatch
from mulberrybay_edge.store_watch import StoreWatch
from mulberrybay_edge.tenant_gate import TenantGate
from mulberrybay_platform.client import PlatformClient, PlatformSettings
from mulberrybay_runtime.callers.resources import CallerResources
from mulberrybay_runtime.callers.server import make_servers
from mulberrybay_runtime.callers.turns import TurnLoop
from mulberrybay_runtime.clock import read_clock_s
from mulberrybay_runtime.datagrams import Datagrams
from mulberrybay_runtime.faults import FaultLog
from mulberrybay_runtime.logs import StructuredLog
from mulberrybay_runtime.streams import StreamPoller, Streams
from mulberrybay_runtime.timers import Timers

if TYPE_CHECKING:
    from mulberrybay_edge.peer_link import PeerLink
    from mulberrybay_runtime.metrics import MetricsPage

MAINTENANCE_PERIOD_S: Final = 0.2
# Some callers cache a reply of the directory for three times its lifetime.
STALE_ADDRESS_RATIO: Final = 3
# A stopping process exits this long before it would be killed, and refuses new
# requests for some time before that, so that it can answer those it has.
STOP_MARGIN_S: Final = 0.4
LAST_ANSWERS_S: Final = 0.8
STORE_TIMEOUT_S: Final = 1.5
# Long enough for the lists of a start on a slow link.
FIRST_STORE_TIMEOUT_S: Final = 0.8
# The link to the peers is opened this long after the start, because that takes
# longer than the rest of the start. Requests of callers that could not connect
# while the node was down are served first.
PEER_LINK_DELAY_S: Final = 0.3
# The longest time for which a node that starts waits for a first word of peers
# that may know more than the store.
MAX_PEER_WAIT_S: Final = 1.0


class EdgeNode(BaseComponent):
    """One edge node; a context manager that opens and closes its sockets."""

    channel = "edge"

    def __init__(
        self, settings: EdgeSettings, adapter: PlatformAdapter
    ) -> None:
        """Builds the components; `__enter__` opens the sockets."""
        super().__init__()
        self._settings = settings
        self._adapter = adapter
        self._log = StructuredLog("node")
        self._decisions = DecisionLog(read_clock_s)
        self._exit_stack = contextlib.ExitStack()
        self._random = random.Random()
        self._counts = RequestCounts()
        self._answer_reserve = AnswerReserve(
            CallerLookups(settings.address_life_s)
            if settings.addresses.directory is not None
            else None
        )
        self._started_at_s = read_clock_s()
        self._stopping_since_s: float | None = None
        self._was_stopped_at_start = False
        self._metrics_page: MetricsPage | None = None
        self._build_runtime()
        self._build_platform_view()
        self._build_dispatch()
        self._build_servers()

    def _build_runtime(self) -> None:
        self._faults = FaultLog().register(self)
        self._poller = StreamPoller().register(self)
        self._timers = Timers().register(self)
        self._streams = Streams(self._poller, self._timers.run_prompt).register(
            self
        )
        self._datagrams = Datagrams(self._poller).register(self)
        self._peer_link: PeerLink | None = None
        self._connections = ServerConnections(
            self._streams, self._timers, self._settings.machine.memory_mb
        )
        self._crash_watch = CrashWatch(
            self._connections, self._timers, self._decisions
        )
        self._crash_watch.tell = self._send_heartbeats
        self._crash_watch.find_owned = self._find_owned

    def _build_platform_view(self) -> None:
        settings = self._settings
        own_info = EdgeNodeInfo(
            settings.node_name,
            time.time_ns() % 2**63,
            settings.failure_domain,
            settings.addresses.callers,
            settings.addresses.peers,
            settings.cpu_cores,
        )
        self._nodes = EdgeNodes(
            own_info, read_clock_s(), settings.follow_times.max_peer_age_s
        )
        self._store = PlatformClient(
            PlatformSettings(
                settings.store_address,
                STORE_TIMEOUT_S,
                detects_silence=True,
                first_timeout_s=FIRST_STORE_TIMEOUT_S,
                status_kinds=find_status_kinds(
                    settings, self._adapter.documents
                ),
            ),
            self._streams,
            self._timers,
            self._adapter.dialect,
        )
        self._rollouts = make_rollout_control(
            settings,
            self._adapter.documents,
            self._store,
            self._nodes,
            self._decisions,
        )
        self._view = PlatformView(
            self._store,
            self._timers,
            self._adapter.documents,
            self._decisions,
            self._apply_route_table,
            settings.leaving_service_s,
            rollout_listener=self._rollouts,
        )
        self._registry = NodeRegistry(
            self._store, self._timers, self._nodes, self._crash_watch
        )
        self._node_watch = StoreWatch(
            self._store,
            self._timers,
            NODE_KIND,
            self._registry,
            has_bound=False,
        )
        self._watches = [
            *self._view.watches,
            self._node_watch,
            *self._view.late_watches,
        ]
        if self._rollouts is not None:
            self._rollouts.attach(self._watches)
            self._rollouts.tell = self._send_heartbeats

    def _build_dispatch(self) -> None:
        settings = self._settings
        self._peer_connections = ServerConnections(
            self._streams, self._timers, self._settings.machine.memory_mb
        )
        self._gate = TenantGate(settings.quotas, read_clock_s)
        self._reach = ServerReach(read_clock_s())
        self._retry_budget = RetryBudget(settings.retry_terms)
        self._cold_limit = ColdServerRateLimit()
        self._request_dispatcher = Dispatcher(
            DispatchContext(
                self._view.directory,
                self._connections,
                self._retry_budget,
                self._cold_limit,
                settings.names,
                settings.failure_domain,
                settings.cold_factor,
                self._decisions,
                self._reach,
                self._crash_watch,
                self._rollouts.traffic if self._rollouts else None,
            ),
            self._random,
        )
        self._reach_monitor = ReachMonitor(
            self._reach,
            self._view.directory,
            self._request_dispatcher,
            self._connections,
            self._timers,
            self._decisions,
            self._random,
            lambda: self._nodes.was_hub,
            self._on_reach_changed,
        )
        self._sharing = FleetSharing(
            self._nodes,
            self._view.directory,
            self._request_dispatcher,
            self._retry_budget,
            self._cold_limit,
            self._watches,
            self._is_ready,
            self._reach,
            settings.follow_times,
            self._gate,
        )
        handler_context = HandlerContext(
            self._request_dispatcher,
            self._timers,
            settings.names,
            self._decisions,
            self._counts,
            self._crash_watch,
            settings.retry_terms.ratio,
            read_clock_s,
            self._answer_reserve,
        )
        self._service = RoutedService(
            handler_context,
            settings.names,
            lambda: self._view.route_table,
            self._find_relay_targets,
            read_clock_s,
            self._gate,
        )

    def _build_servers(self) -> None:
        settings, paths = self._settings, self._settings.paths
        self._callers, make_own = make_servers(
            settings.names,
            self._service,
            self._streams,
            self._timers,
            CallerResources(settings.machine),
            TurnLoop(self._timers).register(self),
        )
        self._callers.answer_reserve = self._answer_reserve
        self._readiness = make_own(
            ReadinessService(paths.readiness, self._is_ready)
        )
        self._directory = make_own(
            DirectoryService(
                paths.directory,
                self._list_advertised,
                lambda addresses: self._adapter.encode_addresses(
                    addresses, settings.address_life_s
                ),
            )
        )
        self._metrics = make_own(
            MetricsService(paths.metrics, self._render_metrics)
        )

    def __enter__(self) -> Self:
        """Opens the listening sockets and starts to watch the store.

        Raises:
            OSError: An address is in use or does not belong to this VM.
        """
        addresses = self._settings.addresses
        enter = self._exit_stack.enter_context
        enter(self._streams)
        enter(self._datagrams)
        enter(self._store)
        enter(self._connections)
        enter(self._peer_connections)
        for server, address in (
            (self._callers, addresses.callers),
            (self._readiness, addresses.readiness),
            (self._directory, addresses.directory),
            (self._metrics, addresses.metrics),
        ):
            if address is not None:
                enter(server)
                server.listen(address)
        for watch in self._watches:
            watch.start()
        self._timers.call_later(PEER_LINK_DELAY_S, self._open_peer_link)
        # Apart from the maintenance, so that no fault there keeps it from
        # following the store.
        self._timers.call_every(MAINTENANCE_PERIOD_S, self._view.check)
        self._timers.call_every(MAINTENANCE_PERIOD_S, self._node_watch.check)
        self._timers.call_every(MAINTENANCE_PERIOD_S, self._run_maintenance)
        settings_watch = SettingsWatch(
            self._adapter.settings_path,
            self._adapter.load_settings,
            self._apply_settings,
            self._timers,
        )
        signal.signal(
            signal.SIGHUP, lambda *_: settings_watch.schedule_reload()
        )
        self._log.info(
            "started",
            node=self._settings.node_name,
            incarnation=self._nodes.own_info.incarnation,
            callers=str(addresses.callers),
        )
        return self

    def __exit__(
        self,
        exception_type: type[BaseException] | None,
        exception: BaseException | None,
        trace: TracebackType | None,
    ) -> None:
        self._log.info("stopped", node=self._settings.node_name)
        self._exit_stack.close()

    # Routes and readiness.

    def _apply_route_table(self, table: RouteTable) -> None:
        self._request_dispatcher.table = table
        self._callers.limits = table.limits
        self._gate.set_tenants(table.tenants)
        if self._nodes.some_lack_servers(read_clock_s()):
            # They hand no request to nodes that may have an older configuration.
            self._send_heartbeats()

    def _is_ready(self) -> bool:
        return (
            self._view.is_loaded
            and self._stopping_since_s is None
            and not self._awaits_peers()
        )

    def _awaits_peers(self) -> bool:
        """Whether peers may know more than the store has told this node.

        That is so if the store has returned from an older copy since these
        peers registered, until one has answered.
        """
        if not self._registry.has_peers_of_older_era:
            return False
        if read_clock_s() - self._started_at_s >= MAX_PEER_WAIT_S:
            return False
        link = self._peer_link
        return (
            link is None
            or not self._nodes.has_heard_peer
            or link.awaits_kept_objects
        )

    def _list_advertised(self) -> list[str]:
        advertised = self._sharing.choose_advertised()
        addresses = [str(node.caller_address) for node in advertised]
        self._random.shuffle(addresses)
        return addresses

    # Backend servers out of reach.

    def _on_reach_changed(self) -> None:
        """Tells the other nodes, and changes what callers are told."""
        self._sharing.update()
        self._send_heartbeats()

    def _find_relay_targets(self, identity: bytes) -> RelayTargets | None:
        """Returns the nodes to hand a request to; None to handle it here."""
        if self._crash_watch.turns.needs_one_sender(identity, read_clock_s()):

            def choose(unreached_names: set[str]) -> EdgeNodeInfo | None:
                return self._choose_owner(identity, unreached_names)

            if choose(set()) is None:
                return None
            return RelayTargets(
                self._peer_connections,
                choose,
                self._is_running,
                OWNER_UNREACHED,
            )
        if self._reach.is_lost and self._choose_relay(set()) is not None:
            return RelayTargets(
                self._peer_connections,
                self._choose_relay,
                self._is_running,
                CUT_OFF,
            )
        return None

    def _is_running(self, node_name: str) -> bool:
        return self._nodes.is_running(node_name, read_clock_s())

    def _choose_relay(self, excluded_names: set[str]) -> EdgeNodeInfo | None:
        table = self._view.route_table
        return self._nodes.choose_relay(
            table.revision if table else 0, excluded_names, read_clock_s()
        )

    # Peers.

    def _open_peer_link(self) -> None:
        # Imported here because this takes longer than the rest of the start.
        from mulberrybay_edge.peer_link import PeerLink  # noqa: PLC0415

        self._peer_link = self._exit_stack.enter_context(
            PeerLink(
                self._nodes,
                self._watches,
                self._datagrams,
                self._streams,
                self._timers,
                self._decisions,
                self._make_heartbeat,
                self._crash_watch.merge,
                self._gate,
                self._rollouts.merge if self._rollouts else None,
            )
        )

    def _make_heartbeat(self) -> EdgeHeartbeat:
        return EdgeHeartbeat(
            self._nodes.own_info,
            self._is_ready(),
            self._view.route_table.revision if self._view.route_table else 0,
            tuple(watch.changed_version for watch in self._watches),
            self._sharing.attempts_per_s,
            self._view.store_age_s,
            any(watch.is_restoring for watch in self._watches),
            self._nodes.is_hub(read_clock_s()),
            self._reach.is_lost,
            self._crash_watch.reports(),
            self._rollouts.reports() if self._rollouts else (),
            self._gate.tell(),
        )

    def _send_heartbeats(self) -> None:
        if self._peer_link is not None:
            self._peer_link.send_heartbeats()

    def _find_owned(self, identities: Iterable[bytes]) -> Iterator[bytes]:
        return find_owned(
            identities,
            self._sharing.choose_owner_candidates(),
            self._settings.node_name,
        )

    def _choose_owner(
        self, identity: bytes, unreached_names: set[str]
    ) -> EdgeNodeInfo | None:
        table = self._view.route_table
        return choose_owner(
            rank_owners(identity, self._sharing.choose_owner_candidates()),
            self._nodes,
            table.revision if table else 0,
            unreached_names,
        )

    # Periodic maintenance.

    def _run_maintenance(self) -> None:
        now_s = read_clock_s()
        self._view.directory.expire(now_s)
        for server_id in self._view.directory.pop_dropped_ids():
            self._request_dispatcher.forget(server_id)
            self._decisions.log_view_change(
                "backend server dropped", server=server_id
            )
        for server_id in self._view.directory.pop_resumed_ids(now_s):
            self._decisions.log_view_change(
                "backend server resumed", server=server_id
            )
        self._nodes.drop_unresponsive(now_s)
        self._crash_watch.expire()
        self._sharing.update()
        self._answer_reserve.lookups.advertised_count = (
            self._sharing.advertised_count
        )
        if self._rollouts is not None:
            self._rollouts.update(
                self._request_dispatcher.share_divisor, self._view.route_table
            )
        if self._peer_link is not None:
            self._peer_link.request_missing_changes()
            self._peer_link.request_restored_objects()
            if self._sharing.watches_for_others:
                self._peer_link.send_changes()
        if self._rollouts is not None:
            # Also while it stops: others take it for the writer until it ends.
            self._rollouts.write_due(self._view.store_age_s)
        if self._stopping_since_s is None:
            self._registry.remove_unresponsive(now_s)
            self._registry.update()
        else:
            self._stop_when_idle(now_s - self._stopping_since_s)

    def _apply_settings(self, settings: EdgeSettings) -> None:
        """Applies the settings that can change while the process runs."""
        self._settings = self._settings._replace(
            retry_terms=settings.retry_terms,
            stop_grace_s=settings.stop_grace_s,
        )
        self._retry_budget.settings = settings.retry_terms

    # Signals and stopping.

    @handler("started", channel="*")
    def _on_started(self, *_: object) -> None:
        # The entry point blocked these signals, so that none is handled during
        # the start.
        self._was_stopped_at_start = signal.SIGTERM in signal.sigpending()
        signal.pthread_sigmask(
            signal.SIG_UNBLOCK, (signal.SIGHUP, signal.SIGTERM)
        )

    @handler("signal", channel="*")
    def _on_signal(self, event: Any, signal_number: int, _: Any) -> None:  # noqa: ANN401
        event.stop()
        if self._stopping_since_s is not None:
            return
        # A signal may have waited as long as it was blocked, and the time to stop
        # counts from its arrival.
        self._stopping_since_s = (
            self._adapter.signals_blocked_at_s
            if self._was_stopped_at_start
            else read_clock_s()
        )
        self._log.info("stopping", signal=signal_number)
        self._callers.is_stopping = True
        self._send_heartbeats()
        self._registry.unregister()

    def _stop_when_idle(self, stopping_for_s: float) -> None:
        settings = self._settings
        drain_limit_s = settings.stop_grace_s - STOP_MARGIN_S
        addresses_expired_s = min(
            STALE_ADDRESS_RATIO * settings.address_life_s, drain_limit_s
        )
        if stopping_for_s >= drain_limit_s - LAST_ANSWERS_S:
            self._callers.is_refusing = True
        if stopping_for_s >= drain_limit_s - MAINTENANCE_PERIOD_S:
            self._service.give_up()
        if (
            stopping_for_s >= addresses_expired_s
            and not self._callers.busy_count
        ):
            self._callers.close_idle()
            self.stop()
        elif stopping_for_s >= drain_limit_s:
            self._log.warning(
                "stopping with open requests", count=self._callers.busy_count
            )
            self.stop()

    def _render_metrics(self) -> tuple[str, bytes]:
        # Imported here because the start of a node does not need it.
        from mulberrybay_edge.node_metrics import EdgeMetrics  # noqa: PLC0415
        from mulberrybay_runtime.metrics import (  # noqa: PLC0415
            CONTENT_TYPE,
            MetricsPage,
        )

        if self._metrics_page is None:
            sources = MetricSources(
                service=self._service,
                counts=self._counts,
                dispatcher=self._request_dispatcher,
                reach=self._reach,
                reach_monitor=self._reach_monitor,
                connections=self._connections,
                crash_watch=self._crash_watch,
                gate=self._gate,
                callers=self._callers,
                answer_reserve=self._answer_reserve,
                store=self._store,
                view=self._view,
                watches=self._watches,
                nodes=self._nodes,
                decisions=self._decisions,
                faults=self._faults,
                find_peer_link=lambda: self._peer_link,
                rollouts=self._rollouts,
            )
            self._metrics_page = MetricsPage(EdgeMetrics(sources))
        return CONTENT_TYPE, self._metrics_page.render()


def run_edge_node(settings: EdgeSettings, adapter: PlatformAdapter) -> int:
    """Runs a node until a signal stops it; returns the exit code."""
    try:
        with EdgeNode(settings, adapter) as node:
            node.run()
    except OSError as error:
        print(f"mulberrybay: {error}", file=sys.stderr)
        return 1
    return 0
