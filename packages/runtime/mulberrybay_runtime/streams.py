"""TCP streams on the circuits poller.

One component manages all TCP connections of this process except those of
`HttpServer`. With one circuits TCPClient component per connection, every dial
would flush the handler cache of circuits, and each component would poll while
it connects. This component is registered once.
"""

import contextlib
import errno
import fcntl
import select
import socket
import struct
import sys
import termios
from collections.abc import Callable
from typing import Final, Protocol, Self

from circuits import BaseComponent, Event, handler
from circuits.core.pollers import EPoll

from mulberrybay_core.addresses import Address
from mulberrybay_runtime.clock import read_clock_s

READ_SIZE_BYTES: Final = 262_144
MAX_UNSENT_BYTES: Final = 16 * 1024 * 1024
LISTEN_BACKLOG_COUNT: Final = 512
# The connections of a listener that are accepted before others are read from.
MAX_ACCEPTED_COUNT: Final = 16
# Why a dial ends if nothing listens at the address.
CONNECTION_REFUSED: Final = "the connection was refused"
# The kernel detects an unresponsive peer within about
# PROBE_PERIOD_S * (PROBE_COUNT + 1) seconds.
PROBE_PERIOD_S: Final = 1
PROBE_COUNT: Final = 2
# A poll that takes less has found sockets that were ready before.
MIN_POLL_WAIT_S: Final = 0.0002
# The offset of tcpi_rtt, in microseconds, in struct tcp_info of Linux.
_RTT_OFFSET_BYTES: Final = 68
_TCP_INFO_BYTES: Final = 104
# Filled by the kernel with a count of bytes.
_COUNT_BUFFER: Final = bytearray(4)
# The values of tcpi_state, the first byte, after the peer's end or a reset.
_CLOSED_TCP_STATES: Final = frozenset({7, 8})


class streams_ready(Event):  # noqa: N801
    """Fired when streams are readable; circuits event names are lower case."""


class StreamPoller(EPoll):
    """Fires one event per loop iteration for all readable streams.

    An event for each stream would cost more than reading from it.
    """

    def __init__(self) -> None:
        super().__init__()
        self._readable: list[socket.socket] = []
        now_s = read_clock_s()
        self._arrival_bounds_s = now_s, now_s
        self._polled_at_s = now_s

    def arrival_bounds_s(self) -> tuple[float, float]:
        """Returns between which times a socket that is read became readable.

        If the last poll had to wait, that was at its end; else it was while
        the loop handled the events of the poll before.
        """
        return self._arrival_bounds_s

    def _generate_events(self, event: Event) -> None:
        started_at_s = read_clock_s()
        super()._generate_events(event)
        ended_at_s = read_clock_s()
        if ended_at_s - started_at_s > MIN_POLL_WAIT_S:
            self._arrival_bounds_s = ended_at_s, ended_at_s
        else:
            self._arrival_bounds_s = self._polled_at_s, started_at_s
        self._polled_at_s = ended_at_s

    def pop_readable(self) -> list[socket.socket]:
        """Returns the sockets that became readable and clears the list."""
        readable = self._readable
        self._readable = []
        return readable

    def _process(self, fileno: int, event: int) -> None:
        connection = self._map.get(fileno)
        # What came before the peer's end is read first.
        is_readable = event & select.EPOLLIN and not event & select.EPOLLOUT
        if not is_readable or not self._is_stream(connection):
            super()._process(fileno, event)
            return
        if not self._readable:
            self.fire(streams_ready(), Streams.channel)
        self._readable.append(connection)

    def _is_stream(self, connection: object) -> bool:
        return bool(self.getTarget(connection) == Streams.channel)


def _socket_error(connection: socket.socket) -> int:
    return connection.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR)


def _connect_failure(code: int | None) -> str:
    return f"connect failed: {errno.errorcode.get(code or 0, str(code))}"


def _enable_keepalive_probes(connection: socket.socket) -> None:
    """Lets the kernel close a connection after seconds without a reply."""
    connection.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    for option, value in (
        (socket.TCP_KEEPIDLE, PROBE_PERIOD_S),
        (socket.TCP_KEEPINTVL, PROBE_PERIOD_S),
        (socket.TCP_KEEPCNT, PROBE_COUNT),
        (socket.TCP_USER_TIMEOUT, PROBE_PERIOD_S * PROBE_COUNT * 1000),
    ):
        connection.setsockopt(socket.IPPROTO_TCP, option, value)


class StreamObserver(Protocol):
    """Callbacks for the events of a stream."""

    def on_connected(self, stream: "Stream") -> None:
        """Called when the dialled connection is open."""

    def on_data(self, stream: "Stream", data: bytes) -> None:
        """Called when bytes were received."""

    def on_closed(self, stream: "Stream", reason: str) -> None:
        """Called once, as the last callback, when the connection ended."""


class Stream:
    """One TCP connection.

    Attributes:
        connection: The socket.
        peer: The address of the peer.
        observer: Its callbacks are called for the events of the stream.
        unsent: Bytes that the socket has not accepted yet.
        deferred: Data to send at the end of this loop iteration.
        is_connecting: Whether the dial is in progress.
        is_open: Whether the stream was not closed yet.
        half_closes_when_sent: Whether to close the sending side once `unsent`
            is empty.
        read_size_bytes: How many bytes are read at a time. Other streams get
            their turn between two reads.
        sent_callback: Called when the socket has accepted some of `unsent`.
        readable_callback: Called when bytes have arrived, instead of reading
            them; what it stands for then calls `read`, now or later.
        is_paused: Whether received bytes are left in the kernel's buffer.
    """

    def __init__(
        self,
        owner: "Streams",
        connection: socket.socket,
        peer: Address,
        observer: StreamObserver | None,
    ) -> None:
        self._owner = owner
        self.connection = connection
        self.peer = peer
        self.observer = observer
        self.unsent = bytearray()
        self.deferred: list[bytes] = []
        self.is_connecting = observer is not None
        self.is_open = True
        self.half_closes_when_sent = False
        self.read_size_bytes = READ_SIZE_BYTES
        self.sent_callback: Callable[[], None] | None = None
        self.readable_callback: Callable[[], None] | None = None
        # When the bytes that wait for `read` have arrived.
        self._waiting_bounds_s: tuple[float, float] | None = None
        self.is_paused = False

    def send(self, data: bytes) -> bool:
        """Sends bytes; buffers those that the socket does not accept yet.

        Returns:
            False if no byte was sent because the stream is connecting or
            closed.
        """
        return self._owner.send(self, data)

    def send_soon(self, data: bytes) -> bool:
        """Sends bytes in one batch at the end of this loop iteration.

        Returns:
            False if the stream is connecting or closed.
        """
        return self._owner.send_soon(self, data)

    def half_close_when_sent(self) -> None:
        """Closes the sending side after all bytes are sent; still reads."""
        self.half_closes_when_sent = True
        if not self.unsent and not self.deferred:
            self.half_close()

    def half_close(self) -> None:
        """Closes the sending side of the connection now."""
        # If the peer has reset the connection, the next read reports it.
        with contextlib.suppress(OSError):
            self.connection.shutdown(socket.SHUT_WR)

    def round_trip_s(self) -> float:
        """Returns the kernel's estimate of the round trip to the peer.

        Returns:
            Seconds; 0 if the kernel provides no estimate.
        """
        try:
            info = self.connection.getsockopt(
                socket.IPPROTO_TCP, socket.TCP_INFO, _TCP_INFO_BYTES
            )
            (round_trip_us,) = struct.unpack_from("I", info, _RTT_OFFSET_BYTES)
        except (OSError, struct.error):
            return 0.0
        return int(round_trip_us) / 1e6

    def arrival_bounds_s(self) -> tuple[float, float]:
        """Returns between which times the bytes being read have arrived."""
        return self._waiting_bounds_s or self._owner.arrival_bounds_s()

    def defer_read(self) -> None:
        """Leaves the bytes that have arrived to `readable_callback`."""
        if self._waiting_bounds_s is None:
            self._waiting_bounds_s = self._owner.arrival_bounds_s()
        if self.readable_callback is not None:
            self.readable_callback()

    def read(self) -> bool:
        """Reads bytes for the observer; returns whether more may wait."""
        has_more = self._owner.read(self)
        if not has_more:
            self._waiting_bounds_s = None
        return has_more

    def unread_bytes(self) -> int:
        """Returns how many bytes wait in the kernel's buffer."""
        try:
            fcntl.ioctl(self.connection, termios.FIONREAD, _COUNT_BUFFER)
        except (OSError, ValueError):
            return 0
        return int.from_bytes(_COUNT_BUFFER, sys.byteorder)

    def pause_reading(self) -> None:
        """Reads no more bytes for now; the peer then has to wait.

        Until reading is resumed, only `close_if_disconnected` notices that the
        peer has closed the connection.
        """
        self._owner.set_paused(self, is_paused=True)

    def resume_reading(self) -> None:
        """Reads again."""
        self._owner.set_paused(self, is_paused=False)

    def close_if_disconnected(self) -> None:
        """Closes the connection as a read would if the peer has closed it."""
        try:
            state = self.connection.getsockopt(
                socket.IPPROTO_TCP, socket.TCP_INFO, 1
            )[0]
        except OSError:
            return
        if state in _CLOSED_TCP_STATES:
            self._owner.close_stream(self, "the peer closed the connection")

    def close(self) -> None:
        """Closes the connection without notifying the observer."""
        self._owner.close_stream(self, reason=None)


class Streams(BaseComponent):
    """Manages TCP connections and notifies their observers of events."""

    channel = "streams"

    def __init__(
        self,
        poller: StreamPoller,
        between_reads: Callable[[], None] = lambda: None,
    ) -> None:
        """Creates the component.

        Args:
            poller: The poller of the process.
            between_reads: Called before each of several reads in a row.
        """
        super().__init__()
        self.between_reads = between_reads
        # A new buffer for each read would often be taken from the kernel anew.
        self._read_buffer = bytearray(READ_SIZE_BYTES)
        self._read_view = memoryview(self._read_buffer)
        self._poller = poller
        self._streams: dict[socket.socket, Stream] = {}
        self._deferred_streams: list[Stream] = []
        # Stands for the socket of streams that have none.
        self._no_socket = socket.socket()
        self._no_socket.close()
        self._undialled: list[tuple[Stream, str]] = []
        self._listeners: dict[
            socket.socket, Callable[[Stream], StreamObserver | None]
        ] = {}

    def __enter__(self) -> Self:
        return self

    def __exit__(self, *_: object) -> None:
        for stream in list(self._streams.values()):
            self.close_stream(stream, reason=None)
        self.stop_listening()

    def arrival_bounds_s(self) -> tuple[float, float]:
        """Returns when bytes have arrived; see `StreamPoller`."""
        return self._poller.arrival_bounds_s()

    def listen(
        self,
        address: Address,
        accept: Callable[[Stream], StreamObserver | None],
    ) -> None:
        """Accepts connections; `accept` returns the observer of each.

        A connection for which it returns None is closed.

        Raises:
            OSError: The address is in use or is not an address of this VM.
        """
        listener = socket.create_server(
            address, backlog=LISTEN_BACKLOG_COUNT, reuse_port=False
        )
        listener.setblocking(False)
        self._listeners[listener] = accept
        self._poller.addReader(self, listener)

    def stop_listening(self) -> None:
        """Closes the listening sockets; connections stay open."""
        for listener in list(self._listeners):
            self._poller.discard(listener)
            listener.close()
        self._listeners.clear()

    def dial(
        self,
        address: Address,
        observer: StreamObserver,
        *,
        detects_silence: bool = False,
    ) -> Stream:
        """Starts to connect; the observer is notified of the result later.

        Args:
            address: The address of the peer.
            observer: Gets the events of the stream.
            detects_silence: Whether the kernel probes the connection while it
                is idle (TCP keepalive) and closes it if the peer is
                unresponsive.
        """
        try:
            connection = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        except OSError as error:
            # The process has no descriptor left.
            stream = Stream(self, self._no_socket, address, observer)
            self._undialled.append((stream, _connect_failure(error.errno)))
            return stream
        connection.setblocking(False)
        connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        if detects_silence:
            _enable_keepalive_probes(connection)
        stream = Stream(self, connection, address, observer)
        self._streams[connection] = stream
        connection.connect_ex(address)
        # If the peer refuses the connection, the poller reports an error on the
        # socket.
        self._poller.addWriter(self, connection)
        return stream

    def send_soon(self, stream: Stream, data: bytes) -> bool:
        """Sends bytes in a batch; see `Stream.send_soon`."""
        if not stream.is_open or stream.is_connecting:
            return False
        if not stream.deferred:
            self._deferred_streams.append(stream)
        stream.deferred.append(data)
        return True

    # The priority makes this run after the timers, whose callbacks may send,
    # and before the poller waits.
    @handler("generate_events", channel="*", priority=-5)
    def _send_deferred(self, event: Event) -> None:
        del event
        while self._deferred_streams:
            self.send(self._deferred_streams.pop(), b"")
        while self._undialled:
            self.close_stream(*self._undialled.pop())

    def send(self, stream: Stream, data: bytes) -> bool:
        """Sends bytes; see `Stream.send`."""
        if not stream.is_open or stream.is_connecting:
            return False
        if stream.deferred:
            data = b"".join(stream.deferred) + data
            stream.deferred.clear()
        if not data:
            return True
        if len(stream.unsent) + len(data) > MAX_UNSENT_BYTES:
            self.close_stream(stream, "the peer does not read")
            return False
        if stream.unsent:
            stream.unsent += data
            return True
        return self._send_now(stream, data)

    def _send_now(self, stream: Stream, data: bytes | bytearray) -> bool:
        """Sends bytes; returns False if that failed and closed the stream."""
        try:
            sent_bytes = stream.connection.send(data)
        except BlockingIOError:
            sent_bytes = 0
        except OSError as error:
            self.close_stream(stream, f"send failed: {error.strerror}")
            return False
        was_waiting = bool(stream.unsent)
        if was_waiting or sent_bytes < len(data):
            stream.unsent = bytearray(data[sent_bytes:])
        if stream.unsent and not was_waiting:
            self._poller.addWriter(self, stream.connection)
        elif was_waiting and not stream.unsent:
            self._poller.removeWriter(stream.connection)
        if stream.half_closes_when_sent and not stream.unsent:
            stream.half_close()
        return True

    def set_paused(self, stream: Stream, *, is_paused: bool) -> None:
        """Stops or resumes reading; see `Stream.pause_reading`."""
        if stream.is_paused == is_paused or not stream.is_open:
            return
        stream.is_paused = is_paused
        if is_paused:
            self._poller.removeReader(stream.connection)
        else:
            self._poller.addReader(self, stream.connection)

    def close_stream(self, stream: Stream, reason: str | None) -> None:
        """Closes a stream; notifies its observer if there is a reason."""
        if not stream.is_open:
            return
        stream.is_open = False
        # Observers refer to their streams, so that the collector frees these.
        stream.unsent = bytearray()
        stream.deferred.clear()
        if stream.connection is not self._no_socket:
            self._streams.pop(stream.connection, None)
            self._poller.discard(stream.connection)
            with contextlib.suppress(OSError):
                stream.connection.close()
        if reason is not None and stream.observer is not None:
            stream.observer.on_closed(stream, reason)

    @handler("streams_ready")
    def _on_ready(self) -> None:
        # The next poll reports a socket again if an exception left it unread.
        for connection in self._poller.pop_readable():
            self.between_reads()
            self._on_readable(connection)

    @handler("_read", priority=1)
    def _on_readable(self, connection: socket.socket) -> None:
        if connection in self._listeners:
            self._accept_all(connection)
            return
        stream = self._streams.get(connection)
        if stream is None or stream.observer is None or stream.is_paused:
            return
        if stream.readable_callback is None:
            self.read(stream)
        else:
            stream.defer_read()

    def read(self, stream: Stream) -> bool:
        """Reads bytes; see `Stream.read`."""
        if not stream.is_open or stream.observer is None:
            return False
        try:
            count = stream.connection.recv_into(
                self._read_buffer, stream.read_size_bytes
            )
        except BlockingIOError:
            return False
        except OSError as error:
            self.close_stream(stream, f"read failed: {error.strerror}")
            return False
        if not count:
            self.close_stream(stream, "the peer closed the connection")
            return False
        data = bytes(self._read_view[:count])
        try:
            stream.observer.on_data(stream, data)
        except Exception:
            # The observer may have processed only a part of the data, so it
            # can't continue with the byte stream.
            self.close_stream(
                stream, "an exception while handling received data"
            )
            raise
        return count >= stream.read_size_bytes

    def _accept_all(self, listener: socket.socket) -> None:
        """Accepts the connections that wait, up to a number.

        The poller reports the listener again if there are more.
        """
        for _ in range(MAX_ACCEPTED_COUNT):
            try:
                connection, peer = listener.accept()
            except OSError:
                return
            self._accept(listener, connection, Address(*peer[:2]))

    def _accept(
        self, listener: socket.socket, connection: socket.socket, peer: Address
    ) -> None:
        connection.setblocking(False)
        connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        stream = Stream(self, connection, peer, None)
        stream.observer = self._listeners[listener](stream)
        if stream.observer is None:
            connection.close()
            return
        self._streams[connection] = stream
        self._poller.addReader(self, connection)

    @handler("_write", priority=1)
    def _on_writable(self, connection: socket.socket) -> None:
        stream = self._streams.get(connection)
        if stream is None:
            return
        if stream.is_connecting:
            self._finish_dial(stream)
        elif stream.unsent:
            self._send_now(stream, stream.unsent)
            if stream.sent_callback is not None and stream.is_open:
                stream.sent_callback()

    def _finish_dial(self, stream: Stream) -> None:
        code = _socket_error(stream.connection)
        if code:
            self._fail_dial(stream, code)
            return
        stream.is_connecting = False
        self._poller.removeWriter(stream.connection)
        self._poller.addReader(self, stream.connection)
        if stream.observer is not None:
            stream.observer.on_connected(stream)

    def _fail_dial(self, stream: Stream, code: int) -> None:
        is_refused = code == errno.ECONNREFUSED
        reason = CONNECTION_REFUSED if is_refused else _connect_failure(code)
        self.close_stream(stream, reason)

    @handler("_disconnect", "_error", priority=1)
    def _on_disconnect(self, connection: socket.socket, *_: object) -> None:
        stream = self._streams.get(connection)
        if stream is None:
            return
        if stream.is_connecting:
            self._fail_dial(stream, _socket_error(connection))
        else:
            self.close_stream(stream, "the connection was reset")
