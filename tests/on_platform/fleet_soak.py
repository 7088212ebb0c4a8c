"""Runs a deployment under random faults and checks the requests' outcomes.

    scripts/soak-fleet --seed 1 --count 50

For each seed, starts new nodes, injects overlapping faults, ends them, and
waits until every node serves all kinds of requests again. Prints a line for
each seed, and the violations found. Exits with 0 if there were none, else
with 1.
"""

import argparse
import pathlib
import sys
import tempfile
import time
from collections import Counter
from collections.abc import Sequence
from contextlib import ExitStack
from typing import Final, NamedTuple

from faulty_deployment import FaultyDeployment
from fleet_checks import find_problems
from fleet_faults import FleetFaults, disturbs_only_store
from fleet_history import CONTACT_S, FleetHistory
from fleet_load import FleetLoad, is_fatal, request_each_kind
from node_builds import AlternatingBuilds, build_commit
from rollout_play import BOUNDS, RolloutPlay, Version

FAULTS_S: Final = 12.0
# A change after a fault of the store is due only some seconds later.
STORE_FAULTS_RATIO: Final = 2.5
MEAN_GAP_S: Final = 0.5
REPLACE_GAP_S: Final = 2.0
TICK_S: Final = 0.05
# Links of each node's own are proxies in this process.
MAX_LINKED_NODES_PER_ZONE: Final = 4
# By the parity of the seed, how long a server that crashed is away.
RESTART_AFTER_S: Final = (4.0, 1.5)
# The rollout begins just before the faults and outlasts them.
ROLLOUT_S: Final = 20.0
# What the rollout may take longer since the store is disturbed.
MAX_STRETCH_S: Final = 15.0
ROLLOUT_FAIL_RATIO: Final = 0.3
# The users' rules allow a deployment 15 s after the last fault.
RECOVERY_S: Final = 15.0


class SoakResult(NamedTuple):
    """The result of one seed.

    Attributes:
        fault_log: The faults in order, one line each.
        statuses: The number of requests by status; 0 for no answer.
        problems: The violations found, one line each.
        rollout: How the rollout ended; empty if there was none.
    """

    fault_log: tuple[str, ...]
    statuses: Counter[int]
    problems: tuple[str, ...]
    rollout: str = ""


def run_seed(
    folder: pathlib.Path,
    seed: int,
    faults_s: float = FAULTS_S,
    nodes_per_zone: int = 1,
    builds: AlternatingBuilds | None = None,
    *,
    has_rollout: bool = False,
) -> SoakResult:
    """Runs one deployment under the random faults of a seed.

    With `builds`, nodes are also replaced one after the other. With a rollout,
    a service moves to a version that is bad if the seed is odd.
    """
    if disturbs_only_store(seed):
        faults_s *= STORE_FAULTS_RATIO
    history = FleetHistory()
    with FaultyDeployment(folder) as deployment:
        deployment.contact_ms = int(1000 * CONTACT_S)
        if builds is not None:
            deployment.choose_program = builds.choose
        if has_rollout:
            deployment.rollout_bounds = BOUNDS
        deployment.has_node_links = nodes_per_zone <= MAX_LINKED_NODES_PER_ZONE
        deployment.start_nodes_in_each_zone(nodes_per_zone)
        for servers in deployment.backends.values():
            for server in servers:
                server.is_fatal = is_fatal
                server.restart_after_s = RESTART_AFTER_S[seed % 2]
        faults = FleetFaults(deployment, history, seed)
        faults.spares_servers = has_rollout
        with FleetLoad(deployment, history, seed), ExitStack() as stack:
            play = _begin_rollout(deployment, seed) if has_rollout else None
            if play is not None:
                stack.enter_context(play)
            ends_at_s = time.monotonic() + faults_s
            next_at_s = replace_at_s = time.monotonic()
            while time.monotonic() < ends_at_s:
                faults.tick()
                if time.monotonic() >= next_at_s:
                    faults.inject()
                    next_at_s += MEAN_GAP_S
                if builds is not None and time.monotonic() >= replace_at_s:
                    faults.stop_node()
                    replace_at_s += REPLACE_GAP_S
                time.sleep(TICK_S)
            faults.end_all()
            problems = _wait_recovery(deployment, history, seed)
            faults.tick()
            if play is not None:
                play.wait_for_end(MAX_STRETCH_S)
                problems += play.problems(MAX_STRETCH_S, may_doubt=True)
        problems += faults.problems
        problems += find_problems(history, deployment.backends)
    statuses = Counter(request.status for request in history.requests)
    return SoakResult(
        tuple(faults.fault_log),
        statuses,
        tuple(problems),
        play.outcome if play else "",
    )


def _begin_rollout(deployment: FaultyDeployment, seed: int) -> RolloutPlay:
    version = Version(fail_ratio=ROLLOUT_FAIL_RATIO if seed % 2 else 0.0)
    return RolloutPlay(deployment, "records", version, ROLLOUT_S, seed)


def _wait_recovery(
    deployment: FaultyDeployment, history: FleetHistory, seed: int
) -> list[str]:
    """Waits until every node serves each kind of request.

    Returns:
        A line for each request that still fails after `RECOVERY_S`.
    """
    ends_at_s = time.monotonic() + RECOVERY_S
    while True:
        requests = request_each_kind(deployment, history, seed)
        failed = [request for request in requests if request.status != 200]
        if not failed:
            return []
        if time.monotonic() > ends_at_s:
            return [
                f"{request.node_name} answers {request.kind}"
                f" with {request.status}"
                f" {RECOVERY_S} s after the last fault"
                for request in failed
            ]
        time.sleep(TICK_S)


def main(arguments: Sequence[str] | None = None) -> int:
    """Runs the seeds given on the command line; returns the exit code."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--count", type=int, default=1)
    parser.add_argument(
        "--keep", type=pathlib.Path, help="folder in which logs are kept"
    )
    parser.add_argument("--nodes-per-zone", type=int, default=1)
    parser.add_argument(
        "--beside", metavar="COMMIT", help="an older build to run beside this"
    )
    parser.add_argument(
        "--rollout",
        action="store_true",
        help="move a service to another version, bad if the seed is odd",
    )
    settings = parser.parse_args(arguments)
    broken_count = 0
    with tempfile.TemporaryDirectory() as scratch:
        folder = settings.keep or pathlib.Path(scratch)
        older_program = None
        if settings.beside:
            build_folder = pathlib.Path(scratch) / "older"
            older_program = build_commit(settings.beside, build_folder)
        for seed in range(settings.seed, settings.seed + settings.count):
            builds = AlternatingBuilds(older_program) if older_program else None
            result = run_seed(
                folder / f"seed-{seed}",
                seed,
                nodes_per_zone=settings.nodes_per_zone,
                builds=builds,
                has_rollout=settings.rollout,
            )
            broken_count += bool(result.problems)
            verdict = "broken" if result.problems else "held"
            counts = dict(sorted(result.statuses.items()))
            print(
                f"seed {seed}: {verdict}, answers {counts} {result.rollout}",
                flush=True,
            )
            starts = builds.start_log if builds else []
            for line in (*result.problems, *result.fault_log, *starts):
                if result.problems:
                    print(f"  {line}", flush=True)
    return 1 if broken_count else 0


if __name__ == "__main__":
    sys.exit(main())
