"""Runs a deployment under random faults and checks what was seen.

    scripts/soak-fleet --seed 1 --count 50

Each seed starts nodes of its own, injects faults that overlap, ends them, and
waits until all is served again. Prints a line for each seed and what broke.
Exits 0 if every promise held, 1 if one broke.
"""

import argparse
import pathlib
import sys
import tempfile
import time
from collections import Counter
from collections.abc import Sequence
from typing import Final, NamedTuple

from faulty_deployment import FaultyDeployment
from fleet_checks import find_problems
from fleet_faults import FleetFaults
from fleet_history import FleetHistory
from fleet_load import FleetLoad, ask_each_kind

FAULTS_S: Final = 12.0
MEAN_GAP_S: Final = 0.5
TICK_S: Final = 0.05
# The rules give a deployment 15 s after the last fault.
RECOVERY_S: Final = 15.0


class SoakResult(NamedTuple):
    """What one seed came to.

    Attributes:
        told: The faults, in order.
        statuses: The answers by status; 0 for none.
        problems: What broke.
    """

    told: tuple[str, ...]
    statuses: Counter[int]
    problems: tuple[str, ...]


def run_seed(
    folder: pathlib.Path, seed: int, faults_s: float = FAULTS_S
) -> SoakResult:
    """Runs one deployment under the faults of a seed."""
    history = FleetHistory()
    with FaultyDeployment(folder) as deployment:
        deployment.start_zones()
        faults = FleetFaults(deployment, history, seed)
        with FleetLoad(deployment, history, seed):
            ends_at_s = time.monotonic() + faults_s
            next_at_s = time.monotonic()
            while time.monotonic() < ends_at_s:
                faults.tick()
                if time.monotonic() >= next_at_s:
                    faults.inject()
                    next_at_s += MEAN_GAP_S
                time.sleep(TICK_S)
            faults.heal()
            problems = _wait_recovery(deployment, history, seed)
            faults.tick()
        problems += faults.problems
        problems += find_problems(history, deployment.backends)
    statuses = Counter(asked.status for asked in history.asked)
    return SoakResult(tuple(faults.told), statuses, tuple(problems))


def _wait_recovery(
    deployment: FaultyDeployment, history: FleetHistory, seed: int
) -> list[str]:
    """Waits until every node serves each kind; says which does not."""
    ends_at_s = time.monotonic() + RECOVERY_S
    while True:
        asked = ask_each_kind(deployment, history, seed)
        failed = [item for item in asked if item.status != 200]
        if not failed:
            return []
        if time.monotonic() > ends_at_s:
            return [
                f"{item.node_name} answers {item.kind} with {item.status}"
                f" {RECOVERY_S} s after the last fault"
                for item in failed
            ]
        time.sleep(TICK_S)


def main(arguments: Sequence[str] | None = None) -> int:
    """Runs the seeds that the command line names."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--count", type=int, default=1)
    parser.add_argument("--keep", type=pathlib.Path, help="where logs stay")
    settings = parser.parse_args(arguments)
    broken_count = 0
    with tempfile.TemporaryDirectory() as scratch:
        folder = settings.keep or pathlib.Path(scratch)
        for seed in range(settings.seed, settings.seed + settings.count):
            result = run_seed(folder / f"seed-{seed}", seed)
            broken_count += bool(result.problems)
            verdict = "broken" if result.problems else "held"
            counts = dict(sorted(result.statuses.items()))
            print(f"seed {seed}: {verdict}, answers {counts}", flush=True)
            for line in (*result.problems, *result.told):
                if result.problems:
                    print(f"  {line}", flush=True)
    return 1 if broken_count else 0


if __name__ == "__main__":
    sys.exit(main())
