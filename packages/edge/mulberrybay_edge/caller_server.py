"""HTTP/1.1 server for callers: answers requests in the order received."""

import traceback
from collections import deque
from http import HTTPStatus
from typing import Final, Self

import httptools

from mulberrybay_core import caller_errors
from mulberrybay_core.addresses import Address
from mulberrybay_core.caller_messages import (
    HOP_BY_HOP_HEADERS,
    CallerAnswer,
    CallerRequest,
    CallerService,
    CancelRequest,
    HeaderNames,
)
from mulberrybay_core.overload.answer_reserve import AnswerReserve
from mulberrybay_core.routing import CallerLimits
from mulberrybay_runtime.clock import read_clock_s
from mulberrybay_runtime.logs import StructuredLog
from mulberrybay_runtime.streams import Stream, Streams
from mulberrybay_runtime.timers import Timers

SWEEP_PERIOD_S: Final = 0.25
# How long a connection stays open for reading after its last answer, so that
# the caller can read that answer before the connection is reset.
LINGER_S: Final = 1.0
# Requests that a caller may pipeline on one connection.
MAX_PIPELINED_COUNT: Final = 32
CONTINUE_ANSWER: Final = b"HTTP/1.1 100 Continue\r\n\r\n"
REASON_PHRASES: Final = {status.value: status.phrase for status in HTTPStatus}


def encode_answer(
    answer: CallerAnswer, *, closes: bool, has_body: bool = True
) -> bytes:
    """Returns the encoded answer, without the body if `has_body` is false."""
    reason = REASON_PHRASES.get(answer.status, "Unknown")
    lines = [f"HTTP/1.1 {answer.status} {reason}"]
    lines += [f"{name}: {value}" for name, value in answer.headers]
    if closes:
        lines.append("Connection: close")
    body_bytes = answer.body_bytes
    if body_bytes is None:
        body_bytes = len(answer.body)
    lines.append(f"Content-Length: {body_bytes}\r\n\r\n")
    head = "\r\n".join(lines).encode("latin-1")
    return head + answer.body if has_body else head


class _Connection:
    """A connection from a caller; handles its requests one at a time."""

    def __init__(self, server: "CallerServer", stream: Stream) -> None:
        self._server = server
        self._stream = stream
        self._parser = httptools.HttpRequestParser(self)
        self._pending: deque[tuple[CallerRequest | CallerAnswer, bool]] = (
            deque()
        )
        self._is_busy = False
        self._cancel: CancelRequest | None = None
        self._request_count = 0
        self._is_ending = False
        # Whether an error answer is queued behind earlier requests.
        self._has_failed = False
        self._has_request = False
        self._round_trip_s = stream.round_trip_s()
        self._opened_since_s = stream.arrival_bounds_s()[0]
        self._accepted_at_s = read_clock_s()
        self._peer_host = ""
        if server.answer_reserve is not None:
            self._peer_host = stream.peer.host
            server.answer_reserve.record_round_trip(
                self._peer_host, self._round_trip_s, self._accepted_at_s
            )
        self.last_active_at_s = read_clock_s()
        self.message_started_at_s: float | None = None
        self._clear_message()

    def _clear_message(self) -> None:
        self._target = b""
        self._headers: list[tuple[str, str]] = []
        self._body: list[bytes] = []
        self._body_bytes = 0
        # Of the complete fields, and of all of a head that is incomplete.
        self._header_bytes = 0
        self._unread_head_bytes = 0
        self._is_head_read = False

    @property
    def is_idle(self) -> bool:
        """Whether no request is being read or answered."""
        return (
            not self._is_busy
            and not self._pending
            and self.message_started_at_s is None
        )

    @property
    def is_ending(self) -> bool:
        """Whether the last answer of the connection has been written."""
        return self._is_ending

    # Stream callbacks.

    def on_connected(self, stream: Stream) -> None:
        """Does nothing: callers open the connections."""

    def on_data(self, stream: Stream, data: bytes) -> None:
        """Parses received bytes and enforces the size limits."""
        if self._is_ending or self._has_failed:
            return
        try:
            self._parse(data)
        except httptools.HttpParserError:
            self._fail(caller_errors.BAD_REQUEST)
        if not self._is_head_read:
            self._unread_head_bytes += len(data)
        self._check_limits()
        # Not within the parser, which takes a fault there for a parse error.
        self._start_next()

    def _parse(self, data: bytes) -> None:
        """Parses bytes, and goes on after the head of an offered upgrade.

        The parser stops there. The offer is declined by serving the request as
        it is (RFC 9110, 7.8).

        Raises:
            httptools.HttpParserError: The bytes are not HTTP.
        """
        while True:
            try:
                self._parser.feed_data(data)
            except httptools.HttpParserUpgrade as upgrade:
                head = self._encode_head_without_offer()
                if head is None:
                    self._fail(caller_errors.BAD_REQUEST)
                    return
                data = head + data[upgrade.args[0] :]
                self._parser = httptools.HttpRequestParser(self)
            else:
                return

    def _encode_head_without_offer(self) -> bytes | None:
        """Returns the head that was just read; None if it is of a tunnel."""
        method = self._parser.get_method()
        if method == b"CONNECT":
            return None
        version = self._parser.get_http_version().encode()
        lines = [b"%s %s HTTP/%s" % (method, self._target, version)]
        lines += [
            f"{name}: {value}".encode("latin-1")
            for name, value in self._headers
            if name.lower() != "upgrade"
        ]
        return b"\r\n".join([*lines, b"", b""])

    def _check_limits(self) -> None:
        limits = self._server.limits
        if self._is_ending or self.message_started_at_s is None:
            return
        if (
            not self._is_head_read
            and self._unread_head_bytes > limits.max_header_bytes
        ):
            self._fail(caller_errors.HEADERS_TOO_LARGE)
        elif self._body_bytes > limits.max_body_bytes:
            self._fail(caller_errors.BODY_TOO_LARGE)

    def on_closed(self, stream: Stream, reason: str) -> None:
        """Cancels the request in progress: the caller has disconnected."""
        del stream, reason
        self._server.remove_connection(self)
        cancel = self._cancel
        self._cancel = None
        self._pending.clear()
        if cancel is not None:
            cancel()

    # Callbacks of httptools.

    def on_message_begin(self) -> None:
        """Resets the parsing state for a new request."""
        self._clear_message()
        self.message_started_at_s = read_clock_s()

    def on_url(self, url: bytes) -> None:
        """Appends to the request target, which may come in several pieces."""
        self._target += url

    def on_header(self, name: bytes, value: bytes) -> None:
        """Records a header."""
        self._header_bytes += len(name) + len(value)
        self._headers.append((name.decode("latin-1"), value.decode("latin-1")))

    def on_headers_complete(self) -> None:
        """Sends "100 Continue" if the caller expects it before the body."""
        self._is_head_read = True
        if self._parser.should_upgrade():
            # The parser is going to stop here; see `_parse`.
            return
        for name, value in self._headers:
            if name.lower() == "expect" and value.lower() == "100-continue":
                self._stream.send(CONTINUE_ANSWER)

    def on_body(self, body: bytes) -> None:
        """Appends to the body; drops what exceeds the size limit."""
        self._body_bytes += len(body)
        if self._body_bytes <= self._server.limits.max_body_bytes:
            self._body.append(body)

    def on_message_complete(self) -> None:
        """Queues the complete request."""
        if self._parser.should_upgrade():
            return
        self.message_started_at_s = None
        keeps_alive = self._parser.should_keep_alive()
        if self._body_bytes > self._server.limits.max_body_bytes:
            self._pending.append((caller_errors.BODY_TOO_LARGE, False))
        elif self._header_bytes > self._server.limits.max_header_bytes:
            self._pending.append((caller_errors.HEADERS_TOO_LARGE, False))
        else:
            self._pending.append((self._read_request(), keeps_alive))
        if len(self._pending) > MAX_PIPELINED_COUNT + (not self._is_busy):
            self._fail(caller_errors.BAD_REQUEST)

    def _read_request(self) -> CallerRequest | CallerAnswer:
        names = self._server.names
        internal_names = self._server.internal_header_names
        dropped: set[str] = set()
        for name, value in self._headers:
            if name.lower() == "connection":
                dropped.update(
                    token.strip().lower() for token in value.split(",")
                )
        host = request_id = ""
        deadline_s: float | None = None
        host_count = 0
        is_relayed = False
        headers = []
        for name, value in self._headers:
            lower = name.lower()
            if lower == "host":
                host = value.strip()
                host_count += 1
            elif lower == names.request_id.lower():
                request_id = value
            elif lower == names.deadline_ms.lower():
                deadline_s = _read_deadline_s(value)
            elif lower == names.expected_server.lower():
                # Callers don't name a server; a node that relays does.
                is_relayed = True
            elif (
                lower not in HOP_BY_HOP_HEADERS
                and lower not in internal_names
                and lower not in dropped
            ):
                headers.append((name, value))
        target = self._target.decode("latin-1")
        if host_count != 1 or not target.startswith("/"):
            return caller_errors.BAD_REQUEST
        return CallerRequest(
            method=self._parser.get_method().decode("latin-1"),
            target=target,
            path=target.partition("?")[0],
            host=host.rpartition(":")[0].lower()
            if ":" in host
            else host.lower(),
            headers=(("Host", host), *headers),
            body=b"".join(self._body),
            request_id=request_id,
            received_at_s=read_clock_s(),
            deadline_s=deadline_s,
            network_time_s=self._network_time_s(),
            is_relayed=is_relayed,
            peer_host=self._peer_host,
        )

    def _network_time_s(self) -> float:
        """Returns the network time of a request, in seconds.

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

    # Answers.

    def _start_next(self) -> None:
        while self._pending and not self._is_busy and not self._is_ending:
            request, keeps_alive = self._pending.popleft()
            if isinstance(request, CallerAnswer):
                self._answer(request, keeps_alive=False)
                return
            if self._server.is_refusing:
                self._answer(caller_errors.STOPPING, keeps_alive=False)
                return
            self._is_busy = True
            self._request_count += 1
            number = self._request_count

            def reply(
                answer: CallerAnswer,
                number: int = number,
                *,
                keeps_alive: bool = keeps_alive,
                has_body: bool = request.method != "HEAD",
            ) -> None:
                if number == self._request_count and self._is_busy:
                    self._is_busy = False
                    self._cancel = None
                    self._answer(
                        answer, keeps_alive=keeps_alive, has_body=has_body
                    )
                    self._start_next()

            try:
                cancel = self._server.service.submit(request, reply)
            except Exception as error:
                # The request may be with a backend server by now.
                self._server.record_fault(request.request_id, error)
                reply(caller_errors.INCOMPLETE_REPLY)
                continue
            if self._is_busy and number == self._request_count:
                self._cancel = cancel

    def _answer(
        self, answer: CallerAnswer, *, keeps_alive: bool, has_body: bool = True
    ) -> None:
        closes = not keeps_alive or self._server.is_stopping
        self.last_active_at_s = read_clock_s()
        self._stream.send(
            encode_answer(answer, closes=closes, has_body=has_body)
        )
        self._observe_sending(self.last_active_at_s)
        if closes:
            self._end()

    def _observe_sending(self, submitted_at_s: float) -> None:
        """Records how long the kernel takes to accept an answer."""
        reserve = self._server.answer_reserve
        if reserve is None:
            return
        if not self._stream.unsent:
            reserve.record_unsent(0.0, submitted_at_s)
            return

        def on_sent() -> None:
            now_s = read_clock_s()
            reserve.record_unsent(now_s - submitted_at_s, now_s)

        self._stream.on_sent = on_sent

    def _fail(self, answer: CallerAnswer) -> None:
        """Answers with an error and ends the connection.

        Bytes that follow can't be parsed reliably.
        """
        if self._is_busy or self._pending:
            # Earlier requests are answered first, then the error is sent and
            # the connection ends.
            self._pending.append((answer, False))
            self._has_failed = True
            self.message_started_at_s = None
            return
        self._answer(answer, keeps_alive=False)

    def _end(self) -> None:
        self._is_ending = True
        self._pending.clear()
        self.message_started_at_s = None
        self._stream.half_close_when_sent()

    def sweep(self, now_s: float) -> None:
        """Closes the connection if a timeout has passed."""
        limits = self._server.limits
        if self._is_ending:
            if now_s - self.last_active_at_s > LINGER_S:
                self.close()
        elif self.message_started_at_s is not None:
            if now_s - self.message_started_at_s > limits.header_timeout_s:
                self._fail(caller_errors.REQUEST_TIMEOUT)
        elif (
            self.is_idle
            and now_s - self.last_active_at_s > limits.idle_timeout_s
        ):
            self.close()

    def close(self) -> None:
        """Closes the connection."""
        self._server.remove_connection(self)
        self._stream.close()


def _read_deadline_s(text: str) -> float | None:
    try:
        deadline_ms = float(text)
    except ValueError:
        return None
    # The comparison is also false for NaN.
    return deadline_ms / 1000 if 0 <= deadline_ms < 1e9 else None


class CallerServer:
    """Accepts connections from callers and passes requests to a service."""

    def __init__(
        self,
        names: HeaderNames,
        service: CallerService,
        streams: Streams,
        timers: Timers,
    ) -> None:
        self.names = names
        self.internal_header_names = frozenset({"content-length"})
        self.service = service
        self.limits = CallerLimits()
        # Gets the delays of connections and answers, if there is one.
        self.answer_reserve: AnswerReserve | None = None
        # Whether connections are closed after the next answer, and whether new
        # requests are refused: the process ends before they could be answered.
        self.is_stopping = False
        self.is_refusing = False
        self._log = StructuredLog("callers")
        self._streams = streams
        self._connections: set[_Connection] = set()
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

    def _accept(self, stream: Stream) -> _Connection:
        connection = _Connection(self, stream)
        self._connections.add(connection)
        return connection

    def _sweep(self) -> None:
        now_s = read_clock_s()
        for connection in [*self._connections]:
            connection.sweep(now_s)

    def remove_connection(self, connection: _Connection) -> None:
        """Removes a closed connection."""
        self._connections.discard(connection)

    def close_idle(self) -> None:
        """Closes the connections without a request in progress."""
        for connection in [*self._connections]:
            if connection.is_idle and not connection.is_ending:
                connection.close()

    @property
    def busy_count(self) -> int:
        """Number of connections with a request in progress."""
        return sum(
            not connection.is_idle and not connection.is_ending
            for connection in self._connections
        )

    @property
    def connection_count(self) -> int:
        """Number of open connections."""
        return len(self._connections)
