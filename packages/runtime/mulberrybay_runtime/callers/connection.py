"""One connection from a caller: answers requests in the order received."""

from collections import deque
from collections.abc import Callable
from http import HTTPStatus
from typing import Final, Protocol

from mulberrybay_core import caller_errors
from mulberrybay_core.caller_messages import (
    CallerAnswer,
    CallerRequest,
    CallerService,
    CancelRequest,
    HeaderNames,
)
from mulberrybay_core.callers.connection_limit import ConnectionLimit
from mulberrybay_core.callers.memory import (
    SMALL_BYTES,
    HeldKind,
    running_bytes,
)
from mulberrybay_core.overload.answer_reserve import AnswerReserve
from mulberrybay_core.routing import CallerLimits
from mulberrybay_runtime.callers import resources as reasons
from mulberrybay_runtime.callers.parser import (
    ReceivedRequest,
    RequestReader,
    decode_request,
)
from mulberrybay_runtime.callers.resources import CallerResources
from mulberrybay_runtime.callers.timing import ConnectionTiming
from mulberrybay_runtime.callers.turns import TurnLoop
from mulberrybay_runtime.clock import read_clock_s
from mulberrybay_runtime.streams import Stream

# How long a connection stays open for reading after its last answer, so that
# the caller can read that answer before the connection is reset.
LINGER_S: Final = 1.0
# Requests that a caller may pipeline on one connection.
MAX_PIPELINED_COUNT: Final = 32
# How many bytes of pipelined requests wait here; further ones wait in the
# caller's and the kernel's buffers.
MAX_WAITING_BYTES: Final = 64 * 1024
# No further request of a connection is started while so much of its answers is
# unread.
MAX_UNREAD_BYTES: Final = 256 * 1024
# The bytes parsed in one turn.
READ_SIZE_BYTES: Final = 16 * 1024
# A request that takes no more than this is started in the turn in which it was
# read.
MAX_INSTANT_BYTES: Final = 4 * 1024
# A body may take this many idle timeouts, as long as no two of its bytes are
# more than one apart.
BODY_TIME_RATIO: Final = 4
CONTINUE_ANSWER: Final = b"HTTP/1.1 100 Continue\r\n\r\n"
REASON_PHRASES: Final = {status.value: status.phrase for status in HTTPStatus}
_FAILURE_REASONS: Final = {
    caller_errors.BAD_REQUEST: reasons.MALFORMED,
    caller_errors.NO_HOST: reasons.MALFORMED,
    caller_errors.UNSUPPORTED_VERSION: reasons.MALFORMED,
    caller_errors.HEADERS_TOO_LARGE: reasons.HEADERS_TOO_LARGE,
    caller_errors.BODY_TOO_LARGE: reasons.BODY_TOO_LARGE,
}


def encode_answer(
    answer: CallerAnswer, *, closes: bool, has_body: bool = True
) -> bytes:
    """Returns the encoded answer, without the body if `has_body` is false."""
    reason = REASON_PHRASES.get(answer.status, "Unknown")
    lines = [f"HTTP/1.1 {answer.status} {reason}"]
    lines += [f"{name}: {value}" for name, value in answer.headers]
    if closes:
        lines.append("Connection: close")
    body_bytes = answer.body_bytes
    if body_bytes is None:
        body_bytes = len(answer.body)
    lines.append(f"Content-Length: {body_bytes}\r\n\r\n")
    head = "\r\n".join(lines).encode("latin-1")
    return head + answer.body if has_body else head


class ConnectionOwner(Protocol):
    """The server that a connection belongs to; see `CallerServer`."""

    names: HeaderNames
    service: CallerService
    limits: CallerLimits
    is_stopping: bool
    is_refusing: bool
    resources: CallerResources
    connection_limit: ConnectionLimit["CallerConnection"]
    typical_answer_bytes: float
    answer_reserve: AnswerReserve | None
    turns: TurnLoop | None
    encode_error: Callable[[CallerAnswer], CallerAnswer]

    def record_fault(self, request_id: str, error: Exception) -> None:
        """Logs a fault that kept a request from being started."""

    def record_answer(self, body_bytes: int) -> None:
        """Records the size of an answer."""

    def remove_connection(self, connection: "CallerConnection") -> None:
        """Removes a closed connection."""


class CallerConnection:
    """A connection from a caller; handles its requests one at a time.

    It reads and starts requests in its turns; without a `TurnLoop`, at once.

    Attributes:
        account: What it holds.
        address: Where its caller is.
        awaits_turn: Whether it waits for its turn; see `TurnTaker`.
        is_open: Whether it was not closed yet.
        last_active_at_s: When bytes of an answer were last submitted or sent.
    """

    def __init__(self, server: ConnectionOwner, stream: Stream) -> None:
        self._server = server
        self._stream = stream
        self._timing = ConnectionTiming(stream, server.answer_reserve)
        self._reader = RequestReader(
            self._on_request,
            self._on_expectation,
            self._timing,
            server.names.expected_server,
        )
        self._pending: deque[ReceivedRequest | CallerAnswer] = deque()
        self._waiting_bytes = 0
        self._is_busy = False
        self._cancel: CancelRequest | None = None
        self._request_count = 0
        self._is_ending = False
        # Whether an error answer is queued behind earlier requests.
        self._has_failed = False
        # Whether bytes may wait in the kernel's buffer.
        self._is_readable = False
        # Since when it waits for its turn.
        self._waits_since_s = 0.0
        self.address = stream.peer.host
        self.awaits_turn = False
        self.is_open = True
        self.last_active_at_s = read_clock_s()
        self.account = server.resources.memory.open(
            self.address, self._give_way, self.last_active_at_s
        )
        stream.read_size_bytes = READ_SIZE_BYTES
        stream.sent_callback = self._on_sent
        if server.turns is not None:
            stream.readable_callback = self._on_readable

    @property
    def is_idle(self) -> bool:
        """Whether no request is being read or answered."""
        return (
            not self.awaits_turn
            and not self._is_busy
            and not self._pending
            and self._reader.message_started_at_s is None
        )

    @property
    def has_unread(self) -> bool:
        """Whether bytes of the caller wait to be read."""
        return self._stream.unread_bytes() > 0

    @property
    def has_unsent(self) -> bool:
        """Whether a part of an answer waits for the caller to read."""
        return bool(self._stream.unsent)

    @property
    def is_ending(self) -> bool:
        """Whether the last answer of the connection has been written."""
        return self._is_ending

    # Stream callbacks.

    def on_connected(self, stream: Stream) -> None:
        """Does nothing: callers open the connections."""

    def on_data(self, stream: Stream, data: bytes) -> None:
        """Parses received bytes and enforces the size limits."""
        if self._is_ending or self._has_failed:
            return
        if self._server.turns is None:
            self._server.connection_limit.record_busy(self)
        read_bytes = self._reader.read_bytes
        error = self._reader.feed(data, self._server.limits)
        if error is not None:
            if not self._has_failed:
                self._fail(error)
        else:
            self._charge_input(self._reader.read_bytes - read_bytes)
        # Not within the parser, which takes a fault there for a parse error.
        if self._server.turns is None:
            self._start_next()
            self._update()
        elif (
            self._waiting_bytes <= MAX_INSTANT_BYTES
            and self._pending
            and self._can_start()
        ):
            self._start_one()

    def on_closed(self, stream: Stream, reason: str) -> None:
        """Cancels the request in progress: the caller has disconnected."""
        del stream, reason
        self._release()
        cancel = self._cancel
        self._cancel = None
        if cancel is not None:
            cancel()

    def _on_sent(self) -> None:
        """Handles that the caller has read a part of its answers."""
        unsent_bytes = len(self._stream.unsent)
        now_s = read_clock_s()
        read_bytes = self.account.held[HeldKind.ANSWER] - unsent_bytes
        self.account.record_progress(read_bytes, now_s)
        self.account.hold(HeldKind.ANSWER, unsent_bytes)
        self.last_active_at_s = now_s
        self._timing.on_sent(now_s)
        self._start_next()
        self._update()

    # Turns; see `TurnTaker`.

    def _on_readable(self) -> None:
        """Handles that bytes have arrived, which are read in a turn."""
        self._is_readable = True
        self._await_turn()

    def _await_turn(self) -> None:
        if self._server.turns is not None and not self.awaits_turn:
            self._waits_since_s = read_clock_s()
            self._server.connection_limit.record_busy(self)
            self._server.turns.add(self)

    def next_bytes(self) -> int:
        """Returns the size of what is done in the next turn."""
        if self._can_start():
            received = self._pending[0]
            if isinstance(received, ReceivedRequest):
                return received.held_bytes
            return 0
        return min(READ_SIZE_BYTES, self._stream.unread_bytes())

    def take_turn(self) -> None:
        """Starts a request or reads bytes; awaits another turn for the next."""
        if self._reader.message_started_at_s is not None:
            # The caller isn't to blame for the time in which nothing was read.
            self._reader.postpone_times(read_clock_s() - self._waits_since_s)
        if self._pending and self._can_start():
            self._start_one()
        elif self._is_readable and not self._stream.is_paused:
            self._is_readable = self._stream.read()
        if not self.is_open:
            return
        if (self._pending and self._can_start()) or (
            self._is_readable and not self._stream.is_paused
        ):
            self._await_turn()
        self._update()

    # Callbacks of the reader.

    def _on_expectation(self) -> None:
        self._stream.send(CONTINUE_ANSWER)

    def _on_request(self, request: ReceivedRequest | CallerAnswer) -> None:
        """Queues a complete request."""
        if self._is_ending or self._has_failed:
            return
        self._pending.append(request)
        if isinstance(request, ReceivedRequest):
            self._waiting_bytes += request.held_bytes
        if len(self._pending) > MAX_PIPELINED_COUNT + (not self._is_busy):
            self._fail(caller_errors.BAD_REQUEST)

    # What the connection holds.

    def _charge_input(self, progress_bytes: int) -> None:
        """Charges the incomplete request, which may be refused."""
        account = self.account
        held_bytes = self._reader.held_bytes
        added_bytes = held_bytes - account.held[HeldKind.INPUT]
        if held_bytes:
            now_s = read_clock_s()
            account.record_progress(progress_bytes, now_s)
            if not self._server.resources.memory.admit(
                account,
                added_bytes,
                now_s,
                is_small=account.held_bytes + added_bytes <= SMALL_BYTES,
            ):
                self._server.resources.record(reasons.REFUSED_FOR_MEMORY)
                self._fail(caller_errors.SHORT_OF_MEMORY)
                return
        account.hold(HeldKind.INPUT, held_bytes)

    def _give_way(self) -> None:
        """Frees what the connection holds, as the node is short of memory."""
        self._server.resources.record(reasons.CLOSED_FOR_MEMORY)
        if self._stream.unsent or self._pending or self._is_ending:
            self.close()
        else:
            self._fail(caller_errors.SHORT_OF_MEMORY)
            self._update()

    def _update(self) -> None:
        """Updates what depends on the state after a callback."""
        self.account.hold(HeldKind.WAITING, self._waiting_bytes)
        has_unread = bool(self._stream.unsent)
        must_wait = not self._is_ending and (
            self._waiting_bytes > MAX_WAITING_BYTES
            or (
                bool(self._pending)
                and not self._is_busy
                and not self._can_start()
            )
        )
        if must_wait:
            self._stream.pause_reading()
        elif self._stream.is_paused:
            self._reader.restart_times(read_clock_s())
            self._stream.resume_reading()
        if not has_unread and (self._is_ending or self.is_idle):
            self._server.connection_limit.record_idle(self)

    def _release(self) -> None:
        """Frees what the connection holds."""
        self.is_open = False
        self._server.remove_connection(self)
        if self._server.turns is not None:
            self._server.turns.remove(self)
        self._server.resources.memory.remove(self.account)
        self._pending.clear()
        self._waiting_bytes = 0
        self._reader.close()
        self._stream.sent_callback = None
        self._stream.readable_callback = None

    # Answers.

    def _can_start(self) -> bool:
        """Whether the next request may be started, or its error be sent."""
        return (
            bool(self._pending)
            and not self._is_busy
            and not self._is_ending
            and len(self._stream.unsent) <= MAX_UNREAD_BYTES
        )

    def _start_next(self) -> None:
        """Starts what may be started, in a turn if there are turns."""
        if self._server.turns is not None:
            if self._pending and self._can_start():
                self._await_turn()
            return
        while self._can_start():
            self._start_one()

    def _start_one(self) -> None:
        """Starts the next request, or sends its error."""
        received = self._pending.popleft()
        if isinstance(received, CallerAnswer):
            self._answer_error(received)
            return
        self._waiting_bytes -= received.held_bytes
        if self._server.is_refusing:
            self._refuse(
                caller_errors.STOPPING, keeps_alive=received.keeps_alive
            )
            return
        if not self._admit(received):
            self._refuse(
                caller_errors.SHORT_OF_MEMORY,
                keeps_alive=received.keeps_alive,
            )
            return
        request = decode_request(received, self._server.names)
        if isinstance(request, CallerAnswer):
            self.account.hold(HeldKind.RUNNING, 0)
            self._answer_error(request)
            return
        self._submit(request, keeps_alive=received.keeps_alive)

    def _admit(self, received: ReceivedRequest) -> bool:
        """Charges what a request takes while it runs; False if that is short.

        From then on it is not refused for memory, as it may be forwarded.
        """
        cost_bytes = running_bytes(
            len(received.head), received.line_count, len(received.body)
        )
        all_bytes = cost_bytes + int(self._server.typical_answer_bytes)
        now_s = read_clock_s()
        if not self._server.resources.memory.admit(
            self.account,
            all_bytes,
            now_s,
            is_small=cost_bytes <= SMALL_BYTES,
        ):
            self._server.resources.record(reasons.REFUSED_FOR_MEMORY)
            return False
        self.account.progress_at_s = now_s
        self.account.hold(HeldKind.RUNNING, all_bytes)
        return True

    def _submit(self, request: CallerRequest, *, keeps_alive: bool) -> None:
        self._is_busy = True
        self._request_count += 1
        number = self._request_count
        has_body = request.method != "HEAD"

        def reply(answer: CallerAnswer) -> None:
            is_current = number == self._request_count and self._is_busy
            if is_current and self.is_open:
                self._is_busy = False
                self._cancel = None
                self.account.hold(HeldKind.RUNNING, 0)
                self._server.record_answer(len(answer.body))
                self._answer(answer, keeps_alive=keeps_alive, has_body=has_body)
                self._start_next()
                self._update()

        try:
            cancel = self._server.service.submit(request, reply)
        except Exception as error:
            # The request may be with a backend server by now.
            self._server.record_fault(request.request_id, error)
            reply(caller_errors.INCOMPLETE_REPLY)
            return
        if self._is_busy and number == self._request_count:
            self._cancel = cancel

    def _answer(
        self, answer: CallerAnswer, *, keeps_alive: bool, has_body: bool = True
    ) -> None:
        # Requests that were read whole are answered, also during a stop.
        is_last = self._server.is_stopping and not self._pending
        closes = not keeps_alive or is_last
        self.last_active_at_s = read_clock_s()
        self._stream.send(
            encode_answer(answer, closes=closes, has_body=has_body)
        )
        self._timing.on_answer(self.last_active_at_s)
        unsent_bytes = len(self._stream.unsent)
        if unsent_bytes:
            self._hold_answers(unsent_bytes)
        if closes:
            self._end()

    def _hold_answers(self, unsent_bytes: int) -> None:
        """Charges unread answers; others give way if the budget is short."""
        self.account.hold(HeldKind.ANSWER, unsent_bytes)
        self._server.resources.memory.admit(
            self.account, 0, self.last_active_at_s
        )

    def _fail(self, answer: CallerAnswer) -> None:
        """Answers with an error and ends the connection.

        Bytes that follow can't be parsed reliably.
        """
        self._reader.close()
        self.account.hold(HeldKind.INPUT, 0)
        if self._is_busy or self._pending:
            # Earlier requests are answered first, then the error is sent and
            # the connection ends.
            self._pending.append(answer)
            self._has_failed = True
            return
        self._answer_error(answer)

    def _answer_error(self, answer: CallerAnswer) -> None:
        """Answers what can't be handled, and ends the connection."""
        reason = _FAILURE_REASONS.get(answer)
        if reason is not None:
            self._server.resources.record(reason)
        self._refuse(answer, keeps_alive=False)

    def _refuse(self, answer: CallerAnswer, *, keeps_alive: bool) -> None:
        """Answers a request with an error of this node."""
        self._answer(self._server.encode_error(answer), keeps_alive=keeps_alive)

    def _end(self) -> None:
        self._is_ending = True
        self._pending.clear()
        self._waiting_bytes = 0
        self._reader.close()
        self.account.hold(HeldKind.INPUT, 0)
        self.account.hold(HeldKind.WAITING, 0)
        self._stream.half_close_when_sent()

    def sweep(self, now_s: float) -> None:
        """Closes the connection if a timeout has passed or the caller left."""
        if self._stream.is_paused and not self._stream.unsent:
            # The poller doesn't watch it while a request is in progress.
            self._stream.close_if_disconnected()
        limits = self._server.limits
        inactive_s = now_s - self.last_active_at_s
        started_at_s = self._reader.message_started_at_s
        if self._stream.unsent and not self._is_busy:
            if inactive_s > limits.idle_timeout_s:
                self._server.resources.record(reasons.UNREAD)
                self.close()
        elif self._is_ending:
            if inactive_s > LINGER_S:
                self.close()
        elif started_at_s is not None:
            if not self._stream.is_paused and not self.awaits_turn:
                self._check_message_time(now_s, started_at_s)
        elif self.is_idle and inactive_s > limits.idle_timeout_s:
            self.close()

    def _check_message_time(self, now_s: float, started_at_s: float) -> None:
        """Refuses a request whose head or body takes too long."""
        limits = self._server.limits
        taken_s = now_s - started_at_s
        if not self._reader.is_head_read:
            is_late = taken_s > limits.header_timeout_s
            reason = reasons.SLOW_HEAD
        else:
            max_s = (
                limits.header_timeout_s
                + BODY_TIME_RATIO * limits.idle_timeout_s
            )
            is_late = taken_s > max_s or (
                now_s - self._reader.body_at_s > limits.idle_timeout_s
            )
            reason = reasons.SLOW_BODY
        if is_late:
            self._server.resources.record(reason)
            self._fail(caller_errors.REQUEST_TIMEOUT)
            self._update()

    def close(self) -> None:
        """Closes the connection."""
        self._release()
        self._stream.close()
