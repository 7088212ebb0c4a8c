"""Open-loop load: Poisson arrivals that wait for no earlier answer.

Latency counts from the time at which a query was meant to be sent, so that a
slow tier or a busy sender cannot hide waiting.
"""

from __future__ import annotations

import asyncio
import json
import random
import time
from collections.abc import Sequence
from typing import Final, NamedTuple

from mulberrybay_testing.load_caller import LoadCaller, Try

ADDRESS_PERIOD_S: Final = 1.0


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
        comes_back: Whether a caller whose query was refused for good sends
            it as a new one at the time it was told, if the load lasts so
            long. It counts in no figure but those of tries that came back.
    """

    class_name: str
    rate_per_s: float
    duration_s: float
    deadline_ms: int = 1000
    burst_rate_per_s: float = 0.0
    burst_from_s: float = 0.0
    burst_until_s: float = 0.0
    comes_back: bool = False

    def rate_at(self, at_s: float) -> float:
        """Returns the mean arrivals a second at a time."""
        is_burst = self.burst_from_s <= at_s < self.burst_until_s
        return self.burst_rate_per_s if is_burst else self.rate_per_s


class Sample(NamedTuple):
    """What became of one query.

    Attributes:
        at_s: Intended time of sending, from the start of the load.
        latency_ms: From the intended time to the whole answer.
        status: HTTP status of the last try; 0 without an answer.
        coverage_percent: What the answer says; 0 unless status is 200.
        shard_count: Shards that the answer says there are.
        class_name: The class of work.
        tries: The sendings, at least one.
        late_return: The try that came back when told as a new query.
    """

    at_s: float
    latency_ms: float
    status: int
    coverage_percent: float = 0.0
    shard_count: int = 0
    class_name: str = ""
    tries: tuple[Try, ...] = ()
    late_return: Try | None = None


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
        # Apart from the choice of nodes, so that every arm has the same load.
        self._arrivals = random.Random(f"{spec.class_name} {seed}")
        nodes = random.Random(f"nodes {spec.class_name} {seed}")
        self._caller = LoadCaller(ports, nodes)
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
        self._caller.close()
        return sorted(self.samples)

    async def _query(self, at_s: float, started_at_s: float) -> None:
        intended_at_s = started_at_s + at_s
        tries = await self._send(at_s, intended_at_s)
        latency_ms = (time.monotonic() - intended_at_s) * 1000
        last = tries[-1]
        late_return = None
        until_s = started_at_s + self._spec.duration_s
        if self._spec.comes_back and last.retry_after_s is not None:
            back_at_s = time.monotonic() + last.retry_after_s
            if back_at_s < until_s:
                await asyncio.sleep(last.retry_after_s)
                late_return = (await self._send(at_s, back_at_s))[0]
        self.samples.append(
            Sample(
                at_s=at_s,
                latency_ms=latency_ms,
                status=last.status,
                coverage_percent=last.coverage_percent,
                shard_count=last.shard_count,
                class_name=self._spec.class_name,
                tries=tuple(tries),
                late_return=late_return,
            )
        )

    async def _send(self, at_s: float, intended_at_s: float) -> list[Try]:
        return await self._caller.query(
            f"/v1/query/{self._spec.class_name}",
            json.dumps(f"query {at_s:.6f}").encode(),
            intended_at_s,
            self._spec.deadline_ms / 1000,
        )

    async def _refresh_ports(self) -> None:
        while True:
            await asyncio.sleep(ADDRESS_PERIOD_S)
            await self._caller.refresh_ports()
