"""Requests under which backend servers crash, as all nodes know them.

Some requests crash every backend server that runs them, and callers send them
again. A server that crashes ends all requests that run on it, so one crash says
little about each of these, and servers also end for other reasons, many at a
time. A request is therefore condemned only after servers crashed under it several
times in a row: each time it was sent after the crash before, and no server has
replied to it in between. A crash doesn't count for a request if another one that
ran on the server has crashed as many in a row.

Nodes tell each other of crashes and of replies that clear a request. Each judges
by itself, and all judge alike once they know the same. Until others can have told
what else a server lost, another request with one crash less may have caused all.
"""

import hashlib
import itertools
import math
from collections import OrderedDict
from collections.abc import Collection, Iterable, Mapping
from typing import Final, NamedTuple

# A request is condemned after this many crashes in a row.
CONDEMNED_COUNT: Final = 3
# After this many, it no longer matters which other requests ran there.
MAX_CRASH_COUNT: Final = 5
# Servers that are killed one after the other end closer together than this.
MIN_CRASH_GAP_S: Final = 0.025
# What a server lost is known at all nodes after this time: the check of the server,
# the time until nodes tell, and their links.
TOLD_AFTER_S: Final = 0.15
# A request that servers used to reply to is condemned only after this time without
# a reply.
MIN_SILENCE_S: Final = 1.0
# After these times without a crash, one node tries a condemned request again. If
# that ends in a crash too, it isn't tried until it has stopped coming. A query may
# have crashed many servers at once, and two more before it was condemned: this is
# the third request that reaches servers since.
TRIAL_DELAYS_S: Final = (60.0,)
# A request that no caller has sent for this time is forgotten.
FORGET_AFTER_S: Final = 600.0
# A start of a server crashes once. Two reports are of the same crash if it isn't
# known when the server started and they are this close.
SAME_CRASH_S: Final = 0.5
# Reports of a reply differ by the time that they took from node to node.
SAME_REPLY_S: Final = 1.0
# Condemned requests that one node stores.
MAX_STORED_COUNT: Final = 16
# Requests with crashes that are kept. Those with the fewest crashes in a row, and
# of these the oldest, make room for others.
MAX_SUSPECT_COUNT: Final = 512
# Requests whose last reply is remembered: more than are in flight at a time.
MAX_REPLIED_COUNT: Final = 2048
# How long a change is told to other nodes. Their copies of it may get lost.
TELL_S: Final = 5.0
# The most requests told in one heartbeat, and how many of them are condemned ones
# at least, if there are that many.
MAX_TOLD_COUNT: Final = 12
MIN_TOLD_CONDEMNED_COUNT: Final = 4


# 421 and 429 say that a server did not run the request, 408 that it didn't read it.
NOT_RUN_STATUSES: Final = (408, 421, 429)


class Crash(NamedTuple):
    """A crash of a server under a request.

    Attributes:
        server_key: Identifies the start of the server.
        has_start_time: Whether the key identifies one start, not several.
        sent_at_s: When the request was sent to it.
        crashed_at_s: When its connection ended.
    """

    server_key: int
    has_start_time: bool
    sent_at_s: float
    crashed_at_s: float

    def is_same(self, other: "Crash") -> bool:
        """Whether two reports are of the same crash."""
        return self.server_key == other.server_key and (
            self.has_start_time
            or other.has_start_time
            or abs(self.crashed_at_s - other.crashed_at_s) < SAME_CRASH_S
        )

    def shifted(self, offset_s: float) -> "Crash":
        """Returns the crash with its times moved."""
        return self._replace(
            sent_at_s=self.sent_at_s + offset_s,
            crashed_at_s=self.crashed_at_s + offset_s,
        )


class SuspectReport(NamedTuple):
    """What one node tells others of a request; times are relative to its own.

    Attributes:
        identity: The request; see `identify_request`.
        crashes: Crashes in a row.
        replied_ago_s: How long ago a server last ran it and replied; None if none
            did.
        seen_ago_s: How long ago a caller last sent it.
    """

    identity: bytes
    crashes: tuple[Crash, ...]
    replied_ago_s: float | None
    seen_ago_s: float


def is_proof_of_life(status: int) -> bool:
    """Whether a reply shows that a server ran a request and did not crash.

    Statuses that say that it was not run show nothing, nor do those from 500 on,
    with which a faulty server may answer without running it.
    """
    return status < 500 and status not in NOT_RUN_STATUSES


def server_key(server_id: str, started_at_ms: int) -> int:
    """Returns a key that is the same at all nodes for one start of a server."""
    text = f"{server_id} {started_at_ms}".encode()
    return int.from_bytes(hashlib.blake2b(text, digest_size=8).digest())


class _Suspect:
    """A request with crashes, or one that a reply has cleared of them."""

    __slots__ = (
        "changed_at_s",
        "crashes",
        "replied_at_s",
        "seen_at_s",
        "told_at_s",
    )

    def __init__(self, now_s: float) -> None:
        self.crashes: tuple[Crash, ...] = ()
        self.replied_at_s: float | None = None
        self.seen_at_s = now_s
        self.changed_at_s = now_s
        # When other nodes were last told of it as it is now.
        self.told_at_s = -math.inf


def crashes_in_a_row(crashes: Iterable[Crash]) -> tuple[Crash, ...]:
    """Returns the longest sequence in which each was sent after the one before.

    Of crashes at about the same time, only the first is in it: one cause outside
    of the request may explain all of them.
    """
    chosen: list[Crash] = []
    for crash in sorted(crashes, key=lambda crash: crash.crashed_at_s):
        if any(crash.is_same(other) for other in chosen):
            continue
        if not chosen or (
            crash.sent_at_s >= chosen[-1].crashed_at_s
            and crash.crashed_at_s >= chosen[-1].crashed_at_s + MIN_CRASH_GAP_S
        ):
            chosen.append(crash)
    return tuple(chosen[:MAX_CRASH_COUNT])


class _Candidates:
    """Requests with about enough crashes in a row to be condemned."""

    def __init__(
        self,
        crashes: Mapping[bytes, tuple[Crash, ...]],
        undecided: Collection[bytes],
    ) -> None:
        """Creates the candidates of one judgement.

        Args:
            crashes: The crashes in a row of each.
            undecided: Those of whose last crash other nodes may know more.
        """
        self._crashes = crashes
        self._undecided = undecided
        self._by_server: dict[int, list[tuple[bytes, Crash]]] = {}
        for identity, in_a_row in crashes.items():
            for crash in in_a_row:
                self._by_server.setdefault(crash.server_key, []).append(
                    (identity, crash)
                )

    def guilty(self) -> frozenset[bytes]:
        """Returns the requests to which their crashes are due."""
        return frozenset(filter(self._is_guilty, self._crashes))

    def _is_guilty(self, identity: bytes) -> bool:
        crashes = self._crashes[identity]
        if len(crashes) < CONDEMNED_COUNT:
            return False
        if len(crashes) >= MAX_CRASH_COUNT:
            return True
        unexplained_count = sum(
            not self._has_rival(identity, crash) for crash in crashes
        )
        return unexplained_count >= CONDEMNED_COUNT

    def _has_rival(self, identity: bytes, crash: Crash) -> bool:
        """Whether another request that ran there has as many crashes."""
        count = len(self._crashes[identity]) - (identity in self._undecided)
        return any(
            name != identity
            and len(self._crashes[name]) >= count
            and crash.is_same(other)
            for name, other in self._by_server[crash.server_key]
        )


class FatalRequests:
    """The requests under which servers have crashed; see the module docstring."""

    def __init__(self) -> None:
        self._suspects: dict[bytes, _Suspect] = {}
        # Judged when it is asked for, so that crashes of one server, which are
        # recorded one after the other, are judged together.
        self._condemned: frozenset[bytes] = frozenset()
        self._is_judged = True
        self._now_s = -math.inf
        # When to judge again without further news.
        self._decided_at_s = math.inf
        # When a server last ran a request and replied, by request; oldest first.
        self._replied_at_s: OrderedDict[bytes, float] = OrderedDict()

    def __len__(self) -> int:
        return len(self._suspects)

    @property
    def replied_count(self) -> int:
        """The number of requests whose last reply is remembered."""
        return len(self._replied_at_s)

    # What this node observes.

    def record_request(self, identity: bytes, now_s: float) -> None:
        """Records that a caller has sent a request."""
        self.pass_time(now_s)
        suspect = self._suspects.get(identity)
        if suspect is not None:
            suspect.seen_at_s = now_s

    def record_reply(self, identity: bytes, now_s: float) -> bool:
        """Records that a server ran a request and replied to it.

        Returns:
            Whether this clears the request of crashes.
        """
        self._remember_reply(identity, now_s)
        suspect = self._suspects.get(identity)
        if suspect is None or not suspect.crashes:
            return False
        return self._update(identity, (), now_s)

    def _remember_reply(self, identity: bytes, at_s: float) -> None:
        self._replied_at_s[identity] = at_s
        self._replied_at_s.move_to_end(identity)
        if len(self._replied_at_s) > MAX_REPLIED_COUNT:
            self._replied_at_s.popitem(last=False)

    def has_replied_since(self, identity: bytes, since_s: float) -> bool:
        """Whether a server replied to a request at or after a time."""
        replied_at_s = self._replied_at_s.get(identity)
        return replied_at_s is not None and replied_at_s >= since_s

    def record_crash(self, identity: bytes, crash: Crash, now_s: float) -> bool:
        """Records that a server crashed under a request.

        Returns:
            Whether this makes the crashes in a row more.
        """
        return self._update(identity, (crash,), now_s)

    def _update(
        self, identity: bytes, crashes: Iterable[Crash], now_s: float
    ) -> bool:
        """Adds crashes and drops those that a reply has made void.

        Returns:
            Whether the crashes in a row have changed.
        """
        self.pass_time(now_s)
        suspect = self._suspects.get(identity) or _Suspect(now_s)
        replied_at_s = self._replied_at_s.get(identity, suspect.replied_at_s)
        known = (*suspect.crashes, *crashes)
        valid = [
            crash
            for crash in known
            if replied_at_s is None or crash.sent_at_s > replied_at_s
        ]
        in_a_row = crashes_in_a_row(valid)
        # Other nodes learn of a reply only if it clears the request.
        is_cleared = len(valid) < len(known)
        if len(in_a_row) == len(suspect.crashes) and not is_cleared:
            return False
        suspect.crashes = in_a_row
        suspect.replied_at_s = replied_at_s
        suspect.changed_at_s = now_s
        suspect.told_at_s = -math.inf
        self._suspects[identity] = suspect
        self._make_room()
        self._is_judged = False
        return True

    def _make_room(self) -> None:
        if len(self._suspects) <= MAX_SUSPECT_COUNT:
            return
        least = min(
            self._suspects,
            key=lambda identity: (
                len(self._suspects[identity].crashes),
                self._suspects[identity].changed_at_s,
            ),
        )
        del self._suspects[least]

    # Judgement.

    def crash_count(self, identity: bytes) -> int:
        """Returns the number of crashes in a row under a request."""
        suspect = self._suspects.get(identity)
        return 0 if suspect is None else len(suspect.crashes)

    def is_suspected(self, identity: bytes) -> bool:
        """Whether a server has crashed under a request since its last reply."""
        suspect = self._suspects.get(identity)
        return suspect is not None and bool(suspect.crashes)

    def is_condemned(self, identity: bytes) -> bool:
        """Whether a request must not be sent to servers, except for trials."""
        return identity in self.condemned

    def pass_time(self, now_s: float) -> None:
        """Judges again what was undecided, if others can have told by now."""
        self._now_s = max(self._now_s, now_s)
        if self._now_s >= self._decided_at_s:
            self._is_judged = False

    def _judge(self) -> None:
        candidates = {
            identity: suspect.crashes
            for identity, suspect in self._suspects.items()
            if len(suspect.crashes) >= CONDEMNED_COUNT - 1
            and (
                suspect.replied_at_s is None
                or suspect.crashes[-1].crashed_at_s
                >= suspect.replied_at_s + MIN_SILENCE_S
            )
        }
        decided_at_s = {
            identity: self._suspects[identity].changed_at_s + TOLD_AFTER_S
            for identity in candidates
            if identity not in self._condemned
        }
        undecided = {
            identity: at_s
            for identity, at_s in decided_at_s.items()
            if at_s > self._now_s
        }
        self._decided_at_s = min(undecided.values(), default=math.inf)
        self._condemned = _Candidates(candidates, undecided).guilty()

    def last_crash_at_s(self, identity: bytes) -> float | None:
        """Returns when the last crash in a row was; None without any."""
        suspect = self._suspects.get(identity)
        if suspect is None or not suspect.crashes:
            return None
        return suspect.crashes[-1].crashed_at_s

    def next_trial_at_s(self, identity: bytes) -> float | None:
        """Returns from when on one node may try a condemned request again.

        Returns:
            The time; None if it won't be tried while it keeps coming.
        """
        suspect = self._suspects.get(identity)
        if suspect is None or not suspect.crashes:
            return None
        trial_count = len(suspect.crashes) - CONDEMNED_COUNT
        if not 0 <= trial_count < len(TRIAL_DELAYS_S):
            return None
        return suspect.crashes[-1].crashed_at_s + TRIAL_DELAYS_S[trial_count]

    @property
    def condemned(self) -> frozenset[bytes]:
        """The condemned requests."""
        if not self._is_judged:
            self._judge()
            self._is_judged = True
        return self._condemned

    # What nodes tell each other.

    def reports(self, now_s: float) -> list[SuspectReport]:
        """Returns what to tell other nodes, and notes that it is told.

        Changes are told for some time, and condemned requests for as long as they
        are known, so that nodes that start learn of them. Those that were told
        longest ago come first: however many there are, each has its turn.
        """
        told = [
            (identity, suspect)
            for identity, suspect in self._suspects.items()
            if now_s - suspect.changed_at_s < TELL_S
            or len(suspect.crashes) >= CONDEMNED_COUNT
        ]
        told.sort(
            key=lambda item: (item[1].told_at_s, -len(item[1].crashes)),
        )
        # Many changes must not keep nodes that start from condemned requests.
        first = [
            item for item in told if len(item[1].crashes) >= CONDEMNED_COUNT
        ][:MIN_TOLD_CONDEMNED_COUNT]
        told = [*first, *(item for item in told if item not in first)]
        for _, suspect in told[:MAX_TOLD_COUNT]:
            suspect.told_at_s = now_s
        return [
            SuspectReport(
                identity,
                tuple(crash.shifted(-now_s) for crash in suspect.crashes),
                None
                if suspect.replied_at_s is None
                else now_s - suspect.replied_at_s,
                max(0.0, now_s - suspect.seen_at_s),
            )
            for identity, suspect in told[:MAX_TOLD_COUNT]
        ]

    def merge(
        self, reports: Iterable[SuspectReport], now_s: float
    ) -> list[bytes]:
        """Takes over what another node has told.

        Returns:
            The requests of which this node now knows more, or knows that they
            are cleared.
        """
        changed = []
        for report in reports:
            if self._merge_report(report, now_s):
                changed.append(report.identity)
        return changed

    def _merge_report(self, report: SuspectReport, now_s: float) -> bool:
        identity = report.identity
        if report.replied_ago_s is not None:
            replied_at_s = now_s - report.replied_ago_s
            known_at_s = self._replied_at_s.get(identity)
            if known_at_s is None or replied_at_s > known_at_s + SAME_REPLY_S:
                self._remember_reply(identity, replied_at_s)
        has_changed = self._update(
            identity, (crash.shifted(now_s) for crash in report.crashes), now_s
        )
        suspect = self._suspects.get(identity)
        if suspect is not None:
            seen_at_s = now_s - report.seen_ago_s
            suspect.seen_at_s = max(suspect.seen_at_s, seen_at_s)
        return has_changed

    # What lasts beyond the nodes.

    def server_keys(self, identity: bytes) -> tuple[int, ...]:
        """Returns the servers that crashed in a row under a request."""
        suspect = self._suspects.get(identity)
        crashes = () if suspect is None else suspect.crashes
        return tuple(crash.server_key for crash in crashes)

    def restore(
        self, identity: bytes, server_keys: Iterable[int], now_s: float
    ) -> bool:
        """Takes over a condemned request that was stored.

        When the servers crashed is not known any more; trials count from now on.

        Returns:
            Whether this node now knows of more crashes.
        """
        stored = [*server_keys]
        if self.crash_count(identity) >= len(stored):
            return False
        keys: list[int] = []
        for server in stored:
            # Without start times, several crashes may have the same key.
            offset = next(
                n for n in itertools.count() if server + n not in keys
            )
            keys.append((server + offset) % 2**64)
        crashes = []
        for number, key in enumerate(reversed(keys)):
            at_s = now_s - 2 * number * MIN_CRASH_GAP_S
            crashes.append(Crash(key, True, at_s, at_s))
        return self._update(identity, crashes, now_s)

    def expire(self, now_s: float) -> None:
        """Forgets requests that callers have stopped to send."""
        expired = [
            identity
            for identity, suspect in self._suspects.items()
            if now_s - max(suspect.seen_at_s, suspect.changed_at_s)
            > (FORGET_AFTER_S if suspect.crashes else TELL_S)
        ]
        for identity in expired:
            del self._suspects[identity]
            self._is_judged = False
