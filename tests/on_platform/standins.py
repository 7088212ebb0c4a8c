"""Stand-ins for the users' platform: its store and its backend servers.

The stand-ins run on an event loop in a thread of the test process.
"""

import asyncio
import itertools
import json
import threading
import time
from collections.abc import Awaitable, Callable, Coroutine
from typing import Any, Final, NamedTuple, Self, TypeVar

from mulberrybay_testing.http_server import (
    AcceptAllHandler,
    Connection,
    Delivery,
    HttpServer,
    Request,
    Response,
    json_response,
)
from mulberrybay_testing.ports import HOST, free_port

T = TypeVar("T")
PAGE_COUNT: Final = 5
OBJECTS_PATH: Final = "/api/objects/"
NOT_FOUND: Final = Response(404)
NOT_EXECUTED_503: Final = Response(503, b"", (("X-Not-Executed", "1"),))


class LoopThread:
    """Runs an event loop in a thread; a context manager."""

    def __init__(self) -> None:
        self.loop = asyncio.new_event_loop()
        self._thread = threading.Thread(target=self.loop.run_forever)

    def __enter__(self) -> Self:
        self._thread.start()
        return self

    def __exit__(self, *_: object) -> None:
        self.loop.call_soon_threadsafe(self.loop.stop)
        self._thread.join()

    def run(self, coroutine: Coroutine[Any, Any, T]) -> T:
        """Runs a coroutine on the loop and waits up to 10 s for its result."""
        return asyncio.run_coroutine_threadsafe(coroutine, self.loop).result(10)


class _Change(NamedTuple):
    """One write or removal in the store's change history."""

    revision: int
    kind: str
    body: dict[str, Any]
    is_deleted: bool


class StoreCopy(NamedTuple):
    """The store's content at a moment."""

    revision: int
    objects: dict[str, dict[str, dict[str, Any]]]
    changes: list[_Change]


class StoreStandIn(AcceptAllHandler):
    """The platform's metadata store, with faults that tests can enable.

    Attributes:
        status: The status with which every call fails; 0 for no failure.
        is_unresponsive: Whether new calls are left unanswered.
        lost_answer_count: The number of next answers to drop. Their calls
            are still executed.
        call_count: The number of calls received.
        era: How often it returned from an older copy, as its replies say;
            None if they don't.
        stale_copy: What lists that may be stale show; None for the present.
    """

    def __init__(self) -> None:
        self.era: int | str | None = 0
        self.stale_copy: StoreCopy | None = None
        self.status = 0
        self.is_unresponsive = False
        self.lost_answer_count = 0
        self.call_count = 0
        # Calls that are waiting as it changes are never answered.
        self._silence_count = 0
        self._revision = 1
        self._first_revision = 1
        self._objects: dict[str, dict[str, dict[str, Any]]] = {}
        self._changes: list[_Change] = []
        self._changed = asyncio.Event()

    # Called by tests.

    def names(self, kind: str) -> list[str]:
        """Returns the sorted names of all objects of a kind."""
        return sorted(self._objects.get(kind, {}))

    def spec(self, kind: str, name: str) -> object:
        """Returns an object's content; None if there is no such object."""
        body = self._objects.get(kind, {}).get(name)
        return None if body is None else body["spec"]

    def status_of(self, kind: str, name: str) -> Any:  # noqa: ANN401
        """Returns an object's status; None if it has none."""
        body = self._objects.get(kind, {}).get(name)
        return None if body is None else body["status"]

    async def put(self, kind: str, name: str, spec: object) -> None:
        """Writes an object, as the operator or a backend server would."""
        self._write(kind, name, spec)

    async def remove(self, kind: str, name: str) -> None:
        """Removes an object."""
        self._remove(kind, name)

    async def forget_history(self) -> None:
        """Discards the change history.

        Watches that start at an earlier revision are answered with 410.
        """
        self._changes.clear()
        self._first_revision = self._revision
        self._notify()

    def fall_silent(self) -> None:
        """Leaves new and waiting calls unanswered for good."""
        self._silence_count += 1
        self.is_unresponsive = True

    def answer_again(self) -> None:
        """Answers the calls that come from now on."""
        self._silence_count += 1
        self.is_unresponsive = False

    async def take_copy(self) -> StoreCopy:
        """Returns a copy to which the store can return later."""
        objects = {kind: {**named} for kind, named in self._objects.items()}
        return StoreCopy(self._revision, objects, [*self._changes])

    async def return_from(self, copy: StoreCopy) -> None:
        """Loses all that was written since a copy, and enters a new era."""
        self._revision = copy.revision
        self._objects = {
            kind: {**named} for kind, named in copy.objects.items()
        }
        self._changes = [*copy.changes]
        if isinstance(self.era, int):
            self.era += 1
        self._notify()

    # Changes to objects.

    def _notify(self) -> None:
        self._changed.set()
        self._changed = asyncio.Event()

    def _write(
        self,
        kind: str,
        name: str,
        spec: object,
        status: object = None,
    ) -> dict[str, Any]:
        self._revision += 1
        body = {
            "meta": {"name": name, "rev": self._revision, "finalizers": []},
            "spec": spec,
            "status": status,
        }
        self._objects.setdefault(kind, {})[name] = body
        self._changes.append(_Change(self._revision, kind, body, False))
        self._notify()
        return body

    def _remove(self, kind: str, name: str) -> None:
        body = self._objects[kind].pop(name)
        self._revision += 1
        meta = {**body["meta"], "rev": self._revision}
        deleted_body = {**body, "meta": meta}
        self._changes.append(_Change(self._revision, kind, deleted_body, True))
        self._notify()

    # API calls.

    async def handle(self, request: Request) -> Response:
        """Answers one API call."""
        response = await self._answer_or_fail(request)
        if self.era is None:
            return response
        header = ("Store-Era", str(self.era))
        return response._replace(headers=(*response.headers, header))

    async def _answer_or_fail(self, request: Request) -> Response:
        self.call_count += 1
        if self.is_unresponsive:
            return Response(0, delivery=Delivery.LOST)
        if self.status:
            return Response(self.status)
        silence_count = self._silence_count
        response = await self._answer(request)
        if silence_count != self._silence_count:
            return Response(0, delivery=Delivery.LOST)
        if self.lost_answer_count > 0:
            self.lost_answer_count -= 1
            return Response(0, delivery=Delivery.LOST)
        return response

    async def _answer(self, request: Request) -> Response:
        kind, _, name = request.path.removeprefix(OBJECTS_PATH).partition("/")
        match request.method:
            case "GET" if "watch" in request.query:
                return await self._watch(kind, request.query)
            case "GET" if name:
                existing = self._objects.get(kind, {}).get(name)
                return json_response(200, existing) if existing else NOT_FOUND
            case "GET":
                return self._list(kind, request.query)
            case "POST":
                return self._create(kind, json.loads(request.body))
            case "PUT":
                return self._replace(kind, name, json.loads(request.body))
            case _:
                return self._delete(kind, name, request.query)

    def _list(self, kind: str, query: dict[str, str]) -> Response:
        after = query.get("after", "")
        revision, objects = self._revision, self._objects.get(kind, {})
        if query.get("stale_ok") == "1" and self.stale_copy is not None:
            revision = self.stale_copy.revision
            objects = self.stale_copy.objects.get(kind, {})
        names = [name for name in sorted(objects) if name > after]
        return json_response(
            200,
            {
                "items": [objects[name] for name in names[:PAGE_COUNT]],
                "has_more": len(names) > PAGE_COUNT,
                "as_of": revision,
            },
        )

    async def _watch(self, kind: str, query: dict[str, str]) -> Response:
        since = int(query["watch"])
        ends_at_s = time.monotonic() + int(query["wait_ms"]) / 1000
        while True:
            if not self._first_revision <= since <= self._revision:
                return Response(410)
            events = [
                {"object": change.body, "deleted": change.is_deleted}
                for change in self._changes
                if change.kind == kind and change.revision > since
            ]
            left_s = ends_at_s - time.monotonic()
            if events or left_s <= 0:
                document = {"events": events, "as_of": self._revision}
                return json_response(200, document)
            try:
                async with asyncio.timeout(left_s):
                    await self._changed.wait()
            except TimeoutError:
                continue

    def _create(self, kind: str, body: dict[str, Any]) -> Response:
        name = body["meta"]["name"]
        existing = self._objects.get(kind, {}).get(name)
        if existing is not None:
            return json_response(409, existing)
        return json_response(200, self._write(kind, name, body["spec"]))

    def _replace(self, kind: str, path: str, body: dict[str, Any]) -> Response:
        name, _, part = path.partition("/")
        existing = self._objects.get(kind, {}).get(name)
        if existing is None:
            return Response(404)
        if body["meta"].get("rev") != existing["meta"]["rev"]:
            return json_response(409, existing)
        written = {part or "spec": body[part or "spec"]}
        fields = {key: existing[key] for key in ("spec", "status")} | written
        return json_response(200, self._write(kind, name, **fields))

    def _delete(self, kind: str, name: str, query: dict[str, str]) -> Response:
        existing = self._objects.get(kind, {}).get(name)
        if existing is None:
            return Response(404)
        if int(query.get("rev", 0)) != existing["meta"]["rev"]:
            return json_response(409, existing)
        self._remove(kind, name)
        return json_response(200, existing)


class Arrival(NamedTuple):
    """One request that a backend server received."""

    at_s: float
    request_id: str
    path: str
    deadline_ms: float
    was_executed: bool


async def _ignore(is_running: bool) -> None:
    """Does nothing; see `BackendStandIn.on_running`."""


class BackendStandIn(AcceptAllHandler):
    """One backend server of a service.

    Attributes:
        delay_s: The processing time of a request.
        delivery: How replies are written to the connection.
        version: The version of its software.
        status: The status of replies; 503 also states that the request was
            not executed.
        arrivals: The requests received.
        open_connection_count: The number of open connections.
        connect_port: The port to which nodes connect, maybe a proxy's.
        echoed_id: The request id that replies echo; empty for the request's
            own id.
        headers: Additional headers of all replies.
        padding_bytes: Bytes that are appended to the bodies of replies.
        is_fatal: Whether the server crashes under a request.
        crash_after_s: How long such a request runs before.
        restart_after_s: When the server is back after a crash.
        crashed_at_s: When it crashed.
        is_failing: Whether the server answers a request with 500.
        on_running: Called with whether it runs, as that changes.
    """

    _numbers = itertools.count(1)

    def __init__(
        self, service: str, *, is_shard: bool, zone: str = "zone-a"
    ) -> None:
        self.service = service
        self.zone = zone
        self.version = "v1"
        self.server_id = f"i-{next(self._numbers):04d}"
        self.port = free_port()
        self.connect_port = self.port
        self.delay_s = 0.0
        self.delivery = Delivery.WHOLE
        self.echoed_id = ""
        self.headers: tuple[tuple[str, str], ...] = ()
        self.padding_bytes = 0
        self.status = 200
        self.arrivals: list[Arrival] = []
        self.open_connection_count = 0
        self.is_fatal: Callable[[Request], bool] = lambda _: False
        self.crash_after_s = 0.02
        self.is_failing: Callable[[Request], bool] = lambda _: False
        self.restart_after_s = 1.5
        self.crashed_at_s: list[float] = []
        self.server: HttpServer | None = None
        self.on_running: Callable[[bool], Awaitable[None]] = _ignore
        self._connections: set[Connection] = set()
        self._is_shard = is_shard

    def entry(self, **changes: object) -> dict[str, object]:
        """Returns the server's registration in the store.

        Args:
            **changes: Fields to add or to override.
        """
        return {
            "service": self.service,
            "address": f"{HOST}:{self.connect_port}",
            "zone": self.zone,
            "revision": self.version,
            "concurrency": 2,
            "state": "ready",
            "warmup_left_ms": 0,
            "sequence": 1,
            **changes,
        }

    def connection_opened(self, connection: Connection) -> bool:
        """Accepts the connection."""
        self.open_connection_count += 1
        self._connections.add(connection)
        return True

    def connection_closed(self, connection: Connection) -> None:
        """Counts the connection as closed."""
        self.open_connection_count -= 1
        self._connections.discard(connection)

    async def crash(self) -> None:
        """Ends all connections and refuses new ones until it is back."""
        if self.server is None or not self.server.is_listening:
            return
        self.crashed_at_s.append(time.monotonic())
        await self.on_running(False)
        self.server.stop_listening()
        for connection in [*self._connections]:
            connection.close()
        loop = asyncio.get_running_loop()
        loop.call_later(
            self.restart_after_s, lambda: loop.create_task(self._start_again())
        )

    async def stop_at_once(self) -> None:
        """Ends all connections and refuses new ones for good."""
        if self.server is not None:
            self.server.stop_listening()
        for connection in [*self._connections]:
            connection.close()

    async def _start_again(self) -> None:
        if self.server is not None:
            await self.server.listen()
            await self.on_running(True)

    async def handle(self, request: Request) -> Response:
        """Records and answers one request."""
        request_id = request.headers.get("x-request-id", "")
        is_for_other_server = (
            request.headers.get("x-expect-instance") != self.server_id
        )
        is_shed = self.status == 503
        self.arrivals.append(
            Arrival(
                time.monotonic(),
                request_id,
                request.path,
                float(request.headers.get("x-deadline-ms", 0)),
                not is_for_other_server and not is_shed,
            )
        )
        if is_for_other_server:
            return Response(421)
        if is_shed:
            headers = NOT_EXECUTED_503.headers + self.headers
            return NOT_EXECUTED_503._replace(headers=headers)
        if self.is_fatal(request):
            await asyncio.sleep(self.crash_after_s)
            await asyncio.shield(self.crash())
            return Response(0, delivery=Delivery.CLOSED)
        await asyncio.sleep(self.delay_s)
        body = f"{self.service} {request.path}".encode()
        if self._is_shard:
            body = self.server_id.encode().rjust(16, b"-")
        body += b" " * self.padding_bytes
        headers = (
            ("X-Server-Stamp", f"{self.server_id}.{request_id}"),
            ("X-Server-Load", "1,0,2"),
            *self.headers,
        )
        if not self._is_shard:
            headers = (*headers, ("X-Request-Id", self.echoed_id or request_id))
        status = 500 if self.is_failing(request) else self.status
        return Response(status, body, headers, self.delivery)


async def serve(
    handler: StoreStandIn | BackendStandIn, port: int
) -> HttpServer:
    """Starts serving a stand-in on a port."""
    server = HttpServer(HOST, port, handler)
    await server.listen()
    if isinstance(handler, BackendStandIn):
        handler.server = server
    return server
