"""The command `explain`, which finds the log lines that concern a request."""

import json
import pathlib
import re
from collections.abc import Iterable
from datetime import datetime, timedelta
from typing import Any, Final, NamedTuple

from expression import Error, Ok

from mulberrybay_operators.command_line import Explain
from mulberrybay_operators.exit_codes import CommandFailure, ExitCode
from mulberrybay_operators.outputs import CommandResult, Output

# A change of a node's view can affect requests that end up to this much later:
# the longest delay until a change takes effect plus the longest usual request.
CONTEXT_BEFORE: Final = timedelta(seconds=10)
CONTEXT_AFTER: Final = timedelta(seconds=1)
# Lines of these loggers concern every request of their node.
NODE_LOGGERS: Final = frozenset({"node", "store", "peers", "faults"})
# Changes of what a node knows of servers, nodes and requests.
VIEW_LOGGER: Final = "beliefs"
# Keys that have their own column or are of no use to the operator.
SEPARATE_KEYS: Final = frozenset({"at", "level", "logger", "message"})
NAME_PATTERN: Final = re.compile(r"[A-Za-z0-9_-]{3,}")


class LogLine(NamedTuple):
    """One line of a node's log.

    Attributes:
        at: The time of the line by the node's clock.
        source: The node that a log collector's prefix names, else the name of
            the log file without its extension.
        document: All fields of the line.
    """

    at: datetime
    source: str
    document: dict[str, Any]

    def describe(self) -> str:
        """Returns the line as text."""
        fields = " ".join(
            f"{name}={json.dumps(value)}"
            for name, value in self.document.items()
            if name not in SEPARATE_KEYS
        )
        message = self.document.get("message", "")
        return f"{self.at.isoformat()}  {self.source}  {message}  {fields}"


def read_lines(path: pathlib.Path) -> list[LogLine]:
    """Returns the log lines of a file; skips lines of any other form.

    The last word before the JSON object, as in a log collector's prefix, names
    the node.

    Raises:
        OSError: The file can't be read.
    """
    lines = []
    with path.open(encoding="utf-8", errors="replace") as file:
        for text in file:
            start = text.find("{")
            if start < 0:
                continue
            try:
                document = json.loads(text[start:])
                at = datetime.fromisoformat(document["at"])
            except (KeyError, TypeError, ValueError):
                continue
            prefix = text[:start].split()
            source = prefix[-1].strip("[]:|") if prefix else ""
            lines.append(LogLine(at, source or path.stem, document))
    return lines


def group_by_source(lines: Iterable[LogLine]) -> list[list[LogLine]]:
    """Returns the lines of each node, in the order of the input."""
    groups: dict[str, list[LogLine]] = {}
    for line in lines:
        groups.setdefault(line.source, []).append(line)
    return [*groups.values()]


def find_related_lines(
    request_id: str, logs: Iterable[list[LogLine]]
) -> list[LogLine]:
    """Returns a request's log lines and those on the state of its nodes.

    Crashes of servers under the same request are included at whatever time and
    node they were seen: they decide what all nodes do with it. The result is
    sorted by time.

    Args:
        request_id: The identifier of the request.
        logs: The log lines of each node.
    """
    related_lines = []
    logs = [*logs]
    identities = _find_identities(request_id, logs)
    for lines in logs:
        related_lines += [
            line
            for line in lines
            if line.document.get("identity") in identities
            and line.document.get("request_id") != request_id
            and line.document.get("logger") == VIEW_LOGGER
        ]
        request_lines = [
            line
            for line in lines
            if line.document.get("request_id") == request_id
        ]
        if not request_lines:
            continue
        first_at = min(line.at for line in request_lines) - CONTEXT_BEFORE
        last_at = max(line.at for line in request_lines) + CONTEXT_AFTER
        names = _find_names(request_lines)
        related_lines += request_lines
        related_lines += [
            line
            for line in lines
            if first_at <= line.at <= last_at
            and not line.document.keys() & {"request_id", "identity"}
            and _is_related(line, names)
        ]
    return sorted(related_lines, key=lambda line: line.at)


def _find_identities(
    request_id: str, logs: Iterable[list[LogLine]]
) -> set[str]:
    """Returns what nodes know a request by when it comes again."""
    return {
        line.document["identity"]
        for lines in logs
        for line in lines
        if line.document.get("request_id") == request_id
        and "identity" in line.document
    }


def _find_names(lines: list[LogLine]) -> set[str]:
    """Returns the names of servers and services in a request's lines."""
    names: set[str] = set()
    for line in lines:
        for key in ("sent_to", "failures", "missing", "service", "server"):
            names.update(
                NAME_PATTERN.findall(json.dumps(line.document.get(key, "")))
            )
    return names


def _is_related(line: LogLine, names: set[str]) -> bool:
    document = line.document
    if document.get("logger") in NODE_LOGGERS:
        return True
    if "server" not in document and "service" not in document:
        return document.get("logger") == VIEW_LOGGER
    return document.get("server") in names or document.get("service") in names


def explain(command: Explain) -> CommandResult:
    """Shows the log lines that concern a request, without contacting a node."""
    lines: list[LogLine] = []
    for path in command.files:
        try:
            lines += read_lines(path)
        except OSError as error:
            return Error(CommandFailure(ExitCode.USAGE, f"{path}: {error}"))
    logs = group_by_source(lines)
    related_lines = find_related_lines(command.request_id, logs)
    if not related_lines:
        detail = (
            f"no log line has the request {command.request_id}; a busy node "
            "first leaves out the lines of successful requests"
        )
        return Error(CommandFailure(ExitCode.FAILED, detail))
    return Ok(
        Output(
            "\n".join(line.describe() for line in related_lines),
            [
                {"source": line.source, **line.document}
                for line in related_lines
            ],
        )
    )
