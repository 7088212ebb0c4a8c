"""Runs the whole path as processes: queries, a booking, a domain out and back.

    python -m mulberrybay_testing.demo [--stay]

Prints what callers and operators see; exits 1 if any step goes wrong. With
--stay the deployment then runs until SIGINT or SIGTERM, to try commands on.
"""

from __future__ import annotations

import argparse
import json
import os
import signal
import subprocess
import sys
import tempfile
import time
from pathlib import Path
from typing import Any, Final

from mulberrybay_testing.class_spec import ClassSpec, run_class, search_class
from mulberrybay_testing.deployment import Deployment
from mulberrybay_testing.http_caller import make_key

COMMAND_TIMEOUT_S: Final = 20.0
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


class Demo:
    """Drives a deployment by the command line, each call a process."""

    def __init__(self, deployment: Deployment) -> None:
        """Names the nodes to the command line.

        Args:
            deployment: The deployment, already running.
        """
        self._deployment = deployment
        ports = [node.operator_port for node in deployment.nodes]
        self._variables = {
            "MULBERRYBAY_NODES": ",".join(f"127.0.0.1:{x}" for x in ports),
            "MULBERRYBAY_TOKEN": "test-token",
            "MULBERRYBAY_OPERATOR": "demo",
        }

    def command(self, *arguments: str, node: int | None = None) -> str:
        """Runs `mulberrybay`, perhaps at one node; returns what it printed.

        Raises:
            DemoError: The exit code is not 0.
        """
        variables = dict(self._variables)
        if node is not None:
            nodes = variables["MULBERRYBAY_NODES"].split(",")
            variables["MULBERRYBAY_NODES"] = nodes[node]
        done = subprocess.run(
            [Path(sys.executable).with_name("mulberrybay"), *arguments],
            env={**os.environ, **variables},
            capture_output=True,
            text=True,
            timeout=COMMAND_TIMEOUT_S,
            check=False,
        )
        if done.returncode:
            problem = f"exited with {done.returncode}: {done.stderr}"
            raise DemoError(f"mulberrybay {arguments} {problem}")
        return done.stdout

    def stay(self) -> None:
        """Prints what the command line needs and waits for a signal."""
        ends = {signal.SIGINT, signal.SIGTERM}
        # Blocked, a signal that comes before the wait is not lost.
        signal.pthread_sigmask(signal.SIG_BLOCK, ends)
        for name, text in self._variables.items():
            print(f"export {name}={text}")
        say("running until Ctrl-C")
        signal.sigwait(ends)

    def show(self, *arguments: str) -> None:
        """Runs a command and prints it with what it printed."""
        print(f"$ mulberrybay {' '.join(arguments)}")
        print(self.command(*arguments).strip(), flush=True)

    def query(self, class_name: str, node: int) -> None:
        """Sends a query to a node and prints snapshot and coverage."""
        arguments = ("--json", "query", class_name, '{"text": "valve"}')
        document = json.loads(self.command(*arguments, node=node))
        coverage = document["coverage"]
        print(
            f"{class_name} at node-{node + 1}: {len(document['hits'])} hits, "
            f"snapshot {document['index_version']}, coverage "
            f"{coverage['covered_count']} of {coverage['shard_count']} shards, "
            f"configuration {document['revision']}",
            flush=True,
        )
        if coverage["missing_shards"]:
            raise DemoError(f"shards missing: {coverage['missing_shards']}")

    def book(self) -> None:
        """Sends one booking to two nodes; it must take effect once."""
        key = make_key()
        body = '{"van": 7, "at": "2027-02-01T09:00"}'
        arguments = ("--json", "run", "route-planner", body, "--key", key)
        for node in range(2):
            document = json.loads(self.command(*arguments, node=node))
            print(
                f"booking at node-{node + 1}: {document['run_state']}, "
                f"result {document['result']}, "
                f"repeat: {document['was_repeat']}",
                flush=True,
            )
        effects: list[dict[str, Any]] = [
            dict(event)
            for event in self._deployment.backend_events("effect")
            if event["idempotency_key"] == key
        ]
        say(f"sent twice, the booking took effect {len(effects)} time(s)")
        if len(effects) != 1:
            raise DemoError("the booking did not take effect once")

    def count_requests(self, failure_domain: str) -> int:
        """Returns the requests that a domain's backend servers have got."""
        counters = self._deployment.backend_counters()
        return sum(
            counters[server["vm_id"]]["requests"]
            for server in self._deployment.backends
            if server["failure_domain"] == failure_domain
        )

    def move_domain(self, direction: str, node: int) -> int:
        """Takes a failure domain out or in; returns what it got after."""
        say(f"taking failure domain {OUT_DOMAIN} {direction}")
        self.show("domain", direction, OUT_DOMAIN)
        self._deployment.wait_serving()
        before_count = self.count_requests(OUT_DOMAIN)
        for _ in range(QUERY_COUNT):
            self.query("field-search", node)
        new_count = self.count_requests(OUT_DOMAIN) - before_count
        say(f"backend servers of {OUT_DOMAIN} got {new_count} new requests")
        return new_count


def say(text: str) -> None:
    """Prints a heading."""
    print(f"== {text}", flush=True)


def run_demo(folder: Path, *, stays: bool) -> None:
    """Starts a deployment, walks through it and perhaps keeps it running."""
    began_at_s = time.monotonic()
    say("starting a platform, 103 backend servers and 3 nodes")
    with Deployment(folder, CLASSES) as deployment:
        demo = Demo(deployment)
        demo.show("status")
        demo.show("addresses")
        demo.query("field-search", 0)
        demo.query("holdings-page", 1)
        demo.query("field-search", 2)
        demo.book()
        if demo.move_domain("out", 0):
            raise DemoError("a failure domain that is out got new work")
        if not demo.move_domain("in", 1):
            raise DemoError("a failure domain that is back got no work")
        demo.show("report", "burn")
        if stays:
            demo.stay()
    say(f"done in {time.monotonic() - began_at_s:.1f} s")


def main() -> None:
    """Runs the demo; exits 0 if every step went as it must."""
    parser = argparse.ArgumentParser(description="Runs the whole path.")
    parser.add_argument(
        "--stay",
        action="store_true",
        help="keep the deployment running until Ctrl-C",
    )
    stays = parser.parse_args().stay
    try:
        with tempfile.TemporaryDirectory() as folder:
            run_demo(Path(folder), stays=stays)
    except (DemoError, OSError, subprocess.SubprocessError) as error:
        print(f"demo: {error}", file=sys.stderr)
        sys.exit(1)


if __name__ == "__main__":
    main()
