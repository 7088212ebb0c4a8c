"""Tests that the process continues after an exception in a handler.

The exception is counted, the client gets an error, and other timers run.
"""

import threading
from collections.abc import Iterator

import pytest
from circuits import BaseComponent
from circuits.core.pollers import EPoll

from mulberrybay_core.addresses import Address
from mulberrybay_runtime.faults import FaultLog
from mulberrybay_runtime.http_server import HttpRequest, HttpServer, Respond
from mulberrybay_runtime.timers import Timers
from mulberrybay_testing.http_caller import send_request
from mulberrybay_testing.ports import free_port


class _FaultyApplication:
    """Raises an exception for each request."""

    def on_request(self, request: HttpRequest, respond: Respond) -> None:
        raise RuntimeError(request.path)

    def should_close(self) -> bool:
        return False


class _Program:
    def __init__(self) -> None:
        self.root = BaseComponent()
        EPoll().register(self.root)
        self.faults = FaultLog().register(self.root)
        self.timers = Timers().register(self.root)
        self.port = free_port()
        address = Address("127.0.0.1", self.port)
        application = _FaultyApplication()
        self.server = HttpServer(address, application, "test")
        self.server.register(self.root)


@pytest.fixture
def program() -> Iterator[_Program]:
    program = _Program()
    program.root.start()
    yield program
    program.root.stop()
    program.root.join()


def test_failed_request_gets_an_error_response(program: _Program) -> None:
    for count in (1, 2):
        response = send_request(program.port, "GET", "/", timeout_s=3.0)
        assert response.status == 500
        assert response.json()["error"]["run_state"] == "unknown"
        assert program.server.fault_count == count
    assert program.server.pending_count == 0


def test_timer_exception_does_not_stop_other_timers() -> None:
    program = _Program()
    fired: list[int] = []
    done = threading.Event()
    for value in range(3):
        program.timers.call_later(0.0, lambda value=value: fired.append(value))
        program.timers.call_later(0.0, lambda: fired[10])
    program.timers.call_later(0.05, done.set)
    program.root.start()
    assert done.wait(3.0)
    program.root.stop()
    program.root.join()
    assert fired == [0, 1, 2]
    assert program.faults.fault_count >= 1
