"""Reads the requests of one caller and bounds what it holds meanwhile."""

from collections.abc import Callable
from typing import Final, NamedTuple

import httptools

from mulberrybay_core import caller_errors
from mulberrybay_core.caller_messages import (
    HOP_BY_HOP_HEADERS,
    CallerAnswer,
    CallerRequest,
    HeaderNames,
)
from mulberrybay_core.routing import CallerLimits
from mulberrybay_runtime.callers.timing import ConnectionTiming
from mulberrybay_runtime.clock import read_clock_s

# The colon and the end of a header line. Since they are counted, the limit on
# bytes also bounds the number of lines.
LINE_END_BYTES: Final = 3
# What a head has beside its target and its headers, which alone count: a method of up
# to 11 characters, two spaces, the version, and the ends of two lines.
START_LINE_BYTES: Final = 25
# What an incomplete or waiting request takes apart from its bytes.
OBJECT_BYTES: Final = 1024
INTERNAL_HEADER_NAMES: Final = frozenset({"content-length"})
MAX_LENGTH_DIGITS: Final = 18
# The headers that nodes add to a request that they relay.
RELAYED_HEADER_BYTES: Final = 1024
# How the parser reports a version other than 1.0 and 1.1.
INVALID_VERSION_TEXT: Final = "Invalid HTTP version"
# The headers that tell where a request and its connection end.
FRAMING_NAMES: Final = frozenset(
    {b"connection", b"content-length", b"transfer-encoding"}
)


class _HeadTooLargeError(Exception):
    """The head exceeds the limit, and the rest can't be parsed without it."""


class ReceivedRequest(NamedTuple):
    """A complete request, in the form that takes the least memory.

    Attributes:
        method: The HTTP method.
        target: The path and query string.
        head: The headers as NAME:VALUE, a line each.
        line_count: The number of headers.
        body: The complete body.
        keeps_alive: Whether the connection stays open after the answer.
        received_at_s: When the last byte was read.
        network_time_s: The part of the latency spent on the network, and the
            time for which the request waited to be read.
        peer_host: The host that the connection comes from; empty if it isn't
            observed.
    """

    method: bytes
    target: bytes
    head: bytes
    line_count: int
    body: bytes
    keeps_alive: bool
    received_at_s: float
    network_time_s: float
    peer_host: str = ""

    @property
    def held_bytes(self) -> int:
        """What the request takes in memory while it waits."""
        return OBJECT_BYTES + len(self.target) + len(self.head) + len(self.body)


def decode_request(
    received: ReceivedRequest, names: HeaderNames
) -> CallerRequest | CallerAnswer:
    """Returns the request, or the answer to one that is not valid."""
    pairs: list[tuple[str, str]] = []
    for line in received.head.decode("latin-1").split("\n")[:-1]:
        name, _, value = line.partition(":")
        pairs.append((name, value))
    request_id_name = names.request_id.lower()
    deadline_name = names.deadline_ms.lower()
    expected_server_name = names.expected_server.lower()
    dropped: set[str] = set()
    for name, value in pairs:
        if name.lower() == "connection":
            dropped.update(token.strip().lower() for token in value.split(","))
    host = request_id = ""
    deadline_s: float | None = None
    host_count = 0
    is_relayed = False
    headers = []
    for pair in pairs:
        name, value = pair
        lower = name.lower()
        if lower == "host":
            host = value.strip()
            host_count += 1
        elif lower == request_id_name:
            request_id = value
        elif lower == deadline_name:
            deadline_s = _read_deadline_s(value)
        elif lower == expected_server_name:
            # Callers don't name a server; a node that relays does.
            is_relayed = True
        elif (
            lower not in HOP_BY_HOP_HEADERS
            and lower not in INTERNAL_HEADER_NAMES
            and lower not in dropped
        ):
            headers.append(pair)
    target = received.target.decode("latin-1")
    if host_count != 1 or not target.startswith("/"):
        return caller_errors.NO_HOST
    return CallerRequest(
        method=received.method.decode("latin-1"),
        target=target,
        path=target.partition("?")[0],
        host=host.rpartition(":")[0].lower() if ":" in host else host.lower(),
        headers=(("Host", host), *headers),
        body=received.body,
        request_id=request_id,
        received_at_s=received.received_at_s,
        deadline_s=deadline_s,
        network_time_s=received.network_time_s,
        is_relayed=is_relayed,
        peer_host=received.peer_host,
    )


def _read_deadline_s(text: str) -> float | None:
    try:
        deadline_ms = float(text)
    except ValueError:
        return None
    # The comparison is also false for NaN.
    return deadline_ms / 1000 if 0 <= deadline_ms < 1e9 else None


class RequestReader:
    """Parses received bytes; holds one incomplete request at most.

    Attributes:
        message_started_at_s: When the first byte of an incomplete request came;
            None if there is none.
        is_head_read: Whether the head of the incomplete request is complete.
        body_at_s: When the last byte of its body came, or the end of its head.
        read_bytes: The bytes of all heads and bodies so far, without the
            framing of chunks.
    """

    def __init__(
        self,
        on_request: Callable[[ReceivedRequest | CallerAnswer], None],
        on_expectation: Callable[[], None],
        timing: ConnectionTiming,
        relay_name: str = "",
    ) -> None:
        """Creates the reader.

        Args:
            on_request: Called with each complete request, or with the answer to
                one that exceeds the limits.
            on_expectation: Called if the caller waits for "100 Continue".
            timing: Tells the network time of each request.
            relay_name: The name of the header that nodes add first to requests
                that they relay; empty if no request is relayed.
        """
        self._on_request = on_request
        self._on_expectation = on_expectation
        self._timing = timing
        self._limits = CallerLimits()
        # What the head of the request may have.
        self._max_header_bytes = 0
        self._relay_name = relay_name.lower().encode()
        self._noted_names = {*FRAMING_NAMES, b"expect", self._relay_name}
        # None after the reader was closed: the parser refers to the reader.
        self._parser: httptools.HttpRequestParser | None = (
            httptools.HttpRequestParser(self)
        )
        self._has_completed = False
        self.message_started_at_s: float | None = None
        self.body_at_s = 0.0
        self.read_bytes = 0
        self._clear_message()

    def _clear_message(self) -> None:
        self._target = b""
        self._head = bytearray()
        self._line_count = 0
        self._framing_lines: list[bytes] = []
        # Whether the parser gets the framing of a head that was read before.
        self._resumes = False
        self._body = bytearray()
        self._body_bytes = 0
        self._announced_bytes = 0
        # Of the complete fields, and of all of a head that is incomplete.
        self._header_bytes = 0
        self._unread_head_bytes = 0
        # Since the last byte of the body: sizes of chunks and trailers.
        self._framing_bytes = 0
        self._expects_continue = False
        self.is_head_read = False

    @property
    def held_bytes(self) -> int:
        """What the incomplete request takes in memory."""
        if self.message_started_at_s is None:
            return 0
        # A growing buffer is up to an eighth larger than its content.
        buffered_bytes = len(self._head) + len(self._body)
        return (
            OBJECT_BYTES
            + len(self._target)
            + buffered_bytes * 9 // 8
            + (0 if self.is_head_read else self._unread_head_bytes)
            + self._framing_bytes
        )

    def restart_times(self, now_s: float) -> None:
        """Counts the time of an incomplete request from now on.

        Nothing was read for some time, which is not the caller's doing.
        """
        if self.message_started_at_s is not None:
            self.message_started_at_s = self.body_at_s = now_s

    def postpone_times(self, delay_s: float) -> None:
        """Doesn't count a time in which the node had other things to do."""
        if self.message_started_at_s is not None:
            self.message_started_at_s += delay_s
            self.body_at_s += delay_s

    def close(self) -> None:
        """Frees what the reader holds, without waiting for the collector."""
        self._parser = None
        self.message_started_at_s = None
        self._clear_message()

    def feed(self, data: bytes, limits: CallerLimits) -> CallerAnswer | None:
        """Parses bytes; returns the error that ends the connection, if any."""
        self._limits = limits
        self._has_completed = False
        was_head_read = self.is_head_read
        body_bytes = self._body_bytes
        try:
            self._parse(data)
        except httptools.HttpParserError as error:
            if str(error) == INVALID_VERSION_TEXT:
                return caller_errors.UNSUPPORTED_VERSION
            return caller_errors.BAD_REQUEST
        except _HeadTooLargeError:
            return caller_errors.HEADERS_TOO_LARGE
        if self._parser is None or self.message_started_at_s is None:
            return None
        if not self.is_head_read:
            # Bytes that came with the end of the request before aren't counted.
            if not self._has_completed:
                self._unread_head_bytes += len(data)
        elif not was_head_read or self._has_completed:
            self.body_at_s = read_clock_s()
        elif self._body_bytes > body_bytes:
            self._framing_bytes = 0
            self.body_at_s = read_clock_s()
        else:
            self._framing_bytes += len(data)
        return self._find_excess()

    def _find_excess(self) -> CallerAnswer | None:
        max_header_bytes = self._max_header_bytes
        # The space after the colon of a line isn't counted in its bytes.
        max_unread_bytes = (
            max_header_bytes + self._line_count + START_LINE_BYTES
        )
        if (
            self._header_bytes > max_header_bytes
            or self._framing_bytes > max_header_bytes
            or (
                not self.is_head_read
                and self._unread_head_bytes > max_unread_bytes
            )
        ):
            return caller_errors.HEADERS_TOO_LARGE
        body_bytes = max(self._body_bytes, self._announced_bytes)
        if self.is_head_read and body_bytes > self._limits.max_body_bytes:
            return caller_errors.BODY_TOO_LARGE
        return None

    def _parse(self, data: bytes) -> None:
        """Parses bytes, and goes on after the head of an offered upgrade.

        The parser stops there. The offer is declined by serving the request as
        it is (RFC 9110, 7.8): another parser gets the lines that tell where the
        request ends, and what was read of the head stays as it is.

        Raises:
            httptools.HttpParserError: The bytes are not HTTP.
            _HeadTooLargeError: The head of an offer exceeds the limit, so that
                not all of its lines were kept.
        """
        while self._parser is not None:
            try:
                self._parser.feed_data(data)
            except httptools.HttpParserUpgrade as upgrade:
                if self._header_bytes > self._max_header_bytes:
                    raise _HeadTooLargeError from upgrade
                data = self._encode_framing() + data[upgrade.args[0] :]
                self._parser = httptools.HttpRequestParser(self)
                self._resumes = True
            else:
                return

    def _encode_framing(self) -> bytes:
        """Returns a head with the framing of the one that was just read.

        Raises:
            httptools.HttpParserError: It is the head of a tunnel.
        """
        assert self._parser is not None
        method = self._parser.get_method()
        if method == b"CONNECT":
            raise httptools.HttpParserError("a tunnel")
        version = self._parser.get_http_version().encode()
        return b"\r\n".join(
            [
                b"%s / HTTP/%s" % (method, version),
                *self._framing_lines,
                b"",
                b"",
            ]
        )

    # Callbacks of httptools.

    def on_message_begin(self) -> None:
        """Resets the parsing state for a new request.

        Raises:
            httptools.HttpParserError: The reader was closed, so that the rest
                of the bytes is of no use.
        """
        if self._parser is None:
            raise httptools.HttpParserError("closed")
        if self._resumes:
            return
        self._clear_message()
        self._max_header_bytes = self._limits.max_header_bytes
        self.message_started_at_s = read_clock_s()

    def on_url(self, url: bytes) -> None:
        """Appends to the request target, which may come in several pieces."""
        if self._resumes:
            return
        self._header_bytes += len(url)
        self.read_bytes += len(url)
        if self._header_bytes <= self._max_header_bytes:
            self._target += url

    def on_header(self, name: bytes, value: bytes) -> None:
        """Records a header; trailers are counted and dropped."""
        if self._resumes:
            return
        line_bytes = len(name) + len(value) + LINE_END_BYTES
        self._header_bytes += line_bytes
        if self.is_head_read:
            return
        self.read_bytes += line_bytes
        if self._header_bytes <= self._max_header_bytes:
            # Neither names nor values contain line feeds, names no colon.
            self._head += b"%b:%b\n" % (name, value)
            self._line_count += 1
            lower_name = name.lower()
            if lower_name in self._noted_names:
                self._note_header(lower_name, value)

    def _note_header(self, lower_name: bytes, value: bytes) -> None:
        """Notes what the reader itself has to know of a head."""
        if lower_name == self._relay_name:
            self._max_header_bytes = (
                self._limits.max_header_bytes + RELAYED_HEADER_BYTES
            )
        elif lower_name == b"expect":
            self._expects_continue = value.lower() == b"100-continue"
        else:
            self._framing_lines.append(b"%b:%b" % (lower_name, value))
            if lower_name == b"content-length" and value.isdigit():
                # Compared with the limit only, so the first digits do.
                self._announced_bytes = int(value[:MAX_LENGTH_DIGITS])

    def on_headers_complete(self) -> None:
        """Sends "100 Continue" if the caller expects it before the body."""
        self.is_head_read = True
        self._resumes = False
        if self._parser is None or self._parser.should_upgrade():
            # The parser is going to stop here; see `_parse`.
            return
        if (
            self._expects_continue
            and self._announced_bytes <= self._limits.max_body_bytes
        ):
            self._on_expectation()

    def on_body(self, body: bytes) -> None:
        """Appends to the body; drops what exceeds the size limit."""
        self._body_bytes += len(body)
        self.read_bytes += len(body)
        if self._body_bytes <= self._limits.max_body_bytes:
            self._body += body

    def on_message_complete(self) -> None:
        """Passes the complete request on."""
        if self._parser is None or self._parser.should_upgrade():
            return
        self.message_started_at_s = None
        self._has_completed = True
        if self._body_bytes > self._limits.max_body_bytes:
            self._on_request(caller_errors.BODY_TOO_LARGE)
        elif self._header_bytes > self._max_header_bytes:
            self._on_request(caller_errors.HEADERS_TOO_LARGE)
        else:
            received = ReceivedRequest(
                self._parser.get_method(),
                self._target,
                bytes(self._head),
                self._line_count,
                bytes(self._body),
                self._parser.should_keep_alive(),
                read_clock_s(),
                self._timing.network_time_s(),
                self._timing.peer_host,
            )
            self._on_request(received)
        self._clear_message()
