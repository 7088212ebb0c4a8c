"""Short soak runs, and seeds that found violations before."""

import pathlib

import pytest
from fleet_soak import run_seed

SHORT_RUN_S = 5.0


@pytest.mark.parametrize("seed", [1001, 1002])
def test_no_violations_under_random_faults(
    tmp_path: pathlib.Path, seed: int
) -> None:
    result = run_seed(tmp_path, seed, SHORT_RUN_S)

    assert result.problems == (), result.fault_log
    assert result.statuses[200] > 0


@pytest.mark.parametrize(
    "seed",
    [
        # SIGHUP 0.1 s after a node's start terminated it.
        4,
        # SIGTERM 0.15 s after a node's start killed it instead of stopping it
        # gracefully.
        7,
        # A request that crashed servers reached them at all nodes again.
        102,
        # A change after the store was silent was late at all nodes.
        8403,
    ],
)
def test_seed_that_found_a_violation(tmp_path: pathlib.Path, seed: int) -> None:
    assert run_seed(tmp_path, seed).problems == ()
