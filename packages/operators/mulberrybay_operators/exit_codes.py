"""The exit codes of `mulberrybay`, which docs/OPERATORS.md lists."""

import enum
from typing import NamedTuple


class ExitCode(enum.IntEnum):
    """The exit code of a command."""

    DONE = 0
    FAILED = 1
    USAGE = 2
    CONFLICT = 3
    NOT_IN_FORCE = 4
    DIFFERENT = 5
    NOT_KNOWN = 6


class CommandFailure(NamedTuple):
    """Why a command failed.

    Attributes:
        exit_code: The exit code to end with.
        detail: Message for the operator, with the step and the peer.
    """

    exit_code: ExitCode
    detail: str
