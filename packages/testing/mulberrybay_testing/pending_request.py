"""Requests that wait or work at a backend server."""

from __future__ import annotations

import asyncio
import enum


class Ending(enum.Enum):
    """Why a request ended before its work was done."""

    CANCELLED = "cancelled"
    DEADLINE = "deadline"


class PendingRequest:
    """One outstanding request; may be ended from outside while it waits.

    A context manager: leaving it stops the deadline timer.
    """

    def __init__(self, request_id: str, deadline_s: float | None) -> None:
        self.request_id = request_id
        self.ending: Ending | None = None
        self.has_slot = False
        self.work_begun = False
        self._loop = asyncio.get_running_loop()
        self._signal: asyncio.Future[None] | None = None
        self._deadline: asyncio.TimerHandle | None = None
        if deadline_s is not None:
            self._deadline = self._loop.call_later(
                deadline_s, self.end, Ending.DEADLINE
            )

    def __enter__(self) -> PendingRequest:
        """Returns the request."""
        return self

    def __exit__(self, *_: object) -> None:
        """Stops the deadline timer."""
        if self._deadline is not None:
            self._deadline.cancel()

    def end(self, ending: Ending) -> None:
        """Ends the request; the first ending stands."""
        if self.ending is None:
            self.ending = ending
            self.wake()

    def wake(self) -> None:
        """Ends the present wait."""
        if self._signal is not None and not self._signal.done():
            self._signal.set_result(None)

    async def sleep(self, duration_s: float) -> Ending | None:
        """Waits for a duration; returns the ending, if one came."""
        if self.ending is not None:
            return self.ending
        timer = self._loop.call_later(duration_s, self.wake)
        try:
            return await self.wait()
        finally:
            timer.cancel()

    async def wait(self) -> Ending | None:
        """Waits to be woken; returns the ending, if one came."""
        if self.ending is None:
            self._signal = self._loop.create_future()
            await self._signal
        return self.ending
