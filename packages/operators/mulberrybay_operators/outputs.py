"""Results of commands, and the session that commands use."""

import getpass
from typing import Any, NamedTuple

from expression import Result

from mulberrybay_operators.exit_codes import CommandFailure, ExitCode
from mulberrybay_operators.node_client import NodeClient


class Output(NamedTuple):
    """The output of a command that succeeded.

    Attributes:
        text: The output as text.
        document: The output as JSON, for --json.
        exit_code: The exit code of the command.
    """

    text: str
    document: Any
    exit_code: ExitCode = ExitCode.DONE


CommandResult = Result[Output, CommandFailure]


class Session(NamedTuple):
    """The client and the operator of a command.

    Attributes:
        client: Sends requests to the given nodes.
        author: The operator's name, for the audit.
    """

    client: NodeClient
    author: str


def read_user_name() -> str:
    """Returns the name of the system user; empty if it is unknown."""
    try:
        return getpass.getuser()
    except (KeyError, OSError):
        return ""
