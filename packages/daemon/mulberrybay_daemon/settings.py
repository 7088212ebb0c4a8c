"""The settings of one node."""

from typing import NamedTuple

from mulberrybay_core.addresses import Address
from mulberrybay_core.admission import AdmissionSettings
from mulberrybay_core.membership import MembershipSettings
from mulberrybay_core.policy_arms import PolicySettings
from mulberrybay_core.write_budget import RunSettings


class NodeSettings(NamedTuple):
    """The settings of one node.

    Attributes:
        node_id: Its identity; the platform lists its VM under it.
        failure_domain: Where it runs.
        caller_address: Where it listens for callers.
        peer_address: Where it listens for other nodes.
        operator_address: Where it listens for operators.
        platform_address: The platform's object API.
        platform_timeout_s: How long a call to the platform may take.
        advertised_peer_address: Where other nodes reach this one, if that is
            not the address at which it listens.
        seed_addresses: Peers to ask for members when the platform is down.
        operator_token: What operators must show; empty to refuse them all.
        log_level: The lowest level that is logged.
        log_form: JSON lines for programs, or console lines for people.
        membership: Times of leases.
        admission: Limits on the node's work.
        runs: Limits on non-idempotent requests.
        policy: Which decisions are in force, for experiments.
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
    policy: PolicySettings = PolicySettings()
