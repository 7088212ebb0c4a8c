"""Event logs of the stand-ins, as files of JSON lines."""

from __future__ import annotations

import json
import time
from pathlib import Path
from typing import TypedDict


class Event(TypedDict, total=False):
    """One logged event; only `at_s` and `event` are always present."""

    at_s: float
    event: str
    vm_id: str
    request_id: str
    idempotency_key: str
    path: str
    shard: str
    index_version: str
    outstanding: int
    bearable: int
    cold_age_s: float
    leaving_age_s: float
    cause: str
    work_begun: bool
    connection_count: int
    method: str
    kind: str
    name: str
    status: int
    version: int
    answer_lost: bool
    settings: dict[str, object]


class EventLog:
    """Appends events to a file; each line is flushed immediately."""

    def __init__(self, path: Path) -> None:
        self._file = path.open("a", buffering=1, encoding="utf-8")

    def __enter__(self) -> EventLog:
        """Returns the open log."""
        return self

    def __exit__(self, *_: object) -> None:
        """Closes the file."""
        self._file.close()

    def write(self, event: str, fields: Event) -> None:
        """Appends one event with the current Unix time."""
        document: Event = {"at_s": time.time(), "event": event}
        document.update(fields)
        self._file.write(json.dumps(document, separators=(",", ":")) + "\n")


def read_events(path: Path) -> list[Event]:
    """Returns the events of a log, without an incomplete last line."""
    text = path.read_text(encoding="utf-8") if path.exists() else ""
    whole_lines = text.split("\n")[:-1]
    return [json.loads(line) for line in whole_lines]
