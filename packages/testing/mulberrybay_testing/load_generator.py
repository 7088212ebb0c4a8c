"""Open-loop load: Poisson arrivals that wait for no earlier answer.

Latency counts from the time at which a query was meant to be sent, so that a
slow tier or a busy sender cannot hide waiting.
"""

from __future__ import annotations

import asyncio
import contextlib
import json
import random
import time
from collections import defaultdict
from collections.abc import Sequence
from typing import Final, NamedTuple

CLIENT_GRACE_S: Final = 1.0
ADDRESS_PERIOD_S: Final = 1.0

_Streams = tuple[asyncio.StreamReader, asyncio.StreamWriter]


class LoadSpec(NamedTuple):
    """The load of one run.

    Attributes:
        class_name: The class of work.
        rate_per_s: Mean arrivals a second.
        duration_s: How long queries are sent.
        deadline_ms: What each query names as its time left.
        burst_rate_per_s: Mean arrivals a second during the burst.
        burst_from_s: When the burst begins.
        burst_until_s: When it ends; at or before its begin for none.
    """

    class_name: str
    rate_per_s: float
    duration_s: float
    deadline_ms: int = 1000
    burst_rate_per_s: float = 0.0
    burst_from_s: float = 0.0
    burst_until_s: float = 0.0

    def rate_at(self, at_s: float) -> float:
        """Returns the mean arrivals a second at a time."""
        is_burst = self.burst_from_s <= at_s < self.burst_until_s
        return self.burst_rate_per_s if is_burst else self.rate_per_s


class Sample(NamedTuple):
    """What became of one query.

    Attributes:
        at_s: Intended time of sending, from the start of the load.
        latency_ms: From the intended time to the whole answer.
        status: HTTP status; 0 without an answer.
        coverage_percent: What the answer says; 0 unless status is 200.
        retry_after_s: Of a refusal, when to come back; None if not said.
        shard_count: Shards that the answer says there are.
    """

    at_s: float
    latency_ms: float
    status: int
    coverage_percent: float = 0.0
    retry_after_s: float | None = None
    shard_count: int = 0


class LoadGenerator:
    """Sends the load to the addresses that the nodes give to callers."""

    def __init__(self, spec: LoadSpec, ports: Sequence[int], seed: int) -> None:
        """Plans the load.

        Args:
            spec: The load.
            ports: Caller ports of nodes known beforehand.
            seed: Decides arrivals and the choice of node.
        """
        self._spec = spec
        self._known_ports = tuple(ports)
        self._ports = tuple(ports)
        # Apart from the choice of nodes, so that every arm has the same load.
        self._arrivals = random.Random(seed)
        self._random = random.Random(f"nodes {seed}")
        self._idle: dict[int, list[_Streams]] = defaultdict(list)
        self._tasks: set[asyncio.Task[None]] = set()
        self.samples: list[Sample] = []

    async def run(self) -> list[Sample]:
        """Sends the whole load; returns the samples by intended time."""
        started_at_s = time.monotonic()
        refresh = asyncio.create_task(self._refresh_ports())
        at_s = self._arrivals.expovariate(self._spec.rate_at(0.0))
        while at_s < self._spec.duration_s:
            wait_s = started_at_s + at_s - time.monotonic()
            if wait_s > 0:
                await asyncio.sleep(wait_s)
            task = asyncio.create_task(self._query(at_s, started_at_s))
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)
            at_s += self._arrivals.expovariate(self._spec.rate_at(at_s))
        await asyncio.gather(*self._tasks)
        refresh.cancel()
        self._close()
        return sorted(self.samples)

    def _close(self) -> None:
        for connections in self._idle.values():
            for _, writer in connections:
                writer.close()

    async def _query(self, at_s: float, started_at_s: float) -> None:
        port = self._random.choice(self._ports)
        timeout_s = self._spec.deadline_ms / 1000 + CLIENT_GRACE_S
        sample = Sample(at_s, 0.0, 0)
        with contextlib.suppress(OSError, EOFError, TimeoutError, ValueError):
            async with asyncio.timeout(timeout_s):
                body = json.dumps(f"query {at_s:.6f}").encode()
                path = f"/v1/query/{self._spec.class_name}"
                status, content = await self._exchange(port, path, body)
                sample = _read_answer(sample, status, content)
        latency_ms = (time.monotonic() - started_at_s - at_s) * 1000
        self.samples.append(sample._replace(latency_ms=latency_ms))

    async def _exchange(
        self, port: int, path: str, body: bytes = b""
    ) -> tuple[int, bytes]:
        method = "POST" if body else "GET"
        request = (
            f"{method} {path} HTTP/1.1\r\nHost: 127.0.0.1:{port}\r\n"
            f"X-Deadline-Ms: {self._spec.deadline_ms}\r\n"
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

    async def _refresh_ports(self) -> None:
        while True:
            await asyncio.sleep(ADDRESS_PERIOD_S)
            ports = await self._ask_ports()
            if ports:
                self._ports = ports

    async def _ask_ports(self) -> tuple[int, ...]:
        for port in self._random.sample(
            self._known_ports, len(self._known_ports)
        ):
            with contextlib.suppress(
                OSError, EOFError, TimeoutError, ValueError, KeyError
            ):
                async with asyncio.timeout(0.5):
                    _, content = await self._exchange(port, "/v1/addresses")
                addresses = json.loads(content)["addresses"]
                return tuple(
                    int(item["address"].rpartition(":")[2])
                    for item in addresses
                )
        return ()


def _read_fields(head: str) -> dict[str, str]:
    fields = {}
    for line in head.split("\r\n")[1:]:
        name, _, value = line.partition(":")
        fields[name.lower()] = value.strip()
    return fields


def _read_answer(sample: Sample, status: int, content: bytes) -> Sample:
    document = json.loads(content)
    if status == 200:
        coverage = document["coverage"]
        return sample._replace(
            status=status,
            coverage_percent=coverage["percent"],
            shard_count=coverage["shard_count"],
        )
    error = document.get("error", {})
    return sample._replace(
        status=status, retry_after_s=error.get("retry_after_s")
    )
