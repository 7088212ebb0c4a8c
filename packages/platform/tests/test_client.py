"""Tests of connection use by the client of the platform's store.

Watches stay open for seconds. If they counted towards the connection limit,
ordinary calls would wait behind them.
"""

from collections.abc import Callable

import pytest

from mulberrybay_core.addresses import Address
from mulberrybay_core.errors import Failure, FailureKind
from mulberrybay_core.store_messages import ObjectList
from mulberrybay_platform.client import (
    MAX_CONNECTION_COUNT,
    PlatformClient,
    PlatformSettings,
)
from mulberrybay_runtime.clock import read_clock_s
from mulberrybay_runtime.http_exchange import MAX_REPLY_BYTES
from mulberrybay_runtime.timers import Timer, Timers
from mulberrybay_testing.status_lines import UNUSABLE_STATUS_LINES

WATCH_TIMEOUT_S = 8.0
EMPTY_LIST = (
    b"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n"
    b'Content-Length: 27\r\n\r\n{"objects":[],"version": 1}'
)


class _FakeStream:
    def __init__(self) -> None:
        self.sent: list[bytes] = []
        self.is_closed = False

    def send(self, data: bytes) -> bool:
        self.sent.append(data)
        return True

    def close(self) -> None:
        self.is_closed = True


class _FakeStreams:
    """Fake `Streams`; a test opens its connections and sends replies."""

    def __init__(self) -> None:
        self.dialled: list[tuple[_FakeStream, object]] = []

    def dial(
        self, address: Address, observer: object, *, detects_silence: bool
    ) -> _FakeStream:
        stream = _FakeStream()
        self.dialled.append((stream, observer))
        return stream

    def open_all(self) -> None:
        for stream, observer in self.dialled:
            if not stream.sent:
                observer.on_connected(stream)

    def reply(self, index: int, data: bytes) -> None:
        stream, observer = self.dialled[index]
        observer.on_data(stream, data)

    @property
    def requests(self) -> list[bytes]:
        return [data for stream, _ in self.dialled for data in stream.sent]


class _ClientFixture:
    """A client on fake connections, and the results of its calls."""

    def __init__(self, detects_silence: bool = False) -> None:
        self.streams = _FakeStreams()
        self.client = PlatformClient(
            PlatformSettings(
                Address("127.0.0.1", 1), detects_silence=detects_silence
            ),
            self.streams,
            Timers(),
        )
        self.results: list[ObjectList | Failure] = []

    def watch(self, count: int = 1) -> None:
        for index in range(count):
            self.client.watch(
                f"kind-{index}", 0, WATCH_TIMEOUT_S, self.results.append
            )
        self.streams.open_all()

    def list_kind(self, count: int = 1) -> None:
        for index in range(count):
            self.client.list_kind(f"kind-{index}", self.results.append)
        self.streams.open_all()


@pytest.mark.parametrize("detects_silence", [False, True])
def test_watches_do_not_delay_calls(detects_silence: bool) -> None:
    store = _ClientFixture(detects_silence)
    store.watch(2 * MAX_CONNECTION_COUNT)
    store.list_kind(MAX_CONNECTION_COUNT)
    assert len(store.streams.requests) == 3 * MAX_CONNECTION_COUNT


def test_calls_beyond_connection_limit_wait_for_a_reply() -> None:
    store = _ClientFixture()
    store.list_kind(MAX_CONNECTION_COUNT + 1)
    assert len(store.streams.requests) == MAX_CONNECTION_COUNT
    store.streams.reply(0, EMPTY_LIST)
    assert len(store.results) == 1
    assert len(store.streams.requests) == MAX_CONNECTION_COUNT + 1


def test_connection_of_a_finished_watch_is_reused() -> None:
    store = _ClientFixture()
    store.watch()
    store.streams.reply(0, EMPTY_LIST)
    store.list_kind()
    assert len(store.streams.dialled) == 1
    assert len(store.streams.requests) == 2


def test_watch_does_not_reuse_a_connection_without_probes() -> None:
    store = _ClientFixture()
    store.list_kind()
    store.streams.reply(0, EMPTY_LIST)
    store.watch()
    assert len(store.streams.dialled) == 2


def test_watch_fails_when_its_connection_closes() -> None:
    store = _ClientFixture()
    store.watch()
    stream, observer = store.streams.dialled[0]
    observer.on_closed(stream, "reset")
    assert [type(result) for result in store.results] == [Failure]


def test_reply_that_is_too_large_is_told_to_who_watches() -> None:
    """A watch that gets it again and again has to list the objects instead."""
    store = _ClientFixture()
    store.watch()
    store.list_kind()
    head = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
    block = b"100000\r\n" + b" " * 0x100000 + b"\r\n"
    for index in range(2):
        store.streams.reply(index, head)
        for _ in range(MAX_REPLY_BYTES // 0x100000 + 1):
            if not store.streams.dialled[index][0].is_closed:
                store.streams.reply(index, block)

    kinds = [result.kind for result in store.results]  # type: ignore[union-attr]
    assert kinds == [FailureKind.TOO_LARGE, FailureKind.PLATFORM]


def test_exit_closes_every_connection() -> None:
    store = _ClientFixture()
    with store.client:
        store.watch(2)
        store.list_kind(2)
        store.streams.reply(3, EMPTY_LIST)
    assert all(stream.is_closed for stream, _ in store.streams.dialled)


def test_cancelled_watch_closes_its_connection_without_a_result() -> None:
    store = _ClientFixture()
    cancel = store.client.watch(
        "kind", 0, WATCH_TIMEOUT_S, store.results.append
    )
    store.streams.open_all()
    stream, observer = store.streams.dialled[0]
    cancel()
    cancel()
    observer.on_data(stream, EMPTY_LIST)
    assert stream.is_closed
    assert store.results == []


@pytest.mark.parametrize("is_answered", [False, True])
def test_only_the_first_calls_have_the_first_timeout(is_answered: bool) -> None:
    """A store that is silent at the start must be asked again soon.

    Later, a slow store must not get calls that give up early.
    """
    streams, timers, results = _FakeStreams(), _RecordingTimers(), []
    settings = PlatformSettings(
        Address("127.0.0.1", 1), timeout_s=1.5, first_timeout_s=0.8
    )
    client = PlatformClient(settings, streams, timers)
    client.list_kind("kind-0", results.append)
    client.list_kind("kind-1", results.append)
    streams.open_all()
    if is_answered:
        streams.reply(0, EMPTY_LIST)
    else:
        timers.callbacks[0]()
    client.list_kind("kind-2", results.append)

    assert [round(delay_s, 1) for delay_s in timers.delays_s] == [0.8, 0.8, 1.5]


class _RecordingTimers:
    """Records the delays of timers and their callbacks."""

    def __init__(self) -> None:
        self.delays_s: list[float] = []
        self.callbacks: list[Callable[[], None]] = []

    def call_at(self, due_s: float, callback: Callable[[], None]) -> Timer:
        self.delays_s.append(due_s - read_clock_s())
        self.callbacks.append(callback)
        return Timer(callback)


@pytest.mark.parametrize("line", UNUSABLE_STATUS_LINES)
def test_answer_of_the_store_with_unusable_status_fails_at_once(
    line: bytes,
) -> None:
    store = _ClientFixture()
    store.list_kind()
    answer = EMPTY_LIST.replace(b"HTTP/1.1 200 OK", line)
    store.streams.reply(0, answer)
    assert [result.detail for result in store.results] == [
        "list: malformed reply"
    ]
    assert store.streams.dialled[0][0].is_closed
