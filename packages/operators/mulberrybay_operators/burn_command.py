"""The command `report burn`: adds the nodes up and prints or plots."""

from typing import Any, Final, NamedTuple

from expression import Error, Ok, Result

from mulberrybay_core.burn import ClassBurn, ObjectiveBurn, judge_class
from mulberrybay_core.burn_merge import merge_classes, rank_domains
from mulberrybay_core.operator_messages import NodeBurn
from mulberrybay_operators.burn_codec import decode_node_burn
from mulberrybay_operators.command_line import ReportBurn
from mulberrybay_operators.exit_codes import CommandFailure, ExitCode
from mulberrybay_operators.node_client import NodeRequest
from mulberrybay_operators.outputs import CommandResult, Output, Session
from mulberrybay_operators.tables import format_table

BURN_TIMEOUT_S: Final = 3.0


class BurnReport(NamedTuple):
    """The service-level burn over the nodes that were asked.

    Attributes:
        nodes: What each node counted.
        silent: Nodes that gave no answer or were not asked.
        classes: The sums, by class of work.
    """

    nodes: tuple[NodeBurn, ...]
    silent: tuple[str, ...]
    classes: tuple[ClassBurn, ...]


def report_burn(session: Session, command: ReportBurn) -> CommandResult:
    """Shows the service-level burn of the given nodes together."""
    report = _collect(session)
    if not report.nodes:
        detail = "no node answered: " + "; ".join(report.silent)
        return Error(CommandFailure(ExitCode.FAILED, detail))
    document = encode_report(report)
    text = format_report(report)
    if command.html is not None:
        # matplotlib takes long to load and only the page needs it.
        from mulberrybay_operators.burn_page import (  # noqa: PLC0415
            render_page,
        )

        try:
            command.html.write_text(render_page(report), encoding="utf-8")
        except OSError as error:
            return Error(CommandFailure(ExitCode.FAILED, str(error)))
        text = f"{text}\nwritten: {command.html}"
    return Ok(Output(text, document))


def _collect(session: Session) -> BurnReport:
    nodes = []
    silent = []
    request = NodeRequest("GET", "/v1/burn")
    for address in session.client.addresses:
        match session.client.ask(address, request, BURN_TIMEOUT_S):
            case Result(tag="ok", ok=answer) if answer.status == 200:
                match decode_node_burn(answer.json()):
                    case Result(tag="ok", ok=burn):
                        nodes.append(burn)
                    case Result(error=detail):
                        silent.append(f"{address}: {detail}")
            case Result(tag="ok", ok=answer):
                silent.append(answer.describe())
            case Result(error=no_answer):
                silent.append(no_answer.detail)
    silent += _find_unasked(session, {node.node_id for node in nodes})
    classes = merge_classes(item for node in nodes for item in node.classes)
    return BurnReport(tuple(nodes), tuple(silent), classes)


def _find_unasked(session: Session, asked_ids: set[str]) -> list[str]:
    """Returns the nodes that the cluster has and that were not asked."""
    request = NodeRequest("GET", "/v1/cluster")
    for address in session.client.addresses:
        match session.client.ask(address, request, BURN_TIMEOUT_S):
            case Result(tag="ok", ok=answer) if answer.status == 200:
                return [
                    f"{node['node_id']} (not named with --node)"
                    for node in answer.json()["nodes"]
                    if node["node_id"] not in asked_ids
                ]
            case _:
                pass
    return []


def encode_report(report: BurnReport) -> dict[str, Any]:
    """Returns the report for programs."""
    return {
        "nodes": [
            {"node_id": node.node_id, "uptime_s": node.uptime_s}
            for node in report.nodes
        ],
        "silent": list(report.silent),
        "classes": [
            {
                "name": item.name,
                "since_start": item.since_start._asdict(),
                "objectives": [
                    _encode_objective(burn) for burn in judge_class(item)
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
    """Returns the rows of a class for tables."""
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
        for burn in judge_class(item)
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
CONTRIBUTOR_HEADINGS: Final = (
    "CLASS",
    "BACKEND SERVER",
    "DOMAIN",
    "SLOW",
    "FAILED",
)


def contributor_rows(item: ClassBurn) -> list[list[object]]:
    """Returns the worst backend servers of a class for tables."""
    return [[item.name, *contributor] for contributor in item.contributors]


def describe_scope(report: BurnReport) -> str:
    """Returns which nodes the report covers and since when."""
    longest_s = max(node.uptime_s for node in report.nodes)
    names = ", ".join(node.node_id for node in report.nodes)
    text = f"nodes {names}; bad and spent since at most {longest_s:.0f} s ago"
    if report.silent:
        text += f"; NOT covered: {'; '.join(report.silent)}"
    return text


def format_report(report: BurnReport) -> str:
    """Returns the report for people."""
    rows = [row for item in report.classes for row in objective_rows(item)]
    worst = [row for item in report.classes for row in contributor_rows(item)]
    domains = [
        f"{item.name}: "
        + ", ".join(f"{d} {n}" for d, n in rank_domains(item.contributors))
        for item in report.classes
        if item.contributors
    ]
    lines = [describe_scope(report), format_table(OBJECTIVE_HEADINGS, rows)]
    if worst:
        lines += ["", format_table(CONTRIBUTOR_HEADINGS, worst)]
        lines += ["", "bad attempts by failure domain", *domains]
    return "\n".join(lines)
