"""Backend servers and callers that are played on a clock of the test.

The dispatcher and the handlers are the real ones; connections, servers and
callers are models without a network.
"""

import math
import random
from collections.abc import Callable, Iterable
from typing import Final, NamedTuple

from request_fakes import NAMES, FakeTimers

from mulberrybay_core.addresses import Address
from mulberrybay_core.caller_messages import CallerAnswer, CallerRequest
from mulberrybay_core.overload.answer_reserve import AnswerReserve
from mulberrybay_core.route_history import RouteHistory
from mulberrybay_core.routing import (
    CallerLimits,
    Route,
    RouteTable,
    RoutingConfiguration,
    ServiceSettings,
)
from mulberrybay_core.server_directory import ServerDirectory, ServerEntry
from mulberrybay_core.server_reach import ServerReach
from mulberrybay_core.shared_limits import (
    ColdServerRateLimit,
    RetryBudget,
    RetryBudgetSettings,
)
from mulberrybay_edge.crash_watch import CrashWatch
from mulberrybay_edge.decision_log import DecisionLog
from mulberrybay_edge.dispatcher import DispatchContext, Dispatcher
from mulberrybay_edge.exchange import (
    Exchange,
    ExchangeOutcome,
    ExchangeResult,
)
from mulberrybay_edge.forward_handler import ForwardHandler
from mulberrybay_edge.gather_handler import GatherHandler
from mulberrybay_edge.request_context import (
    HandlerContext,
    RequestCounts,
    RequestJob,
)
from mulberrybay_edge.sending import RequestTemplate
from mulberrybay_runtime.http_exchange import HttpReply

ADDRESS: Final = Address("10.0.0.1", 80)
# A request that crosses the reply with a pause is no fault of the node.
CROSSING_S: Final = 0.5


class PlayedServer:
    """A server with slots, a queue and pauses that it asks for.

    Attributes:
        pauses: The spans in which it turns requests away, naming their end.
        pressed_count: Requests that came within a pause that it had asked for,
            later than those that may have crossed its reply.
    """

    def __init__(
        self,
        timers: FakeTimers,
        service: str,
        number: int,
        work_s: Callable[[], float],
    ) -> None:
        self.entry = ServerEntry(
            f"{service}-{number}", service, ADDRESS, "domain", 2, False, 0.0, 1
        )
        self._timers = timers
        self._work_s = work_s
        self._free_at_s = [0.0, 0.0]
        self._asked_at_s: float | None = None
        self.pauses: list[tuple[float, float]] = []
        self.pressed_count = 0

    def receive(self, exchange: Exchange) -> None:
        """Handles a request that a node has sent."""
        now_s = self._timers.now_s
        pause = next((p for p in self.pauses if p[0] <= now_s < p[1]), None)
        if pause is not None:
            asked_at_s = self._asked_at_s
            if asked_at_s is None or asked_at_s < pause[0]:
                self._asked_at_s = now_s
            elif now_s - asked_at_s > CROSSING_S:
                self.pressed_count += 1
            headers = {"not-run": "1", "retry-after": f"{pause[1] - now_s:.3f}"}
            self._reply_at(
                now_s + 0.001, exchange, HttpReply(503, headers, b"", True)
            )
            return
        slot = self._free_at_s.index(min(self._free_at_s))
        end_s = max(now_s, self._free_at_s[slot]) + self._work_s()
        self._free_at_s[slot] = end_s
        headers = {"signature": f"{self.entry.server_id}-{now_s}"}
        self._reply_at(end_s, exchange, HttpReply(200, headers, b"", True))

    def _reply_at(
        self, at_s: float, exchange: Exchange, reply: HttpReply
    ) -> None:
        result = ExchangeResult(ExchangeOutcome.REPLY, reply)
        self._timers.call_at(at_s, lambda: exchange.finish(result))


class _PlayedConnections:
    """Connections that are always open."""

    def __init__(
        self, servers: dict[str, PlayedServer], timers: FakeTimers
    ) -> None:
        self._servers = servers
        self._timers = timers

    def can_start(self, server_id: str, cap_count: int) -> bool:
        """Whether a request can start."""
        return True

    def start(
        self,
        server_id: str,
        address: Address,
        exchange: Exchange,
        max_idle_s: float,
        *,
        keeps_idle: bool,
    ) -> bool:
        """Hands a request to the server."""
        if exchange.encode(self._timers.now_s) is None:
            return False
        self._servers[server_id].receive(exchange)
        return True


class PlayedAnswer(NamedTuple):
    """What a caller got, over all its tries."""

    route: str
    status: int
    took_s: float
    coverage: float = 1.0


class PlayedNode:
    """A node with its servers, and callers that return once when refused."""

    def __init__(
        self,
        timers: FakeTimers,
        servers: Iterable[PlayedServer],
        routes: Iterable[Route],
        seed: int,
    ) -> None:
        self._timers = timers
        self._routes = {route.name: route for route in routes}
        self._histories = {
            name: RouteHistory(route.target_latency_s)
            for name, route in self._routes.items()
        }
        by_id = {server.entry.server_id: server for server in servers}
        directory = ServerDirectory()
        directory.replace_all(
            (server.entry for server in by_id.values()), timers.now_s
        )
        terms = RetryBudgetSettings(0.2, 10.0, 56.0)
        log = DecisionLog(timers.clock)
        connections = _PlayedConnections(by_id, timers)
        crash_watch = CrashWatch(connections, timers, log)
        self.dispatcher = Dispatcher(
            DispatchContext(
                directory,
                connections,
                RetryBudget(terms),
                ColdServerRateLimit(),
                NAMES,
                "domain",
                1.5,
                log,
                ServerReach(timers.now_s),
                crash_watch,
            ),
            random.Random(seed),
        )
        services = {server.entry.service for server in by_id.values()}
        self.dispatcher.table = RouteTable(
            RoutingConfiguration(
                1,
                tuple(self._routes.values()),
                tuple(
                    ServiceSettings(name, "", 100, 0.0)
                    for name in sorted(services)
                ),
                CallerLimits(),
            )
        )
        self._context = HandlerContext(
            self.dispatcher,
            timers,
            NAMES,
            log,
            RequestCounts(),
            crash_watch,
            terms.ratio,
            timers.clock,
            AnswerReserve(),
        )
        self.answers: list[PlayedAnswer] = []

    def submit(
        self,
        route_name: str,
        first_at_s: float | None = None,
        tries_left: int = 1,
    ) -> None:
        """Sends a caller's request; a refused one comes back once."""
        route, now_s = self._routes[route_name], self._timers.now_s
        first_at_s = now_s if first_at_s is None else first_at_s
        request = CallerRequest(
            "GET",
            "/x",
            "/x",
            "a.example",
            (("Host", "a.example"),),
            b"",
            f"{route_name}-{len(self.answers)}-{now_s}",
            now_s,
            first_at_s + route.timeout_s - now_s,
        )

        def on_answer(answer: CallerAnswer) -> None:
            delay_s = float(dict(answer.headers).get("Retry-After", math.inf))
            if answer.status == 503 and tries_left and delay_s < math.inf:
                self._timers.call_at(
                    self._timers.now_s + delay_s,
                    lambda: self.submit(route_name, first_at_s, 0),
                )
                return
            took_s = self._timers.now_s - first_at_s
            missing_count = int(dict(answer.headers).get("Missing", 0))
            coverage = 1 - missing_count / max(1, len(route.shards))
            self.answers.append(
                PlayedAnswer(route_name, answer.status, took_s, coverage)
            )

        job = RequestJob(
            request,
            route,
            self._histories[route_name],
            RequestTemplate(request, NAMES),
            on_answer,
        )
        if route.shards:
            GatherHandler(self._context, job).start()
        else:
            service = route.split[0].service
            ForwardHandler(self._context, job, service).start()

    def served_ratio(self, route_name: str) -> float:
        """Returns the ratio of callers that were served, also late."""
        answers = [a for a in self.answers if a.route == route_name]
        return sum(a.status == 200 for a in answers) / max(1, len(answers))

    def worth(self, route_name: str) -> float:
        """Returns the mean worth of an answer to its caller.

        A whole answer in time is worth 1 and a late one a tenth of that. With
        shards missing, it is worth the square of its coverage.
        """
        target_s = self._routes[route_name].target_latency_s
        answers = [a for a in self.answers if a.route == route_name]
        worths = [
            answer.coverage**2 * (1 if answer.took_s <= target_s else 0.1)
            for answer in answers
            if answer.status == 200
        ]
        return sum(worths) / max(1, len(answers))
