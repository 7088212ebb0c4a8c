"""A small HTTP/1.1 keep-alive server for the stand-ins."""

from __future__ import annotations

import asyncio
import enum
import functools
import json
from collections import deque
from typing import NamedTuple, Protocol
from urllib.parse import parse_qsl, unquote

import httptools

_JSON_ENCODER = json.JSONEncoder(separators=(",", ":"))

_REASONS = {
    200: "OK",
    201: "Created",
    204: "No Content",
    400: "Bad Request",
    404: "Not Found",
    405: "Method Not Allowed",
    408: "Request Timeout",
    409: "Conflict",
    412: "Precondition Failed",
    413: "Payload Too Large",
    428: "Precondition Required",
    429: "Too Many Requests",
    499: "Client Closed Request",
    500: "Internal Server Error",
    503: "Service Unavailable",
}

LATE_COPY_S = 0.03


class Delivery(enum.Enum):
    """How a response is sent on its connection."""

    WHOLE = "whole"
    TWICE = "twice"
    # The second copy comes while the next request on the connection waits.
    TWICE_LATE = "twice_late"
    CUT_SHORT = "cut_short"
    CLOSED = "closed"
    # Without Content-Length: the body ends when the connection is closed.
    UNFRAMED = "unframed"
    # The response is not sent; the connection stays open.
    LOST = "lost"


class Request(NamedTuple):
    """A parsed request; header names are in lower case."""

    method: str
    path: str
    query: dict[str, str]
    headers: dict[str, str]
    body: bytes
    connection: Connection


class Response(NamedTuple):
    """A response; Content-Length is added when it is sent."""

    status: int
    body: bytes = b""
    headers: tuple[tuple[str, str], ...] = ()
    delivery: Delivery = Delivery.WHOLE


CLOSE_WITHOUT_RESPONSE = Response(0, delivery=Delivery.CLOSED)


def json_response(
    status: int, document: object, *headers: tuple[str, str]
) -> Response:
    """Returns a response whose body is the document as JSON."""
    body = _JSON_ENCODER.encode(document).encode()
    return Response(status, body, headers)


class Handler(Protocol):
    """Answers requests and is notified of connections."""

    async def handle(self, request: Request) -> Response:
        """Returns the response to one request."""

    def connection_opened(self, connection: Connection) -> bool:
        """Returns whether the new connection is accepted."""

    def connection_closed(self, connection: Connection) -> None:
        """Handles the end of an accepted connection."""


class Connection(asyncio.Protocol):
    """A connection whose requests are handled one after another.

    While it is `silent`, received bytes are ignored and nothing is sent.
    """

    def __init__(self, handler: Handler) -> None:
        self.silent = False
        self.response_count = 0
        self._handler = handler
        self._transport: asyncio.Transport | None = None
        self._is_accepted = False
        self._parser = httptools.HttpRequestParser(self)
        self._queued_requests: deque[Request] = deque()
        self._task: asyncio.Task[None] | None = None
        self._url = b""
        self._headers: dict[str, str] = {}
        self._body: list[bytes] = []

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Asks the handler whether to accept the connection."""
        assert isinstance(transport, asyncio.Transport)
        self._transport = transport
        self._is_accepted = self._handler.connection_opened(self)
        if not self._is_accepted:
            transport.abort()

    def connection_lost(self, exc: Exception | None) -> None:
        """Cancels the request in progress."""
        del exc
        self._transport = None
        self._queued_requests.clear()
        if self._task is not None:
            self._task.cancel()
        if self._is_accepted:
            self._handler.connection_closed(self)

    def data_received(self, data: bytes) -> None:
        """Parses received bytes unless the connection is silent."""
        if self.silent or not self._is_accepted:
            return
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserError:
            self.close()

    def on_message_begin(self) -> None:
        """Starts a new request; called by the parser."""
        self._url = b""
        self._headers = {}
        self._body = []

    def on_url(self, url: bytes) -> None:
        """Appends to the URL; called by the parser."""
        self._url += url

    def on_header(self, name: bytes, value: bytes) -> None:
        """Stores one header; called by the parser."""
        self._headers[_header_name(name)] = value.decode("latin-1")

    def on_body(self, body: bytes) -> None:
        """Stores a piece of the body; called by the parser."""
        self._body.append(body)

    def on_message_complete(self) -> None:
        """Queues the complete request; called by the parser."""
        path, _, query = self._url.decode("latin-1").partition("?")
        request = Request(
            self._parser.get_method().decode(),
            unquote(path) if "%" in path else path,
            dict(parse_qsl(query)) if query else {},
            self._headers,
            b"".join(self._body),
            self,
        )
        self._queued_requests.append(request)
        if self._task is None:
            self._task = asyncio.create_task(self._handle_queued_requests())

    def close(self) -> None:
        """Closes the connection without sending what is buffered."""
        if self._transport is not None:
            self._transport.abort()

    async def _handle_queued_requests(self) -> None:
        try:
            while self._queued_requests:
                request = self._queued_requests.popleft()
                try:
                    response = await self._handler.handle(request)
                except ValueError as error:
                    response = json_response(400, {"error": str(error)})
                except Exception as error:
                    response = json_response(500, {"error": repr(error)})
                self._send(response, has_body=request.method != "HEAD")
        finally:
            self._task = None

    def _send(self, response: Response, *, has_body: bool) -> None:
        self.response_count += 1
        if self._transport is None or self.silent:
            return
        if response.delivery is Delivery.CLOSED:
            self._transport.abort()
            return
        if response.delivery is Delivery.LOST:
            self.silent = True
            return
        encoded = _encode(response)
        if not has_body:
            encoded = encoded[: len(encoded) - len(response.body)]
        if response.delivery is Delivery.UNFRAMED:
            self._transport.write(encoded)
            self._transport.close()
            return
        if response.delivery is Delivery.CUT_SHORT:
            sent_length = len(encoded) - max(1, len(response.body) // 2)
            self._transport.write(encoded[:sent_length])
            self._transport.close()
            return
        if response.delivery is Delivery.TWICE:
            encoded += encoded
        if response.delivery is Delivery.TWICE_LATE:
            loop = asyncio.get_running_loop()
            loop.call_later(LATE_COPY_S, self._write_if_open, encoded)
        self._transport.write(encoded)

    def _write_if_open(self, data: bytes) -> None:
        if self._transport is not None:
            self._transport.write(data)


@functools.lru_cache(maxsize=256)
def _header_name(name: bytes) -> str:
    return name.decode("latin-1").lower()


def _encode(response: Response) -> bytes:
    reason = _REASONS.get(response.status, "Unknown")
    lines = [f"HTTP/1.1 {response.status} {reason}"]
    lines += [f"{name}: {value}" for name, value in response.headers]
    if response.status != 204:
        lines.append("Content-Type: application/json")
        if response.delivery is not Delivery.UNFRAMED:
            lines.append(f"Content-Length: {len(response.body)}")
    return "\r\n".join([*lines, "", ""]).encode("latin-1") + response.body


class HttpServer:
    """Listens on one loopback address."""

    def __init__(self, host: str, port: int, handler: Handler) -> None:
        if not host.startswith("127."):
            raise ValueError(
                f"stand-ins may listen only on loopback, not on {host}"
            )
        self._host = host
        self._port = port
        self._handler = handler
        self._server: asyncio.Server | None = None

    async def __aenter__(self) -> HttpServer:
        """Starts to listen."""
        await self.listen()
        return self

    async def __aexit__(self, *_: object) -> None:
        """Stops listening."""
        self.stop_listening()

    async def listen(self) -> None:
        """Starts to listen, unless the server already listens."""
        if self._server is not None:
            return
        loop = asyncio.get_running_loop()
        self._server = await loop.create_server(
            lambda: Connection(self._handler),
            self._host,
            self._port,
            backlog=1024,
            reuse_address=True,
        )

    @property
    def is_listening(self) -> bool:
        """Whether the server accepts connections."""
        return self._server is not None

    def stop_listening(self) -> None:
        """Closes the listening socket; open connections stay open."""
        if self._server is not None:
            self._server.close()
            self._server = None


class AcceptAllHandler:
    """Base class of handlers that accept every connection."""

    def connection_opened(self, connection: Connection) -> bool:
        """Accepts the connection."""
        del connection
        return True

    def connection_closed(self, connection: Connection) -> None:
        """Ignores the end of the connection."""
        del connection
