"""Checks that documented alerts use existing metrics and have an action."""

import pathlib
import re

from mulberrybay_daemon.node_metrics import NodeMetrics
from mulberrybay_runtime.metrics import PREFIX

DOCS = pathlib.Path(__file__).parents[1] / "docs"
ALERT_ROW = re.compile(r"^\| ([a-z ]+) \| `(.+?)`", re.MULTILINE)
METRIC_REFERENCE = re.compile(rf"{PREFIX}(\w+)(?:{{(\w+)=\"(\w+)\"}})?")
ACTION_ROW = re.compile(r"^\| (alert [^|]+)\|[^|]+\|([^|]+)\|", re.MULTILINE)
ALERT_NAME = re.compile(r"`([a-z ]+)`")


def read_alerts() -> dict[str, str]:
    """Returns the expression of each alert by the alert's name."""
    page = (DOCS / "METRICS.md").read_text(encoding="utf-8")
    return dict(ALERT_ROW.findall(page.partition("## Alerts")[2]))


def test_alerts_use_existing_metrics_and_labels() -> None:
    specs = {
        f"{spec.name}{'_total' if spec.kind == 'counter' else ''}": spec
        for spec in NodeMetrics.specs
    }
    alerts = read_alerts()
    assert len(alerts) >= 13
    for alert, expression in alerts.items():
        references = METRIC_REFERENCE.findall(expression)
        assert references, alert
        for name, label, _ in references:
            assert name in specs, f"{alert}: {name}"
            assert label in ("", *specs[name].labels), f"{alert}: {label}"


def test_operators_page_has_an_action_for_every_alert() -> None:
    page = (DOCS / "OPERATORS.md").read_text(encoding="utf-8")
    actions = {
        name: action.strip()
        for cell, action in ACTION_ROW.findall(page)
        for name in ALERT_NAME.findall(cell)
    }
    for alert in read_alerts():
        assert len(actions.get(alert, "")) > 10, alert


def test_metric_names_follow_prometheus_conventions() -> None:
    """Units aren't abbreviated; the scrape adds `_total` to counters."""
    for spec in NodeMetrics.specs:
        assert re.fullmatch(r"[a-z][a-z0-9_]*[a-z0-9]", spec.name), spec.name
        assert not spec.name.endswith(("_total", "_count", "_ms")), spec.name
        assert len(spec.labels) <= 3, spec.name
