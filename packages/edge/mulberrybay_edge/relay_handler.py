"""Hands a request to another node.

That is so while this node reaches no backend server: callers keep addresses of the
directory for seconds, and use open connections until they get new ones. It is also
so if servers have crashed under the request: then one node sends it for all.

A request is handed on once: the node that gets it handles it by itself. If that node
stops to run meanwhile, another one gets the request, if it may run again.
"""

from collections.abc import Callable
from typing import Final, NamedTuple

from mulberrybay_core import caller_errors
from mulberrybay_core.caller_messages import CallerAnswer
from mulberrybay_core.edge_nodes import EdgeNodeInfo
from mulberrybay_core.routing import RouteKind
from mulberrybay_edge.exchange import (
    Exchange,
    ExchangeOutcome,
    ExchangeResult,
)
from mulberrybay_edge.request_context import (
    EXITING,
    HandlerContext,
    RequestHandler,
    RequestJob,
    to_caller_answer,
)
from mulberrybay_edge.server_connections import ServerConnections
from mulberrybay_runtime.http_exchange import HttpReply

# A node that can't be reached either is replaced this many times.
MAX_NODE_COUNT: Final = 3
# The other node must give its last answer this long before this node does.
RELAY_MARGIN_S: Final = 0.01
# A node closes connections of callers that are idle, so only fresh ones are used.
MAX_IDLE_S: Final = 1.0
# How often a handler checks that the other node still runs.
CHECK_PERIOD_S: Final = 0.1
# Why a request is refused that no other node gets.
CUT_OFF: Final = "no backend server can be reached"
OWNER_UNREACHED: Final = "the node that sends this request can't be reached"


class RelayTargets(NamedTuple):
    """How requests get to other nodes.

    Attributes:
        connections: Connections to the other nodes.
        choose: Returns a node that handles the request and whose name is not
            among those given; None if there is none.
        is_running: Returns whether a node has lately sent heartbeats.
        refusal_reason: Why a request is refused that no such node gets.
    """

    connections: ServerConnections
    choose: Callable[[set[str]], EdgeNodeInfo | None]
    is_running: Callable[[str], bool]
    refusal_reason: str


class RelayHandler(RequestHandler):
    """Handles a request by handing it to another node."""

    kind = "relay"

    def __init__(
        self, context: HandlerContext, job: RequestJob, targets: RelayTargets
    ) -> None:
        super().__init__(context, job)
        self._targets = targets
        self._tried: set[str] = set()
        self._exchange: Exchange | None = None
        self._node_name = ""
        # Whether a node may have sent the request to a backend server.
        self._may_have_run = False

    def start(self) -> None:
        """Sends the request to another node, or refuses it without one."""
        self._send()
        self._schedule_timer()

    def _send(self) -> None:
        node = None
        if len(self._tried) < MAX_NODE_COUNT:
            node = self._targets.choose(self._tried)
        if node is None:
            self._end_unsent(self._targets.refusal_reason)
            return
        self._tried.add(node.name)
        self._node_name = node.name
        exchange = Exchange(
            lambda now_s: self._encode(node.name, now_s),
            self._check,
            self._on_result,
            expects_body=self._job.template.expects_body,
            request_id=self._job.template.request_id,
        )
        self._exchange = exchange
        is_started = self._targets.connections.start(
            node.name, node.caller_address, exchange, MAX_IDLE_S
        )
        if not is_started:
            self._exchange = None
            self._end_unsent("no time is left")

    def _encode(self, node_name: str, now_s: float) -> bytes | None:
        time_left_s = self._last_answer_at_s - RELAY_MARGIN_S - now_s
        if time_left_s <= 0:
            return None
        return self._job.template.encode(node_name, time_left_s)

    def _check(self, reply: HttpReply) -> bool:
        header = self._context.names.request_id.lower()
        request_id = self._job.template.request_id
        return reply.headers.get(header, request_id) == request_id

    def _on_result(self, result: ExchangeResult) -> None:
        self._exchange = None
        if self._has_ended:
            return
        if result.reply is not None:
            self._pass_on(result.reply)
            return
        self._failures.append(f"{self._node_name}: {result.detail}")
        if result.outcome in (
            ExchangeOutcome.NOT_CONNECTED,
            ExchangeOutcome.NOT_SENT,
        ):
            self._send()
        else:
            self._fail(
                "the other node gave no answer", caller_errors.INCOMPLETE_REPLY
            )

    def _pass_on(self, reply: HttpReply) -> None:
        """Answers with what the other node has answered.

        That it did not run the request says nothing of nodes that had it before.
        """
        is_refusal = reply.status in caller_errors.NODE_REFUSAL_STATUSES or (
            reply.status == caller_errors.UNKNOWN_KEY.status
            and self._job.access is not None
            and self._job.access.needs_keys
        )
        if self._may_have_run and is_refusal:
            self._fail(
                f"{self._node_name} refused it", caller_errors.INCOMPLETE_REPLY
            )
            return
        self._record_end("relayed", node=self._node_name)
        self._finish(
            to_caller_answer(
                reply,
                self._context.names,
                expects_body=self._job.template.expects_body,
            )
        )

    def _end_condemned(self) -> None:
        """Leaves the answer to the other node, which knows if it has run."""

    def _fail(self, reason: str, answer: CallerAnswer) -> None:
        """Ends a request that a backend server may have run."""
        self._record_end("failed", reason=reason)
        self._finish(answer)

    def _end_unsent(self, reason: str) -> None:
        """Ends a request that no node handles."""
        if self._may_have_run:
            self._fail(reason, caller_errors.INCOMPLETE_REPLY)
        else:
            self._refuse(reason)

    def _end_unanswered(self, reason: str, answer: CallerAnswer) -> None:
        """Ends a request before the other node has answered."""
        if self._has_started():
            self._fail(reason, answer)
        else:
            self._refuse(reason)

    def _has_started(self) -> bool:
        return self._may_have_run or self._is_sent()

    def _is_sent(self) -> bool:
        exchange = self._exchange
        return exchange is None or exchange.sent_at_s is not None

    def _schedule_timer(self) -> None:
        if not self._has_ended:
            check_at_s = self._context.clock() + CHECK_PERIOD_S
            self._set_timer(
                min(check_at_s, self._last_answer_at_s), self._on_timer
            )

    def _on_timer(self) -> None:
        if self._has_ended:
            return
        if self._context.clock() >= self._last_answer_at_s:
            self._end_unanswered("the time is over", caller_errors.OUT_OF_TIME)
            return
        if not self._targets.is_running(self._node_name):
            self._replace_node()
        self._schedule_timer()

    def _replace_node(self) -> None:
        """Sends the request to another node, as this one has stopped to run.

        One that may not run again waits on: the node may only seem to stand still.
        """
        may_repeat = self._job.route.kind is RouteKind.IDEMPOTENT
        if self._is_sent() and not may_repeat:
            return
        self._may_have_run = self._may_have_run or self._is_sent()
        self._failures.append(f"{self._node_name}: no heartbeats")
        self._cancel_attempts()
        self._send()

    def _give_up(self) -> None:
        self._end_unanswered(EXITING, caller_errors.INCOMPLETE_REPLY)

    def _cancel_attempts(self) -> None:
        if self._exchange is not None:
            self._exchange.cancel()
            self._exchange = None
