"""Messages by which nodes hand on what the platform told them of VMs.

They serve a node whose own reads of the platform fail.
"""

from typing import NamedTuple

from mulberrybay_core.fleet import BackendServer, EntryVm
from mulberrybay_core.snapshot import IndexSnapshot


class FleetRequest(NamedTuple):
    """A node asks a peer for a younger list of VMs or newer snapshots.

    Attributes:
        sender_id: The node that asks.
        known_age_s: How long ago the platform made the sender's list; infinite
            if it has none.
        known_snapshot_version: The store's version at the last change of the
            sender's snapshots; -1 if it has none.
    """

    sender_id: str
    known_age_s: float
    known_snapshot_version: int


class FleetUpdate(NamedTuple):
    """The list of VMs and the index snapshots, as the sender knows them.

    Attributes:
        sender_id: The node that answers.
        age_s: How long ago the platform made the list.
        entry_vms: The list's entry VMs.
        servers: The list's backend servers.
        snapshot_version: The store's version at their last change.
        snapshots: The index snapshots of all classes of work.
    """

    sender_id: str
    age_s: float
    entry_vms: tuple[EntryVm, ...]
    servers: tuple[BackendServer, ...]
    snapshot_version: int
    snapshots: tuple[IndexSnapshot, ...]
