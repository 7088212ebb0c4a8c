"""This node's view of the platform's store.

It holds the backend servers, the routes and the failure domains that are out
of service.
"""

import math
from collections.abc import Callable

from mulberrybay_core.configuration_order import ConfigurationOrder
from mulberrybay_core.platform_documents import PlatformDocuments
from mulberrybay_core.restore_rules import (
    keep_known_order,
    keep_out_of_service,
    make_configuration_rule,
    make_server_rule,
)
from mulberrybay_core.routing import RouteTable, RoutingConfiguration
from mulberrybay_core.server_directory import ServerDirectory
from mulberrybay_core.store_messages import (
    ObjectList,
    ObjectStore,
    StoredObject,
)
from mulberrybay_edge.decision_log import DecisionLog
from mulberrybay_edge.store_watch import StoreWatch, WatchListener
from mulberrybay_runtime.clock import read_clock_s
from mulberrybay_runtime.timers import Timers


class _ServerListener:
    """Applies entries of backend servers to the server directory."""

    def __init__(self, view: "PlatformView") -> None:
        self._view = view

    def on_list(self, objects: ObjectList) -> None:
        view = self._view
        entries = []
        for stored in objects.items:
            entry = view.documents.read_server(stored)
            if entry is None:
                view.record_unreadable(stored.kind, stored.name)
            else:
                entries.append(entry)
        view.directory.replace_all(entries, view.clock())
        view.log.log_view_change(
            "backend servers listed",
            count=len(entries),
            version=objects.store_version,
        )

    def on_changes(self, changes: ObjectList) -> None:
        view = self._view
        now_s = view.clock()
        for stored in changes.items:
            entry = view.documents.read_server(stored)
            if entry is None:
                view.record_unreadable(stored.kind, stored.name)
                view.directory.remove(stored.name, now_s)
                continue
            view.directory.put(entry, now_s)
            view.log.log_view_change(
                "backend server changed",
                server=entry.server_id,
                service=entry.service,
                address=str(entry.address),
                is_leaving=entry.is_leaving,
                cold_left_s=entry.cold_left_s,
                version=stored.version,
            )
        for name in changes.removed_names:
            if changes.corrects_stale_list:
                view.directory.drop(name)
            else:
                view.directory.remove(name, now_s)
            view.log.log_view_change(
                "backend server removed",
                server=name,
                version=changes.store_version,
            )


class _ConfigurationListener:
    """Applies configurations; see `ConfigurationOrder`."""

    def __init__(self, view: "PlatformView") -> None:
        self._view = view

    def on_list(self, objects: ObjectList) -> None:
        self.on_changes(objects)

    def on_changes(self, changes: ObjectList) -> None:
        name = self._view.documents.kinds.configuration_name
        for stored in changes.items:
            if stored.name == name:
                self._view.apply_configuration(stored)


class _DomainListener:
    """Applies the list of failure domains that are out of service."""

    def __init__(self, view: "PlatformView") -> None:
        self._view = view
        self._names: set[str] = set()

    def on_list(self, objects: ObjectList) -> None:
        self._apply_names({stored.name for stored in objects.items})

    def on_changes(self, changes: ObjectList) -> None:
        names = self._names | {stored.name for stored in changes.items}
        self._apply_names(names - set(changes.removed_names))

    def _apply_names(self, names: set[str]) -> None:
        if names != self._names:
            self._view.log.log_view_change(
                "failure domains out of service", domains=sorted(names)
            )
        self._names = names
        self._view.directory.set_out_domains(names)


class PlatformView:
    """Watches the platform's store and provides what was read last.

    Attributes:
        rollout_watch: The watch of orders of rollouts; None if this node takes
            no part in rollouts.
        route_table: The routes of the configuration in force; None before
            the first configuration.
        unreadable_count: Objects that were left out as malformed.
    """

    def __init__(
        self,
        store: ObjectStore,
        timers: Timers,
        documents: PlatformDocuments,
        log: DecisionLog,
        on_route_table: Callable[[RouteTable], None],
        leaving_service_s: float,
        clock: Callable[[], float] = read_clock_s,
        rollout_listener: WatchListener | None = None,
    ) -> None:
        self.clock = clock
        self.documents = documents
        self.directory = ServerDirectory(leaving_service_s)
        self.log = log
        self.route_table: RouteTable | None = None
        self._configuration_order = ConfigurationOrder()
        self.unreadable_count = 0
        self._on_route_table = on_route_table
        kinds = documents.kinds
        self._watches = {
            kinds.configurations: StoreWatch(
                store,
                timers,
                kinds.configurations,
                _ConfigurationListener(self),
                clock,
                restore_rule=make_configuration_rule(documents),
            ),
            kinds.servers: StoreWatch(
                store,
                timers,
                kinds.servers,
                _ServerListener(self),
                clock,
                restore_rule=make_server_rule(documents),
            ),
            kinds.out_domains: StoreWatch(
                store,
                timers,
                kinds.out_domains,
                _DomainListener(self),
                clock,
                restore_rule=keep_out_of_service,
            ),
        }

        self.rollout_watch: StoreWatch | None = None
        if rollout_listener is not None:
            self.rollout_watch = StoreWatch(
                store,
                timers,
                kinds.rollouts,
                rollout_listener,
                clock,
                restore_rule=keep_known_order,
            )

    @property
    def is_loaded(self) -> bool:
        """Whether requests can be routed.

        There must be a configuration in force, and each kind must have been
        read once unless its last call failed.
        """
        return self.route_table is not None and all(
            watch.version is not None or watch.is_failing
            for watch in [*self._watches.values(), *self.late_watches]
        )

    @property
    def late_watches(self) -> list[StoreWatch]:
        """The watches of kinds that a part of the nodes may not know.

        They come last in the order of all watches, which heartbeats use.
        """
        return [] if self.rollout_watch is None else [self.rollout_watch]

    @property
    def watches(self) -> list[StoreWatch]:
        """The watches that every node has, in the same order at each."""
        return [*self._watches.values()]

    def check(self) -> None:
        """Does what is due by the time alone; called periodically.

        Calls the store where no reply can be counted on, see `StoreWatch`.
        """
        for watch in [*self._watches.values(), *self.late_watches]:
            watch.check()
        self._check_configuration()

    @property
    def store_age_s(self) -> float:
        """How long ago the store has answered, for the kind it is longest for.

        Of the kinds that every node follows.
        """
        now_s = self.clock()
        return max(watch.age_s(now_s) for watch in self.watches)

    @property
    def failing_kinds(self) -> list[str]:
        """The kinds whose last call to the store failed."""
        return [
            watch.kind
            for watch in [*self._watches.values(), *self.late_watches]
            if watch.is_failing
        ]

    def _answer_age_s(self) -> float:
        """Returns how old the configuration was when the store answered."""
        age_s = self._watches[
            self.documents.kinds.configurations
        ].previous_age_s
        return age_s if math.isfinite(age_s) else 0.0

    def record_unreadable(self, kind: str, name: str) -> None:
        """Counts and logs an object that can't be decoded."""
        self.unreadable_count += 1
        self.log.log_view_change(
            "unreadable object left out", kind=kind, name=name
        )

    def apply_configuration(self, stored: StoredObject) -> None:
        """Applies a configuration unless one of a higher revision is in force."""
        configuration = self.documents.read_configuration(stored)
        if configuration is None:
            self.record_unreadable(stored.kind, stored.name)
            return
        order = self._configuration_order
        known_held_back = order.held_back_revision
        if order.put(configuration, stored.version, self.clock()):
            self._put_in_force(configuration, stored.version)
        elif order.held_back_revision != known_held_back:
            self.log.log_view_change(
                "configuration of a lower revision held back",
                revision=configuration.revision,
                version=stored.version,
            )

    def _check_configuration(self) -> None:
        watch = self._watches[self.documents.kinds.configurations]
        stored = watch.cache.find(self.documents.kinds.configuration_name)
        position = stored.version if stored else None
        order = self._configuration_order
        is_doubtful = watch.is_failing or watch.is_restoring
        if (
            order.check(position, self.clock(), is_doubtful=is_doubtful)
            and order.current is not None
        ):
            self._put_in_force(order.current, position)

    def _put_in_force(
        self, configuration: RoutingConfiguration, version: int | None
    ) -> None:
        self.route_table = RouteTable(configuration)
        self.log.log_view_change(
            "configuration in force",
            revision=configuration.revision,
            routes=len(configuration.routes),
            version=version,
            store_age_s=round(self._answer_age_s(), 3),
        )
        self._on_route_table(self.route_table)
