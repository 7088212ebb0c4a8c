"""The client of the platform's object store.

One kept connection carries one request at a time; requests that wait are
queued up to a limit. Watches have connections of their own, which do not
count towards that of the requests. Every request has a timer, since the store
can be slow or a connection silent.
"""

from collections import Counter, deque
from collections.abc import Callable
from typing import Final, NamedTuple, Self, TypeVar

import httptools

from mulberrybay_core.addresses import Address
from mulberrybay_core.errors import Failure, FailureKind, RunState, Step
from mulberrybay_core.store_messages import (
    FleetHandler,
    JsonObject,
    ListHandler,
    ObjectHandler,
    ObjectList,
    WriteHandler,
)
from mulberrybay_platform.dialect import StoreCall, StoreDialect
from mulberrybay_platform.object_codec import ObjectDialect
from mulberrybay_platform.vm_list import decode_vm_list
from mulberrybay_runtime.clock import read_clock_s
from mulberrybay_runtime.http_exchange import (
    HttpReply,
    ReplyParser,
    ReplyTooLargeError,
    encode_request,
)
from mulberrybay_runtime.streams import Stream, Streams
from mulberrybay_runtime.timers import Timer, Timers

MAX_QUEUED_COUNT: Final = 256
MAX_CONNECTION_COUNT: Final = 4
WATCH_GRACE_S: Final = 2.0
FAILING_COUNT: Final = 3

T = TypeVar("T")
HttpResult = HttpReply | Failure


class PlatformSettings(NamedTuple):
    """How to reach the platform.

    Attributes:
        address: Where its object API listens.
        timeout_s: How long a call may take.
        detects_silence: Whether probes of the kernel end connections whose
            peer has fallen silent.
    """

    address: Address
    timeout_s: float = 1.0
    detects_silence: bool = False


class _Call:
    """One request to the store."""

    def __init__(
        self,
        operation: str,
        data: bytes,
        timeout_s: float,
        reply: Callable[[HttpResult], None],
    ) -> None:
        self.operation = operation
        self.data = data
        self.timeout_s = timeout_s
        self.reply: Callable[[HttpResult], None] | None = reply
        self.timer: Timer | None = None
        self.was_sent = False
        self.started_at_s = read_clock_s()

    def finish(self, result: HttpResult) -> None:
        """Gives the result, once."""
        if self.timer is not None:
            self.timer.cancel()
        reply = self.reply
        self.reply = None
        if reply is not None:
            reply(result)


class _Connection:
    """One kept connection, with at most one call on it."""

    def __init__(self, client: "PlatformClient", call: _Call) -> None:
        self._client = client
        self._parser = ReplyParser()
        self.call: _Call | None = call
        self.stream: Stream | None = None
        self.used_at_s = read_clock_s()

    def on_connected(self, stream: Stream) -> None:
        """Sends the call that waits for the connection."""
        if self.call is not None:
            self.call.was_sent = stream.send(self.call.data)

    def start(self, call: _Call) -> None:
        """Sends a call on the open connection."""
        self.call = call
        if self.stream is not None:
            call.was_sent = self.stream.send(call.data)

    def on_data(self, stream: Stream, data: bytes) -> None:
        """Takes bytes of a reply."""
        try:
            replies = self._parser.feed(data)
        except (httptools.HttpParserError, ReplyTooLargeError):
            stream.close()
            self._client.on_connection_lost(self, "malformed reply")
            return
        for reply in replies:
            self._client.on_reply(self, reply)

    def on_closed(self, stream: Stream, reason: str) -> None:
        """The connection has ended."""
        del stream
        self._client.on_connection_lost(self, reason)


def _decode(
    result: HttpResult, decode: Callable[[HttpReply], T | Failure]
) -> T | Failure:
    """Returns what a reply says; a failure stays one."""
    return result if isinstance(result, Failure) else decode(result)


class PlatformClient:
    """Speaks the platform's object API; see `ObjectStore`."""

    def __init__(
        self,
        settings: PlatformSettings,
        streams: Streams,
        timers: Timers,
        dialect: StoreDialect | None = None,
    ) -> None:
        self._settings = settings
        self._dialect: StoreDialect = dialect or ObjectDialect()
        self._streams = streams
        self._timers = timers
        self._idle: list[_Connection] = []
        self._busy: set[_Connection] = set()
        self._watching: set[_Connection] = set()
        self._queue: deque[_Call] = deque()
        self._failure_count = 0
        self.call_counts: Counter[str] = Counter()
        self.failure_counts: Counter[str] = Counter()

    def __enter__(self) -> Self:
        return self

    def __exit__(self, *_: object) -> None:
        for connection in [*self._idle, *self._busy, *self._watching]:
            if connection.stream is not None:
                connection.stream.close()

    @property
    def is_failing(self) -> bool:
        """Whether the last few calls all failed.

        The list of VMs is read all the time, so that a recovery shows soon.
        """
        return self._failure_count >= FAILING_COUNT

    def read(self, kind: str, name: str, reply: ObjectHandler) -> None:
        """Reads an object; None if there is none."""

        def on_result(result: HttpResult) -> None:
            reply(_decode(result, self._dialect.decode_object))

        self._request(self._dialect.read(kind, name), on_result)

    def list_kind(self, kind: str, reply: ListHandler) -> None:
        """Reads all objects of a kind."""
        self._list_page(kind, "", None, reply)

    def _list_page(
        self,
        kind: str,
        after_name: str,
        pages: ObjectList | None,
        reply: ListHandler,
    ) -> None:
        """Reads one page after another; changes since the first are watched."""

        def on_page(page: ObjectList) -> None:
            whole = page
            if pages is not None:
                whole = pages._replace(
                    items=pages.items + page.items,
                    changed_version=max(
                        pages.changed_version, page.changed_version
                    ),
                )
            if page.next_name:
                self._list_page(kind, page.next_name, whole, reply)
            else:
                reply(whole)

        def on_result(result: HttpResult) -> None:
            page = _decode(result, self._dialect.decode_list)
            if isinstance(page, Failure):
                reply(page)
            else:
                on_page(page)

        self._request(self._dialect.list_kind(kind, after_name), on_result)

    def write(
        self,
        kind: str,
        name: str,
        value: JsonObject,
        expected_version: int,
        reply: WriteHandler,
    ) -> None:
        """Writes an object if its version is as expected; 0 for absent."""

        def on_result(result: HttpResult) -> None:
            reply(_decode(result, self._dialect.decode_write))

        self._request(
            self._dialect.write(kind, name, value, expected_version), on_result
        )

    def delete(
        self, kind: str, name: str, expected_version: int, reply: WriteHandler
    ) -> None:
        """Deletes an object if its version is as expected."""

        def on_result(result: HttpResult) -> None:
            reply(_decode(result, self._dialect.decode_write))

        self._request(
            self._dialect.delete(kind, name, expected_version), on_result
        )

    def watch(
        self,
        kind: str,
        after_version: int,
        timeout_s: float,
        reply: ListHandler,
    ) -> Callable[[], None]:
        """Waits for objects of a kind written after a version."""

        def on_result(result: HttpResult) -> None:
            reply(_decode(result, self._dialect.decode_list))

        spec = self._dialect.watch(kind, after_version, timeout_s)
        call = self._make_call(spec, timeout_s + WATCH_GRACE_S, on_result)
        self._arm(call)
        # Its wait must not hold up the calls that are queued. A connection
        # that was quiet may have fallen silent, unless that is probed for.
        if self._idle and self._settings.detects_silence:
            connection = self._idle.pop()
            self._watching.add(connection)
            connection.start(call)
        else:
            self._watching.add(self._open(call))
        return lambda: self._abandon(call)

    def list_vms(self, reply: FleetHandler) -> None:
        """Reads the lagging list of VMs."""

        def on_result(result: HttpResult) -> None:
            reply(_decode(result, decode_vm_list))

        self._request(StoreCall("list_vms", "GET", "/v1/vms"), on_result)

    def _make_call(
        self,
        spec: StoreCall,
        timeout_s: float,
        reply: Callable[[HttpResult], None],
    ) -> _Call:
        data = encode_request(
            spec.method,
            spec.path,
            self._settings.address,
            spec.headers,
            spec.body,
        )
        self.call_counts[spec.operation] += 1
        return _Call(spec.operation, data, timeout_s, reply)

    def _request(
        self, spec: StoreCall, reply: Callable[[HttpResult], None]
    ) -> None:
        call = self._make_call(spec, self._settings.timeout_s, reply)
        if len(self._queue) >= MAX_QUEUED_COUNT:
            self._fail(call, "too many calls wait for the platform")
            return
        self._arm(call)
        self._queue.append(call)
        self._pump()

    def _arm(self, call: _Call) -> None:
        call.timer = self._timers.call_at(
            read_clock_s() + call.timeout_s, lambda: self._on_timeout(call)
        )

    def _pump(self) -> None:
        while self._queue:
            if self._queue[0].reply is None:
                self._queue.popleft()
            elif self._idle:
                connection = self._idle.pop()
                self._busy.add(connection)
                connection.start(self._queue.popleft())
            elif len(self._busy) < MAX_CONNECTION_COUNT:
                self._busy.add(self._open(self._queue.popleft()))
            else:
                return

    def _open(self, call: _Call) -> _Connection:
        connection = _Connection(self, call)
        connection.stream = self._streams.dial(
            self._settings.address,
            connection,
            detects_silence=self._settings.detects_silence,
        )
        return connection

    def _release(self, connection: _Connection) -> None:
        """Takes a connection from those that carry a call."""
        self._busy.discard(connection)
        self._watching.discard(connection)

    def _end_connection(self, call: _Call) -> None:
        """Ends the connection of a call, whose reply may still come."""
        for connection in [*self._busy, *self._watching]:
            if connection.call is call:
                self._release(connection)
                if connection.stream is not None:
                    connection.stream.close()

    def _abandon(self, call: _Call) -> None:
        """Ends a call whose reply nobody waits for any more."""
        if call.reply is None:
            return
        call.reply = None
        if call.timer is not None:
            call.timer.cancel()
        self._end_connection(call)

    def _on_timeout(self, call: _Call) -> None:
        self._end_connection(call)
        self._drop_quiet(call.started_at_s)
        self._fail(call, f"no answer within {call.timeout_s} s")
        self._pump()

    def _drop_quiet(self, since_s: float) -> None:
        """Closes idle connections not used since a call that timed out.

        Whatever made that call's connection silent may have reached them.
        """
        for connection in list(self._idle):
            if connection.used_at_s < since_s:
                self._idle.remove(connection)
                if connection.stream is not None:
                    connection.stream.close()

    def on_reply(self, connection: _Connection, reply: HttpReply) -> None:
        """Takes a whole reply."""
        call = connection.call
        connection.call = None
        connection.used_at_s = read_clock_s()
        self._failure_count = (
            self._failure_count + 1 if reply.status >= 500 else 0
        )
        self._release(connection)
        is_reusable = reply.keeps_alive and call is not None
        if is_reusable and len(self._idle) < MAX_CONNECTION_COUNT:
            self._idle.append(connection)
        elif connection.stream is not None:
            connection.stream.close()
        if call is not None:
            call.finish(reply)
        self._pump()

    def on_connection_lost(self, connection: _Connection, reason: str) -> None:
        """Fails the call on a connection that has ended."""
        self._release(connection)
        if connection in self._idle:
            self._idle.remove(connection)
        call = connection.call
        connection.call = None
        if call is not None:
            self._fail(call, reason)
        self._pump()

    def _fail(self, call: _Call, detail: str) -> None:
        self.failure_counts[call.operation] += 1
        self._failure_count += 1
        call.finish(
            Failure(
                kind=FailureKind.PLATFORM,
                step=Step.RECORD,
                peer=f"platform {self._settings.address}",
                detail=f"{call.operation}: {detail}",
                retry_after_s=1.0,
                run_state=(
                    RunState.UNKNOWN if call.was_sent else RunState.NOT_RUN
                ),
            )
        )
