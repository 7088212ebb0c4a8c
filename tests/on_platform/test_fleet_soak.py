"""Short runs of the soak, and the seeds that once broke a promise."""

import pathlib

import pytest
from fleet_soak import run_seed

SHORT_S = 5.0


@pytest.mark.parametrize("seed", [1001, 1002])
def test_promises_hold_under_random_faults(
    tmp_path: pathlib.Path, seed: int
) -> None:
    result = run_seed(tmp_path, seed, SHORT_S)

    assert result.problems == (), result.told
    assert result.statuses[200] > 0


@pytest.mark.parametrize(
    "seed",
    [
        # SIGHUP 0.1 s after the start of a node ended it.
        4,
        # SIGTERM 0.15 s after the start of a node ended it by the signal.
        7,
    ],
)
def test_seed_that_once_broke_a_promise(
    tmp_path: pathlib.Path, seed: int
) -> None:
    assert run_seed(tmp_path, seed).problems == ()
