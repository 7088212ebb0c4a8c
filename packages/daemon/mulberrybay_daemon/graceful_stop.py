"""The graceful stop of a node.

The node is no longer advertised, but serves requests for as long as callers may
cache its address. The process ends once no request is in progress.
"""

from collections.abc import Callable
from typing import Final

from mulberrybay_callers.application import CallerApplication
from mulberrybay_daemon.node_parts import NodeParts
from mulberrybay_daemon.service import ADDRESS_TIME_TO_LIVE_S
from mulberrybay_runtime.clock import read_clock_s
from mulberrybay_runtime.logs import StructuredLog

STOP_POLL_PERIOD_S: Final = 0.05
GOODBYE_SEND_TIME_S: Final = 0.1
STOP_GRACE_S: Final = ADDRESS_TIME_TO_LIVE_S + 1.0
STOP_TIMEOUT_S: Final = 30.0
# The stop waits at most this long for the platform's store to accept the
# outcomes of runs.
OUTCOME_SAVE_TIMEOUT_S: Final = STOP_GRACE_S + 5.0


class GracefulStop:
    """Stops the node, from the first signal to the end of the process."""

    def __init__(
        self,
        parts: NodeParts,
        application: CallerApplication,
        log: StructuredLog,
        end: Callable[[], None],
    ) -> None:
        """Creates a stop that has not begun.

        Args:
            parts: The node's components.
            application: Serves the callers.
            log: Logs the beginning and the end of the stop.
            end: Ends the process.
        """
        self._parts = parts
        self._application = application
        self._log = log
        self._end = end
        self._began_at_s: float | None = None
        # Returns the number of requests whose answers have not been passed to
        # a socket.
        self.count_unsent_answers: Callable[[], int] = int

    @property
    def has_begun(self) -> bool:
        """Whether the node is stopping."""
        return self._began_at_s is not None

    def begin(self) -> None:
        """Stops advertising this node; further calls have no effect."""
        if self.has_begun:
            return
        self._log.info("stopping", step="stop", peer="")
        self._began_at_s = read_clock_s()
        membership = self._parts.membership
        membership.info = membership.info._replace(
            is_leaving=True, is_serving=False
        )
        self._parts.members.announce()
        self._application.start_draining()
        self._parts.timers.call_later(STOP_GRACE_S, self._finish)

    def _is_idle(self) -> bool:
        return (
            self._parts.active_count() == 0
            and self._parts.holder.outstanding_count == 0
            and self.count_unsent_answers() == 0
        )

    def _finish(self) -> None:
        """Ends the process once nothing is in progress; polls until then."""
        parts = self._parts
        parts.service.refuses_requests = True
        age_s = read_clock_s() - (self._began_at_s or 0.0)
        is_idle = self._is_idle()
        is_saved = (
            parts.runs.unsaved_count == 0 or age_s > OUTCOME_SAVE_TIMEOUT_S
        )
        if (is_idle and is_saved) or age_s > STOP_TIMEOUT_S:
            parts.members.say_goodbye()
            self._log.info(
                "stopped",
                step="stop",
                peer="",
                was_idle=is_idle,
                unsaved_count=parts.runs.unsaved_count,
            )
            parts.timers.call_later(GOODBYE_SEND_TIME_S, self._end)
            return
        parts.timers.call_later(STOP_POLL_PERIOD_S, self._finish)
