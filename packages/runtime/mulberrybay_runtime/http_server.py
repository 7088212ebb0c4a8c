"""HTTP servers on circuits.web for callers and operators.

The application answers when it is ready, perhaps much later. One connection
carries one request at a time; a client that sends the next before the answer
has its connection closed after that answer, so answers can't be crossed.
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
from mulberrybay_runtime.logs import StateLog

MAX_BODY_BYTES: Final = 1024 * 1024
MAX_HEADER_BYTES: Final = 16 * 1024
MAX_DISCARDED_BYTES: Final = 64 * 1024 * 1024
JSON_TYPE: Final = "application/json"


class HttpRequest(NamedTuple):
    """A whole request."""

    method: str
    path: str
    query: str
    headers: Mapping[str, str]
    body: bytes


class HttpResponse(NamedTuple):
    """What to answer."""

    status: int
    body: bytes
    headers: tuple[tuple[str, str], ...] = ()
    content_type: str = JSON_TYPE


Respond = Callable[[HttpResponse], None]
# Ends the work on a request whose client has gone.
CancelRequest = Callable[[], None]


class HttpApplication(Protocol):
    """Answers requests."""

    def on_request(
        self, request: HttpRequest, respond: Respond
    ) -> CancelRequest | None:
        """Answers a request by calling `respond` once, now or later.

        Returns:
            What to call if the client leaves before the answer; None if the
            work goes on without it.
        """

    def should_close(self) -> bool:
        """Returns whether clients should connect elsewhere from now on."""


class _Listener(TCPServer):
    """A TCP server that hands bytes to the socket as soon as it can.

    Writes to connections that have ended are dropped. The base class would
    wait for the poller to say that the socket takes bytes, which it nearly
    always does: a turn of the loop and two more events for each answer.
    """

    @handler("write", override=True)
    def write(self, sock: Any, data: bytes) -> None:  # noqa: ANN401
        if sock.fileno() < 0:
            return
        if self._buffers.get(sock):
            self._buffers[sock].append(data)
            return
        self._write(sock, data)
        # The base class keeps what the socket has not taken.
        if self._buffers.get(sock):
            self._poller.addWriter(self, sock)


class _BoundedHttp(HTTP):
    """The protocol of circuits.web with bounds on what a client may send.

    Whatever is refused here gets a JSON error and a closed connection. Without
    `override` circuits calls the base class's handlers too, in any order, and
    each read would be parsed twice.
    """

    def __init__(self, server: "HttpServer", channel: str) -> None:
        super().__init__(server, channel=channel)
        self._received_bytes: dict[Any, int] = {}
        self._refused: set[Any] = set()

    # Without override, circuits would run the base class's handler as well
    # and every request would be processed twice.
    @handler("read", override=True)
    def _on_read(self, sock: Any, data: bytes) -> None:  # noqa: ANN401
        if sock in self._clients and sock not in self._buffers:
            # The answer to the earlier request is still due.
            self._clients[sock][1].close = True
            return
        received_bytes = self._received_bytes.get(sock, 0) + len(data)
        self._received_bytes[sock] = received_bytes
        if sock in self._refused:
            if received_bytes > MAX_DISCARDED_BYTES:
                self.fire(close(sock))
            return
        if received_bytes > MAX_BODY_BYTES + MAX_HEADER_BYTES:
            self._refuse_too_large(sock)
            return
        try:
            super()._on_read(sock, data)
            if sock in self._buffers and self._expects_too_much(sock):
                self._refuse_too_large(sock)
        except (ValueError, LookupError, TypeError, AttributeError) as error:
            # The parser of circuits.web raises these on malformed input.
            self.refuse(sock, 400, "invalid", f"not HTTP: {error!r}")
        if sock not in self._buffers and sock not in self._refused:
            self._received_bytes.pop(sock, None)

    def _expects_too_much(self, sock: Any) -> bool:  # noqa: ANN401
        """Whether the headers announce a body over the limit."""
        if sock not in self._clients:
            return False
        request = self._clients[sock][0]
        return int(request.headers.get("Content-Length", 0)) > MAX_BODY_BYTES

    def _refuse_too_large(self, sock: Any) -> None:  # noqa: ANN401
        # A close with unread data would reset the connection, and the client
        # would lose the answer; what it still sends is discarded.
        self._refused.add(sock)
        detail = f"the request is larger than {MAX_BODY_BYTES} bytes"
        self.refuse(sock, 413, "too_large", detail)

    @handler("response", override=True)
    def _on_response(self, response: Response) -> None:
        """Sends the head and the body of an answer in one write."""
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
        detail = f"status {event.code}: {event.description or 'not HTTP'}"
        kind = "internal" if event.code == 500 else "invalid"
        self.refuse(request.sock, event.code, kind, detail)

    def refuse(
        self,
        sock: Any,  # noqa: ANN401
        status: int,
        kind: str,
        detail: str,
    ) -> None:
        """Answers what never reached the application, and closes."""
        error = {
            "kind": kind,
            "step": "parse",
            "peer": "caller",
            "detail": detail,
            # A server error may come after the application began the work.
            "run_state": "unknown" if status == 500 else "not_run",
            "retry_after_s": None,
        }
        self._buffers.pop(sock, None)
        self._clients.pop(sock, None)
        self.fire(write(sock, encode_raw_answer(status, {"error": error})))
        if sock not in self._refused:
            self.fire(close(sock))

    @handler("disconnect", override=True)
    def _on_disconnect(self, sock: Any) -> None:  # noqa: ANN401
        self._refused.discard(sock)
        self._buffers.pop(sock, None)
        self._received_bytes.pop(sock, None)
        super()._on_disconnect(sock)


def _may_have_run(status: int) -> bool:
    """Whether a refusal with this status leaves the effect open."""
    is_version_refused = status == http.HTTPStatus.HTTP_VERSION_NOT_SUPPORTED
    return status >= 500 and not is_version_refused


def encode_raw_answer(status: int, document: object) -> bytes:
    """Returns the bytes of a JSON answer that closes the connection."""
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
            address: Where to listen.
            application: What answers.
            channel: The circuits channel, unique in the process.

        Raises:
            OSError: The address is in use or is not this VM's.
        """
        super().__init__(channel=channel)
        self._application = application
        self._pending_count = 0
        self._cancels: dict[Any, CancelRequest] = {}
        self.secure = False
        self.host = address.host
        self.port = address.port
        self._listener = _Listener(tuple(address), channel=channel)
        self._listener.register(self)
        self._http = _BoundedHttp(self, channel=channel).register(self)
        self._log = StateLog(f"http-{channel}")
        self.fault_count = 0

    @property
    def pending_count(self) -> int:
        """Requests that have not been answered."""
        return self._pending_count

    @handler("request")
    def _on_request(
        self, event: request_event, request: Request, response: Response
    ) -> None:
        _expect_no_feedback(event)
        if request.method == "HEAD":
            # circuits.web would leave the exchange open after it.
            self._http.refuse(request.sock, 405, "invalid", "no HEAD here")
            return
        self._pending_count += 1
        is_answered = False

        def respond(answer: HttpResponse) -> None:
            nonlocal is_answered
            if not is_answered:
                is_answered = True
                self._pending_count -= 1
                self._cancels.pop(request.sock, None)
                self._send(request, response, answer)

        parsed, is_pipelined = _read_request(request)
        if is_pipelined:
            response.close = True
        try:
            cancel = self._application.on_request(parsed, respond)
            if cancel is not None and not is_answered:
                self._cancels[request.sock] = cancel
        except Exception as error:
            self.fault_count += 1
            self._log.error(
                "a request failed",
                path=request.path,
                error=repr(error),
                trace=traceback.format_exc(),
            )
            respond(_internal_error())

    @handler("disconnect")
    def _on_disconnect(self, sock: Any) -> None:  # noqa: ANN401
        cancel = self._cancels.pop(sock, None)
        if cancel is not None:
            cancel()

    def _send(
        self, request: Request, response: Response, answer: HttpResponse
    ) -> None:
        if request.sock.fileno() < 0:
            return
        response.status = answer.status
        response.headers["Content-Type"] = answer.content_type
        for name, value in answer.headers:
            response.headers[name] = value
        if self._application.should_close():
            response.close = True
        response.body = answer.body
        event = response_event(response)
        _expect_no_feedback(event)
        self.fire(event, self.channel)


def _expect_no_feedback(event: Event) -> None:
    """Lets an event of circuits.web end without further events.

    On success of a request, circuits.web would answer with what its handler
    has returned; here answers come later. A failure is told still.
    """
    event.success = False
    event.complete = False


def _read_request(request: Request) -> tuple[HttpRequest, bool]:
    """Returns the request, and whether bytes of another one followed it.

    circuits.web takes those bytes for a part of the body.
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


def _internal_error() -> HttpResponse:
    # Part of the request may have been done before the fault.
    error = {
        "kind": "internal",
        "step": "dispatch",
        "peer": "",
        "detail": "a fault in this program",
        "run_state": "unknown",
        "retry_after_s": None,
    }
    return HttpResponse(500, json.dumps({"error": error}).encode())
