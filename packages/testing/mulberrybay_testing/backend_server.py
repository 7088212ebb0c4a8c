"""One backend server of the stand-in: its protocol, slots and queue."""

from __future__ import annotations

import asyncio
import time
from collections import deque

from mulberrybay_testing.backend_faults import ReplyFaults, ServerSettings
from mulberrybay_testing.backend_model import (
    ServerModel,
    ServerSpec,
    expected_hits,
)
from mulberrybay_testing.event_log import Event, EventLog
from mulberrybay_testing.http_server import (
    Connection,
    HttpServer,
    Request,
    Response,
    json_response,
)
from mulberrybay_testing.lagged_value import LaggedValue
from mulberrybay_testing.pending_request import EndReason, PendingRequest

# Requests that arrive at a leaving server later than this are logged.
LEAVING_GRACE_S = 3.0

# Health and load replies report the state with this lag.
_STATUS_LAG_S = 1.0
_NOT_RUN = ("X-Not-Run", "1")
_RETRY_AFTER = ("Retry-After", "0.05")


class BackendServer:
    """Serves the HTTP protocol of one backend server."""

    def __init__(
        self, spec: ServerSpec, log: EventLog, *, logs_requests: bool
    ) -> None:
        self.spec = spec
        self.model = ServerModel(spec, time.monotonic())
        self._log = log
        self._logs_requests = logs_requests
        self._http = HttpServer(spec.host, spec.port, self)
        self._faults = ReplyFaults(spec.seed)
        self._index_versions = spec.index_versions
        self._connections: set[Connection] = set()
        self._queue: deque[PendingRequest] = deque()
        self._pending_by_id: dict[str, list[PendingRequest]] = {}
        self._leaving_since_s: float | None = None
        self._silence_new_connections = False
        self._sheds_all = False
        self._health_override: str | None = None
        self._load_override: float | None = None
        self._lagged_status = LaggedValue("live", _STATUS_LAG_S)
        self._lagged_load = LaggedValue(0.0, _STATUS_LAG_S)

    async def __aenter__(self) -> BackendServer:
        """Starts to listen."""
        await self._http.listen()
        return self

    async def __aexit__(self, *_: object) -> None:
        """Stops listening and closes the connections."""
        self._stop_serving()

    def connection_opened(self, connection: Connection) -> bool:
        """Accepts the connection unless the connection cap is reached."""
        if len(self._connections) >= self.spec.connection_cap:
            self.model.counters["connections_over_cap"] += 1
            count = len(self._connections) + 1
            self._record("connection_over_cap", {"connection_count": count})
            return False
        self._connections.add(connection)
        connection.silent = self._silence_new_connections
        return True

    def connection_closed(self, connection: Connection) -> None:
        """Removes the connection."""
        self._connections.discard(connection)

    async def handle(self, request: Request) -> Response:
        """Answers one request."""
        match request.method, request.path.split("/")[1:]:
            case "POST", ["v1", "search" | "run"]:
                return await self._handle_search_or_run(request)
            case "DELETE", ["v1", "requests", request_id]:
                return self._cancel(request_id)
            case "GET", ["v1", "health"]:
                status = self._lagged_status.read(time.monotonic())
                return json_response(
                    200, {"status": self._health_override or status}
                )
            case "GET", ["v1", "load"]:
                return json_response(200, {"load": self._reported_load()})
        return json_response(404, {"error": "unknown path"})

    async def apply(self, settings: ServerSettings) -> None:
        """Applies the settings of a control document."""
        now_s = time.monotonic()
        self._apply_state(settings, now_s)
        self._silence_new_connections = settings.get(
            "silent_new", self._silence_new_connections
        )
        self._sheds_all = settings.get("refuse_shed", self._sheds_all)
        self._health_override = settings.get(
            "health_says", self._health_override
        )
        self._load_override = settings.get("load_says", self._load_override)
        self._faults.fault = settings.get("reply_fault", self._faults.fault)
        self._faults.probability = settings.get(
            "reply_fault_probability", self._faults.probability
        )
        if settings.get("silent") or settings.get("silent_new"):
            for connection in self._connections:
                connection.silent = True
        if "down" in settings:
            if settings["down"]:
                self._stop_serving()
            else:
                await self._http.listen()
        self._record("control", {"settings": dict(settings)})

    def counters(self) -> dict[str, object]:
        """Returns the counters and the current state."""
        return {
            **self.model.counters,
            "in_flight": self.model.outstanding_count,
            "connections": len(self._connections),
            "warmth": self.model.warmth,
        }

    def _apply_state(self, settings: ServerSettings, now_s: float) -> None:
        self.model.slow_factor = settings.get(
            "slow_factor", self.model.slow_factor
        )
        if "index_versions" in settings:
            self._index_versions = tuple(settings["index_versions"])
        if "cold" in settings:
            if settings["cold"]:
                self.model.set_cold(now_s)
            else:
                self.model.set_warm()
        if "leaving" in settings:
            leaving = settings["leaving"]
            self._leaving_since_s = now_s if leaving else None
            self._lagged_status.record("leaving" if leaving else "live", now_s)

    def _stop_serving(self) -> None:
        self._http.stop_listening()
        for connection in list(self._connections):
            connection.close()

    def _reported_load(self) -> float:
        if self._load_override is not None:
            return self._load_override
        return self._lagged_load.read(time.monotonic())

    def _cancel(self, request_id: str) -> Response:
        pending = self._pending_by_id.get(request_id)
        if not pending:
            return json_response(404, {"error": "unknown request"})
        for entry in pending:
            entry.end(EndReason.CANCELLED)
        return Response(204)

    async def _handle_search_or_run(self, request: Request) -> Response:
        self._record_arrival(request)
        deadline_ms = request.headers.get("x-deadline-ms")
        deadline_s = float(deadline_ms) / 1000 if deadline_ms else None
        request_id = request.headers.get("x-request-id", "")
        entry = PendingRequest(request_id, deadline_s)
        same_id_requests = self._pending_by_id.setdefault(request_id, [])
        same_id_requests.append(entry)
        try:
            response = await self._serve(request, entry)
        except asyncio.CancelledError:
            self._record_cancelled(entry, "connection_closed")
            raise
        finally:
            same_id_requests.remove(entry)
            if not same_id_requests:
                self._pending_by_id.pop(request_id, None)
        return await self._faults.apply(self._with_headers(entry, response))

    def _with_headers(
        self, entry: PendingRequest, response: Response
    ) -> Response:
        headers = (*response.headers, ("X-Request-Id", entry.request_id))
        if self._leaving_since_s is not None:
            headers = (*headers, ("X-Leaving", "1"))
        return response._replace(headers=headers)

    def _record_arrival(self, request: Request) -> None:
        self.model.counters["requests"] += 1
        headers = request.headers
        request_id = headers.get("x-request-id", "")
        if self._leaving_since_s is not None:
            age_s = time.monotonic() - self._leaving_since_s
            if age_s > LEAVING_GRACE_S:
                fields: Event = {"leaving_age_s": age_s}
                fields["request_id"] = request_id
                self._record("request_while_leaving", fields)
        if self._logs_requests:
            self._record(
                "request",
                {
                    "request_id": request_id,
                    "path": request.path,
                    "shard": headers.get("x-shard", ""),
                    "index_version": headers.get("x-index-version", ""),
                },
            )

    async def _serve(self, request: Request, entry: PendingRequest) -> Response:
        connect_cost_ms = self.spec.connect_cost_ms
        if connect_cost_ms > 0 and request.connection.response_count == 0:
            await entry.wait(connect_cost_ms / 1000)
        if entry.end_reason is not None:
            return self._ended_response(entry)
        if self._lacks_index_version(request):
            return self._wrong_snapshot_response()
        model = self.model
        is_full = not model.has_free_slot and model.queue_is_full
        if self._sheds_all or is_full:
            model.counters["shed"] += 1
            return json_response(503, {"error": "shed"}, _RETRY_AFTER, _NOT_RUN)
        try:
            await self._acquire_slot(entry)
            return await self._process(request, entry)
        finally:
            self._release_slot(entry)

    async def _acquire_slot(self, entry: PendingRequest) -> None:
        model = self.model
        if model.has_free_slot:
            model.busy_slot_count += 1
            entry.has_slot = True
            self._record_outstanding()
            return
        model.queued_count += 1
        self._queue.append(entry)
        self._record_outstanding()
        try:
            await entry.wait()
        finally:
            if not entry.has_slot:
                self._queue.remove(entry)
                model.queued_count -= 1

    def _release_slot(self, entry: PendingRequest) -> None:
        model = self.model
        if entry.has_slot:
            entry.has_slot = False
            model.busy_slot_count -= 1
        if self._queue and model.has_free_slot:
            next_entry = self._queue.popleft()
            model.queued_count -= 1
            model.busy_slot_count += 1
            next_entry.has_slot = True
            next_entry.wake()
        self._lagged_load.record(model.load, time.monotonic())

    def _record_outstanding(self) -> None:
        now_s = time.monotonic()
        self._lagged_load.record(self.model.load, now_s)
        overload = self.model.record_outstanding(now_s)
        if overload is not None:
            fields: Event = {"outstanding": overload.outstanding}
            fields["bearable"] = overload.bearable
            fields["cold_age_s"] = overload.cold_age_s
            self._record("overfed", fields)

    async def _process(
        self, request: Request, entry: PendingRequest
    ) -> Response:
        if entry.end_reason is not None:
            return self._ended_response(entry)
        if self._lacks_index_version(request):
            return self._wrong_snapshot_response()
        entry.work_begun = True
        service_time_s = self.model.draw_service_time_s(time.monotonic())
        if await entry.wait(service_time_s) is not None:
            return self._ended_response(entry)
        self.model.record_completion()
        if request.path == "/v1/run":
            return self._perform_run(request, entry)
        return self._hits_response(request)

    def _perform_run(self, request: Request, entry: PendingRequest) -> Response:
        self.model.counters["effects"] += 1
        fields: Event = {"request_id": entry.request_id}
        fields["idempotency_key"] = request.headers.get("idempotency-key", "")
        self._record("effect", fields)
        count = self.model.counters["effects"]
        return json_response(200, {"reference": f"{self.spec.vm_id}-{count}"})

    def _hits_response(self, request: Request) -> Response:
        shard = request.headers.get("x-shard", "")
        version = self._requested_version(request)
        hits = expected_hits(version, shard, request.body)
        return json_response(
            200,
            {"hits": hits, "index_version": version, "shard": shard},
            ("X-Index-Version", str(version)),
            ("X-Shard", shard),
        )

    def _requested_version(self, request: Request) -> int:
        version = request.headers.get("x-index-version")
        return int(version) if version else max(self._index_versions, default=0)

    def _lacks_index_version(self, request: Request) -> bool:
        return (
            request.path == "/v1/search"
            and self._requested_version(request) not in self._index_versions
        )

    def _wrong_snapshot_response(self) -> Response:
        held = ",".join(str(version) for version in self._index_versions)
        return json_response(
            409, {"error": "index version"}, ("X-Index-Versions", held)
        )

    def _ended_response(self, entry: PendingRequest) -> Response:
        headers = () if entry.work_begun else (_NOT_RUN,)
        if entry.end_reason is EndReason.DEADLINE:
            return json_response(408, {"error": "deadline"}, *headers)
        self._record_cancelled(entry, "cancellation")
        return json_response(499, {"error": "cancelled"}, *headers)

    def _record_cancelled(self, entry: PendingRequest, cause: str) -> None:
        self.model.counters["cancelled"] += 1
        fields: Event = {"request_id": entry.request_id, "cause": cause}
        fields["work_begun"] = entry.work_begun
        self._record("cancelled", fields)

    def _record(self, event: str, fields: Event) -> None:
        fields["vm_id"] = self.spec.vm_id
        self._log.write(event, fields)
