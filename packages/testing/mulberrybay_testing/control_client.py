"""A client for the control ports of the stand-ins."""

from __future__ import annotations

import http.client
import json
from typing import Any

_TIMEOUT_S = 5.0


class ControlError(Exception):
    """A stand-in refused a control request."""

    def __init__(self, port: int, status: int, body: str) -> None:
        super().__init__(f"control at port {port}: status {status}: {body}")
        self.port = port
        self.status = status


def post_control(port: int, document: object) -> dict[str, Any]:
    """Posts a control document to a stand-in and returns its JSON reply."""
    return _call(port, "POST", json.dumps(document))


def get_control(port: int) -> dict[str, Any]:
    """Returns the counters and the state of a stand-in."""
    return _call(port, "GET", None)


def _call(port: int, method: str, body: str | None) -> dict[str, Any]:
    connection = http.client.HTTPConnection(
        "127.0.0.1", port, timeout=_TIMEOUT_S
    )
    try:
        connection.request(method, "/control", body)
        response = connection.getresponse()
        text = response.read().decode()
    finally:
        connection.close()
    if response.status != 200:
        raise ControlError(port, response.status, text)
    document: dict[str, Any] = json.loads(text)
    return document
