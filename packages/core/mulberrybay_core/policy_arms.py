"""Selects the replica and hedging policies of a node.

Each named set of policies is called an arm. Only `adaptive` is meant for
production. The other arms are baselines for experiments; they differ from
`adaptive` only in the choice of replicas and in hedging.
"""

import random
from typing import Final, NamedTuple

from mulberrybay_core.extra_load import ExtraLoadBudget
from mulberrybay_core.hedging import FixedHedging, NoHedging, QuantileHedging
from mulberrybay_core.overload_episode import OverloadEpisode
from mulberrybay_core.query_context import ClassPolicies
from mulberrybay_core.replica_choice import (
    LeastExpectedWait,
    LeastOutstanding,
    RandomReplica,
    RoundRobin,
)
from mulberrybay_core.server_waits import ServerWaits

POLICY_ARMS: Final = ("adaptive", "least_outstanding", "random", "round_robin")
FIXED_HEDGE_S: Final = 0.1


class PolicySettings(NamedTuple):
    """Selects the policies of one node.

    Attributes:
        arm: One of `POLICY_ARMS`.
    """

    arm: str = "adaptive"


def make_class_policies(
    settings: PolicySettings, random_source: random.Random
) -> ClassPolicies:
    """Returns new policies, without any history, for one class of work."""
    budget = ExtraLoadBudget()
    waits = ServerWaits()
    overload = OverloadEpisode()
    match settings.arm:
        case "random":
            return ClassPolicies(
                RandomReplica(random_source),
                NoHedging(),
                budget,
                waits,
                overload,
            )
        case "round_robin":
            return ClassPolicies(
                RoundRobin(),
                FixedHedging(FIXED_HEDGE_S),
                budget,
                waits,
                overload,
            )
        case "least_outstanding":
            return ClassPolicies(
                LeastOutstanding(random_source),
                NoHedging(),
                budget,
                waits,
                overload,
            )
    return ClassPolicies(
        LeastExpectedWait(random_source, waits),
        QuantileHedging(),
        budget,
        waits,
        overload,
    )
