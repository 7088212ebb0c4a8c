"""Reads the platform's list of VMs and the index snapshots."""

from collections.abc import Callable
from typing import Final

from expression import Result

from mulberrybay_core.documents import decode_snapshots
from mulberrybay_core.errors import Failure
from mulberrybay_core.fleet import EMPTY_FLEET, Fleet
from mulberrybay_core.platform_messages import ObjectList, PlatformStore
from mulberrybay_core.snapshot import SNAPSHOT_KIND
from mulberrybay_core.snapshot_catalog import SnapshotCatalog
from mulberrybay_runtime.backoff import Backoff
from mulberrybay_runtime.timers import Timers

VM_LIST_PERIOD_S: Final = 1.0
SNAPSHOT_WATCH_TIMEOUT_S: Final = 10.0


class FleetTask:
    """Keeps the view of VMs and snapshots; an outage leaves the last one."""

    def __init__(
        self,
        store: PlatformStore,
        timers: Timers,
        catalog: SnapshotCatalog,
        on_fleet: Callable[[Fleet], None],
    ) -> None:
        self._store = store
        self._timers = timers
        self._catalog = catalog
        self._on_fleet = on_fleet
        self._backoff = Backoff(max_delay_s=1.0)
        self._store_version = 0
        self.fleet: Fleet = EMPTY_FLEET

    @property
    def knows_servers(self) -> bool:
        """Whether backend servers and the snapshots on them are known.

        They are not at a node that has started in an outage.
        """
        return bool(self.fleet.servers) and self._catalog.is_read

    def start(self) -> None:
        """Starts to read the platform."""
        self._read_vms()
        self._store.list_kind(SNAPSHOT_KIND, self._on_snapshots)

    def _read_vms(self) -> None:
        self._store.list_vms(self._on_vms)

    def _on_vms(self, result: Result[Fleet, Failure]) -> None:
        self._timers.call_later(VM_LIST_PERIOD_S, self._read_vms)
        match result:
            case Result(tag="ok", ok=fleet):
                self.fleet = fleet
                self._on_fleet(fleet)
            case _:
                pass

    def _on_snapshots(self, result: Result[ObjectList, Failure]) -> None:
        match result:
            case Result(tag="ok", ok=objects):
                self._backoff.reset()
                self._take_snapshots(objects)
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

    def _take_snapshots(self, objects: ObjectList) -> None:
        self._store_version = objects.store_version
        self._catalog.is_read = True
        for item in objects.items:
            match decode_snapshots(item.name, item.value):
                case Result(tag="ok", ok=snapshots):
                    self._catalog.set_snapshots(item.name, snapshots)
                case _:
                    pass
