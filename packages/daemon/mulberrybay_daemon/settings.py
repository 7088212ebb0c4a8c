"""The settings of one node."""

from typing import NamedTuple

from mulberrybay_core.addresses import Address
from mulberrybay_core.admission import AdmissionSettings
from mulberrybay_core.callers.machine_limits import (
    DEFAULT_MACHINE_LIMITS,
    MachineLimits,
)
from mulberrybay_core.membership import MembershipSettings
from mulberrybay_core.policy_arms import PolicySettings
from mulberrybay_core.write_budget import RunSettings


class NodeSettings(NamedTuple):
    """The settings of one node.

    Attributes:
        node_id: The ID of the node, under which the platform lists its VM.
        failure_domain: The failure domain that the node runs in.
        caller_address: The address to listen on for callers.
        peer_address: The address to listen on for other nodes.
        operator_address: The address to listen on for operators.
        platform_address: The address of the platform's object API.
        platform_timeout_s: The timeout of a call to the platform.
        advertised_peer_address: The address at which other nodes connect to
            this one, if it differs from `peer_address`.
        seed_addresses: Peers from which the node learns the members when the
            platform is unreachable.
        operator_token: The bearer token that operators must send; if empty,
            all their requests are refused.
        log_level: The lowest level of messages that are logged.
        log_form: "json" for JSON lines, "console" for lines that people read.
        membership: Durations of leases and heartbeats.
        admission: Limits on the queries that the node accepts.
        runs: Limits on non-idempotent requests.
        machine: What the machine of the node allows its process to use.
        policy: How replicas are chosen and hedges sent; for experiments.
    """

    node_id: str
    failure_domain: str
    caller_address: Address
    peer_address: Address
    operator_address: Address
    platform_address: Address
    platform_timeout_s: float = 1.0
    advertised_peer_address: Address | None = None
    seed_addresses: tuple[Address, ...] = ()
    operator_token: str = ""
    log_level: str = "info"
    log_form: str = "json"
    membership: MembershipSettings = MembershipSettings()
    admission: AdmissionSettings = AdmissionSettings()
    runs: RunSettings = RunSettings()
    machine: MachineLimits = DEFAULT_MACHINE_LIMITS
    policy: PolicySettings = PolicySettings()
