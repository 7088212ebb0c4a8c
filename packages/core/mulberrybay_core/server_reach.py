"""Whether this node reaches any backend server.

A node may be cut off from all backend servers while callers, the store and the
other nodes still reach it. Single servers that fail are no sign of that, and
replies on open connections are no sign against it. When several servers have not
accepted a connection, or requests go without a reply, the node therefore probes
several servers that have replied lately. It has lost all of them if none accepts a
connection.
"""

from collections.abc import Iterable, Sequence
from typing import Final

# A round of probes starts once this many different servers in a row have not
# accepted a connection.
SUSPICIOUS_FAILURE_COUNT: Final = 2
# A round starts too when requests are in flight and no server has replied for
# this time. A probe costs little, so slow services may cause some.
MAX_REPLY_SILENCE_S: Final = 0.2
# A node that may soon be advertised probes at this period without requests, so that
# it doesn't replace others while it is cut off itself.
IDLE_PERIOD_S: Final = 2.0
# The shortest time between two rounds.
MIN_ROUND_PERIOD_S: Final = 0.5
# The servers of a round. Even if half of all servers are down, a round seldom
# meets only such ones.
PROBE_COUNT: Final = 5


class ServerReach:
    """What connections and replies show about the reach of this node.

    Attributes:
        is_lost: Whether no backend server can be reached.
    """

    def __init__(self, now_s: float) -> None:
        self.is_lost = False
        self._replied_at_s: dict[str, float] = {}
        self._last_reply_at_s = now_s
        self._last_contact_at_s: float | None = None
        self._failed_ids: set[str] = set()
        self._round: set[str] = set()
        self._round_started_at_s: float | None = None

    # What this node observes.

    def record_reply(self, server_id: str, now_s: float) -> None:
        """Records a reply, on an open connection or a new one."""
        self._replied_at_s[server_id] = self._last_reply_at_s = now_s

    def record_accepted(self, now_s: float) -> None:
        """Records that a server has accepted a connection."""
        self.is_lost = False
        self._last_contact_at_s = now_s
        self._failed_ids.clear()
        self._round.clear()

    def record_failed(self, server_id: str) -> None:
        """Records that a server has not accepted a connection."""
        self._failed_ids.add(server_id)
        if server_id not in self._round:
            return
        self._round.discard(server_id)
        if not self._round:
            self.is_lost = True

    def forget(self, server_id: str) -> None:
        """Drops the state of a server."""
        self._replied_at_s.pop(server_id, None)
        self._failed_ids.discard(server_id)
        self._round.discard(server_id)

    def is_silent(self, now_s: float) -> bool:
        """Whether no server is reached, and open connections are silent too."""
        return self.is_lost and self.is_quiet(now_s)

    def is_quiet(self, now_s: float) -> bool:
        """Whether no server has replied lately."""
        return now_s - self._last_reply_at_s > MAX_REPLY_SILENCE_S

    # Probes.

    def should_probe(
        self, oldest_sent_at_s: float | None, now_s: float
    ) -> bool:
        """Returns whether to start a round of probes.

        Args:
            oldest_sent_at_s: When the oldest request in flight was sent; None
                without one, or if servers have replied lately.
            now_s: The time.
        """
        started_at_s = self._round_started_at_s
        if started_at_s is None:
            return True
        if now_s - started_at_s < MIN_ROUND_PERIOD_S:
            return False
        if self.is_lost or len(self._failed_ids) >= SUSPICIOUS_FAILURE_COUNT:
            return True
        if oldest_sent_at_s is None:
            return False
        silent_since_s = max(oldest_sent_at_s, self._last_reply_at_s)
        return now_s - silent_since_s > MAX_REPLY_SILENCE_S

    def is_idle(self, now_s: float) -> bool:
        """Whether nothing has shown the reach for long.

        A node that may soon be advertised then starts a round.
        """
        shown_at_s = max(
            self._last_reply_at_s,
            self._last_contact_at_s or 0.0,
            self._round_started_at_s or 0.0,
        )
        return now_s - shown_at_s > IDLE_PERIOD_S

    def start_round(
        self, server_ids: Iterable[str], now_s: float
    ) -> Sequence[str]:
        """Starts a round and returns the servers to probe.

        Those that have replied last come first: they are known to run.

        Args:
            server_ids: The servers that may be probed.
            now_s: The time.
        """
        ranked = sorted(
            server_ids,
            key=lambda server_id: self._replied_at_s.get(server_id, 0.0),
            reverse=True,
        )
        chosen = ranked[:PROBE_COUNT]
        if chosen:
            self._round_started_at_s = now_s
            self._round = {*chosen}
        return chosen
