"""Reports exceptions that circuits event handlers did not catch."""

import traceback
from types import TracebackType

from circuits import BaseComponent, handler

from mulberrybay_runtime.logs import StructuredLog


class FaultLog(BaseComponent):
    """Logs and counts uncaught exceptions; the process continues."""

    channel = "faults"

    def __init__(self) -> None:
        super().__init__()
        self._log = StructuredLog("faults")
        self.fault_count = 0

    @handler("exception", channel="*")
    def _on_exception(
        self,
        exception_type: type[BaseException],
        exception: BaseException,
        trace: list[str] | TracebackType,
        **_: object,
    ) -> None:
        del exception_type
        self.fault_count += 1
        lines = trace if isinstance(trace, list) else traceback.format_tb(trace)
        self._log.error(
            "a handler failed", error=repr(exception), trace="".join(lines)
        )
