"""Times of one connection that are part of its caller's latency."""

from mulberrybay_core.overload.answer_reserve import AnswerReserve
from mulberrybay_runtime.clock import read_clock_s
from mulberrybay_runtime.streams import Stream


class ConnectionTiming:
    """Observes when requests arrive and answers leave.

    Attributes:
        peer_host: The host that the connection comes from; empty if it isn't
            observed.
    """

    def __init__(self, stream: Stream, reserve: AnswerReserve | None) -> None:
        """Starts to observe a new connection.

        Args:
            stream: The connection.
            reserve: Learns the delays of answers; None if they don't matter.
        """
        self._stream = stream
        self._reserve = reserve
        self._round_trip_s = stream.round_trip_s()
        self._opened_since_s = stream.arrival_bounds_s()[0]
        self._accepted_at_s = read_clock_s()
        self._has_request = False
        # When the answer was submitted whose end is not sent yet.
        self._submitted_at_s: float | None = None
        self.peer_host = ""
        if reserve is not None:
            self.peer_host = stream.peer.host
            reserve.record_round_trip(
                self.peer_host, self._round_trip_s, self._accepted_at_s
            )

    def network_time_s(self) -> float:
        """Returns the network time of a request that was just read, in seconds.

        It is two round trips for the first request of a connection, which
        includes the opening of the connection, and one for later requests. To
        this comes the time for which the request waited to be read.
        """
        round_trip_count = 1
        earliest_s, latest_s = self._stream.arrival_bounds_s()
        if not self._has_request:
            self._has_request = True
            round_trip_count = 2
            if earliest_s <= self._accepted_at_s:
                # It arrived with the connection, before the node accepted that.
                earliest_s = self._opened_since_s
                latest_s = self._accepted_at_s
        waited_s = read_clock_s() - (earliest_s + latest_s) / 2
        return round_trip_count * self._round_trip_s + waited_s

    def on_answer(self, submitted_at_s: float) -> None:
        """Records that an answer was submitted."""
        self._submitted_at_s = submitted_at_s
        self.on_sent(submitted_at_s)

    def on_sent(self, now_s: float) -> None:
        """Records that the kernel has accepted bytes of answers."""
        if self._reserve is None or self._submitted_at_s is None:
            return
        if not self._stream.unsent:
            self._reserve.record_unsent(now_s - self._submitted_at_s, now_s)
            self._submitted_at_s = None
