"""The client of the platform's object store.

A persistent connection carries one request at a time. Requests beyond the
connection limit are queued, up to a limit. Watches use connections that do not
count towards the connection limit. Every request has a timeout, since the
store can be slow or a connection can stop responding.
"""

from collections import Counter, deque
from collections.abc import Callable
from typing import Final, NamedTuple, Self

import httptools

from mulberrybay_core.addresses import Address
from mulberrybay_core.errors import Failure, FailureKind, RunState, Step
from mulberrybay_core.store_messages import (
    FleetHandler,
    JsonObject,
    ListHandler,
    ObjectHandler,
    ObjectList,
    StoredObject,
    WriteHandler,
    WriteResult,
)
from mulberrybay_core.store_position import (
    era_of,
    place_list,
    place_object,
    place_result,
    version_of,
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
from mulberrybay_runtime.logs import StructuredLog
from mulberrybay_runtime.streams import Stream, Streams
from mulberrybay_runtime.timers import Timer, Timers

MAX_QUEUED_COUNT: Final = 256
MAX_CONNECTION_COUNT: Final = 4
# Added to the timeout of a watch, within which the store itself replies.
WATCH_TIMEOUT_MARGIN_S: Final = 2.0
FAILING_THRESHOLD_COUNT: Final = 3

HttpResult = HttpReply | Failure


class PlatformSettings(NamedTuple):
    """Connection settings for the platform.

    Attributes:
        address: The address of its object API.
        timeout_s: The timeout of a call, including its time in the queue. A
            watch has the timeout of its caller instead.
        detects_silence: Whether the kernel probes connections (TCP keepalive)
            and closes those whose peer is unresponsive.
        first_timeout_s: The timeout of calls before any has ended; None for the
            usual one. A process that starts while the store is unresponsive
            then notices its return sooner.
        status_kinds: The kinds whose objects' status is read. That of others is
            left out, so that nodes don't pass it on.
    """

    address: Address
    timeout_s: float = 1.0
    detects_silence: bool = False
    first_timeout_s: float | None = None
    status_kinds: frozenset[str] = frozenset()


class _Call:
    """One request to the store.

    Attributes:
        operation: The operation's name in counters and error texts.
        data: The encoded HTTP request.
        reply: The callback for the result; None once it was called or the call
            was cancelled.
        was_sent: Whether any byte may have reached the store.
    """

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
        """Cancels the timer and calls the callback, at most once."""
        if self.timer is not None:
            self.timer.cancel()
        reply = self.reply
        self.reply = None
        if reply is not None:
            reply(result)


class _Connection:
    """One persistent connection with at most one call in progress."""

    def __init__(self, client: "PlatformClient", call: _Call) -> None:
        self._client = client
        self._parser = ReplyParser()
        self.call: _Call | None = call
        self.stream: Stream | None = None
        self.last_used_at_s = read_clock_s()

    def on_connected(self, stream: Stream) -> None:
        """Sends the call for which the connection was opened."""
        if self.call is not None:
            self.call.was_sent = stream.send(self.call.data)

    def start(self, call: _Call) -> None:
        """Sends a call on the open connection."""
        self.call = call
        if self.stream is not None:
            call.was_sent = self.stream.send(call.data)

    def on_data(self, stream: Stream, data: bytes) -> None:
        """Handles received bytes; closes the connection if malformed."""
        try:
            replies = self._parser.feed(data)
        except httptools.HttpParserError:
            stream.close()
            self._client.on_connection_lost(self, "malformed reply")
            return
        except ReplyTooLargeError:
            stream.close()
            self._client.on_reply_too_large(self)
            return
        for reply in replies:
            self._client.on_reply(self, reply)

    def on_closed(self, stream: Stream, reason: str) -> None:
        """Handles the end of the connection."""
        del stream
        self._client.on_connection_lost(self, reason)


def _make_failure(detail: str) -> Failure:
    """Returns the failure of a call that did nothing."""
    return Failure(
        kind=FailureKind.PLATFORM,
        step=Step.RECORD,
        peer="platform",
        detail=detail,
        run_state=RunState.NOT_RUN,
    )


class PlatformClient:
    """Client of the platform's object API; implements `ObjectStore`.

    Attributes:
        era: The highest era of the store that a reply has named.
        unreadable_era_count: Replies that named no readable era.
        call_counts: Calls by operation.
        failure_counts: Calls without a usable reply by operation.
    """

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
        self._queued_calls: deque[_Call] = deque()
        self._consecutive_failure_count = 0
        self._has_ended_call = False
        self._log = StructuredLog("store")
        self.era = 0
        self.unreadable_era_count = 0
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
        """Whether at least the last FAILING_THRESHOLD_COUNT calls failed.

        The list of VMs is read regularly, so a recovery is noticed soon.
        """
        return self._consecutive_failure_count >= FAILING_THRESHOLD_COUNT

    def read(self, kind: str, name: str, reply: ObjectHandler) -> None:
        """Reads an object; the result is None if it does not exist."""

        def on_result(result: HttpResult) -> None:
            if isinstance(result, Failure):
                reply(result)
                return
            stored = self._dialect.decode_object(result)
            era = self._note_era(result)
            if isinstance(stored, StoredObject):
                stored = place_object(stored, era)
            reply(stored)

        self._request(self._dialect.read(kind, name), on_result)

    def list_kind(
        self, kind: str, reply: ListHandler, *, may_be_stale: bool = False
    ) -> None:
        """Reads all objects of a kind; see `ObjectStore`."""
        self._list_page(kind, "", None, reply, may_be_stale=may_be_stale)

    def _list_page(
        self,
        kind: str,
        after_name: str,
        previous_pages: ObjectList | None,
        reply: ListHandler,
        *,
        may_be_stale: bool,
    ) -> None:
        """Reads the remaining pages and passes the complete list to `reply`.

        It has the lowest store version of all pages, so a watch from that
        version reports objects that changed while pages were read.
        """

        def on_page(page: ObjectList) -> None:
            complete_list = page
            if previous_pages is not None:
                if era_of(page.store_version) != era_of(
                    previous_pages.store_version
                ):
                    reply(_make_failure("the store changed between pages"))
                    return
                complete_list = previous_pages._replace(
                    items=previous_pages.items + page.items,
                    store_version=min(
                        previous_pages.store_version, page.store_version
                    ),
                    changed_version=max(
                        previous_pages.changed_version, page.changed_version
                    ),
                )
            if page.next_name:
                self._list_page(
                    kind,
                    page.next_name,
                    complete_list,
                    reply,
                    may_be_stale=may_be_stale,
                )
            else:
                reply(complete_list)

        def on_result(result: HttpResult) -> None:
            page = self._decode_list(kind, result)
            if isinstance(page, Failure):
                reply(page)
            else:
                on_page(page)

        call = self._dialect.list_kind(
            kind, after_name, may_be_stale=may_be_stale
        )
        self._request(call, on_result)

    def write(
        self,
        kind: str,
        name: str,
        value: JsonObject,
        expected_version: int,
        reply: WriteHandler,
    ) -> None:
        """Writes an object if it has the expected version; 0 means absent."""
        if self._is_of_older_era(expected_version):
            reply(_make_failure("write: the version is of an older era"))
            return

        def on_result(result: HttpResult) -> None:
            reply(self._decode_write(result))

        version = version_of(expected_version)
        self._request(
            self._dialect.write(kind, name, value, version), on_result
        )

    def write_status(
        self,
        kind: str,
        name: str,
        status: JsonObject,
        expected_version: int,
        reply: WriteHandler,
    ) -> None:
        """Writes an object's status if it has the expected version."""
        if self._is_of_older_era(expected_version):
            reply(_make_failure("write: the version is of an older era"))
            return

        def on_result(result: HttpResult) -> None:
            reply(self._decode_write(result))

        version = version_of(expected_version)
        call = self._dialect.write_status(kind, name, status, version)
        if call is None:
            reply(_make_failure("write: objects have no status"))
            return
        self._request(call, on_result)

    def delete(
        self, kind: str, name: str, expected_version: int, reply: WriteHandler
    ) -> None:
        """Deletes an object if it has the expected version."""
        if self._is_of_older_era(expected_version):
            reply(_make_failure("delete: the version is of an older era"))
            return

        def on_result(result: HttpResult) -> None:
            reply(self._decode_write(result))

        version = version_of(expected_version)
        self._request(self._dialect.delete(kind, name, version), on_result)

    def _is_of_older_era(self, expected_version: int) -> bool:
        """Whether the store may have given the version out again since."""
        return expected_version > 0 and era_of(expected_version) < self.era

    def _note_era(self, reply: HttpReply) -> int:
        """Returns the era of a reply; the known one if it names none."""
        era = self._dialect.read_era(reply)
        if era is None:
            self.unreadable_era_count += 1
            return self.era
        if era > self.era:
            self._log.info("era of the store", era=era, known_era=self.era)
        self.era = max(self.era, era)
        return era

    def _decode_list(
        self, kind: str, result: HttpResult
    ) -> ObjectList | Failure:
        if isinstance(result, Failure):
            return result
        era = self._note_era(result)
        objects = self._dialect.decode_list(result)
        if isinstance(objects, Failure):
            return objects
        if kind not in self._settings.status_kinds:
            items = (stored._replace(status=None) for stored in objects.items)
            objects = objects._replace(items=tuple(items))
        return place_list(objects, era)

    def _decode_write(self, result: HttpResult) -> WriteResult | Failure:
        if isinstance(result, Failure):
            return result
        era = self._note_era(result)
        written = self._dialect.decode_write(result)
        if isinstance(written, Failure):
            return written
        return place_result(written, era)

    def watch(
        self,
        kind: str,
        after_version: int,
        timeout_s: float,
        reply: ListHandler,
    ) -> Callable[[], None]:
        """Waits for objects of a kind that are written after a version.

        Returns:
            A function that cancels the watch; `reply` is not called then.
        """

        def on_result(result: HttpResult) -> None:
            reply(self._decode_list(kind, result))

        spec = self._dialect.watch(kind, version_of(after_version), timeout_s)
        call = self._make_call(
            spec, timeout_s + WATCH_TIMEOUT_MARGIN_S, on_result
        )
        self._start_timer(call)
        # A watch does not use one of the connections for requests, so queued
        # calls do not wait for it. An idle connection is used only if the
        # kernel probes it: otherwise its peer may be unresponsive by now.
        if self._idle and self._settings.detects_silence:
            connection = self._idle.pop()
            self._watching.add(connection)
            connection.start(call)
        else:
            self._watching.add(self._open(call))
        return lambda: self._cancel(call)

    def list_vms(self, reply: FleetHandler) -> None:
        """Reads the platform's list of VMs, which may be out of date."""

        def on_result(result: HttpResult) -> None:
            if isinstance(result, Failure):
                reply(result)
            else:
                reply(decode_vm_list(result))

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
        timeout_s = self._settings.timeout_s
        if not self._has_ended_call:
            timeout_s = self._settings.first_timeout_s or timeout_s
        call = self._make_call(spec, timeout_s, reply)
        if len(self._queued_calls) >= MAX_QUEUED_COUNT:
            self._fail(call, "the queue of calls to the platform is full")
            return
        self._start_timer(call)
        self._queued_calls.append(call)
        self._send_queued()

    def _start_timer(self, call: _Call) -> None:
        call.timer = self._timers.call_at(
            read_clock_s() + call.timeout_s, lambda: self._on_timeout(call)
        )

    def _send_queued(self) -> None:
        while self._queued_calls:
            if self._queued_calls[0].reply is None:
                self._queued_calls.popleft()
            elif self._idle:
                connection = self._idle.pop()
                self._busy.add(connection)
                connection.start(self._queued_calls.popleft())
            elif len(self._busy) < MAX_CONNECTION_COUNT:
                self._busy.add(self._open(self._queued_calls.popleft()))
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

    def _remove_in_use(self, connection: _Connection) -> None:
        """Removes a connection from the busy and watching connections."""
        self._busy.discard(connection)
        self._watching.discard(connection)

    def _close_call_connection(self, call: _Call) -> None:
        """Closes the connection of a call that is still in progress.

        A late reply must not be taken for the reply to the next call.
        """
        for connection in [*self._busy, *self._watching]:
            if connection.call is call:
                self._remove_in_use(connection)
                if connection.stream is not None:
                    connection.stream.close()

    def _cancel(self, call: _Call) -> None:
        """Cancels a call without calling its callback."""
        if call.reply is None:
            return
        call.reply = None
        if call.timer is not None:
            call.timer.cancel()
        self._close_call_connection(call)

    def _on_timeout(self, call: _Call) -> None:
        self._close_call_connection(call)
        self._close_idle_unused_since(call.started_at_s)
        self._fail(call, f"no reply within {call.timeout_s} s")
        self._send_queued()

    def _close_idle_unused_since(self, time_s: float) -> None:
        """Closes idle connections that were last used before a time.

        Called with the start time of a call that timed out: the network fault
        behind the timeout may affect these connections too.
        """
        for connection in list(self._idle):
            if connection.last_used_at_s < time_s:
                self._idle.remove(connection)
                if connection.stream is not None:
                    connection.stream.close()

    def on_reply(self, connection: _Connection, reply: HttpReply) -> None:
        """Passes a complete reply to its call and reuses the connection."""
        call = connection.call
        connection.call = None
        self._has_ended_call = True
        connection.last_used_at_s = read_clock_s()
        self._consecutive_failure_count = (
            self._consecutive_failure_count + 1 if reply.status >= 500 else 0
        )
        self._remove_in_use(connection)
        is_reusable = reply.keeps_alive and call is not None
        if is_reusable and len(self._idle) < MAX_CONNECTION_COUNT:
            self._idle.append(connection)
        elif connection.stream is not None:
            connection.stream.close()
        try:
            if call is not None:
                call.finish(reply)
        finally:
            self._send_queued()

    def on_reply_too_large(self, connection: _Connection) -> None:
        """Fails a call; who watches may list the objects in pages instead."""
        is_watch = connection in self._watching
        self.on_connection_lost(
            connection,
            "the reply is too large",
            FailureKind.TOO_LARGE if is_watch else FailureKind.PLATFORM,
        )

    def on_connection_lost(
        self,
        connection: _Connection,
        reason: str,
        kind: FailureKind = FailureKind.PLATFORM,
    ) -> None:
        """Fails the call in progress on a connection that has ended."""
        self._remove_in_use(connection)
        if connection in self._idle:
            self._idle.remove(connection)
        call = connection.call
        connection.call = None
        if call is not None:
            self._fail(call, reason, kind)
        self._send_queued()

    def _fail(
        self,
        call: _Call,
        detail: str,
        kind: FailureKind = FailureKind.PLATFORM,
    ) -> None:
        self._has_ended_call = True
        self.failure_counts[call.operation] += 1
        self._consecutive_failure_count += 1
        call.finish(
            Failure(
                kind=kind,
                step=Step.RECORD,
                peer=f"platform {self._settings.address}",
                detail=f"{call.operation}: {detail}",
                retry_after_s=1.0,
                run_state=(
                    RunState.UNKNOWN if call.was_sent else RunState.NOT_RUN
                ),
            )
        )
