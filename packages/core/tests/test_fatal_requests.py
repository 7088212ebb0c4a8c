"""Which requests are condemned after crashes, and what nodes tell each other."""

import random

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from mulberrybay_core.fatal_requests import (
    CONDEMNED_COUNT,
    FORGET_AFTER_S,
    MAX_CRASH_COUNT,
    MAX_REPLIED_COUNT,
    MAX_SUSPECT_COUNT,
    MAX_TOLD_COUNT,
    TELL_S,
    TOLD_AFTER_S,
    TRIAL_DELAYS_S,
    Crash,
    FatalRequests,
    SuspectReport,
)

FATAL = b"fatal"
OTHER = b"other"


def crash(number: int, sent_at_s: float, crashed_at_s: float) -> Crash:
    return Crash(number, True, sent_at_s, crashed_at_s)


def condemn(
    requests: FatalRequests,
    identity: bytes = FATAL,
    count: int = CONDEMNED_COUNT,
) -> None:
    """Records crashes in a row, one each second from second 1 on."""
    for number in range(1, count + 1):
        requests.record_crash(
            identity, crash(number, number - 0.5, number), number
        )


def test_request_is_condemned_after_three_crashes_in_a_row() -> None:
    requests = FatalRequests()
    condemn(requests, count=2)
    assert requests.is_suspected(FATAL)
    assert not requests.is_condemned(FATAL)

    requests.record_crash(FATAL, crash(3, 2.0, 2.5), 2.5)

    assert requests.is_condemned(FATAL)
    assert not requests.is_suspected(OTHER)


def test_servers_that_end_at_the_same_time_condemn_no_request() -> None:
    requests = FatalRequests()
    for number in range(30):
        ended_at_s = 1.0 + number / 1000
        requests.record_crash(
            FATAL, crash(number, 0.9 + number / 1000, ended_at_s), ended_at_s
        )
    assert requests.crash_count(FATAL) == 1


def test_servers_that_end_in_a_quick_series_condemn_no_request() -> None:
    requests = FatalRequests()
    for number in range(9):
        sent_at_s = 1.0 + number / 200
        requests.record_crash(
            FATAL,
            crash(number, sent_at_s, sent_at_s + 0.004),
            sent_at_s + 0.004,
        )
    assert not requests.is_condemned(FATAL)


def test_request_that_was_served_lately_is_condemned_only_after_a_while() -> (
    None
):
    requests = FatalRequests()
    requests.record_reply(FATAL, 0.9)
    for number in range(1, CONDEMNED_COUNT + 1):
        at_s = 1.0 + number / 10
        requests.record_crash(FATAL, crash(number, at_s, at_s + 0.05), at_s)
    assert not requests.is_condemned(FATAL)

    requests.record_crash(FATAL, crash(9, 1.8, 1.95), 1.95)

    assert requests.is_condemned(FATAL)


def test_popular_request_that_was_served_meanwhile_is_not_suspected() -> None:
    requests = FatalRequests()
    for number in range(1, 20):
        requests.record_reply(FATAL, number - 0.3)
        requests.record_crash(
            FATAL, crash(number, number - 0.5, number), number
        )
        assert not requests.is_suspected(FATAL)


def test_requests_beside_a_fatal_one_are_not_condemned_for_its_crashes() -> (
    None
):
    requests = FatalRequests()
    condemn(requests, FATAL)
    condemn(requests, OTHER)
    assert not requests.condemned  # Either may have caused all of them.

    requests.record_crash(FATAL, crash(4, 3.5, 4.0), 4.0)
    assert OTHER not in requests.condemned
    requests.pass_time(4.0 + TOLD_AFTER_S)

    assert requests.condemned == {FATAL}


def test_request_is_not_condemned_before_others_can_tell_of_the_same_crash() -> (
    None
):
    requests = FatalRequests()
    condemn(requests, FATAL, count=2)
    condemn(requests, OTHER, count=2)
    requests.record_crash(OTHER, crash(3, 2.5, 3.0), 3.0)
    assert not requests.is_condemned(OTHER)

    requests.pass_time(3.0 + TOLD_AFTER_S)

    assert requests.condemned == {OTHER}


@pytest.mark.parametrize("count", [CONDEMNED_COUNT, CONDEMNED_COUNT + 1])
def test_innocent_request_is_at_no_time_condemned_for_crashes_of_another(
    count: int,
) -> None:
    requests = FatalRequests()
    for number in range(1, count + 1):
        report = crash(number, number - 0.5, number)
        # Another node saw the crash under the fatal request, and tells of it.
        requests.record_crash(OTHER, report, number)
        assert OTHER not in requests.condemned
        requests.record_crash(FATAL, report, number + TOLD_AFTER_S / 2)
        requests.pass_time(number + 0.4)
        assert OTHER not in requests.condemned
    report = crash(9, count + 0.5, count + 0.8)
    requests.record_crash(FATAL, report, count + 0.8)
    requests.pass_time(count + 0.8 + TOLD_AFTER_S)
    assert requests.condemned == {FATAL}


def test_requests_that_always_crash_servers_together_are_condemned() -> None:
    requests = FatalRequests()
    condemn(requests, FATAL, MAX_CRASH_COUNT)
    condemn(requests, OTHER, MAX_CRASH_COUNT)
    assert requests.condemned == {FATAL, OTHER}


@pytest.mark.parametrize("has_start_time", [True, False])
def test_server_with_the_same_name_may_crash_again(
    has_start_time: bool,
) -> None:
    requests = FatalRequests()
    for number in range(CONDEMNED_COUNT):
        at_s = 10.0 * number
        report = Crash(number * has_start_time, has_start_time, at_s, at_s + 1)
        requests.record_crash(FATAL, report, at_s + 1)
    assert requests.is_condemned(FATAL)


def test_condemned_request_is_tried_once_and_then_not_while_it_comes() -> None:
    requests = FatalRequests()
    condemn(requests)
    now_s = float(CONDEMNED_COUNT)
    for number, delay_s in enumerate(TRIAL_DELAYS_S):
        trial_at_s = requests.next_trial_at_s(FATAL)
        assert trial_at_s == now_s + delay_s
        now_s = trial_at_s + 0.1
        requests.record_crash(
            FATAL, crash(10 + number, trial_at_s, now_s), now_s
        )
    assert requests.next_trial_at_s(FATAL) is None
    for _ in range(10):
        now_s += FORGET_AFTER_S - 1
        requests.record_request(FATAL, now_s)
        requests.expire(now_s)
        assert requests.is_condemned(FATAL)

    requests.expire(now_s + FORGET_AFTER_S + 1)

    assert not requests.is_suspected(FATAL)


def test_reply_to_a_trial_clears_the_request_at_all_nodes() -> None:
    here, there = FatalRequests(), FatalRequests()
    condemn(here)
    there.merge(here.reports(3.0), 103.0)
    assert there.is_condemned(FATAL)

    here.record_reply(FATAL, 40.0)
    there.merge(here.reports(40.1), 140.1)

    assert not here.is_suspected(FATAL)
    assert not there.is_suspected(FATAL)
    here.merge(there.reports(140.2), 40.2)
    assert not here.is_suspected(FATAL)


def test_suspicion_by_a_node_that_missed_a_reply_is_cleared() -> None:
    here, there = FatalRequests(), FatalRequests()
    here.record_reply(FATAL, 1.0)
    there.record_crash(FATAL, crash(1, 0.8, 1.1), 1.1)

    assert here.merge(there.reports(1.2), 1.2) == [FATAL]
    there.merge(here.reports(1.3), 1.3)

    assert not there.is_suspected(FATAL)


def test_memory_is_bounded_and_condemned_requests_stay_known() -> None:
    requests = FatalRequests()
    condemn(requests)
    for number in range(3 * MAX_SUSPECT_COUNT):
        at_s = 10 + number / 100
        name = f"request-{number}".encode()
        requests.record_crash(name, crash(100 + number, at_s, at_s), at_s)
        requests.record_reply(f"served-{number}".encode(), at_s)
        told = SuspectReport(f"told-{number}".encode(), (), 0.1, 0.1)
        requests.merge([told], at_s)
    assert len(requests) == MAX_SUSPECT_COUNT
    assert requests.replied_count == MAX_REPLIED_COUNT
    reports = requests.reports(at_s)
    assert len(reports) == MAX_TOLD_COUNT
    assert reports[0].identity == FATAL


def test_work_of_one_crash_does_not_grow_with_the_square_of_the_requests(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    requests = FatalRequests()
    for number in range(MAX_SUSPECT_COUNT):
        for count in range(CONDEMNED_COUNT):
            at_s = 1.0 + count
            requests.record_crash(
                bytes(divmod(number, 256)),
                crash(CONDEMNED_COUNT * number + count, at_s, at_s),
                at_s,
            )
    compared: list[Crash] = []
    is_same = Crash.is_same
    monkeypatch.setattr(
        Crash,
        "is_same",
        lambda one, other: bool(compared.append(one)) or is_same(one, other),
    )

    requests.record_crash(bytes(2), crash(-1, 9.0, 9.0), 9.0)
    requests.expire(9.0)

    assert len(requests.condemned) == MAX_SUSPECT_COUNT
    assert len(compared) <= 2 * CONDEMNED_COUNT * MAX_SUSPECT_COUNT


@pytest.mark.parametrize("condemned_count", [1, 3 * MAX_TOLD_COUNT])
def test_many_condemned_requests_keep_no_change_from_other_nodes(
    condemned_count: int,
) -> None:
    here, there = FatalRequests(), FatalRequests()
    for number in range(condemned_count * CONDEMNED_COUNT):
        at_s = float(number % CONDEMNED_COUNT)
        name = b"condemned %d" % (number // CONDEMNED_COUNT)
        here.record_crash(name, crash(100 + number, at_s, at_s + 0.5), at_s)
    for beat in range(4):
        there.merge(here.reports(3.0 + beat), 103.0 + beat)
    here.record_crash(OTHER, crash(9, 20.0, 20.1), 20.1)
    there.merge(here.reports(20.2), 120.2)
    assert there.is_suspected(OTHER)
    assert len(there.condemned) == condemned_count

    here.record_reply(OTHER, 20.3)
    there.merge(here.reports(20.4), 120.4)

    assert not there.is_suspected(OTHER)
    late = FatalRequests()
    for beat in range(4):
        late.merge(here.reports(30.0 + beat), 1000.0 + beat)
    assert len(late.condemned) == condemned_count


def test_node_that_starts_late_learns_of_condemned_requests_only() -> None:
    requests = FatalRequests()
    condemn(requests)
    requests.record_crash(OTHER, crash(9, 2.0, 2.5), 2.5)
    late = FatalRequests()
    late.merge(requests.reports(3 + TELL_S), 1000.0)
    assert late.is_condemned(FATAL)
    assert not late.is_suspected(OTHER)


@given(st.integers(0, 2**32), st.integers(2, 5), st.integers(1, 4))
@settings(max_examples=150, deadline=None)
def test_nodes_that_tell_each_other_count_no_crash_twice(
    seed: int, node_count: int, crash_count: int
) -> None:
    """Reports are late, lost, repeated and passed on; clocks differ."""
    source = random.Random(seed)
    nodes = [FatalRequests() for _ in range(node_count)]
    offsets_s = [source.uniform(0, 1000) for _ in nodes]
    on_the_way: list[tuple[float, int, list]] = []
    at_s = 0.0
    for number in range(crash_count):
        sent_at_s = at_s + source.uniform(0.3, 2.0)
        at_s = sent_at_s + source.uniform(0.01, 0.3)
        # Several nodes may have sent the request to the server that crashes.
        for index in source.sample(range(node_count), 2):
            local_s = at_s + offsets_s[index]
            nodes[index].record_crash(
                FATAL,
                crash(number, sent_at_s + offsets_s[index], local_s),
                local_s,
            )
        for _ in range(6):
            teller, hearer = source.sample(range(node_count), 2)
            reports = nodes[teller].reports(at_s + offsets_s[teller])
            delay_s = source.choice((0.001, 0.02, 0.2))
            on_the_way.append((at_s + delay_s, hearer, reports))
        if source.random() < 0.5:
            source.shuffle(on_the_way)
        while on_the_way and source.random() < 0.8:
            due_s, hearer, reports = on_the_way.pop(0)
            nodes[hearer].merge(reports, due_s + offsets_s[hearer])
        assert all(node.crash_count(FATAL) <= number + 1 for node in nodes)
    for _ in range(node_count):
        for teller in range(node_count):
            for hearer in range(node_count):
                if hearer != teller:
                    nodes[hearer].merge(
                        nodes[teller].reports(at_s + offsets_s[teller]),
                        at_s + 0.001 + offsets_s[hearer],
                    )
    assert {node.crash_count(FATAL) for node in nodes} == {crash_count}


@pytest.mark.parametrize("keys", [(1, 2, 3), (7, 8, 7)])
def test_stored_request_is_condemned_again_and_no_crash_counts_twice(
    keys: tuple[int, ...],
) -> None:
    requests = FatalRequests()
    assert requests.restore(FATAL, keys, 50.0)
    assert requests.is_condemned(FATAL)
    assert requests.next_trial_at_s(FATAL) == 50.0 + TRIAL_DELAYS_S[0]

    assert not requests.restore(FATAL, requests.server_keys(FATAL), 60.0)

    running = FatalRequests()
    condemn(running)
    running.restore(FATAL, running.server_keys(FATAL), 60.0)
    assert running.crash_count(FATAL) == CONDEMNED_COUNT


def test_stored_crashes_of_one_server_are_not_added_to_those_already_known() -> (
    None
):
    requests = FatalRequests()
    for at_s in (1.0, 3.0, 5.0):
        requests.record_crash(FATAL, Crash(7, False, at_s, at_s + 0.1), at_s)
    assert requests.is_condemned(FATAL)
    assert not requests.restore(FATAL, requests.server_keys(FATAL), 6.0)
    assert requests.next_trial_at_s(FATAL) == 5.1 + TRIAL_DELAYS_S[0]
