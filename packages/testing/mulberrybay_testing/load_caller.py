"""A caller of the load tool: it does what docs/CALLERS.md tells callers."""

from __future__ import annotations

import asyncio
import contextlib
import json
import random
import time
from collections import defaultdict
from collections.abc import Sequence
from typing import Final, NamedTuple

# A node says at the deadline that there is no answer; this is for its way.
ANSWER_GRACE_S: Final = 1.0
ADDRESS_TIMEOUT_S: Final = 0.5
MAX_TRY_COUNT: Final = 4
# A try without an answer is given up after this share of the time left.
SILENT_SHARE: Final = 0.5
MIN_TIME_LEFT_S: Final = 0.01

_Streams = tuple[asyncio.StreamReader, asyncio.StreamWriter]


class Try(NamedTuple):
    """One sending of a query.

    Attributes:
        sent_at_s: When it was sent, from the intended time of the query.
        latency_ms: From sending it to its end.
        status: HTTP status; 0 without an answer.
        coverage_percent: What the answer says; 0 unless status is 200.
        retry_after_s: Of a refusal, when to come back; None if not said.
        shard_count: Shards that the answer says there are.
    """

    sent_at_s: float
    latency_ms: float
    status: int
    coverage_percent: float = 0.0
    retry_after_s: float | None = None
    shard_count: int = 0


class LoadCaller:
    """Asks the nodes for addresses and sends queries to them."""

    def __init__(self, ports: Sequence[int], source: random.Random) -> None:
        """Starts without connections.

        Args:
            ports: Caller ports of nodes known beforehand.
            source: Decides on the node for each query.
        """
        self._known_ports = tuple(ports)
        self._ports = tuple(ports)
        self._random = source
        self._idle: dict[int, list[_Streams]] = defaultdict(list)

    def close(self) -> None:
        """Closes the idle connections."""
        for connections in self._idle.values():
            for _, writer in connections:
                writer.close()
        self._idle.clear()

    async def refresh_ports(self) -> None:
        """Asks the nodes, in any order, which addresses to use."""
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
    ) -> list[Try]:
        """Sends a query, again if need be, until its time is up.

        Args:
            path: The path of the class of work.
            body: The body.
            intended_at_s: The time, by the monotonic clock, at which the
                query was meant to be sent.
            deadline_s: The time for the answer from then on.
        """
        tries: list[Try] = []
        tried_ports: list[int] = []
        until_s = intended_at_s + deadline_s
        while len(tries) < MAX_TRY_COUNT:
            left_s = until_s - time.monotonic()
            if tries and left_s < MIN_TIME_LEFT_S:
                break
            port = self._choose_port(tried_ports)
            tried_ports.append(port)
            sent_at_s = time.monotonic() - intended_at_s
            ended = await self._try_once(port, path, body, left_s)
            tries.append(ended._replace(sent_at_s=sent_at_s))
            wait_s = _time_to_next_try_s(ended)
            if wait_s is None or time.monotonic() + wait_s >= until_s:
                break
            await asyncio.sleep(wait_s)
        return tries

    def _choose_port(self, tried_ports: Sequence[int]) -> int:
        """Returns another address than the last ones, if there is one."""
        fresh = [port for port in self._ports if port not in tried_ports]
        others = [port for port in self._ports if port not in tried_ports[-1:]]
        return self._random.choice(fresh or others or self._ports)

    async def _try_once(
        self, port: int, path: str, body: bytes, left_s: float
    ) -> Try:
        left_s = max(MIN_TIME_LEFT_S, left_s)
        has_other = len(self._ports) > 1
        timeout_s = left_s + ANSWER_GRACE_S
        if has_other:
            timeout_s = left_s * SILENT_SHARE
        started_at_s = time.monotonic()
        ended = Try(0.0, 0.0, 0)
        with contextlib.suppress(OSError, EOFError, TimeoutError, ValueError):
            async with asyncio.timeout(timeout_s):
                status, content = await self._exchange(port, path, body, left_s)
            ended = _read_answer(ended, status, content)
        if not ended.status:
            # Other queries do better elsewhere until addresses are asked for.
            others = tuple(item for item in self._ports if item != port)
            self._ports = others or self._ports
        latency_ms = (time.monotonic() - started_at_s) * 1000
        return ended._replace(latency_ms=latency_ms)

    async def _exchange(
        self, port: int, path: str, body: bytes, left_s: float
    ) -> tuple[int, bytes]:
        method = "POST" if body else "GET"
        request = (
            f"{method} {path} HTTP/1.1\r\nHost: 127.0.0.1:{port}\r\n"
            f"X-Deadline-Ms: {max(1, int(left_s * 1000))}\r\n"
            f"Content-Length: {len(body)}\r\n\r\n"
        ).encode()
        idle = self._idle[port]
        streams = idle.pop() if idle else None
        if streams is None or streams[0].at_eof():
            streams = await asyncio.open_connection("127.0.0.1", port)
        reader, writer = streams
        try:
            writer.write(request + body)
            head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
            fields = _read_fields(head)
            length = int(fields.get("content-length", "0"))
            content = await reader.readexactly(length)
        except BaseException:
            writer.close()
            raise
        if fields.get("connection", "").lower() == "close":
            writer.close()
        else:
            idle.append(streams)
        return int(head.split(" ", 2)[1]), content


def _time_to_next_try_s(ended: Try) -> float | None:
    """Returns when a query is sent again; None if its end is final."""
    if ended.status == 0:
        return 0.0
    return ended.retry_after_s if ended.status == 503 else None


def _read_fields(head: str) -> dict[str, str]:
    fields = {}
    for line in head.split("\r\n")[1:]:
        name, _, value = line.partition(":")
        fields[name.lower()] = value.strip()
    return fields


def _read_answer(ended: Try, status: int, content: bytes) -> Try:
    document = json.loads(content)
    if status == 200:
        coverage = document["coverage"]
        return ended._replace(
            status=status,
            coverage_percent=coverage["percent"],
            shard_count=coverage["shard_count"],
        )
    error = document.get("error", {})
    return ended._replace(
        status=status, retry_after_s=error.get("retry_after_s")
    )
