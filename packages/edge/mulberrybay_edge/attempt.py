"""A request sent to one backend server."""

from typing import Protocol

from mulberrybay_core.overload.load_forecast import LoadPrediction
from mulberrybay_core.placement import ServerState
from mulberrybay_core.server_directory import KnownServer
from mulberrybay_core.server_limit import ServerLimit
from mulberrybay_edge.exchange import Exchange
from mulberrybay_edge.rollout_traffic import RolloutAttempt
from mulberrybay_edge.sending import AttemptSpec, ResultHandler


class Canceller(Protocol):
    """Cancels attempts; see `Dispatcher`."""

    def cancel(self, attempt: "Attempt") -> None:
        """Cancels an attempt."""


class Attempt:
    """A request sent to one server; see `AttemptHandle`."""

    __slots__ = (
        "_dispatcher",
        "charged_limit",
        "exchange",
        "history",
        "key",
        "on_result",
        "prediction",
        "retried_service",
        "rollout",
        "server",
        "started_at_s",
        "state",
        "template",
    )

    def __init__(
        self,
        dispatcher: Canceller,
        server: KnownServer,
        state: ServerState,
        spec: AttemptSpec,
        key: int,
        on_result: ResultHandler,
        started_at_s: float,
    ) -> None:
        self._dispatcher = dispatcher
        self.server = server
        self.state = state
        self.history = spec.history
        self.key = key
        self.template = spec.template
        self.on_result = on_result
        self.started_at_s = started_at_s
        self.exchange: Exchange | None = None
        # The service whose retry budget it was charged to; empty if to none.
        self.retried_service = ""
        # What was predicted from a report of work; None without one.
        self.prediction: LoadPrediction | None = None
        # The limit of its server that it was charged to; None if to none.
        self.charged_limit: ServerLimit | None = None
        # What rollouts need to know of it; None if the node takes no part.
        self.rollout: RolloutAttempt | None = None

    @property
    def server_id(self) -> str:
        """The server that it was sent to."""
        return self.server.entry.server_id

    @property
    def is_finished(self) -> bool:
        """Whether its result is known or it was cancelled."""
        return self.exchange is None

    @property
    def is_sent(self) -> bool:
        """Whether any byte of the request may have been sent."""
        return self.exchange is None or self.exchange.sent_at_s is not None

    def cancel(self) -> None:
        """Cancels the attempt; closing its connection tells the server."""
        if self.exchange is not None:
            self._dispatcher.cancel(self)
