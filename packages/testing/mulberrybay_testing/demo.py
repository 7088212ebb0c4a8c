"""Demonstrates queries, a booking and a domain change on a whole deployment.

    python -m mulberrybay_testing.demo [--stay]

A failure domain is taken out of service and back in. Prints what callers and
operators see and exits with 1 if any step fails. With --stay the deployment
then keeps running until SIGINT or SIGTERM, so that commands can be tried.
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
MOVED_DOMAIN: Final = "d2"

# The classes of work of Hardwell (field-search, route-planner) and Ikirezi
# (holdings-page), with the shard counts and limits of their backend servers.
CLASSES: Final[tuple[ClassSpec, ...]] = (
    search_class("field-search", 20, slot_count=3, connection_cap=30),
    search_class("holdings-page", 30, slot_count=2, connection_cap=25),
    run_class("route-planner", slot_count=6, connection_cap=110),
)


class DemoError(Exception):
    """A step of the demo did not have the expected result."""


class Demo:
    """Controls a deployment with the `mulberrybay` command line."""

    def __init__(self, deployment: Deployment) -> None:
        """Sets the environment variables that the command line reads.

        Args:
            deployment: The deployment, already running.
        """
        self._deployment = deployment
        ports = [node.operator_port for node in deployment.nodes]
        self._environment = {
            "MULBERRYBAY_NODES": ",".join(f"127.0.0.1:{x}" for x in ports),
            "MULBERRYBAY_TOKEN": "test-token",
            "MULBERRYBAY_OPERATOR": "demo",
        }

    def command(self, *arguments: str, node: int | None = None) -> str:
        """Runs `mulberrybay` and returns its standard output.

        Args:
            arguments: The command and its arguments.
            node: Index of the only node to connect to; all nodes by default.

        Raises:
            DemoError: The command exited with a code other than 0.
        """
        environment = dict(self._environment)
        if node is not None:
            nodes = environment["MULBERRYBAY_NODES"].split(",")
            environment["MULBERRYBAY_NODES"] = nodes[node]
        completed = subprocess.run(
            [Path(sys.executable).with_name("mulberrybay"), *arguments],
            env={**os.environ, **environment},
            capture_output=True,
            text=True,
            timeout=COMMAND_TIMEOUT_S,
            check=False,
        )
        if completed.returncode:
            problem = f"exited with {completed.returncode}: {completed.stderr}"
            raise DemoError(f"mulberrybay {arguments} {problem}")
        return completed.stdout

    def wait_for_signal(self) -> None:
        """Prints the environment variables and waits for SIGINT or SIGTERM."""
        stop_signals = {signal.SIGINT, signal.SIGTERM}
        # A blocked signal stays pending if it arrives before sigwait.
        signal.pthread_sigmask(signal.SIG_BLOCK, stop_signals)
        for name, text in self._environment.items():
            print(f"export {name}={text}")
        print_heading("running until Ctrl-C")
        signal.sigwait(stop_signals)

    def run_and_print(self, *arguments: str) -> None:
        """Runs a command and prints the command line and its output."""
        print(f"$ mulberrybay {' '.join(arguments)}")
        print(self.command(*arguments).strip(), flush=True)

    def send_query(self, class_name: str, node: int) -> None:
        """Sends a query to a node and prints its snapshot and coverage.

        Raises:
            DemoError: The answer does not cover all shards.
        """
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

    def send_booking(self) -> None:
        """Sends one booking to two nodes, with the same idempotency key.

        Raises:
            DemoError: The booking did not take effect exactly once.
        """
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
        print_heading(
            f"sent twice, the booking took effect {len(effects)} time(s)"
        )
        if len(effects) != 1:
            raise DemoError("the booking did not take effect exactly once")

    def count_requests(self, failure_domain: str) -> int:
        """Returns how many requests a domain's backend servers received."""
        counters = self._deployment.backend_counters()
        return sum(
            counters[server["vm_id"]]["requests"]
            for server in self._deployment.backends
            if server["failure_domain"] == failure_domain
        )

    def move_domain(self, direction: str, node: int) -> int:
        """Takes a failure domain out of service or back in, and sends queries.

        Args:
            direction: "out" or "in".
            node: Index of the node that the queries are sent to.

        Returns:
            How many requests the domain's backend servers received after the
            change.
        """
        print_heading(f"taking failure domain {MOVED_DOMAIN} {direction}")
        self.run_and_print("domain", direction, MOVED_DOMAIN)
        self._deployment.wait_serving()
        before_count = self.count_requests(MOVED_DOMAIN)
        for _ in range(QUERY_COUNT):
            self.send_query("field-search", node)
        new_count = self.count_requests(MOVED_DOMAIN) - before_count
        print_heading(
            f"backend servers of {MOVED_DOMAIN} got {new_count} new requests"
        )
        return new_count


def print_heading(text: str) -> None:
    """Prints a heading."""
    print(f"== {text}", flush=True)


def run_demo(folder: Path, *, stays: bool) -> None:
    """Starts a deployment and runs all steps of the demo.

    Args:
        folder: Folder for settings and logs.
        stays: Whether the deployment runs until a signal after the last step.

    Raises:
        DemoError: A step did not have the expected result.
    """
    started_at_s = time.monotonic()
    print_heading("starting a platform, 103 backend servers and 3 nodes")
    with Deployment(folder, CLASSES) as deployment:
        demo = Demo(deployment)
        demo.run_and_print("status")
        demo.run_and_print("addresses")
        demo.send_query("field-search", 0)
        demo.send_query("holdings-page", 1)
        demo.send_query("field-search", 2)
        demo.send_booking()
        if demo.move_domain("out", 0):
            raise DemoError("a failure domain that is out got new work")
        if not demo.move_domain("in", 1):
            raise DemoError("a failure domain that is back got no work")
        demo.run_and_print("report", "burn")
        if stays:
            demo.wait_for_signal()
    print_heading(f"done in {time.monotonic() - started_at_s:.1f} s")


def main() -> None:
    """Runs the demo; exits with 0 if every step had the expected result."""
    parser = argparse.ArgumentParser(description="Runs a demo on loopback.")
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
