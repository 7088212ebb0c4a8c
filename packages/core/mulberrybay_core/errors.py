"""Typed failures: what went wrong, at which step, with which peer."""

import enum
from typing import NamedTuple


class Step(enum.Enum):
    """The step of request processing at which a failure occurred."""

    PARSE = "parse"
    ADMISSION = "admission"
    ROUTING = "routing"
    RECORD = "record"
    QUEUE = "queue"
    DISPATCH = "dispatch"
    BACKEND = "backend"
    MERGE = "merge"
    CONFIGURATION = "configuration"
    MEMBERSHIP = "membership"


class FailureKind(enum.Enum):
    """The kind of failure, independent of the step."""

    INVALID = "invalid"
    UNKNOWN_CLASS = "unknown_class"
    NOT_FOUND = "not_found"
    TOO_LARGE = "too_large"
    UNAUTHORIZED = "unauthorized"
    CONFLICT = "conflict"
    OVERLOADED = "overloaded"
    NO_LEASE = "no_lease"
    LEAVING = "leaving"
    OUT_OF_SERVICE = "out_of_service"
    NO_REPLICA = "no_replica"
    DEADLINE = "deadline"
    COVERAGE = "coverage"
    PLATFORM = "platform"
    HISTORY_GONE = "history_gone"
    CONNECTION = "connection"
    CALLER_GONE = "caller_gone"
    PROTOCOL = "protocol"
    INTERNAL = "internal"


class RunState(enum.Enum):
    """Whether a backend server executed a request, if that is known."""

    RAN = "ran"
    NOT_RUN = "not_run"
    UNKNOWN = "unknown"


class Failure(NamedTuple):
    """One failure.

    Attributes:
        kind: The kind of failure.
        step: The step at which it occurred.
        peer: The peer at which it occurred; empty for this node.
        detail: A description for people.
        retry_after_s: Delay before the caller may retry; None if a retry
            cannot succeed.
        run_state: Whether the request was executed, if that is known.
    """

    kind: FailureKind
    step: Step
    peer: str
    detail: str
    retry_after_s: float | None = None
    run_state: RunState = RunState.NOT_RUN
