"""Requests in the queue or in progress at a backend server."""

from __future__ import annotations

import asyncio
import enum
import math


class EndReason(enum.Enum):
    """Why a request ended before it was completed."""

    CANCELLED = "cancelled"
    DEADLINE = "deadline"


class PendingRequest:
    """An outstanding request; it may be ended while it waits."""

    def __init__(self, request_id: str, deadline_s: float | None) -> None:
        self.request_id = request_id
        self.has_slot = False
        self.work_begun = False
        self.end_reason: EndReason | None = None
        self._loop = asyncio.get_running_loop()
        self._signal: asyncio.Future[None] | None = None
        self._deadline_at_s = math.inf
        if deadline_s is not None:
            self._deadline_at_s = self._loop.time() + deadline_s
            if deadline_s <= 0:
                self.end_reason = EndReason.DEADLINE

    def end(self, end_reason: EndReason) -> None:
        """Ends the request, unless it has already ended."""
        if self.end_reason is None:
            self.end_reason = end_reason
            self.wake()

    def wake(self) -> None:
        """Ends the current wait, if any."""
        if self._signal is not None and not self._signal.done():
            self._signal.set_result(None)

    async def wait(self, duration_s: float | None = None) -> EndReason | None:
        """Waits for a duration, until woken or until the request ends.

        Args:
          duration_s: how long to wait; None means until woken.

        Returns:
          The reason, if the request ended before or during the wait.
        """
        if self.end_reason is not None:
            return self.end_reason
        self._signal = self._loop.create_future()
        timer = self._start_timer(duration_s)
        try:
            await self._signal
        finally:
            if timer is not None:
                timer.cancel()
        return self.end_reason

    def _start_timer(
        self, duration_s: float | None
    ) -> asyncio.TimerHandle | None:
        if duration_s is not None:
            wake_at_s = self._loop.time() + duration_s
            if wake_at_s < self._deadline_at_s:
                return self._loop.call_at(wake_at_s, self.wake)
        if self._deadline_at_s == math.inf:
            return None
        return self._loop.call_at(
            self._deadline_at_s, self.end, EndReason.DEADLINE
        )
