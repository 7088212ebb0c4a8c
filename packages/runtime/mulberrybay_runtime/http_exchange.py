"""HTTP/1.1 client: encodes requests and parses replies.

Used for backend servers and the platform. The client of circuits.web does not
identify the request in its events and has no timeout, so requests are encoded
here and replies are parsed by httptools.
"""

import functools
from collections.abc import Iterable, Mapping
from typing import Final, NamedTuple

import httptools

from mulberrybay_core.addresses import Address

MAX_REPLY_BYTES: Final = 4 * 1024 * 1024
MAX_HEAD_BYTES: Final = 64 * 1024
# Small chunks take up to several times the size of the body that they carry.
MAX_ENCODED_BYTES: Final = 2 * MAX_REPLY_BYTES
# What a header takes as a pair of strings, apart from its text.
HEADER_LINE_BYTES: Final = 200
# Replies below are interim ones.
MIN_STATUS: Final = 200
MAX_STATUS: Final = 599
MIN_INTERIM_STATUS: Final = 100
# It would change the protocol, which no request asks for.
SWITCHING_PROTOCOLS_STATUS: Final = 101


class HttpReply(NamedTuple):
    """A complete HTTP reply.

    Attributes:
        status: The HTTP status.
        headers: The headers; their names are in lower case.
        body: The body.
        keeps_alive: Whether the connection can carry another request.
    """

    status: int
    headers: Mapping[str, str]
    body: bytes
    keeps_alive: bool


class ReplyTooLargeError(Exception):
    """A reply is larger than one of the limits above."""


class _ReplySize:
    """Bounds the bytes of one reply."""

    __slots__ = ("_encoded_bytes", "head_bytes")

    def __init__(self) -> None:
        self.head_bytes = 0
        self._encoded_bytes = 0

    def add(self, count: int, body_bytes: int, *, is_in_head: bool) -> None:
        """Adds bytes that were received and parsed.

        Args:
            count: The number of bytes.
            body_bytes: The length of the body up to now.
            is_in_head: Whether the head is still incomplete.

        Raises:
            ReplyTooLargeError: The reply exceeds a limit.
        """
        self._encoded_bytes += count
        if is_in_head:
            self.head_bytes += count
        if (
            self.head_bytes > MAX_HEAD_BYTES
            or self._encoded_bytes > MAX_ENCODED_BYTES
            or body_bytes > MAX_REPLY_BYTES
        ):
            raise ReplyTooLargeError


def encode_request(
    method: str,
    path: str,
    address: Address,
    headers: Iterable[tuple[str, str]] = (),
    body: bytes = b"",
) -> bytes:
    """Returns the bytes of a request on a persistent connection."""
    lines = [f"{method} {path} HTTP/1.1", f"Host: {address}"]
    lines += [f"{name}: {value}" for name, value in headers]
    lines.append(f"Content-Length: {len(body)}\r\n\r\n")
    return "\r\n".join(lines).encode("latin-1") + body


@functools.lru_cache(maxsize=256)
def _lower_name(name: bytes) -> str:
    return name.decode("latin-1").lower()


def _check_status(status: int) -> None:
    """Refuses the status of a reply that can't be used.

    Raises:
        httptools.HttpParserInvalidStatusError: It is below 100, above 599, or
            101.
    """
    if (
        not MIN_INTERIM_STATUS <= status <= MAX_STATUS
        or status == SWITCHING_PROTOCOLS_STATUS
    ):
        raise httptools.HttpParserInvalidStatusError(f"status {status:03}")


def _feed(parser: httptools.HttpResponseParser, data: bytes) -> None:
    """Parses bytes; names a status that can't be used as the cause.

    Raises:
        httptools.HttpParserError: The bytes are not HTTP, or a reply has a
            status that can't be used.
    """
    try:
        parser.feed_data(data)
    except httptools.HttpParserCallbackError as error:
        raise error.__context__ or error from None


class ReplyParser:
    """Parses the replies received on one connection."""

    def __init__(self) -> None:
        self._parser = httptools.HttpResponseParser(self)
        self._headers: dict[str, str] = {}
        # One buffer: small chunks would take many times their size as objects.
        self._body = bytearray()
        self._body_bytes = 0
        self._has_headers = False
        self._size = _ReplySize()
        # Whether the last reply was an interim one; the next counts with it.
        self._is_interim = False
        self._finished: list[HttpReply] = []

    def feed(self, data: bytes) -> list[HttpReply]:
        """Parses bytes received on the connection.

        Returns:
            The replies that these bytes complete, usually none or one.

        Raises:
            ReplyTooLargeError: The reply exceeds the limit.
            httptools.HttpParserError: The bytes are not HTTP, or the status is
                not one of 200 to 599 nor of an interim reply.
        """
        _feed(self._parser, data)
        self._size.add(
            len(data), self._body_bytes, is_in_head=not self._has_headers
        )
        finished = self._finished
        self._finished = []
        return finished

    def on_message_begin(self) -> None:
        """Starts a reply."""
        self._headers = {}
        self._body = bytearray()
        self._body_bytes = 0
        self._has_headers = False
        if not self._is_interim:
            self._size = _ReplySize()

    def on_header(self, name: bytes, value: bytes) -> None:
        """Records a header."""
        self._headers[_lower_name(name)] = value.decode("latin-1")

    def on_headers_complete(self) -> None:
        """Records that the head is complete.

        Raises:
            httptools.HttpParserInvalidStatusError: The status can't be used.
        """
        status = self._parser.get_status_code()
        _check_status(status)
        self._is_interim = status < MIN_STATUS
        self._has_headers = not self._is_interim

    def on_body(self, body: bytes) -> None:
        """Records a chunk of the body."""
        self._body += body
        self._body_bytes += len(body)

    def on_message_complete(self) -> None:
        """Finishes a reply, unless it is an interim reply."""
        if self._is_interim:
            return
        self._finished.append(
            HttpReply(
                status=self._parser.get_status_code(),
                headers=self._headers,
                body=bytes(self._body),
                keeps_alive=self._parser.should_keep_alive(),
            )
        )
        self._body = bytearray()


class SingleReplyParser:
    """Parses the reply to one request.

    Attributes:
        reply: The reply, once it is complete.
        has_extra_bytes: Whether bytes followed the reply. They belong to no
            request, so the connection can't be reused.
    """

    def __init__(self, *, expects_body: bool = True) -> None:
        """Creates a parser.

        Args:
            expects_body: Whether the reply may have a body. A reply to HEAD has
                none, even if its headers state a length.
        """
        self._parser = httptools.HttpResponseParser(self)
        self._expects_body = expects_body
        self._headers: dict[str, str] = {}
        # One buffer: small chunks would take many times their size as objects.
        self._body = bytearray()
        self._body_bytes = 0
        self._has_headers = False
        self._size = _ReplySize()
        self.reply: HttpReply | None = None
        self.has_extra_bytes = False

    def feed(self, data: bytes) -> HttpReply | None:
        """Parses bytes received on the connection.

        Returns:
            The reply, once it is complete.

        Raises:
            ReplyTooLargeError: The reply exceeds the limit.
            httptools.HttpParserError: The bytes are not HTTP, or the status is
                not one of 200 to 599 nor of an interim reply.
        """
        try:
            _feed(self._parser, data)
        except httptools.HttpParserError:
            if self.reply is None:
                raise
            self.has_extra_bytes = True
        if self.reply is None:
            self._size.add(
                len(data), self._body_bytes, is_in_head=not self._has_headers
            )
        return self.reply

    @property
    def held_bytes(self) -> int:
        """What the incomplete reply takes in memory."""
        # A growing buffer is up to an eighth larger than its content.
        return (
            2 * self._size.head_bytes
            + HEADER_LINE_BYTES * len(self._headers)
            + len(self._body) * 9 // 8
        )

    def discard(self) -> None:
        """Frees the bytes of a reply that was used or is given up.

        The parser of the library refers back to this object, so that only the
        cycle collector would free them.
        """
        self._body = bytearray()
        self._headers = {}
        self.reply = None

    def end(self) -> HttpReply | None:
        """Handles the orderly end of the connection.

        Returns:
            The reply if it is complete. The end of the connection completes a
            reply without Content-Length and Transfer-Encoding.
        """
        has_length = (
            "content-length" in self._headers
            or "transfer-encoding" in self._headers
        )
        if self.reply is None and self._has_headers and not has_length:
            self._finish(keeps_alive=False)
        return self.reply

    def on_message_begin(self) -> None:
        """Starts a reply."""
        if self.reply is not None:
            self.has_extra_bytes = True
            return
        self._headers = {}
        self._body = bytearray()
        self._has_headers = False

    def on_header(self, name: bytes, value: bytes) -> None:
        """Records a header."""
        if self.reply is None:
            self._headers[_lower_name(name)] = value.decode("latin-1")

    def on_headers_complete(self) -> None:
        """Records the headers as complete, unless the reply is interim.

        Raises:
            httptools.HttpParserInvalidStatusError: The status can't be used.
        """
        if self.reply is None:
            status = self._parser.get_status_code()
            _check_status(status)
            self._has_headers = status >= MIN_STATUS
            if self._has_headers and not self._expects_body:
                self._finish(keeps_alive=self._parser.should_keep_alive())

    def on_body(self, body: bytes) -> None:
        """Records a chunk of the body."""
        if self.reply is None:
            self._body += body
            self._body_bytes += len(body)
        elif not self._expects_body:
            self.has_extra_bytes = True

    def on_message_complete(self) -> None:
        """Finishes the reply, unless it is an interim reply."""
        if self.reply is None and self._has_headers:
            self._finish(keeps_alive=self._parser.should_keep_alive())

    def _finish(self, *, keeps_alive: bool) -> None:
        self.reply = HttpReply(
            status=self._parser.get_status_code(),
            headers=self._headers,
            body=bytes(self._body),
            keeps_alive=keeps_alive,
        )
        self._body = bytearray()
