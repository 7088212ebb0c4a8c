"""Typed failures: what went wrong, at which step, with which peer."""

import enum
from typing import NamedTuple


class Step(enum.Enum):
    """The step of the work at which a failure arose."""

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
    """What went wrong, independent of the step."""

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
    """What is known of the effect of a request."""

    RAN = "ran"
    NOT_RUN = "not_run"
    UNKNOWN = "unknown"


class Failure(NamedTuple):
    """One failure.

    Attributes:
        kind: What went wrong.
        step: Where in the work it arose.
        peer: The peer at which it arose; empty when it was this node.
        detail: Text for people.
        retry_after_s: When the caller may come back; None if it is pointless.
        run_state: What is known of the effect of the request.
    """

    kind: FailureKind
    step: Step
    peer: str
    detail: str
    retry_after_s: float | None = None
    run_state: RunState = RunState.NOT_RUN
