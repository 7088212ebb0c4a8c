"""Stand-in of the platform: the object API, watches and the VM list."""

from __future__ import annotations

import argparse
import asyncio
import json
import time
from collections import Counter
from collections.abc import Sequence
from contextlib import AsyncExitStack
from pathlib import Path
from typing import NamedTuple, cast

from mulberrybay_testing.control_document import parse_control
from mulberrybay_testing.event_log import EventLog
from mulberrybay_testing.http_server import (
    CLOSE_WITHOUT_RESPONSE,
    AcceptAllHandler,
    Delivery,
    HttpServer,
    Request,
    Response,
    json_response,
)
from mulberrybay_testing.lagged_value import LaggedValue
from mulberrybay_testing.object_store import (
    MAX_VALUE_BYTES,
    ObjectStore,
    WriteResult,
    parse_condition,
)
from mulberrybay_testing.platform_control import (
    PlatformControl,
    PlatformFaults,
    RateLimit,
    Vm,
    apply_vm_changes,
)
from mulberrybay_testing.program import run_until_terminated

_HOST = "127.0.0.1"
_MAX_WATCH_S = 60.0
_WRITE_OPERATIONS = ("put", "delete")
_RETRY_AFTER = ("Retry-After", "1")
_UNAVAILABLE = json_response(503, {"error": "unavailable"}, _RETRY_AFTER)


class PlatformSettings(NamedTuple):
    """Settings of the platform stand-in; a rate of 0 means no limit."""

    port: int
    log: Path
    vms: Path | None
    vm_list_lag_s: float
    max_writes_per_s: float
    max_reads_per_s: float


class _Target(NamedTuple):
    """The operation and the object of a call, parsed from its path."""

    operation: str
    kind: str = ""
    name: str = ""


class PlatformStandin(AcceptAllHandler):
    """Serves the platform's protocol and control requests on one port."""

    def __init__(self, settings: PlatformSettings) -> None:
        self._settings = settings
        self._store = ObjectStore()
        self._faults = PlatformFaults()
        self._vms = LaggedValue(_read_vms(settings), settings.vm_list_lag_s)
        self._read_limit = RateLimit(settings.max_reads_per_s)
        self._write_limit = RateLimit(settings.max_writes_per_s)
        self._call_counts: Counter[str] = Counter()
        self._change_event = asyncio.Event()
        self._exit_stack = AsyncExitStack()
        self._log = EventLog(settings.log)

    async def __aenter__(self) -> PlatformStandin:
        """Starts to listen."""
        self._exit_stack.enter_context(self._log)
        server = HttpServer(_HOST, self._settings.port, self)
        await self._exit_stack.enter_async_context(server)
        return self

    async def __aexit__(self, *_: object) -> None:
        """Stops listening and closes the log."""
        await self._exit_stack.aclose()

    async def handle(self, request: Request) -> Response:
        """Answers a platform call or a control request."""
        if request.path == "/control":
            return self._handle_control(request)
        target = _parse_target(request)
        if target is None:
            return json_response(404, {"error": "unknown path"})
        self._call_counts[target.operation] += 1
        return await self._handle_call(request, target)

    async def _handle_call(self, request: Request, target: _Target) -> Response:
        response = CLOSE_WITHOUT_RESPONSE
        try:
            response = await self._respond(request, target)
        finally:
            self._record_call(request, target, response)
        return response

    async def _respond(self, request: Request, target: _Target) -> Response:
        if self._faults.delay_s > 0:
            await asyncio.sleep(self._faults.delay_s)
        refusal = await self._apply_outage()
        if target.kind in self._faults.failing_kinds:
            refusal = _UNAVAILABLE
        if refusal is None:
            refusal = self._apply_rate_limit(target)
        if refusal is not None:
            return refusal
        return await self._serve(request, target)

    async def _serve(self, request: Request, target: _Target) -> Response:
        match target.operation:
            case "get":
                return self._get(target)
            case "list":
                return json_response(200, self._store.list_kind(target.kind))
            case "watch":
                return await self._watch(request, target.kind)
            case "vms":
                vms = self._vms.read(time.monotonic())
                return json_response(200, {"vms": vms})
            case _:
                return self._write(request, target)

    async def _apply_outage(self) -> Response | None:
        outage = self._faults.outage
        if outage == "refuse":
            return CLOSE_WITHOUT_RESPONSE
        if outage == "silent":
            await asyncio.Event().wait()
        if outage == "unavailable":
            return _UNAVAILABLE
        return None

    def _apply_rate_limit(self, target: _Target) -> Response | None:
        is_write = target.operation in _WRITE_OPERATIONS
        limit = self._write_limit if is_write else self._read_limit
        if limit.try_acquire():
            return None
        return json_response(429, {"error": "rate"}, _RETRY_AFTER)

    def _get(self, target: _Target) -> Response:
        item = self._store.get(target.kind, target.name)
        if item is None:
            return json_response(404, {"error": "absent"})
        tag = ("ETag", f'"{item["version"]}"')
        return json_response(200, item, tag)

    async def _watch(self, request: Request, kind: str) -> Response:
        after = int(request.query.get("after", "0"))
        timeout_s = min(
            float(request.query.get("timeout_s", "0")), _MAX_WATCH_S
        )
        ends_at_s = time.monotonic() + timeout_s
        silence_count = self._faults.silence_count
        while True:
            if silence_count != self._faults.silence_count:
                await asyncio.Event().wait()
            outage = await self._apply_outage()
            if outage is not None:
                return outage
            changes = self._store.list_kind(kind, after)
            time_left_s = ends_at_s - time.monotonic()
            if changes["items"] or time_left_s <= 0:
                return json_response(200, changes)
            await self._wait_for_change(time_left_s)

    async def _wait_for_change(self, timeout_s: float) -> None:
        try:
            async with asyncio.timeout(timeout_s):
                await self._change_event.wait()
        except TimeoutError:
            pass

    def _notify_watchers(self) -> None:
        self._change_event.set()
        self._change_event = asyncio.Event()

    def _write(self, request: Request, target: _Target) -> Response:
        is_put = target.operation == "put"
        if is_put and self._faults.consume_request_loss(target.kind):
            return CLOSE_WITHOUT_RESPONSE
        if len(request.body) > MAX_VALUE_BYTES:
            return json_response(413, {"error": "value above 1 MiB"})
        condition = parse_condition(request.headers)
        if condition is None:
            return json_response(428, {"error": "condition missing"})
        if not is_put:
            result = self._store.delete(target.kind, target.name, condition)
            return self._finish_write(result)
        try:
            value = json.loads(request.body)
        except ValueError:
            return json_response(400, {"error": "value is not JSON"})
        result = self._store.put(target.kind, target.name, value, condition)
        response = self._finish_write(result)
        if result.status < 300 and self._faults.consume_answer_loss(
            target.kind
        ):
            return response._replace(delivery=Delivery.CLOSED)
        return response

    def _finish_write(self, result: WriteResult) -> Response:
        if result.status < 300:
            self._notify_watchers()
        if result.status == 204:
            return Response(204)
        return json_response(result.status, {"version": result.version})

    def _record_call(
        self, request: Request, target: _Target, response: Response
    ) -> None:
        is_write = target.operation in _WRITE_OPERATIONS
        is_written = is_write and 200 <= response.status < 300
        is_closed = response.delivery is Delivery.CLOSED
        self._log.write(
            "call",
            {
                "method": request.method,
                "path": request.path,
                "kind": target.kind,
                "name": target.name,
                "status": response.status,
                "version": self._store.version if is_written else 0,
                "answer_lost": is_closed and response.status != 0,
            },
        )

    def _handle_control(self, request: Request) -> Response:
        if request.method == "GET":
            state = {
                "calls": self._call_counts,
                "store": self._store.list_all(),
                "vms": self._vms.current,
                "outage": self._faults.outage,
            }
            return json_response(200, state)
        document = parse_control(request.body, PlatformControl.__annotations__)
        control = cast(PlatformControl, document)
        self._faults.apply(control)
        if "vm_list_lag_s" in control:
            self._vms.lag_s = control["vm_list_lag_s"]
        vms = apply_vm_changes(self._vms.current, control)
        if vms != self._vms.current:
            self._vms.record(vms, time.monotonic())
        self._log.write("control", {"settings": document})
        self._notify_watchers()
        return json_response(200, {})


def _parse_target(request: Request) -> _Target | None:
    match request.method, request.path.split("/")[1:]:
        case "GET", ["v1", "vms"]:
            return _Target("vms")
        case "GET", ["v1", "watch", kind]:
            return _Target("watch", kind)
        case "GET", ["v1", "objects", kind]:
            return _Target("list", kind)
        case ("GET" | "PUT" | "DELETE") as method, [
            "v1",
            "objects",
            kind,
            name,
        ]:
            return _Target(method.lower(), kind, name)
    return None


def _read_vms(settings: PlatformSettings) -> tuple[Vm, ...]:
    if settings.vms is None:
        return ()
    return tuple(json.loads(settings.vms.read_text(encoding="utf-8")))


def _parse_arguments(arguments: Sequence[str] | None) -> PlatformSettings:
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--port", type=int, required=True)
    parser.add_argument("--log", type=Path, required=True)
    parser.add_argument("--vms", type=Path)
    parser.add_argument("--vm-list-lag-s", type=float, default=1.0)
    parser.add_argument("--max-writes-per-s", type=float, default=0.0)
    parser.add_argument("--max-reads-per-s", type=float, default=0.0)
    return PlatformSettings(**vars(parser.parse_args(arguments)))


def main(arguments: Sequence[str] | None = None) -> None:
    """Runs the platform stand-in until SIGTERM."""
    settings = _parse_arguments(arguments)
    ready_line = f"ready {_HOST}:{settings.port}"
    run_until_terminated(PlatformStandin(settings), ready_line)


if __name__ == "__main__":
    main()
