"""The command `status`: what every node says of itself."""

from typing import Any, Final

from mulberrybay_operators.command_line import Status
from mulberrybay_operators.node_finder import (
    NodeAnswers,
    NodeFinder,
    SilentNode,
)
from mulberrybay_operators.outputs import CommandResult, Output, Session
from mulberrybay_operators.tables import format_table

NODE_HEADINGS: Final = (
    *("NODE", "DOMAIN", "STATE", "REVISION", "LEASE"),
    *("HELD", "CLAIMING", "REQUESTS", "ATTEMPTS"),
)
DRAIN_HEADINGS: Final = ("NODE", "DRAINING SERVER", "DOMAIN", "OUTSTANDING")
NOT_KNOWN: Final = "?"


def show_status(session: Session, command: Status) -> CommandResult:
    """Shows every node, and names those that did not answer."""
    # This one is asked again until a node answers or the time is over.
    return session.client.read_document("/v1/configuration").bind(
        lambda configuration: (
            NodeFinder(session.client)
            .ask_nodes("/v1/status", only_given=command.only)
            .map(lambda answers: _describe_status(answers, configuration))
        )
    )


def _describe_status(
    answers: NodeAnswers, configuration: dict[str, Any]
) -> Output:
    statuses = list(answers.documents.values())
    silent = [str(node) for node in (*answers.silent, *_find_unknown(answers))]
    out = configuration["out_domains"] + configuration["out_servers"]
    lines = [
        f"revision {configuration['revision']} in force; "
        f"out of service: {', '.join(out) or 'nothing'}",
        format_table(
            NODE_HEADINGS, _status_rows(answers, configuration["out_domains"])
        ),
    ]
    drains = [
        [status["node_id"], *drain.values()]
        for status in statuses
        for drain in status["drains"]
    ]
    if drains:
        lines += ["", format_table(DRAIN_HEADINGS, drains)]
    lost = [x["node_id"] for x in statuses if x.get("is_platform_lost")]
    if lost:
        lines.append(f"platform lost at {', '.join(sorted(lost))}")
    lines += [f"no answer: {text}" for text in silent]
    document = {
        "revision": configuration["revision"],
        "nodes": list(answers.members.values()),
        "statuses": statuses,
        "silent": silent,
        "out_domains": configuration["out_domains"],
        "out_servers": configuration["out_servers"],
    }
    return Output("\n".join(lines), document)


def _find_unknown(answers: NodeAnswers) -> list[SilentNode]:
    """Returns the nodes that only others than the given nodes know."""
    found: dict[str, SilentNode] = {}
    for node_id, status in answers.documents.items():
        for member_id in status["members"]:
            if member_id not in answers.members | answers.documents:
                detail = f"only {node_id} knows it"
                found.setdefault(member_id, SilentNode(member_id, detail))
    return list(found.values())


def _status_rows(
    answers: NodeAnswers, out_domains: list[str]
) -> list[list[object]]:
    node_ids = sorted(answers.members | answers.documents)
    return [
        _status_row(
            answers.members.get(node_id),
            answers.documents.get(node_id),
            out_domains,
        )
        for node_id in node_ids
    ]


def _status_row(
    seen: dict[str, Any] | None,
    own: dict[str, Any] | None,
    out_domains: list[str],
) -> list[object]:
    """Returns a node's row: its own word if it gave it, else another's."""
    node = {**(seen or {}), **(own or {})}
    state = "serving" if node["is_serving"] else "not serving"
    if node["failure_domain"] in out_domains:
        state = "out"
    if node["is_leaving"]:
        state = "leaving"
    if not node.get("is_heard", True):
        state = "silent"
    row = [node["node_id"], node["failure_domain"], state, node["revision"]]
    if own is None:
        return [*row, *[NOT_KNOWN] * 5]
    return [
        *row,
        "yes" if own["has_lease"] else "no",
        own["held_count"],
        own["claiming_count"],
        own["active_count"],
        own["outstanding_count"],
    ]
