"""Helpers for tests that call the stand-ins over HTTP."""

from __future__ import annotations

import http.client
import json
import threading
from collections.abc import Callable
from pathlib import Path
from typing import Any, Final, NamedTuple

from mulberrybay_testing.control_client import get_control
from mulberrybay_testing.event_log import Event, read_events

CALL_TIMEOUT_S: Final = 5.0


class Reply(NamedTuple):
    """A parsed HTTP reply; header names are in lower case."""

    status: int
    headers: dict[str, str]
    document: Any


class Backend(NamedTuple):
    """A running backend server stand-in with the vm_id b1."""

    port: int
    control_port: int
    log: Path

    def events(self, name: str) -> list[Event]:
        """Returns its logged events of one name."""
        return [item for item in read_events(self.log) if item["event"] == name]

    def in_flight(self) -> int:
        """Returns the number of its outstanding requests."""
        count = get_control(self.control_port)["b1"]["in_flight"]
        assert isinstance(count, int)
        return count


def call(
    port: int,
    method: str,
    path: str,
    body: str = "",
    headers: dict[str, str] | None = None,
    *,
    timeout_s: float = CALL_TIMEOUT_S,
) -> Reply:
    """Sends a request and parses the reply."""
    connection = http.client.HTTPConnection(
        "127.0.0.1", port, timeout=timeout_s
    )
    try:
        connection.request(method, path, body, headers or {})
        response = connection.getresponse()
        text = response.read()
        response_headers = {
            key.lower(): value for key, value in response.getheaders()
        }
        return Reply(
            response.status,
            response_headers,
            json.loads(text) if text else None,
        )
    finally:
        connection.close()


def search(port: int, request_id: str, **headers: str) -> Reply:
    """Sends a search of one shard.

    Further headers are given as keywords, with _ for -: X_Shard for X-Shard.
    """
    names = {key.replace("_", "-"): value for key, value in headers.items()}
    return call(
        port,
        "POST",
        "/v1/search",
        "query",
        {"X-Request-Id": request_id, "X-Shard": "4", **names},
    )


def start_thread(function: Callable[[], object]) -> threading.Thread:
    """Runs a function in a new daemon thread."""
    thread = threading.Thread(target=function, daemon=True)
    thread.start()
    return thread
