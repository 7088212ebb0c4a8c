"""Judges a new version by its replies, compared with those of the old one.

Each test returns the logarithm of a Bayes factor: how much more likely the
counts are if the new version is bad than if it is like the old one.
"""

import math
from collections.abc import Iterable, Mapping
from typing import Final, NamedTuple

from mulberrybay_core.rollouts.orders import ArmCounts, ArmKey

# The expected ratio of bad replies: of the old version, and of a new one that
# is worse. Parameters of beta distributions: bad and good replies.
OLD_PRIOR: Final = (0.2, 20.0)
BAD_PRIOR: Final = (1.0, 6.0)
# A bad version takes at least this multiple of the time.
BAD_LATENCY_RATIO: Final = 2.0
# Standard deviation of the logarithm of a latency before any is known, and its
# weight in latencies.
PRIOR_LOG_LATENCY_SD: Final = 0.5
PRIOR_LATENCY_COUNT: Final = 4.0
# Standard deviation of the difference between servers of the same version.
SERVER_LOG_LATENCY_SD: Final = 0.15
MIN_LATENCY_COUNT: Final = 3

NO_COUNTS: Final = ArmCounts()


class Evidence(NamedTuple):
    """What is known for or against a new version.

    Attributes:
        failure_weight: Logarithm of the Bayes factor from bad replies, the
            highest over the routes and all of them together.
        latency_weight: The same from latencies.
        new: Counts of the new version over all routes.
        old: Counts of the old version over all routes.
        reason: Where the highest weight comes from, for operators.
    """

    failure_weight: float
    latency_weight: float
    new: ArmCounts
    old: ArmCounts
    reason: str

    @property
    def weight(self) -> float:
        """The higher one of the weights."""
        return max(self.failure_weight, self.latency_weight)


def add_counts(first: ArmCounts, second: ArmCounts) -> ArmCounts:
    """Returns the sum of two counts."""
    return ArmCounts(
        first.reply_count + second.reply_count,
        first.bad_count + second.bad_count,
        first.log_latency_sum + second.log_latency_sum,
        first.log_latency_square_sum + second.log_latency_square_sum,
        first.latency_count + second.latency_count,
    )


def sum_arms(
    reports: Iterable[Mapping[ArmKey, ArmCounts]],
) -> dict[ArmKey, ArmCounts]:
    """Returns the counts of several nodes together."""
    total: dict[ArmKey, ArmCounts] = {}
    for arms in reports:
        for key, counts in arms.items():
            total[key] = add_counts(total.get(key, NO_COUNTS), counts)
    return total


def judge(arms: Mapping[ArmKey, ArmCounts]) -> Evidence:
    """Compares the new version with the old one."""
    new = old = NO_COUNTS
    failure = latency = -math.inf
    failure_route = latency_route = ""
    for is_new, route in sorted(arms):
        if not is_new:
            old = add_counts(old, arms[is_new, route])
            continue
        new = add_counts(new, arms[True, route])
        pair = arms[True, route], arms.get((False, route), NO_COUNTS)
        weight = failure_weight(*pair)
        if weight > failure:
            failure, failure_route = weight, route
        weight = latency_weight(*pair)
        if weight > latency:
            latency, latency_route = weight, route
    weight = failure_weight(new, old)
    if weight >= failure:
        failure, failure_route = weight, "all routes"
    weight = latency_weight(new, old)
    if weight >= latency:
        latency, latency_route = weight, "all routes"
    if failure >= latency:
        reason = f"bad replies, {failure_route}"
    else:
        reason = f"latency, {latency_route}"
    return Evidence(failure, latency, new, old, reason)


def failure_weight(new: ArmCounts, old: ArmCounts) -> float:
    """Compares the ratios of bad replies."""
    old_bad, old_good = OLD_PRIOR
    bad_count, good_count = new.bad_count, new.reply_count - new.bad_count
    old_bad += old.bad_count
    old_good += old.reply_count - old.bad_count
    as_old = _log_beta(old_bad + bad_count, old_good + good_count) - _log_beta(
        old_bad, old_good
    )
    prior_bad, prior_good = BAD_PRIOR
    as_bad = _log_beta(
        prior_bad + bad_count, prior_good + good_count
    ) - _log_beta(prior_bad, prior_good)
    return as_bad - as_old


def latency_weight(new: ArmCounts, old: ArmCounts) -> float:
    """Compares the means of the logarithms of the latencies."""
    if min(new.latency_count, old.latency_count) < MIN_LATENCY_COUNT:
        return 0.0
    new_mean, new_error = _log_latency(new)
    old_mean, old_error = _log_latency(old)
    threshold = math.log(BAD_LATENCY_RATIO)
    # More than the threshold speaks against the version as the threshold does.
    difference = min(new_mean - old_mean, threshold)
    variance = new_error + old_error + SERVER_LOG_LATENCY_SD**2
    return threshold * (difference - threshold / 2) / variance


def _log_latency(counts: ArmCounts) -> tuple[float, float]:
    """Returns the mean and the variance of its error."""
    count = counts.latency_count
    mean = counts.log_latency_sum / count
    square_sum = max(0.0, counts.log_latency_square_sum - count * mean**2)
    square_sum += PRIOR_LATENCY_COUNT * PRIOR_LOG_LATENCY_SD**2
    return mean, square_sum / (count + PRIOR_LATENCY_COUNT) / count


def _log_beta(a: float, b: float) -> float:
    return math.lgamma(a) + math.lgamma(b) - math.lgamma(a + b)
