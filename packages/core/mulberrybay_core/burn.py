"""Burn rates: how fast each class of work uses up its error budgets.

A target allows a percentage of bad events. The burn rate is the percentage
that was bad divided by the percentage allowed; at 1 the error budget is just
used up. A state is raised only if a short and a long window both reach its
rate, so that neither a brief spike nor an old one raises it alone.
"""

import enum
from collections import deque
from collections.abc import Iterable
from typing import Final, NamedTuple

from mulberrybay_core.configuration import Targets

BUCKET_S: Final = 10.0
SHORT_WINDOW_S: Final = 300.0
LONG_WINDOW_S: Final = 3600.0
SERIES_STEP_S: Final = 60.0
SERIES_COUNT: Final = 60
FAST_BURN_RATE: Final = 10.0
# Replaces a smaller allowed percentage, so that the burn rate of a target that
# allows no bad events doesn't divide by zero.
MIN_ALLOWED_PERCENT: Final = 0.01


class Objective(enum.Enum):
    """The kinds of service-level targets."""

    LATENESS = "lateness"
    COVERAGE = "coverage"
    EXTRA_LOAD = "extra_load"


class BurnState(enum.Enum):
    """The state that the short and the long window both reach."""

    OK = "ok"
    BURNING = "burning"
    BURNING_FAST = "burning_fast"


class BurnCounts(NamedTuple):
    """Counts of the requests of one class and of their shards.

    Attributes:
        answer_count: Requests that ended, including refused ones.
        late_count: Those that failed or were answered too late.
        shard_count: Shards that queries asked for.
        missing_count: Those that the answers did not cover.
        extra_count: Sub-requests beyond one per shard.
    """

    answer_count: int = 0
    late_count: int = 0
    shard_count: int = 0
    missing_count: int = 0
    extra_count: int = 0


class RequestEnd(NamedTuple):
    """How one request of a caller ended.

    Attributes:
        latency_s: Time from its arrival to its answer.
        is_answered: Whether it got an answer other than a failure.
        shard_count: Shards that it asked for; 0 for a run or a refused
            request.
        covered_count: Shards that the answer covers.
        attempt_count: Sub-requests sent for it.
    """

    latency_s: float
    is_answered: bool
    shard_count: int = 0
    covered_count: int = 0
    attempt_count: int = 0


def count_request(end: RequestEnd, targets: Targets) -> BurnCounts:
    """Returns the counts of one request, judged by its class's targets."""
    is_in_time = end.is_answered and end.latency_s * 1000 <= targets.lateness_ms
    return BurnCounts(
        answer_count=1,
        late_count=int(not is_in_time),
        shard_count=end.shard_count,
        missing_count=end.shard_count - end.covered_count,
        extra_count=max(0, end.attempt_count - end.shard_count),
    )


def add_counts(items: Iterable[BurnCounts]) -> BurnCounts:
    """Returns the sum of the counts, field by field."""
    return BurnCounts(
        *(sum(column) for column in zip(BurnCounts(), *items, strict=True))
    )


class BurnHistory:
    """The counts of one class: since the start, and in time buckets."""

    def __init__(self) -> None:
        self._total = [0] * len(BurnCounts._fields)
        self._buckets: deque[tuple[int, list[int]]] = deque()

    @property
    def total(self) -> BurnCounts:
        """The counts since the start."""
        return BurnCounts(*self._total)

    def record(self, now_s: float, counts: BurnCounts) -> None:
        """Adds counts; `now_s` must not be less than in earlier calls."""
        number = int(now_s // BUCKET_S)
        if not self._buckets or self._buckets[-1][0] != number:
            self._buckets.append((number, [0] * len(counts)))
            oldest_number = int((now_s - LONG_WINDOW_S) // BUCKET_S)
            while self._buckets[0][0] < oldest_number:
                self._buckets.popleft()
        bucket = self._buckets[-1][1]
        for index, count in enumerate(counts):
            if count:
                bucket[index] += count
                self._total[index] += count

    def window(self, now_s: float, window_s: float) -> BurnCounts:
        """Returns the counts of the last `window_s` seconds."""
        last_excluded_number = int((now_s - window_s) // BUCKET_S)
        return add_counts(
            BurnCounts(*counts)
            for number, counts in self._buckets
            if number > last_excluded_number
        )

    def series(self, now_s: float) -> tuple[BurnCounts, ...]:
        """Returns the counts of each step of the long window, oldest first."""
        steps = [BurnCounts()] * SERIES_COUNT
        current_number = int(now_s // BUCKET_S)
        buckets_per_step = int(SERIES_STEP_S // BUCKET_S)
        for number, counts in self._buckets:
            step = (
                SERIES_COUNT - 1 - (current_number - number) // buckets_per_step
            )
            if step >= 0:
                steps[step] = add_counts((steps[step], BurnCounts(*counts)))
        return tuple(steps)


class Contributor(NamedTuple):
    """A backend server whose attempts were slow or failed.

    Attributes:
        server_id: The backend server.
        failure_domain: The failure domain that it runs in.
        slow_count: Attempts that were abandoned because another replica was
            faster or the query ended without them.
        failed_count: Attempts that ended in an error.
    """

    server_id: str
    failure_domain: str
    slow_count: int
    failed_count: int

    @property
    def bad_count(self) -> int:
        """The number of slow and failed attempts."""
        return self.slow_count + self.failed_count


class ClassBurn(NamedTuple):
    """The counts of one class, from one node or summed over several.

    Attributes:
        name: The class of work.
        targets: Its targets.
        short: The counts of the short window.
        long: The counts of the long window.
        since_start: The counts since the nodes started.
        series: The counts of each step of the long window, oldest first.
        contributors: The backend servers with the most bad attempts.
    """

    name: str
    targets: Targets
    short: BurnCounts
    long: BurnCounts
    since_start: BurnCounts
    series: tuple[BurnCounts, ...]
    contributors: tuple[Contributor, ...]


class ObjectiveBurn(NamedTuple):
    """How one class meets one objective.

    Attributes:
        objective: The objective.
        target: The target as text for people.
        allowed_percent: The percentage of bad events that the target allows.
        bad_percent: The percentage of events that were bad since the start.
        spent_percent: Bad events since the start, as a percentage of those
            allowed.
        short_rate: The burn rate of the short window.
        long_rate: The burn rate of the long window.
        state: The state that both windows reach.
    """

    objective: Objective
    target: str
    allowed_percent: float
    bad_percent: float
    spent_percent: float
    short_rate: float
    long_rate: float
    state: BurnState


def allowed_percent(objective: Objective, targets: Targets) -> float:
    """Returns the percentage of bad events that a target allows."""
    match objective:
        case Objective.LATENESS:
            percent = 100 - targets.lateness_percent
        case Objective.COVERAGE:
            percent = 100 - targets.coverage_percent
        case Objective.EXTRA_LOAD:
            percent = targets.extra_load_percent
    return max(MIN_ALLOWED_PERCENT, percent)


def bad_percent(objective: Objective, counts: BurnCounts) -> float:
    """Returns the percentage of bad events; 0 if there were no events."""
    match objective:
        case Objective.LATENESS:
            bad_count, total_count = counts.late_count, counts.answer_count
        case Objective.COVERAGE:
            bad_count, total_count = counts.missing_count, counts.shard_count
        case Objective.EXTRA_LOAD:
            bad_count, total_count = counts.extra_count, counts.shard_count
    return 100 * bad_count / total_count if total_count else 0.0


def burn_rate(
    objective: Objective, targets: Targets, counts: BurnCounts
) -> float:
    """Returns the bad percentage divided by the allowed percentage."""
    allowed = allowed_percent(objective, targets)
    return bad_percent(objective, counts) / allowed


def burn_state(short_rate: float, long_rate: float) -> BurnState:
    """Returns the state that both windows reach."""
    rate = min(short_rate, long_rate)
    if rate >= FAST_BURN_RATE:
        return BurnState.BURNING_FAST
    return BurnState.BURNING if rate > 1 else BurnState.OK


def _describe_target(objective: Objective, targets: Targets) -> str:
    match objective:
        case Objective.LATENESS:
            return (
                f"{targets.lateness_percent:g} % within "
                f"{targets.lateness_ms:g} ms"
            )
        case Objective.COVERAGE:
            return f"{targets.coverage_percent:g} % of shards"
        case Objective.EXTRA_LOAD:
            return f"at most {targets.extra_load_percent:g} % more"


def evaluate_class(item: ClassBurn) -> tuple[ObjectiveBurn, ...]:
    """Returns how a class meets each objective that it has events for."""
    objectives = [Objective.LATENESS]
    if item.since_start.shard_count:
        objectives += [Objective.COVERAGE, Objective.EXTRA_LOAD]
    return tuple(
        _evaluate_objective(objective, item) for objective in objectives
    )


def _evaluate_objective(objective: Objective, item: ClassBurn) -> ObjectiveBurn:
    targets = item.targets
    short_rate = burn_rate(objective, targets, item.short)
    long_rate = burn_rate(objective, targets, item.long)
    return ObjectiveBurn(
        objective=objective,
        target=_describe_target(objective, targets),
        allowed_percent=allowed_percent(objective, targets),
        bad_percent=bad_percent(objective, item.since_start),
        spent_percent=100 * burn_rate(objective, targets, item.since_start),
        short_rate=short_rate,
        long_rate=long_rate,
        state=burn_state(short_rate, long_rate),
    )
