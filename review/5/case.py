"""CONFIG: nodes keep an old config after the store came back from a copy."""

import asyncio
import itertools
import pathlib
import sys
from typing import Final

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / "common"))

import harness

OLD_SERVICE: Final = "billing"
NEW_SERVICE: Final = "billing-next"
ZONES: Final = ("zone-a", "zone-b", "zone-c")
BACKENDS_PER_ZONE_COUNT: Final = 2
DEADLINE_MS: Final = 2000
# How old the copy is, and for how long the store is away.
COPY_AGE_S: Final = 3.0
AWAY_S: Final = 1.0
# Between the operator's writes, and until a backend writes again (within 2 s).
OPERATOR_GAP_S: Final = 0.01
BACKEND_DELAY_S: Final = 1.0
# The bounds of the small sites.
CONTACT_S: Final = 4.0
CONFIG_APPLY_S: Final = 3.0
SLACK_S: Final = 0.3
PLAY_S: Final = 6.0


async def run(exchange: harness.Exchange) -> bytes:
    """Answers after some work."""
    await asyncio.sleep(0.02)
    headers = exchange.backend.headers(exchange.request_id)
    return harness.encode_reply(200, headers, b"bill")


def make_config(revision: int, service: str) -> dict[str, object]:
    """Returns the operator's config whose route leads to a service."""
    return harness.config(
        [OLD_SERVICE, NEW_SERVICE],
        [harness.route("bill", "/bills/", service=service)],
        revision,
    )


async def lose_what_was_written(deployment: harness.Deployment) -> None:
    """Lets the store come back from a copy, and writers write again."""
    store, record = deployment.store, deployment.record
    copy = store.take_copy()
    record.write("copy taken", revision=store.revision)
    await asyncio.sleep(COPY_AGE_S - 1.0)
    # A backend changes its entry, then the operator changes a timeout.
    changed = deployment.backends[0]
    store.put("servers", changed.server_id, changed.entry(revision="v2"))
    store.put("config", "main", make_config(2, OLD_SERVICE))
    record.write("written before", revision=store.revision)
    await asyncio.sleep(1.0)
    store.go_away()
    record.write("store away")
    await asyncio.sleep(AWAY_S)
    store.come_back_from(copy)
    await store.listen()
    record.write("store back", era=store.era, revision=store.revision)


async def play(deployment: harness.Deployment) -> int:
    """Plays the case."""
    store, record = deployment.store, deployment.record
    for service, zone, _ in itertools.product(
        (OLD_SERVICE, NEW_SERVICE), ZONES, range(BACKENDS_PER_ZONE_COUNT)
    ):
        await deployment.add_backend(service, zone, run)
    store.put("config", "main", make_config(1, OLD_SERVICE))
    nodes = await deployment.start_nodes(ZONES)
    if harness.HAS_TROUBLE:
        await lose_what_was_written(deployment)
    # The operator writes again what the store has lost, and the next version;
    # then the backend writes again.
    store.put("config", "main", make_config(2, OLD_SERVICE))
    await asyncio.sleep(OPERATOR_GAP_S)
    store.put("config", "main", make_config(3, NEW_SERVICE))
    record.write("config 3 acknowledged", revision=store.revision)
    await asyncio.sleep(BACKEND_DELAY_S)
    changed = deployment.backends[0]
    store.put("servers", changed.server_id, changed.entry(revision="v2"))
    record.write("backend has written again", revision=store.revision)
    await asyncio.sleep(max(CONTACT_S, CONFIG_APPLY_S) + SLACK_S)
    old_ids = []
    numbers = itertools.count(1)
    loop = asyncio.get_running_loop()
    ends_at_s = loop.time() + PLAY_S
    services = {b.server_id: b.service for b in deployment.backends}
    while loop.time() < ends_at_s:
        for node in nodes:
            request_id = f"{next(numbers):016x}"
            caller = harness.Caller(node.callers_port)
            answer = await caller.send(
                harness.encode_request(
                    "GET", f"/bills/{request_id}", request_id, DEADLINE_MS
                ),
                DEADLINE_MS / 1000,
            )
            caller.close()
            stamp = ""
            if answer.message is not None:
                stamp = answer.message.headers.get("x-server-stamp", "")
            server = f"i-{int(stamp[:4] or '0', 16):08x}"
            record.write(
                "answer",
                node=node.name,
                request_id=request_id,
                answer=answer.describe(),
                service=services.get(server, ""),
            )
            if services.get(server) == OLD_SERVICE:
                old_ids.append(request_id)
        await asyncio.sleep(0.2)
    record.write("count", run_by_old_service=len(old_ids))
    return harness.BROKEN if old_ids else harness.HELD


sys.exit(harness.run_case(play, pathlib.Path(__file__).parent))
