"""Deselects the tests that KNOWN-RED.txt lists, and prints their entries.

The first line of an entry is the test's node id, " | " and a description.
"""

from pathlib import Path

import pytest

KNOWN_RED = Path(__file__).with_name("KNOWN-RED.txt")


def read_known_red() -> dict[str, str]:
    """Returns the descriptions in KNOWN-RED.txt by the test's node id."""
    if not KNOWN_RED.is_file():
        return {}
    lines = KNOWN_RED.read_text(encoding="utf-8").splitlines()
    entries = (line.partition(" | ") for line in lines)
    return {
        node_id: description
        for node_id, separator, description in entries
        if separator
    }


def pytest_collection_modifyitems(
    config: pytest.Config, items: list[pytest.Item]
) -> None:
    """Deselects the listed tests, so that they don't run."""
    known_red = read_known_red()
    deselected = [item for item in items if item.nodeid in known_red]
    if deselected:
        items[:] = [item for item in items if item.nodeid not in known_red]
        config.hook.pytest_deselected(items=deselected)


def pytest_terminal_summary(
    terminalreporter: pytest.TerminalReporter,
) -> None:
    """Prints the entries of the listed tests."""
    for node_id, description in read_known_red().items():
        terminalreporter.write_line(
            f"known red, passed over: {node_id}: {description}"
        )
