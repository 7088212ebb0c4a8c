"""The commands that look at nodes and that act as a caller."""

import json
import secrets
import time
import urllib.parse
from typing import Any, Final

from expression import Error, Ok, Result

from mulberrybay_core.addresses import Address, parse_address
from mulberrybay_operators.command_line import Addresses, Audit, Query, Run
from mulberrybay_operators.exit_codes import CommandFailure, ExitCode
from mulberrybay_operators.node_client import (
    NodeAnswer,
    NodeRequest,
    ask_node,
)
from mulberrybay_operators.outputs import CommandResult, Output, Session
from mulberrybay_operators.tables import format_table

STATUS_TIMEOUT_S: Final = 2.0


def _get(session: Session, path: str) -> Result[Any, CommandFailure]:
    """Returns the JSON of a resource from the first node that answers."""
    match session.client.send(NodeRequest("GET", path)):
        case Result(tag="ok", ok=answer) if answer.status == 200:
            return Ok(answer.json())
        case Result(tag="ok", ok=answer):
            return Error(CommandFailure(ExitCode.FAILED, answer.describe()))
        case Result(error=failure):
            return Error(failure)


def show_status(session: Session) -> CommandResult:
    """Shows the cluster as one node sees it and each given node's own word."""
    return _get(session, "/v1/cluster").bind(
        lambda cluster: _get(session, "/v1/configuration").map(
            lambda configuration: _describe_status(
                session, cluster, configuration
            )
        )
    )


def _describe_status(
    session: Session, cluster: dict[str, Any], configuration: dict[str, Any]
) -> Output:
    statuses, silent = _ask_each(session)
    own = {status["node_id"]: status for status in statuses}
    rows = [
        _status_row(node, own.get(node["node_id"])) for node in cluster["nodes"]
    ]
    headings = ["NODE", "DOMAIN", "STATE", "REVISION", "LEASE"]
    headings += ["HELD", "CLAIMING", "REQUESTS", "ATTEMPTS"]
    drains = [
        [status["node_id"], *drain.values()]
        for status in statuses
        for drain in status["drains"]
    ]
    out = configuration["out_domains"] + configuration["out_servers"]
    lines = [
        f"revision {cluster['revision']} in force at {cluster['node_id']}; "
        f"out of service: {', '.join(out) or 'nothing'}",
        format_table(headings, rows),
    ]
    if drains:
        heads = ["NODE", "DRAINING SERVER", "DOMAIN", "OUTSTANDING"]
        lines += ["", format_table(heads, drains)]
    lines += [f"no answer: {detail}" for detail in silent]
    document = {
        "cluster": cluster,
        "statuses": statuses,
        "silent": silent,
        "out_domains": configuration["out_domains"],
        "out_servers": configuration["out_servers"],
    }
    return Output("\n".join(lines), document)


def _ask_each(session: Session) -> tuple[list[dict[str, Any]], list[str]]:
    statuses = []
    silent = []
    request = NodeRequest("GET", "/v1/status")
    for address in session.client.addresses:
        match session.client.ask(address, request, STATUS_TIMEOUT_S):
            case Result(tag="ok", ok=answer) if answer.status == 200:
                statuses.append(answer.json())
            case Result(tag="ok", ok=answer):
                silent.append(answer.describe())
            case Result(error=no_answer):
                silent.append(no_answer.detail)
    return statuses, silent


def _status_row(
    node: dict[str, Any], own: dict[str, Any] | None
) -> list[object]:
    state = "serving" if node["is_serving"] else "not serving"
    if node["is_leaving"]:
        state = "leaving"
    if not node["is_heard"]:
        state = "silent"
    row = [node["node_id"], node["failure_domain"], state, node["revision"]]
    if own is None:
        return [*row, "?", "?", "?", "?", "?"]
    return [
        *row,
        "yes" if own["has_lease"] else "no",
        own["held_count"],
        own["claiming_count"],
        own["active_count"],
        own["outstanding_count"],
    ]


def show_audit(session: Session, command: Audit) -> CommandResult:
    """Shows the newest accepted changes."""

    def describe(document: dict[str, Any]) -> Output:
        rows = [
            [
                entry["revision"],
                entry["previous_revision"],
                time.strftime(
                    "%Y-%m-%dT%H:%M:%SZ", time.gmtime(entry["changed_at_s"])
                ),
                entry["author"],
                entry["summary"],
                entry["change_id"],
            ]
            for entry in document["entries"]
        ]
        headings = ["REVISION", "FROM", "AT", "BY", "WHAT", "CHANGE"]
        return Output(format_table(headings, rows), document)

    return _get(session, f"/v1/audit?count={command.count}").map(describe)


# As a caller.


def _caller_addresses(
    session: Session,
) -> Result[list[Address], CommandFailure]:
    """Returns where callers reach the nodes that serve."""

    def choose(cluster: dict[str, Any]) -> list[Address]:
        return [
            parse_address(node["caller_address"])
            for node in cluster["nodes"]
            if node["is_serving"] and node["is_heard"]
        ]

    return _get(session, "/v1/cluster").map(choose)


def _call(
    session: Session, request: NodeRequest, is_repeatable: bool
) -> CommandResult:
    match _caller_addresses(session):
        case Result(tag="ok", ok=addresses):
            pass
        case Result(error=failure):
            return Error(failure)
    detail = "no node serves"
    for address in addresses:
        match ask_node(address, request, session.client.timeout_s):
            case Result(tag="ok", ok=answer):
                return _describe_answer(answer)
            case Result(error=no_answer):
                detail = no_answer.detail
                if no_answer.was_sent and not is_repeatable:
                    code = ExitCode.NOT_KNOWN
                    return Error(CommandFailure(code, detail))
    return Error(CommandFailure(ExitCode.FAILED, detail))


def _describe_answer(answer: NodeAnswer) -> CommandResult:
    document = answer.json()
    if answer.status == 200:
        return Ok(Output(json.dumps(document, indent=2), document))
    error = document.get("error", {})
    is_unknown = error.get("run_state") == "unknown"
    code = ExitCode.NOT_KNOWN if is_unknown else ExitCode.FAILED
    return Error(CommandFailure(code, answer.describe()))


def show_addresses(session: Session, command: Addresses) -> CommandResult:
    """Shows what callers are told to use."""
    query = urllib.parse.urlencode({"failure_domain": command.failure_domain})
    request = NodeRequest("GET", f"/v1/addresses?{query}")

    def describe(output: Output) -> Output:
        document = output.document
        headings = ["NODE", "DOMAIN", "ADDRESS"]
        rows = [list(item.values()) for item in document["addresses"]]
        text = (
            f"{format_table(headings, rows)}\n"
            f"may be kept for {document['time_to_live_s']} s"
        )
        return output._replace(text=text)

    return _call(session, request, is_repeatable=True).map(describe)


def _deadline_headers(session: Session) -> dict[str, str]:
    return {"X-Deadline-Ms": str(max(1, int(session.client.timeout_s * 1000)))}


def send_query(session: Session, command: Query) -> CommandResult:
    """Sends a query as a caller."""
    name = urllib.parse.quote(command.class_name, safe="")
    request = NodeRequest(
        "POST",
        f"/v1/query/{name}",
        command.body.encode(),
        _deadline_headers(session),
    )
    return _call(session, request, is_repeatable=True)


def send_run(session: Session, command: Run) -> CommandResult:
    """Sends a non-idempotent request as a caller."""
    name = urllib.parse.quote(command.class_name, safe="")
    key = command.key or f"{int(time.time())}-{secrets.token_hex(8)}"
    headers = {"Idempotency-Key": key, **_deadline_headers(session)}
    request = NodeRequest(
        "POST", f"/v1/run/{name}", command.body.encode(), headers
    )

    def name_key(failure: CommandFailure) -> CommandFailure:
        hint = f"\nto ask again for the same: --key {key}"
        return failure._replace(detail=failure.detail + hint)

    return _call(session, request, is_repeatable=False).map_error(name_key)
