"""A blocking HTTP client for tests and the demo."""

from __future__ import annotations

import http.client
import json
import random
import time
from collections.abc import Mapping
from typing import Any, Final, NamedTuple

TIMEOUT_S: Final = 10.0


class HttpAnswer(NamedTuple):
    """A complete HTTP answer; header names are in lower case."""

    status: int
    headers: Mapping[str, str]
    body: bytes
    latency_s: float

    def json(self) -> Any:  # noqa: ANN401
        """Returns the body parsed as JSON."""
        return json.loads(self.body)


def send_request(
    port: int,
    method: str,
    path: str,
    body: bytes = b"",
    headers: Mapping[str, str] | None = None,
    timeout_s: float = TIMEOUT_S,
) -> HttpAnswer:
    """Sends one request to a loopback port on a new connection.

    Raises:
        OSError: The connection failed or timed out.
        http.client.HTTPException: The answer was cut short or malformed.
    """
    started_at_s = time.monotonic()
    connection = http.client.HTTPConnection(
        "127.0.0.1", port, timeout=timeout_s
    )
    try:
        connection.request(method, path, body, dict(headers or {}))
        response = connection.getresponse()
        content = response.read()
    finally:
        connection.close()
    return HttpAnswer(
        status=response.status,
        headers={k.lower(): v for k, v in response.getheaders()},
        body=content,
        latency_s=time.monotonic() - started_at_s,
    )


def make_key(random_source: random.Random | None = None) -> str:
    """Returns a new idempotency key that begins with the Unix time."""
    source = random_source or random.Random()
    return f"{int(time.time())}-{source.getrandbits(64):016x}"
