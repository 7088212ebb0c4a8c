"""The settings of an edge node."""

from typing import NamedTuple

from mulberrybay_core.addresses import Address
from mulberrybay_core.caller_messages import HeaderNames
from mulberrybay_core.callers.machine_limits import (
    DEFAULT_MACHINE_LIMITS,
    MachineLimits,
)
from mulberrybay_core.follow_times import DEFAULT_FOLLOW_TIMES, FollowTimes
from mulberrybay_core.rollouts import RolloutTerms
from mulberrybay_core.shared_limits import RetryBudgetSettings
from mulberrybay_core.tenants.quotas import QuotaTerms


class EdgeAddresses(NamedTuple):
    """The addresses that a node listens on.

    Attributes:
        callers: For requests of callers.
        readiness: For the platform's readiness checks; None to not listen.
        directory: For callers that ask which nodes to connect to; None to not
            listen.
        peers: For heartbeats over UDP and requests of other nodes over TCP.
        metrics: For reading metrics; None to not listen.
    """

    callers: Address
    readiness: Address | None
    directory: Address | None
    peers: Address
    metrics: Address | None


class EdgePaths(NamedTuple):
    """The URL paths of requests that a node answers itself."""

    readiness: str
    directory: str
    metrics: str


class EdgeBoundNames(NamedTuple):
    """The names of targets among the bounds in the settings file.

    Attributes:
        contact_ms: After a fault, the time within which a node must know all
            changes again.
        apply_ms: The time within which a change must be in force otherwise.
        quota_window_s: The sliding window of the tenants' quotas.
        quota_excess: How far all nodes together may exceed a quota.
        quota_slack: The requests allowed beyond that.
    """

    contact_ms: str
    apply_ms: str
    quota_window_s: str
    quota_excess: str
    quota_slack: str


class EdgeSettings(NamedTuple):
    """The settings of one node.

    Attributes:
        node_name: Unique among the nodes, and unchanged after a restart.
        failure_domain: The failure domain that the node runs in.
        addresses: The addresses that it listens on.
        paths: The URL paths of requests that it answers itself.
        names: The names of HTTP headers.
        retry_terms: The retry budget of each service, for all nodes together.
        cold_factor: The rate that a cold server can handle, as a multiple of
            its service's `cold_requests_per_s`.
        leaving_service_s: How long a backend server accepts requests after it
            has announced to leave.
        stop_grace_s: How long the process may run after SIGTERM.
        address_life_s: How long callers may cache a reply of the directory.
        store_address: The address of the platform's store.
        cpu_cores: The CPU seconds that the process can use per second.
        follow_times: How long it counts on a call to the store.
        machine: What the machine allows the process to use.
        rollouts: The bounds of rollouts; None if nodes take no part in them.
        quotas: The bounds on the quotas of tenants; None to enforce none.
    """

    node_name: str
    failure_domain: str
    addresses: EdgeAddresses
    paths: EdgePaths
    names: HeaderNames
    retry_terms: RetryBudgetSettings
    cold_factor: float
    leaving_service_s: float
    stop_grace_s: float
    address_life_s: float
    store_address: Address
    cpu_cores: float
    follow_times: FollowTimes = DEFAULT_FOLLOW_TIMES
    machine: MachineLimits = DEFAULT_MACHINE_LIMITS
    rollouts: RolloutTerms | None = None
    quotas: QuotaTerms | None = None
