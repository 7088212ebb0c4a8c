"""Figures of one scenario run, from samples and backend servers' logs."""

from __future__ import annotations

import itertools
import math
import statistics
from collections import Counter, defaultdict
from collections.abc import Iterable, Sequence
from typing import Any, Final, NamedTuple

from hdrh.histogram import HdrHistogram

from mulberrybay_testing.load_caller import QueryAttempt
from mulberrybay_testing.load_generator import Sample
from mulberrybay_testing.scenario import ClassLoad, Scenario

WINDOW_S: Final = 1.0
MAX_LATENCY_US: Final = 60_000_000


class ScenarioResult(NamedTuple):
    """The figures of one class of work in one scenario run.

    Fields are written out under their names, so the names must not change.
    `back` stands for retries, `overfed` for requests beyond the capacity of a
    cold backend server, and `out` for failure domains that are taken out.

    Attributes:
        scenario: The name of the scenario.
        arm: The policy arm.
        class_name: The class of work.
        seed: The seed of the load.
        query_count: Number of queries after `settle_s` of the scenario.
        ok_percent: Percentage of queries answered, at whichever attempt.
        refused_percent: Percentage of queries whose last attempt was refused.
        failed_percent: Percentage of queries neither answered nor refused.
        p50_ms: Median latency of answers.
        p99_ms: 99th percentile of the latency of answers.
        p999_ms: 99.9th percentile of the latency of answers.
        refusal_p99_ms: 99th percentile of the latency of refusals, each from
            the sending of the refused attempt.
        back_count: Number of retries after a refusal that gave a delay,
            including those of queries sent before `settle_s`.
        back_served_percent: Percentage of these retries that were answered.
        late_percent: Percentage of queries not answered within the lateness
            target.
        coverage_percent: Mean coverage of the answers.
        worst_coverage_percent: Mean coverage of the answers in the window
            with the lowest mean.
        extra_load_percent: Requests to backend servers beyond one per query
            and shard, in relation to those.
        overfed_count: Number of times that a cold backend server logged
            more requests than it can handle.
        work_when_out_count: Requests to a failure domain that is taken out,
            from 3 s after the configuration change was accepted.
        bad_since_s: Start of the last window in which 1 % or more of the
            queries were late or unanswered; -1 if none.
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


class ScenarioRun(NamedTuple):
    """Identifies one class of work in one run of a scenario."""

    scenario: Scenario
    class_load: ClassLoad
    arm: str
    seed: int


def summarize(
    run: ScenarioRun, samples: Sequence[Sample], events: Sequence[Any]
) -> ScenarioResult:
    """Returns the figures of one class of work in one scenario run.

    Args:
        run: The class of work and the run.
        samples: The queries of the class of work.
        events: The events that its backend servers logged.
    """
    settle_s = run.scenario.settle_s
    lateness_ms = run.class_load.targets.lateness_ms
    counted_samples = [item for item in samples if item.at_s >= settle_s]
    answers = [item for item in counted_samples if item.status == 200]
    refused_count = sum(item.status == 503 for item in counted_samples)
    sample_count = max(1, len(counted_samples))
    late_count = sum(
        _is_late_or_unanswered(item, lateness_ms) for item in counted_samples
    )
    latency = _histogram(item.latency_ms for item in answers)
    retries = [
        attempt
        for item in samples
        for attempt in attempts_after_retry_delay(item)
    ]
    answered_retry_count = sum(attempt.status == 200 for attempt in retries)
    return ScenarioResult(
        scenario=run.scenario.name,
        arm=run.arm,
        class_name=run.class_load.load.class_name,
        seed=run.seed,
        query_count=len(counted_samples),
        ok_percent=100 * len(answers) / sample_count,
        refused_percent=100 * refused_count / sample_count,
        failed_percent=100
        * (sample_count - len(answers) - refused_count)
        / sample_count,
        p50_ms=latency.get_value_at_percentile(50) / 1000,
        p99_ms=latency.get_value_at_percentile(99) / 1000,
        p999_ms=latency.get_value_at_percentile(99.9) / 1000,
        refusal_p99_ms=_refusal_p99_ms(counted_samples),
        back_count=len(retries),
        back_served_percent=100 * answered_retry_count / max(1, len(retries)),
        late_percent=100 * late_count / sample_count,
        coverage_percent=_mean_coverage(answers),
        worst_coverage_percent=min(
            (
                _mean_coverage(window_samples)
                for window_samples in _group_by_window(answers).values()
            ),
            default=0.0,
        ),
        extra_load_percent=extra_load_percent(events),
        overfed_count=sum(event["event"] == "overfed" for event in events),
        work_when_out_count=0,
        bad_since_s=_last_degraded_window_s(counted_samples, lateness_ms),
    )


def attempts_after_retry_delay(sample: Sample) -> list[QueryAttempt]:
    """Returns the attempts after refusals that gave a retry delay."""
    retries = [
        retry
        for refusal, retry in itertools.pairwise(sample.attempts)
        if refusal.status == 503 and refusal.retry_after_s is not None
    ]
    return [*retries, sample.later_attempt] if sample.later_attempt else retries


def _refusal_p99_ms(samples: Sequence[Sample]) -> float:
    latency = _histogram(
        attempt.latency_ms
        for item in samples
        for attempt in item.attempts
        if attempt.status == 503
    )
    return float(latency.get_value_at_percentile(99) / 1000)


def extra_load_percent(events: Sequence[Any]) -> float:
    """Returns the requests beyond one per query and shard, in percent."""
    counts: Counter[tuple[str, str]] = Counter()
    for event in events:
        if event["event"] == "request":
            query_id = event["request_id"].rpartition("-")[0]
            counts[query_id, event["shard"]] += 1
    extra_count = counts.total() - len(counts)
    return 100 * extra_count / max(1, len(counts))


def _is_late_or_unanswered(sample: Sample, lateness_ms: float) -> bool:
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


def _group_by_window(samples: Sequence[Sample]) -> dict[int, list[Sample]]:
    windows: dict[int, list[Sample]] = defaultdict(list)
    for sample in samples:
        windows[int(sample.at_s / WINDOW_S)].append(sample)
    return windows


def _last_degraded_window_s(
    samples: Sequence[Sample], lateness_ms: float
) -> float:
    last_degraded_at_s = -1.0
    for window_index, window_samples in _group_by_window(samples).items():
        degraded_count = sum(
            _is_late_or_unanswered(item, lateness_ms) for item in window_samples
        )
        if degraded_count >= math.ceil(len(window_samples) / 100):
            last_degraded_at_s = max(
                last_degraded_at_s, window_index * WINDOW_S
            )
    return last_degraded_at_s
