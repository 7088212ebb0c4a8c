"""Tests of the load generator: arrival times, and retries by its caller."""

from __future__ import annotations

import asyncio
import json
import time
from typing import Any

import pytest

from mulberrybay_testing.load_caller import LoadCaller, QueryAttempt
from mulberrybay_testing.load_generator import LoadGenerator, LoadSpec
from mulberrybay_testing.ports import free_port

_SPEC = LoadSpec("field-search", rate_per_s=200.0, duration_s=0.3)
_ANSWER_DOCUMENT = {"coverage": {"percent": 100.0, "shard_count": 4}}


class _FirstChoice:
    """A random source that always chooses the first item.

    Samples have the first items in their order.
    """

    def choice(self, items: Any) -> Any:  # noqa: ANN401
        return items[0]

    def sample(self, items: Any, count: int) -> Any:  # noqa: ANN401
        return list(items)[:count]


class _StubNode:
    """A node that gives the listed responses in order, then repeats the last.

    A response with status 0 is never sent: the node is unresponsive.
    """

    def __init__(self, *responses: tuple[int, dict[str, Any]]) -> None:
        self._responses = list(responses)
        self.deadlines_ms: list[int] = []
        self.received_at_s: list[float] = []
        self.port = 0

    async def __aenter__(self) -> _StubNode:
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.port = self._server.sockets[0].getsockname()[1]
        return self

    async def __aexit__(self, *_: object) -> None:
        self._server.close()

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        try:
            while True:
                head = (await reader.readuntil(b"\r\n\r\n")).decode().lower()
                headers = dict(
                    line.split(": ") for line in head.split("\r\n")[1:-2]
                )
                await reader.readexactly(int(headers["content-length"]))
                self.deadlines_ms.append(int(headers["x-deadline-ms"]))
                self.received_at_s.append(time.monotonic())
                responses = self._responses
                status, document = (
                    responses.pop(0) if responses[1:] else responses[0]
                )
                if not status:
                    await asyncio.sleep(60)
                body = json.dumps(document).encode()
                writer.write(
                    f"HTTP/1.1 {status} X\r\nContent-Length: {len(body)}"
                    "\r\n\r\n".encode()
                    + body
                )
        except (EOFError, OSError):
            writer.close()


def _make_refusal(retry_after_s: float) -> tuple[int, dict[str, Any]]:
    return 503, {"error": {"retry_after_s": retry_after_s}}


async def _send(ports: list[int], deadline_s: float) -> list[QueryAttempt]:
    caller = LoadCaller(ports, _FirstChoice())  # type: ignore[arg-type]
    try:
        return await caller.query("/x", b"1", time.monotonic(), deadline_s)
    finally:
        caller.close()


@pytest.mark.parametrize("seed", [1, 2])
def test_arrivals_do_not_depend_on_the_choice_of_nodes(seed: int) -> None:
    """Each arm must get the same load.

    A shared random source would let the choice of nodes change the arrivals.
    """

    def arrivals(ports: list[int]) -> list[float]:
        generator = LoadGenerator(_SPEC, ports, seed)
        return [item.at_s for item in asyncio.run(generator.run())]

    one = arrivals([free_port()])
    three = arrivals([free_port(), free_port(), free_port()])
    assert len(one) > 20
    assert one == three


def test_refused_connection_is_retried_at_another_address() -> None:
    """A node that is down must not fail the query while another answers."""

    async def run() -> list[QueryAttempt]:
        async with _StubNode((200, _ANSWER_DOCUMENT)) as node:
            return await _send([free_port(), node.port], 1.0)

    assert [item.status for item in asyncio.run(run())] == [0, 200]


def test_refusal_is_retried_after_its_delay_at_another_address() -> None:
    """A retry must wait for the refusal's delay and keep the query's deadline.

    An early retry would add load to a node that has just refused.
    """

    async def run() -> tuple[list[QueryAttempt], _StubNode, _StubNode]:
        async with (
            _StubNode(_make_refusal(0.1)) as first,
            _StubNode((200, _ANSWER_DOCUMENT)) as second,
        ):
            attempts = await _send([first.port, second.port], 1.0)
            return attempts, first, second

    attempts, first, second = asyncio.run(run())
    assert [item.status for item in attempts] == [503, 200]
    assert second.received_at_s[0] - first.received_at_s[0] >= 0.1
    # The deadline is that of the query: the wait leaves less time.
    assert second.deadlines_ms[0] <= 900
    assert attempts[1].sent_at_s >= 0.1


def test_refusal_beyond_the_deadline_is_final() -> None:
    """A retry whose delay ends after the deadline must not be sent."""

    async def run() -> list[QueryAttempt]:
        async with _StubNode(_make_refusal(5.0)) as node:
            return await _send([node.port], 0.5)

    assert [item.status for item in asyncio.run(run())] == [503]


def test_unresponsive_node_leaves_time_for_another() -> None:
    """A node that reads a query but never answers must leave time to retry."""

    async def run() -> list[QueryAttempt]:
        async with (
            _StubNode((0, {})) as unresponsive,
            _StubNode((200, _ANSWER_DOCUMENT)) as node,
        ):
            return await _send([unresponsive.port, node.port], 0.6)

    attempts = asyncio.run(run())
    assert [item.status for item in attempts] == [0, 200]
    assert attempts[1].sent_at_s < 0.5


def test_number_of_attempts_is_limited() -> None:
    """Refusals with short delays must not cause retries until the deadline."""

    async def run() -> list[QueryAttempt]:
        async with _StubNode(_make_refusal(0.01)) as node:
            return await _send([node.port], 2.0)

    assert len(asyncio.run(run())) == 4
