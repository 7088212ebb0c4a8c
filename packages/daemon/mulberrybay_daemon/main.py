"""The program `mulberrybayd`: one node of the query tier."""

import gc
import pathlib
import sys
from dataclasses import dataclass
from typing import Annotated, Final

import cappa
from expression import Result

from mulberrybay_daemon.node import Node
from mulberrybay_daemon.settings import NodeSettings, load_settings
from mulberrybay_runtime.logs import make_log_handler

COLLECTOR_THRESHOLD_COUNT: Final = 20_000


@dataclass
class Mulberrybayd:
    """Runs one node of the query tier.

    Attributes:
        settings: The node's settings.
        check: Whether to check the settings and exit.
    """

    settings: Annotated[
        pathlib.Path, cappa.Arg(help="The TOML file of settings.")
    ]
    check: Annotated[
        bool, cappa.Arg(long="--check", help="Check the settings and exit.")
    ] = False


def relax_collector() -> None:
    """Lets the garbage collector run seldom and skip what lives for good.

    Requests leave few reference cycles, so a collection mostly walks objects
    that stay.
    """
    gc.collect()
    gc.freeze()
    gc.set_threshold(COLLECTOR_THRESHOLD_COUNT, 20, 50)


def run_node(settings: NodeSettings) -> int:
    """Runs a node until it is told to stop; returns the exit code."""
    handler = make_log_handler(settings.log_form, settings.log_level)
    with handler.applicationbound():
        try:
            with Node(settings) as node:
                relax_collector()
                print("ready", flush=True)
                node.run()
        except OSError as error:
            print(f"mulberrybayd: {error}", file=sys.stderr)
            return 1
    return 0


def main() -> None:
    """Parses the command line and runs the node."""
    arguments = cappa.parse(Mulberrybayd, backend=cappa.backend)
    match load_settings(arguments.settings):
        case Result(tag="ok", ok=settings):
            sys.exit(0 if arguments.check else run_node(settings))
        case Result(error=problems):
            for problem in problems:
                print(f"mulberrybayd: {problem}", file=sys.stderr)
            sys.exit(2)
