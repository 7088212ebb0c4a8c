"""The counts of a rollout, in all and of late.

A fault that appears later is hidden by the good replies before it, so the last
seconds are judged apart too.
"""

import math
from collections import deque
from collections.abc import Mapping
from typing import Final

from mulberrybay_core.rollouts.evidence import (
    NO_COUNTS,
    Evidence,
    add_counts,
    judge,
    prior_of,
    subtract_counts,
)
from mulberrybay_core.rollouts.orders import ArmCounts, ArmKey

# The last seconds begin between one and two of these ago.
WINDOW_S: Final = 2.0
# In a window without this many old replies, as in the promote step, the new
# version is compared with all old replies.
MIN_OLD_COUNT: Final = 10
# What the last seconds must show to be judged apart.
MIN_BAD_COUNT: Final = 2
MIN_LATENCY_COUNT: Final = 6
# The fault may have appeared at any time, which makes this one less likely.
WINDOW_PENALTY: Final = math.log(6)


class ObservedArms:
    """Counts by version and route.

    Attributes:
        total: The counts since the order.
    """

    def __init__(self) -> None:
        self.total: dict[ArmKey, ArmCounts] = {}
        self._marks: deque[tuple[float, dict[ArmKey, ArmCounts]]] = deque()

    def add(self, key: ArmKey, counts: ArmCounts) -> None:
        """Adds to the counts of a version on a route."""
        self.total[key] = add_counts(self.total.get(key, NO_COUNTS), counts)

    def replace(
        self,
        known: Mapping[ArmKey, ArmCounts],
        newer: Mapping[ArmKey, ArmCounts],
    ) -> None:
        """Replaces the counts of one node."""
        for key, counts in newer.items():
            self.add(key, subtract_counts(counts, known.get(key, NO_COUNTS)))

    def judge(self, now_s: float) -> Evidence:
        """Judges the version by all counts and by those of the last seconds."""
        marks = self._marks
        if not marks or now_s - marks[-1][0] >= WINDOW_S:
            marks.append((now_s, dict(self.total)))
        while len(marks) > 1 and now_s - marks[1][0] >= WINDOW_S:
            marks.popleft()
        whole = judge(self.total)
        recent = judge(self._since(marks[0][1]), prior_of(whole.old))
        failure = latency = -math.inf
        if recent.new.bad_count >= MIN_BAD_COUNT:
            failure = recent.failure_weight - WINDOW_PENALTY
        if recent.new.latency_count >= MIN_LATENCY_COUNT:
            latency = recent.latency_weight - WINDOW_PENALTY
        is_late = max(failure, latency) > whole.weight
        return whole._replace(
            failure_weight=max(failure, whole.failure_weight),
            latency_weight=max(latency, whole.latency_weight),
            reason=f"{recent.reason}, late" if is_late else whole.reason,
        )

    def _since(
        self, mark: Mapping[ArmKey, ArmCounts]
    ) -> dict[ArmKey, ArmCounts]:
        recent = {
            key: subtract_counts(counts, mark.get(key, NO_COUNTS))
            for key, counts in self.total.items()
        }
        old_count = sum(
            counts.reply_count
            for (is_new, _), counts in recent.items()
            if not is_new
        )
        if old_count < MIN_OLD_COUNT:
            recent.update(
                (key, counts)
                for key, counts in self.total.items()
                if not key[0]
            )
        return recent
