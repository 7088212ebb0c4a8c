"""The command `status`, which shows the state of every node."""

from typing import Any, Final

from mulberrybay_operators.command_line import Status
from mulberrybay_operators.node_finder import (
    ClusterResponses,
    MissingNode,
    NodeFinder,
)
from mulberrybay_operators.outputs import CommandResult, Output, Session
from mulberrybay_operators.tables import format_table

NODE_HEADINGS: Final = (
    *("NODE", "DOMAIN", "STATE", "REVISION", "LEASE"),
    *("HELD", "CLAIMING", "REQUESTS", "ATTEMPTS"),
)
DRAIN_HEADINGS: Final = ("NODE", "DRAINING SERVER", "DOMAIN", "OUTSTANDING")
UNKNOWN_CELL: Final = "?"


def show_status(session: Session, command: Status) -> CommandResult:
    """Shows the state of every node; lists nodes that did not answer."""
    # Unlike the requests to each node, this read is retried until a node
    # answers or the timeout passes.
    return session.client.read_document("/v1/configuration").bind(
        lambda configuration: (
            NodeFinder(session.client)
            .fetch_from_nodes("/v1/status", only_given=command.only)
            .map(lambda responses: _describe_status(responses, configuration))
        )
    )


def _describe_status(
    responses: ClusterResponses, configuration: dict[str, Any]
) -> Output:
    statuses = list(responses.documents.values())
    silent = [
        str(node)
        for node in (*responses.silent, *_find_unlisted_nodes(responses))
    ]
    out = configuration["out_domains"] + configuration["out_servers"]
    lines = [
        f"revision {configuration['revision']} in force; "
        f"out of service: {', '.join(out) or 'nothing'}",
        format_table(
            NODE_HEADINGS, _format_rows(responses, configuration["out_domains"])
        ),
    ]
    drains = [
        [status["node_id"], *drain.values()]
        for status in statuses
        for drain in status["drains"]
    ]
    if drains:
        lines += ["", format_table(DRAIN_HEADINGS, drains)]
    without_platform = [
        x["node_id"] for x in statuses if x.get("is_platform_lost")
    ]
    if without_platform:
        lines.append(f"platform lost at {', '.join(sorted(without_platform))}")
    lines += [f"no answer: {text}" for text in silent]
    document = {
        "revision": configuration["revision"],
        "nodes": list(responses.members.values()),
        "statuses": statuses,
        "silent": silent,
        "out_domains": configuration["out_domains"],
        "out_servers": configuration["out_servers"],
    }
    return Output("\n".join(lines), document)


def _find_unlisted_nodes(responses: ClusterResponses) -> list[MissingNode]:
    """Returns the nodes that the given nodes don't list but other nodes do."""
    unlisted: dict[str, MissingNode] = {}
    for node_id, status in responses.documents.items():
        for member_id in status["members"]:
            if member_id not in responses.members | responses.documents:
                detail = f"only {node_id} lists it"
                unlisted.setdefault(member_id, MissingNode(member_id, detail))
    return list(unlisted.values())


def _format_rows(
    responses: ClusterResponses, out_domains: list[str]
) -> list[list[object]]:
    node_ids = sorted(responses.members | responses.documents)
    return [
        _format_row(
            responses.members.get(node_id),
            responses.documents.get(node_id),
            out_domains,
        )
        for node_id in node_ids
    ]


def _format_row(
    member: dict[str, Any] | None,
    status: dict[str, Any] | None,
    out_domains: list[str],
) -> list[object]:
    """Returns a node's row of the table.

    Args:
        member: What the given nodes know of the node.
        status: What the node reported itself, which takes precedence.
        out_domains: The failure domains out of service.
    """
    node = {**(member or {}), **(status or {})}
    state = "serving" if node["is_serving"] else "not serving"
    if node["failure_domain"] in out_domains:
        state = "out"
    if node["is_leaving"]:
        state = "leaving"
    if not node.get("is_heard", True):
        state = "silent"
    row = [node["node_id"], node["failure_domain"], state, node["revision"]]
    if status is None:
        return [*row, *[UNKNOWN_CELL] * 5]
    return [
        *row,
        "yes" if status["has_lease"] else "no",
        status["held_count"],
        status["claiming_count"],
        status["active_count"],
        status["outstanding_count"],
    ]
