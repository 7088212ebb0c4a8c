"""What a command prints and how it ends."""

import getpass
from typing import Any, NamedTuple

from expression import Result

from mulberrybay_operators.exit_codes import CommandFailure, ExitCode
from mulberrybay_operators.node_client import NodeClient


class Output(NamedTuple):
    """What a command that did its work prints.

    Attributes:
        text: For people.
        document: For programs.
        exit_code: How the command ends.
    """

    text: str
    document: Any
    exit_code: ExitCode = ExitCode.DONE


CommandResult = Result[Output, CommandFailure]


class Session(NamedTuple):
    """What every command works with.

    Attributes:
        client: Asks the given nodes.
        author: Who the operator is, for the audit.
    """

    client: NodeClient
    author: str


def read_user_name() -> str:
    """Returns the name of the user who runs this program."""
    try:
        return getpass.getuser()
    except (KeyError, OSError):
        return ""
