"""Open-loop load: Poisson arrivals that do not wait for earlier answers.

Latency is measured from the intended time of sending, so that it includes all
waiting that slow nodes or a busy sender cause.
"""

from __future__ import annotations

import asyncio
import json
import random
import time
from collections.abc import Sequence
from typing import Final, NamedTuple

from mulberrybay_testing.load_caller import LoadCaller, QueryAttempt

ADDRESS_REFRESH_PERIOD_S: Final = 1.0


class LoadSpec(NamedTuple):
    """The load of one class of work in a scenario.

    Attributes:
        class_name: The class of work.
        rate_per_s: Mean number of queries per second.
        duration_s: Time during which queries are sent.
        deadline_ms: Time limit of each query, from its intended time.
        burst_rate_per_s: Mean number of queries per second in the burst.
        burst_from_s: Start of the burst, from the start of the load.
        burst_until_s: End of the burst; no burst if not after its start.
        comes_back: Whether a query whose last attempt was refused is sent
            once more as a new query after the delay given by the refusal,
            unless the load has ended by then. Only the figures `back_count`
            and `back_served_percent` include the new query.
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
        """Returns the mean number of queries per second at a time."""
        is_burst = self.burst_from_s <= at_s < self.burst_until_s
        return self.burst_rate_per_s if is_burst else self.rate_per_s


class Sample(NamedTuple):
    """The result of one query.

    Attributes:
        at_s: Intended time of sending, relative to the start of the load.
        latency_ms: Time from the intended time of sending to the end of the
            last attempt.
        status: HTTP status of the last attempt; 0 if there was no answer.
        coverage_percent: Coverage in the answer; 0 unless status is 200.
        shard_count: Number of shards in the answer; 0 unless status is 200.
        class_name: The class of work.
        attempts: All attempts in the order of sending, at least one.
        later_attempt: The first attempt of the new query that `comes_back`
            causes, or None.
    """

    at_s: float
    latency_ms: float
    status: int
    coverage_percent: float = 0.0
    shard_count: int = 0
    class_name: str = ""
    attempts: tuple[QueryAttempt, ...] = ()
    later_attempt: QueryAttempt | None = None


class LoadGenerator:
    """Sends the load to the addresses that the nodes advertise."""

    def __init__(self, spec: LoadSpec, ports: Sequence[int], seed: int) -> None:
        """Prepares the load without sending anything.

        Args:
            spec: The load to send.
            ports: Caller ports of the nodes that are asked for addresses.
            seed: Seed for arrival times and the choice of nodes.
        """
        self._spec = spec
        # Separate from the random source for the choice of nodes, so that each
        # arm gets the same arrival times.
        self._arrivals = random.Random(f"{spec.class_name} {seed}")
        node_choices = random.Random(f"nodes {spec.class_name} {seed}")
        self._caller = LoadCaller(ports, node_choices)
        self._tasks: set[asyncio.Task[None]] = set()
        self.samples: list[Sample] = []

    async def run(self) -> list[Sample]:
        """Sends the load; returns the samples in order of intended time."""
        started_at_s = time.monotonic()
        refresh_task = asyncio.create_task(self._refresh_ports())
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
        refresh_task.cancel()
        self._caller.close()
        return sorted(self.samples)

    async def _query(self, at_s: float, started_at_s: float) -> None:
        intended_at_s = started_at_s + at_s
        attempts = await self._send(at_s, intended_at_s)
        latency_ms = (time.monotonic() - intended_at_s) * 1000
        last_attempt = attempts[-1]
        later_attempt = None
        load_ends_at_s = started_at_s + self._spec.duration_s
        if self._spec.comes_back and last_attempt.retry_after_s is not None:
            retry_at_s = time.monotonic() + last_attempt.retry_after_s
            if retry_at_s < load_ends_at_s:
                await asyncio.sleep(last_attempt.retry_after_s)
                later_attempt = (await self._send(at_s, retry_at_s))[0]
        self.samples.append(
            Sample(
                at_s=at_s,
                latency_ms=latency_ms,
                status=last_attempt.status,
                coverage_percent=last_attempt.coverage_percent,
                shard_count=last_attempt.shard_count,
                class_name=self._spec.class_name,
                attempts=tuple(attempts),
                later_attempt=later_attempt,
            )
        )

    async def _send(
        self, at_s: float, intended_at_s: float
    ) -> list[QueryAttempt]:
        return await self._caller.query(
            f"/v1/query/{self._spec.class_name}",
            json.dumps(f"query {at_s:.6f}").encode(),
            intended_at_s,
            self._spec.deadline_ms / 1000,
        )

    async def _refresh_ports(self) -> None:
        while True:
            await asyncio.sleep(ADDRESS_REFRESH_PERIOD_S)
            await self._caller.refresh_ports()
