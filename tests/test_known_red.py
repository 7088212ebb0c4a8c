"""Tests listed in KNOWN-RED.txt, and no others, are deselected and printed."""

import shutil
import subprocess
import sys
from pathlib import Path

import pytest

CONFTEST = Path(__file__).parents[1] / "conftest.py"
PYTEST_TIMEOUT_S = 60.0

TEST_MODULE = """
import pytest

@pytest.mark.parametrize("number", [1, 2])
def test_red(number):
    assert False

def test_green():
    pass
"""
ENTRY_LINE = "test_some.py::test_red[1] | `pytest`, no seed | fails | issue 1\n"
DETAIL_LINE = "  seen once in two runs\n"


@pytest.mark.parametrize(
    "options", [[], ["-n", "2", "--dist", "loadfile"]], ids=["plain", "xdist"]
)
@pytest.mark.parametrize(
    ("listed", "passed", "failed"),
    [("", 2, 4), (ENTRY_LINE + DETAIL_LINE, 2, 3)],
    ids=["none", "one"],
)
def test_only_listed_tests_are_deselected_and_printed(
    tmp_path: Path, options: list[str], listed: str, passed: int, failed: int
) -> None:
    shutil.copy(CONFTEST, tmp_path)
    for name in ("test_some.py", "test_other.py"):
        (tmp_path / name).write_text(TEST_MODULE, encoding="utf-8")
    (tmp_path / "KNOWN-RED.txt").write_text(listed, encoding="utf-8")
    completed = subprocess.run(
        [sys.executable, "-m", "pytest", "-p", "no:cacheprovider", *options],
        cwd=tmp_path,
        capture_output=True,
        text=True,
        timeout=PYTEST_TIMEOUT_S,
        check=False,
    )
    assert completed.returncode == 1, completed.stderr
    assert f"{failed} failed, {passed} passed" in completed.stdout
    printed_lines = [
        line for line in completed.stdout.splitlines() if "known red" in line
    ]
    entry = ENTRY_LINE.strip().replace(" | ", ": ", 1)
    assert printed_lines == (
        [f"known red, passed over: {entry}"] if listed else []
    )
