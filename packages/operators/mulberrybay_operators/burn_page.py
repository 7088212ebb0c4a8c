"""The service-level report as an HTML page without external resources."""

import base64
import html
import io
from collections.abc import Sequence
from typing import Any, Final

from matplotlib.figure import Figure

from mulberrybay_core.burn import (
    SERIES_STEP_S,
    ClassBurn,
    Objective,
    burn_rate,
    evaluate_class,
)
from mulberrybay_core.burn_merge import rank_domains
from mulberrybay_operators.burn_command import (
    CONTRIBUTOR_HEADINGS,
    NODE_HEADINGS,
    OBJECTIVE_HEADINGS,
    BurnReport,
    contributor_rows,
    describe_scope,
    node_rows,
    objective_rows,
)

FIGURE_WIDTH_IN: Final = 9.0
ROW_HEIGHT_IN: Final = 2.6
COLOURS: Final = {
    Objective.LATENESS: "#b03060",
    Objective.COVERAGE: "#2060a0",
    Objective.EXTRA_LOAD: "#608020",
}
STYLE: Final = """
body { font: 15px/1.45 sans-serif; margin: 2em auto; max-width: 62em; }
table { border-collapse: collapse; margin: 1em 0; }
th, td { border-bottom: 1px solid #ccc; padding: .25em .8em; text-align: left; }
td.burning { background: #fff0c0; }
td.burning_fast { background: #ffd0d0; }
img { max-width: 100%; }
"""


def render_page(report: BurnReport) -> str:
    """Returns the page as HTML with embedded plots."""
    objectives = [
        row for item in report.classes for row in objective_rows(item)
    ]
    sections = [
        f"<p>{html.escape(describe_scope(report))}</p>",
        _render_table(NODE_HEADINGS, node_rows(report)),
        _render_table(OBJECTIVE_HEADINGS, objectives),
        _render_image(draw_report(report.classes)),
    ]
    for item in report.classes:
        if item.contributors:
            domains = ", ".join(
                f"{name} {count}"
                for name, count in rank_domains(item.contributors)
            )
            sections += [
                f"<h2>{html.escape(item.name)}: worst backend servers</h2>",
                _render_table(CONTRIBUTOR_HEADINGS, contributor_rows(item)),
                f"<p>By failure domain: {html.escape(domains)}</p>",
            ]
    body = "\n".join(sections)
    return (
        '<!doctype html>\n<html lang="en">\n<head>\n<meta charset="utf-8">\n'
        f"<title>Service-level burn</title>\n<style>{STYLE}</style>\n"
        f"</head>\n<body>\n<h1>Service-level burn</h1>\n{body}\n"
        "</body>\n</html>\n"
    )


def _render_table(
    headings: Sequence[str], rows: Sequence[Sequence[object]]
) -> str:
    head = "".join(f"<th>{html.escape(text)}</th>" for text in headings)
    lines = [f"<tr>{head}</tr>"]
    for row in rows:
        cells = []
        for cell in row:
            text = html.escape(str(cell))
            class_attribute = (
                f' class="{text}"' if text.startswith("burning") else ""
            )
            cells.append(f"<td{class_attribute}>{text}</td>")
        lines.append(f"<tr>{''.join(cells)}</tr>")
    return "<table>\n" + "\n".join(lines) + "\n</table>"


def _render_image(figure: Figure) -> str:
    image_file = io.BytesIO()
    figure.savefig(image_file, format="png", dpi=110)
    text = base64.b64encode(image_file.getvalue()).decode()
    return (
        '<img alt="Burn rate over the last hour and budget spent, by class" '
        f'src="data:image/png;base64,{text}">'
    )


def draw_report(classes: Sequence[ClassBurn]) -> Figure:
    """Returns a row of plots for each class: burn rates and budget spent."""
    row_count = max(1, len(classes))
    figure = Figure(
        figsize=(FIGURE_WIDTH_IN, ROW_HEIGHT_IN * row_count),
        layout="constrained",
    )
    grid = figure.subplots(
        row_count, 2, squeeze=False, width_ratios=(2.4, 1), sharex="col"
    )
    spent = [
        burn.spent_percent for item in classes for burn in evaluate_class(item)
    ]
    limit_percent = 1.2 * max(100.0, *spent) if spent else 120.0
    for item, (rates, budget) in zip(classes, grid, strict=False):
        _draw_rates(rates, item)
        _draw_budget(budget, item, limit_percent)
    if classes:
        grid[0][0].legend(loc="upper left", fontsize="small")
        grid[-1][0].set_xlabel("minutes (0 is now)")
        grid[-1][1].set_xlabel("% of the budget")
    return figure


def _draw_rates(axes: Any, item: ClassBurn) -> None:  # noqa: ANN401
    step_min = SERIES_STEP_S / 60
    ages_min = [-step_min * x for x in range(len(item.series) - 1, -1, -1)]
    for burn in evaluate_class(item):
        rates = [
            burn_rate(burn.objective, item.targets, step)
            if step.answer_count
            else float("nan")
            for step in item.series
        ]
        axes.plot(
            ages_min,
            rates,
            marker=".",
            color=COLOURS[burn.objective],
            label=burn.objective.value,
        )
    axes.axhline(1, color="#888", linewidth=0.8, linestyle="--")
    axes.set_xlim(ages_min[0], 1)
    axes.set_ylim(bottom=0)
    axes.set_ylabel("burn rate")
    axes.set_title(f"{item.name}: burn rate, by minute", fontsize="medium")


def _draw_budget(axes: Any, item: ClassBurn, limit_percent: float) -> None:  # noqa: ANN401
    burns = evaluate_class(item)
    names = [burn.objective.value for burn in burns]
    spent = [burn.spent_percent for burn in burns]
    colours = [COLOURS[burn.objective] for burn in burns]
    bars = axes.barh(names, spent, color=colours)
    axes.bar_label(bars, fmt="%.0f %%", padding=3, fontsize="small")
    axes.axvline(100, color="#888", linewidth=0.8, linestyle="--")
    axes.set_ylim(len(Objective) - 0.5, -0.5)
    axes.set_xlim(0, limit_percent)
    axes.set_title("budget spent", fontsize="medium")
