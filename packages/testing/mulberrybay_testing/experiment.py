"""Runs scenarios under each arm with the same load and seeds.

Usage: python -m mulberrybay_testing.experiment SCENARIO... --out DIR
"""

from __future__ import annotations

import argparse
import asyncio
import itertools
import json
import math
import shutil
import statistics
from collections import Counter, defaultdict
from collections.abc import Iterable, Sequence
from pathlib import Path
from typing import Any, Final, NamedTuple

from hdrh.histogram import HdrHistogram

from mulberrybay_testing.deployment import Deployment
from mulberrybay_testing.load_caller import Try
from mulberrybay_testing.load_generator import LoadGenerator, Sample
from mulberrybay_testing.plot import plot_scenario
from mulberrybay_testing.scenario import (
    ClassLoad,
    Scenario,
    load_scenario,
    perform_actions,
)

ARMS: Final = ("adaptive", "least_outstanding", "random", "round_robin")
WINDOW_S: Final = 1.0
OUT_GRACE_S: Final = 3.0
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
        back_count: Tries at or after the time that a refusal had told.
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


async def _drive(
    scenario: Scenario, deployment: Deployment, seed: int
) -> list[Sample]:
    ports = [node.caller_port for node in deployment.nodes]
    generators = [
        LoadGenerator(item.load, ports, seed) for item in scenario.classes
    ]
    runs, _ = await asyncio.gather(
        asyncio.gather(*(generator.run() for generator in generators)),
        perform_actions(scenario, deployment),
    )
    return [sample for samples in runs for sample in samples]


def run_once(
    scenario: Scenario, arm: str, seed: int, folder: Path
) -> tuple[list[RunResult], list[Sample]]:
    """Starts a deployment, sends the load and returns the figures."""
    shutil.rmtree(folder, ignore_errors=True)
    folder.mkdir(parents=True)
    with scenario.deployment(folder, arm) as deployment:
        samples = asyncio.run(_drive(scenario, deployment, seed))
        events = deployment.backend_events()
        out_count = work_when_out_count(scenario, deployment, events)
        classes = {
            vm["vm_id"]: vm["service"].partition("/")[0]
            for vm in deployment.backends
        }
    results = []
    for item in scenario.classes:
        name = item.load.class_name
        result = summarize(
            Run(scenario, item, arm, seed),
            [sample for sample in samples if sample.class_name == name],
            [event for event in events if classes[event["vm_id"]] == name],
        )
        results.append(result._replace(work_when_out_count=out_count))
    return results, samples


def work_when_out_count(
    scenario: Scenario, deployment: Deployment, events: Sequence[Any]
) -> int:
    """Returns the requests that went to failure domains that are out."""
    changes = [act for act in scenario.actions if "out_domains" in act]
    accepted_at_s = [
        event["at_s"]
        for event in deployment.platform_events()
        if event["event"] == "call"
        and event["method"] == "PUT"
        and event["kind"] == "configuration"
    ][-len(changes) :]
    domains = {vm["vm_id"]: vm["failure_domain"] for vm in deployment.backends}
    count = 0
    for number, change in enumerate(changes):
        from_s = accepted_at_s[number] + OUT_GRACE_S
        until_s = [*accepted_at_s, math.inf][number + 1]
        count += sum(
            event["event"] == "request"
            and from_s < event["at_s"] < until_s
            and domains[event["vm_id"]] in change["out_domains"]
            for event in events
        )
    return count


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
    back = [ended for item in counted for ended in tries_when_told(item)]
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


_COLUMNS: Final = RunResult._fields[5:]


def format_table(results: Sequence[RunResult]) -> str:
    """Returns a Markdown table: the median over seeds, and the spread."""
    names = [name.removesuffix("_percent") for name in _COLUMNS]
    lines = ["| arm | class | " + " | ".join(names) + " |"]
    lines.append("|---" * (len(names) + 2) + "|")
    rows: dict[tuple[str, str], list[RunResult]] = defaultdict(list)
    for result in results:
        rows[result.arm, result.class_name].append(result)
    for row, runs in rows.items():
        cells = [
            _format_cell([getattr(run, name) for run in runs])
            for name in _COLUMNS
        ]
        lines.append("| " + " | ".join([*row, *cells]) + " |")
    return "\n".join(lines)


def _format_cell(values: Sequence[float]) -> str:
    low, high = min(values), max(values)
    middle = f"{statistics.median(values):.4g}"
    return middle if low == high else f"{middle} ({low:.4g}-{high:.4g})"


def _parse_arguments() -> argparse.Namespace:
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("scenarios", nargs="+")
    parser.add_argument("--seeds", default="1,2,3")
    parser.add_argument("--arms", default=",".join(ARMS))
    parser.add_argument("--out", type=Path, required=True)
    return parser.parse_args()


def main() -> None:
    """Runs what the arguments ask for."""
    arguments = _parse_arguments()
    arguments.out.mkdir(parents=True, exist_ok=True)
    for name in arguments.scenarios:
        _run_scenario(load_scenario(name), arguments)


def _run_scenario(scenario: Scenario, arguments: argparse.Namespace) -> None:
    results = []
    curves: dict[str, list[Sample]] = {}
    lines_path = arguments.out / f"{scenario.name}.jsonl"
    with lines_path.open("w", encoding="utf-8") as lines:
        for seed in arguments.seeds.split(","):
            for arm in arguments.arms.split(","):
                folder = arguments.out / f"{scenario.name}-{arm}-{seed}"
                found, samples = run_once(scenario, arm, int(seed), folder)
                results += found
                curves.setdefault(arm, samples)
                for result in found:
                    lines.write(json.dumps(result._asdict()) + "\n")
                lines.flush()
    plot_scenario(scenario, curves, arguments.out / f"{scenario.name}.png")
    print(f"\n{scenario.name}, seeds {arguments.seeds}\n")
    print(format_table(results), flush=True)


if __name__ == "__main__":
    main()
