"""The builds of a node that run beside each other in a deployment."""

import io
import pathlib
import subprocess
import tarfile
import time
from typing import Final

from deployment import NODE_PROGRAM_PATH

REPOSITORY_PATH: Final = pathlib.Path(__file__).parents[2]


class HistoryError(Exception):
    """The history of this checkout lacks a commit."""


def build_commit(commit: str, folder: pathlib.Path) -> pathlib.Path:
    """Puts the packages of a commit into a folder.

    Returns:
        The program of a node.

    Raises:
        HistoryError: The history lacks the commit, as in a shallow clone.
    """
    command = ["git", "archive", commit, "packages", "platform"]
    result = subprocess.run(
        command, cwd=REPOSITORY_PATH, capture_output=True, check=False
    )
    if result.returncode != 0:
        raise HistoryError(f"{commit}: {result.stderr.decode().strip()}")
    with tarfile.open(fileobj=io.BytesIO(result.stdout)) as archive:
        archive.extractall(folder, filter="data")
    return folder / "platform" / "node.py"


class AlternatingBuilds:
    """Starts every other node with the older build, and swaps it at restarts.

    Attributes:
        start_log: The nodes and builds with the times of their starts.
    """

    def __init__(self, older_program: pathlib.Path) -> None:
        self._older_program = older_program
        self._runs_older: dict[str, bool] = {}
        self.start_log: list[str] = []

    def choose(self, name: str) -> pathlib.Path:
        """Returns the program of a node that starts."""
        is_older = not self._runs_older.get(
            name, bool(len(self._runs_older) % 2)
        )
        self._runs_older[name] = is_older
        build = "older" if is_older else "present"
        self.start_log.append(f"{time.monotonic():.2f} start {name} {build}")
        return self._older_program if is_older else NODE_PROGRAM_PATH
