"""The soak: random faults, a history that is checked, and a verdict."""

import pathlib
import re
import subprocess

import pytest

from mulberrybay_testing.soak import RoundResult, find_verdict

ROOT = pathlib.Path(__file__).parents[1]
LIMIT_S = 120.0
SOUND = RoundResult(3, 2, 1, 40, 2, ())


def test_short_soak_injects_faults_and_finds_every_promise_held() -> None:
    done = subprocess.run(
        [ROOT / "scripts" / "soak", "--minutes", "0.45", "--seed", "7"],
        capture_output=True,
        text=True,
        timeout=LIMIT_S,
        check=False,
    )
    assert done.returncode == 0, done.stdout + done.stderr
    fault_count = len(re.findall(r" s  (?!round).*; ", done.stdout))
    assert fault_count >= 30
    assert "PROBLEM" not in done.stdout
    assert "verdict: held" in done.stdout


@pytest.mark.parametrize(
    ("results", "exit_code", "text"),
    [
        ([SOUND, SOUND], 0, "held, 6 bookings that ran and 80 answers"),
        ([SOUND, SOUND._replace(problems=("k: 2 effects",))], 1, "1 problem"),
        ([SOUND._replace(ran_count=0)], 2, "nothing was checked"),
        ([SOUND._replace(answered_count=0)], 2, "nothing was checked"),
        ([], 2, "nothing was checked"),
    ],
)
def test_verdict(results: list[RoundResult], exit_code: int, text: str) -> None:
    verdict = find_verdict(results)
    assert verdict.exit_code == exit_code
    assert text in verdict.text
