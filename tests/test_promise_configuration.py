"""Promise 10: an accepted configuration is in force soon and never reverts."""

import itertools
import json
import signal
import sys
import time
from collections.abc import Callable, Iterator

import pytest

from mulberrybay_core.snapshot import SNAPSHOT_KIND
from mulberrybay_testing.class_spec import search_class
from mulberrybay_testing.control_client import post_control
from mulberrybay_testing.deployment import Deployment
from mulberrybay_testing.deployment_access import NodeProcess
from mulberrybay_testing.history import (
    QueryLoad,
    answer_problems,
    requests_within,
    revision_problems,
    send_query,
)
from mulberrybay_testing.ports import free_port
from mulberrybay_testing.waiting import wait_until

IN_FORCE_LIMIT_S = 5.0
CUT_OFF_LIMIT_S = 4.0
REVISION_COUNT = 15


class _Proxy:
    """A TCP proxy between one node and the platform that injects faults."""

    def __init__(self, deployment: Deployment, folder: str) -> None:
        self.port, self._control_port = free_port(), free_port()
        process = deployment.processes.start(
            "proxy",
            [
                *(sys.executable, "-m", "mulberrybay_testing.tcp_proxy"),
                *("--listen", str(self.port)),
                *("--target", f"127.0.0.1:{deployment.platform_port}"),
                *("--control-port", str(self._control_port)),
                *("--log", f"{folder}/proxy.log"),
            ],
        )
        process.wait_ready()

    def set(self, **faults: object) -> None:
        """Sets the proxy's faults."""
        post_control(self._control_port, {"all": True, "set": faults})


@pytest.fixture(scope="module")
def proxied(
    tmp_path_factory: pytest.TempPathFactory,
) -> Iterator[tuple[Deployment, _Proxy]]:
    """Starts three nodes; the third reaches the platform through a proxy.

    The third also has the addresses of the others as seeds.
    """
    folder = tmp_path_factory.mktemp("configuration")
    with Deployment(folder, (search_class(),)) as deployment:
        proxy = _Proxy(deployment, str(folder))
        node = deployment.nodes[2]
        seeds = [f"127.0.0.1:{n.peer_port}" for n in deployment.nodes[:2]]
        text = node.settings_path.read_text(encoding="utf-8")
        platform = f"127.0.0.1:{deployment.platform_port}"
        text = text.replace(platform, f"127.0.0.1:{proxy.port}")
        text += f"seed_addresses = {json.dumps(seeds)}\n"
        node.settings_path.write_text(text, encoding="utf-8")
        node.process.terminate(timeout_s=15)
        deployment.restart_node(2)
        deployment.wait_serving()
        yield deployment, proxy


def _revision_of(deployment: Deployment, node: NodeProcess) -> int:
    return int(deployment.status(node)["revision"])


def _have_revision(
    deployment: Deployment, nodes: list[NodeProcess], revision: int
) -> Callable[[], bool]:
    """Returns a condition: all nodes have this revision or a later one."""
    return lambda: all(
        _revision_of(deployment, node) >= revision for node in nodes
    )


@pytest.mark.parametrize(
    "fault", [{}, {"cut": True}, {"silent": True, "silent_all": True}]
)
def test_rolling_revisions_reach_every_node_and_never_revert(
    proxied: tuple[Deployment, _Proxy], fault: dict[str, object]
) -> None:
    """Each node applies the last of many revisions and never an older one.

    In some cases one node can't reach the platform meanwhile, so it depends on
    its peers.
    """
    deployment, proxy = proxied
    proxy.set(**fault)
    seen: dict[str, list[int]] = {n.node_id: [] for n in deployment.nodes}
    with QueryLoad(deployment, caller_count=4) as load:
        for _ in range(REVISION_COUNT):
            revision = deployment.put_configuration()
            for node in deployment.nodes:
                seen[node.node_id].append(_revision_of(deployment, node))
        wait_until(
            _have_revision(deployment, deployment.nodes, revision),
            IN_FORCE_LIMIT_S,
            "the last revision",
        )
        load.wait_answers(20)
    proxy.set(cut=False, silent=False, silent_all=False, drop_existing=True)
    for revisions in seen.values():
        assert revisions == sorted(revisions)
    assert revision_problems(load.records) == []
    assert answer_problems(load.records, {1: 4}) == []


def test_thawed_node_answers_nothing_under_its_old_revision(
    proxied: tuple[Deployment, _Proxy],
) -> None:
    """A node that missed a revision while frozen must not use the old one.

    It is frozen longer than its lease while the other nodes apply a revision.
    """
    deployment, _ = proxied
    frozen = deployment.nodes[1]
    with QueryLoad(deployment, caller_count=4, node_indexes=(0, 2)) as load:
        frozen.process.freeze()
        revision = deployment.put_configuration()
        others = [deployment.nodes[0], deployment.nodes[2]]
        wait_until(
            _have_revision(deployment, others, revision),
            IN_FORCE_LIMIT_S,
            "the revision at the other nodes",
        )
        # Longer than a lease, so that the others take over its servers.
        ends_at_s = time.time() + 3.0
        wait_until(lambda: time.time() > ends_at_s, 5, "the end of the freeze")
        frozen.process.thaw()
        thawed_at_s = time.time()
        for number in itertools.count():
            record = send_query(
                frozen, "field-search", f"t-{number}", b'"thawed"'
            )
            if record.status == 200:
                assert record.document["revision"] >= revision
                break
            assert record.document["error"]["run_state"] == "not_run"
            assert time.time() - thawed_at_s < IN_FORCE_LIMIT_S
    assert revision_problems(load.records) == []
    deployment.wait_serving()


def test_node_started_in_an_outage_gets_the_configuration_from_peers(
    proxied: tuple[Deployment, _Proxy],
) -> None:
    """A node that starts during an outage of the platform can serve.

    It gets the configuration, the backend servers and the snapshots from its
    peers. The other nodes keep answering for all shards meanwhile.
    """
    deployment, _ = proxied
    revision = deployment.put_configuration()
    wait_until(
        _have_revision(deployment, deployment.nodes, revision),
        IN_FORCE_LIMIT_S,
        "the revision at all nodes",
    )
    deployment.control_platform(outage="refuse")
    deployment.nodes[2].process.kill()
    deployment.restart_node(2, "in-outage")
    node = deployment.nodes[2]
    with QueryLoad(deployment, caller_count=3, node_indexes=(0, 1)) as load:
        wait_until(
            _have_revision(deployment, [node], revision),
            IN_FORCE_LIMIT_S,
            "the revision at the new node",
        )
        # The other nodes cover all shards while the new node claims servers.
        load.wait_answers(
            20,
            matches=lambda record: (
                record.document["coverage"]["missing_shards"] == []
            ),
        )
        wait_until(
            lambda: deployment.status(node)["is_serving"],
            IN_FORCE_LIMIT_S,
            "the new node to serve",
        )
        record = send_query(node, "field-search", "started", b'"started"')
        assert record.status == 200, record.document
        assert record.document["revision"] == revision
        assert record.document["coverage"]["missing_shards"] == []
    assert {item.document["revision"] for item in load.answered()} == {revision}
    deployment.control_platform(outage=None)
    deployment.wait_serving()
    record = send_query(node, "field-search", "after", b'"after"')
    assert record.status == 200, record.document
    assert record.document["revision"] == revision


def test_all_nodes_are_replaced_one_by_one_in_an_outage(
    proxied: tuple[Deployment, _Proxy],
) -> None:
    """Nodes pass the configuration on while all of them are replaced.

    The platform answers nothing meanwhile, so each new node depends on its
    peers.
    """
    deployment, _ = proxied
    revision = deployment.put_configuration()
    wait_until(
        _have_revision(deployment, deployment.nodes, revision),
        IN_FORCE_LIMIT_S,
        "the revision at all nodes",
    )
    deployment.control_platform(outage="silent")
    for index in range(len(deployment.nodes)):
        deployment.nodes[index].process.kill()
        deployment.restart_node(index, "replaced-in-outage")
        deployment.wait_serving()
    for node in deployment.nodes:
        record = send_query(node, "field-search", node.node_id, b'"replaced"')
        assert record.status == 200, record.document
        assert record.document["revision"] == revision
        assert answer_problems([record], {1: 4}) == []
        assert record.document["coverage"]["missing_shards"] == []
    deployment.control_platform(outage=None)
    revision = deployment.put_configuration()
    wait_until(
        _have_revision(deployment, deployment.nodes, revision),
        IN_FORCE_LIMIT_S,
        "the revision at all nodes",
    )


def test_node_without_snapshots_does_not_serve(
    proxied: tuple[Deployment, _Proxy],
) -> None:
    """A node refuses queries until it has read the snapshots of the index.

    The platform lists the VMs, but fails to return the index snapshots.
    """
    deployment, _ = proxied
    node = deployment.nodes[2]
    node.process.kill()
    deployment.control_platform(failing_kinds=[SNAPSHOT_KIND])
    deployment.restart_node(2, "no-snapshots")
    wait_until(
        lambda: bool(deployment.status(node)["has_lease"]),
        IN_FORCE_LIMIT_S,
        "a lease",
    )
    ends_at_s = time.time() + 2.0
    while time.time() < ends_at_s:
        record = send_query(node, "field-search", "early", b'"early"')
        assert record.status == 503, record.document
        assert record.document["error"]["run_state"] == "not_run"
        assert record.document["error"]["retry_after_s"] > 0
        assert not deployment.status(node)["is_serving"]
    deployment.control_platform(failing_kinds=[])
    wait_until(
        lambda: deployment.status(node)["is_serving"],
        IN_FORCE_LIMIT_S,
        "the node to serve",
    )
    record = send_query(node, "field-search", "late", b'"late"')
    assert record.status == 200, record.document


def test_node_cut_off_from_platform_and_peers_refuses_as_not_run(
    proxied: tuple[Deployment, _Proxy],
) -> None:
    """A node without a lease refuses queries and sends no work.

    The platform is silent and both peers are frozen.
    """
    deployment, _ = proxied
    node = deployment.nodes[0]
    deployment.control_platform(outage="silent")
    for peer in deployment.nodes[1:]:
        peer.process.freeze()
    cut_at_s = time.time()
    with QueryLoad(deployment, caller_count=3, node_indexes=(0,)) as load:
        ends_at_s = cut_at_s + CUT_OFF_LIMIT_S + 2.0
        wait_until(
            lambda: time.time() > ends_at_s, 10, "the end of the observed time"
        )
    late_records = [
        record
        for record in load.records
        if record.started_at_s > cut_at_s + CUT_OFF_LIMIT_S
    ]
    assert late_records
    for record in late_records:
        assert record.status == 503
        assert record.document["error"]["run_state"] == "not_run"
    events = deployment.backend_events()
    vm_ids = {server["vm_id"] for server in deployment.backends}
    assert requests_within(events, vm_ids, cut_at_s + CUT_OFF_LIMIT_S) == []
    deployment.control_platform(outage=None)
    for peer in deployment.nodes[1:]:
        peer.process.signal(signal.SIGCONT)
    revision = deployment.put_configuration()
    wait_until(
        _have_revision(deployment, [node], revision),
        IN_FORCE_LIMIT_S,
        "the revision at the cut-off node",
    )
    deployment.wait_serving()
