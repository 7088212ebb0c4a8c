"""Serves the control port of stand-ins that host several components.

The components are backend servers or proxies. A document that is posted to the
port selects components and gives their new settings.
"""

from __future__ import annotations

from collections.abc import Mapping, Sequence
from contextlib import AbstractAsyncContextManager, AsyncExitStack
from typing import Final, Protocol

from mulberrybay_testing.event_log import EventLog
from mulberrybay_testing.http_server import (
    AcceptAllHandler,
    HttpServer,
    Request,
    Response,
    json_response,
)
from mulberrybay_testing.program import run_until_terminated

HOST: Final = "127.0.0.1"
CONTROL_PATH: Final = "/control"


class ControllableStandin(Protocol):
    """A stand-in whose components are changed by control documents."""

    def components(self) -> Sequence[AbstractAsyncContextManager[object]]:
        """Returns the components; each runs while its context is entered."""

    def counters(self) -> Mapping[str, object]:
        """Returns the counters of each component, by its name."""

    async def apply_control(self, body: bytes) -> Mapping[str, object]:
        """Applies a control document and returns the reply.

        Raises:
            ValueError: The document is malformed.
        """


class ControlServer(AcceptAllHandler):
    """Runs a stand-in's components, log and control port.

    They run while the context is entered.
    """

    def __init__(
        self, standin: ControllableStandin, log: EventLog, port: int
    ) -> None:
        self._standin = standin
        self._log = log
        self._port = port
        self._exit_stack = AsyncExitStack()

    async def __aenter__(self) -> ControlServer:
        """Starts every component, then the control port."""
        self._exit_stack.enter_context(self._log)
        for component in self._standin.components():
            await self._exit_stack.enter_async_context(component)
        control = HttpServer(HOST, self._port, self)
        await self._exit_stack.enter_async_context(control)
        return self

    async def __aexit__(self, *_: object) -> None:
        """Stops the components and closes the log."""
        await self._exit_stack.aclose()

    async def handle(self, request: Request) -> Response:
        """Answers one control request."""
        if request.path != CONTROL_PATH:
            return json_response(404, {"error": "unknown path"})
        if request.method == "GET":
            return json_response(200, self._standin.counters())
        answer = await self._standin.apply_control(request.body)
        return json_response(200, answer)


def serve_control(
    standin: ControllableStandin, log: EventLog, port: int
) -> None:
    """Runs a stand-in and its control port until SIGTERM."""
    server = ControlServer(standin, log, port)
    run_until_terminated(server, f"ready {HOST}:{port}")
