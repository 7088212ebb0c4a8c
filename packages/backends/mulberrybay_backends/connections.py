"""Connections to the backend servers that this node holds.

Each connection carries one request at a time. Once a request was sent, its
connection is reused only after a complete, matching reply; otherwise it is
closed.
"""

from collections import Counter
from typing import Final, Self

import httptools

from mulberrybay_backends.protocol import (
    encode_backend_request,
    encode_cancel,
    read_backend_reply,
)
from mulberrybay_core.backend_messages import (
    BackendOutcome,
    BackendRequest,
    BackendResult,
    BackendResultHandler,
    SendCheck,
)
from mulberrybay_core.errors import RunState
from mulberrybay_core.fleet import BackendServer
from mulberrybay_runtime.backoff import Backoff
from mulberrybay_runtime.clock import read_clock_s
from mulberrybay_runtime.http_exchange import (
    HttpReply,
    ReplyParser,
    ReplyTooLargeError,
)
from mulberrybay_runtime.streams import Stream, Streams
from mulberrybay_runtime.timers import Timer, Timers

# How long a cancelled request may still be answered before its connection is
# closed.
CANCEL_GRACE_S: Final = 0.1
# How long the server may take to reply to the cancellation itself.
CANCEL_REPLY_TIMEOUT_S: Final = 1.0


class _Exchange:
    """A request to a backend server and its progress."""

    def __init__(
        self,
        server: BackendServer,
        request: BackendRequest,
        may_send: SendCheck,
        reply: BackendResultHandler,
    ) -> None:
        self.server = server
        self.request = request
        self.may_send = may_send
        self._reply: BackendResultHandler | None = reply
        self.started_at_s = read_clock_s()
        self.was_sent = False
        self.is_cancelled = False
        self.timer: Timer | None = None
        self.connection: _Connection | None = None

    def finish(self, result: BackendResult) -> None:
        """Passes the result to the handler; later calls are ignored."""
        if self.timer is not None:
            self.timer.cancel()
        reply = self._reply
        self._reply = None
        if reply is not None:
            latency_s = read_clock_s() - self.started_at_s
            reply(result._replace(latency_s=latency_s))

    @property
    def run_state_without_reply(self) -> RunState:
        """The run state if the request ends without a reply."""
        return RunState.UNKNOWN if self.was_sent else RunState.NOT_RUN


class _Connection:
    """One connection to one backend server."""

    def __init__(self, pool: "_ServerPool", exchange: _Exchange | None) -> None:
        self._pool = pool
        self._parser = ReplyParser()
        self.exchange = exchange
        self.stream: Stream | None = None
        self.used_at_s = read_clock_s()
        self.pending_cancel_count = 0
        self.is_connected = False

    def on_connected(self, stream: Stream) -> None:
        """Sends the request that is waiting for the connection."""
        del stream
        self.is_connected = True
        self._pool.on_connected()
        if self.exchange is not None:
            self.send(self.exchange)

    def send(self, exchange: _Exchange) -> None:
        """Sends a request on the open connection if it may still be sent.

        The process may have been paused since the request was dispatched, so
        the deadline, the lease and the configuration are checked immediately
        before the write.
        """
        self.exchange = exchange
        exchange.connection = self
        time_left_s = exchange.request.deadline_at_s - read_clock_s()
        if self.stream is None:
            return
        if time_left_s <= 0:
            self._pool.finish_unsent(self, BackendOutcome.DEADLINE)
        elif exchange.is_cancelled:
            self._pool.finish_unsent(self, BackendOutcome.CANCELLED)
        elif not exchange.may_send():
            self._pool.finish_unsent(self, BackendOutcome.NOT_ALLOWED)
        else:
            data = encode_backend_request(
                exchange.server, exchange.request, time_left_s
            )
            exchange.was_sent = self.stream.send(data)

    def send_cancel(self, server: BackendServer, request_id: str) -> None:
        """Sends a cancellation; its reply is read and ignored."""
        if self.stream is not None:
            self.pending_cancel_count += 1
            self.stream.send(encode_cancel(server, request_id))

    def on_data(self, stream: Stream, data: bytes) -> None:
        """Parses received bytes and handles a complete reply."""
        try:
            replies = self._parser.feed(data)
        except (httptools.HttpParserError, ReplyTooLargeError) as error:
            stream.close()
            self._pool.on_connection_ended(
                self, BackendOutcome.BAD_REPLY, repr(error)
            )
            return
        if replies:
            # Only one request was sent, so further replies match nothing.
            self._pool.on_reply(self, replies[0], len(replies) == 1)

    def on_closed(self, stream: Stream, reason: str) -> None:
        """Handles the end of the connection."""
        del stream
        self._pool.on_connection_ended(
            self, BackendOutcome.CONNECTION_LOST, reason
        )


class _ServerPool:
    """The connections to one backend server."""

    def __init__(
        self, server: BackendServer, streams: Streams, timers: Timers
    ) -> None:
        self.server = server
        self._streams = streams
        self._timers = timers
        self._backoff = Backoff()
        self._next_dial_at_s = 0.0
        self._idle: list[_Connection] = []
        self._busy: set[_Connection] = set()

    @property
    def connection_count(self) -> int:
        """The number of connections that are open or being opened."""
        return len(self._idle) + len(self._busy)

    def dispatch(self, exchange: _Exchange) -> str | None:
        """Sends a request on an idle connection or opens a new one.

        Returns:
            The reason why no connection is available; None if one is.
        """
        if self._idle:
            connection = self._idle.pop()
            self._busy.add(connection)
            connection.send(exchange)
            return None
        if self.connection_count >= self.server.connection_cap:
            return "the connection cap is reached"
        if read_clock_s() < self._next_dial_at_s:
            return "reconnecting is delayed after a failed connection"
        connection = _Connection(self, exchange)
        exchange.connection = connection
        self._busy.add(connection)
        connection.stream = self._streams.dial(self.server.address, connection)
        return None

    def on_connected(self) -> None:
        """Resets the delay for reconnecting after a successful connection."""
        self._backoff.reset()

    def finish_unsent(
        self, connection: _Connection, outcome: BackendOutcome
    ) -> None:
        """Ends a request that was not sent; its connection is reused."""
        exchange = connection.exchange
        connection.exchange = None
        self._release(connection, is_reusable=True)
        if exchange is not None:
            exchange.finish(BackendResult(outcome, RunState.NOT_RUN))

    def cancel(self, exchange: _Exchange) -> None:
        """Marks a request as cancelled and notifies the server if possible.

        The cancellation is sent only if there is an idle connection.
        """
        exchange.is_cancelled = True
        if self._idle:
            connection = self._idle.pop()
            self._busy.add(connection)
            connection.send_cancel(self.server, exchange.request.request_id)
            self._timers.call_later(
                CANCEL_REPLY_TIMEOUT_S,
                lambda: self._close_if_cancel_unanswered(connection),
            )

    def _close_if_cancel_unanswered(self, connection: _Connection) -> None:
        """Closes the connection if its cancellation was not answered."""
        if connection.pending_cancel_count:
            self._close_connection(connection)

    def on_reply(
        self, connection: _Connection, reply: HttpReply, is_only_reply: bool
    ) -> None:
        """Handles a complete reply and releases or closes the connection."""
        connection.used_at_s = read_clock_s()
        is_reusable = reply.keeps_alive and is_only_reply
        if connection.pending_cancel_count:
            connection.pending_cancel_count -= 1
            self._release(connection, is_reusable)
            return
        exchange = connection.exchange
        connection.exchange = None
        if exchange is None:
            # No request is pending: a duplicate or unsolicited reply.
            self._close_connection(connection)
            return
        result = read_backend_reply(exchange.request, reply)
        is_valid = result.outcome is not BackendOutcome.BAD_REPLY
        self._release(connection, is_valid and is_reusable)
        exchange.finish(result)

    def _release(self, connection: _Connection, is_reusable: bool) -> None:
        self._busy.discard(connection)
        if is_reusable and connection.stream is not None:
            self._idle.append(connection)
        else:
            self._close_connection(connection)

    def _close_connection(self, connection: _Connection) -> None:
        self._busy.discard(connection)
        if connection in self._idle:
            self._idle.remove(connection)
        if connection.stream is not None:
            connection.stream.close()
            connection.stream = None

    def on_connection_ended(
        self, connection: _Connection, outcome: BackendOutcome, detail: str
    ) -> None:
        """Closes a broken connection and ends its request, if any."""
        exchange = connection.exchange
        connection.exchange = None
        if not connection.is_connected:
            delay_s = self._backoff.next_delay_s()
            self._next_dial_at_s = read_clock_s() + delay_s
        self._close_connection(connection)
        if exchange is not None:
            if exchange.is_cancelled:
                outcome = BackendOutcome.CANCELLED
            exchange.finish(
                BackendResult(
                    outcome, exchange.run_state_without_reply, detail=detail
                )
            )

    def abandon(self, exchange: _Exchange, outcome: BackendOutcome) -> None:
        """Ends a request without a reply and closes its connection.

        After an expired deadline, idle connections that have had no reply
        since before the request are closed too, because they may have the
        same network fault.
        """
        connection = exchange.connection
        if connection is not None and connection.exchange is exchange:
            connection.exchange = None
            self._close_connection(connection)
        if outcome is BackendOutcome.DEADLINE:
            for idle in list(self._idle):
                if idle.used_at_s < exchange.started_at_s:
                    self._close_connection(idle)
        exchange.finish(
            BackendResult(outcome, exchange.run_state_without_reply)
        )

    def close(self) -> None:
        """Closes the idle connections only."""
        for connection in list(self._idle):
            self._close_connection(connection)


class BackendPool:
    """Pools connections by backend server; see `BackendConnections`."""

    def __init__(self, streams: Streams, timers: Timers) -> None:
        self._streams = streams
        self._timers = timers
        self._pools: dict[str, _ServerPool] = {}
        self._exchanges: dict[str, _Exchange] = {}
        self.result_counts: Counter[BackendOutcome] = Counter()

    def __enter__(self) -> Self:
        return self

    def __exit__(self, *_: object) -> None:
        for pool in self._pools.values():
            pool.close()

    def execute(
        self,
        server: BackendServer,
        request: BackendRequest,
        may_send: SendCheck,
        reply: BackendResultHandler,
    ) -> None:
        """Sends a request; the handler is called exactly once."""

        def on_result(result: BackendResult) -> None:
            self._exchanges.pop(request.request_id, None)
            self.result_counts[result.outcome] += 1
            reply(result)

        exchange = _Exchange(server, request, may_send, on_result)
        self._exchanges[request.request_id] = exchange
        pool = self._pools.get(server.server_id)
        if pool is None or pool.server.address != server.address:
            pool = _ServerPool(server, self._streams, self._timers)
            self._pools[server.server_id] = pool
        exchange.timer = self._timers.call_at(
            request.deadline_at_s,
            lambda: pool.abandon(exchange, BackendOutcome.DEADLINE),
        )
        refusal = pool.dispatch(exchange)
        if refusal is not None:
            exchange.finish(
                BackendResult(
                    BackendOutcome.SHED, RunState.NOT_RUN, detail=refusal
                )
            )

    def cancel(self, request_id: str) -> None:
        """Asks the backend server to stop work on a request."""
        exchange = self._exchanges.get(request_id)
        if exchange is None or exchange.is_cancelled:
            return
        pool = self._pools[exchange.server.server_id]
        pool.cancel(exchange)
        if exchange.timer is not None:
            exchange.timer.cancel()
        exchange.timer = self._timers.call_later(
            CANCEL_GRACE_S,
            lambda: pool.abandon(exchange, BackendOutcome.CANCELLED),
        )

    def drop_server(self, server_id: str) -> None:
        """Closes the idle connections to a server that is no longer held."""
        pool = self._pools.get(server_id)
        if pool is not None:
            pool.close()

    @property
    def connection_count(self) -> int:
        """The number of connections to all backend servers."""
        return sum(pool.connection_count for pool in self._pools.values())
