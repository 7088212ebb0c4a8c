"""The tests that KNOWN-RED.txt lists are passed over and printed, no others."""

import shutil
import subprocess
import sys
from pathlib import Path

import pytest

CONFTEST = Path(__file__).parents[1] / "conftest.py"
TIMEOUT_S = 60.0

MODULE = """
import pytest

@pytest.mark.parametrize("number", [1, 2])
def test_red(number):
    assert False

def test_green():
    pass
"""
ENTRY = "test_some.py::test_red[1] | `pytest`, no seed | fails | issue 1\n"
DETAILS = "  seen once in two runs\n"


@pytest.mark.parametrize(
    "options", [[], ["-n", "2", "--dist", "loadfile"]], ids=["plain", "xdist"]
)
@pytest.mark.parametrize(
    ("listed", "passed", "failed"),
    [("", 2, 4), (ENTRY + DETAILS, 2, 3)],
    ids=["none", "one"],
)
def test_only_listed_tests_are_passed_over(
    tmp_path: Path, options: list[str], listed: str, passed: int, failed: int
) -> None:
    shutil.copy(CONFTEST, tmp_path)
    for name in ("test_some.py", "test_other.py"):
        (tmp_path / name).write_text(MODULE, encoding="utf-8")
    (tmp_path / "KNOWN-RED.txt").write_text(listed, encoding="utf-8")
    done = subprocess.run(
        [sys.executable, "-m", "pytest", "-p", "no:cacheprovider", *options],
        cwd=tmp_path,
        capture_output=True,
        text=True,
        timeout=TIMEOUT_S,
        check=False,
    )
    assert done.returncode == 1, done.stderr
    assert f"{failed} failed, {passed} passed" in done.stdout
    printed = [x for x in done.stdout.splitlines() if "known red" in x]
    entry = ENTRY.strip().replace(" | ", ": ", 1)
    assert printed == ([f"known red, passed over: {entry}"] if listed else [])
