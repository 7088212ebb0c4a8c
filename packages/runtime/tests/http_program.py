"""A program that runs one HTTP server, for tests."""

from types import TracebackType
from typing import Self

from circuits import BaseComponent

from mulberrybay_core.addresses import Address
from mulberrybay_runtime.callers.resources import CallerResources
from mulberrybay_runtime.callers.turns import TurnLoop
from mulberrybay_runtime.faults import FaultLog
from mulberrybay_runtime.http_server import (
    HttpApplication,
    HttpServer,
    ListenerParts,
)
from mulberrybay_runtime.streams import StreamPoller, Streams
from mulberrybay_runtime.timers import Timers
from mulberrybay_testing.ports import HOST, free_port


class HttpProgram:
    """Runs a server in a thread while the context is active."""

    def __init__(self, application: HttpApplication) -> None:
        self.root = BaseComponent()
        self.faults = FaultLog().register(self.root)
        poller = StreamPoller().register(self.root)
        self.timers = Timers().register(self.root)
        self._streams = Streams(poller, self.timers.run_prompt).register(
            self.root
        )
        self.port = free_port()
        self.server = HttpServer(
            application,
            "test",
            ListenerParts(
                self._streams,
                self.timers,
                CallerResources(),
                TurnLoop(self.timers).register(self.root),
            ),
        )
        self.server.listen(Address(HOST, self.port))

    def __enter__(self) -> Self:
        self.root.start()
        return self

    def __exit__(
        self,
        exception_type: type[BaseException] | None,
        exception: BaseException | None,
        trace: TracebackType | None,
    ) -> None:
        self.root.stop()
        self.root.join()
        self._streams.__exit__()
