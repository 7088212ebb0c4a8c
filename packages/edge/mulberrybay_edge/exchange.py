"""One exchange with a backend server: a request and what came of it."""

import enum
from collections.abc import Callable
from typing import NamedTuple, Protocol

from mulberrybay_runtime.clock import read_clock_s
from mulberrybay_runtime.http_exchange import HttpReply


class ExchangeConnection(Protocol):
    """The connection that carries an exchange."""

    def abandon(self) -> None:
        """Gives the exchange up."""


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
        outcome: NOT_CONNECTED and NOT_SENT: the server got no byte of it.
        reply: The whole reply, if there is one.
        detail: What happened, for people.
    """

    outcome: ExchangeOutcome
    reply: HttpReply | None = None
    detail: str = ""


ResultHandler = Callable[[ExchangeResult], None]
# Returns the bytes to send now, or None if nothing may be sent any more.
RequestEncoder = Callable[[float], bytes | None]
# Whether a whole reply belongs to the request; if not, the connection is out
# of step and is closed.
ReplyCheck = Callable[[HttpReply], bool]


class Exchange:
    """One request to one server, until its reply."""

    __slots__ = (
        "_on_result",
        "check",
        "connection",
        "encode",
        "expects_body",
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
    ) -> None:
        self.encode = encode
        self.expects_body = expects_body
        self.check = check
        self._on_result: ResultHandler | None = on_result
        self.connection: ExchangeConnection | None = None
        self.started_at_s = read_clock_s()
        self.sent_at_s: float | None = None

    def finish(self, result: ExchangeResult) -> None:
        """Gives the result, once."""
        on_result = self._on_result
        self._on_result = None
        if on_result is not None:
            on_result(result)

    def cancel(self) -> None:
        """Gives the request up; there will be no result."""
        self._on_result = None
        connection = self.connection
        self.connection = None
        if connection is not None:
            connection.abandon()
