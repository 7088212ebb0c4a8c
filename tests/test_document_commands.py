"""Checks commands that stand in the text of pages, outside code blocks.

Code blocks are run as shown by tests/test_operator_page.py and
tests/test_documents.py. Here, short commands are run. Commands that take long,
such as measurements, aren't run: the program and the test files that they name
must exist.
"""

import importlib.util
import os
import pathlib
import re
import subprocess
import sys

import pytest

ROOT = pathlib.Path(__file__).parents[1]
PAGES = (
    ROOT / "README.md",
    ROOT / "CONTRIBUTING.md",
    *sorted((ROOT / "docs").glob("*.md")),
)
# Matches a command between backticks, which may span two lines, or on an
# indented line.
COMMAND_PATTERN = re.compile(
    r"(?:`|^ {4})((?:scripts/|(?:\.venv/bin/)?python -m )[^`#]+?)"
    r"(?:`| +#|\s*$)",
    re.MULTILINE,
)
COMMAND_TIMEOUT_S = 60.0


def read_commands() -> list[list[str]]:
    """Returns the commands of all pages, each split into words."""
    texts = [page.read_text(encoding="utf-8") for page in PAGES]
    return [
        command.split()
        for text in texts
        for command in COMMAND_PATTERN.findall(text)
    ]


def test_programs_and_files_named_in_commands_exist() -> None:
    commands = read_commands()
    assert len(commands) > 15
    for words in commands:
        program = words[2] if words[1:2] == ["-m"] else words[0]
        if program.startswith("scripts/"):
            assert os.access(ROOT / program, os.X_OK), words
        else:
            assert importlib.util.find_spec(program), words
        for word in words[1:]:
            if word.startswith(("tests/", "packages/")):
                assert (ROOT / word.partition("::")[0]).exists(), words


@pytest.mark.parametrize(
    "command",
    [
        ".venv/bin/python -m mulberrybay_testing.capacity",
        "python -m mulberrybay_testing.slot_schemes",
    ],
)
def test_short_commands_run_as_shown(command: str) -> None:
    assert command.split() in read_commands()
    program_folder = pathlib.Path(sys.executable).parent
    completed = subprocess.run(
        command.split(),
        cwd=ROOT,
        env={**os.environ, "PATH": f"{program_folder}:{os.environ['PATH']}"},
        capture_output=True,
        text=True,
        timeout=COMMAND_TIMEOUT_S,
        check=False,
    )
    assert completed.returncode == 0, completed.stderr
    assert completed.stdout.strip()
