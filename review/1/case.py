"""MIXED: an entry of another writer makes nodes send two answers to a request.

The caller's next request on the connection is answered with the second one.
"""

import asyncio
import itertools
import pathlib
import sys
from typing import Final

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / "common"))

import harness

SHARDS: Final = ("shard-0", "shard-1", "shard-2", "shard-3")
BOOKINGS: Final = "bookings"
ZONES: Final = ("zone-a", "zone-b")
CALLER_COUNT: Final = 4
PLAY_S: Final = 30.0
PAUSE_S: Final = 0.15
DEADLINE_MS: Final = 2000


async def run(exchange: harness.Exchange) -> bytes:
    """Answers with one record after some work."""
    await asyncio.sleep(0.02)
    headers = exchange.backend.headers(exchange.request_id)
    return harness.encode_reply(
        200, headers, b"%016d" % exchange.backend.number
    )


class Callers:
    """Callers that send queries and bookings on kept connections.

    Attributes:
        request_count: The requests that were sent.
        foreign_ids: The requests whose answer had come before they were sent.
    """

    def __init__(self, deployment: harness.Deployment) -> None:
        self._record = deployment.record
        self._numbers = itertools.count(1)
        self.request_count = 0
        self.foreign_ids: list[str] = []

    async def send_all(self, node: harness.Node, *, books: bool) -> None:
        """Sends one request after the other to a node."""
        caller = harness.Caller(node.callers_port)
        loop = asyncio.get_running_loop()
        ends_at_s = loop.time() + PLAY_S
        while loop.time() < ends_at_s:
            await self._send(caller, node.name, books=books)
            await asyncio.sleep(PAUSE_S)
        caller.close()

    async def _send(
        self, caller: harness.Caller, node_name: str, *, books: bool
    ) -> None:
        request_id = f"{next(self._numbers):016x}"
        method, path, body = "GET", f"/search/{request_id}", None
        if books:
            method, path, body = "POST", f"/bookings/{request_id}", b"book"
        data = harness.encode_request(
            method, path, request_id, DEADLINE_MS, body=body
        )
        has_answer_already = caller.has_unread_bytes
        answer = await caller.send(data, DEADLINE_MS / 1000 + 1)
        self.request_count += 1
        if has_answer_already and answer.message is not None:
            self.foreign_ids.append(request_id)
        self._record.write(
            "answer",
            node=node_name,
            request_id=request_id,
            request=f"{method} {path}",
            answer=answer.describe(),
            came_before_the_request=has_answer_already,
        )


async def write_foreign_entries(deployment: harness.Deployment) -> None:
    """Writes entries of another writer, which name no backend server to use.

    Fields are missing, and the address is none of IPv4.
    """
    for number, service in enumerate((SHARDS[2], BOOKINGS)):
        backend = next(b for b in deployment.backends if b.service == service)
        entry = backend.entry(address="::1:8104")
        del entry["revision"], entry["sequence"]
        deployment.store.put("servers", f"foreign-{number}", entry)
        deployment.record.write("entry of another writer", entry=entry)
    await asyncio.sleep(1.0)


async def play(deployment: harness.Deployment) -> int:
    """Plays the case."""
    services = (*SHARDS, BOOKINGS)
    for service, zone in itertools.product(services, ZONES):
        await deployment.add_backend(service, zone, run)
    routes = [
        harness.route(
            "search",
            "/search/",
            gather=[*SHARDS],
            top_k=10,
            oldest_version=0.5,
            target_latency_ms=200,
            timeout_ms=DEADLINE_MS,
        ),
        harness.route(
            "booking",
            "/bookings/",
            service=BOOKINGS,
            route_type="non_idempotent",
        ),
    ]
    deployment.store.put("config", "main", harness.config(services, routes))
    nodes = await deployment.start_nodes(ZONES)
    if harness.HAS_TROUBLE:
        await write_foreign_entries(deployment)
    callers = Callers(deployment)
    async with asyncio.TaskGroup() as group:
        for node in nodes:
            for number in range(CALLER_COUNT):
                group.create_task(callers.send_all(node, books=number == 0))
    deployment.record.write(
        "count", requests=callers.request_count, foreign=callers.foreign_ids
    )
    return harness.BROKEN if callers.foreign_ids else harness.HELD


sys.exit(harness.run_case(play, pathlib.Path(__file__).parent))
