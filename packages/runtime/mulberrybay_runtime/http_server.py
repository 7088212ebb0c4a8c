"""HTTP servers on circuits.web for callers and operators.

The application may respond asynchronously. A connection carries one request at
a time. If a client sends another request before the response, its connection
is closed after that response, so that no response can be matched with the
wrong request.
"""

import http
import json
import traceback
from collections.abc import Callable, Mapping
from typing import Any, Final, NamedTuple, Protocol

from circuits import BaseComponent, Event, handler
from circuits.net.events import close, write
from circuits.net.sockets import TCPServer
from circuits.web.errors import httperror
from circuits.web.events import request as request_event
from circuits.web.events import response as response_event
from circuits.web.http import HTTP
from circuits.web.wrappers import Request, Response

from mulberrybay_core.addresses import Address
from mulberrybay_runtime.logs import StructuredLog

MAX_BODY_BYTES: Final = 1024 * 1024
MAX_HEADER_BYTES: Final = 16 * 1024
MAX_DISCARDED_BYTES: Final = 64 * 1024 * 1024
JSON_TYPE: Final = "application/json"


class HttpRequest(NamedTuple):
    """A complete request."""

    method: str
    path: str
    query: str
    headers: Mapping[str, str]
    body: bytes


class HttpResponse(NamedTuple):
    """A response of the application."""

    status: int
    body: bytes
    headers: tuple[tuple[str, str], ...] = ()
    content_type: str = JSON_TYPE


Respond = Callable[[HttpResponse], None]
# Stops the processing of a request whose client has disconnected.
CancelRequest = Callable[[], None]


class HttpApplication(Protocol):
    """Processes requests."""

    def on_request(
        self, request: HttpRequest, respond: Respond
    ) -> CancelRequest | None:
        """Processes a request and calls `respond` once, now or later.

        Returns:
            The function to call if the client disconnects before the
            response; None if processing continues without it.
        """

    def should_close(self) -> bool:
        """Returns whether clients should connect elsewhere from now on.

        If so, connections are closed after their responses.
        """


class _ImmediateTcpServer(TCPServer):
    """A TCP server that writes to the socket without waiting for the poller.

    Writes to closed connections are dropped. The base class waits until the
    poller reports that the socket is writable, which it nearly always is. That
    costs an iteration of the event loop and two events for each response.
    """

    @handler("write", override=True)
    def write(self, sock: Any, data: bytes) -> None:  # noqa: ANN401
        if sock.fileno() < 0:
            return
        if self._buffers.get(sock):
            self._buffers[sock].append(data)
            return
        self._write(sock, data)
        # The base class buffers the bytes that the socket did not accept.
        if self._buffers.get(sock):
            self._poller.addWriter(self, sock)


class _LimitedHttp(HTTP):
    """The circuits.web protocol with size limits for requests.

    A request that is refused here gets a JSON error, and its connection is
    closed. Without `override`, circuits also calls the handlers of the base
    class, in any order, and would parse each read twice.
    """

    def __init__(self, server: "HttpServer", channel: str) -> None:
        super().__init__(server, channel=channel)
        self._received_bytes: dict[Any, int] = {}
        self._refused_connections: set[Any] = set()

    # Without override, circuits would also run the handler of the base class
    # and process every request twice.
    @handler("read", override=True)
    def _on_read(self, sock: Any, data: bytes) -> None:  # noqa: ANN401
        if sock in self._clients and sock not in self._buffers:
            # The response to the previous request has not been sent yet.
            self._clients[sock][1].close = True
            return
        received_bytes = self._received_bytes.get(sock, 0) + len(data)
        self._received_bytes[sock] = received_bytes
        if sock in self._refused_connections:
            if received_bytes > MAX_DISCARDED_BYTES:
                self.fire(close(sock))
            return
        if received_bytes > MAX_BODY_BYTES + MAX_HEADER_BYTES:
            self._refuse_too_large(sock)
            return
        try:
            super()._on_read(sock, data)
            if sock in self._buffers and self._exceeds_body_limit(sock):
                self._refuse_too_large(sock)
        except (ValueError, LookupError, TypeError, AttributeError) as error:
            # The parser of circuits.web raises these on malformed input.
            self.refuse(sock, 400, "invalid", f"malformed HTTP: {error!r}")
        if sock not in self._buffers and sock not in self._refused_connections:
            self._received_bytes.pop(sock, None)

    def _exceeds_body_limit(self, sock: Any) -> bool:  # noqa: ANN401
        """Returns whether Content-Length exceeds MAX_BODY_BYTES."""
        if sock not in self._clients:
            return False
        request = self._clients[sock][0]
        return int(request.headers.get("Content-Length", 0)) > MAX_BODY_BYTES

    def _refuse_too_large(self, sock: Any) -> None:  # noqa: ANN401
        # Closing a connection with unread data resets it, and the client would
        # not receive the response. So the connection stays open, and data that
        # the client still sends is discarded.
        self._refused_connections.add(sock)
        detail = f"the request is larger than {MAX_BODY_BYTES} bytes"
        self.refuse(sock, 413, "too_large", detail)

    @handler("response", override=True)
    def _on_response(self, response: Response) -> None:
        """Sends the headers and the body of a response in one write."""
        response.prepare()
        head = bytes(response) + bytes(response.headers)
        data = head + b"".join(response.body)
        self.fire(write(response.request.sock, data))
        if response.close:
            self.fire(close(response.request.sock))
        self._clients.pop(response.request.sock, None)
        response.done = True

    @handler("httperror", override=True)
    def _on_httperror(
        self,
        event: httperror,
        request: Request,
        response: Response,
        code: int | None,
        **_: object,
    ) -> None:
        del response, code
        detail = f"status {event.code}: {event.description or 'malformed HTTP'}"
        kind = "internal" if event.code == 500 else "invalid"
        self.refuse(request.sock, event.code, kind, detail)

    def refuse(
        self,
        sock: Any,  # noqa: ANN401
        status: int,
        kind: str,
        detail: str,
    ) -> None:
        """Sends an error for a request and closes the connection.

        The connection of a request that is too large is not closed here; see
        `_refuse_too_large`.
        """
        error = {
            "kind": kind,
            "step": "parse",
            "peer": "caller",
            "detail": detail,
            # A server error may occur after the application began to process
            # the request.
            "run_state": "unknown" if status == 500 else "not_run",
            "retry_after_s": None,
        }
        self._buffers.pop(sock, None)
        self._clients.pop(sock, None)
        self.fire(write(sock, encode_raw_response(status, {"error": error})))
        if sock not in self._refused_connections:
            self.fire(close(sock))

    @handler("disconnect", override=True)
    def _on_disconnect(self, sock: Any) -> None:  # noqa: ANN401
        self._refused_connections.discard(sock)
        self._buffers.pop(sock, None)
        self._received_bytes.pop(sock, None)
        super()._on_disconnect(sock)


def _may_have_run(status: int) -> bool:
    """Returns whether the request may have run despite this status."""
    is_version_refused = status == http.HTTPStatus.HTTP_VERSION_NOT_SUPPORTED
    return status >= 500 and not is_version_refused


def encode_raw_response(status: int, document: object) -> bytes:
    """Returns the bytes of a JSON response with `Connection: close`."""
    body = json.dumps(document).encode()
    reason = http.HTTPStatus(status).phrase
    head = (
        f"HTTP/1.1 {status} {reason}\r\nConnection: close\r\n"
        f"Content-Type: {JSON_TYPE}\r\nContent-Length: {len(body)}\r\n\r\n"
    )
    return head.encode() + body


class HttpServer(BaseComponent):
    """Serves one application on one port."""

    def __init__(
        self, address: Address, application: HttpApplication, channel: str
    ) -> None:
        """Binds the port.

        Args:
            address: The address to listen on.
            application: Processes the requests.
            channel: The circuits channel, unique in the process.

        Raises:
            OSError: The address is in use or is not an address of this VM.
        """
        super().__init__(channel=channel)
        self._application = application
        self._pending_count = 0
        self._cancel_callbacks: dict[Any, CancelRequest] = {}
        self.secure = False
        self.host = address.host
        self.port = address.port
        self._tcp_server = _ImmediateTcpServer(tuple(address), channel=channel)
        self._tcp_server.register(self)
        self._http = _LimitedHttp(self, channel=channel).register(self)
        self._log = StructuredLog(f"http-{channel}")
        self.fault_count = 0

    @property
    def pending_count(self) -> int:
        """The number of requests without a response."""
        return self._pending_count

    @handler("request")
    def _on_request(
        self, event: request_event, request: Request, response: Response
    ) -> None:
        _suppress_feedback_events(event)
        if request.method == "HEAD":
            # circuits.web does not complete the exchange after HEAD.
            self._http.refuse(
                request.sock, 405, "invalid", "HEAD is not supported"
            )
            return
        self._pending_count += 1
        has_responded = False

        def respond(http_response: HttpResponse) -> None:
            nonlocal has_responded
            if not has_responded:
                has_responded = True
                self._pending_count -= 1
                self._cancel_callbacks.pop(request.sock, None)
                self._send(request, response, http_response)

        parsed, is_pipelined = _read_request(request)
        if is_pipelined:
            response.close = True
        try:
            cancel = self._application.on_request(parsed, respond)
            if cancel is not None and not has_responded:
                self._cancel_callbacks[request.sock] = cancel
        except Exception as error:
            self.fault_count += 1
            self._log.error(
                "request handler failed",
                path=request.path,
                error=repr(error),
                trace=traceback.format_exc(),
            )
            respond(_internal_error_response())

    @handler("disconnect")
    def _on_disconnect(self, sock: Any) -> None:  # noqa: ANN401
        cancel = self._cancel_callbacks.pop(sock, None)
        if cancel is not None:
            cancel()

    def _send(
        self, request: Request, response: Response, http_response: HttpResponse
    ) -> None:
        if request.sock.fileno() < 0:
            return
        response.status = http_response.status
        response.headers["Content-Type"] = http_response.content_type
        for name, value in http_response.headers:
            response.headers[name] = value
        if self._application.should_close():
            response.close = True
        response.body = http_response.body
        event = response_event(response)
        _suppress_feedback_events(event)
        self.fire(event, self.channel)


def _suppress_feedback_events(event: Event) -> None:
    """Prevents success and completion events for a circuits.web event.

    When a request event succeeds, circuits.web sends the return value of its
    handler as the response; here the response is sent later. Failures are still
    reported.
    """
    event.success = False
    event.complete = False


def _read_request(request: Request) -> tuple[HttpRequest, bool]:
    """Returns the request, and whether bytes of another request followed it.

    circuits.web appends those bytes to the body, so they are cut off here.
    """
    received = request.body.read() if request.body else b""
    body = received
    if request.headers.get("Transfer-Encoding", "").lower() != "chunked":
        body = received[: int(request.headers.get("Content-Length", "0"))]
    parsed = HttpRequest(
        method=request.method,
        path=request.path,
        query=request.qs or "",
        headers=request.headers,
        body=body,
    )
    return parsed, len(body) < len(received)


def _internal_error_response() -> HttpResponse:
    # The request may have been partly processed before the exception.
    error = {
        "kind": "internal",
        "step": "dispatch",
        "peer": "",
        "detail": "internal error",
        "run_state": "unknown",
        "retry_after_s": None,
    }
    return HttpResponse(500, json.dumps({"error": error}).encode())
