"""Messages about leases, claims of backend servers, and configuration."""

from typing import NamedTuple

from mulberrybay_core.addresses import Address


class NodeInfo(NamedTuple):
    """A node's description in messages between nodes.

    Attributes:
        node_id: Its ID, from its settings.
        failure_domain: The failure domain that it runs in.
        peer_address: The address to which other nodes connect.
        caller_address: The address to which callers connect.
        is_leaving: Whether it has begun a graceful stop.
        is_serving: Whether it accepts new requests from callers.
        operator_port: The port for operators, at the host of its peer
            address; 0 if unknown.
    """

    node_id: str
    failure_domain: str
    peer_address: Address
    caller_address: Address
    is_leaving: bool = False
    is_serving: bool = False
    operator_port: int = 0


class NodeEpoch(NamedTuple):
    """One epoch of a node.

    A node that may have lost its lease starts a new epoch, and no longer holds
    the backend servers of the old one.
    """

    node_id: str
    epoch: int


class Heartbeat(NamedTuple):
    """A node's request to one peer to renew its lease.

    Attributes:
        sender: The node that asks.
        epoch: The epoch that the lease is for; 0 asks for no lease.
        sequence: Echoed in the acknowledgement.
        revision: The configuration revision in force at the sender.
        expired: Epochs to which the sender will never again grant a lease.
        granted: Epochs to which the sender has granted a lease that may
            not have expired yet.
        members: The nodes that the sender knows, except itself.
    """

    sender: NodeInfo
    epoch: int
    sequence: int
    revision: int
    expired: tuple[NodeEpoch, ...]
    granted: tuple[NodeEpoch, ...]
    members: tuple[NodeInfo, ...]


class HeartbeatAck(NamedTuple):
    """The answer to a heartbeat.

    Attributes:
        sender_id: The node that answers.
        sequence: The sequence number of the heartbeat.
        is_granted: Whether the sender grants the lease.
        expired_epoch: The highest epoch of the asking node to which the
            sender no longer grants leases.
        revision: The configuration revision in force at the sender.
    """

    sender_id: str
    sequence: int
    is_granted: bool
    expired_epoch: int
    revision: int


class Goodbye(NamedTuple):
    """A node's last message: it holds nothing and will request no lease."""

    node_id: str
    epoch: int


class Claim(NamedTuple):
    """A node's request to a peer to release backend servers to it.

    Attributes:
        sender_id: The node that should hold them.
        epoch: The sender's epoch.
        claim_id: Increases with every claim of the sender; echoed in the
            answer.
        server_ids: The backend servers.
    """

    sender_id: str
    epoch: int
    claim_id: int
    server_ids: tuple[str, ...]


class ClaimAnswer(NamedTuple):
    """The answer to a claim: the backend servers that the sender released.

    The sender dispatches to these again only after a claim of its own.

    Attributes:
        sender_id: The node that answers.
        claim_epoch: The epoch of the claim that it answers.
        claim_id: The ID of the claim that it answers.
        released_ids: Backend servers that the sender does not hold.
    """

    sender_id: str
    claim_epoch: int
    claim_id: int
    released_ids: tuple[str, ...]


class ConfigurationRequest(NamedTuple):
    """A request to a peer for a revision newer than the sender's."""

    sender_id: str
    known_revision: int


class ConfigurationUpdate(NamedTuple):
    """A configuration, as the JSON document stored by the platform."""

    sender_id: str
    revision: int
    document_json: bytes
