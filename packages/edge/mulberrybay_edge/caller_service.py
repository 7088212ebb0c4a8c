"""Services for HTTP requests: routes, node addresses, readiness, metrics."""

from collections import Counter
from collections.abc import Callable
from typing import Final

from mulberrybay_core import caller_errors
from mulberrybay_core.caller_messages import (
    AnswerHandler,
    CallerAnswer,
    CallerRequest,
    CancelRequest,
    HeaderNames,
)
from mulberrybay_core.route_history import RouteHistories
from mulberrybay_core.routing import Route, RouteTable, WeightedRoundRobin
from mulberrybay_edge.forward_handler import ForwardHandler
from mulberrybay_edge.gather_handler import GatherHandler
from mulberrybay_edge.relay_handler import RelayHandler, RelayTargets
from mulberrybay_edge.request_access import RequestAccess
from mulberrybay_edge.request_context import (
    UNKNOWN_KEY,
    HandlerContext,
    RequestHandler,
    RequestJob,
)
from mulberrybay_edge.sending import RequestTemplate
from mulberrybay_edge.tenant_gate import TenantGate

# A starting node reads its configuration within a few round trips.
STARTING_RETRY_S: Final = 0.25
# Upper bounds of the histogram of answer latencies.
# The bounds of the histogram of answer latencies.
LATENCY_BOUNDS_S: Final = (
    0.01,
    0.025,
    0.05,
    0.1,
    0.25,
    0.5,
    1.0,
    2.5,
    5.0,
)


class RoutedService:
    """Handles requests by the routes in force; see `CallerService`."""

    def __init__(
        self,
        context: HandlerContext,
        names: HeaderNames,
        find_table: Callable[[], RouteTable | None],
        find_relay_targets: Callable[[bytes], RelayTargets | None],
        clock: Callable[[], float],
        gate: TenantGate,
    ) -> None:
        """Creates the service.

        Args:
            context: Objects and settings that all handlers share.
            names: The names of headers.
            find_table: Returns the routes in force; None before the first.
            find_relay_targets: Returns the other nodes if only these may send
                a request of an identity; else None.
            clock: Returns the time in seconds.
            gate: Admits the requests of tenants by their quotas.
        """
        self._context = context
        self._find_relay_targets = find_relay_targets
        self._names = names
        self._find_table = find_table
        self._clock = clock
        self._gate = gate
        self._histories = RouteHistories()
        self._round_robins: dict[str, WeightedRoundRobin] = {}
        self._in_progress: set[RequestHandler] = set()
        self.answer_counts: Counter[int] = Counter()
        self.latency_counts = [0] * (len(LATENCY_BOUNDS_S) + 1)
        self.latency_sum_s = 0.0

    def submit(
        self, request: CallerRequest, reply: AnswerHandler
    ) -> CancelRequest | None:
        """Handles a request; see `CallerService`."""

        def count_and_reply(answer: CallerAnswer) -> None:
            self._count_answer(request, answer)
            reply(answer)

        # Emptied at the end. Otherwise the handler and its reply function would
        # refer to each other, and the request, its body included, would be
        # freed by the cycle collector only.
        handlers: list[RequestHandler] = []

        def end(answer: CallerAnswer) -> None:
            self._in_progress.difference_update(handlers)
            handlers.clear()
            count_and_reply(answer)

        def cancel() -> None:
            self._in_progress.difference_update(handlers)
            for handler in [*handlers]:
                handler.cancel()
            handlers.clear()

        table = self._find_table()
        if table is None:
            detail = "this node has not read its configuration yet"
            count_and_reply(caller_errors.not_run(detail, STARTING_RETRY_S))
            return None
        route = table.find_route(request.host, request.path)
        if route is None:
            self._context.log.log_request_end(
                request.request_id,
                "no route",
                host=request.host,
                path=request.path,
                revision=table.revision,
            )
            count_and_reply(caller_errors.NO_ROUTE)
            return None
        access = RequestAccess(
            request, route, table, self._find_table, self._gate
        )
        if not access.is_admitted():
            self._context.counts.refusals[UNKNOWN_KEY] += 1
            self._context.log.log_request_end(
                request.request_id,
                "refused",
                reason=UNKNOWN_KEY,
                route=route.name,
                revision=table.revision,
            )
            count_and_reply(caller_errors.UNKNOWN_KEY)
            return None
        job = RequestJob(
            request,
            route,
            self._histories.get(route),
            RequestTemplate(request, self._names),
            end,
            self._context.answer_reserve.timing(
                len(route.shards), route.target_latency_s, self._clock()
            ),
            access,
        )
        handler: RequestHandler
        targets = self._find_relay_targets(job.template.identity)
        if targets is not None and not request.is_relayed:
            # The other node judges the key again, so it is passed on.
            handler = RelayHandler(self._context, job, targets)
        elif route.shards:
            access.bind(job.template)
            if not request.is_relayed:
                self._context.answer_reserve.lookups.record_request(
                    request.peer_host, self._clock()
                )
            handler = GatherHandler(self._context, job)
        else:
            access.bind(job.template)
            handler = ForwardHandler(
                self._context, job, self._choose_service(route)
            )
        handlers.append(handler)
        self._in_progress.add(handler)
        try:
            handler.begin()
        except Exception:
            # Without a timer, nothing else would end it.
            cancel()
            raise
        return cancel

    def give_up(self) -> None:
        """Answers all requests in progress, as the node is about to exit."""
        for handler in [*self._in_progress]:
            handler.give_up()

    def _choose_service(self, route: Route) -> str:
        if len(route.split) == 1:
            return route.split[0].service
        round_robin = self._round_robins.get(route.name)
        if round_robin is None or round_robin.split != route.split:
            round_robin = self._round_robins[route.name] = WeightedRoundRobin(
                route.split
            )
        return round_robin.next_service()

    def _count_answer(
        self, request: CallerRequest, answer: CallerAnswer
    ) -> None:
        latency_s = self._clock() - request.received_at_s
        self.answer_counts[answer.status] += 1
        self.latency_sum_s += latency_s
        index = sum(latency_s > bound for bound in LATENCY_BOUNDS_S)
        self.latency_counts[index] += 1


class DirectoryService:
    """Advertises the nodes that callers can use; see `CallerService`."""

    def __init__(
        self,
        path: str,
        list_addresses: Callable[[], list[str]],
        encode: Callable[[list[str]], bytes],
    ) -> None:
        self._path = path
        self._list_addresses = list_addresses
        self._encode = encode

    def submit(
        self, request: CallerRequest, reply: AnswerHandler
    ) -> CancelRequest | None:
        """Answers with the addresses of the serving nodes."""
        addresses = self._list_addresses()
        if request.path != self._path:
            reply(CallerAnswer(404))
        elif not addresses:
            detail = "no node is known to serve"
            reply(caller_errors.not_run(detail, STARTING_RETRY_S))
        else:
            headers = (("Content-Type", "application/json"),)
            reply(CallerAnswer(200, headers, self._encode(addresses)))
        return None


class ReadinessService:
    """Reports to the platform whether this node serves; see `CallerService`."""

    def __init__(self, path: str, is_ready: Callable[[], bool]) -> None:
        self._path = path
        self._is_ready = is_ready

    def submit(
        self, request: CallerRequest, reply: AnswerHandler
    ) -> CancelRequest | None:
        """Answers 200 if the node can handle callers' requests, else 503."""
        if request.path != self._path:
            reply(CallerAnswer(404))
        else:
            reply(CallerAnswer(200 if self._is_ready() else 503))
        return None


class MetricsService:
    """Serves the metrics page; see `CallerService`."""

    def __init__(
        self, path: str, render: Callable[[], tuple[str, bytes]]
    ) -> None:
        self._path = path
        self._render = render

    def submit(
        self, request: CallerRequest, reply: AnswerHandler
    ) -> CancelRequest | None:
        """Answers with all metrics as text."""
        if request.path != self._path:
            reply(CallerAnswer(404))
            return None
        content_type, body = self._render()
        reply(CallerAnswer(200, (("Content-Type", content_type),), body))
        return None
