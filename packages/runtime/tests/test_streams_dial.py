"""What an observer learns of a connection that can't be opened."""

import errno
import socket
from typing import Any

import pytest
from circuits import BaseComponent
from circuits.core.pollers import EPoll

from mulberrybay_core.addresses import Address
from mulberrybay_runtime.streams import Stream, Streams
from mulberrybay_testing.waiting import wait_until


class _Observer:
    def __init__(self) -> None:
        self.reasons: list[str] = []

    def on_connected(self, stream: Stream) -> None:
        raise AssertionError

    def on_data(self, stream: Stream, data: bytes) -> None:
        raise AssertionError

    def on_closed(self, stream: Stream, reason: str) -> None:
        self.reasons.append(reason)


def test_dial_without_a_free_descriptor_is_reported_and_raises_nothing(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    root = BaseComponent()
    poller = EPoll().register(root)
    streams = Streams(poller).register(root)

    def fail(*_: Any) -> None:  # noqa: ANN401
        raise OSError(errno.EMFILE, "Too many open files")

    observer = _Observer()
    with monkeypatch.context() as patch:
        patch.setattr(socket, "socket", fail)
        streams.dial(Address("127.0.0.1", 9), observer)
    assert observer.reasons == []
    root.start()
    wait_until(lambda: bool(observer.reasons), 5.0, "the dial has failed")
    root.stop()
    root.join()

    assert observer.reasons == ["connect failed: EMFILE"]
