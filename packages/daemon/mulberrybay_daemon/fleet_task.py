"""Reads the platform's list of VMs and the index snapshots.

A node whose reads fail asks its peers for what they have read, so that a node
that starts in an outage can serve. What this node has read itself goes first,
unless a peer's is newer.
"""

import itertools
import math
from collections.abc import Callable
from typing import Final

from expression import Result

from mulberrybay_core.documents import decode_snapshots
from mulberrybay_core.errors import Failure
from mulberrybay_core.fleet import EMPTY_FLEET, Fleet
from mulberrybay_core.fleet_messages import FleetRequest, FleetUpdate
from mulberrybay_core.platform_messages import ObjectList, PlatformStore
from mulberrybay_core.snapshot import SNAPSHOT_KIND, IndexSnapshot
from mulberrybay_core.snapshot_catalog import SnapshotCatalog
from mulberrybay_nodes.links import Link, NodeLinks
from mulberrybay_runtime.backoff import Backoff
from mulberrybay_runtime.clock import read_clock_s
from mulberrybay_runtime.timers import Timers

VM_LIST_PERIOD_S: Final = 1.0
SNAPSHOT_WATCH_TIMEOUT_S: Final = 10.0
# Peers read at different times; a list younger by less is not handed on.
AGE_MARGIN_S: Final = 3 * VM_LIST_PERIOD_S
NO_SNAPSHOT_VERSION: Final = -1


class FleetTask:
    """Keeps the view of VMs and snapshots; an outage leaves the last one."""

    def __init__(
        self,
        node_id: str,
        store: PlatformStore,
        timers: Timers,
        catalog: SnapshotCatalog,
        get_links: Callable[[], NodeLinks],
        on_fleet: Callable[[Fleet], None],
    ) -> None:
        self._node_id = node_id
        self._store = store
        self._timers = timers
        self._catalog = catalog
        self._get_links = get_links
        self._on_fleet = on_fleet
        self._backoff = Backoff(max_delay_s=1.0)
        # The store's version at the last read, and at the last change that
        # is known here, from the platform or from a peer.
        self._store_version = 0
        self._snapshot_version = NO_SNAPSHOT_VERSION
        self._read_at_s = -math.inf
        self._request_sequence = itertools.count()
        self.fleet: Fleet = EMPTY_FLEET

    @property
    def knows_servers(self) -> bool:
        """Whether backend servers and the snapshots on them are known.

        They are not at a node that has just started.
        """
        return bool(self.fleet.servers) and self._catalog.is_listed

    def start(self) -> None:
        """Starts to read the platform."""
        self._read_vms()
        self._store.list_kind(SNAPSHOT_KIND, self._on_snapshots)

    def _read_vms(self) -> None:
        sent_at_s = read_clock_s()
        self._store.list_vms(lambda result: self._on_vms(result, sent_at_s))

    def _on_vms(self, result: Result[Fleet, Failure], sent_at_s: float) -> None:
        self._timers.call_later(VM_LIST_PERIOD_S, self._read_vms)
        match result:
            case Result(tag="ok", ok=fleet):
                self._take_fleet(fleet, sent_at_s)
            case _:
                self._ask_peer()

    def _take_fleet(self, fleet: Fleet, read_at_s: float) -> None:
        self._read_at_s = read_at_s
        self.fleet = fleet
        self._on_fleet(fleet)

    def _on_snapshots(self, result: Result[ObjectList, Failure]) -> None:
        match result:
            case Result(tag="ok", ok=objects):
                self._backoff.reset()
                self._take_objects(objects)
                self._store.watch(
                    SNAPSHOT_KIND,
                    self._store_version,
                    SNAPSHOT_WATCH_TIMEOUT_S,
                    self._on_snapshots,
                )
            case _:
                self._timers.call_later(
                    self._backoff.next_delay_s(),
                    lambda: self._store.list_kind(
                        SNAPSHOT_KIND, self._on_snapshots
                    ),
                )

    def _take_objects(self, objects: ObjectList) -> None:
        self._store_version = objects.store_version
        self._catalog.is_listed = True
        last_version = max((item.version for item in objects.items), default=0)
        if last_version < self._snapshot_version:
            # Nothing has changed, or a peer has handed on what was read later.
            return
        self._snapshot_version = last_version
        for item in objects.items:
            match decode_snapshots(item.name, item.value):
                case Result(tag="ok", ok=snapshots):
                    self._catalog.set_snapshots(item.name, snapshots)
                case _:
                    pass

    # What peers have read.

    def _ask_peer(self) -> None:
        """Asks one peer, another one each time."""
        links = self._get_links()
        peer_ids = links.connected_ids()
        if not peer_ids:
            return
        number = next(self._request_sequence)
        request = FleetRequest(
            self._node_id,
            read_clock_s() - self._read_at_s,
            self._snapshot_version,
        )
        links.send(peer_ids[number % len(peer_ids)], request)

    def on_request(self, request: FleetRequest, link: Link) -> None:
        """Gives a peer what is known here, if it is newer."""
        age_s = read_clock_s() - self._read_at_s
        is_younger = age_s + AGE_MARGIN_S < request.known_age_s
        is_newer = self._snapshot_version > request.known_snapshot_version
        if not self.knows_servers or not (is_younger or is_newer):
            return
        link.send(
            FleetUpdate(
                sender_id=self._node_id,
                age_s=age_s,
                entry_vms=self.fleet.entry_vms,
                servers=self.fleet.servers,
                snapshot_version=self._snapshot_version,
                snapshots=self._catalog.all_snapshots(),
            )
        )

    def on_update(self, update: FleetUpdate) -> None:
        """Takes what is newer than what is known here."""
        if update.snapshot_version > self._snapshot_version:
            self._snapshot_version = update.snapshot_version
            self._take_snapshots(update.snapshots)
        read_at_s = read_clock_s() - update.age_s
        if read_at_s > self._read_at_s:
            fleet = Fleet(update.entry_vms, update.servers)
            self._take_fleet(fleet, read_at_s)

    def _take_snapshots(self, snapshots: tuple[IndexSnapshot, ...]) -> None:
        self._catalog.is_listed = True
        for class_name in {item.class_name for item in snapshots}:
            own = [item for item in snapshots if item.class_name == class_name]
            self._catalog.set_snapshots(class_name, tuple(own))
