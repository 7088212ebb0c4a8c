"""Commands that change the configuration and wait until it is in force."""

import json
import time
import uuid
from typing import Any, Final, NamedTuple

from expression import Error, Ok, Result

from mulberrybay_operators.exit_codes import CommandFailure, ExitCode
from mulberrybay_operators.node_client import (
    NodeClient,
    NodeRequest,
    NodeResponse,
)
from mulberrybay_operators.tables import ProgressLine

POLL_PERIOD_S: Final = 0.1
POLL_TIMEOUT_S: Final = 1.0
CONFLICT_STATUS: Final = 412
INVALID_STATUSES: Final = frozenset({400, 404, 413, 428})


class RequestedChange(NamedTuple):
    """A change of the configuration to submit.

    Attributes:
        path: The path of the resource, for example "/v1/domains/d2".
        document: The new state of the resource.
        author: The operator's name, for the audit.
        expected_revision: The revision that the change must replace; None
            for the newest.
        change_id: The identity of an earlier change to retry; empty for a new
            change.
    """

    path: str
    document: object
    author: str
    expected_revision: int | None = None
    change_id: str = ""


class ChangeReport(NamedTuple):
    """The outcome of an accepted change; the fields are the keys of its JSON.

    Attributes:
        change_id: The identity of the change.
        revision: The revision that the change created.
        unconfirmed: Nodes that have not confirmed that it is in force.
        node_count: The number of nodes in the last list that was read.
        waited_s: Seconds from the acceptance to the last list of nodes.
    """

    change_id: str
    revision: int
    unconfirmed: tuple[str, ...]
    node_count: int
    waited_s: float

    def document(self) -> dict[str, Any]:
        """Returns the report as JSON."""
        return {"outcome": "accepted", **self._asdict()}


def submit_change(
    client: NodeClient, change: RequestedChange
) -> Result[ChangeReport, CommandFailure]:
    """Submits a change and waits until it is in force at all nodes.

    The wait ends after the client's timeout; the report then lists the nodes
    that have not confirmed the change.
    """
    change_id = change.change_id or uuid.uuid4().hex
    headers = {"Change-Id": change_id, "Operator": change.author}
    if change.expected_revision is not None:
        headers["If-Match"] = f'"{change.expected_revision}"'
    request = NodeRequest(
        "PUT", change.path, json.dumps(change.document).encode(), headers
    )
    match client.send_with_retries(request).bind(_parse_revision):
        case Result(tag="ok", ok=revision):
            return Ok(_wait_until_in_force(client, change_id, revision))
        case Result(error=failure):
            hint = ""
            if failure.exit_code is ExitCode.NOT_KNOWN:
                hint = f"\nretry the command with --change-id {change_id}"
            return Error(failure._replace(detail=failure.detail + hint))


def _parse_revision(response: NodeResponse) -> Result[int, CommandFailure]:
    document = response.json()
    if response.status == 200 and "revision" in document:
        return Ok(int(document["revision"]))
    problems = document.get("error", {}).get("problems", [])
    lines = [f"{item['key']}: {item['detail']}" for item in problems]
    detail = "\n".join([f"not accepted: {response.describe()}", *lines])
    if response.status == CONFLICT_STATUS:
        return Error(CommandFailure(ExitCode.CONFLICT, detail))
    if response.status in INVALID_STATUSES:
        return Error(CommandFailure(ExitCode.USAGE, detail))
    return Error(CommandFailure(ExitCode.FAILED, detail))


def _wait_until_in_force(
    client: NodeClient, change_id: str, revision: int
) -> ChangeReport:
    started_at_s = time.monotonic()
    progress = ProgressLine()
    nodes: list[dict[str, Any]] = []
    outdated: list[dict[str, Any]] = []
    while True:
        nodes = _fetch_nodes(client) or nodes
        outdated = [node for node in nodes if node["revision"] < revision]
        waited_s = time.monotonic() - started_at_s
        confirmed_count = len(nodes) - len(outdated)
        progress.update(
            f"revision {revision} accepted; in force at "
            f"{confirmed_count} of {len(nodes)} nodes"
        )
        if (nodes and not outdated) or waited_s >= client.timeout_s:
            break
        time.sleep(POLL_PERIOD_S)
    progress.finish()
    unconfirmed = tuple(_describe_outdated(node) for node in outdated)
    if not nodes:
        unconfirmed = ("no node returned the revisions in force",)
    return ChangeReport(
        change_id, revision, unconfirmed, len(nodes), round(waited_s, 3)
    )


def _fetch_nodes(client: NodeClient) -> list[dict[str, Any]]:
    request = NodeRequest("GET", "/v1/cluster")
    for address in client.addresses:
        match client.send_once(address, request, POLL_TIMEOUT_S):
            case Result(tag="ok", ok=response) if response.status == 200:
                nodes: list[dict[str, Any]] = response.json()["nodes"]
                return nodes
            case _:
                pass
    return []


def _describe_outdated(node: dict[str, Any]) -> str:
    state = "" if node["is_heard"] else ", silent"
    return f"{node['node_id']} (revision {node['revision']}{state})"
