"""Runs scenarios under each arm with the same load and seeds.

Usage: python -m mulberrybay_testing.experiment SCENARIO... --out DIR
"""

from __future__ import annotations

import argparse
import asyncio
import json
import math
import shutil
import statistics
from collections import defaultdict
from collections.abc import Sequence
from pathlib import Path
from typing import Any, Final

from mulberrybay_testing.deployment import Deployment
from mulberrybay_testing.load_generator import LoadGenerator, Sample
from mulberrybay_testing.plot import plot_scenario
from mulberrybay_testing.run_figures import Run, RunResult, summarize
from mulberrybay_testing.scenario import (
    Scenario,
    load_scenario,
    perform_actions,
)

ARMS: Final = ("adaptive", "least_outstanding", "random", "round_robin")
OUT_GRACE_S: Final = 3.0


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
