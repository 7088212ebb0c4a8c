"""Messages in which nodes exchange VM lists and index snapshots.

A node whose own reads from the platform fail gets this data from its peers.
"""

from typing import NamedTuple

from mulberrybay_core.fleet import BackendServer, EntryVm
from mulberrybay_core.snapshot import IndexSnapshot


class FleetRequest(NamedTuple):
    """A request to a peer for a newer VM list or newer index snapshots.

    Attributes:
        sender_id: The node that asks.
        known_age_s: The age of the sender's VM list, counted from the request
            to the platform; infinite if the sender has none.
        known_snapshot_version: The store's version at the last change of the
            sender's snapshots; -1 if the sender has none.
    """

    sender_id: str
    known_age_s: float
    known_snapshot_version: int


class FleetUpdate(NamedTuple):
    """The VM list and the index snapshots that the sender has.

    Attributes:
        sender_id: The node that answers.
        age_s: The age of the VM list, counted from the request to the
            platform.
        entry_vms: The entry VMs in the list.
        servers: The backend servers in the list.
        snapshot_version: The store's version at the last change of the
            snapshots.
        snapshots: The index snapshots of all classes of work.
    """

    sender_id: str
    age_s: float
    entry_vms: tuple[EntryVm, ...]
    servers: tuple[BackendServer, ...]
    snapshot_version: int
    snapshots: tuple[IndexSnapshot, ...]
