"""The caller that the load generator uses; it follows docs/CALLERS.md."""

from __future__ import annotations

import asyncio
import contextlib
import json
import random
import time
from collections import defaultdict
from collections.abc import Sequence
from typing import Final, NamedTuple

# A node reports at the deadline that there is no answer. This allows for the
# time until that response arrives.
ANSWER_GRACE_S: Final = 1.0
ADDRESS_TIMEOUT_S: Final = 0.5
MAX_ATTEMPT_COUNT: Final = 4
# If there is another node, an attempt times out after this ratio of the time
# left, so that there is time for a retry at the other node.
ATTEMPT_TIMEOUT_RATIO: Final = 0.5
MIN_TIME_LEFT_S: Final = 0.01

_Streams = tuple[asyncio.StreamReader, asyncio.StreamWriter]


class QueryAttempt(NamedTuple):
    """One attempt of a caller to get an answer to a query.

    Attributes:
        sent_at_s: Time of sending, relative to the intended time of the query.
        latency_ms: Time from sending to the answer, or to the failure.
        status: HTTP status; 0 if there was no answer.
        coverage_percent: Coverage in the answer; 0 unless status is 200.
        retry_after_s: The delay before a retry that a refusal gives, or None.
        shard_count: Number of shards in the answer; 0 unless status is 200.
    """

    sent_at_s: float
    latency_ms: float
    status: int
    coverage_percent: float = 0.0
    retry_after_s: float | None = None
    shard_count: int = 0


class LoadCaller:
    """Sends queries to the addresses that nodes advertise."""

    def __init__(self, ports: Sequence[int], source: random.Random) -> None:
        """Creates a caller without connections.

        Args:
            ports: Caller ports of the nodes that are asked for addresses.
            source: Random source for the choice of nodes.
        """
        self._known_ports = tuple(ports)
        self._ports = tuple(ports)
        self._random = source
        self._idle_streams: dict[int, list[_Streams]] = defaultdict(list)

    def close(self) -> None:
        """Closes the idle connections."""
        for connections in self._idle_streams.values():
            for _, writer in connections:
                writer.close()
        self._idle_streams.clear()

    async def refresh_ports(self) -> None:
        """Updates the addresses from the first node that answers.

        Nodes are asked in random order. If none answers, or the answer has
        no address, the addresses stay as they are.
        """
        count = len(self._known_ports)
        for port in self._random.sample(self._known_ports, count):
            with contextlib.suppress(
                OSError, EOFError, TimeoutError, ValueError, KeyError
            ):
                async with asyncio.timeout(ADDRESS_TIMEOUT_S):
                    _, content = await self._exchange(
                        port, "/v1/addresses", b"", ADDRESS_TIMEOUT_S
                    )
                addresses = json.loads(content)["addresses"]
                if addresses:
                    self._ports = tuple(
                        int(item["address"].rpartition(":")[2])
                        for item in addresses
                    )
                return

    async def query(
        self, path: str, body: bytes, intended_at_s: float, deadline_s: float
    ) -> list[QueryAttempt]:
        """Sends a query, with retries until its deadline.

        Args:
            path: The URL path for the class of work.
            body: The request body.
            intended_at_s: The planned time of sending on the monotonic
                clock.
            deadline_s: Time limit for the answer, from `intended_at_s`.

        Returns:
            All attempts in the order of sending, at least one.
        """
        attempts: list[QueryAttempt] = []
        tried_ports: list[int] = []
        expires_at_s = intended_at_s + deadline_s
        while len(attempts) < MAX_ATTEMPT_COUNT:
            time_left_s = expires_at_s - time.monotonic()
            if attempts and time_left_s < MIN_TIME_LEFT_S:
                break
            port = self._choose_port(tried_ports)
            tried_ports.append(port)
            sent_at_s = time.monotonic() - intended_at_s
            attempt = await self._send_once(port, path, body, time_left_s)
            attempts.append(attempt._replace(sent_at_s=sent_at_s))
            delay_s = _retry_delay_s(attempt)
            if delay_s is None or time.monotonic() + delay_s >= expires_at_s:
                break
            await asyncio.sleep(delay_s)
        return attempts

    def _choose_port(self, tried_ports: Sequence[int]) -> int:
        """Chooses an untried port if there is one, else any but the last."""
        untried = [port for port in self._ports if port not in tried_ports]
        other_ports = [
            port for port in self._ports if port not in tried_ports[-1:]
        ]
        return self._random.choice(untried or other_ports or self._ports)

    async def _send_once(
        self, port: int, path: str, body: bytes, time_left_s: float
    ) -> QueryAttempt:
        time_left_s = max(MIN_TIME_LEFT_S, time_left_s)
        has_other = len(self._ports) > 1
        timeout_s = time_left_s + ANSWER_GRACE_S
        if has_other:
            timeout_s = time_left_s * ATTEMPT_TIMEOUT_RATIO
        started_at_s = time.monotonic()
        attempt = QueryAttempt(0.0, 0.0, 0)
        with contextlib.suppress(OSError, EOFError, TimeoutError, ValueError):
            async with asyncio.timeout(timeout_s):
                status, content = await self._exchange(
                    port, path, body, time_left_s
                )
            attempt = _parse_answer(attempt, status, content)
        if not attempt.status:
            # Later queries avoid this address until the next refresh.
            other_ports = tuple(item for item in self._ports if item != port)
            self._ports = other_ports or self._ports
        latency_ms = (time.monotonic() - started_at_s) * 1000
        return attempt._replace(latency_ms=latency_ms)

    async def _exchange(
        self, port: int, path: str, body: bytes, time_left_s: float
    ) -> tuple[int, bytes]:
        method = "POST" if body else "GET"
        request = (
            f"{method} {path} HTTP/1.1\r\nHost: 127.0.0.1:{port}\r\n"
            f"X-Deadline-Ms: {max(1, int(time_left_s * 1000))}\r\n"
            f"Content-Length: {len(body)}\r\n\r\n"
        ).encode()
        idle_streams = self._idle_streams[port]
        streams = idle_streams.pop() if idle_streams else None
        if streams is None or streams[0].at_eof():
            streams = await asyncio.open_connection("127.0.0.1", port)
        reader, writer = streams
        try:
            writer.write(request + body)
            head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
            headers = _parse_headers(head)
            length = int(headers.get("content-length", "0"))
            content = await reader.readexactly(length)
        except BaseException:
            writer.close()
            raise
        if headers.get("connection", "").lower() == "close":
            writer.close()
        else:
            idle_streams.append(streams)
        return int(head.split(" ", 2)[1]), content


def _retry_delay_s(attempt: QueryAttempt) -> float | None:
    """Returns the delay before a retry; None if there must be none."""
    if attempt.status == 0:
        return 0.0
    return attempt.retry_after_s if attempt.status == 503 else None


def _parse_headers(head: str) -> dict[str, str]:
    headers = {}
    for line in head.split("\r\n")[1:]:
        name, _, value = line.partition(":")
        headers[name.lower()] = value.strip()
    return headers


def _parse_answer(
    attempt: QueryAttempt, status: int, content: bytes
) -> QueryAttempt:
    document = json.loads(content)
    if status == 200:
        coverage = document["coverage"]
        return attempt._replace(
            status=status,
            coverage_percent=coverage["percent"],
            shard_count=coverage["shard_count"],
        )
    error = document.get("error", {})
    return attempt._replace(
        status=status, retry_after_s=error.get("retry_after_s")
    )
