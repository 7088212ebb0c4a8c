"""How many requests this node may send to a version that is not yet judged.

Each node uses a fixed part of the bound for all nodes, so the nodes keep to it
without messages. Most parts are fractions of a request when there are many
nodes. They are rounded at random, so that the parts of all nodes add up to the
bound; the unused ratio of the bound covers the deviation.
"""

import random
from typing import Final

from mulberrybay_core.rollouts.orders import RolloutTerms
from mulberrybay_core.shared_limits import USED_SHARE_RATIO

# The part of the slack that the canary uses. The rest is for the requests that
# are sent to the new version between the promote step and a fault seen then.
CANARY_SLACK_RATIO: Final = 0.65
# The part of the canary's slack that may be used at once; the rest becomes
# available evenly until the promote step, so that faults that appear later are
# seen too.
FIRST_SLACK_RATIO: Final = 0.4
# The requests without a reply that a canary may start with, and the replies
# after which one more is allowed.
FIRST_STEP_COUNT: Final = 2
REPLIES_PER_STEP: Final = 2


class Exposure:
    """What this node has sent to a new version.

    Attributes:
        request_count: The requests for the service since the order.
        sent_count: The requests sent to the new version, hedges and retries
            included.
        reply_count: The requests sent to it that have ended.
        has_slack: Whether this node may use a part of the slack. A node that
            started after the order may have used it before it started.
    """

    __slots__ = (
        "_rounding_count",
        "_terms",
        "_used_divisor",
        "has_slack",
        "reply_count",
        "request_count",
        "sent_count",
    )

    def __init__(
        self,
        terms: RolloutTerms,
        random_source: random.Random,
        *,
        has_slack: bool,
    ) -> None:
        self._terms = terms
        self._rounding_count = random_source.random()
        self._used_divisor = 1.0
        self.has_slack = has_slack
        self.request_count = 0
        self.sent_count = 0
        self.reply_count = 0

    def set_divisor(self, divisor: float) -> None:
        """Sets by how much the slack is divided; it only increases.

        When nodes are lost, the others must not use again what they used.
        """
        self._used_divisor = max(self._used_divisor, divisor)

    def allowed_count(self, progress_ratio: float) -> float:
        """Returns how many requests the canary may have sent by now.

        Args:
            progress_ratio: How much of the canary's time has passed, 0 to 1.
        """
        count = self._terms.expose_share * self.request_count
        if self.has_slack:
            released_ratio = FIRST_SLACK_RATIO
            released_ratio += (1 - FIRST_SLACK_RATIO) * progress_ratio
            slack_count = self._terms.expose_slack_count * CANARY_SLACK_RATIO
            count += slack_count * released_ratio / self._used_divisor
        return count * USED_SHARE_RATIO + self._rounding_count

    def may_send(self, progress_ratio: float) -> bool:
        """Returns whether the canary may send one more request now."""
        pending_count = self.sent_count - self.reply_count
        step_count = FIRST_STEP_COUNT + self.reply_count // REPLIES_PER_STEP
        return (
            pending_count < step_count
            and self.sent_count + 1 <= self.allowed_count(progress_ratio)
        )
