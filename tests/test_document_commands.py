"""Commands that pages name in their text: what they run is there.

Blocks of commands are run as shown by tests/test_operator_page.py and
tests/test_documents.py. Of the others, the short ones are run here, and the
long ones, such as measurements, must name a program and tests that exist.
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
# In the text, between backticks and perhaps over two lines, or indented.
COMMAND = re.compile(
    r"(?:`|^ {4})((?:scripts/|(?:\.venv/bin/)?python -m )[^`#]+?)"
    r"(?:`| +#|\s*$)",
    re.MULTILINE,
)
LIMIT_S = 60.0


def read_commands() -> list[list[str]]:
    """Returns the words of each command of each page."""
    texts = [page.read_text(encoding="utf-8") for page in PAGES]
    return [
        command.split() for text in texts for command in COMMAND.findall(text)
    ]


def test_programs_and_files_that_commands_name_exist() -> None:
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
    programs = pathlib.Path(sys.executable).parent
    done = subprocess.run(
        command.split(),
        cwd=ROOT,
        env={**os.environ, "PATH": f"{programs}:{os.environ['PATH']}"},
        capture_output=True,
        text=True,
        timeout=LIMIT_S,
        check=False,
    )
    assert done.returncode == 0, done.stderr
    assert done.stdout.strip()
