"""HTTP/1.1 server for callers: accepts their connections."""

import traceback
from collections.abc import Callable
from typing import Final, Self

from mulberrybay_core.addresses import Address
from mulberrybay_core.caller_messages import (
    CallerAnswer,
    CallerService,
    HeaderNames,
)
from mulberrybay_core.callers.connection_limit import (
    ConnectionLimit,
    find_longest_stalled,
)
from mulberrybay_core.callers.memory import SEARCH_PERIOD_S
from mulberrybay_core.overload.answer_reserve import AnswerReserve
from mulberrybay_core.routing import CallerLimits
from mulberrybay_runtime.callers import resources as reasons
from mulberrybay_runtime.callers.connection import CallerConnection
from mulberrybay_runtime.callers.resources import CallerResources
from mulberrybay_runtime.callers.turns import TurnLoop
from mulberrybay_runtime.clock import read_clock_s
from mulberrybay_runtime.logs import StructuredLog
from mulberrybay_runtime.streams import Stream, Streams
from mulberrybay_runtime.timers import Timers

SWEEP_PERIOD_S: Final = 0.25
# The weight of the newest answer in the typical size of answers.
ANSWER_WEIGHT: Final = 1 / 16


def _as_it_is(answer: CallerAnswer) -> CallerAnswer:
    return answer


class CallerServer:
    """Accepts connections from callers and passes requests to a service."""

    def __init__(
        self,
        names: HeaderNames,
        service: CallerService,
        streams: Streams,
        timers: Timers,
        resources: CallerResources | None = None,
        max_connection_count: int | None = None,
        turns: TurnLoop | None = None,
    ) -> None:
        """Creates the server.

        Args:
            names: The names of headers.
            service: Handles the requests.
            streams: Accepts the connections.
            timers: Runs the checks of timeouts.
            resources: What all servers of a node share; None for the defaults.
            max_connection_count: The connections that are accepted at a time;
                None for the limit of the listener for callers.
            turns: Serves the connections in turn; None to serve each at once.
        """
        self.names = names
        self.turns = turns
        self.service = service
        self.limits = CallerLimits()
        # Whether connections are closed after the next answer, and whether new
        # requests are refused: the process ends before they could be answered.
        self.is_stopping = False
        self.is_refusing = False
        self._log = StructuredLog("callers")
        self._streams = streams
        self._connections: set[CallerConnection] = set()
        # When to look again for a connection without progress.
        self._search_at_s = 0.0
        self.resources = resources or CallerResources()
        self.connection_limit: ConnectionLimit[CallerConnection] = (
            ConnectionLimit(
                max_connection_count
                or self.resources.connection_limits.caller_count
            )
        )
        self.typical_answer_bytes = 0.0
        # Returns an error of the node as callers get it.
        self.encode_error: Callable[[CallerAnswer], CallerAnswer] = _as_it_is
        # Learns the delays of answers; None if they don't matter.
        self.answer_reserve: AnswerReserve | None = None
        timers.call_every(SWEEP_PERIOD_S, self._sweep)

    def __enter__(self) -> Self:
        return self

    def __exit__(self, *_: object) -> None:
        for connection in [*self._connections]:
            connection.close()

    def listen(self, address: Address) -> None:
        """Starts to listen for callers.

        Raises:
            OSError: The address is in use or does not belong to this VM.
        """
        self._streams.listen(address, self._accept)

    def record_fault(self, request_id: str, error: Exception) -> None:
        """Logs a fault of the program that kept a request from being started."""
        self._log.error(
            "a request could not be started",
            request_id=request_id,
            error=repr(error),
            trace="".join(traceback.format_tb(error.__traceback__)),
        )

    def record_answer(self, body_bytes: int) -> None:
        """Records the size of an answer, to estimate that of the next ones."""
        self.typical_answer_bytes += ANSWER_WEIGHT * (
            body_bytes - self.typical_answer_bytes
        )

    def _accept(self, stream: Stream) -> CallerConnection | None:
        """Accepts a connection; one without use gives way."""
        if self.connection_limit.is_full:
            idle = self._find_idle()
            stalled = self._find_stalled() if idle is None else None
            victim = idle or stalled
            if victim is None:
                self.resources.record(reasons.TURNED_AWAY)
                return None
            self.resources.record(
                reasons.IDLE_CLOSED if idle else reasons.STALLED_CLOSED
            )
            victim.close()
        connection = CallerConnection(self, stream)
        self._connections.add(connection)
        self.connection_limit.add(connection)
        return connection

    def _find_idle(self) -> CallerConnection | None:
        """Returns the connection that has been idle for the longest time."""
        while True:
            idle = self.connection_limit.longest_idle()
            if idle is None or not idle.has_unread:
                return idle
            # A request has come that the poller hasn't reported yet.
            self.connection_limit.record_busy(idle)

    def _find_stalled(self) -> CallerConnection | None:
        """Returns a connection without progress; looks now and then only."""
        now_s = read_clock_s()
        if now_s < self._search_at_s:
            return None
        stalled = find_longest_stalled(self._connections, now_s)
        if stalled is None:
            self._search_at_s = now_s + SEARCH_PERIOD_S
        return stalled

    def _sweep(self) -> None:
        now_s = read_clock_s()
        for connection in [*self._connections]:
            connection.sweep(now_s)

    def remove_connection(self, connection: CallerConnection) -> None:
        """Removes a closed connection."""
        self._connections.discard(connection)
        self.connection_limit.remove(connection)

    def close_idle(self) -> None:
        """Closes the connections without a request in progress."""
        for connection in [*self._connections]:
            if (
                connection.is_idle
                and not connection.is_ending
                and not connection.has_unsent
            ):
                connection.close()

    @property
    def busy_count(self) -> int:
        """Number of connections with a request or an answer in progress."""
        return sum(
            connection.has_unsent
            or (not connection.is_idle and not connection.is_ending)
            for connection in self._connections
        )

    @property
    def connection_count(self) -> int:
        """Number of open connections."""
        return len(self._connections)


def make_servers(
    names: HeaderNames,
    service: CallerService,
    streams: Streams,
    timers: Timers,
    resources: CallerResources,
    turns: TurnLoop,
) -> tuple[CallerServer, Callable[[CallerService], CallerServer]]:
    """Returns the server for callers, and a function that makes others.

    The others are for requests that the node answers by itself.
    """

    def make_own(own_service: CallerService) -> CallerServer:
        max_count = resources.connection_limits.own_answer_count
        return CallerServer(
            names, own_service, streams, timers, resources, max_count, turns
        )

    server = CallerServer(
        names, service, streams, timers, resources, turns=turns
    )
    return server, make_own
