"""TCP streams on the poller of circuits.

One component owns all the sockets that this process dials or accepts for
peers other than callers and operators. A TCPClient component of circuits per
connection would flush the handler cache at every dial and poll while it
connects; this component registers once.
"""

import contextlib
import errno
import select
import socket
import struct
from collections.abc import Callable
from typing import Final, Protocol, Self

from circuits import BaseComponent, Event, handler
from circuits.core.pollers import EPoll

from mulberrybay_core.addresses import Address

READ_SIZE_BYTES: Final = 262_144
MAX_UNSENT_BYTES: Final = 16 * 1024 * 1024
LISTEN_BACKLOG_COUNT: Final = 512
# A silent peer is noticed within about PROBE_PERIOD_S * (PROBE_COUNT + 1).
PROBE_PERIOD_S: Final = 1
PROBE_COUNT: Final = 2
# Where struct tcp_info of Linux has tcpi_rtt, in microseconds.
_RTT_OFFSET_BYTES: Final = 68
_TCP_INFO_BYTES: Final = 104


class streams_ready(Event):  # noqa: N801
    """Streams have bytes to read; circuits names events in lower case."""


class StreamPoller(EPoll):
    """Fires one event a turn for all the streams that have bytes to read.

    An event costs more than the read that it announces.
    """

    def __init__(self) -> None:
        super().__init__()
        self._ready: list[socket.socket] = []

    def take_ready(self) -> list[socket.socket]:
        """Returns the sockets with bytes to read and forgets them."""
        ready = self._ready
        self._ready = []
        return ready

    def _process(self, fileno: int, event: int) -> None:
        connection = self._map.get(fileno)
        if event != select.EPOLLIN or not self._is_stream(connection):
            super()._process(fileno, event)
            return
        if not self._ready:
            self.fire(streams_ready(), Streams.channel)
        self._ready.append(connection)

    def _is_stream(self, connection: object) -> bool:
        return bool(self.getTarget(connection) == Streams.channel)


def _probe_when_quiet(connection: socket.socket) -> None:
    """Ends a connection whose peer does not answer for a few seconds."""
    connection.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    for option, value in (
        (socket.TCP_KEEPIDLE, PROBE_PERIOD_S),
        (socket.TCP_KEEPINTVL, PROBE_PERIOD_S),
        (socket.TCP_KEEPCNT, PROBE_COUNT),
        (socket.TCP_USER_TIMEOUT, PROBE_PERIOD_S * PROBE_COUNT * 1000),
    ):
        connection.setsockopt(socket.IPPROTO_TCP, option, value)


class StreamObserver(Protocol):
    """What the owner of a stream learns of it."""

    def on_connected(self, stream: "Stream") -> None:
        """The dialled connection is open."""

    def on_data(self, stream: "Stream", data: bytes) -> None:
        """Bytes have arrived."""

    def on_closed(self, stream: "Stream", reason: str) -> None:
        """The connection has ended; nothing follows. Called once."""


class Stream:
    """One TCP connection."""

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
        self.postponed: list[bytes] = []
        self.is_connecting = observer is not None
        self.is_open = True
        self.ends_when_sent = False

    def send(self, data: bytes) -> bool:
        """Hands bytes to the socket; keeps what it does not take yet.

        Returns:
            False if no byte was handed over, since the stream is closed.
        """
        return self._owner.send(self, data)

    def send_soon(self, data: bytes) -> bool:
        """Sends bytes at the end of this turn, together with others.

        Returns:
            False if the stream is closed.
        """
        return self._owner.send_soon(self, data)

    def end_sending_when_sent(self) -> None:
        """Tells the peer that nothing follows; reading goes on."""
        self.ends_when_sent = True
        if not self.unsent and not self.postponed:
            self.end_sending()

    def end_sending(self) -> None:
        """Ends this side of the connection."""
        # A peer that has reset the connection shows at the next read.
        with contextlib.suppress(OSError):
            self.connection.shutdown(socket.SHUT_WR)

    def round_trip_s(self) -> float:
        """Returns the kernel's estimate of the round trip to the peer.

        Returns:
            Seconds; 0 if the kernel does not tell.
        """
        try:
            info = self.connection.getsockopt(
                socket.IPPROTO_TCP, socket.TCP_INFO, _TCP_INFO_BYTES
            )
            (round_trip_us,) = struct.unpack_from("I", info, _RTT_OFFSET_BYTES)
        except (OSError, struct.error):
            return 0.0
        return int(round_trip_us) / 1e6

    def close(self) -> None:
        """Closes the connection without telling the observer."""
        self._owner.close_stream(self, reason=None)


class Streams(BaseComponent):
    """Owns TCP connections and tells their observers what happens."""

    channel = "streams"

    def __init__(self, poller: StreamPoller) -> None:
        super().__init__()
        self._poller = poller
        self._streams: dict[socket.socket, Stream] = {}
        self._postponed: list[Stream] = []
        self._listeners: dict[
            socket.socket, Callable[[Stream], StreamObserver]
        ] = {}

    def __enter__(self) -> Self:
        return self

    def __exit__(self, *_: object) -> None:
        for stream in list(self._streams.values()):
            self.close_stream(stream, reason=None)
        self.stop_listening()

    def listen(
        self, address: Address, accept: Callable[[Stream], StreamObserver]
    ) -> None:
        """Accepts connections; `accept` names the observer of each.

        Raises:
            OSError: The address is in use or is not this VM's.
        """
        listener = socket.create_server(
            address, backlog=LISTEN_BACKLOG_COUNT, reuse_port=False
        )
        listener.setblocking(False)
        self._listeners[listener] = accept
        self._poller.addReader(self, listener)

    def stop_listening(self) -> None:
        """Closes the listening sockets; open connections stay."""
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
        """Starts to connect; the observer hears how it went, later.

        Args:
            address: The peer.
            observer: Hears what happens.
            detects_silence: Whether the kernel probes the connection while it
                is quiet and ends it when the peer does not answer.
        """
        connection = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        connection.setblocking(False)
        connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        if detects_silence:
            _probe_when_quiet(connection)
        stream = Stream(self, connection, address, observer)
        self._streams[connection] = stream
        connection.connect_ex(address)
        # A refused dial shows as an error on the socket when it is polled.
        self._poller.addWriter(self, connection)
        return stream

    def send_soon(self, stream: Stream, data: bytes) -> bool:
        """Sends bytes at the end of the turn; see `Stream.send_soon`."""
        if not stream.is_open or stream.is_connecting:
            return False
        if not stream.postponed:
            self._postponed.append(stream)
        stream.postponed.append(data)
        return True

    # After the timers, whose callbacks send too, and before the poller sleeps.
    @handler("generate_events", channel="*", priority=-5)
    def _on_turn_end(self, event: Event) -> None:
        del event
        while self._postponed:
            self.send(self._postponed.pop(), b"")

    def send(self, stream: Stream, data: bytes) -> bool:
        """Sends bytes; see `Stream.send`."""
        if not stream.is_open or stream.is_connecting:
            return False
        if stream.postponed:
            data = b"".join(stream.postponed) + data
            stream.postponed.clear()
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
        """Hands bytes to the socket; False if it took none and is closed."""
        try:
            sent_bytes = stream.connection.send(data)
        except BlockingIOError:
            sent_bytes = 0
        except OSError as error:
            self.close_stream(stream, f"send failed: {error.strerror}")
            return False
        was_waiting = bool(stream.unsent)
        stream.unsent = bytearray(data[sent_bytes:])
        if stream.unsent and not was_waiting:
            self._poller.addWriter(self, stream.connection)
        elif was_waiting and not stream.unsent:
            self._poller.removeWriter(stream.connection)
        if stream.ends_when_sent and not stream.unsent:
            stream.end_sending()
        return True

    def close_stream(self, stream: Stream, reason: str | None) -> None:
        """Closes a stream; a reason is told to its observer."""
        if not stream.is_open:
            return
        stream.is_open = False
        self._streams.pop(stream.connection, None)
        self._poller.discard(stream.connection)
        with contextlib.suppress(OSError):
            stream.connection.close()
        if reason is not None and stream.observer is not None:
            stream.observer.on_closed(stream, reason)

    @handler("streams_ready")
    def _on_ready(self) -> None:
        # A socket that a fault leaves unread is ready again at the next poll.
        for connection in self._poller.take_ready():
            self._on_readable(connection)

    @handler("_read", priority=1)
    def _on_readable(self, connection: socket.socket) -> None:
        if connection in self._listeners:
            self._accept(connection)
            return
        stream = self._streams.get(connection)
        if stream is None or stream.observer is None:
            return
        try:
            data = connection.recv(READ_SIZE_BYTES)
        except BlockingIOError:
            return
        except OSError as error:
            self.close_stream(stream, f"read failed: {error.strerror}")
            return
        if not data:
            self.close_stream(stream, "the peer closed the connection")
            return
        try:
            stream.observer.on_data(stream, data)
        except Exception:
            # The observer may have lost its place in the byte stream.
            self.close_stream(stream, "a fault while reading the data")
            raise

    def _accept(self, listener: socket.socket) -> None:
        try:
            connection, peer = listener.accept()
        except OSError:
            return
        connection.setblocking(False)
        connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        stream = Stream(self, connection, Address(*peer[:2]), None)
        stream.observer = self._listeners[listener](stream)
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

    def _finish_dial(self, stream: Stream) -> None:
        code = stream.connection.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR)
        if code:
            name = errno.errorcode.get(code, str(code))
            self.close_stream(stream, f"connect failed: {name}")
            return
        stream.is_connecting = False
        self._poller.removeWriter(stream.connection)
        self._poller.addReader(self, stream.connection)
        if stream.observer is not None:
            stream.observer.on_connected(stream)

    @handler("_disconnect", "_error", priority=1)
    def _on_disconnect(self, connection: socket.socket, *_: object) -> None:
        stream = self._streams.get(connection)
        if stream is not None:
            self.close_stream(stream, "the connection was reset or refused")
