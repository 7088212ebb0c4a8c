"""Hands a request to another node.

That is so while this node reaches no backend server: callers keep addresses of the
directory for seconds, and use open connections until they get new ones. It is also
so if servers have crashed under the request: then one node sends it for all.

A request is handed on once: the node that gets it handles it by itself.
"""

from collections.abc import Callable
from typing import Final, NamedTuple

from mulberrybay_core import caller_errors
from mulberrybay_core.caller_messages import CallerAnswer
from mulberrybay_core.edge_nodes import EdgeNodeInfo
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
# Why a request is refused that no other node gets.
CUT_OFF: Final = "no backend server can be reached"
OWNER_UNREACHED: Final = "the node that sends this request can't be reached"


class RelayTargets(NamedTuple):
    """How requests get to other nodes.

    Attributes:
        connections: Connections to the other nodes.
        choose: Returns a node that handles the request and whose name is not
            among those given; None if there is none.
        refusal_reason: Why a request is refused that no such node gets.
    """

    connections: ServerConnections
    choose: Callable[[set[str]], EdgeNodeInfo | None]
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

    def start(self) -> None:
        """Sends the request to another node, or refuses it without one."""
        self._set_timer(self._last_answer_at_s, self._on_late)
        self._send()

    def _send(self) -> None:
        node = None
        if len(self._tried) < MAX_NODE_COUNT:
            node = self._targets.choose(self._tried)
        if node is None:
            self._refuse(self._targets.refusal_reason)
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
            self._refuse("no time is left")

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
            self._record_end("relayed", node=self._node_name)
            self._finish(
                to_caller_answer(
                    result.reply,
                    self._context.names,
                    expects_body=self._job.template.expects_body,
                )
            )
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

    def _end_condemned(self) -> None:
        """Leaves the answer to the other node, which knows if it has run."""

    def _fail(self, reason: str, answer: CallerAnswer) -> None:
        """Ends a request that a backend server may have run."""
        self._record_end("failed", reason=reason)
        self._finish(answer)

    def _end_unanswered(self, reason: str, answer: CallerAnswer) -> None:
        """Ends a request before the other node has answered."""
        exchange = self._exchange
        if exchange is not None and exchange.sent_at_s is None:
            self._refuse(reason)
        else:
            self._fail(reason, answer)

    def _on_late(self) -> None:
        if not self._has_ended:
            self._end_unanswered("the time is over", caller_errors.OUT_OF_TIME)

    def _give_up(self) -> None:
        self._end_unanswered(EXITING, caller_errors.INCOMPLETE_REPLY)

    def _cancel_attempts(self) -> None:
        if self._exchange is not None:
            self._exchange.cancel()
            self._exchange = None
