"""Guards against single wrong decisions of rollouts."""

import random
from collections.abc import Sequence

import pytest

from mulberrybay_core.addresses import Address
from mulberrybay_core.rollouts import (
    NodeRollouts,
    RolloutOrder,
    RolloutState,
    RolloutStatus,
    RolloutStep,
    RolloutTerms,
)
from mulberrybay_core.server_directory import KnownServer, ServerEntry
from mulberrybay_core.store_position import make_position

TERMS = RolloutTerms(expose_share=0.1, expose_slack_count=50, rollback_s=5.0)
SERVICE, OLD, NEW = "search", "v1", "v2"
ORDER = RolloutOrder(SERVICE, NEW, 12.0, 2)
PROMOTE = RolloutStatus(RolloutState.RUNNING, RolloutStep.PROMOTE, NEW)
COMPLETED = RolloutStatus(RolloutState.COMPLETED, RolloutStep.DONE, NEW)
ROLLED_BACK = RolloutStatus(RolloutState.ROLLED_BACK, RolloutStep.DONE, NEW)


def servers_of(*versions: str, cold_s: float = 0.0) -> list[KnownServer]:
    return [
        KnownServer(
            ServerEntry(
                f"{version}-{index}",
                SERVICE,
                Address("127.0.0.1", 1),
                "d",
                2,
                False,
                cold_s,
                1,
                version,
            ),
            0.0,
        )
        for version in versions
        for index in range(3)
    ]


def make_node(seed: int = 0) -> NodeRollouts:
    node = NodeRollouts(TERMS, random.Random(seed))
    node.finish_first_list()
    node.select(SERVICE, servers_of(OLD), 0.0)
    return node


def versions_in(servers: Sequence[KnownServer]) -> set[str]:
    return {server.entry.version for server in servers}


def selected(node: NodeRollouts, now_s: float, *versions: str) -> set[str]:
    servers = servers_of(*versions)
    return versions_in(node.select(SERVICE, servers, now_s))


def reply(
    node: NodeRollouts,
    version: str,
    count: int,
    bad_count: int = 0,
    latency_ratio: float = 1.0,
) -> None:
    for index in range(count):
        node.record_sent(SERVICE, version, 5.0)
        is_bad = index < bad_count
        node.record_reply(SERVICE, version, "a", is_bad, latency_ratio, 5.0)


def due(
    node: NodeRollouts, now_s: float, *, all_have_seen: bool = True
) -> list[tuple[str, str]]:
    return [
        (status.state, status.step)
        for _, status in node.due_statuses(now_s, lambda _: all_have_seen)
    ]


@pytest.mark.parametrize(
    ("versions", "now_s", "expected"),
    [
        ((OLD, NEW), 10.0, {OLD}),
        ((OLD, NEW), 11.5, {OLD, NEW}),
        ((NEW,), 10.0, {NEW}),
    ],
    ids=["just seen", "seen for a while", "no other version"],
)
def test_new_version_waits_for_an_order_only_briefly(
    versions: tuple[str, ...], now_s: float, expected: set[str]
) -> None:
    node = make_node()
    selected(node, 10.0, *versions)

    assert selected(node, now_s, *versions) == expected


def test_node_that_has_not_read_orders_sends_to_the_eldest_version() -> None:
    node = NodeRollouts(TERMS, random.Random(0))
    servers = servers_of(OLD, NEW)
    for server in servers[3:]:
        server.entry = server.entry._replace(started_at_ms=2)

    chosen = node.select(SERVICE, servers, 60.0)

    assert versions_in(chosen) == {OLD}


def test_restarts_of_a_node_do_not_renew_its_part_of_the_slack() -> None:
    sent_count = 0
    for incarnation in range(30):
        node = NodeRollouts(TERMS, random.Random(incarnation))
        # The order comes with the first list, or just after a stale one.
        if incarnation % 2:
            node.finish_first_list(4.0)
        node.set_order(ORDER, None, 5.0)
        node.finish_first_list(4.0)
        for _ in range(5):
            node.record_request(SERVICE, 9.0)
            if NEW in selected(node, 9.0, OLD, NEW):
                node.record_sent(SERVICE, NEW, 9.0)
                sent_count += 1

    assert sent_count <= 0.1 * 30 * 5 + TERMS.expose_slack_count / 2


def test_parts_of_many_nodes_add_up_to_the_bound() -> None:
    sent_count = 0
    for seed in range(300):
        node = make_node(seed)
        node.share_divisor = 300
        node.set_order(ORDER, None, 1.0)
        for _ in range(2):
            node.record_request(SERVICE, 9.0)
            if NEW in selected(node, 9.0, OLD, NEW):
                node.record_sent(SERVICE, NEW, 9.0)
                sent_count += 1

    # Parts below one request would all be lost if they were rounded down.
    assert 40 <= sent_count <= 0.1 * 600 + TERMS.expose_slack_count


@pytest.mark.parametrize(
    ("status", "versions", "expected"),
    [
        (PROMOTE, (OLD, NEW), {NEW}),
        (PROMOTE, (OLD,), {OLD}),
        (COMPLETED, (OLD, NEW), {NEW}),
        (COMPLETED, (OLD,), set()),
        (ROLLED_BACK, (OLD, NEW), {OLD}),
        (ROLLED_BACK, (NEW,), set()),
    ],
)
def test_status_decides_which_version_is_used(
    status: RolloutStatus, versions: tuple[str, ...], expected: set[str]
) -> None:
    node = make_node()
    node.set_order(ORDER, status, 1.0)

    assert selected(node, 1.0, *versions) == expected


def test_promoted_version_with_cold_servers_leaves_the_old_ones_in_use() -> (
    None
):
    node = make_node()
    node.set_order(ORDER, PROMOTE, 1.0)
    servers = servers_of(OLD) + servers_of(NEW, cold_s=60.0)

    chosen = node.select(SERVICE, servers, 1.0)

    assert versions_in(chosen) == {OLD, NEW}
    assert versions_in(node.narrow(SERVICE, chosen, 1.0)) == {NEW}


def test_canary_uses_two_servers_and_waits_for_replies() -> None:
    node = make_node()
    node.set_order(ORDER, None, 1.0)
    chosen = node.select(SERVICE, servers_of(OLD, NEW), 2.0)
    new = node.narrow(SERVICE, chosen, 2.0)

    assert len(new) == 2
    assert versions_in(new) == {NEW}
    node.record_sent(SERVICE, NEW, 2.0)
    node.record_sent(SERVICE, NEW, 2.0)
    assert selected(node, 2.0, OLD, NEW) == {OLD}


def test_canary_survives_the_loss_of_a_failure_domain() -> None:
    node = make_node()
    node.set_order(ORDER, None, 1.0)
    servers = servers_of(NEW)
    for server, domain in zip(servers, "aab", strict=True):
        server.entry = server.entry._replace(failure_domain=domain)

    chosen = node.select(SERVICE, servers_of(OLD) + servers, 2.0)

    assert {server.entry.server_id for server in chosen[3:]} == {
        f"{NEW}-0",
        f"{NEW}-2",
    }


def test_service_without_old_servers_keeps_to_the_bound() -> None:
    node = make_node()
    node.set_order(ORDER, None, 1.0)
    reply(node, NEW, 50)

    assert selected(node, 2.0, NEW) == set()
    # The old version is forgotten by then.
    assert selected(node, 9.0, NEW) == set()
    assert selected(node, 9.1, NEW) == set()


def test_node_that_starts_in_a_rollout_uses_the_old_servers_at_once() -> None:
    node = NodeRollouts(TERMS, random.Random(0))
    node.set_order(ORDER, None, 1.0)
    reply(node, NEW, 20)

    assert selected(node, 1.0, OLD, NEW) == {OLD}


def test_order_for_the_version_in_use_does_not_refuse_requests() -> None:
    node = make_node()
    reply(node, OLD, 100)

    node.set_order(ORDER._replace(target_version=OLD), None, 100.0)

    assert selected(node, 100.0, OLD) == {OLD}


@pytest.mark.parametrize(("bad_count", "latency_ratio"), [(6, 1.0), (0, 4.0)])
def test_fault_that_a_node_has_seen_ends_its_sending_without_the_store(
    bad_count: int, latency_ratio: float
) -> None:
    node = make_node()
    node.set_order(ORDER, None, 1.0)
    reply(node, NEW, 1)
    reply(node, OLD, 60)
    reply(node, NEW, 12, bad_count, latency_ratio)
    for _ in range(1000):
        node.record_request(SERVICE, 9.0)

    assert selected(node, 9.0, OLD, NEW) == {OLD}
    assert not node.may_send(SERVICE, NEW, 9.0)


def test_failures_of_both_versions_do_not_roll_back() -> None:
    node = make_node()
    node.set_order(ORDER, None, 1.0)
    reply(node, NEW, 1)
    reply(node, OLD, 100, bad_count=20, latency_ratio=3.0)
    reply(node, NEW, 30, bad_count=6, latency_ratio=3.0)

    assert due(node, 10.0) == [("running", "promote")]


def test_version_judged_bad_by_one_node_is_stopped_on_others() -> None:
    writer, other = make_node(), make_node(1)
    for node in (writer, other):
        node.set_order(ORDER, None, 1.0)
    reply(writer, NEW, 1)
    reply(writer, OLD, 60)
    reply(writer, NEW, 12, bad_count=6)

    assert due(writer, 5.0) == [("rolled_back", "done")]
    other.merge("a", 1, writer.reports(5.0), 5.0)

    assert selected(other, 5.0, OLD, NEW) == {OLD}


def test_repeated_and_late_reports_are_counted_once() -> None:
    writer, other = make_node(), make_node(1)
    for node in (writer, other):
        node.set_order(ORDER, None, 1.0)
    reply(other, NEW, 5)
    early = other.reports(5.0)
    reply(other, NEW, 5)
    for reports in (other.reports(6.0), early, other.reports(6.0)):
        writer.merge("b", 1, reports, 6.0)
    # A restarted node begins anew; its earlier replies remain evidence.
    writer.merge("b", 2, early, 6.0)
    writer.forget_node("b")

    writer.set_order(ORDER, COMPLETED, 7.0)
    writer.merge("b", 1, early, 7.0)

    (summary,) = writer.summaries(7.0)
    assert summary.new.reply_count == 15


@pytest.mark.parametrize(
    ("now_s", "reply_count", "stored", "all_have_seen", "expected"),
    [
        (2.0, 0, None, True, [("running", "canary")]),
        (9.0, 30, None, True, [("running", "canary")]),
        (10.0, 30, None, True, [("running", "promote")]),
        (10.0, 4, None, True, [("running", "canary")]),
        (60.0, 4, None, True, [("running", "canary")]),
        (60.0, 30, None, True, [("running", "promote")]),
        (10.5, 30, PROMOTE, True, []),
        (11.7, 30, PROMOTE, True, [("completed", "done")]),
        (11.7, 30, PROMOTE, False, []),
        (11.9, 30, PROMOTE, False, [("completed", "done")]),
    ],
    ids=[
        "first status",
        "before the step is due",
        "due",
        "due without evidence",
        "deadline over without evidence",
        "evidence after the deadline",
        "promoted",
        "all nodes promoted",
        "not all nodes promoted",
        "shortly before the deadline",
    ],
)
def test_steps_are_taken_in_time(
    now_s: float,
    reply_count: int,
    stored: RolloutStatus | None,
    all_have_seen: bool,
    expected: list[tuple[str, str]],
) -> None:
    node = make_node()
    node.set_order(ORDER, None, 1.0)
    reply(node, NEW, 1)
    reply(node, OLD, 60)
    reply(node, NEW, reply_count)
    if stored is not None:
        node.set_order(ORDER, stored, 10.2)

    assert due(node, now_s, all_have_seen=all_have_seen) == expected


def test_age_known_from_another_node_sets_the_deadline() -> None:
    node, other = make_node(), make_node(1)
    other.set_order(ORDER, None, 1.0)
    node.set_order(ORDER, None, 9.0)
    node.merge("b", 1, other.reports(10.0), 10.0)
    reply(node, NEW, 30)

    assert due(node, 10.0) == [("running", "promote")]


def test_running_request_at_an_old_server_delays_the_end() -> None:
    node, other = make_node(), make_node(1)
    for item in (node, other):
        item.set_order(ORDER, PROMOTE, 1.0)
    other.record_sent(SERVICE, OLD, 11.0)
    node.merge("b", 1, other.reports(11.0), 11.0)

    assert due(node, 11.7) == []
    other.give_back(SERVICE, OLD)
    node.merge("b", 1, other.reports(11.6), 11.6)
    assert due(node, 11.7) == [("completed", "done")]


@pytest.mark.parametrize("final", [COMPLETED, ROLLED_BACK])
def test_final_state_outlasts_an_older_copy_and_is_written_again(
    final: RolloutStatus,
) -> None:
    node = make_node()
    node.set_order(ORDER, final, 1.0)
    copy = ORDER._replace(object_version=make_position(1, 2))
    node.set_order(copy, PROMOTE, 2.0)

    assert selected(node, 2.0, OLD, NEW) == (
        {NEW} if final is COMPLETED else {OLD}
    )
    assert due(node, 2.0) == [(final.state, "done")]


def test_final_state_in_the_store_is_never_replaced() -> None:
    node = make_node()
    node.set_order(ORDER, ROLLED_BACK, 1.0)
    node.set_order(ORDER, COMPLETED, 2.0)

    assert due(node, 2.0) == []
    (summary,) = node.summaries(2.0)
    assert summary.state is RolloutState.ROLLED_BACK


@pytest.mark.parametrize(
    ("final", "state", "expected"),
    [(None, "rolled_back", {OLD}), (COMPLETED, "completed", {NEW})],
)
def test_order_that_was_removed_does_not_run_again_from_an_older_copy(
    final: RolloutStatus | None, state: str, expected: set[str]
) -> None:
    node = make_node()
    node.set_order(ORDER, final, 1.0)
    reply(node, NEW, 40)
    node.remove_order(SERVICE, 2.0)

    assert selected(node, 3.0, OLD, NEW) == expected
    assert due(node, 3.0) == []
    copy = ORDER._replace(object_version=make_position(1, 2))
    node.set_order(copy, None, 4.0)
    assert selected(node, 4.0, OLD, NEW) == expected
    assert due(node, 4.0) == [(state, "done")]


@pytest.mark.parametrize("gap_s", [1.0, 100.0])
def test_order_given_again_soon_does_not_renew_the_bound(gap_s: float) -> None:
    node = make_node()
    node.set_order(ORDER, None, 1.0)
    reply(node, NEW, 40)
    node.remove_order(SERVICE, 2.0)
    now_s = 2.0 + gap_s
    node.set_order(ORDER._replace(object_version=9), None, now_s)

    assert (NEW in selected(node, now_s, OLD, NEW)) is (gap_s > 60)


@pytest.mark.parametrize("status", [PROMOTE, ROLLED_BACK])
def test_second_order_excludes_the_version_of_the_first(
    status: RolloutStatus,
) -> None:
    node = make_node()
    node.set_order(ORDER, PROMOTE, 1.0)
    second = RolloutOrder(SERVICE, "v3", 12.0, 5)
    # The status is still that of the first order.
    node.set_order(second, status, 2.0)

    assert selected(node, 2.0, OLD, NEW, "v3") == {OLD, "v3"}
    assert due(node, 2.0) == [("running", "canary")]
    # A copy of the store from before the second order.
    copy = ORDER._replace(object_version=make_position(1, 2))
    node.set_order(copy, PROMOTE, 3.0)
    assert selected(node, 3.0, OLD, NEW) == {OLD}


def test_service_that_is_not_configured_gets_no_status() -> None:
    node = make_node()
    node.set_order(ORDER, None, 1.0)
    node.services = frozenset({"other"})

    assert due(node, 20.0) == []


def test_reports_are_bounded_and_unfinished_rollouts_come_first() -> None:
    node = make_node()
    for index in range(12):
        order = ORDER._replace(service=f"s{index}")
        node.set_order(order, ROLLED_BACK if index < 6 else None, 1.0)

    reports = node.reports(2.0)
    assert len(reports) == 8
    assert {item.service for item in reports[:6]} == {
        f"s{index}" for index in range(6, 12)
    }


def test_later_release_is_used_by_nodes_that_start_after_a_rollout() -> None:
    # The completed order of v2 remains in the store while all servers are v3.
    node = NodeRollouts(TERMS, random.Random(0))
    selected(node, 0.0, "v3")
    node.set_order(ORDER, COMPLETED, 0.1)
    node.finish_first_list(0.1)

    assert selected(node, 1.0, "v3") == set()
    assert selected(node, 6.0, "v3") == {"v3"}
    assert selected(node, 7.0, NEW, "v3") == {"v3"}


@pytest.mark.parametrize(
    ("old_refused", "step", "expected"),
    [
        (False, None, [(RolloutState.ROLLED_BACK, RolloutStep.DONE)]),
        (True, None, [(RolloutState.RUNNING, RolloutStep.CANARY)]),
        (False, PROMOTE, []),
    ],
    ids=["only new", "both", "no old replies"],
)
def test_version_that_refuses_all_is_bad_unless_the_old_one_refuses_too(
    old_refused: bool,
    step: RolloutStatus | None,
    expected: list[tuple[str, str]],
) -> None:
    node = make_node()
    node.set_order(ORDER, step, 5.0)
    node.record_sent(SERVICE, NEW, 5.0)
    node.record_refused(SERVICE, NEW, "a", True, 5.0)
    reply(node, OLD, 12)
    versions = [OLD] * old_refused + [NEW] * 8
    for version in versions:
        node.record_sent(SERVICE, version, 5.0)
        node.record_refused(SERVICE, version, "a", True, 5.0)

    assert due(node, 5.5) == expected
    summary = next(node.summaries(5.5))
    assert summary.new.bad_count == (8 if not old_refused and not step else 0)


def test_reports_of_an_earlier_order_say_nothing_of_the_same_one_again() -> (
    None
):
    # The other node has not yet seen that the order was removed and repeated.
    node, late = make_node(0), make_node(1)
    for each in (node, late):
        each.set_order(ORDER, None, 5.0)
        each.set_order(ORDER._replace(object_version=3), ROLLED_BACK, 14.0)
    late_reports = [
        counts._replace(is_condemned=True) for counts in late.reports(16.0)
    ]
    assert late_reports
    node.remove_order(SERVICE, 15.0)
    node.set_order(ORDER._replace(object_version=5), None, 15.5)
    node.merge("late", 1, late_reports, 16.0)

    assert due(node, 16.0) == [(RolloutState.RUNNING, RolloutStep.CANARY)]
    assert next(node.summaries(16.0)).age_s == 0.5
