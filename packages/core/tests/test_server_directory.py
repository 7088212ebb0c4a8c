"""Guards against new requests to backend servers that can't serve them.

These are servers that are leaving, whose entry expired, whose failure domain
is out of service, or whose address belongs to another server.
"""

import math

import pytest

from mulberrybay_core.addresses import Address
from mulberrybay_core.server_directory import (
    REMOVED_ENTRY_GRACE_S,
    ServerDirectory,
    ServerEntry,
)
from mulberrybay_core.server_limit import ServerLimit

ENTRY = ServerEntry(
    "i-1", "search", Address("10.0.0.1", 80), "domain-a", 2, False, 0.0, 0
)


def usable_ids(directory: ServerDirectory) -> list[str]:
    return [server.entry.server_id for server in directory.usable("search")]


def test_leaving_server_is_not_usable() -> None:
    directory = ServerDirectory()
    directory.put(ENTRY, 0.0)
    (server,) = directory.usable("search")

    directory.put(ENTRY._replace(is_leaving=True), 1.0)

    assert usable_ids(directory) == []
    assert not directory.may_use(server, 1.0)


def test_server_in_a_domain_out_of_service_is_not_usable() -> None:
    directory = ServerDirectory()
    directory.put(ENTRY, 0.0)
    (server,) = directory.usable("search")

    directory.set_out_domains({"domain-a"})
    assert usable_ids(directory) == []
    assert not directory.may_use(server, 0.0)

    directory.set_out_domains(())
    assert usable_ids(directory) == ["i-1"]


def test_server_without_entry_is_usable_until_the_grace_period_ends() -> None:
    directory = ServerDirectory()
    directory.put(ENTRY, 0.0)

    (server,) = directory.usable("search")

    directory.remove("i-1", 10.0)
    directory.expire(10.0 + REMOVED_ENTRY_GRACE_S - 0.1)
    assert usable_ids(directory) == ["i-1"]
    assert directory.may_use(server, 10.0 + REMOVED_ENTRY_GRACE_S - 0.1)
    assert not directory.may_use(server, 10.01 + REMOVED_ENTRY_GRACE_S)

    directory.expire(10.01 + REMOVED_ENTRY_GRACE_S)
    assert usable_ids(directory) == []
    assert directory.pop_dropped_ids() == ["i-1"]


def test_entry_written_again_in_the_grace_period_keeps_the_server() -> None:
    directory = ServerDirectory()
    directory.put(ENTRY, 0.0)
    directory.remove("i-1", 10.0)

    directory.put(ENTRY, 11.0)
    directory.expire(10.0 + 2 * REMOVED_ENTRY_GRACE_S)

    assert usable_ids(directory) == ["i-1"]


def test_leaving_server_is_dropped_when_its_entry_is_removed() -> None:
    directory = ServerDirectory()
    directory.put(ENTRY._replace(is_leaving=True), 0.0)

    directory.remove("i-1", 1.0)

    assert directory.server_ids() == []


def test_server_that_changes_its_service_leaves_the_old_one() -> None:
    directory = ServerDirectory()
    directory.put(ENTRY, 0.0)
    (server,) = directory.usable("search")

    directory.put(ENTRY._replace(service="billing"), 1.0)

    assert usable_ids(directory) == []
    assert not directory.may_use(server, 1.0)
    assert len(directory.usable("billing")) == 1


def test_complete_list_removes_servers_that_are_missing_from_it() -> None:
    directory = ServerDirectory()
    directory.put(ENTRY, 0.0)
    directory.put(ENTRY._replace(server_id="i-2"), 0.0)

    directory.replace_all([ENTRY], 5.0)
    directory.expire(5.01 + REMOVED_ENTRY_GRACE_S)

    assert usable_ids(directory) == ["i-1"]


def test_server_with_a_reassigned_address_waits_for_a_new_entry() -> None:
    directory = ServerDirectory()
    directory.put(ENTRY, 0.0)
    (server,) = directory.usable("search")

    server.has_wrong_address = True
    assert usable_ids(directory) == []
    assert not directory.may_use(server, 0.0)

    directory.put(ENTRY._replace(address=Address("10.0.0.2", 80)), 1.0)
    assert usable_ids(directory) == ["i-1"]


# Servers that announce in replies that they leave.

STARTED = ENTRY._replace(started_at_ms=1000)


def announce(directory: ServerDirectory, now_s: float) -> None:
    (server,) = directory.usable("search")
    assert directory.announce_leaving(server, now_s)
    assert not directory.announce_leaving(server, now_s + 1)


@pytest.mark.parametrize(
    ("entry", "is_usable"),
    [
        (STARTED, False),
        (STARTED._replace(address=Address("10.0.0.2", 80)), False),
        (STARTED._replace(started_at_ms=999), False),
        (STARTED._replace(started_at_ms=1001), True),
        (STARTED._replace(started_at_ms=1001, is_leaving=True), False),
    ],
)
@pytest.mark.parametrize("is_dropped", [False, True])
def test_only_a_later_incarnation_brings_an_announced_server_back(
    entry: ServerEntry, is_usable: bool, is_dropped: bool
) -> None:
    """The entry may be older than the announcement, whoever delivers it.

    It may also have been removed in between, and dropped.
    """
    directory = ServerDirectory()
    directory.put(STARTED, 0.0)
    announce(directory, 1.0)
    if is_dropped:
        directory.remove("i-1", 2.0)
        directory.expire(2.01 + REMOVED_ENTRY_GRACE_S)
        assert directory.server_ids() == []

    directory.put(entry, 10.0)
    directory.replace_all([entry], 11.0)

    assert usable_ids(directory) == (["i-1"] if is_usable else [])


def test_announced_server_is_not_used_while_another_one_is_left() -> None:
    directory = ServerDirectory(leaving_service_s=2.0)
    directory.put(STARTED, 0.0)
    (server,) = directory.usable("search")
    directory.put(STARTED._replace(server_id="i-2"), 0.0)

    directory.announce_leaving(server, 1.0)

    assert usable_ids(directory) == ["i-2"]
    assert not directory.may_use(server, 1.0)


def test_service_whose_servers_all_leave_uses_them_while_they_serve() -> None:
    directory = ServerDirectory(leaving_service_s=2.0)
    directory.put(STARTED, 0.0)
    (server,) = directory.usable("search")
    directory.announce_leaving(server, 1.0)

    assert directory.last_resort("search", 2.9) == [server]
    assert directory.may_use(server, 2.9)
    assert directory.available_at_s("search", 2.9) == 2.9

    assert directory.last_resort("search", 3.0) == []
    assert not directory.may_use(server, 3.0)
    assert directory.available_at_s("search", 3.0) == math.inf


def test_last_resort_is_never_a_server_whose_entry_says_that_it_leaves() -> (
    None
):
    directory = ServerDirectory(leaving_service_s=2.0)
    directory.put(STARTED, 0.0)
    (server,) = directory.usable("search")
    directory.announce_leaving(server, 1.0)
    directory.put(STARTED._replace(is_leaving=True), 1.1)

    assert directory.last_resort("search", 1.2) == []


# Servers that ask for a pause.


def test_paused_server_is_not_used_until_its_longest_pause_ends() -> None:
    directory = ServerDirectory()
    directory.put(ENTRY, 0.0)
    (server,) = directory.usable("search")

    directory.pause(server, 5.0)
    directory.pause(server, 3.0)

    assert not directory.may_use(server, 4.9)
    assert directory.available_at_s("search", 1.0) == 5.0
    assert directory.pop_resumed_ids(4.9) == []
    assert directory.may_use(server, 5.0)
    assert directory.pop_resumed_ids(5.0) == ["i-1"]
    assert directory.pop_resumed_ids(5.0) == []


def test_pause_outlasts_a_new_entry_of_the_same_incarnation_only() -> None:
    directory = ServerDirectory()
    directory.put(STARTED, 0.0)
    (server,) = directory.usable("search")
    directory.pause(server, 9.0)

    directory.put(STARTED._replace(slot_count=4), 1.0)
    assert not directory.may_use(server, 1.0)
    directory.put(STARTED._replace(started_at_ms=2000), 2.0)
    assert directory.may_use(server, 2.0)


def test_complete_list_does_not_make_an_unchanged_server_cold_again() -> None:
    directory = ServerDirectory()
    cold = ENTRY._replace(cold_left_s=3.0)
    directory.put(cold, 0.0)
    (server,) = directory.usable("search")

    directory.replace_all([cold], 2.0)

    assert server.cold_until_s == 3.0


def limited_directory(started_at_ms: int = 7) -> ServerDirectory:
    directory = ServerDirectory()
    directory.put(ENTRY._replace(started_at_ms=started_at_ms), 0.0)
    (server,) = directory.usable("search")
    server.limit = ServerLimit(0.0, 0.0)
    server.limit.name(0.5, 0.0)
    return directory


def test_server_whose_entry_comes_back_keeps_its_limit() -> None:
    directory = limited_directory()
    directory.remove("i-1", 1.0)
    directory.expire(1.0 + REMOVED_ENTRY_GRACE_S)
    assert usable_ids(directory) == []

    directory.put(ENTRY._replace(started_at_ms=7), 4.0)

    (server,) = directory.usable("search")
    assert server.limit is not None
    assert server.limit.is_in_force


def test_server_that_started_again_has_no_limit() -> None:
    directory = limited_directory()

    directory.put(ENTRY._replace(started_at_ms=8), 0.1)

    assert directory.available_at_s("search", 0.1) == 0.1


def test_limit_that_is_used_up_keeps_requests_from_a_service() -> None:
    directory = limited_directory()
    assert directory.is_limited("search", 0.1)
    assert directory.available_at_s("search", 0.1) == pytest.approx(2.0)

    assert not directory.is_limited("search", 2.0)


def test_paused_server_is_no_sign_of_a_used_up_limit() -> None:
    directory = limited_directory()
    (server,) = directory.usable("search")
    directory.pause(server, 5.0)

    assert not directory.is_limited("search", 0.1)
    assert directory.available_at_s("search", 0.1) == 5.0


def test_server_whose_entry_comes_back_stays_paused() -> None:
    directory = ServerDirectory()
    directory.put(ENTRY._replace(started_at_ms=7), 0.0)
    (server,) = directory.usable("search")
    directory.pause(server, 9.0)
    directory.remove("i-1", 1.0)
    directory.expire(1.0 + REMOVED_ENTRY_GRACE_S)

    directory.put(ENTRY._replace(started_at_ms=7), 4.0)

    assert directory.available_at_s("search", 4.0) == 9.0
    assert directory.pop_resumed_ids(9.1) == ["i-1"]
