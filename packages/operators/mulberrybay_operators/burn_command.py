"""The command `report burn`, which sums and shows the counts of all nodes."""

import pathlib
import time
from typing import Any, Final, NamedTuple

from expression import Error, Ok, Result

from mulberrybay_core.burn import ClassBurn, ObjectiveBurn, evaluate_class
from mulberrybay_core.burn_merge import merge_nodes, rank_domains
from mulberrybay_core.operator_messages import NodeBurn
from mulberrybay_operators.burn_codec import decode_node_burn
from mulberrybay_operators.command_line import ReportBurn
from mulberrybay_operators.exit_codes import CommandFailure, ExitCode
from mulberrybay_operators.node_finder import (
    ClusterResponses,
    MissingNode,
    NodeFinder,
    describe_missing,
)
from mulberrybay_operators.outputs import CommandResult, Output, Session
from mulberrybay_operators.tables import format_table


class BurnReport(NamedTuple):
    """The service-level burn over the nodes that were asked.

    Attributes:
        at_s: The Unix time when the report was made.
        nodes: The counts of each node that answered.
        node_count: The number of known nodes, whether or not they answered.
        silent: Nodes and addresses without usable counts, or not asked; named
            as the key of the report's JSON.
        classes: The sums over the nodes for each class of work.
    """

    at_s: float
    nodes: tuple[NodeBurn, ...]
    node_count: int
    silent: tuple[MissingNode, ...]
    classes: tuple[ClassBurn, ...]


def report_burn(session: Session, command: ReportBurn) -> CommandResult:
    """Shows the service-level burn of all nodes together."""
    match _fetch_report(session, only_given=command.only):
        case Result(tag="ok", ok=report) if report.nodes:
            return _write_report(report, command.html)
        case Result(tag="ok", ok=report):
            detail = f"no usable counts: {describe_missing(report.silent)}"
            return Error(CommandFailure(ExitCode.FAILED, detail))
        case Result(error=failure):
            return Error(failure)


def _write_report(
    report: BurnReport, page_path: pathlib.Path | None
) -> CommandResult:
    text = format_report(report)
    if page_path is not None:
        # Imported here since matplotlib loads slowly and only the page uses it.
        from mulberrybay_operators.burn_page import (  # noqa: PLC0415
            render_page,
        )

        try:
            page_path.write_text(render_page(report), encoding="utf-8")
        except OSError as error:
            return Error(CommandFailure(ExitCode.FAILED, str(error)))
        text = f"{text}\nwritten: {page_path}"
    return Ok(Output(text, encode_report(report)))


def _fetch_report(
    session: Session, *, only_given: bool
) -> Result[BurnReport, CommandFailure]:
    finder = NodeFinder(session.client)
    return finder.fetch_from_nodes("/v1/burn", only_given=only_given).map(
        _merge_responses
    )


def _merge_responses(responses: ClusterResponses) -> BurnReport:
    nodes = []
    silent = list(responses.silent)
    for node_id, document in sorted(responses.documents.items()):
        match decode_node_burn(document):
            case Result(tag="ok", ok=burn):
                nodes.append(burn)
            case Result(error=detail):
                silent.append(MissingNode(node_id, detail))
    return BurnReport(
        at_s=time.time(),
        nodes=tuple(nodes),
        node_count=len(responses.members | responses.documents),
        silent=tuple(silent),
        classes=merge_nodes(nodes),
    )


def counts_since(report: BurnReport, node: NodeBurn) -> str:
    """Returns the UTC time when a node started to count.

    A node's counts start again at 0 when it restarts.
    """
    counting_since_s = report.at_s - node.uptime_s
    return time.strftime("%Y-%m-%dT%H:%M:%SZ", time.gmtime(counting_since_s))


def node_rows(report: BurnReport) -> list[list[str]]:
    """Returns a table row for each node that the report covers."""
    return [
        [
            node.node_id,
            counts_since(report, node),
            f"{node.uptime_s:.0f} s",
            str(node.revision),
        ]
        for node in report.nodes
    ]


def encode_report(report: BurnReport) -> dict[str, Any]:
    """Returns the report as JSON."""
    return {
        "nodes": [
            {
                "node_id": node.node_id,
                "uptime_s": node.uptime_s,
                "counts_since": counts_since(report, node),
                "revision": node.revision,
            }
            for node in report.nodes
        ],
        "node_count": report.node_count,
        "silent": [str(node) for node in report.silent],
        "classes": [
            {
                "name": item.name,
                "since_start": item.since_start._asdict(),
                "objectives": [
                    _encode_objective(burn) for burn in evaluate_class(item)
                ],
                "failure_domains": dict(rank_domains(item.contributors)),
                "contributors": [x._asdict() for x in item.contributors],
            }
            for item in report.classes
        ],
    }


def _encode_objective(burn: ObjectiveBurn) -> dict[str, Any]:
    return {
        **burn._asdict(),
        "objective": burn.objective.value,
        "state": burn.state.value,
    }


def objective_rows(item: ClassBurn) -> list[list[str]]:
    """Returns a table row for each objective of a class."""
    return [
        [
            item.name,
            burn.objective.value,
            burn.target,
            f"{burn.bad_percent:.3f} %",
            f"{burn.spent_percent:.1f} %",
            f"{burn.short_rate:.2f}",
            f"{burn.long_rate:.2f}",
            burn.state.value,
        ]
        for burn in evaluate_class(item)
    ]


OBJECTIVE_HEADINGS: Final = (
    "CLASS",
    "OBJECTIVE",
    "TARGET",
    "BAD",
    "BUDGET SPENT",
    "RATE 5 min",
    "RATE 1 h",
    "STATE",
)
NODE_HEADINGS: Final = ("NODE", "COUNTS SINCE", "FOR", "REVISION")
CONTRIBUTOR_HEADINGS: Final = (
    "CLASS",
    "BACKEND SERVER",
    "DOMAIN",
    "SLOW",
    "FAILED",
)


def contributor_rows(item: ClassBurn) -> list[list[object]]:
    """Returns a table row for each of the worst backend servers of a class."""
    return [[item.name, *contributor] for contributor in item.contributors]


def describe_scope(report: BurnReport) -> str:
    """Returns a text on how many nodes the report covers, and which not."""
    text = f"{len(report.nodes)} of {report.node_count} nodes covered"
    if report.silent:
        text += f"; NOT covered: {describe_missing(report.silent)}"
    return text


def format_report(report: BurnReport) -> str:
    """Returns the report as text with tables."""
    rows = [row for item in report.classes for row in objective_rows(item)]
    worst = [row for item in report.classes for row in contributor_rows(item)]
    domains = [
        f"{item.name}: "
        + ", ".join(f"{d} {n}" for d, n in rank_domains(item.contributors))
        for item in report.classes
        if item.contributors
    ]
    lines = [
        describe_scope(report),
        format_table(NODE_HEADINGS, node_rows(report)),
        "",
        format_table(OBJECTIVE_HEADINGS, rows),
    ]
    if worst:
        lines += ["", format_table(CONTRIBUTOR_HEADINGS, worst)]
        lines += ["", "bad attempts by failure domain", *domains]
    return "\n".join(lines)
