"""Runs the whole path as processes: queries, a booking, a domain out and back.

    python -m mulberrybay_testing.demo

Prints what callers and operators see; exits 1 if any step goes wrong.
"""

from __future__ import annotations

import json
import subprocess
import sys
import tempfile
import time
from pathlib import Path
from typing import Any, Final

from mulberrybay_testing.deployment import (
    ClassSpec,
    Deployment,
    NodeProcess,
    run_class,
    search_class,
)
from mulberrybay_testing.http_caller import make_key

COMMAND_TIMEOUT_S: Final = 20.0
CHANGE_LIMIT_S: Final = 5.0
POLL_PERIOD_S: Final = 0.05
QUERY_COUNT: Final = 3
OUT_DOMAIN: Final = "d2"

# Hardwell's field-search and route-planner and Ikirezi's holdings-page, with
# the shapes of their backend servers.
CLASSES: Final[tuple[ClassSpec, ...]] = (
    search_class("field-search", 20, slot_count=3, connection_cap=30),
    search_class("holdings-page", 30, slot_count=2, connection_cap=25),
    run_class("route-planner", slot_count=6, connection_cap=110),
)


class DemoError(Exception):
    """A step of the demo did not end as it must."""


def main() -> None:
    """Runs the demo; exits 0 if every step went as it must."""
    try:
        with tempfile.TemporaryDirectory() as folder:
            run_demo(Path(folder))
    except (DemoError, OSError, subprocess.SubprocessError) as error:
        print(f"demo: {error}", file=sys.stderr)
        sys.exit(1)


def run_demo(folder: Path) -> None:
    """Starts a deployment and walks through it."""
    began_at_s = time.monotonic()
    _say("starting a platform, 103 backend servers and 3 nodes")
    with Deployment(folder, CLASSES) as deployment:
        node_ids = [node.node_id for node in deployment.nodes]
        _say(f"{', '.join(node_ids)} serve in d1, d2 and d3")
        _show_addresses(deployment.nodes[1])
        for node, class_name in zip(
            deployment.nodes,
            ("field-search", "holdings-page") * 2,
            strict=False,
        ):
            _show_query(node, class_name)
        _show_booking(deployment)
        _take_domain_out_and_back(deployment)
        _show_burn(deployment)
    _say(f"done in {time.monotonic() - began_at_s:.1f} s")


def _say(text: str) -> None:
    print(f"== {text}", flush=True)


def _run_command(*arguments: str) -> str:
    """Runs a program as a process of its own; returns what it printed."""
    done = subprocess.run(
        [sys.executable, "-m", *arguments],
        capture_output=True,
        text=True,
        timeout=COMMAND_TIMEOUT_S,
        check=False,
    )
    if done.returncode:
        raise DemoError(
            f"{arguments} exited {done.returncode}: {done.stdout}{done.stderr}"
        )
    return done.stdout


def _call(
    node: NodeProcess, method: str, path: str, body: str = "", *headers: str
) -> dict[str, Any]:
    """Sends a request to a node from another process, over TCP."""
    text = _run_command(
        "mulberrybay_testing.http_caller",
        str(node.caller_port),
        method,
        path,
        body,
        *headers,
    )
    document: dict[str, Any] = json.loads(text)
    return document


def _show_addresses(node: NodeProcess) -> None:
    document = _call(node, "GET", "/v1/addresses?failure_domain=d2")
    addresses = [item["address"] for item in document["addresses"]]
    life_s = document["time_to_live_s"]
    _say(f"addresses for a caller in d2, for {life_s} s: {addresses}")


def _show_query(node: NodeProcess, class_name: str) -> None:
    document = _call(
        node,
        "POST",
        f"/v1/query/{class_name}",
        '{"text": "brine valve"}',
        "X-Deadline-Ms: 2000",
    )
    coverage = document["coverage"]
    print(
        f"{class_name} at {node.node_id}: {len(document['hits'])} hits, "
        f"snapshot {document['index_version']}, coverage "
        f"{coverage['covered_count']} of {coverage['shard_count']} shards, "
        f"configuration {document['revision']}",
        flush=True,
    )
    if coverage["missing_shards"]:
        raise DemoError(f"shards are missing: {coverage['missing_shards']}")


def _show_booking(deployment: Deployment) -> None:
    key = make_key()
    path = "/v1/run/route-planner"
    header = f"Idempotency-Key: {key}"
    body = '{"van": 7, "at": "2027-02-01T09:00"}'
    for node in deployment.nodes[:2]:
        document = _call(node, "POST", path, body, header)
        print(
            f"booking at {node.node_id}: {document['run_state']}, result "
            f"{document['result']}, repeat: {document['was_repeat']}",
            flush=True,
        )
    effects = [
        event
        for event in deployment.backend_events("effect")
        if event["idempotency_key"] == key
    ]
    _say(f"the booking was sent twice and took effect {len(effects)} time(s)")
    if len(effects) != 1:
        raise DemoError("the booking did not take effect once")


def _take_domain_out_and_back(deployment: Deployment) -> None:
    _say(f"taking failure domain {OUT_DOMAIN} out")
    _change_configuration(deployment, frozenset({OUT_DOMAIN}))
    count_before = _count_requests(deployment, OUT_DOMAIN)
    for _ in range(QUERY_COUNT):
        _show_query(deployment.nodes[0], "field-search")
    new_count = _count_requests(deployment, OUT_DOMAIN) - count_before
    _say(f"backend servers of {OUT_DOMAIN} got {new_count} new requests")
    if new_count:
        raise DemoError("a failure domain that is out got new work")
    _say(f"taking failure domain {OUT_DOMAIN} back in")
    _change_configuration(deployment, frozenset())
    for _ in range(QUERY_COUNT):
        _show_query(deployment.nodes[1], "field-search")
    new_count = _count_requests(deployment, OUT_DOMAIN) - count_before
    _say(f"backend servers of {OUT_DOMAIN} got {new_count} new requests")
    if not new_count:
        raise DemoError("a failure domain that is back got no work")


def _change_configuration(
    deployment: Deployment, out_domains: frozenset[str]
) -> None:
    """Writes a configuration and waits until it is in force everywhere."""
    began_at_s = time.monotonic()
    revision = deployment.put_configuration(out_domains=out_domains)
    while not all(
        deployment.status(node)["revision"] >= revision
        for node in deployment.nodes
    ):
        if time.monotonic() - began_at_s > CHANGE_LIMIT_S:
            raise DemoError(f"revision {revision} is not in force everywhere")
        time.sleep(POLL_PERIOD_S)
    took_s = time.monotonic() - began_at_s
    print(f"revision {revision} in force at 3 nodes after {took_s:.2f} s")
    deployment.wait_serving()


def _count_requests(deployment: Deployment, failure_domain: str) -> int:
    counters = deployment.backend_counters()
    return sum(
        counters[server["vm_id"]]["requests"]
        for server in deployment.backends
        if server["failure_domain"] == failure_domain
    )


def _show_burn(deployment: Deployment) -> None:
    """Prints the report on service-level burn."""


if __name__ == "__main__":
    main()
