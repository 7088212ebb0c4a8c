"""Runs the command line `mulberrybay` against a running deployment."""

import json
import os
import subprocess
import sys
from collections.abc import Callable, Iterator
from pathlib import Path

import pytest

from mulberrybay_testing.deployment import Deployment
from mulberrybay_testing.waiting import wait_until

PROGRAM = Path(sys.executable).with_name("mulberrybay")
EXAMPLES = Path(__file__).parents[1] / "packages" / "operators" / "examples"
COMMAND_TIMEOUT_S = 30
# Programs of a deployment never listen on ports below 1024.
CLOSED_PORT = 1


@pytest.fixture(scope="module")
def deployment(
    tmp_path_factory: pytest.TempPathFactory,
) -> Iterator[Deployment]:
    """A platform, backend servers and three nodes."""
    with Deployment(tmp_path_factory.mktemp("commands")) as running:
        yield running


def run_command(
    deployment: Deployment, *arguments: str
) -> subprocess.CompletedProcess[str]:
    ports = [node.operator_port for node in deployment.nodes]
    # The first address refuses connections, so commands must try the others.
    addresses = [f"127.0.0.1:{port}" for port in (CLOSED_PORT, *ports)]
    return subprocess.run(
        [str(PROGRAM), *arguments],
        env={
            **os.environ,
            "MULBERRYBAY_NODES": ",".join(addresses),
            "MULBERRYBAY_TOKEN": "test-token",
            "MULBERRYBAY_OPERATOR": "amina",
        },
        capture_output=True,
        text=True,
        timeout=COMMAND_TIMEOUT_S,
        check=False,
    )


def run_json(deployment: Deployment, *arguments: str) -> dict[str, object]:
    completed = run_command(deployment, *arguments, "--json")
    assert completed.returncode == 0, completed.stderr
    document: dict[str, object] = json.loads(completed.stdout)
    return document


def test_burn_report_counts_late_answers_and_names_slow_servers(
    deployment: Deployment, tmp_path: Path
) -> None:
    page = tmp_path / "burn.html"
    slow_ids = [vm["vm_id"] for vm in deployment.backends[:2]]
    deployment.control_backends({"vm_ids": slow_ids}, slow_factor=1000)
    for number in range(6):
        node = deployment.nodes[number % 3]
        deployment.query(node, body=number, deadline_ms=300)
    deployment.control_backends({"vm_ids": slow_ids}, slow_factor=1)
    report = run_json(deployment, "report", "burn", "--html", str(page))
    class_report = report["classes"][0]  # type: ignore[index]
    objectives = {x["objective"]: x for x in class_report["objectives"]}
    contributor_ids = {x["server_id"] for x in class_report["contributors"]}
    text = page.read_text(encoding="utf-8")
    node_address = f"127.0.0.1:{deployment.nodes[0].operator_port}"
    single = run_json(
        deployment, "report", "burn", "--node", node_address, "--only"
    )
    all_nodes = run_json(deployment, "report", "burn", "--node", node_address)
    assert [str(x).split()[0] for x in single["silent"]] == ["node-2", "node-3"]  # type: ignore[attr-defined]
    assert len(report["silent"]) == 1  # type: ignore[arg-type]
    assert all_nodes["silent"] == []
    assert all_nodes["classes"][0]["since_start"] == class_report["since_start"]  # type: ignore[index]
    assert class_report["since_start"]["answer_count"] == 6
    assert class_report["since_start"]["missing_count"] == 6
    assert objectives["coverage"]["state"] == "burning_fast"
    assert objectives["lateness"]["bad_percent"] == 100
    assert contributor_ids >= set(slow_ids)
    assert "data:image/png;base64," in text
    assert "http" not in text


def test_one_node_reports_all_nodes_and_when_their_counts_began(
    deployment: Deployment,
) -> None:
    node_address = f"127.0.0.1:{deployment.nodes[0].operator_port}"
    arguments = ("report", "burn", "--node", node_address)
    before = run_json(deployment, *arguments)
    assert deployment.nodes[2].process.terminate() == 0
    without_node = run_json(deployment, *arguments)
    deployment.restart_node(2)
    deployment.wait_serving()
    after = run_json(deployment, *arguments)
    status = run_json(deployment, "status", "--node", node_address)
    assert [x["node_id"] for x in before["nodes"]] == [  # type: ignore[attr-defined]
        *("node-1", "node-2", "node-3")
    ]
    assert [str(x).split()[0] for x in without_node["silent"]] == ["node-3"]  # type: ignore[attr-defined]
    assert after["silent"] == []
    since = [x["counts_since"] for x in after["nodes"]]  # type: ignore[attr-defined]
    assert since[2] > max(since[:2])
    assert status["silent"] == []
    assert [x["node_id"] for x in status["statuses"]] == [  # type: ignore[attr-defined]
        *("node-1", "node-2", "node-3")
    ]


def test_configuration_file_is_compared_and_applied(
    deployment: Deployment,
) -> None:
    path = str(EXAMPLES / "ikirezi.toml")
    before = run_json(deployment, "config", "show")
    diff_before = run_command(deployment, "config", "diff", path)
    applied = run_json(deployment, "config", "apply", path)
    applied_again = run_json(deployment, "config", "apply", path)
    diff_after = run_command(deployment, "config", "diff", path)
    old_revision = str(before["revision"])
    conflict = run_command(
        deployment, "config", "apply", path, "--expect", old_revision
    )
    assert diff_before.returncode == 5
    assert "+ courier-desk" in diff_before.stdout
    assert applied["revision"] == int(old_revision) + 1
    assert applied["unconfirmed"] == []
    assert applied["node_count"] == 3
    assert applied_again["outcome"] == "unchanged"
    assert diff_after.returncode == 0
    assert conflict.returncode == 3
    assert [deployment.status(n)["revision"] for n in deployment.nodes] == [
        applied["revision"]
    ] * 3


def test_node_that_does_not_confirm_a_change_is_reported(
    deployment: Deployment,
) -> None:
    deployment.nodes[2].process.freeze()
    completed = run_command(deployment, "domain", "out", "d1", "--timeout", "4")
    deployment.nodes[2].process.thaw()
    assert completed.returncode == 4, completed.stderr
    assert "node-3 (revision" in completed.stdout
    assert "in force at 2 of 3 nodes" in completed.stderr
    restored = run_json(deployment, "domain", "in", "d1")
    assert restored["unconfirmed"] == []


def test_change_during_a_platform_outage_is_reported_as_not_accepted(
    deployment: Deployment,
) -> None:
    deployment.control_platform(outage="unavailable")
    completed = run_command(deployment, "domain", "out", "d1", "--timeout", "4")
    deployment.control_platform(outage=None)
    stored = deployment.get_object("configuration", "current").json()["value"]
    assert completed.returncode == 1, completed.stderr
    assert "not accepted" in completed.stderr
    assert stored["out_domains"] == []


def test_status_shows_a_platform_outage_and_its_end(
    deployment: Deployment,
) -> None:
    names = ["node-1", "node-2", "node-3"]
    expected_text = f"platform lost at {', '.join(names)}"
    deployment.control_platform(outage="unavailable")
    wait_for_status(deployment, lambda text: expected_text in text)
    deployment.control_platform(outage=None)
    wait_for_status(deployment, lambda text: "lost" not in text)


def wait_for_status(
    deployment: Deployment, condition: Callable[[str], bool]
) -> None:
    def is_shown() -> bool:
        completed = run_command(deployment, "status")
        return completed.returncode == 0 and condition(completed.stdout)

    wait_until(is_shown, COMMAND_TIMEOUT_S, "a status")


def test_node_is_upgraded_as_documented_for_operators(
    deployment: Deployment,
) -> None:
    assert deployment.nodes[1].process.terminate() == 0
    without_node = run_json(deployment, "status")
    change_without_node = run_command(
        deployment, "domain", "out", "d1", "--timeout", "3"
    )
    deployment.restart_node(1, "upgraded")
    restored = run_json(deployment, "domain", "in", "d1")
    wait_for_status(deployment, all_serve_without_claims)
    assert change_without_node.returncode == 4, change_without_node.stderr
    # node-2 was stopped before the two changes, so its last known revision is
    # 2 lower.
    revision = int(str(restored["revision"])) - 2
    assert f"node-2 (revision {revision}, silent)" in change_without_node.stdout
    assert restored["unconfirmed"] == []
    assert (
        deployment.status(deployment.nodes[1])["revision"]
        == (restored["revision"])
    )
    assert [str(x).split()[0] for x in without_node["silent"]][-1] == "node-2"  # type: ignore[attr-defined]
    assert run_command(deployment, "status").returncode == 0


def all_serve_without_claims(text: str) -> bool:
    rows = [line.split() for line in text.splitlines() if "node-" in line]
    states = {row[0]: (row[2], row[6]) for row in rows if len(row) > 6}
    return states == dict.fromkeys(
        ("node-1", "node-2", "node-3"), ("serving", "0")
    )


@pytest.mark.parametrize(
    ("arguments", "code", "text"),
    [
        (["status"], 0, "node-2"),
        (["audit", "--count", "1"], 0, "amina"),
        (["addresses", "--failure-domain", "d3"], 0, "node-3  d3"),
        (["report", "burn"], 0, "OBJECTIVE"),
        (["config", "show", "--toml"], 0, "[[class]]"),
        (["--completion", "generate"], 0, "mulberrybay"),
        (["domain", "out", "d9"], 2, "known: d1, d2, d3"),
        (["config", "validate", "/nonexistent"], 2, "No such file"),
        (["config", "rewrite"], 2, "rewrite"),
        (["status", "--node", "nowhere"], 2, "not HOST:PORT"),
        (["status", "--token", "wrong"], 1, "401"),
        (["audit", "--count", "60"], 2, "1 to 50"),
        (["query", "no-such-class", '"x"'], 1, "404"),
    ],
)
def test_exit_codes_and_output(
    deployment: Deployment, arguments: list[str], code: int, text: str
) -> None:
    completed = run_command(deployment, *arguments)
    assert completed.returncode == code, completed.stderr
    assert text in completed.stdout + completed.stderr
