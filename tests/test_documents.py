"""Checks the pages: example commands, the capacity table and links."""

import os
import pathlib
import re
import subprocess
from typing import NamedTuple

from mulberrybay_testing.capacity import make_table
from mulberrybay_testing.deployment import Deployment
from mulberrybay_testing.http_caller import make_key

ROOT = pathlib.Path(__file__).parents[1]
CALLERS_PAGE = ROOT / "docs" / "CALLERS.md"
LINK_PATTERN = re.compile(r"\]\(([^)#:]+)\)")
EXAMPLE_PATTERN = re.compile(
    r"```sh\n(.*?)```\n\n```text\n(.*?)\n```", re.DOTALL
)
COMMAND_TIMEOUT_S = 20.0


class Example(NamedTuple):
    """A command on the page and the first line that its output must have."""

    command: str
    status_line: str


def read_examples() -> list[Example]:
    """Returns the page's examples; each command must show its output."""
    text = CALLERS_PAGE.read_text(encoding="utf-8")
    examples = [Example(*pair) for pair in EXAMPLE_PATTERN.findall(text)]
    assert len(examples) == text.count("```sh") >= 8
    return examples


def run_example(example: Example, variables: dict[str, str]) -> str:
    """Runs a command as the page shows it and returns its output."""
    completed = subprocess.run(
        ["sh", "-c", example.command],
        env={**os.environ, **variables},
        capture_output=True,
        text=True,
        timeout=COMMAND_TIMEOUT_S,
        check=False,
    )
    assert completed.returncode == 0, completed.stderr
    return completed.stdout


def test_example_commands_get_the_status_shown_on_the_page(
    tmp_path: pathlib.Path,
) -> None:
    with Deployment(tmp_path) as deployment:
        port = deployment.nodes[0].caller_port
        variables = {"NODE": f"127.0.0.1:{port}", "KEY": make_key()}
        outputs = [
            (example, run_example(example, variables))
            for example in read_examples()
        ]
        effects = deployment.backend_events("effect")
    for example, output in outputs:
        assert output.splitlines()[0] == example.status_line, example.command
    assert len(effects) == 1


def test_capacity_table_matches_the_measurements() -> None:
    measurements = (ROOT / "docs" / "MEASUREMENTS.md").read_text(
        encoding="utf-8"
    )
    page = (ROOT / "docs" / "CAPACITY.md").read_text(encoding="utf-8")
    assert make_table(measurements) in page


def test_link_targets_between_documents_exist() -> None:
    for page in [ROOT / "README.md", *(ROOT / "docs").glob("*.md")]:
        for target in LINK_PATTERN.findall(page.read_text(encoding="utf-8")):
            assert (page.parent / target).exists(), f"{page.name}: {target}"
