"""Rollouts: how a service moves to another version of its software.

Decisions only; the node passes in what it observes, the time and a source of
random numbers. See docs/design/rollouts.md.
"""

from mulberrybay_core.rollouts.node_rollouts import NodeRollouts
from mulberrybay_core.rollouts.orders import (
    ArmCounts,
    RolloutCounts,
    RolloutOrder,
    RolloutServer,
    RolloutState,
    RolloutStatus,
    RolloutStep,
    RolloutSummary,
    RolloutTerms,
)

__all__ = [
    "ArmCounts",
    "NodeRollouts",
    "RolloutCounts",
    "RolloutOrder",
    "RolloutServer",
    "RolloutState",
    "RolloutStatus",
    "RolloutStep",
    "RolloutSummary",
    "RolloutTerms",
]
