"""Reads the platform's list of VMs and the index snapshots.

A node whose reads fail requests the data from its peers, so that a node that
starts during an outage of the platform can serve. Data from a peer is applied
only if it is newer than what this node has.
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
from mulberrybay_daemon.object_follower import ObjectFollower
from mulberrybay_nodes.links import Link, NodeLinks
from mulberrybay_runtime.clock import read_clock_s
from mulberrybay_runtime.timers import Timers

VM_LIST_PERIOD_S: Final = 1.0
SNAPSHOT_WAIT_S: Final = 4.0
# Nodes read the list at different times, so a list that is newer by less than
# this is not sent to a peer.
PEER_AGE_MARGIN_S: Final = 3 * VM_LIST_PERIOD_S
NO_SNAPSHOT_VERSION: Final = -1


class FleetTask:
    """Updates the view of VMs and snapshots.

    During an outage of the platform the last view stays in use.
    """

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
        self._snapshot_follower = ObjectFollower(
            store,
            timers,
            SNAPSHOT_KIND,
            SNAPSHOT_WAIT_S,
            self._apply_snapshot_objects,
        )
        # The version of the last known change of snapshots, which the platform
        # or a peer reported.
        self._snapshot_version = NO_SNAPSHOT_VERSION
        self._fleet_read_at_s = -math.inf
        self._request_numbers = itertools.count()
        self.fleet: Fleet = EMPTY_FLEET

    @property
    def has_servers_and_snapshots(self) -> bool:
        """Whether backend servers and the snapshots on them are known.

        False on a node that has just started.
        """
        return bool(self.fleet.servers) and self._catalog.is_listed

    def start(self) -> None:
        """Starts to read VMs and snapshots from the platform."""
        self._read_vms()
        self._snapshot_follower.start()

    def _read_vms(self) -> None:
        sent_at_s = read_clock_s()
        self._store.list_vms(lambda result: self._on_vms(result, sent_at_s))

    def _on_vms(self, result: Result[Fleet, Failure], sent_at_s: float) -> None:
        self._timers.call_later(VM_LIST_PERIOD_S, self._read_vms)
        match result:
            case Result(tag="ok", ok=fleet):
                self._set_fleet(fleet, sent_at_s)
            case _:
                self._request_from_peer()

    def _set_fleet(self, fleet: Fleet, read_at_s: float) -> None:
        self._fleet_read_at_s = read_at_s
        self.fleet = fleet
        self._on_fleet(fleet)

    def _apply_snapshot_objects(self, objects: ObjectList) -> None:
        self._catalog.is_listed = True
        last_version = max((item.version for item in objects.items), default=0)
        if last_version < self._snapshot_version:
            # The answer lists no changed object, or a peer has sent the
            # snapshots of a later version.
            return
        self._snapshot_version = last_version
        for item in objects.items:
            match decode_snapshots(item.name, item.value):
                case Result(tag="ok", ok=snapshots):
                    self._catalog.set_snapshots(item.name, snapshots)
                case _:
                    pass

    # Exchange with peers.

    def _request_from_peer(self) -> None:
        """Requests newer data from one connected peer, in rotation."""
        links = self._get_links()
        peer_ids = links.connected_ids()
        if not peer_ids:
            return
        request_number = next(self._request_numbers)
        request = FleetRequest(
            self._node_id,
            read_clock_s() - self._fleet_read_at_s,
            self._snapshot_version,
        )
        links.send(peer_ids[request_number % len(peer_ids)], request)

    def on_request(self, request: FleetRequest, link: Link) -> None:
        """Sends the VMs and snapshots to a peer whose data is older."""
        age_s = read_clock_s() - self._fleet_read_at_s
        is_fleet_newer = age_s + PEER_AGE_MARGIN_S < request.known_age_s
        are_snapshots_newer = (
            self._snapshot_version > request.known_snapshot_version
        )
        if not self.has_servers_and_snapshots or not (
            is_fleet_newer or are_snapshots_newer
        ):
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
        """Applies the snapshots and VMs of a peer, each only if newer."""
        if update.snapshot_version > self._snapshot_version:
            self._snapshot_version = update.snapshot_version
            self._apply_snapshots(update.snapshots)
        read_at_s = read_clock_s() - update.age_s
        if read_at_s > self._fleet_read_at_s:
            fleet = Fleet(update.entry_vms, update.servers)
            self._set_fleet(fleet, read_at_s)

    def _apply_snapshots(self, snapshots: tuple[IndexSnapshot, ...]) -> None:
        self._catalog.is_listed = True
        for class_name in {item.class_name for item in snapshots}:
            class_snapshots = [
                item for item in snapshots if item.class_name == class_name
            ]
            self._catalog.set_snapshots(class_name, tuple(class_snapshots))
