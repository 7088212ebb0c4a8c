"""One entry that can't be read hides all backend servers from nodes."""

import contextlib
import os
import pathlib
import signal
import socket
import sys
import threading
import time
from typing import Final

FOLDER: Final = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "common-2"))

from rig import (  # noqa: E402
    BOUNDS,
    HOST,
    RAW_MARK,
    Record,
    Rig,
    config,
    free_port,
    read_answer,
    route,
    run_case,
    service,
)

# With TROUBLE=0 the same is done without the disruption.
HAS_TROUBLE: Final = os.environ.get("TROUBLE", "1") != "0"
NODE_COUNT: Final = 3
REQUESTS_PER_S: Final = 11.2
DEADLINE_MS: Final = 8000
BEFORE_S: Final = 8.0
# `heartbeat_ms` of the settings.
HEARTBEAT_S: Final = 1.2
RECOVERY_S: Final = BOUNDS["recovery_s"]
JUDGED_S: Final = 12.0
# The rule asks for a quarter, if a quarter or more was served before.
MIN_SERVED_RATIO: Final = 0.25


def call(record: Record, port: int, number: int) -> bool:
    """Sends a request; returns whether it was served."""
    request_id = f"q{number:06d}"
    request = (
        f"GET /salt/{number} HTTP/1.1\r\nHost: a.example\r\n"
        f"X-Request-Id: {request_id}\r\nX-Deadline-Ms: {DEADLINE_MS}\r\n\r\n"
    ).encode()
    record.write(f"{request_id} sent to port {port}")
    answer = None
    try:
        with socket.create_connection((HOST, port), 1) as stream:
            stream.settimeout(DEADLINE_MS / 1000)
            stream.sendall(request)
            answer = read_answer(stream)
        result = "closed" if answer is None else str(answer.status)
    except OSError as error:
        result = repr(error)
    record.write(f"{request_id} answered: {result}")
    return answer is not None and answer.status == 200


def send_for(
    record: Record, rig: Rig, period_s: float, first: int
) -> tuple[int, int]:
    """Sends requests; returns how many were served, and how many sent."""
    served_count = sent_count = 0
    ends_at_s = time.monotonic() + period_s
    while time.monotonic() < ends_at_s:
        port = rig.nodes[sent_count % NODE_COUNT].front
        served_count += call(record, port, first + sent_count)
        sent_count += 1
        time.sleep(1 / REQUESTS_PER_S)
    return served_count, sent_count


def keep_writing(rig: Rig) -> None:
    """Writes the entry of another writer again and again, as backends do."""
    address = f"{HOST}:{free_port()}"
    sound = rig.backends["billing-desk"][0]
    with contextlib.suppress(RuntimeError, TimeoutError):
        while not rig.loop.is_closed():
            entry = sound.entry(address=address, revision=f"M{RAW_MARK}nchen-1")
            rig.put("servers", "i-other-writer", entry)
            time.sleep(HEARTBEAT_S)


def play(record: Record) -> bool:
    """Plays the case; returns whether the rule held."""
    routes = [
        route(
            "salt-schedule",
            "/salt/",
            service="billing-desk",
            timeout_ms=DEADLINE_MS,
            target_latency_ms=878,
        )
    ]
    with Rig(
        record,
        services={"billing-desk": 5},
        config=config(1, routes, [service("billing-desk")]),
        node_count=NODE_COUNT,
    ) as rig:
        if not rig.wait_ready():
            raise RuntimeError("the nodes did not get ready")
        time.sleep(BOUNDS["contact_ms"] / 1000)
        if HAS_TROUBLE:
            writer = threading.Thread(
                target=keep_writing, args=(rig,), daemon=True
            )
            writer.start()
        served, sent = send_for(record, rig, BEFORE_S, 1)
        record.write(f"before the final fault {served} of {sent} were served")
        for node in rig.nodes:
            node.signal(signal.SIGKILL)
        time.sleep(1)
        while not all(
            node.process is not None and node.process.poll() is None
            for node in rig.nodes
        ):
            time.sleep(0.05)
        record.write("the machines are back")
        time.sleep(RECOVERY_S)
        after, sent_after = send_for(record, rig, JUDGED_S, 100_000)
        record.write(
            f"later than {RECOVERY_S} s after that {after} of {sent_after} were"
            " served"
        )
        return (
            served < MIN_SERVED_RATIO * sent
            or after >= MIN_SERVED_RATIO * sent_after
        )


if __name__ == "__main__":
    run_case(FOLDER, play)
