"""The edge node: joins the tasks of the other modules into one process."""

import contextlib
import random
import signal
import sys
import time
from collections.abc import Callable
from types import TracebackType
from typing import TYPE_CHECKING, Any, Final, NamedTuple, Self

from circuits import BaseComponent, handler

from mulberrybay_core.edge_nodes import (
    EdgeHeartbeat,
    EdgeNodeInfo,
    EdgeNodes,
)
from mulberrybay_core.platform_documents import PlatformDocuments
from mulberrybay_core.routing import RouteTable
from mulberrybay_core.shared_limits import ColdAllowance, RetryAllowance
from mulberrybay_edge.caller_server import CallerServer
from mulberrybay_edge.caller_service import (
    DirectoryService,
    MetricsService,
    ReadinessService,
    RoutedService,
)
from mulberrybay_edge.decision_log import DecisionLog
from mulberrybay_edge.dispatcher import DispatchContext, Dispatcher
from mulberrybay_edge.edge_parts import EdgeParts
from mulberrybay_edge.fleet_sharing import FleetSharing
from mulberrybay_edge.node_registry import NODE_KIND, NodeRegistry
from mulberrybay_edge.platform_view import PlatformView
from mulberrybay_edge.run_context import RunCounts, RunTools
from mulberrybay_edge.server_connections import ServerConnections
from mulberrybay_edge.settings import EdgeSettings
from mulberrybay_edge.settings_watch import SettingsWatch
from mulberrybay_edge.store_watch import StoreWatch
from mulberrybay_platform.client import PlatformClient, PlatformSettings
from mulberrybay_platform.dialect import StoreDialect
from mulberrybay_runtime.clock import read_clock_s
from mulberrybay_runtime.datagrams import Datagrams
from mulberrybay_runtime.faults import FaultLog
from mulberrybay_runtime.logs import StateLog
from mulberrybay_runtime.streams import StreamPoller, Streams
from mulberrybay_runtime.timers import Timers

if TYPE_CHECKING:
    from mulberrybay_edge.peer_link import PeerLink
    from mulberrybay_runtime.metrics import MetricsPage

UPKEEP_PERIOD_S: Final = 0.2
# Some callers keep an answer of the directory three times as long as told.
ADDRESS_LIFE_FACTOR: Final = 3
# The process ends this long before it would be killed.
STOP_MARGIN_S: Final = 0.4
STORE_TIMEOUT_S: Final = 1.5
# Callers that were turned away while the node was down come first.
PEERS_AFTER_S: Final = 0.3


class PlatformAdapter(NamedTuple):
    """What an edge node needs to know of the platform's form.

    Attributes:
        dialect: How the store is spoken.
        documents: How its objects are read.
        encode_addresses: Encodes an answer of the directory, from addresses
            and the seconds for which it may be kept.
        load_settings: Reads the settings anew.
        settings_path: The file that they come from.
    """

    dialect: StoreDialect
    documents: PlatformDocuments
    encode_addresses: Callable[[list[str], float], bytes]
    load_settings: Callable[[], EdgeSettings]
    settings_path: str


class EdgeNode(BaseComponent):
    """One edge node, a context manager for its sockets."""

    channel = "edge"

    def __init__(
        self, settings: EdgeSettings, adapter: PlatformAdapter
    ) -> None:
        """Builds the tasks; nothing listens before the context is entered."""
        super().__init__()
        self._settings = settings
        self._adapter = adapter
        self._log = StateLog("node")
        self._decisions = DecisionLog(read_clock_s)
        self._exits = contextlib.ExitStack()
        self._random = random.Random()
        self._counts = RunCounts()
        self._stopping_since_s: float | None = None
        self._metrics_page: MetricsPage | None = None
        self._build_runtime()
        self._build_beliefs()
        self._build_dispatch()
        self._build_servers()

    def _build_runtime(self) -> None:
        self._faults = FaultLog().register(self)
        self._poller = StreamPoller().register(self)
        self._timers = Timers().register(self)
        self._streams = Streams(self._poller).register(self)
        self._datagrams = Datagrams(self._poller).register(self)
        self._peers: PeerLink | None = None

    def _build_beliefs(self) -> None:
        settings = self._settings
        own = EdgeNodeInfo(
            settings.node_name,
            time.time_ns() % 2**63,
            settings.failure_domain,
            settings.addresses.callers,
            settings.addresses.peers,
            settings.cpu_cores,
        )
        self._nodes = EdgeNodes(own, read_clock_s())
        self._store = PlatformClient(
            PlatformSettings(
                settings.store_address, STORE_TIMEOUT_S, detects_silence=True
            ),
            self._streams,
            self._timers,
            self._adapter.dialect,
        )
        self._view = PlatformView(
            self._store,
            self._timers,
            self._adapter.documents,
            self._decisions,
            self._on_table,
        )
        self._registry = NodeRegistry(self._store, self._timers, self._nodes)
        node_watch = StoreWatch(
            self._store, self._timers, NODE_KIND, self._registry
        )
        self._watches = [*self._view.watches, node_watch]

    def _build_dispatch(self) -> None:
        settings = self._settings
        self._connections = ServerConnections(self._streams, self._timers)
        self._retries = RetryAllowance(settings.retry_terms)
        self._cold = ColdAllowance()
        self._sender = Dispatcher(
            DispatchContext(
                self._view.directory,
                self._connections,
                self._retries,
                self._cold,
                settings.names,
                settings.failure_domain,
                settings.cold_factor,
            ),
            self._random,
        )
        self._sharing = FleetSharing(
            self._nodes,
            self._view.directory,
            self._sender,
            self._retries,
            self._cold,
            self._watches,
            self._is_ready,
        )
        tools = RunTools(
            self._sender,
            self._timers,
            settings.names,
            self._decisions,
            self._counts,
            settings.retry_terms.ratio,
            read_clock_s,
        )
        self._service = RoutedService(
            tools, settings.names, lambda: self._view.table, read_clock_s
        )

    def _build_servers(self) -> None:
        settings, paths = self._settings, self._settings.paths
        self._callers = self._make_server(self._service)
        self._readiness = self._make_server(
            ReadinessService(paths.readiness, self._is_ready)
        )
        self._directory = self._make_server(
            DirectoryService(
                paths.directory,
                self._list_named,
                lambda addresses: self._adapter.encode_addresses(
                    addresses, settings.address_life_s
                ),
            )
        )
        self._metrics = self._make_server(
            MetricsService(paths.metrics, self._render_metrics)
        )

    def _make_server(self, service: Any) -> CallerServer:  # noqa: ANN401
        return CallerServer(
            self._settings.names, service, self._streams, self._timers
        )

    def __enter__(self) -> Self:
        """Opens the listening sockets and starts to read the store.

        Raises:
            OSError: An address is in use or is not this VM's.
        """
        addresses = self._settings.addresses
        enter = self._exits.enter_context
        enter(self._streams)
        enter(self._datagrams)
        enter(self._store)
        enter(self._connections)
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
        self._timers.call_later(PEERS_AFTER_S, self._open_peer_link)
        self._timers.call_every(UPKEEP_PERIOD_S, self._keep_up)
        settings_watch = SettingsWatch(
            self._adapter.settings_path,
            self._adapter.load_settings,
            self._apply_settings,
            self._timers,
        )
        signal.signal(signal.SIGHUP, lambda *_: settings_watch.reload_soon())
        self._log.info(
            "started",
            node=self._settings.node_name,
            incarnation=self._nodes.own.incarnation,
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
        self._exits.close()

    # Beliefs.

    def _on_table(self, table: RouteTable) -> None:
        self._sender.table = table
        self._callers.limits = table.limits

    def _is_ready(self) -> bool:
        return self._view.is_read and self._stopping_since_s is None

    def _list_named(self) -> list[str]:
        named = [
            str(node.caller_address) for node in self._sharing.choose_named()
        ]
        self._random.shuffle(named)
        return named

    # Peers.

    def _open_peer_link(self) -> None:
        # Imported here since it takes longer than the rest of the start.
        from mulberrybay_edge.peer_link import PeerLink  # noqa: PLC0415

        self._peers = self._exits.enter_context(
            PeerLink(
                self._nodes,
                self._watches,
                self._datagrams,
                self._streams,
                self._timers,
                self._decisions,
                self._describe,
            )
        )

    def _describe(self) -> EdgeHeartbeat:
        return EdgeHeartbeat(
            self._nodes.own,
            self._is_ready(),
            self._view.table.revision if self._view.table else 0,
            tuple(watch.changed_version for watch in self._watches),
            self._sharing.attempts_per_s,
            max(watch.age_s(read_clock_s()) for watch in self._watches),
        )

    # Upkeep.

    def _keep_up(self) -> None:
        now_s = read_clock_s()
        self._view.directory.expire(now_s)
        for server_id in self._view.directory.take_forgotten():
            self._sender.forget(server_id)
            self._decisions.belief("backend server dropped", server=server_id)
        self._nodes.forget_silent(now_s)
        self._sharing.keep_up()
        if self._peers is not None:
            self._peers.check_watches()
            if self._sharing.watches_for_others:
                self._peers.tell_changes()
        if self._stopping_since_s is None:
            self._registry.remove_lost(now_s)
        else:
            self._check_stop(now_s - self._stopping_since_s)

    def _apply_settings(self, settings: EdgeSettings) -> None:
        """Takes the settings that can change while the process runs."""
        self._settings = self._settings._replace(
            retry_terms=settings.retry_terms,
            stop_grace_s=settings.stop_grace_s,
        )
        self._retries.terms = settings.retry_terms

    # Signals and stopping.

    @handler("started", channel="*")
    def _on_started(self, *_: object) -> None:
        # The entry point has blocked those that came during the start.
        signal.pthread_sigmask(
            signal.SIG_UNBLOCK, (signal.SIGHUP, signal.SIGTERM)
        )

    @handler("signal", channel="*")
    def _on_signal(self, event: Any, signal_number: int, _: Any) -> None:  # noqa: ANN401
        event.stop()
        if self._stopping_since_s is not None:
            return
        self._stopping_since_s = read_clock_s()
        self._log.info("stopping", signal=signal_number)
        self._callers.is_stopping = True
        if self._peers is not None:
            self._peers.send_heartbeats()
        self._registry.leave()

    def _check_stop(self, stopping_for_s: float) -> None:
        settings = self._settings
        last_s = settings.stop_grace_s - STOP_MARGIN_S
        callers_left_s = min(
            ADDRESS_LIFE_FACTOR * settings.address_life_s, last_s
        )
        if stopping_for_s >= callers_left_s and not self._callers.busy_count:
            self._callers.close_idle()
            self.stop()
        elif stopping_for_s >= last_s:
            self._log.warning(
                "stopping with open requests", count=self._callers.busy_count
            )
            self.stop()

    def _render_metrics(self) -> tuple[str, bytes]:
        # Imported here since a node that starts does not need it.
        from mulberrybay_edge.node_metrics import EdgeMetrics  # noqa: PLC0415
        from mulberrybay_runtime.metrics import (  # noqa: PLC0415
            CONTENT_TYPE,
            MetricsPage,
        )

        if self._metrics_page is None:
            parts = EdgeParts(
                service=self._service,
                counts=self._counts,
                sender=self._sender,
                connections=self._connections,
                callers=self._callers,
                store=self._store,
                view=self._view,
                watches=self._watches,
                nodes=self._nodes,
                decisions=self._decisions,
                faults=self._faults,
                find_peers=lambda: self._peers,
            )
            self._metrics_page = MetricsPage(EdgeMetrics(parts))
        return CONTENT_TYPE, self._metrics_page.render()


def run_edge_node(settings: EdgeSettings, adapter: PlatformAdapter) -> int:
    """Runs a node until it is told to stop; returns the exit code."""
    try:
        with EdgeNode(settings, adapter) as node:
            node.run()
    except OSError as error:
        print(f"mulberrybay: {error}", file=sys.stderr)
        return 1
    return 0
