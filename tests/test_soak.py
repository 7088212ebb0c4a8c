"""Tests scripts/soak: injected faults, the check of the history, verdicts."""

import pathlib
import re
import subprocess

import pytest

from mulberrybay_testing.soak import RoundResult, find_verdict

ROOT = pathlib.Path(__file__).parents[1]
SOAK_TIMEOUT_S = 120.0
GOOD_ROUND = RoundResult(3, 2, 1, 40, 2, ())


def test_short_soak_injects_faults_and_finds_no_problem() -> None:
    completed = subprocess.run(
        [
            ROOT / "scripts" / "soak",
            *("--minutes", "0.45", "--seed", "7"),
            *("--min-faults", "30"),
        ],
        capture_output=True,
        text=True,
        timeout=SOAK_TIMEOUT_S,
        check=False,
    )
    assert completed.returncode == 0, completed.stdout + completed.stderr
    fault_count = len(re.findall(r" s  (?!round).*; ", completed.stdout))
    assert fault_count >= 30
    assert "PROBLEM" not in completed.stdout
    assert "verdict: held" in completed.stdout


@pytest.mark.parametrize(
    ("results", "exit_code", "text"),
    [
        (
            [GOOD_ROUND, GOOD_ROUND],
            0,
            "held, 6 bookings that ran and 80 answers",
        ),
        (
            [GOOD_ROUND, GOOD_ROUND._replace(problems=("k: 2 effects",))],
            1,
            "1 problem",
        ),
        ([GOOD_ROUND._replace(ran_count=0)], 2, "nothing was checked"),
        ([GOOD_ROUND._replace(answered_count=0)], 2, "nothing was checked"),
        ([], 2, "nothing was checked"),
    ],
)
def test_verdict(results: list[RoundResult], exit_code: int, text: str) -> None:
    verdict = find_verdict(results)
    assert verdict.exit_code == exit_code
    assert text in verdict.text
