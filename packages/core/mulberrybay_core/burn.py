"""Service-level burn: how fast each class of work spends its targets.

A target allows a share of bad events. The burn rate is the share that was bad
divided by the share that is allowed: at 1 the allowance is just used up. A
short and a long window are judged together, so that neither a brief spike nor
an old one alone raises a state.
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
# A target without any allowance is judged as if it had this one, so that
# its burn rate is a number.
MIN_ALLOWED_PERCENT: Final = 0.01


class Objective(enum.Enum):
    """What a class of work is judged by."""

    LATENESS = "lateness"
    COVERAGE = "coverage"
    EXTRA_LOAD = "extra_load"


class BurnState(enum.Enum):
    """What the two windows say together."""

    OK = "ok"
    BURNING = "burning"
    BURNING_FAST = "burning_fast"


class BurnCounts(NamedTuple):
    """What happened to the requests of one class.

    Attributes:
        answer_count: Requests that ended, refused ones included.
        late_count: Of these, how many had no answer in time.
        shard_count: Shards that queries asked for.
        missing_count: Of these, how many the answers lacked.
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
        latency_s: From its arrival to the answer.
        is_answered: Whether it got an answer other than a failure.
        shard_count: Shards that it asked for; 0 for a run or a refusal.
        covered_count: Shards that the answer covers.
        attempt_count: Sub-requests sent for it.
    """

    latency_s: float
    is_answered: bool
    shard_count: int = 0
    covered_count: int = 0
    attempt_count: int = 0


def count_end(end: RequestEnd, targets: Targets) -> BurnCounts:
    """Returns what one request adds to the counts of its class."""
    is_in_time = end.is_answered and end.latency_s * 1000 <= targets.lateness_ms
    return BurnCounts(
        answer_count=1,
        late_count=int(not is_in_time),
        shard_count=end.shard_count,
        missing_count=end.shard_count - end.covered_count,
        extra_count=max(0, end.attempt_count - end.shard_count),
    )


def add_counts(items: Iterable[BurnCounts]) -> BurnCounts:
    """Returns the sum of counts."""
    return BurnCounts(
        *(sum(column) for column in zip(BurnCounts(), *items, strict=True))
    )


class BurnHistory:
    """The counts of one class: since the start, and in buckets of time."""

    def __init__(self) -> None:
        self._total = [0] * len(BurnCounts._fields)
        self._buckets: deque[tuple[int, list[int]]] = deque()

    @property
    def total(self) -> BurnCounts:
        """All counts since the start."""
        return BurnCounts(*self._total)

    def record(self, now_s: float, counts: BurnCounts) -> None:
        """Adds counts at a time that never goes back."""
        number = int(now_s // BUCKET_S)
        if not self._buckets or self._buckets[-1][0] != number:
            self._buckets.append((number, [0] * len(counts)))
            oldest = int((now_s - LONG_WINDOW_S) // BUCKET_S)
            while self._buckets[0][0] < oldest:
                self._buckets.popleft()
        bucket = self._buckets[-1][1]
        for index, count in enumerate(counts):
            if count:
                bucket[index] += count
                self._total[index] += count

    def window(self, now_s: float, window_s: float) -> BurnCounts:
        """Returns the counts of a window that ends now."""
        before = int((now_s - window_s) // BUCKET_S)
        return add_counts(
            BurnCounts(*counts)
            for number, counts in self._buckets
            if number > before
        )

    def series(self, now_s: float) -> tuple[BurnCounts, ...]:
        """Returns the counts of each step of the long window, oldest first."""
        steps = [BurnCounts()] * SERIES_COUNT
        now_number = int(now_s // BUCKET_S)
        per_step = int(SERIES_STEP_S // BUCKET_S)
        for number, counts in self._buckets:
            step = SERIES_COUNT - 1 - (now_number - number) // per_step
            if step >= 0:
                steps[step] = add_counts((steps[step], BurnCounts(*counts)))
        return tuple(steps)


class Contributor(NamedTuple):
    """A backend server whose attempts were slow or failed.

    Attributes:
        server_id: The backend server.
        failure_domain: Where it runs.
        slow_count: Attempts given up since another replica was faster or
            the query ended without them.
        failed_count: Attempts that ended in an error.
    """

    server_id: str
    failure_domain: str
    slow_count: int
    failed_count: int

    @property
    def bad_count(self) -> int:
        """Slow and failed attempts."""
        return self.slow_count + self.failed_count


class ClassBurn(NamedTuple):
    """What one node, or several together, counted for one class.

    Attributes:
        name: The class of work.
        targets: Its targets.
        short: The counts of the short window.
        long: The counts of the long window.
        since_start: All counts since the nodes started.
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
    """How one class stands by one objective.

    Attributes:
        objective: What is judged.
        target: The target, in the objective's own words.
        allowed_percent: The share of bad events that the target allows.
        bad_percent: The share that was bad since the start.
        spent_percent: Bad events since the start, of those allowed.
        short_rate: The burn rate of the short window.
        long_rate: The burn rate of the long window.
        state: What both windows say together.
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
    """Returns the share of bad events that a target allows."""
    match objective:
        case Objective.LATENESS:
            share_percent = 100 - targets.lateness_percent
        case Objective.COVERAGE:
            share_percent = 100 - targets.coverage_percent
        case Objective.EXTRA_LOAD:
            share_percent = targets.extra_load_percent
    return max(MIN_ALLOWED_PERCENT, share_percent)


def bad_percent(objective: Objective, counts: BurnCounts) -> float:
    """Returns the share of events that were bad; 0 if there were none."""
    match objective:
        case Objective.LATENESS:
            bad_count, all_count = counts.late_count, counts.answer_count
        case Objective.COVERAGE:
            bad_count, all_count = counts.missing_count, counts.shard_count
        case Objective.EXTRA_LOAD:
            bad_count, all_count = counts.extra_count, counts.shard_count
    return 100 * bad_count / all_count if all_count else 0.0


def burn_rate(
    objective: Objective, targets: Targets, counts: BurnCounts
) -> float:
    """Returns how many times the allowed share was bad."""
    allowed = allowed_percent(objective, targets)
    return bad_percent(objective, counts) / allowed


def judge_windows(short_rate: float, long_rate: float) -> BurnState:
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


def judge_class(item: ClassBurn) -> tuple[ObjectiveBurn, ...]:
    """Returns how a class stands by each objective that it has events of."""
    objectives = [Objective.LATENESS]
    if item.since_start.shard_count:
        objectives += [Objective.COVERAGE, Objective.EXTRA_LOAD]
    return tuple(_judge_objective(objective, item) for objective in objectives)


def _judge_objective(objective: Objective, item: ClassBurn) -> ObjectiveBurn:
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
        state=judge_windows(short_rate, long_rate),
    )
