"""Passes over the tests that KNOWN-RED.txt lists, and prints them.

An entry's first line begins with the test's node id, then " | " and the rest.
"""

from pathlib import Path

import pytest

KNOWN_RED = Path(__file__).with_name("KNOWN-RED.txt")


def read_known_red() -> dict[str, str]:
    """Returns the entries of KNOWN-RED.txt by the test's node id."""
    if not KNOWN_RED.is_file():
        return {}
    lines = KNOWN_RED.read_text(encoding="utf-8").splitlines()
    entries = (line.partition(" | ") for line in lines)
    return {name: rest for name, separator, rest in entries if separator}


def pytest_collection_modifyitems(
    config: pytest.Config, items: list[pytest.Item]
) -> None:
    """Deselects the listed tests."""
    known_red = read_known_red()
    passed_over = [item for item in items if item.nodeid in known_red]
    if passed_over:
        items[:] = [item for item in items if item.nodeid not in known_red]
        config.hook.pytest_deselected(items=passed_over)


def pytest_terminal_summary(
    terminalreporter: pytest.TerminalReporter,
) -> None:
    """Prints the listed tests."""
    for name, rest in read_known_red().items():
        terminalreporter.write_line(f"known red, passed over: {name}: {rest}")
