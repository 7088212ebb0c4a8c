"""Sends bookings and queries under random faults and checks the answers.

    python -m mulberrybay_testing.soak --minutes 10 --seed 1

Prints each fault, the counts and problems of each round, and a verdict. Exits
with 0 if every promise held, 1 if one was broken, 2 if nothing was checked.
"""

from __future__ import annotations

import argparse
import random
import sys
import tempfile
import time
from collections.abc import Iterable, Sequence
from pathlib import Path
from typing import Final, NamedTuple

from mulberrybay_testing.booking_load import BookingLoad
from mulberrybay_testing.bookings import Bookings
from mulberrybay_testing.fault_injector import FaultInjector
from mulberrybay_testing.history import QueryLoad, answer_problems
from mulberrybay_testing.http_caller import make_key
from mulberrybay_testing.proxied_deployment import ProxiedDeployment
from mulberrybay_testing.run_history import RunCall

ROUND_S: Final = 10.0
FAULT_PERIOD_S: Final = 0.5
KEY_COUNT: Final = 120
QUERY_CALLER_COUNT: Final = 3
QUERY_PAUSE_S: Final = 0.05
SHARD_COUNTS: Final = {1: 4}
# The deployment is replaced after this number of rounds, to bound the size of
# the logs that each round checks.
ROUNDS_PER_DEPLOYMENT: Final = 10
EXIT_HELD: Final = 0
EXIT_BROKEN: Final = 1
EXIT_UNCHECKED: Final = 2


class SoakSettings(NamedTuple):
    """Settings of a soak.

    Attributes:
        minutes: Duration of the soak.
        seed: Seed for the faults and the load.
        min_fault_count: Faults that are begun at least. On a busy machine each
            takes longer, and so does the soak.
    """

    minutes: float
    seed: int
    min_fault_count: int = 0


class RoundResult(NamedTuple):
    """Number of bookings and queries by outcome in one round, and problems."""

    ran_count: int
    not_run_count: int
    unknown_count: int
    answered_count: int
    unanswered_count: int
    problems: tuple[str, ...]


class Verdict(NamedTuple):
    """The result of a soak and the exit code for it."""

    exit_code: int
    text: str


def find_verdict(results: Iterable[RoundResult]) -> Verdict:
    """Returns the verdict over all rounds of a soak."""
    results = list(results)
    problem_count = sum(len(result.problems) for result in results)
    if problem_count:
        return Verdict(EXIT_BROKEN, f"broken, {problem_count} problem(s)")
    ran_count = sum(result.ran_count for result in results)
    answered_count = sum(result.answered_count for result in results)
    if not ran_count or not answered_count:
        return Verdict(EXIT_UNCHECKED, "nothing was checked")
    checked = f"{ran_count} bookings that ran and {answered_count} answers"
    return Verdict(EXIT_HELD, f"held, {checked} checked")


class Soak:
    """Runs rounds of faults until the duration is over."""

    def __init__(self, settings: SoakSettings) -> None:
        self._random = random.Random(settings.seed)
        self._missing_fault_count = settings.min_fault_count
        self._started_at_s = time.monotonic()
        self._ends_at_s = self._started_at_s + settings.minutes * 60
        self.results: list[RoundResult] = []

    def run(self) -> None:
        """Runs at least one round, and more until the duration is over."""
        while True:
            with tempfile.TemporaryDirectory() as folder:
                self._run_deployment(Path(folder))
            if self._is_over():
                return

    def _run_deployment(self, folder: Path) -> None:
        with ProxiedDeployment(folder) as deployment:
            for _ in range(ROUNDS_PER_DEPLOYMENT):
                result = self._run_round(deployment)
                self.results.append(result)
                self._print_result(result)
                if self._is_over():
                    return

    def _is_over(self) -> bool:
        return (
            time.monotonic() >= self._ends_at_s
            and self._missing_fault_count <= 0
        )

    def _run_round(self, deployment: ProxiedDeployment) -> RoundResult:
        keys = [make_key(self._random) for _ in range(KEY_COUNT)]
        seed = self._random.getrandbits(32)
        queries = QueryLoad(
            deployment, caller_count=QUERY_CALLER_COUNT, pause_s=QUERY_PAUSE_S
        )
        problems: list[str] = []
        with Bookings(deployment) as bookings:
            load = BookingLoad(bookings, keys, seed, at_two_nodes=True)
            with queries, load:
                self._inject_faults(deployment)
                load.stop()
                problems += _end_faults(deployment)
            if not problems:
                _resend_all(bookings, keys)
        problems += bookings.problems()
        problems += answer_problems(queries.records, SHARD_COUNTS)
        answered_count = len(queries.answered())
        counts = bookings.history.outcome_counts()
        return RoundResult(
            ran_count=counts["ran"],
            not_run_count=counts["not_run"],
            unknown_count=counts["unknown"],
            answered_count=answered_count,
            unanswered_count=len(queries.records) - answered_count,
            problems=tuple(problems),
        )

    def _inject_faults(self, deployment: ProxiedDeployment) -> None:
        injector = FaultInjector(deployment, self._random)
        round_ends_at_s = time.monotonic() + ROUND_S
        while time.monotonic() < round_ends_at_s and not self._is_over():
            self._print("; ".join(injector.inject()))
            self._missing_fault_count -= 1
            time.sleep(FAULT_PERIOD_S)

    def _print_result(self, result: RoundResult) -> None:
        self._print(
            f"round {len(self.results)}: bookings {result.ran_count} ran, "
            f"{result.not_run_count} not run, {result.unknown_count} unknown; "
            f"queries {result.answered_count} answered, "
            f"{result.unanswered_count} not; {len(result.problems)} problem(s)"
        )
        for problem in result.problems:
            self._print(f"PROBLEM {problem}")

    def _print(self, text: str) -> None:
        elapsed_s = time.monotonic() - self._started_at_s
        print(f"{elapsed_s:7.1f} s  {text}", flush=True)


def _end_faults(deployment: ProxiedDeployment) -> list[str]:
    """Ends all faults; returns a problem if the deployment does not recover."""
    try:
        deployment.heal()
    except TimeoutError as error:
        return [f"after the faults: {error}"]
    return []


def _resend_all(bookings: Bookings, keys: Sequence[str]) -> list[RunCall]:
    """Sends a request with each key again, after all faults have ended."""
    node_count = len(bookings.deployment.nodes)
    return [
        bookings.run(number % node_count, key)
        for number, key in enumerate(keys)
    ]


def main(arguments: Sequence[str] | None = None) -> None:
    """Runs a soak; exits with the code of its verdict."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--minutes", type=float, default=10.0)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument(
        "--min-faults", type=int, default=0, dest="min_fault_count"
    )
    settings = SoakSettings(**vars(parser.parse_args(arguments)))
    print(f"soak of {settings.minutes:g} minutes, seed {settings.seed}")
    soak = Soak(settings)
    soak.run()
    verdict = find_verdict(soak.results)
    print(f"verdict: {verdict.text}", flush=True)
    sys.exit(verdict.exit_code)


if __name__ == "__main__":
    main()
