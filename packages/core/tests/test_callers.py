"""Which connections of callers give way for memory and descriptors."""

import random
from collections.abc import Callable

import pytest

from mulberrybay_core.callers.connection_limit import (
    FILE_COUNT,
    ConnectionLimit,
    ConnectionLimits,
)
from mulberrybay_core.callers.memory import (
    BODY_COPY_COUNT,
    SMALL_BYTES,
    STALL_S,
    CallerMemory,
    ConnectionAccount,
    HeldKind,
    running_bytes,
)

MB = 1024 * 1024
NOW_S = 100.0


class _Callers:
    """Accounts by name; a closed one is removed, as a server does."""

    def __init__(self, memory_mb: float) -> None:
        self.memory = CallerMemory(int(memory_mb * MB))
        self.accounts: dict[str, ConnectionAccount] = {}
        self.closed: list[str] = []

    def open(
        self, name: str, address: str, held_bytes: int, since_s: float
    ) -> ConnectionAccount:
        account = self.memory.open(address, self._closer(name), since_s)
        account.hold(HeldKind.INPUT, held_bytes)
        self.accounts[name] = account
        return account

    def _closer(self, name: str) -> Callable[[], None]:
        def close() -> None:
            self.closed.append(name)
            self.memory.remove(self.accounts.pop(name))

        return close


def test_largest_address_without_progress_gives_way_and_no_other() -> None:
    callers = _Callers(40)
    stalled_s = NOW_S - STALL_S
    for number in range(40):
        callers.open(f"many-{number}", "10.0.0.1", MB // 8, stalled_s)
    callers.open("one", "10.0.0.2", 3 * MB, stalled_s)
    callers.open("moving", "10.0.0.3", MB, NOW_S)
    forwarded = callers.open("forwarded", "10.0.0.4", MB // 2, stalled_s)
    forwarded.hold(HeldKind.RUNNING, 1)
    new = callers.open("new", "10.0.0.5", 0, NOW_S)

    assert callers.memory.admit(new, 300_000, NOW_S)
    assert len(callers.closed) == 9
    assert all(name.startswith("many-") for name in callers.closed)
    assert not callers.memory.admit(new, 11 * MB, NOW_S)
    assert {*callers.accounts} == {"moving", "forwarded", "new"}


def test_large_requests_leave_room_for_small_ones() -> None:
    callers = _Callers(40)
    account = callers.open("large", "10.0.0.1", 0, NOW_S)
    while callers.memory.admit(account, MB, NOW_S):
        account.hold(HeldKind.INPUT, account.held_bytes + MB)
    small = callers.open("small", "10.0.0.2", 0, NOW_S)

    assert callers.memory.admit(small, SMALL_BYTES, NOW_S, is_small=True)
    assert callers.closed == []


@pytest.mark.parametrize("memory_mb", [160, 552])
def test_callers_inside_the_documented_limits_are_all_admitted(
    memory_mb: int,
) -> None:
    """The limits: heads of 16,384 bytes, bodies of 262,144."""
    callers = _Callers(memory_mb)
    cost_bytes = running_bytes(16_384, 16_384 // 4, 262_144)
    for number in range(16):
        account = callers.open(f"{number}", f"10.0.0.{number}", 0, NOW_S)
        assert callers.memory.admit(account, cost_bytes, NOW_S)
        account.hold(HeldKind.RUNNING, cost_bytes)
    assert cost_bytes > BODY_COPY_COUNT * 262_144


def test_simulated_load_stays_within_the_budget_and_serves_small_requests() -> (
    None
):
    """Many connections of one address fill bodies and stop."""
    generator = random.Random(5)
    callers = _Callers(80)
    refused_count = 0
    for step in range(4000):
        now_s = NOW_S + step * 0.01
        account = callers.open(f"{step}", "10.0.0.1", 0, now_s)
        added_bytes = generator.randint(1, 262_144)
        if callers.memory.admit(account, added_bytes, now_s):
            account.hold(HeldKind.INPUT, added_bytes)
        assert callers.memory.held_bytes <= callers.memory.budget_bytes
        ordinary = callers.open("ordinary", "10.0.0.2", 0, now_s)
        cost_bytes = running_bytes(300, 10, 0)
        refused_count += not callers.memory.admit(
            ordinary, cost_bytes, now_s, is_small=True
        )
        callers.memory.remove(callers.accounts.pop("ordinary"))
    held = sum(account.held_bytes for account in callers.accounts.values())
    assert callers.memory.held_bytes == held
    assert refused_count == 0


def test_closed_connection_is_charged_nothing_more() -> None:
    callers = _Callers(40)
    account = callers.open("a", "10.0.0.1", 1000, NOW_S)
    callers.memory.remove(account)
    account.hold(HeldKind.ANSWER, 5000)
    assert callers.memory.held_bytes == 0


@pytest.mark.parametrize("count", [0, 250, 400, 4100, 8192])
def test_listeners_together_leave_descriptors_for_servers(count: int) -> None:
    limits = ConnectionLimits.from_descriptors(count)
    accepted = limits.caller_count + 3 * limits.own_answer_count
    assert min(limits) >= 16
    assert accepted <= max(64, 0.75 * (count - FILE_COUNT))


def test_connection_that_is_idle_for_the_longest_time_gives_way() -> None:
    limit: ConnectionLimit[str] = ConnectionLimit(3)
    for name in ("a", "b", "c"):
        limit.add(name)
    limit.record_busy("a")
    limit.record_idle("a")
    limit.record_busy("b")
    assert limit.is_full
    assert limit.longest_idle() == "c"
    limit.remove("c")
    assert not limit.is_full
    limit.record_busy("a")
    assert limit.longest_idle() is None
