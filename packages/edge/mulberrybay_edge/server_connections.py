"""Connections to backend servers, each with one request at a time.

A connection is reused only after a complete reply without trailing bytes.
Cancelling a request closes its connection, which tells the server to stop.
"""

import enum
import re
from collections import deque
from collections.abc import Callable
from typing import Final, Protocol, Self

import httptools

from mulberrybay_core.addresses import Address
from mulberrybay_core.callers.machine_limits import DEFAULT_MACHINE_LIMITS
from mulberrybay_edge.exchange import (
    Exchange,
    ExchangeOutcome,
    ExchangeResult,
)
from mulberrybay_runtime.backoff import Backoff
from mulberrybay_runtime.clock import read_clock_s
from mulberrybay_runtime.http_exchange import (
    HttpReply,
    ReplyTooLargeError,
    SingleReplyParser,
)
from mulberrybay_runtime.streams import (
    CONNECTION_REFUSED,
    Stream,
    Streams,
)
from mulberrybay_runtime.timers import Timers

# Longer than the handshake with any server that accepts connections, shorter
# than the first TCP retransmission of a lost SYN.
CONNECT_TIMEOUT_S: Final = 0.25
# Delays between connection attempts to a server that refuses them. The first
# is short: a server with a full queue soon accepts connections again.
FIRST_DIAL_DELAY_S: Final = 0.03
MAX_DIAL_DELAY_S: Final = 0.5
# Used for servers that don't announce an idle timeout.
DEFAULT_IDLE_TIMEOUT_S: Final = 5.0
# The used fraction of an announced idle timeout; the rest is a margin for the
# network time to the server.
USABLE_IDLE_RATIO: Final = 0.7
# A late copy of a reply is recognized among this many replies on a connection.
EARLIER_REPLY_COUNT: Final = 16
# The part of the node's memory that incomplete replies may take on all
# connections together. The reply that exceeds it is given up.
BUFFERED_RATIO: Final = 0.125
CLOSED_BY_PEER: Final = "the peer closed the connection"
_KEEP_ALIVE_TIMEOUT: Final = re.compile(r"timeout\s*=\s*([0-9]{1,6})")


class SendState(enum.Enum):
    """What became of a request that was to be sent on an open connection."""

    SENT = "sent"
    # It must no longer be sent.
    EXPIRED = "expired"
    # No byte was sent, because the peer had closed the connection.
    CLOSED = "closed"


class DialHandler(Protocol):
    """Handles the end of a dial."""

    def __call__(self, server_id: str, *, is_accepted: bool) -> None:
        """Handles whether a server has accepted a connection."""


class ProbeOutcome(enum.Enum):
    """How a server's address reacts to a connection attempt.

    REFUSED: the VM runs and nothing listens there.
    """

    ACCEPTED = "accepted"
    REFUSED = "refused"
    UNKNOWN = "unknown"


ProbeHandler = Callable[[ProbeOutcome], None]


class _Probe:
    """A connection that is closed once the server has accepted it."""

    def __init__(self, owner: "ServerConnections", server_id: str) -> None:
        self._owner = owner
        self._server_id = server_id
        self.started_at_s = read_clock_s()
        self.handlers: list[ProbeHandler] = []

    def on_connected(self, stream: Stream) -> None:
        """Reports that the server accepted the connection."""
        self._owner.end_probe(self._server_id, ProbeOutcome.ACCEPTED)

    def on_data(self, stream: Stream, data: bytes) -> None:
        """Ignores bytes; the connection is being closed."""

    def on_closed(self, stream: Stream, reason: str) -> None:
        """Reports that the connection failed."""
        is_refused = reason == CONNECTION_REFUSED
        self._owner.end_probe(
            self._server_id,
            ProbeOutcome.REFUSED if is_refused else ProbeOutcome.UNKNOWN,
        )


class _Connection:
    """A connection to one server."""

    __slots__ = (
        "_buffered_bytes",
        "_earlier_replies",
        "_exchange",
        "_parser",
        "_pool",
        "idle_since_s",
        "idle_timeout_s",
        "is_connected",
        "started_at_s",
        "stream",
    )

    def __init__(self, pool: "_Pool") -> None:
        self._pool = pool
        self._parser: SingleReplyParser | None = None
        self._exchange: Exchange | None = None
        # The request and the hash of the headers of each.
        self._earlier_replies: deque[tuple[str, int]] = deque(
            maxlen=EARLIER_REPLY_COUNT
        )
        self._buffered_bytes = 0
        self.stream: Stream | None = None
        self.started_at_s = self.idle_since_s = read_clock_s()
        self.idle_timeout_s = DEFAULT_IDLE_TIMEOUT_S
        self.is_connected = False

    def wait_for_connection(self, exchange: Exchange) -> None:
        """Sets the request to send once the connection is open."""
        self._exchange = exchange
        exchange.connection = self

    def send(self, exchange: Exchange) -> SendState:
        """Sends a request on the open connection."""
        exchange.connection = None
        now_s = read_clock_s()
        data = exchange.encode(now_s)
        if data is None or self.stream is None:
            return SendState.EXPIRED
        if not self.stream.send(data):
            return SendState.CLOSED
        self._parser = SingleReplyParser(expects_body=exchange.expects_body)
        self._exchange = exchange
        exchange.connection = self
        exchange.sent_at_s = now_s
        return SendState.SENT

    def on_connected(self, stream: Stream) -> None:
        """Sends the request that waited for the connection, if any."""
        self.is_connected = True
        self._pool.record_dial(is_accepted=True)
        exchange, self._exchange = self._exchange, None
        if exchange is None:
            self._pool.add_idle(self)
            return
        state = self.send(exchange)
        if state is SendState.EXPIRED:
            self._pool.add_idle(self)
            exchange.finish(ExchangeResult(ExchangeOutcome.NOT_SENT))
        elif state is SendState.CLOSED:
            # Servers reset connections beyond their cap.
            self._pool.record_dial(is_accepted=False)
            detail = "the connection was reset at once"
            exchange.finish(
                ExchangeResult(ExchangeOutcome.NOT_CONNECTED, detail=detail)
            )

    def on_data(self, stream: Stream, data: bytes) -> None:
        """Parses received bytes and finishes the exchange on a full reply."""
        if self._parser is None or self._exchange is None:
            # No request is outstanding.
            self._pool.discard(self)
            return
        try:
            reply = self._parser.feed(data)
        except (httptools.HttpParserError, ReplyTooLargeError) as error:
            self._fail(ExchangeOutcome.MALFORMED, repr(error))
            return
        if reply is not None:
            self._finish(reply)
        elif not self._hold(self._parser.held_bytes):
            self._fail(
                ExchangeOutcome.MALFORMED,
                "too many bytes of incomplete replies",
            )

    def _hold(self, held_bytes: int) -> bool:
        """Counts what the incomplete reply takes in memory.

        Returns:
            False if all incomplete replies together are too large.
        """
        added_bytes = held_bytes - self._buffered_bytes
        self._buffered_bytes = held_bytes
        return self._pool.add_buffered(added_bytes)

    def _release_buffer(self) -> None:
        if self._parser is not None:
            self._parser.discard()
            self._parser = None
        self._pool.add_buffered(-self._buffered_bytes)
        self._buffered_bytes = 0

    def _finish(self, reply: HttpReply) -> None:
        exchange, parser, stream = self._exchange, self._parser, self.stream
        if exchange is None or parser is None or stream is None:
            return
        self._exchange = exchange.connection = None
        self._release_buffer()
        is_matching = exchange.check(reply) and not self._is_late_copy(
            exchange, reply
        )
        if (
            is_matching
            and reply.keeps_alive
            and not parser.has_extra_bytes
            # The server answered before it had read the whole request.
            and not stream.unsent
        ):
            self._read_idle_timeout(reply)
            self._pool.add_idle(self)
        else:
            self._pool.discard(self)
        if is_matching:
            exchange.finish(ExchangeResult(ExchangeOutcome.REPLY, reply))
        else:
            detail = "the reply belongs to another request"
            exchange.finish(
                ExchangeResult(ExchangeOutcome.MALFORMED, detail=detail)
            )

    def _is_late_copy(self, exchange: Exchange, reply: HttpReply) -> bool:
        """Whether the server sent the reply to another request once more.

        Successful replies to two requests differ in their headers: these hold
        a signature and mostly the identity of the request.
        """
        if not 200 <= reply.status < 300:
            return False
        # Compared instead of the headers, of which it keeps no reference.
        headers_hash = hash(frozenset(reply.headers.items()))
        own = exchange.request_id, headers_hash
        is_copy = False
        for earlier in self._earlier_replies:
            if earlier[1] == headers_hash and earlier != own:
                is_copy = True
                break
        self._earlier_replies.append(own)
        return is_copy

    def _read_idle_timeout(self, reply: HttpReply) -> None:
        match = _KEEP_ALIVE_TIMEOUT.search(reply.headers.get("keep-alive", ""))
        if match is not None:
            self.idle_timeout_s = int(match[1]) * USABLE_IDLE_RATIO

    def on_closed(self, stream: Stream, reason: str) -> None:
        """Finishes the exchange; the close may mark the end of the reply."""
        if self._parser is not None and reason == CLOSED_BY_PEER:
            reply = self._parser.end()
            if reply is not None:
                self._finish(reply)
                return
        self._fail(ExchangeOutcome.LOST, reason)

    def _fail(self, outcome: ExchangeOutcome, detail: str) -> None:
        exchange = self._exchange
        self._exchange = None
        self._release_buffer()
        if not self.is_connected:
            self._pool.record_dial(is_accepted=False)
        self._pool.discard(self)
        if exchange is None:
            return
        exchange.connection = None
        if exchange.sent_at_s is None:
            outcome = ExchangeOutcome.NOT_CONNECTED
        exchange.finish(ExchangeResult(outcome, detail=detail))

    def abandon(self) -> None:
        """Closes the connection of a cancelled request.

        A connection that is still being opened is kept for the next request.
        """
        self._exchange = None
        self._release_buffer()
        if self.is_connected:
            self._pool.discard(self)

    def time_out(self) -> None:
        """Discards a connection that was not accepted in time."""
        self._fail(ExchangeOutcome.NOT_CONNECTED, "no connection in time")


class _Pool:
    """The connections to one server."""

    __slots__ = (
        "_backoff",
        "_idle",
        "_is_closed",
        "_next_dial_at_s",
        "_owner",
        "_server_id",
        "_used",
        "address",
        "keeps_idle",
    )

    def __init__(
        self, owner: "ServerConnections", server_id: str, address: Address
    ) -> None:
        self._owner = owner
        self._server_id = server_id
        self.address = address
        self._idle: list[_Connection] = []
        self._used: set[_Connection] = set()
        self._is_closed = False
        self._backoff = Backoff(FIRST_DIAL_DELAY_S, MAX_DIAL_DELAY_S)
        self._next_dial_at_s = 0.0
        self.keeps_idle = True

    @property
    def connection_count(self) -> int:
        """Number of connections that are open or being opened."""
        return len(self._idle) + len(self._used)

    def add_buffered(self, count: int) -> bool:
        """Counts bytes of incomplete replies; False if there are too many."""
        self._owner.buffered_bytes += count
        return self._owner.buffered_bytes <= self._owner.max_buffered_bytes

    def can_start(self, cap_count: int) -> bool:
        """Whether a request can start now; see `ServerConnections`."""
        if self._idle:
            return True
        return (
            self.connection_count < cap_count
            and read_clock_s() >= self._next_dial_at_s
        )

    def record_dial(self, *, is_accepted: bool) -> None:
        """Records the result of a dial; a failure delays the next dial."""
        self._owner.on_dial(self._server_id, is_accepted=is_accepted)
        if is_accepted:
            self._backoff.reset()
            self._next_dial_at_s = 0.0
        else:
            delay_s = self._backoff.next_delay_s()
            self._next_dial_at_s = read_clock_s() + delay_s

    def start(self, exchange: Exchange, max_idle_s: float) -> bool:
        """Sends a request on an idle connection or on a new one."""
        now_s = read_clock_s()
        while self._idle:
            connection = self._idle.pop()
            idle_s = now_s - connection.idle_since_s
            if idle_s > min(connection.idle_timeout_s, max_idle_s):
                # The connections before it have been idle for longer.
                self._idle.append(connection)
                if idle_s > connection.idle_timeout_s:
                    self.close_idle()
                break
            self._used.add(connection)
            state = connection.send(exchange)
            if state is SendState.SENT:
                return True
            if state is SendState.EXPIRED:
                self.add_idle(connection)
                return False
        self._dial(exchange)
        return True

    def _dial(self, exchange: Exchange) -> None:
        connection = _Connection(self)
        self._used.add(connection)
        connection.wait_for_connection(exchange)
        connection.stream = self._owner.streams.dial(self.address, connection)
        self._owner.dial_count += 1

    def add_idle(self, connection: _Connection) -> None:
        """Keeps a connection for the next request."""
        if self._is_closed or not self.keeps_idle:
            self.discard(connection)
            return
        self._used.discard(connection)
        connection.idle_since_s = read_clock_s()
        self._idle.append(connection)

    def discard(self, connection: _Connection) -> None:
        """Closes a connection."""
        self._used.discard(connection)
        if connection in self._idle:
            self._idle.remove(connection)
        if connection.stream is not None:
            connection.stream.close()
            connection.stream = None

    def close_idle(self) -> None:
        """Closes the idle connections."""
        for connection in [*self._idle]:
            self.discard(connection)

    def close(self) -> None:
        """Closes idle connections now and busy ones after their request."""
        self._is_closed = True
        self.close_idle()

    def sweep(self, now_s: float) -> None:
        """Closes connections that were idle or being opened for too long."""
        for connection in [*self._idle]:
            if now_s - connection.idle_since_s > connection.idle_timeout_s:
                self.discard(connection)
        for connection in [*self._used]:
            if (
                not connection.is_connected
                and now_s - connection.started_at_s > CONNECT_TIMEOUT_S
            ):
                connection.time_out()


def _ignore_dial(server_id: str, *, is_accepted: bool) -> None:
    """Does nothing; see `ServerConnections.on_dial`."""


class ServerConnections:
    """The connection pools of all backend servers; see the module docstring.

    Attributes:
        on_dial: Called at the end of each dial.
        dial_count: The connections opened.
        buffered_bytes: What incomplete replies take in memory.
        max_buffered_bytes: What they may take.
    """

    def __init__(
        self,
        streams: Streams,
        timers: Timers,
        memory_mb: float = DEFAULT_MACHINE_LIMITS.memory_mb,
    ) -> None:
        self.streams = streams
        self.max_buffered_bytes = int(BUFFERED_RATIO * memory_mb * 1024 * 1024)
        self.on_dial: DialHandler = _ignore_dial
        self._pools: dict[str, _Pool] = {}
        self._probes: dict[str, tuple[_Probe, Stream]] = {}
        self.dial_count = 0
        self.buffered_bytes = 0
        timers.call_every(CONNECT_TIMEOUT_S / 2, self._sweep)

    def __enter__(self) -> Self:
        return self

    def __exit__(self, *_: object) -> None:
        for pool in self._pools.values():
            pool.close()

    def can_start(self, server_id: str, cap_count: int) -> bool:
        """Whether a request can start now.

        It needs an idle connection or a new one within the cap. After a server
        refused a connection, new ones are delayed.
        """
        pool = self._pools.get(server_id)
        return pool is None or pool.can_start(cap_count)

    def start(
        self,
        server_id: str,
        address: Address,
        exchange: Exchange,
        max_idle_s: float = DEFAULT_IDLE_TIMEOUT_S,
        *,
        keeps_idle: bool = True,
    ) -> bool:
        """Sends a request.

        Args:
            server_id: The server's identity.
            address: The address it listens on.
            exchange: The request and the handler of its result.
            max_idle_s: Connections that were idle for longer are not used.
            keeps_idle: Whether to keep the connection after the reply.

        Returns:
            False if the request must no longer be sent.
        """
        pool = self._pools.get(server_id)
        if pool is None or pool.address != address:
            if pool is not None:
                pool.close()
            pool = self._pools[server_id] = _Pool(self, server_id, address)
        pool.keeps_idle = keeps_idle
        return pool.start(exchange, max_idle_s)

    def probe(
        self,
        server_id: str,
        address: Address,
        on_end: ProbeHandler | None = None,
    ) -> None:
        """Opens a connection and closes it once it is accepted.

        Args:
            server_id: The server's identity.
            address: The address it listens on.
            on_end: Called with the outcome.
        """
        if server_id not in self._probes:
            probe = _Probe(self, server_id)
            stream = self.streams.dial(address, probe)
            self._probes[server_id] = probe, stream
            self.dial_count += 1
        if on_end is not None:
            self._probes[server_id][0].handlers.append(on_end)

    def end_probe(self, server_id: str, outcome: ProbeOutcome) -> None:
        """Closes the connection of a probe and reports its outcome."""
        probe, stream = self._probes.pop(server_id, (None, None))
        if probe is None or stream is None:
            return
        stream.close()
        is_accepted = outcome is ProbeOutcome.ACCEPTED
        self.on_dial(server_id, is_accepted=is_accepted)
        for on_end in probe.handlers:
            on_end(outcome)

    def forget(self, server_id: str) -> None:
        """Removes a server and closes its idle connections."""
        pool = self._pools.pop(server_id, None)
        if pool is not None:
            pool.close()

    def _sweep(self) -> None:
        now_s = read_clock_s()
        for pool in [*self._pools.values()]:
            pool.sweep(now_s)
        for server_id, (probe, _) in [*self._probes.items()]:
            if now_s - probe.started_at_s > CONNECT_TIMEOUT_S:
                self.end_probe(server_id, ProbeOutcome.UNKNOWN)

    @property
    def connection_count(self) -> int:
        """Number of connections to all backend servers."""
        return sum(pool.connection_count for pool in self._pools.values())
