"""Lets the connections of callers take turns in the event loop."""

from collections import deque
from typing import Any, Protocol

from circuits import BaseComponent, handler

from mulberrybay_core.callers.turns import CallerTurns, estimate_cost_s
from mulberrybay_runtime.clock import read_clock_s
from mulberrybay_runtime.timers import Timers


class TurnTaker(Protocol):
    """A connection that has bytes to parse or requests to start.

    Attributes:
        address: Where its caller is.
        awaits_turn: Whether it waits to be served; set by `TurnLoop`.
        is_open: Whether it was not closed yet.
    """

    address: str
    awaits_turn: bool
    is_open: bool

    def next_bytes(self) -> int:
        """Returns the size of what is next."""

    def take_turn(self) -> None:
        """Does what is next, and adds itself again if there is more to do."""

    def close(self) -> None:
        """Closes the connection."""


class TurnLoop(BaseComponent):
    """Serves connections once in each iteration of the event loop.

    `CallerTurns` decides on the order, and how long an iteration takes.
    """

    channel = "turns"

    def __init__(self, timers: Timers) -> None:
        """Creates the component.

        Args:
            timers: Those that can't wait run between two connections.
        """
        super().__init__()
        self._timers = timers
        self._turns: CallerTurns[TurnTaker] = CallerTurns()
        # Those that came since the last iteration, in their order.
        self._arrivals: deque[TurnTaker] = deque()

    def add(self, connection: TurnTaker) -> None:
        """Adds a connection with something to do."""
        if not connection.awaits_turn and connection.is_open:
            connection.awaits_turn = True
            self._arrivals.append(connection)

    def remove(self, connection: TurnTaker) -> None:
        """Removes a connection that was closed."""
        connection.awaits_turn = False
        self._turns.remove(connection, connection.address)

    # After the timers, and before batches are sent and the poller waits.
    @handler("generate_events", channel="*", priority=-3)
    def _on_generate_events(self, event: Any) -> None:  # noqa: ANN401
        if not self._arrivals and not self._turns.is_waiting:
            return
        try:
            self._turns.begin(read_clock_s())
            self._serve_arrivals()
            if self._turns.is_waiting:
                self._serve_in_order()
        finally:
            if self._arrivals or self._turns.is_waiting:
                event.reduce_time_left(0.0)

    def _serve_arrivals(self) -> None:
        """Serves those that came, in their order if there is little to do."""
        while self._arrivals and not self._turns.needs_order(read_clock_s()):
            connection = self._arrivals.popleft()
            if connection.awaits_turn:
                self._serve(connection)
        self._enqueue_arrivals()

    def _serve_in_order(self) -> None:
        """Serves those that wait until the iteration's time is used up."""
        now_s = read_clock_s()
        while (place := self._turns.pop(now_s)) is not None:
            connection, address = place
            started_at_s = now_s
            try:
                self._timers.run_prompt()
                self._serve(connection)
            finally:
                now_s = read_clock_s()
                self._turns.charge(
                    connection,
                    address,
                    now_s - started_at_s,
                    is_open=connection.is_open,
                )
                self._enqueue_arrivals()

    def _enqueue_arrivals(self) -> None:
        while self._arrivals:
            connection = self._arrivals.popleft()
            if connection.awaits_turn:
                cost_s = estimate_cost_s(connection.next_bytes())
                self._turns.add(connection, connection.address, cost_s)

    def _serve(self, connection: TurnTaker) -> None:
        connection.awaits_turn = False
        try:
            connection.take_turn()
        except Exception:
            # A part of its bytes may have been handled.
            connection.close()
            raise
