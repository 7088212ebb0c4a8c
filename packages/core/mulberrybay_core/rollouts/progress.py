"""When a rollout takes its next step."""

import math
from typing import Final, NamedTuple

from mulberrybay_core.rollouts.evidence import Evidence
from mulberrybay_core.rollouts.orders import (
    RolloutState,
    RolloutStatus,
    RolloutStep,
)

# How long before the deadline the promote step and the end are due. A write to
# the store and its watch take up to 1 s each, and the age of the order is known
# to about half a second. Each is at most a part of the duration.
PROMOTE_LEAD_S: Final = 3.4
MAX_PROMOTE_LEAD_RATIO: Final = 0.4
SEEN_COMPLETE_LEAD_S: Final = 1.4
COMPLETE_LEAD_S: Final = 1.2
MAX_COMPLETE_LEAD_RATIO: Final = 0.15
# A promote step that this node learns of this long after it was due is late:
# nodes get the time below to learn of it.
MAX_PROMOTE_DELAY_S: Final = 1.5
LATE_PROMOTE_S: Final = 2.2
# The replies without which a version can't be judged.
MIN_REPLY_COUNT: Final = 8
# Logarithms of Bayes factors. A fault is certain enough at any time from the
# first on, with at least two bad replies. When the step is due, less is enough,
# since a missed bad version costs more than a good one that is rolled back.
CERTAIN_WEIGHT: Final = math.log(50)
# Failures need more evidence if the old version has them too.
DUE_LATENCY_WEIGHT: Final = math.log(4)
DUE_FAILURE_WEIGHT: Final = math.log(2)
DUE_LONE_FAILURE_WEIGHT: Final = math.log(1.5)
MIN_BAD_COUNT: Final = 2
MIN_SLOW_COUNT: Final = 6


class RolloutProgress(NamedTuple):
    """What the next step depends on.

    Attributes:
        duration_s: The duration of the order.
        age_s: The known age of the order.
        step: The step in force.
        step_age_s: How long this node has known of the step.
        evidence: The evidence of all nodes.
        all_have_seen: Whether every running node knows of the step.
        old_in_flight_count: Requests to old servers without a reply.
    """

    duration_s: float
    age_s: float
    step: RolloutStep
    step_age_s: float
    evidence: Evidence
    all_have_seen: bool
    old_in_flight_count: int


def promote_age_s(duration_s: float) -> float:
    """Returns the age at which the promote step is due."""
    lead_s = min(PROMOTE_LEAD_S, MAX_PROMOTE_LEAD_RATIO * duration_s)
    return max(0.0, duration_s - lead_s)


def complete_age_s(duration_s: float, *, all_have_seen: bool) -> float:
    """Returns the age at which a promoted rollout is completed."""
    lead_s = SEEN_COMPLETE_LEAD_S if all_have_seen else COMPLETE_LEAD_S
    return duration_s - min(lead_s, MAX_COMPLETE_LEAD_RATIO * duration_s)


def is_certainly_bad(evidence: Evidence) -> bool:
    """Returns whether a version is bad enough to stop at any time."""
    return (
        evidence.failure_weight >= CERTAIN_WEIGHT
        and evidence.new.bad_count >= MIN_BAD_COUNT
    ) or (
        evidence.latency_weight >= CERTAIN_WEIGHT
        and evidence.new.latency_count >= MIN_SLOW_COUNT
    )


def waits_for(progress: RolloutProgress) -> str:
    """Returns what the next step waits for, for operators; may be empty."""
    if progress.step is RolloutStep.PROMOTE:
        return "" if progress.all_have_seen else "nodes"
    if progress.age_s < promote_age_s(progress.duration_s):
        return "time"
    return "" if _is_enough(progress.evidence) else "replies"


def _is_enough(evidence: Evidence) -> bool:
    new = evidence.new
    return (
        new.reply_count >= MIN_REPLY_COUNT
        and new.latency_count >= MIN_REPLY_COUNT // 2
    )


def _is_suspect(evidence: Evidence) -> bool:
    needed_weight = DUE_LONE_FAILURE_WEIGHT
    if evidence.old.bad_count:
        needed_weight = DUE_FAILURE_WEIGHT
    return (
        evidence.failure_weight >= needed_weight
        or evidence.latency_weight >= DUE_LATENCY_WEIGHT
    )


def next_status(
    progress: RolloutProgress, target_version: str
) -> RolloutStatus | None:
    """Returns the next status of a running rollout; None if it stays."""
    evidence, age_s = progress.evidence, progress.age_s
    is_due = age_s >= promote_age_s(progress.duration_s)
    if is_certainly_bad(evidence) or (
        is_due and _is_enough(evidence) and _is_suspect(evidence)
    ):
        return RolloutStatus(
            RolloutState.ROLLED_BACK,
            RolloutStep.DONE,
            target_version,
            age_s,
            evidence.reason,
        )
    if progress.step is RolloutStep.CANARY:
        if not is_due or not _is_enough(evidence):
            return None
        return RolloutStatus(
            RolloutState.RUNNING, RolloutStep.PROMOTE, target_version, age_s
        )
    is_clear = progress.all_have_seen and not progress.old_in_flight_count
    is_over = age_s >= complete_age_s(
        progress.duration_s, all_have_seen=is_clear
    )
    # A promote step that came late gets its time, whatever the deadline.
    began_at_age_s = age_s - progress.step_age_s
    is_late = began_at_age_s > promote_age_s(progress.duration_s) + (
        MAX_PROMOTE_DELAY_S
    )
    has_had_time = (
        not is_late or is_clear or progress.step_age_s >= LATE_PROMOTE_S
    )
    if not is_over or not has_had_time:
        return None
    return RolloutStatus(
        RolloutState.COMPLETED, RolloutStep.DONE, target_version, age_s
    )
