"""Messages by which nodes keep leases and hand backend servers over."""

from typing import NamedTuple

from mulberrybay_core.addresses import Address


class NodeInfo(NamedTuple):
    """What nodes tell each other about a node.

    Attributes:
        node_id: Its identity, from its settings.
        failure_domain: Where it runs.
        peer_address: Where other nodes dial it.
        caller_address: Where callers reach it.
        is_leaving: Whether it has begun a graceful stop.
        is_serving: Whether it takes new work from callers.
        operator_port: Where operators reach it, at the host of its
            peer address; 0 if not known.
    """

    node_id: str
    failure_domain: str
    peer_address: Address
    caller_address: Address
    is_leaving: bool = False
    is_serving: bool = False
    operator_port: int = 0


class NodeEpoch(NamedTuple):
    """One epoch of a node; a node that may have lost its lease starts a new.

    A node holds backend servers only within one epoch.
    """

    node_id: str
    epoch: int


class Heartbeat(NamedTuple):
    """A node's request to one peer for a renewal of its lease.

    Attributes:
        sender: The node that asks.
        epoch: The epoch that the lease is for.
        sequence: Pairs the acknowledgement with this message.
        revision: The configuration revision in force at the sender.
        lapsed: Epochs to which the sender will never again grant a lease.
        granted: Epochs to which the sender has granted a lease that may
            not have lapsed.
        members: The nodes that the sender knows of, itself excluded.
    """

    sender: NodeInfo
    epoch: int
    sequence: int
    revision: int
    lapsed: tuple[NodeEpoch, ...]
    granted: tuple[NodeEpoch, ...]
    members: tuple[NodeInfo, ...]


class HeartbeatAck(NamedTuple):
    """The answer to a heartbeat.

    Attributes:
        sender_id: The node that answers.
        sequence: The heartbeat's.
        is_granted: Whether the sender grants the lease.
        lapsed_epoch: The highest epoch of the asking node to which the
            sender grants nothing any more.
        revision: The configuration revision in force at the sender.
    """

    sender_id: str
    sequence: int
    is_granted: bool
    lapsed_epoch: int
    revision: int


class Goodbye(NamedTuple):
    """A node's last message: it holds nothing and will ask for nothing."""

    node_id: str
    epoch: int


class Claim(NamedTuple):
    """A node asks a peer whether it may take over backend servers.

    Attributes:
        sender_id: The node that wants to hold them.
        epoch: The sender's epoch.
        claim_id: Grows with every claim of the sender; echoed.
        server_ids: The backend servers.
    """

    sender_id: str
    epoch: int
    claim_id: int
    server_ids: tuple[str, ...]


class ClaimAnswer(NamedTuple):
    """Which backend servers the sender does not hold.

    The sender will not dispatch to these again without a claim of its own.

    Attributes:
        sender_id: The node that answers.
        claim_epoch: The epoch of the claim that it answers.
        claim_id: The identity of the claim that it answers.
        released_ids: Backend servers that the sender does not hold.
    """

    sender_id: str
    claim_epoch: int
    claim_id: int
    released_ids: tuple[str, ...]


class ConfigurationRequest(NamedTuple):
    """A node asks a peer for a revision that it lacks."""

    sender_id: str
    known_revision: int


class ConfigurationUpdate(NamedTuple):
    """A configuration, as the JSON that the platform keeps."""

    sender_id: str
    revision: int
    document_json: bytes
