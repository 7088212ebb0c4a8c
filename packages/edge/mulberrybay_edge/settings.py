"""The settings of an edge node, whole and checked."""

from typing import NamedTuple

from mulberrybay_core.addresses import Address
from mulberrybay_core.caller_messages import HeaderNames
from mulberrybay_core.shared_limits import RetryTerms


class EdgeAddresses(NamedTuple):
    """Where a node listens.

    Attributes:
        callers: For requests of callers.
        readiness: For the platform's readiness checks; None for none.
        directory: For callers that ask which nodes to use; None for none.
        peers: For heartbeats of other nodes, over UDP.
        metrics: For metrics; None for none.
    """

    callers: Address
    readiness: Address | None
    directory: Address | None
    peers: Address
    metrics: Address | None


class EdgePaths(NamedTuple):
    """The paths that a node answers itself."""

    readiness: str
    directory: str
    metrics: str


class EdgeSettings(NamedTuple):
    """The settings of one node.

    Attributes:
        node_name: Unique among the nodes, and kept over restarts.
        failure_domain: Where the node runs.
        addresses: Where it listens.
        paths: What it answers itself.
        names: The names of headers on the wire.
        retry_terms: The limit on repeats, for all nodes together.
        cold_factor: What a cold server bears, as a multiple of its rate.
        stop_grace_s: How long the process may run after SIGTERM.
        address_life_s: How long callers keep an answer of the directory.
        store_address: Where the platform's store listens.
        cpu_cores: The processor time that the process gets each second.
    """

    node_name: str
    failure_domain: str
    addresses: EdgeAddresses
    paths: EdgePaths
    names: HeaderNames
    retry_terms: RetryTerms
    cold_factor: float
    stop_grace_s: float
    address_life_s: float
    store_address: Address
    cpu_cores: float
