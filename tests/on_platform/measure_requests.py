"""Measures how many requests one node answers with a second of CPU time.

    scripts/measure-requests --count 4000 --rounds 3

Starts one node between stand-ins. Callers send requests of one kind on
connections that they keep, one at a time each. CPU time is that of the node's
process, so that other work on the machine matters little.
"""

import argparse
import http.client
import pathlib
import statistics
import sys
import tempfile
import threading
from collections.abc import Sequence
from typing import Final

from deployment import Deployment, RunningNode

from mulberrybay_testing.node_costs import read_usage
from mulberrybay_testing.ports import HOST

CALLER_COUNT: Final = 4
WARM_UP_COUNT: Final = 400
PATHS: Final = {"record": "/records/1", "search": "/search/x"}


def send_all(node: RunningNode, path: str, count: int) -> None:
    """Sends requests on one connection.

    Raises:
        AssertionError: A request was not served.
    """
    connection = http.client.HTTPConnection(HOST, node.callers_port, timeout=10)
    for number in range(count):
        headers = {
            "Host": "a.example",
            "X-Request-Id": f"{threading.get_ident()}-{number}",
            "X-Deadline-Ms": "8000",
        }
        connection.request("GET", path, headers=headers)
        reply = connection.getresponse()
        reply.read()
        assert reply.status == 200, reply.status
    connection.close()


def measure(node: RunningNode, path: str, count: int) -> float:
    """Returns the requests that the node answers per second of CPU time."""
    before_s = read_usage(node.process.pid).cpu_s
    callers = [
        threading.Thread(target=send_all, args=(node, path, count))
        for _ in range(CALLER_COUNT)
    ]
    for caller in callers:
        caller.start()
    for caller in callers:
        caller.join()
    used_s = read_usage(node.process.pid).cpu_s - before_s
    return CALLER_COUNT * count / used_s


def main(arguments: Sequence[str] | None = None) -> int:
    """Prints a line for each kind of request; returns the exit code."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--count", type=int, default=1000)
    parser.add_argument("--rounds", type=int, default=3)
    settings = parser.parse_args(arguments)
    with (
        tempfile.TemporaryDirectory() as folder,
        Deployment(pathlib.Path(folder)) as deployment,
    ):
        (node,) = deployment.start_nodes(1)
        for kind, path in PATHS.items():
            measure(node, path, WARM_UP_COUNT // CALLER_COUNT)
            rates = [
                measure(node, path, settings.count)
                for _ in range(settings.rounds)
            ]
            each = " ".join(f"{rate:.0f}" for rate in rates)
            middle = statistics.median(rates)
            print(f"{kind}: {middle:.0f} requests/CPU s ({each})", flush=True)
    return 0


if __name__ == "__main__":
    sys.exit(main())
