"""Which connection carries a request to a backend server."""

from typing import Any

from mulberrybay_core.addresses import Address
from mulberrybay_edge.exchange import (
    Exchange,
    ExchangeOutcome,
    ExchangeResult,
)
from mulberrybay_edge.server_connections import ServerConnections
from mulberrybay_runtime.timers import Timers

ADDRESS = Address("127.0.0.1", 9000)
REPLY = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"


class _Stream:
    """A stream whose peer may have reset it."""

    def __init__(self, observer: Any) -> None:  # noqa: ANN401
        self._observer = observer
        self.is_open = True
        self.is_reset = False
        self.unsent = b""
        self.sent = b""

    def connect(self) -> None:
        self._observer.on_connected(self)

    def reply(self) -> None:
        self.receive(REPLY)

    def receive(self, data: bytes) -> None:
        self._observer.on_data(self, data)

    def end(self, reason: str) -> None:
        if self.is_open:
            self.is_open = False
            self._observer.on_closed(self, reason)

    def send(self, data: bytes) -> bool:
        if self.is_reset and self.is_open:
            self.is_open = False
            self._observer.on_closed(self, "send failed: reset")
        if not self.is_open:
            return False
        self.sent += data
        return True

    def close(self) -> None:
        self.is_open = False


class _Streams:
    """Keeps the streams that were dialled."""

    def __init__(self) -> None:
        self.dialled: list[_Stream] = []

    def dial(self, address: Address, observer: object) -> _Stream:
        del address
        self.dialled.append(_Stream(observer))
        return self.dialled[-1]


class _Setup:
    """The connections to one server, which keep some idle."""

    def __init__(self, idle_count: int) -> None:
        self.streams: Any = _Streams()
        self.connections = ServerConnections(self.streams, Timers())
        self.results: list[ExchangeResult] = []
        for _ in range(idle_count):
            self.start()
        for stream in self.streams.dialled:
            stream.connect()
            stream.reply()
        self.results.clear()

    def start(self, data: bytes | None = b"request") -> bool:
        exchange = Exchange(lambda _: data, lambda _: True, self.results.append)
        return self.connections.start("i-1", ADDRESS, exchange)


def test_request_is_not_lost_on_connections_that_the_server_has_reset() -> None:
    """Nothing of it was sent, and each of them used to end one attempt."""
    setup = _Setup(idle_count=60)
    for stream in setup.streams.dialled:
        stream.is_reset = True

    assert setup.start()

    assert setup.results == []
    stream = setup.streams.dialled[-1]
    stream.connect()
    assert stream.sent == b"request"
    stream.reply()
    assert setup.results[0].outcome is ExchangeOutcome.REPLY


def test_connection_that_is_reset_as_it_opens_has_sent_nothing() -> None:
    setup = _Setup(idle_count=0)
    setup.start()
    (stream,) = setup.streams.dialled
    stream.is_reset = True

    stream.connect()

    (result,) = setup.results
    assert result.outcome is ExchangeOutcome.NOT_CONNECTED
    assert not setup.connections.can_start("i-1", cap_count=1)


def test_idle_connection_is_kept_for_another_request_if_one_is_not_sent() -> (
    None
):
    setup = _Setup(idle_count=1)

    assert not setup.start(data=None)
    assert setup.start()

    (stream,) = setup.streams.dialled
    assert stream.sent == b"request" * 2
