"""Sends requests to backend servers: selection, limits and outcomes."""

import functools
import itertools
import random
from collections import Counter
from collections.abc import Iterator, Sequence
from typing import Final, NamedTuple

from mulberrybay_core.caller_messages import LEAVING_VALUE, HeaderNames
from mulberrybay_core.fatal_requests import is_proof_of_life
from mulberrybay_core.load_report import LoadReport
from mulberrybay_core.overload.admission import ServerRoom, Urgency
from mulberrybay_core.overload.load_forecast import LoadForecast
from mulberrybay_core.placement import (
    PlacementQuery,
    ServerState,
    choose_server,
)
from mulberrybay_core.retry_after import read_retry_after
from mulberrybay_core.routing import RouteTable
from mulberrybay_core.server_directory import KnownServer, ServerDirectory
from mulberrybay_core.server_limit import ServerLimit, read_server_limit
from mulberrybay_core.server_reach import ServerReach
from mulberrybay_core.shared_limits import ColdServerRateLimit, RetryBudget
from mulberrybay_edge.attempt import Attempt
from mulberrybay_edge.crash_watch import CrashWatch
from mulberrybay_edge.decision_log import DecisionLog
from mulberrybay_edge.exchange import (
    Exchange,
    ExchangeOutcome,
    ExchangeResult,
)
from mulberrybay_edge.rollout_traffic import RolloutTraffic
from mulberrybay_edge.send_order import SendOrder
from mulberrybay_edge.sending import (
    QUEUED_REFUSALS,
    AttemptOutcome,
    AttemptResult,
    AttemptSpec,
    ResultHandler,
    SendRefusal,
    TriedServers,
)
from mulberrybay_edge.server_connections import ServerConnections
from mulberrybay_runtime.clock import read_clock_s
from mulberrybay_runtime.http_exchange import HttpReply

# The nodes use only this fraction of a server's connection cap: a connection
# that a node has closed may still count at the server for a moment.
USABLE_CONNECTION_RATIO: Final = 0.9
# A request that can't be retried is sent only on a connection that was used
# within this time: it would be lost if the server has just closed an idle one.
FRESH_IDLE_S: Final = 1.0
ANY_IDLE_S: Final = 3600.0
# With less time left, a server can't produce a useful reply.
MIN_TIME_LEFT_S: Final = 0.003
MAX_LOGGED_VALUE_CHARS: Final = 40


class DispatchContext(NamedTuple):
    """Objects and settings of the node that a dispatcher uses.

    Attributes:
        directory: The known backend servers.
        connections: Connections to backend servers.
        retry_budget: The retry budget.
        cold: The limit on the request rate of each cold server.
        names: The names of headers.
        failure_domain: The failure domain of this node.
        cold_factor: The rate that a cold server can handle, as a multiple of
            its service's `cold_requests_per_s`.
        log: The log of changes of this node's view.
        reach: Whether any backend server can be reached.
        crash_watch: Notices servers that crash under requests.
        rollouts: The use of new versions; None without rollouts.
    """

    directory: ServerDirectory
    connections: ServerConnections
    retry_budget: RetryBudget
    cold: ColdServerRateLimit
    names: HeaderNames
    failure_domain: str
    cold_factor: float
    log: DecisionLog
    reach: ServerReach
    crash_watch: CrashWatch
    rollouts: RolloutTraffic | None = None


class Dispatcher:
    """Sends attempts to the servers of a service; see `Sender`."""

    def __init__(
        self, context: DispatchContext, random_source: random.Random
    ) -> None:
        self._context = context
        self._random = random_source
        self._states: dict[str, ServerState] = {}
        self.forecast = LoadForecast()
        self.order = SendOrder()
        self._keys = itertools.count()
        self._load_header = context.names.load.lower()
        self._not_run_header = context.names.not_run.lower()
        self._id_header = context.names.request_id.lower()
        self._signature_header = context.names.signature.lower()
        self._leaving_header = context.names.leaving.lower()
        self._limit_header = context.names.rate_limit.lower()
        self.table: RouteTable | None = None
        # A server's connection cap is divided by this to get this node's share.
        self.share_divisor = 1.0
        # Whether callers are told to use this node, as far as it knows.
        self.is_advertised = True
        # Whether another node is known to reach backend servers.
        self.has_relay_target = False
        self.outcome_counts: Counter[str] = Counter()
        self.refusal_counts: Counter[str] = Counter()
        self.retry_count = 0
        self.sent_count = 0
        self.leaving_count = 0
        self.pause_count = 0
        self.limit_count = 0
        self.unreadable_counts: Counter[str] = Counter()

    def record_request(
        self, service: str, urgency: Urgency | None = None
    ) -> None:
        """Counts a caller's request for a service."""
        now_s = read_clock_s()
        self._context.retry_budget.record_request(service, now_s)
        if urgency is not None:
            self.order.record_request(service, urgency, now_s)

    @property
    def has_order(self) -> bool:
        """Whether requests differ in priority; see `Sender`."""
        return self.table is not None and self.table.has_priorities

    def expected_wait_s(self, service: str) -> float:
        """Returns how long a request waits for a slot; see `Sender`."""
        now_s = read_clock_s()
        if not self.order.has_seen_full(now_s):
            return 0.0
        candidates = [
            (server, self._state(server.entry.server_id))
            for server in self._context.directory.usable(service)
            if self._context.directory.accepts(server, now_s)
        ]
        if not all(state.reports_work for _, state in candidates):
            return 0.0
        rooms = self._rooms(candidates, now_s)
        return min((room.wait_s for room in rooms), default=0.0)

    def refuses(self, urgency: Urgency, *, is_late: bool) -> bool:
        """Counts a query; returns whether to refuse it; see `Sender`."""
        return self.order.refuses(urgency, read_clock_s(), is_late=is_late)

    def withdraw(self, service: str, tried: TriedServers) -> None:
        """Gives up a request that waits for a service; see `Sender`."""
        self.order.withdraw(service, tried)

    @staticmethod
    def _rooms(
        candidates: list[tuple[KnownServer, ServerState]], now_s: float
    ) -> Iterator[ServerRoom]:
        """Yields the load of servers; often the first one has room."""
        for server, state in candidates:
            yield state.room(max(1, server.entry.slot_count), now_s)

    def available_at_s(self, service: str) -> float:
        """Returns from when on a service accepts requests; see `Sender`."""
        directory, rollouts = self._context.directory, self._context.rollouts
        now_s = read_clock_s()
        if rollouts is None:
            return directory.available_at_s(service, now_s)
        return directory.available_at_s(
            service, now_s, lambda server: rollouts.may_use(server, now_s)
        )

    @property
    def is_cut_off(self) -> bool:
        """Whether only another node reaches servers; see `Sender`."""
        return self.has_relay_target and self._context.reach.is_silent(
            read_clock_s()
        )

    def oldest_sent_at_s(self) -> float | None:
        """Returns when the oldest request in flight was started."""
        return min(
            (
                next(iter(state.in_flight.values()))
                for state in self._states.values()
                if state.in_flight
            ),
            default=None,
        )

    def is_limited(self, service: str) -> bool:
        """Returns whether the limits of servers are used up; see `Sender`."""
        return self._context.directory.is_limited(service, read_clock_s())

    def forget(self, server_id: str) -> None:
        """Removes the state of a server that no longer exists."""
        self._states.pop(server_id, None)
        self._context.reach.forget(server_id)
        self._context.cold.forget(server_id)
        self._context.connections.forget(server_id)

    def send(
        self, spec: AttemptSpec, on_result: ResultHandler
    ) -> Attempt | SendRefusal:
        """Sends one attempt; see `Sender`."""
        now_s = read_clock_s()
        if spec.deadline_at_s - now_s < MIN_TIME_LEFT_S:
            return self._refuse(SendRefusal.OUT_OF_TIME)
        query = PlacementQuery(
            now_s,
            spec.history.typical_latency_s(),
            self._context.failure_domain,
            self.forecast,
        )
        server = self._choose(spec, query)
        if server in QUEUED_REFUSALS:
            self.order.add(spec, now_s)
        if isinstance(server, SendRefusal):
            return self._refuse(server)
        context = self._context
        if spec.is_retry:
            if not context.retry_budget.reserve(spec.service, now_s):
                return self._refuse(SendRefusal.NO_ALLOWANCE)
            self.retry_count += 1
        self._count_cold_request(spec.service, server, now_s)
        return self._start(spec, server, query, on_result)

    def _refuse(self, refusal: SendRefusal) -> SendRefusal:
        self.refusal_counts[refusal.name.lower()] += 1
        return refusal

    def _cold_rate_per_s(self, service: str) -> float:
        """Returns the request rate a cold server can handle; 0 for no limit."""
        if self.table is None:
            return 0.0
        settings = self.table.service_settings(service)
        return settings.cold_requests_per_s * self._context.cold_factor

    def _count_cold_request(
        self, service: str, server: KnownServer, now_s: float
    ) -> None:
        rate_per_s = self._cold_rate_per_s(service)
        if rate_per_s > 0 and now_s < server.cold_until_s:
            self._context.cold.reserve(
                server.entry.server_id, rate_per_s, now_s
            )

    def _connection_share(self, service: str) -> float:
        """Returns this node's share of each server's connection cap."""
        if self.table is None:
            return 1.0
        settings = self.table.service_settings(service)
        usable_count = settings.connection_cap * USABLE_CONNECTION_RATIO
        return usable_count / max(1.0, self.share_divisor)

    def _connection_cap(self, service: str) -> int:
        return max(1, int(self._connection_share(service)))

    def _choose(
        self, spec: AttemptSpec, query: PlacementQuery
    ) -> KnownServer | SendRefusal:
        directory, rollouts = self._context.directory, self._context.rollouts
        now_s = query.now_s
        servers: Sequence[KnownServer] = directory.usable(
            spec.service
        ) or directory.last_resort(spec.service, now_s)
        if rollouts is None:
            return self._choose_of(spec, query, servers)
        if not rollouts.may_use_any(servers, now_s):
            servers = [*servers, *directory.last_resort(spec.service, now_s)]
        choose_of = functools.partial(self._choose_of, spec, query)
        return rollouts.choose(spec.service, servers, now_s, choose_of)

    def _choose_of(
        self,
        spec: AttemptSpec,
        query: PlacementQuery,
        servers: Sequence[KnownServer],
    ) -> KnownServer | SendRefusal:
        context, now_s = self._context, query.now_s
        allowed = [
            server
            for server in servers
            if spec.tried.allows(server.entry.server_id)
        ]
        if not allowed:
            return SendRefusal.NO_SERVER
        usable = [
            server
            for server in allowed
            if context.directory.accepts(server, now_s)
        ]
        if not usable:
            is_paused = all(now_s < s.paused_until_s for s in allowed)
            return SendRefusal.PAUSED if is_paused else SendRefusal.LIMITED
        cap_count = self._connection_cap(spec.service)
        cold_rate_per_s = self._cold_rate_per_s(spec.service)
        candidates = []
        for server in usable:
            server_id = server.entry.server_id
            if server_id in spec.avoided_ids or (
                not context.connections.can_start(server_id, cap_count)
            ):
                continue
            if (
                cold_rate_per_s > 0
                and now_s < server.cold_until_s
                and now_s < context.cold.next_at_s(server_id)
            ):
                continue
            candidates.append((server, self._state(server_id)))
        if context.rollouts is not None:
            candidates = context.rollouts.narrow(spec, candidates, now_s)
        if (
            spec.urgency is not None
            and candidates
            and all(state.reports_work for _, state in candidates)
            and self.order.must_wait(
                spec, self._rooms(candidates, now_s), now_s
            )
        ):
            return SendRefusal.HELD
        chosen = choose_server(candidates, query, self._random)
        return chosen or SendRefusal.FULL

    def _state(self, server_id: str) -> ServerState:
        state = self._states.get(server_id)
        if state is None:
            state = self._states[server_id] = ServerState()
        return state

    def _start(
        self,
        spec: AttemptSpec,
        server: KnownServer,
        query: PlacementQuery,
        on_result: ResultHandler,
    ) -> Attempt | SendRefusal:
        entry = server.entry
        state = self._state(entry.server_id)
        key = next(self._keys)
        attempt = Attempt(
            self, server, state, spec, key, on_result, read_clock_s()
        )
        if spec.is_retry:
            attempt.retried_service = spec.service
        rollouts = self._context.rollouts
        if rollouts is not None:
            attempt.rollout = rollouts.start(spec, server, attempt.started_at_s)

        def encode(now_s: float) -> bytes | None:
            # The process may have been paused, or the connection may have
            # taken a while to open, so the conditions are checked again.
            time_left_s = spec.deadline_at_s - now_s
            if time_left_s < MIN_TIME_LEFT_S:
                return None
            if not self._context.directory.may_use(server, now_s):
                return None
            if attempt.rollout and not attempt.rollout.may_send(now_s):
                return None
            if spec.may_start is not None and not spec.may_start():
                return None
            if not self._charge(attempt, now_s):
                return None
            return spec.template.encode(entry.server_id, time_left_s)

        def check(reply: HttpReply) -> bool:
            echoed_id = reply.headers.get(self._id_header)
            return echoed_id is None or echoed_id == spec.template.request_id

        exchange = Exchange(
            encode,
            check,
            lambda result: self._on_result(attempt, result),
            expects_body=spec.template.expects_body,
            request_id=spec.template.request_id,
        )
        attempt.exchange = exchange
        self.sent_count += 1
        self._charge(attempt, attempt.started_at_s)
        state.record_sent(query.typical_latency_s)
        # To learn how far the report was right that it was chosen by.
        attempt.prediction = state.last_prediction
        state.in_flight[key] = attempt.started_at_s
        max_idle_s = ANY_IDLE_S if spec.is_retryable else FRESH_IDLE_S
        is_started = self._context.connections.start(
            entry.server_id,
            entry.address,
            exchange,
            max_idle_s,
            # Callers hardly use a node that isn't advertised. With less than
            # one connection for each node, idle ones would use up the cap.
            keeps_idle=self.is_advertised
            or self._connection_share(spec.service) >= 1,
        )
        if not is_started:
            attempt.exchange = None
            state.in_flight.pop(key, None)
            self._give_back(attempt)
            return self._refuse(SendRefusal.NOT_ALLOWED)
        return attempt

    def _charge(self, attempt: Attempt, now_s: float) -> bool:
        """Charges an attempt once to the limit that its server has named.

        The server may name it while the attempt waits for a connection.

        Returns:
            False if the attempt must not be sent.
        """
        limit = attempt.server.limit
        if limit is None or not limit.is_in_force:
            return True
        if attempt.charged_limit is None:
            if not limit.take(self._context.directory.limit_share_ratio, now_s):
                return False
            attempt.charged_limit = limit
        return True

    def _give_back(self, attempt: Attempt) -> None:
        """Gives back what was charged for an attempt that reached no server."""
        if attempt.retried_service:
            self._context.retry_budget.give_back(attempt.retried_service)
        if attempt.charged_limit is not None:
            attempt.charged_limit.give_back()
            attempt.charged_limit = None
        if attempt.rollout is not None:
            attempt.rollout.give_back()

    def cancel(self, attempt: Attempt) -> None:
        """Cancels an attempt; see `AttemptHandle`."""
        exchange = attempt.exchange
        if exchange is None:
            return
        if not attempt.is_sent:
            self._give_back(attempt)
        attempt.exchange = None
        attempt.state.in_flight.pop(attempt.key, None)
        now_s = read_clock_s()
        age_s = now_s - attempt.started_at_s
        attempt.history.record_latency(age_s)
        relative_age = age_s / attempt.history.typical_latency_s()
        attempt.state.record_abandoned(relative_age, now_s)
        if attempt.prediction is not None:
            self.forecast.observe_abandoned(attempt.prediction, relative_age)
        if attempt.rollout is not None:
            attempt.rollout.record_end(None, now_s)
        self.outcome_counts["cancelled"] += 1
        exchange.cancel()
        self.order.resume(attempt.server.entry.service)

    def _on_result(self, attempt: Attempt, result: ExchangeResult) -> None:
        if attempt.exchange is None:
            return
        sent_at_s = attempt.exchange.sent_at_s
        attempt.exchange = None
        attempt.state.in_flight.pop(attempt.key, None)
        if result.outcome is ExchangeOutcome.LOST and sent_at_s is not None:
            self._context.crash_watch.check(
                attempt.server.entry, attempt.template, sent_at_s
            )
        attempt_result = self._read_result(attempt, result)
        if not attempt_result.has_arrived:
            self._give_back(attempt)
        if attempt.rollout is not None:
            attempt.rollout.record_end(
                attempt_result.outcome,
                read_clock_s(),
                is_unexplained=self._is_unexplained(attempt_result.reply),
            )
        self.outcome_counts[attempt_result.outcome.value] += 1
        attempt.on_result(attempt_result)
        self.order.resume(attempt.server.entry.service)

    def _read_result(
        self, attempt: Attempt, result: ExchangeResult
    ) -> AttemptResult:
        now_s = read_clock_s()
        server_id = attempt.server_id
        state = attempt.state
        if result.outcome is ExchangeOutcome.NOT_SENT:
            return AttemptResult(
                AttemptOutcome.NOT_RUN, server_id, None, "not sent", False
            )
        reply = result.reply
        if reply is None:
            state.record_failure(now_s)
            is_sent = result.outcome is not ExchangeOutcome.NOT_CONNECTED
            outcome = AttemptOutcome.LOST if is_sent else AttemptOutcome.NOT_RUN
            return AttemptResult(
                outcome, server_id, None, result.detail, is_sent
            )
        self._context.reach.record_reply(server_id, now_s)
        self._record_load(state, server_id, reply, now_s)
        if reply.status != 421:
            # Otherwise another server answered at the address.
            self._record_announcements(attempt.server, reply, now_s)
            self._record_limit(attempt, reply, now_s)
        if self._not_run_header in reply.headers or reply.status == 421:
            state.record_failure(now_s)
            if reply.status == 421:
                # The address now belongs to another server; this server is
                # unreachable until its entry changes.
                attempt.server.has_wrong_address = True
            detail = f"the server answered {reply.status}, not run"
            return AttemptResult(
                AttemptOutcome.NOT_RUN, server_id, reply, detail, True
            )
        if "content-encoding" in reply.headers:
            state.record_failure(now_s)
            detail = "the reply has an encoding that was not asked for"
            return AttemptResult(
                AttemptOutcome.LOST, server_id, None, detail, True
            )
        is_success = 200 <= reply.status < 300
        if is_success and not reply.headers.get(self._signature_header):
            state.record_failure(now_s)
            detail = "the reply bears no signature of a backend server"
            return AttemptResult(
                AttemptOutcome.LOST, server_id, None, detail, True
            )
        if is_proof_of_life(reply.status):
            self._context.crash_watch.record_reply(attempt.template.identity)
        if is_success:
            latency_s = now_s - attempt.started_at_s
            attempt.history.record_latency(latency_s)
            relative_latency = latency_s / attempt.history.typical_latency_s()
            state.record_success(relative_latency, now_s)
            if attempt.prediction is not None:
                self.forecast.observe(attempt.prediction, relative_latency)
            return AttemptResult(AttemptOutcome.OK, server_id, reply, "", True)
        state.record_failure(now_s)
        detail = f"the server answered {reply.status}"
        return AttemptResult(
            AttemptOutcome.FAILED, server_id, reply, detail, True
        )

    def _is_unexplained(self, reply: HttpReply | None) -> bool:
        """Whether a server with a free slot refuses without a reason."""
        if (
            reply is None
            or reply.status != 503
            or self._leaving_header in reply.headers
            or "retry-after" in reply.headers
        ):
            return False
        report = LoadReport.from_header(
            reply.headers.get(self._load_header, "")
        )
        return (
            report is not None
            and report.running_count < report.slot_count
            and not report.waiting_count
        )

    def _record_load(
        self, state: ServerState, server_id: str, reply: HttpReply, now_s: float
    ) -> None:
        text = reply.headers.get(self._load_header)
        if text is None:
            return
        report = LoadReport.from_header(text)
        if report is None:
            self._count_unreadable(server_id, "load", text)
        else:
            state.record_load(report, now_s)

    def _record_announcements(
        self, server: KnownServer, reply: HttpReply, now_s: float
    ) -> None:
        """Records that a server leaves or wants no requests for a while."""
        directory, log = self._context.directory, self._context.log
        server_id = server.entry.server_id
        leaving = reply.headers.get(self._leaving_header)
        if leaving == LEAVING_VALUE:
            if directory.announce_leaving(server, now_s):
                self.leaving_count += 1
                log.log_view_change(
                    "backend server announced to leave", server=server_id
                )
        elif leaving is not None:
            self._count_unreadable(server_id, "leaving", leaving)
        retry_after = reply.headers.get("retry-after")
        if reply.status != 503 or retry_after is None:
            return
        pause_s, is_malformed = read_retry_after(retry_after)
        if is_malformed:
            self._count_unreadable(server_id, "retry_after", retry_after)
        if pause_s > 0:
            self.pause_count += 1
            directory.pause(server, now_s + pause_s)
            log.log_view_change(
                "backend server paused", server=server_id, for_s=pause_s
            )

    def _record_limit(
        self, attempt: Attempt, reply: HttpReply, now_s: float
    ) -> None:
        """Records the rate limit that a server names, or its end."""
        server, text = attempt.server, reply.headers.get(self._limit_header)
        server_id, limit = server.entry.server_id, server.limit
        if text is None:
            if limit is None or not limit.end(attempt.started_at_s):
                return
            self._context.log.log_view_change(
                "backend server limit ended",
                server=server_id,
                for_s=round(now_s - limit.since_s, 3),
                sent=limit.sent_count,
            )
            return
        per_s, is_malformed = read_server_limit(text)
        if is_malformed:
            self._count_unreadable(server_id, "rate_limit", text)
        if per_s is None:
            return
        self.limit_count += 1
        if limit is None:
            token_count = self._random.uniform(-0.5, 0.5)
            limit = server.limit = ServerLimit(token_count, now_s)
        if limit.name(per_s, now_s):
            self._context.log.log_view_change(
                "backend server limited", server=server_id, per_s=per_s
            )

    def _count_unreadable(self, server_id: str, source: str, text: str) -> None:
        self.unreadable_counts[source] += 1
        self._context.log.log_view_change(
            "unreadable reply header",
            server=server_id,
            header=source,
            value=text[:MAX_LOGGED_VALUE_CHARS],
        )
