"""The program `mulberrybayd`: one node of the query tier."""

import pathlib
import sys
from dataclasses import asdict, dataclass
from typing import Annotated

import cappa
from expression import Result

from mulberrybay_daemon.node import Node
from mulberrybay_daemon.settings import NodeSettings
from mulberrybay_daemon.settings_checks import LOG_FORMS, LOG_LEVELS
from mulberrybay_daemon.settings_sources import load_settings
from mulberrybay_runtime.collector import tune_garbage_collector
from mulberrybay_runtime.logs import make_log_handler

FAILED_EXIT_CODE = 1
USAGE_EXIT_CODE = 2


def _make_override_flag(help_text: str) -> cappa.Arg[str | None]:
    """Returns a flag that overrides a key of the settings file."""
    return cappa.Arg(long=True, help=help_text, show_default=False)


@cappa.command(
    name="mulberrybayd",
    help="Runs one node of the query tier.",
    epilog=(
        "Flags override environment variables such as MULBERRYBAY_LOG_LEVEL, "
        "which override the file. Exit codes: 0 stopped or checked, "
        "1 failed to start, 2 usage or invalid settings. "
        "Example: mulberrybayd node.toml --log-form console"
    ),
)
@dataclass
class Mulberrybayd:
    """Runs one node of the query tier."""

    settings: Annotated[
        pathlib.Path, cappa.Arg(help="The TOML file of settings.")
    ]
    check: Annotated[
        bool,
        cappa.Arg(
            long="--check",
            show_default=False,
            help="Check the settings and exit.",
        ),
    ] = False
    node_id: Annotated[
        str | None, _make_override_flag("This node's identity.")
    ] = None
    failure_domain: Annotated[
        str | None, _make_override_flag("The failure domain it runs in.")
    ] = None
    caller_address: Annotated[
        str | None, _make_override_flag("IP:PORT to listen on for callers.")
    ] = None
    peer_address: Annotated[
        str | None, _make_override_flag("IP:PORT to listen on for other nodes.")
    ] = None
    operator_address: Annotated[
        str | None, _make_override_flag("IP:PORT to listen on for operators.")
    ] = None
    platform_address: Annotated[
        str | None, _make_override_flag("IP:PORT of the platform's object API.")
    ] = None
    log_level: Annotated[
        str | None, _make_override_flag(f"One of {', '.join(LOG_LEVELS)}.")
    ] = None
    log_form: Annotated[
        str | None, _make_override_flag(f"One of {', '.join(LOG_FORMS)}.")
    ] = None


def run_node(settings: NodeSettings) -> int:
    """Runs a node until it is stopped; returns the exit code."""
    handler = make_log_handler(settings.log_form, settings.log_level)
    with handler.applicationbound():
        try:
            with Node(settings) as node:
                tune_garbage_collector()
                print("ready", flush=True)
                node.run()
        except OSError as error:
            print(f"mulberrybayd: {error}", file=sys.stderr)
            return FAILED_EXIT_CODE
    return 0


def main() -> None:
    """Parses the command line, then checks the settings or runs the node."""
    arguments = cappa.parse(Mulberrybayd, backend=cappa.backend)
    flags = asdict(arguments)
    path = flags.pop("settings")
    is_check = flags.pop("check")
    match load_settings(path, flags):
        case Result(tag="ok", ok=settings):
            if is_check:
                print(f"{path}: valid settings of {settings.node_id}")
                sys.exit(0)
            sys.exit(run_node(settings))
        case Result(error=problems):
            for problem in problems:
                print(f"mulberrybayd: {problem}", file=sys.stderr)
            sys.exit(USAGE_EXIT_CODE)
