"""Each alert reads metrics that exist and says what to do."""

import pathlib
import re

from mulberrybay_daemon.node_metrics import NodeMetrics
from mulberrybay_runtime.metrics import PREFIX

DOCS = pathlib.Path(__file__).parents[1] / "docs"
ALERT = re.compile(r"^\| ([a-z ]+) \| `(.+?)`", re.MULTILINE)
METRIC = re.compile(rf"{PREFIX}(\w+)(?:{{(\w+)=\"(\w+)\"}})?")
HANDLED = re.compile(r"^\| (alert [^|]+)\|[^|]+\|([^|]+)\|", re.MULTILINE)
NAME = re.compile(r"`([a-z ]+)`")


def read_alerts() -> dict[str, str]:
    """Returns the expressions of the alerts by name."""
    page = (DOCS / "METRICS.md").read_text(encoding="utf-8")
    return dict(ALERT.findall(page.partition("## Alerts")[2]))


def test_alerts_read_metrics_and_labels_that_exist() -> None:
    specs = {
        f"{spec.name}{'_total' if spec.kind == 'counter' else ''}": spec
        for spec in NodeMetrics.specs
    }
    alerts = read_alerts()
    assert len(alerts) >= 13
    for alert, expression in alerts.items():
        found = METRIC.findall(expression)
        assert found, alert
        for name, label, _ in found:
            assert name in specs, f"{alert}: {name}"
            assert label in ("", *specs[name].labels), f"{alert}: {label}"


def test_every_alert_says_what_to_do() -> None:
    page = (DOCS / "OPERATORS.md").read_text(encoding="utf-8")
    handled = {
        name: action.strip()
        for cell, action in HANDLED.findall(page)
        for name in NAME.findall(cell)
    }
    for alert in read_alerts():
        assert len(handled.get(alert, "")) > 10, alert


def test_names_follow_the_conventions_of_prometheus() -> None:
    """A counter gets _total when it is scraped; no unit is shortened."""
    for spec in NodeMetrics.specs:
        assert re.fullmatch(r"[a-z][a-z0-9_]*[a-z0-9]", spec.name), spec.name
        assert not spec.name.endswith(("_total", "_count", "_ms")), spec.name
        assert len(spec.labels) <= 3, spec.name
