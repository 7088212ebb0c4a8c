"""The figures of one run of a scenario, from samples and servers' logs."""

from __future__ import annotations

import itertools
import math
import statistics
from collections import Counter, defaultdict
from collections.abc import Iterable, Sequence
from typing import Any, Final, NamedTuple

from hdrh.histogram import HdrHistogram

from mulberrybay_testing.load_caller import Try
from mulberrybay_testing.load_generator import Sample
from mulberrybay_testing.scenario import ClassLoad, Scenario

WINDOW_S: Final = 1.0
MAX_LATENCY_US: Final = 60_000_000


class RunResult(NamedTuple):
    """The figures of one run of one arm.

    Attributes:
        scenario: The scenario.
        arm: The policy arm.
        class_name: The class of work.
        seed: The seed of the load.
        query_count: Queries sent after the settling time.
        ok_percent: The share that got an answer, at whichever try.
        refused_percent: The share whose last try was refused.
        failed_percent: The rest.
        p50_ms: Median latency of answers.
        p99_ms: 99th percentile of the latency of answers.
        p999_ms: 99.9th percentile of the latency of answers.
        refusal_p99_ms: 99th percentile of the latency of refusals, each from
            the sending of the try that was refused.
        back_count: Tries at the time that a refusal had told, whenever the
            query was first sent.
        back_served_percent: The share of these that got an answer.
        late_percent: Queries without an answer within the lateness target.
        coverage_percent: Mean over the answers.
        worst_coverage_percent: Mean over the answers of the worst window.
        extra_load_percent: Requests at backend servers beyond one a shard.
        overfed_count: Violations that cold backend servers logged.
        work_when_out_count: Requests to a failure domain that is out, from
            3 s after the change was accepted on.
        bad_since_s: Last window in which 1 % or more was late or unanswered;
            -1 if none.
    """

    scenario: str
    arm: str
    class_name: str
    seed: int
    query_count: int
    ok_percent: float
    refused_percent: float
    failed_percent: float
    p50_ms: float
    p99_ms: float
    p999_ms: float
    refusal_p99_ms: float
    back_count: int
    back_served_percent: float
    late_percent: float
    coverage_percent: float
    worst_coverage_percent: float
    extra_load_percent: float
    overfed_count: int
    work_when_out_count: int
    bad_since_s: float


class Run(NamedTuple):
    """What one run was of, for one of its classes of work."""

    scenario: Scenario
    class_load: ClassLoad
    arm: str
    seed: int


def summarize(
    run: Run, samples: Sequence[Sample], events: Sequence[Any]
) -> RunResult:
    """Returns the figures of one class of work in one run."""
    settle_s = run.scenario.settle_s
    lateness_ms = run.class_load.targets.lateness_ms
    counted = [item for item in samples if item.at_s >= settle_s]
    answers = [item for item in counted if item.status == 200]
    refused_count = sum(item.status == 503 for item in counted)
    count = max(1, len(counted))
    late_count = sum(_is_bad(item, lateness_ms) for item in counted)
    latency = _histogram(item.latency_ms for item in answers)
    back = [ended for item in samples for ended in tries_when_told(item)]
    served_count = sum(ended.status == 200 for ended in back)
    return RunResult(
        scenario=run.scenario.name,
        arm=run.arm,
        class_name=run.class_load.load.class_name,
        seed=run.seed,
        query_count=len(counted),
        ok_percent=100 * len(answers) / count,
        refused_percent=100 * refused_count / count,
        failed_percent=100 * (count - len(answers) - refused_count) / count,
        p50_ms=latency.get_value_at_percentile(50) / 1000,
        p99_ms=latency.get_value_at_percentile(99) / 1000,
        p999_ms=latency.get_value_at_percentile(99.9) / 1000,
        refusal_p99_ms=_refusal_p99_ms(counted),
        back_count=len(back),
        back_served_percent=100 * served_count / max(1, len(back)),
        late_percent=100 * late_count / count,
        coverage_percent=_mean_coverage(answers),
        worst_coverage_percent=min(
            (_mean_coverage(part) for part in _windows(answers).values()),
            default=0.0,
        ),
        extra_load_percent=extra_load_percent(events),
        overfed_count=sum(event["event"] == "overfed" for event in events),
        work_when_out_count=0,
        bad_since_s=_last_bad_window_s(counted, lateness_ms),
    )


def tries_when_told(sample: Sample) -> list[Try]:
    """Returns the tries that came back after the time a refusal told."""
    back = [
        after
        for before, after in itertools.pairwise(sample.tries)
        if before.status == 503 and before.retry_after_s is not None
    ]
    return [*back, sample.late_return] if sample.late_return else back


def _refusal_p99_ms(samples: Sequence[Sample]) -> float:
    latency = _histogram(
        ended.latency_ms
        for item in samples
        for ended in item.tries
        if ended.status == 503
    )
    return float(latency.get_value_at_percentile(99) / 1000)


def extra_load_percent(events: Sequence[Any]) -> float:
    """Returns what backend servers got beyond one request per shard."""
    counts: Counter[tuple[str, str]] = Counter()
    for event in events:
        if event["event"] == "request":
            query_id = event["request_id"].rpartition("-")[0]
            counts[query_id, event["shard"]] += 1
    extra_count = counts.total() - len(counts)
    return 100 * extra_count / max(1, len(counts))


def _is_bad(sample: Sample, lateness_ms: float) -> bool:
    return sample.status != 200 or sample.latency_ms > lateness_ms


def _histogram(latencies_ms: Iterable[float]) -> HdrHistogram:
    histogram = HdrHistogram(1, MAX_LATENCY_US, 3)
    for latency_ms in latencies_ms:
        histogram.record_value(max(1, int(latency_ms * 1000)))
    return histogram


def _mean_coverage(samples: Sequence[Sample]) -> float:
    if not samples:
        return 0.0
    return statistics.fmean(item.coverage_percent for item in samples)


def _windows(samples: Sequence[Sample]) -> dict[int, list[Sample]]:
    windows: dict[int, list[Sample]] = defaultdict(list)
    for sample in samples:
        windows[int(sample.at_s / WINDOW_S)].append(sample)
    return windows


def _last_bad_window_s(samples: Sequence[Sample], lateness_ms: float) -> float:
    last_s = -1.0
    for number, part in _windows(samples).items():
        bad_count = sum(_is_bad(item, lateness_ms) for item in part)
        if bad_count >= math.ceil(len(part) / 100):
            last_s = max(last_s, number * WINDOW_S)
    return last_s
