"""HTTP servers for callers and operators of nodes with holders.

The connections are those of `CallerServer`, so that every bound and decision
on callers is the same for all nodes. An application gets one request of a
connection at a time and may respond later.
"""

import json
import traceback
from collections.abc import Callable, Iterator, Mapping
from types import TracebackType
from typing import Final, NamedTuple, Protocol, Self

from mulberrybay_core.addresses import Address
from mulberrybay_core.caller_messages import (
    AnswerHandler,
    CallerAnswer,
    CallerRequest,
    HeaderNames,
)
from mulberrybay_core.routing import CallerLimits
from mulberrybay_runtime.callers.resources import CallerResources
from mulberrybay_runtime.callers.server import CallerServer
from mulberrybay_runtime.callers.turns import TurnLoop
from mulberrybay_runtime.logs import StructuredLog
from mulberrybay_runtime.streams import Streams
from mulberrybay_runtime.timers import Timers

MAX_BODY_BYTES: Final = 1024 * 1024
MAX_HEADER_BYTES: Final = 16 * 1024
LIMITS: Final = CallerLimits(
    max_header_bytes=MAX_HEADER_BYTES,
    max_body_bytes=MAX_BODY_BYTES,
    header_timeout_s=10.0,
    idle_timeout_s=60.0,
)
JSON_TYPE: Final = "application/json"
# Applications read these headers by themselves.
_NO_NAMES: Final = HeaderNames(*[""] * len(HeaderNames._fields))
# The kinds of errors that clients get, by status.
_KINDS: Final = {
    408: "deadline",
    413: "too_large",
    431: "too_large",
    500: "internal",
    503: "overloaded",
}
_DETAILS: Final = {
    413: f"the body is larger than {MAX_BODY_BYTES} bytes",
    431: f"the head is larger than {MAX_HEADER_BYTES} bytes",
}


class _Headers(Mapping[str, str]):
    """Header values by name, whose case doesn't matter."""

    def __init__(self, pairs: tuple[tuple[str, str], ...]) -> None:
        self._values = {name.lower(): value for name, value in pairs}

    def __getitem__(self, name: str) -> str:
        return self._values[name.lower()]

    def __iter__(self) -> Iterator[str]:
        return iter(self._values)

    def __len__(self) -> int:
        return len(self._values)


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


class ListenerParts(NamedTuple):
    """What the listeners of a node share."""

    streams: Streams
    timers: Timers
    resources: CallerResources
    turns: TurnLoop


def _encode_error(answer: CallerAnswer) -> CallerAnswer:
    """Returns an error of the node as JSON."""
    retry_after = dict(answer.headers).get("Retry-After")
    text = answer.body.decode("ascii").strip()
    error = {
        "kind": _KINDS.get(answer.status, "invalid"),
        "step": "parse",
        "peer": "caller",
        "detail": _DETAILS.get(answer.status, text),
        "run_state": "not_run",
        "retry_after_s": float(retry_after) if retry_after else None,
    }
    return CallerAnswer(
        answer.status,
        (("Content-Type", JSON_TYPE), *answer.headers),
        json.dumps({"error": error}).encode(),
    )


_INTERNAL_ERROR: Final = HttpResponse(
    500,
    json.dumps(
        {
            "error": {
                "kind": "internal",
                "step": "dispatch",
                "peer": "",
                "detail": "internal error",
                # It may have been partly processed before the exception.
                "run_state": "unknown",
                "retry_after_s": None,
            }
        }
    ).encode(),
)


class HttpServer:
    """Serves one application on one port; a context manager."""

    def __init__(
        self,
        application: HttpApplication,
        name: str,
        parts: ListenerParts,
        max_connection_count: int | None = None,
    ) -> None:
        """Creates the server; `listen` opens the port.

        Args:
            application: Processes the requests.
            name: The name in logs.
            parts: What the listeners of the node share.
            max_connection_count: The connections that are accepted at a time;
                None for the limit of the listener for callers.
        """
        self._application = application
        self._server = CallerServer(
            _NO_NAMES,
            self,
            parts.streams,
            parts.timers,
            parts.resources,
            max_connection_count,
            parts.turns,
        )
        self._server.limits = LIMITS
        self._server.encode_error = _encode_error
        self._log = StructuredLog(f"http-{name}")
        self._pending_count = 0
        self.fault_count = 0

    def __enter__(self) -> Self:
        return self

    def __exit__(
        self,
        exception_type: type[BaseException] | None,
        exception: BaseException | None,
        trace: TracebackType | None,
    ) -> None:
        self._server.__exit__()

    def listen(self, address: Address) -> None:
        """Starts to listen.

        Raises:
            OSError: The address is in use or is not an address of this VM.
        """
        self._server.listen(address)

    @property
    def pending_count(self) -> int:
        """The number of requests without a response."""
        return self._pending_count

    @property
    def connection_count(self) -> int:
        """The number of open connections."""
        return self._server.connection_count

    def submit(
        self, request: CallerRequest, reply: AnswerHandler
    ) -> CancelRequest | None:
        """Passes a request to the application; see `CallerService`."""
        if request.method == "HEAD":
            reply(_encode_error(_HEAD_NOT_SUPPORTED))
            return None
        self._pending_count += 1
        has_ended = False

        def end() -> bool:
            """Returns whether the request had not ended before."""
            nonlocal has_ended
            was_pending = not has_ended
            has_ended = True
            self._pending_count -= was_pending
            return was_pending

        def respond(response: HttpResponse) -> None:
            if end():
                self._server.is_stopping = self._application.should_close()
                reply(_encode_response(response))

        parsed = HttpRequest(
            request.method,
            request.path,
            request.target.partition("?")[2],
            _Headers(request.headers),
            request.body,
        )
        try:
            cancel = self._application.on_request(parsed, respond)
        except Exception as error:
            self.fault_count += 1
            self._log.error(
                "request handler failed",
                path=request.path,
                error=repr(error),
                trace=traceback.format_exc(),
            )
            respond(_INTERNAL_ERROR)
            return None
        if cancel is None or has_ended:
            return None
        cancel_application = cancel

        def cancel_request() -> None:
            end()
            cancel_application()

        return cancel_request


_HEAD_NOT_SUPPORTED: Final = CallerAnswer(
    405, (("Allow", "GET, POST, PUT"),), b"HEAD is not supported\n"
)


def _encode_response(response: HttpResponse) -> CallerAnswer:
    """Returns a response for callers; an error if it can't be encoded."""
    headers = (("Content-Type", response.content_type), *response.headers)
    try:
        for name, value in headers:
            f"{name}: {value}".encode("latin-1")
    except UnicodeEncodeError:
        return _encode_response(_INTERNAL_ERROR)
    return CallerAnswer(response.status, headers, response.body)
