"""Documents: commands run as shown, figures as worked out, links that exist."""

import os
import pathlib
import re
import subprocess
from typing import NamedTuple

from mulberrybay_testing.capacity import make_table
from mulberrybay_testing.deployment import Deployment
from mulberrybay_testing.http_caller import make_key

ROOT = pathlib.Path(__file__).parents[1]
PAGE = ROOT / "docs" / "CALLERS.md"
LINK = re.compile(r"\]\(([^)#:]+)\)")
COMMAND = re.compile(r"```sh\n(.*?)```\n\n```text\n(.*?)\n```", re.DOTALL)
COMMAND_LIMIT_S = 20.0


class Example(NamedTuple):
    """A command of the page and the status line that it must get."""

    command: str
    status_line: str


def read_examples() -> list[Example]:
    """Returns the page's commands; each must be paired with its status."""
    text = PAGE.read_text(encoding="utf-8")
    examples = [Example(*pair) for pair in COMMAND.findall(text)]
    assert len(examples) == text.count("```sh") >= 8
    return examples


def run_example(example: Example, variables: dict[str, str]) -> str:
    """Runs a command as the page shows it; returns what it printed."""
    done = subprocess.run(
        ["sh", "-c", example.command],
        env={**os.environ, **variables},
        capture_output=True,
        text=True,
        timeout=COMMAND_LIMIT_S,
        check=False,
    )
    assert done.returncode == 0, done.stderr
    return done.stdout


def test_commands_get_the_status_that_the_page_shows(
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


def test_capacity_page_has_the_table_that_the_figures_give() -> None:
    measured = (ROOT / "docs" / "MEASUREMENTS.md").read_text(encoding="utf-8")
    page = (ROOT / "docs" / "CAPACITY.md").read_text(encoding="utf-8")
    assert make_table(measured) in page


def test_links_between_documents_exist() -> None:
    for page in [ROOT / "README.md", *(ROOT / "docs").glob("*.md")]:
        for target in LINK.findall(page.read_text(encoding="utf-8")):
            assert (page.parent / target).exists(), f"{page.name}: {target}"
