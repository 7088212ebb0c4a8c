"""Encodes a node's replies to operators as HTTP responses with JSON."""

import json
import math
from typing import Any, Final

from expression import Result

from mulberrybay_core.audit import AuditEntry, encode_audit_entry
from mulberrybay_core.configuration import Configuration
from mulberrybay_core.configuration_file import ConfigurationProblem
from mulberrybay_core.documents import encode_configuration
from mulberrybay_core.errors import Failure, FailureKind, RunState
from mulberrybay_core.member_messages import NodeInfo
from mulberrybay_core.operator_messages import (
    ChangeAccepted,
    ChangeRefused,
    ClusterNode,
    ClusterStatus,
    NodeBurn,
    NodeStatus,
)
from mulberrybay_operators.burn_codec import encode_node_burn
from mulberrybay_operators.request_parsing import invalid
from mulberrybay_runtime.http_server import HttpResponse

STATUS_BY_KIND: Final = {
    FailureKind.INVALID: 400,
    FailureKind.UNAUTHORIZED: 401,
    FailureKind.NOT_FOUND: 404,
    FailureKind.CONFLICT: 412,
    FailureKind.TOO_LARGE: 413,
}
PRECONDITION_REQUIRED_STATUS: Final = 428
UNAVAILABLE_STATUS: Final = 503
OUTCOME_BY_RUN_STATE: Final = {
    RunState.RAN: "accepted",
    RunState.NOT_RUN: "not_accepted",
    RunState.UNKNOWN: "not_known",
}

Headers = tuple[tuple[str, str], ...]


def _respond(
    status: int, document: object, headers: Headers = ()
) -> HttpResponse:
    return HttpResponse(status, json.dumps(document).encode(), headers)


def _encode_error(failure: Failure) -> dict[str, Any]:
    return {
        "kind": failure.kind.value,
        "step": failure.step.value,
        "peer": failure.peer,
        "detail": failure.detail,
        "retry_after_s": failure.retry_after_s,
    }


def _failure_headers(failure: Failure) -> Headers:
    headers = []
    if failure.kind is FailureKind.UNAUTHORIZED:
        headers.append(("WWW-Authenticate", 'Bearer realm="mulberrybay"'))
    if failure.retry_after_s is not None:
        headers.append(("Retry-After", str(math.ceil(failure.retry_after_s))))
    return tuple(headers)


def encode_failure(failure: Failure) -> HttpResponse:
    """Returns the response to a request that failed."""
    return _respond(
        STATUS_BY_KIND.get(failure.kind, UNAVAILABLE_STATUS),
        {"error": _encode_error(failure)},
        _failure_headers(failure),
    )


def encode_problems(problems: list[ConfigurationProblem]) -> HttpResponse:
    """Returns the response to an invalid configuration."""
    detail = f"{len(problems)} problems in the configuration"
    error = _encode_error(invalid(detail))
    error["problems"] = [problem._asdict() for problem in problems]
    document = {"outcome": "not_accepted", "error": error}
    return _respond(STATUS_BY_KIND[FailureKind.INVALID], document)


def encode_missing_precondition() -> HttpResponse:
    """Returns the response to a configuration sent without If-Match."""
    detail = "If-Match must name the revision that the configuration replaces"
    error = _encode_error(invalid(detail))
    document = {"outcome": "not_accepted", "error": error}
    return _respond(PRECONDITION_REQUIRED_STATUS, document)


def encode_change(
    result: Result[ChangeAccepted, ChangeRefused],
) -> HttpResponse:
    """Returns the response to a change, with its outcome.

    The outcome is "accepted", "not_accepted" or "not_known".
    """
    match result:
        case Result(tag="ok", ok=accepted):
            document = {"outcome": "accepted", **accepted._asdict()}
            return _respond(200, document, (_etag(accepted.revision),))
        case Result(error=refused):
            failure = refused.failure
            headers = _failure_headers(failure)
            if refused.current_revision:
                headers = (*headers, _etag(refused.current_revision))
            return _respond(
                STATUS_BY_KIND.get(failure.kind, UNAVAILABLE_STATUS),
                {
                    "outcome": OUTCOME_BY_RUN_STATE[failure.run_state],
                    "current_revision": refused.current_revision,
                    "error": _encode_error(failure),
                },
                headers,
            )


def _etag(revision: int) -> tuple[str, str]:
    return ("ETag", f'"{revision}"')


def encode_configuration_response(configuration: Configuration) -> HttpResponse:
    """Returns the response with the configuration in force."""
    return _respond(
        200,
        encode_configuration(configuration),
        (_etag(configuration.revision),),
    )


def encode_status(status: NodeStatus) -> HttpResponse:
    """Returns the response with a node's status."""
    document = {
        "node_id": status.info.node_id,
        "failure_domain": status.info.failure_domain,
        "is_serving": status.info.is_serving,
        "is_leaving": status.info.is_leaving,
        "revision": status.revision,
        "has_lease": status.has_lease,
        "epoch": status.epoch,
        "members": [info.node_id for info in status.members],
        "held_count": status.held_count,
        "claiming_count": status.claiming_count,
        "active_count": status.active_count,
        "outstanding_count": status.outstanding_count,
        "drains": [drain._asdict() for drain in status.drains],
        "is_platform_lost": status.is_platform_lost,
    }
    return _respond(200, document)


def encode_cluster(status: ClusterStatus) -> HttpResponse:
    """Returns the response with all nodes and their revisions."""
    document = {
        "node_id": status.node_id,
        "revision": status.revision,
        "nodes": [_encode_node(node) for node in status.nodes],
    }
    return _respond(200, document)


def _encode_node(node: ClusterNode) -> dict[str, Any]:
    return {
        "node_id": node.info.node_id,
        "failure_domain": node.info.failure_domain,
        "caller_address": str(node.info.caller_address),
        "operator_address": _operator_address(node.info),
        "is_serving": node.info.is_serving,
        "is_leaving": node.info.is_leaving,
        "is_heard": node.is_heard,
        "revision": node.revision,
    }


def _operator_address(info: NodeInfo) -> str:
    """Returns a node's address for operators; empty if it is unknown."""
    if not info.operator_port:
        return ""
    return str(info.peer_address._replace(port=info.operator_port))


def encode_burn(burn: NodeBurn) -> HttpResponse:
    """Returns the response with a node's service-level counts."""
    return _respond(200, encode_node_burn(burn))


def encode_audit(
    result: Result[tuple[AuditEntry, ...], Failure],
) -> HttpResponse:
    """Returns the response with audit entries, newest first."""
    match result:
        case Result(tag="ok", ok=entries):
            document = {"entries": [encode_audit_entry(x) for x in entries]}
            return _respond(200, document)
        case Result(error=failure):
            return encode_failure(failure)
