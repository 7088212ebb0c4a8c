"""One HTTP exchange with a backend server: a request and its result."""

import enum
from collections.abc import Callable
from typing import NamedTuple, Protocol

from mulberrybay_runtime.clock import read_clock_s
from mulberrybay_runtime.http_exchange import HttpReply


class ExchangeConnection(Protocol):
    """The connection that carries an exchange."""

    def abandon(self) -> None:
        """Stops the exchange and closes an open connection."""


class ExchangeOutcome(enum.Enum):
    """How an exchange with a backend server ended."""

    REPLY = "reply"
    NOT_CONNECTED = "not connected"
    NOT_SENT = "not sent"
    LOST = "lost"
    MALFORMED = "malformed"


class ExchangeResult(NamedTuple):
    """How an exchange ended.

    Attributes:
        outcome: How it ended. With NOT_CONNECTED and NOT_SENT, no byte of
            the request was sent.
        reply: The complete reply, if there is one.
        detail: A description for the log.
    """

    outcome: ExchangeOutcome
    reply: HttpReply | None = None
    detail: str = ""


ResultHandler = Callable[[ExchangeResult], None]
# Called with the current time in seconds. Returns the bytes to send, or None
# if the request must no longer be sent.
RequestEncoder = Callable[[float], bytes | None]
# Returns whether a complete reply belongs to the request. If not, replies on
# the connection no longer match requests, and the connection is closed.
ReplyCheck = Callable[[HttpReply], bool]


class Exchange:
    """A request to one server and the handler of its result."""

    __slots__ = (
        "_on_result",
        "check",
        "connection",
        "encode",
        "expects_body",
        "request_id",
        "sent_at_s",
        "started_at_s",
    )

    def __init__(
        self,
        encode: RequestEncoder,
        check: ReplyCheck,
        on_result: ResultHandler,
        *,
        expects_body: bool = True,
        request_id: str = "",
    ) -> None:
        self.encode = encode
        self.expects_body = expects_body
        self.request_id = request_id
        self.check = check
        self._on_result: ResultHandler | None = on_result
        self.connection: ExchangeConnection | None = None
        self.started_at_s = read_clock_s()
        self.sent_at_s: float | None = None

    def finish(self, result: ExchangeResult) -> None:
        """Passes the result to the handler, at most once."""
        on_result = self._on_result
        self._on_result = None
        if on_result is not None:
            on_result(result)

    def cancel(self) -> None:
        """Cancels the request; the result handler is not called."""
        self._on_result = None
        connection = self.connection
        self.connection = None
        if connection is not None:
            connection.abandon()
