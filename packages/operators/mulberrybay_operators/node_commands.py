"""The command `audit` and the commands that act as a caller."""

import itertools
import json
import secrets
import time
import urllib.parse
from collections.abc import Iterator
from typing import Any

from expression import Error, Ok, Result

from mulberrybay_core.addresses import Address, parse_address
from mulberrybay_operators.command_line import Addresses, Audit, Query, Run
from mulberrybay_operators.exit_codes import CommandFailure, ExitCode
from mulberrybay_operators.node_client import (
    NodeRequest,
    NodeResponse,
    send_request,
)
from mulberrybay_operators.outputs import CommandResult, Output, Session
from mulberrybay_operators.tables import format_table


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
        text = format_table(headings, rows)
        missing = _find_missing(document["entries"], command.count)
        if missing:
            spans = ", ".join(_format_spans(missing))
            text += f"\nno audit entry exists for revisions {spans}"
        return Output(text, {**document, "missing_revisions": missing})

    return session.client.read_document(f"/v1/audit?count={command.count}").map(
        describe
    )


def _find_missing(entries: list[dict[str, Any]], count: int) -> list[int]:
    """Returns the revisions in the requested range that have no entry."""
    existing = [entry["revision"] for entry in entries]
    newest = max(existing, default=0)
    requested = range(newest, max(0, newest - count), -1)
    return [revision for revision in requested if revision not in existing]


def _format_spans(revisions: list[int]) -> Iterator[str]:
    """Yields spans of descending revisions, such as "9" or "7 to 3"."""
    for _, group in itertools.groupby(
        enumerate(revisions), lambda pair: pair[0] + pair[1]
    ):
        span = [revision for _, revision in group]
        is_single = len(span) == 1
        yield str(span[0]) if is_single else f"{span[0]} to {span[-1]}"


def _fetch_caller_addresses(
    session: Session,
) -> Result[list[Address], CommandFailure]:
    """Returns the caller addresses of the nodes that are serving."""

    def select_addresses(cluster: dict[str, Any]) -> list[Address]:
        return [
            parse_address(node["caller_address"])
            for node in cluster["nodes"]
            if node["is_serving"] and node["is_heard"]
        ]

    return session.client.read_document("/v1/cluster").map(select_addresses)


def _send_as_caller(
    session: Session, request: NodeRequest, can_retry: bool
) -> CommandResult:
    match _fetch_caller_addresses(session):
        case Result(tag="ok", ok=addresses):
            pass
        case Result(error=failure):
            return Error(failure)
    detail = "no node is serving"
    for address in addresses:
        match send_request(address, request, session.client.timeout_s):
            case Result(tag="ok", ok=response):
                return _make_result(response)
            case Result(error=no_response):
                detail = no_response.detail
                if no_response.was_sent and not can_retry:
                    code = ExitCode.NOT_KNOWN
                    return Error(CommandFailure(code, detail))
    return Error(CommandFailure(ExitCode.FAILED, detail))


def _make_result(response: NodeResponse) -> CommandResult:
    document = response.json()
    if response.status == 200:
        return Ok(Output(json.dumps(document, indent=2), document))
    error = document.get("error", {})
    is_unknown = error.get("run_state") == "unknown"
    code = ExitCode.NOT_KNOWN if is_unknown else ExitCode.FAILED
    return Error(CommandFailure(code, response.describe()))


def show_addresses(session: Session, command: Addresses) -> CommandResult:
    """Shows the addresses that nodes advertise to callers."""
    query = urllib.parse.urlencode({"failure_domain": command.failure_domain})
    request = NodeRequest("GET", f"/v1/addresses?{query}")

    def describe(output: Output) -> Output:
        document = output.document
        headings = ["NODE", "DOMAIN", "ADDRESS"]
        rows = [list(item.values()) for item in document["addresses"]]
        text = (
            f"{format_table(headings, rows)}\n"
            f"may be cached for {document['time_to_live_s']} s"
        )
        return output._replace(text=text)

    return _send_as_caller(session, request, can_retry=True).map(describe)


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
    return _send_as_caller(session, request, can_retry=True)


def send_run(session: Session, command: Run) -> CommandResult:
    """Sends a non-idempotent request as a caller."""
    name = urllib.parse.quote(command.class_name, safe="")
    key = command.key or f"{int(time.time())}-{secrets.token_hex(8)}"
    headers = {"Idempotency-Key": key, **_deadline_headers(session)}
    request = NodeRequest(
        "POST", f"/v1/run/{name}", command.body.encode(), headers
    )

    def add_key(failure: CommandFailure) -> CommandFailure:
        hint = f"\nto retry this request, use --key {key}"
        return failure._replace(detail=failure.detail + hint)

    return _send_as_caller(session, request, can_retry=False).map_error(add_key)
