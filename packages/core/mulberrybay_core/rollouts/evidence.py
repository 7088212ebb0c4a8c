"""Judges a new version by its replies, compared with those of the old one.

Each test returns the logarithm of a Bayes factor: how much more likely the
counts are if the new version is bad than if it is like the old one.
"""

import math
from collections.abc import Mapping
from typing import Final, NamedTuple

from mulberrybay_core.rollouts.orders import ArmCounts, ArmKey

# The expected ratio of bad replies: of the old version, and of a new one that
# is worse by much or by little. Parameters of beta distributions: bad and good
# replies.
OLD_PRIOR: Final = (0.2, 20.0)
BAD_PRIORS: Final = ((2.0, 14.0), (4.0, 60.0))
# The replies as of all the old version's that are assumed on one route, or in the
# last seconds.
PART_PRIOR_COUNT: Final = 20.0
# The bad replies on one route without which the others decide.
MIN_ROUTE_BAD_COUNT: Final = 2
# A bad version takes at least this multiple of the time.
BAD_LATENCY_RATIO: Final = 2.0
# A higher difference than this multiple of the threshold counts as this.
MAX_THRESHOLD_RATIO: Final = 1.5
# Standard deviation of the logarithm of a latency before any is known, and its
# weight in latencies.
PRIOR_LOG_LATENCY_SD: Final = 0.5
PRIOR_LATENCY_COUNT: Final = 4.0
# Standard deviation of the difference between the few servers of the canary and
# the old ones, if the versions are the same.
SERVER_LOG_LATENCY_SD: Final = 0.2
MIN_LATENCY_COUNT: Final = 3
# Latencies as typical for the route that are assumed of the old version, which
# has few replies when the request rate is low.
OLD_PRIOR_LATENCY_COUNT: Final = 2

ALL_ROUTES: Final = "all routes"
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


def subtract_counts(first: ArmCounts, second: ArmCounts) -> ArmCounts:
    """Returns what one count has more than an earlier one."""
    return ArmCounts(
        first.reply_count - second.reply_count,
        first.bad_count - second.bad_count,
        first.log_latency_sum - second.log_latency_sum,
        first.log_latency_square_sum - second.log_latency_square_sum,
        first.latency_count - second.latency_count,
    )


def prior_of(
    old: ArmCounts, old_prior: tuple[float, float] = OLD_PRIOR
) -> tuple[float, float]:
    """Returns what the counts of the old version let expect of a part of it."""
    bad_ratio = (old.bad_count + old_prior[0]) / (
        old.reply_count + sum(old_prior)
    )
    return PART_PRIOR_COUNT * bad_ratio, PART_PRIOR_COUNT * (1 - bad_ratio)


def judge(
    arms: Mapping[ArmKey, ArmCounts],
    old_prior: tuple[float, float] = OLD_PRIOR,
) -> Evidence:
    """Compares the new version with the old one.

    Args:
        arms: The counts by version and route.
        old_prior: The bad and good replies that are assumed of the old version.
    """
    new = old = NO_COUNTS
    for (is_new, _), counts in arms.items():
        if is_new:
            new = add_counts(new, counts)
        else:
            old = add_counts(old, counts)
    failure, failure_route = failure_weight(new, old, old_prior), ALL_ROUTES
    latency, latency_route = latency_weight(new, old), ALL_ROUTES
    routes = [route for is_new, route in sorted(arms) if is_new]
    if len(routes) < 2:
        routes = []
    route_prior = prior_of(old, old_prior)
    for route in routes:
        # The fault may be on any of the routes, which makes it less likely that
        # it is on this one.
        penalty = math.log(len(routes))
        counts, old_counts = (
            arms[True, route],
            arms.get((False, route), NO_COUNTS),
        )
        if counts.bad_count >= MIN_ROUTE_BAD_COUNT:
            weight = failure_weight(counts, old_counts, route_prior) - penalty
            if weight > failure:
                failure, failure_route = weight, route
        # Servers differ on single routes more than on all of them.
        weight = latency_weight(counts, old_counts) - 2 * penalty
        if weight > latency:
            latency, latency_route = weight, route
    if failure >= latency:
        reason = f"bad replies, {failure_route}"
    else:
        reason = f"latency, {latency_route}"
    return Evidence(failure, latency, new, old, reason)


def failure_weight(
    new: ArmCounts, old: ArmCounts, old_prior: tuple[float, float]
) -> float:
    """Compares the ratios of bad replies.

    Args:
        new: The counts of the new version.
        old: The counts of the old version.
        old_prior: The bad and good replies that are assumed of the old version.
    """
    bad_count, good_count = new.bad_count, new.reply_count - new.bad_count
    old_bad = old_prior[0] + old.bad_count
    old_good = old_prior[1] + old.reply_count - old.bad_count
    as_old = _log_beta(old_bad + bad_count, old_good + good_count) - _log_beta(
        old_bad, old_good
    )
    as_bad = sum(
        math.exp(
            _log_beta(prior_bad + bad_count, prior_good + good_count)
            - _log_beta(prior_bad, prior_good)
            - as_old
        )
        for prior_bad, prior_good in BAD_PRIORS
    )
    return math.log(as_bad / len(BAD_PRIORS))


def latency_weight(new: ArmCounts, old: ArmCounts) -> float:
    """Compares the means of the logarithms of the latencies."""
    if new.latency_count < MIN_LATENCY_COUNT:
        return 0.0
    old = old._replace(
        latency_count=old.latency_count + OLD_PRIOR_LATENCY_COUNT
    )
    new_mean, new_error = _log_latency(new)
    old_mean, old_error = _log_latency(old)
    threshold = math.log(BAD_LATENCY_RATIO)
    # A few very slow replies don't decide.
    difference = min(new_mean - old_mean, MAX_THRESHOLD_RATIO * threshold)
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
