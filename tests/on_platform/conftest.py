"""Fixtures for tests of nodes on the platform's protocol."""

import json
import pathlib
import sys
from collections.abc import Generator, Iterator
from typing import Final

import pytest

sys.path.insert(0, str(pathlib.Path(__file__).parent))
sys.path.insert(0, str(pathlib.Path(__file__).parents[2] / "platform"))

from deployment import Deployment

# The most log lines shown of each node of a failed test.
MAX_SHOWN_COUNT: Final = 40


@pytest.hookimpl(wrapper=True)
def pytest_runtest_makereport(
    item: pytest.Item,
) -> Generator[None, pytest.TestReport, pytest.TestReport]:
    """Shows how the views of nodes changed in a failed test."""
    report = yield
    deployment = getattr(item, "funcargs", {}).get("deployment")
    if report.when == "call" and report.failed and deployment is not None:
        for node in deployment.nodes:
            lines = [
                json.dumps(line)
                for line in deployment.log_lines(node)
                if line["logger"] == "beliefs"
            ]
            report.sections.append(
                (f"view of {node.name}", "\n".join(lines[-MAX_SHOWN_COUNT:]))
            )
    return report


@pytest.fixture
def deployment(tmp_path: pathlib.Path) -> Iterator[Deployment]:
    """Yields a deployment with stand-ins but no nodes yet."""
    with Deployment(tmp_path) as deployment:
        yield deployment
