"""Accounts for the bytes that callers make a node hold, and bounds them.

Each connection has an account; all accounts share a budget. When the budget is
short, connections without progress are closed: first those of the address that
holds the most on such connections, the largest first. A connection that makes
progress, or whose request was forwarded, is left alone; if that doesn't free
enough, the new bytes are refused.
"""

import enum
from collections import defaultdict
from collections.abc import Callable, Iterable
from typing import Final

# A connection that gets fewer bytes ahead for so long has no progress. This
# only matters while the budget is short.
STALL_S: Final = 1.0
MIN_PROGRESS_BYTES: Final = 256
# A part of the budget is kept for requests that need no more than this, so that
# large ones don't keep ordinary ones from being served.
SMALL_BYTES: Final = 64 * 1024
SMALL_RATIO: Final = 0.125
# The remaining memory is for the program, views of the store, replies of
# servers in progress, and what the allocator can't give back.
BUDGET_RATIO: Final = 0.25
# How long to wait after no connection was found to close, as looking for one
# takes longer the more connections there are.
SEARCH_PERIOD_S: Final = 0.1

# Costs of a request in memory: objects of its handler; a header as a pair of
# strings; copies of the head for servers; the body as received and as sent.
REQUEST_BYTES: Final = 8 * 1024
HEADER_LINE_BYTES: Final = 200
HEAD_COPY_COUNT: Final = 4
BODY_COPY_COUNT: Final = 3


class HeldKind(enum.IntEnum):
    """What a caller makes a node hold."""

    INPUT = 0
    WAITING = 1
    RUNNING = 2
    ANSWER = 3


def running_bytes(head_bytes: int, line_count: int, body_bytes: int) -> int:
    """Returns what a request takes in memory while it runs."""
    return (
        REQUEST_BYTES
        + HEADER_LINE_BYTES * line_count
        + HEAD_COPY_COUNT * head_bytes
        + BODY_COPY_COUNT * body_bytes
    )


class ConnectionAccount:
    """What one connection holds; made by `CallerMemory.open`.

    Attributes:
        address: The caller's address.
        close: Closes the connection to free what it holds.
        held: The bytes held, by `HeldKind`.
        held_bytes: The sum of these.
        is_open: Whether the connection is open; else it holds nothing.
        progress_at_s: When the connection last made progress.
    """

    __slots__ = (
        "_memory",
        "_progress_bytes",
        "address",
        "close",
        "held",
        "held_bytes",
        "is_open",
        "progress_at_s",
    )

    def __init__(
        self,
        memory: "CallerMemory",
        address: str,
        close: Callable[[], None],
        now_s: float,
    ) -> None:
        self._memory = memory
        self._progress_bytes = 0
        self.address = address
        self.close = close
        self.held = [0] * len(HeldKind)
        self.held_bytes = 0
        self.is_open = True
        self.progress_at_s = now_s

    def hold(self, kind: HeldKind, held_bytes: int) -> None:
        """Sets the bytes held of a kind."""
        added_bytes = held_bytes - self.held[kind]
        if added_bytes and self.is_open:
            self.held[kind] = held_bytes
            self.held_bytes += added_bytes
            self._memory.held_bytes += added_bytes

    def record_progress(self, progress_bytes: int, now_s: float) -> None:
        """Records bytes of a request that arrived or of an answer that left."""
        self._progress_bytes += progress_bytes
        if self._progress_bytes >= MIN_PROGRESS_BYTES:
            self._progress_bytes = 0
            self.progress_at_s = now_s

    def is_stalled(self, now_s: float) -> bool:
        """Whether it may be closed: it holds bytes and makes no progress."""
        return (
            self.held_bytes > 0
            and not self.held[HeldKind.RUNNING]
            and now_s - self.progress_at_s >= STALL_S
        )


class CallerMemory:
    """The budget of all connections.

    Attributes:
        budget_bytes: What all connections together may hold.
        held_bytes: What they hold.
    """

    def __init__(self, node_memory_bytes: int) -> None:
        self.budget_bytes = int(BUDGET_RATIO * node_memory_bytes)
        self._large_budget_bytes = int((1 - SMALL_RATIO) * self.budget_bytes)
        self.held_bytes = 0
        self._accounts: set[ConnectionAccount] = set()
        self._search_at_s = 0.0

    def open(
        self, address: str, close: Callable[[], None], now_s: float
    ) -> ConnectionAccount:
        """Returns the account of a new connection."""
        account = ConnectionAccount(self, address, close, now_s)
        self._accounts.add(account)
        return account

    def remove(self, account: ConnectionAccount) -> None:
        """Removes the account of a connection that was closed."""
        if account in self._accounts:
            self._accounts.discard(account)
            account.is_open = False
            self.held_bytes -= account.held_bytes
            account.held_bytes = 0
            account.held = [0] * len(HeldKind)

    def admit(
        self,
        account: ConnectionAccount,
        added_bytes: int,
        now_s: float,
        *,
        is_small: bool = False,
    ) -> bool:
        """Returns whether a connection may hold more; may close others.

        Args:
            account: The connection.
            added_bytes: What it would hold in addition. It isn't charged here.
            now_s: The current time.
            is_small: Whether the part for small requests may be used.
        """
        budget_bytes = (
            self.budget_bytes if is_small else self._large_budget_bytes
        )
        missing_bytes = self.held_bytes + added_bytes - budget_bytes
        if missing_bytes <= 0:
            return True
        if now_s < self._search_at_s:
            return False
        victims = self.choose_victims(missing_bytes, now_s, account)
        if not victims:
            self._search_at_s = now_s + SEARCH_PERIOD_S
        for victim in victims:
            victim.close()
        return self.held_bytes + added_bytes <= budget_bytes

    def choose_victims(
        self,
        missing_bytes: int,
        now_s: float,
        excluded: ConnectionAccount | None = None,
    ) -> list[ConnectionAccount]:
        """Returns the connections to close to free bytes, in order."""
        by_address: dict[str, list[ConnectionAccount]] = defaultdict(list)
        for account in self._accounts:
            if account is not excluded and account.is_stalled(now_s):
                by_address[account.address].append(account)
        victims: list[ConnectionAccount] = []
        for accounts in sorted(by_address.values(), key=_sum, reverse=True):
            for account in sorted(accounts, key=_size, reverse=True):
                if missing_bytes <= 0:
                    return victims
                victims.append(account)
                missing_bytes -= account.held_bytes
        return victims

    def held_by_kind(self) -> dict[HeldKind, int]:
        """Returns the bytes held by kind."""
        return {
            kind: sum(account.held[kind] for account in self._accounts)
            for kind in HeldKind
        }


def _size(account: ConnectionAccount) -> int:
    return account.held_bytes


def _sum(accounts: Iterable[ConnectionAccount]) -> int:
    return sum(map(_size, accounts))
