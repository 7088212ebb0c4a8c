"""When a node sends a request under which backend servers have crashed.

A suspected request goes to one server at a time: copies of it that come to a node
take turns, and each waits until it is known whether the server of the one before
has crashed. A condemned request is sent for trials only.
"""

from collections import Counter
from typing import Final, NamedTuple

from mulberrybay_core.fatal_requests import (
    FORGET_AFTER_S,
    MIN_CRASH_GAP_S,
    TRIAL_DELAYS_S,
    FatalRequests,
)

# A request to which a server has replied in this time is sent as before, though
# servers may have crashed under it since.
RECENT_REPLY_S: Final = 10.0
# A request that needs care is sent to a second server if the first one is silent
# for this time: a crash would have ended its connection.
MAX_SILENCE_S: Final = 0.5
MIN_RETRY_AFTER_S: Final = 1.0


class _Turn(NamedTuple):
    """A request that was sent to one server, which may crash under it.

    Attributes:
        server_id: The server.
        holder: Handles the request.
        ends_at_s: Until when others of the same identity wait for its result.
    """

    server_id: str
    holder: object
    ends_at_s: float


class SuspectTurns:
    """The turns and trials of suspected requests at one node."""

    def __init__(self, requests: FatalRequests) -> None:
        """Creates the turns of a node that has sent nothing.

        Args:
            requests: The requests under which servers have crashed.
        """
        self._requests = requests
        # Servers that are being checked, by the request that they lost.
        self._check_counts: Counter[bytes] = Counter()
        self._turns: dict[bytes, _Turn] = {}
        # When this node last tried a condemned request.
        self._tried_at_s: dict[bytes, float] = {}

    def begin_check(self, identity: bytes) -> None:
        """Records that a server that lost a request is being checked."""
        self._check_counts[identity] += 1

    def end_check(self, identity: bytes) -> None:
        """Records that it is known whether the server has crashed."""
        self._check_counts[identity] -= 1
        if not self._check_counts[identity]:
            del self._check_counts[identity]

    def needs_care(self, identity: bytes, now_s: float) -> bool:
        """Whether to send a request to one server at a time.

        A server has crashed under it, or is being checked, and none has
        replied to it lately.
        """
        return (
            identity in self._check_counts
            or self._requests.is_suspected(identity)
        ) and not self._has_replied(identity, now_s)

    def needs_one_sender(self, identity: bytes, now_s: float) -> bool:
        """Whether only one of all nodes should send a request.

        Nodes that each send it once would crash as many servers before they
        learn of each other's crashes.
        """
        return (
            self._requests.is_suspected(identity)
            and not self._requests.is_condemned(identity)
            and not self._has_replied(identity, now_s)
        )

    def must_wait(self, identity: bytes, now_s: float) -> bool:
        """Whether a request that needs care can't be sent yet.

        It will soon be known if one more server has crashed, or what ended the
        last one may still end others.
        """
        if not self._requests.is_suspected(identity) or self._has_replied(
            identity, now_s
        ):
            return False
        last_at_s = self._requests.last_crash_at_s(identity) or 0.0
        turn = self._turns.get(identity)
        return (
            identity in self._check_counts
            or now_s < last_at_s + MIN_CRASH_GAP_S
            or (turn is not None and now_s < turn.ends_at_s)
        )

    def _has_replied(self, identity: bytes, now_s: float) -> bool:
        return self._requests.has_replied_since(
            identity, now_s - RECENT_REPLY_S
        )

    def begin_turn(
        self, identity: bytes, server_id: str, holder: object, now_s: float
    ) -> None:
        """Lets others of the same identity wait, if that needs care.

        Args:
            identity: The request.
            server_id: The server that it was sent to.
            holder: Has just sent it.
            now_s: The time.
        """
        if self.needs_care(identity, now_s):
            self._turns[identity] = _Turn(
                server_id, holder, now_s + MAX_SILENCE_S
            )

    def end_turn(self, identity: bytes, holder: object) -> None:
        """Lets others of the same identity be sent; see `begin_turn`."""
        turn = self._turns.get(identity)
        if turn is not None and turn.holder is holder:
            del self._turns[identity]

    def avoided_servers(self, identity: bytes, now_s: float) -> frozenset[str]:
        """Returns the servers at which a request isn't tried now.

        Requests that needed care met at a server that crashed, and are tried
        apart: if one crashes the next server too, the others aren't there.
        """
        if not self._turns or not self.needs_care(identity, now_s):
            return frozenset()
        return frozenset(
            turn.server_id
            for other, turn in self._turns.items()
            if other != identity and now_s < turn.ends_at_s
        )

    # Condemned requests.

    def is_trial_due(self, identity: bytes, now_s: float) -> bool:
        """Whether the owner of a condemned request may try it again."""
        trial_at_s = self._requests.next_trial_at_s(identity)
        return (
            trial_at_s is not None
            and now_s >= trial_at_s
            # A trial may end without a crash or a reply.
            and now_s >= self._tried_at_s.get(identity, 0.0) + TRIAL_DELAYS_S[0]
        )

    def record_trial(self, identity: bytes, now_s: float) -> None:
        """Records that this node tries a condemned request."""
        self._tried_at_s[identity] = now_s

    def retry_after_s(self, identity: bytes, now_s: float) -> float:
        """Returns after which time a condemned request may be served."""
        trial_at_s = self._requests.next_trial_at_s(identity)
        if trial_at_s is None:
            return FORGET_AFTER_S
        return max(MIN_RETRY_AFTER_S, trial_at_s - now_s)

    def expire(self) -> None:
        """Forgets trials of requests that are no longer condemned."""
        for identity in [*self._tried_at_s]:
            if not self._requests.is_condemned(identity):
                del self._tried_at_s[identity]
