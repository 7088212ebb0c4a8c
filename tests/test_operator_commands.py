"""The program `mulberrybay` against a running deployment."""

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
TIMEOUT_S = 30
# No program of a deployment listens below 1024.
CLOSED_PORT = 1


@pytest.fixture(scope="module")
def deployment(
    tmp_path_factory: pytest.TempPathFactory,
) -> Iterator[Deployment]:
    """A platform, backend servers and three nodes."""
    with Deployment(tmp_path_factory.mktemp("commands")) as running:
        yield running


def start_command(
    deployment: Deployment, *arguments: str
) -> subprocess.CompletedProcess[str]:
    ports = [node.operator_port for node in deployment.nodes]
    # The first address refuses connections: the others must do.
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
        timeout=TIMEOUT_S,
        check=False,
    )


def run_json(deployment: Deployment, *arguments: str) -> dict[str, object]:
    done = start_command(deployment, *arguments, "--json")
    assert done.returncode == 0, done.stderr
    document: dict[str, object] = json.loads(done.stdout)
    return document


def test_burn_names_late_answers_and_the_servers_to_blame(
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
    item = report["classes"][0]  # type: ignore[index]
    objectives = {x["objective"]: x for x in item["objectives"]}
    worst = {x["server_id"] for x in item["contributors"]}
    text = page.read_text(encoding="utf-8")
    only_one = f"127.0.0.1:{deployment.nodes[0].operator_port}"
    part = run_json(deployment, "report", "burn", "--node", only_one, "--only")
    found = run_json(deployment, "report", "burn", "--node", only_one)
    assert [str(x).split()[0] for x in part["silent"]] == ["node-2", "node-3"]  # type: ignore[attr-defined]
    assert len(report["silent"]) == 1  # type: ignore[arg-type]
    assert found["silent"] == []
    assert found["classes"][0]["since_start"] == item["since_start"]  # type: ignore[index]
    assert item["since_start"]["answer_count"] == 6
    assert item["since_start"]["missing_count"] == 6
    assert objectives["coverage"]["state"] == "burning_fast"
    assert objectives["lateness"]["bad_percent"] == 100
    assert worst >= set(slow_ids)
    assert "data:image/png;base64," in text
    assert "http" not in text


def test_one_node_shows_all_and_since_when_a_restarted_one_counts(
    deployment: Deployment,
) -> None:
    one = f"127.0.0.1:{deployment.nodes[0].operator_port}"
    arguments = ("report", "burn", "--node", one)
    before = run_json(deployment, *arguments)
    assert deployment.nodes[2].process.terminate() == 0
    without = run_json(deployment, *arguments)
    deployment.restart_node(2)
    deployment.wait_serving()
    after = run_json(deployment, *arguments)
    status = run_json(deployment, "status", "--node", one)
    assert [x["node_id"] for x in before["nodes"]] == [  # type: ignore[attr-defined]
        *("node-1", "node-2", "node-3")
    ]
    assert [str(x).split()[0] for x in without["silent"]] == ["node-3"]  # type: ignore[attr-defined]
    assert after["silent"] == []
    since = [x["counts_since"] for x in after["nodes"]]  # type: ignore[attr-defined]
    assert since[2] > max(since[:2])
    assert status["silent"] == []
    assert [x["node_id"] for x in status["statuses"]] == [  # type: ignore[attr-defined]
        *("node-1", "node-2", "node-3")
    ]


def test_file_is_compared_applied_and_in_force(deployment: Deployment) -> None:
    path = str(EXAMPLES / "ikirezi.toml")
    before = run_json(deployment, "config", "show")
    differs = start_command(deployment, "config", "diff", path)
    applied = run_json(deployment, "config", "apply", path)
    again = run_json(deployment, "config", "apply", path)
    same = start_command(deployment, "config", "diff", path)
    stale = str(before["revision"])
    conflict = start_command(
        deployment, "config", "apply", path, "--expect", stale
    )
    assert differs.returncode == 5
    assert "+ courier-desk" in differs.stdout
    assert applied["revision"] == int(stale) + 1
    assert applied["unconfirmed"] == []
    assert applied["node_count"] == 3
    assert again["outcome"] == "unchanged"
    assert same.returncode == 0
    assert conflict.returncode == 3
    assert [deployment.status(n)["revision"] for n in deployment.nodes] == [
        applied["revision"]
    ] * 3


def test_node_that_does_not_confirm_is_named(deployment: Deployment) -> None:
    deployment.nodes[2].process.freeze()
    done = start_command(deployment, "domain", "out", "d1", "--timeout", "4")
    deployment.nodes[2].process.thaw()
    assert done.returncode == 4, done.stderr
    assert "node-3 (revision" in done.stdout
    assert "in force at 2 of 3 nodes" in done.stderr
    back = run_json(deployment, "domain", "in", "d1")
    assert back["unconfirmed"] == []


def test_outage_says_not_accepted(deployment: Deployment) -> None:
    deployment.control_platform(outage="unavailable")
    done = start_command(deployment, "domain", "out", "d1", "--timeout", "4")
    deployment.control_platform(outage=None)
    stored = deployment.get_object("configuration", "current").json()["value"]
    assert done.returncode == 1, done.stderr
    assert "not accepted" in done.stderr
    assert stored["out_domains"] == []


def test_status_tells_of_an_outage_and_of_its_end(
    deployment: Deployment,
) -> None:
    names = ["node-1", "node-2", "node-3"]
    told = f"platform lost at {', '.join(names)}"
    deployment.control_platform(outage="unavailable")
    wait_for_status(deployment, lambda text: told in text)
    deployment.control_platform(outage=None)
    wait_for_status(deployment, lambda text: "lost" not in text)


def wait_for_status(
    deployment: Deployment, condition: Callable[[str], bool]
) -> None:
    def is_shown() -> bool:
        done = start_command(deployment, "status")
        return done.returncode == 0 and condition(done.stdout)

    wait_until(is_shown, TIMEOUT_S, "a status")


def test_stopped_and_upgraded_node_as_the_page_says(
    deployment: Deployment,
) -> None:
    assert deployment.nodes[1].process.terminate() == 0
    without = run_json(deployment, "status")
    meanwhile = start_command(
        deployment, "domain", "out", "d1", "--timeout", "3"
    )
    deployment.restart_node(1, "upgraded")
    back = run_json(deployment, "domain", "in", "d1")
    wait_for_status(deployment, is_upgraded)
    assert meanwhile.returncode == 4, meanwhile.stderr
    # The node is silent at the revision before the two changes.
    revision = int(str(back["revision"])) - 2
    assert f"node-2 (revision {revision}, silent)" in meanwhile.stdout
    assert back["unconfirmed"] == []
    assert (
        deployment.status(deployment.nodes[1])["revision"] == (back["revision"])
    )
    assert [str(x).split()[0] for x in without["silent"]][-1] == "node-2"  # type: ignore[attr-defined]
    assert start_command(deployment, "status").returncode == 0


def is_upgraded(text: str) -> bool:
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
def test_exit_codes_and_texts(
    deployment: Deployment, arguments: list[str], code: int, text: str
) -> None:
    done = start_command(deployment, *arguments)
    assert done.returncode == code, done.stderr
    assert text in done.stdout + done.stderr
