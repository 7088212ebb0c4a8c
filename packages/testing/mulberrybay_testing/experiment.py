"""Runs scenarios with each policy arm, with the same load and seeds.

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
from mulberrybay_testing.run_figures import (
    ScenarioResult,
    ScenarioRun,
    summarize,
)
from mulberrybay_testing.scenario import (
    Scenario,
    load_scenario,
    perform_actions,
)

ARMS: Final = ("adaptive", "least_outstanding", "random", "round_robin")
# Nodes may still send requests to a failure domain for this time after the
# configuration that takes it out was accepted.
OUT_DOMAIN_GRACE_S: Final = 3.0


async def _send_load(
    scenario: Scenario, deployment: Deployment, seed: int
) -> list[Sample]:
    ports = [node.caller_port for node in deployment.nodes]
    generators = [
        LoadGenerator(item.load, ports, seed) for item in scenario.classes
    ]
    samples_by_class, _ = await asyncio.gather(
        asyncio.gather(*(generator.run() for generator in generators)),
        perform_actions(scenario, deployment),
    )
    return [sample for samples in samples_by_class for sample in samples]


def run_once(
    scenario: Scenario, arm: str, seed: int, folder: Path
) -> tuple[list[ScenarioResult], list[Sample]]:
    """Runs a scenario once, with one arm and seed, in a new deployment.

    Returns:
        The figures of each class of work, and the samples of all classes.
    """
    shutil.rmtree(folder, ignore_errors=True)
    folder.mkdir(parents=True)
    with scenario.make_deployment(folder, arm) as deployment:
        samples = asyncio.run(_send_load(scenario, deployment, seed))
        events = deployment.backend_events()
        out_count = count_requests_to_out_domains(scenario, deployment, events)
        classes_by_vm = {
            vm["vm_id"]: vm["service"].partition("/")[0]
            for vm in deployment.backends
        }
    results = []
    for item in scenario.classes:
        name = item.load.class_name
        result = summarize(
            ScenarioRun(scenario, item, arm, seed),
            [sample for sample in samples if sample.class_name == name],
            [
                event
                for event in events
                if classes_by_vm[event["vm_id"]] == name
            ],
        )
        results.append(result._replace(work_when_out_count=out_count))
    return results, samples


def count_requests_to_out_domains(
    scenario: Scenario, deployment: Deployment, events: Sequence[Any]
) -> int:
    """Counts requests to failure domains that the configuration takes out.

    Requests within `OUT_DOMAIN_GRACE_S` of a change are not counted.
    """
    changes = [action for action in scenario.actions if "out_domains" in action]
    accepted_at_s = [
        event["at_s"]
        for event in deployment.platform_events()
        if event["event"] == "call"
        and event["method"] == "PUT"
        and event["kind"] == "configuration"
    ][-len(changes) :]
    domains_by_vm = {
        vm["vm_id"]: vm["failure_domain"] for vm in deployment.backends
    }
    count = 0
    for index, change in enumerate(changes):
        from_s = accepted_at_s[index] + OUT_DOMAIN_GRACE_S
        until_s = [*accepted_at_s, math.inf][index + 1]
        count += sum(
            event["event"] == "request"
            and from_s < event["at_s"] < until_s
            and domains_by_vm[event["vm_id"]] in change["out_domains"]
            for event in events
        )
    return count


_COLUMNS: Final = ScenarioResult._fields[5:]


def format_table(results: Sequence[ScenarioResult]) -> str:
    """Returns a Markdown table with a row for each arm and class of work.

    A cell has the median over the seeds, and the range if values differ.
    """
    names = [name.removesuffix("_percent") for name in _COLUMNS]
    lines = ["| arm | class | " + " | ".join(names) + " |"]
    lines.append("|---" * (len(names) + 2) + "|")
    rows: dict[tuple[str, str], list[ScenarioResult]] = defaultdict(list)
    for result in results:
        rows[result.arm, result.class_name].append(result)
    for key, results_by_seed in rows.items():
        cells = [
            _format_cell([getattr(result, name) for result in results_by_seed])
            for name in _COLUMNS
        ]
        lines.append("| " + " | ".join([*key, *cells]) + " |")
    return "\n".join(lines)


def _format_cell(values: Sequence[float]) -> str:
    low, high = min(values), max(values)
    median = f"{statistics.median(values):.4g}"
    return median if low == high else f"{median} ({low:.4g}-{high:.4g})"


def _parse_arguments() -> argparse.Namespace:
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("scenarios", nargs="+")
    parser.add_argument("--seeds", default="1,2,3")
    parser.add_argument("--arms", default=",".join(ARMS))
    parser.add_argument("--out", type=Path, required=True)
    return parser.parse_args()


def main() -> None:
    """Runs the scenarios that the command line names."""
    arguments = _parse_arguments()
    arguments.out.mkdir(parents=True, exist_ok=True)
    for name in arguments.scenarios:
        _run_scenario(load_scenario(name), arguments)


def _run_scenario(scenario: Scenario, arguments: argparse.Namespace) -> None:
    results = []
    samples_by_arm: dict[str, list[Sample]] = {}
    results_path = arguments.out / f"{scenario.name}.jsonl"
    with results_path.open("w", encoding="utf-8") as results_file:
        for seed in arguments.seeds.split(","):
            for arm in arguments.arms.split(","):
                folder = arguments.out / f"{scenario.name}-{arm}-{seed}"
                arm_results, samples = run_once(
                    scenario, arm, int(seed), folder
                )
                results += arm_results
                samples_by_arm.setdefault(arm, samples)
                for result in arm_results:
                    results_file.write(json.dumps(result._asdict()) + "\n")
                results_file.flush()
    plot_scenario(
        scenario, samples_by_arm, arguments.out / f"{scenario.name}.png"
    )
    print(f"\n{scenario.name}, seeds {arguments.seeds}\n")
    print(format_table(results), flush=True)


if __name__ == "__main__":
    main()
