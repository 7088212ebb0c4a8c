"""Tests that the process continues after an exception in a handler.

The exception is counted, the client gets an error, and other timers run.
"""

import threading
from collections.abc import Iterator

import pytest
from http_program import HttpProgram

from mulberrybay_runtime.http_server import HttpRequest, Respond
from mulberrybay_testing.http_caller import send_request


class _FaultyApplication:
    """Raises an exception for each request."""

    def on_request(self, request: HttpRequest, respond: Respond) -> None:
        raise RuntimeError(request.path)

    def should_close(self) -> bool:
        return False


class _Program(HttpProgram):
    def __init__(self) -> None:
        super().__init__(_FaultyApplication())


@pytest.fixture
def program() -> Iterator[_Program]:
    with _Program() as program:
        yield program


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
    with program:
        assert done.wait(3.0)
    assert fired == [0, 1, 2]
    assert program.faults.fault_count >= 1
