"""Tests of the load tool: its arrivals, and that it does as callers do."""

from __future__ import annotations

import asyncio
import json
import time
from typing import Any

import pytest

from mulberrybay_testing.load_caller import LoadCaller, Try
from mulberrybay_testing.load_generator import LoadGenerator, LoadSpec
from mulberrybay_testing.ports import free_port

_SPEC = LoadSpec("field-search", rate_per_s=200.0, duration_s=0.3)
_ANSWER = {"coverage": {"percent": 100.0, "shard_count": 4}}


class _FirstOf:
    """A random source that always takes the first and draws nothing."""

    def choice(self, items: Any) -> Any:  # noqa: ANN401
        return items[0]

    def sample(self, items: Any, count: int) -> Any:  # noqa: ANN401
        return list(items)[:count]


class _StubNode:
    """A node that gives the answers of a script, then the last one again."""

    def __init__(self, *script: tuple[int, dict[str, Any]]) -> None:
        self._script = list(script)
        self.deadlines_ms: list[int] = []
        self.at_s: list[float] = []
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
                fields = dict(
                    line.split(": ") for line in head.split("\r\n")[1:-2]
                )
                await reader.readexactly(int(fields["content-length"]))
                self.deadlines_ms.append(int(fields["x-deadline-ms"]))
                self.at_s.append(time.monotonic())
                script = self._script
                status, document = script.pop(0) if script[1:] else script[0]
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


def _refusal(retry_after_s: float) -> tuple[int, dict[str, Any]]:
    return 503, {"error": {"retry_after_s": retry_after_s}}


async def _send(ports: list[int], deadline_s: float) -> list[Try]:
    caller = LoadCaller(ports, _FirstOf())  # type: ignore[arg-type]
    try:
        return await caller.query("/x", b"1", time.monotonic(), deadline_s)
    finally:
        caller.close()


@pytest.mark.parametrize("seed", [1, 2])
def test_arrivals_do_not_depend_on_the_choice_of_nodes(seed: int) -> None:
    def arrivals(ports: list[int]) -> list[float]:
        generator = LoadGenerator(_SPEC, ports, seed)
        return [item.at_s for item in asyncio.run(generator.run())]

    one = arrivals([free_port()])
    three = arrivals([free_port(), free_port(), free_port()])
    assert len(one) > 20
    assert one == three


def test_refused_connection_goes_to_the_next_address() -> None:
    async def run() -> list[Try]:
        async with _StubNode((200, _ANSWER)) as node:
            return await _send([free_port(), node.port], 1.0)

    assert [item.status for item in asyncio.run(run())] == [0, 200]


def test_refusal_is_repeated_when_told_at_another_address() -> None:
    async def run() -> tuple[list[Try], _StubNode, _StubNode]:
        async with (
            _StubNode(_refusal(0.1)) as first,
            _StubNode((200, _ANSWER)) as second,
        ):
            tries = await _send([first.port, second.port], 1.0)
            return tries, first, second

    tries, first, second = asyncio.run(run())
    assert [item.status for item in tries] == [503, 200]
    assert second.at_s[0] - first.at_s[0] >= 0.1
    # The time for the answer is that of the query, not of the try.
    assert second.deadlines_ms[0] <= 900
    assert tries[1].sent_at_s >= 0.1


def test_refusal_beyond_the_deadline_is_final() -> None:
    async def run() -> list[Try]:
        async with _StubNode(_refusal(5.0)) as node:
            return await _send([node.port], 0.5)

    assert [item.status for item in asyncio.run(run())] == [503]


def test_silent_node_leaves_time_for_another() -> None:
    async def run() -> list[Try]:
        async with (
            _StubNode((0, {})) as silent,
            _StubNode((200, _ANSWER)) as node,
        ):
            return await _send([silent.port, node.port], 0.6)

    tries = asyncio.run(run())
    assert [item.status for item in tries] == [0, 200]
    assert tries[1].sent_at_s < 0.5


def test_tries_are_bounded() -> None:
    async def run() -> list[Try]:
        async with _StubNode(_refusal(0.01)) as node:
            return await _send([node.port], 2.0)

    assert len(asyncio.run(run())) == 4
