"""HTTP servers on circuits.web for callers and operators.

The application answers when it is ready, perhaps much later. One connection
carries one request at a time; a client that sends the next before the answer
has its connection closed after that answer, so answers can't be crossed.
"""

from collections.abc import Callable, Mapping
from typing import Any, Final, NamedTuple, Protocol

from circuits import BaseComponent, handler
from circuits.net.events import close, write
from circuits.net.sockets import TCPServer
from circuits.web.events import response as response_event
from circuits.web.http import HTTP
from circuits.web.wrappers import Request, Response

from mulberrybay_core.addresses import Address

MAX_BODY_BYTES: Final = 1024 * 1024
MAX_HEADER_BYTES: Final = 16 * 1024
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


class HttpApplication(Protocol):
    """Answers requests."""

    def on_request(self, request: HttpRequest, respond: Respond) -> None:
        """Answers a request by calling `respond` once, now or later."""

    def should_close(self) -> bool:
        """Returns whether clients should connect elsewhere from now on."""


class _Listener(TCPServer):
    """A TCP server that drops writes to connections that have ended."""

    @handler("write")
    def write(self, sock: Any, data: bytes) -> None:  # noqa: ANN401
        if sock.fileno() >= 0:
            super().write(sock, data)


class _BoundedHttp(HTTP):
    """The protocol of circuits.web with bounds on what a client may send.

    Without `override` circuits calls the base class's handlers too, in any
    order, and each read would be parsed twice.
    """

    def __init__(self, server: "HttpServer", channel: str) -> None:
        super().__init__(server, channel=channel)
        self._received_bytes: dict[Any, int] = {}

    @handler("read", override=True)
    def _on_read(self, sock: Any, data: bytes) -> None:  # noqa: ANN401
        if sock in self._clients and sock not in self._buffers:
            # The answer to the earlier request is still due.
            self._clients[sock][1].close = True
            return
        received_bytes = self._received_bytes.get(sock, 0) + len(data)
        self._received_bytes[sock] = received_bytes
        if received_bytes > MAX_BODY_BYTES + MAX_HEADER_BYTES:
            self._refuse_large(sock)
            return
        super()._on_read(sock, data)
        if sock not in self._buffers:
            self._received_bytes.pop(sock, None)

    def _refuse_large(self, sock: Any) -> None:  # noqa: ANN401
        body = (
            b'{"error": {"kind": "too_large", "step": "parse", "peer": '
            b'"caller", "detail": "the body is larger than %d bytes", '
            b'"run_state": "not_run"}}' % MAX_BODY_BYTES
        )
        head = (
            "HTTP/1.1 413 Content Too Large\r\nConnection: close\r\n"
            f"Content-Type: {JSON_TYPE}\r\nContent-Length: {len(body)}\r\n\r\n"
        )
        self._buffers.pop(sock, None)
        self._clients.pop(sock, None)
        self.fire(write(sock, head.encode() + body))
        self.fire(close(sock))

    @handler("disconnect", override=True)
    def _on_disconnect(self, sock: Any) -> None:  # noqa: ANN401
        self._buffers.pop(sock, None)
        self._received_bytes.pop(sock, None)
        super()._on_disconnect(sock)


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
        self.secure = False
        self.host = address.host
        self.port = address.port
        self._listener = _Listener(tuple(address), channel=channel)
        self._listener.register(self)
        _BoundedHttp(self, channel=channel).register(self)

    @property
    def pending_count(self) -> int:
        """Requests that have not been answered."""
        return self._pending_count

    @handler("request")
    def _on_request(self, request: Request, response: Response) -> bool:
        self._pending_count += 1
        is_answered = False

        def respond(answer: HttpResponse) -> None:
            nonlocal is_answered
            if not is_answered:
                is_answered = True
                self._pending_count -= 1
                self._send(request, response, answer)

        self._application.on_request(_read_request(request), respond)
        # True tells circuits.web that the answer comes later.
        return True

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
        self.fire(response_event(response), self.channel)


def _read_request(request: Request) -> HttpRequest:
    return HttpRequest(
        method=request.method,
        path=request.path,
        query=request.qs or "",
        headers=request.headers,
        body=request.body.read() if request.body else b"",
    )
