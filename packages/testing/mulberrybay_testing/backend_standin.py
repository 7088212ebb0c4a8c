"""Stand-in of backend servers: one process hosts many of them."""

from __future__ import annotations

import argparse
import json
from collections.abc import Sequence
from contextlib import AsyncExitStack
from pathlib import Path
from typing import NamedTuple, TypedDict, cast

from mulberrybay_testing.backend_faults import ServerSettings
from mulberrybay_testing.backend_model import ServerSpec
from mulberrybay_testing.backend_server import BackendServer
from mulberrybay_testing.control_document import parse_control
from mulberrybay_testing.event_log import EventLog
from mulberrybay_testing.http_server import (
    HttpServer,
    JsonHandler,
    Request,
    Response,
    json_response,
)
from mulberrybay_testing.program import run_until_terminated

_HOST = "127.0.0.1"


class BackendSettings(NamedTuple):
    """Settings of the process that hosts the backend servers."""

    spec: Path
    log: Path
    control_port: int
    log_requests: bool


class BackendControl(TypedDict, total=False):
    """A control document: which servers, and what to set there."""

    vm_ids: list[str]
    failure_domain: str
    all: bool
    set: ServerSettings


class BackendStandin(JsonHandler):
    """Hosts backend servers and answers control requests."""

    def __init__(self, settings: BackendSettings) -> None:
        self._settings = settings
        self._log = EventLog(settings.log)
        self._servers = [
            BackendServer(spec, self._log, logs_requests=settings.log_requests)
            for spec in read_specs(settings.spec)
        ]
        self._exits = AsyncExitStack()

    async def __aenter__(self) -> BackendStandin:
        """Starts every server and the control port."""
        self._exits.enter_context(self._log)
        for server in self._servers:
            await self._exits.enter_async_context(server)
        control = HttpServer(_HOST, self._settings.control_port, self)
        await self._exits.enter_async_context(control)
        return self

    async def __aexit__(self, *_: object) -> None:
        """Stops the servers and closes the log."""
        await self._exits.aclose()

    async def handle(self, request: Request) -> Response:
        """Answers one control request."""
        if request.path != "/control":
            return json_response(404, {"error": "unknown path"})
        if request.method == "GET":
            return json_response(
                200,
                {item.spec.vm_id: item.counters() for item in self._servers},
            )
        document = parse_control(
            request.body,
            BackendControl.__annotations__,
            ServerSettings.__annotations__,
        )
        control = cast(BackendControl, document)
        chosen = [item for item in self._servers if _matches(item, control)]
        for server in chosen:
            await server.apply(control["set"])
        return json_response(200, {"servers": len(chosen)})


def _matches(server: BackendServer, control: BackendControl) -> bool:
    if control.get("all"):
        return True
    if "failure_domain" in control:
        return server.spec.failure_domain == control["failure_domain"]
    return server.spec.vm_id in control.get("vm_ids", [])


def read_specs(path: Path) -> list[ServerSpec]:
    """Reads the servers from a JSON file."""
    documents = json.loads(path.read_text(encoding="utf-8"))
    return [
        ServerSpec(
            **{
                **document,
                "index_versions": tuple(document.get("index_versions", [1])),
            }
        )
        for document in documents
    ]


def _parse_arguments(arguments: Sequence[str] | None) -> BackendSettings:
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--spec", type=Path, required=True)
    parser.add_argument("--log", type=Path, required=True)
    parser.add_argument("--control-port", type=int, required=True)
    parser.add_argument("--log-requests", action="store_true")
    return BackendSettings(**vars(parser.parse_args(arguments)))


def main(arguments: Sequence[str] | None = None) -> None:
    """Runs the backend servers until SIGTERM."""
    settings = _parse_arguments(arguments)
    ready_line = f"ready {_HOST}:{settings.control_port}"
    run_until_terminated(BackendStandin(settings), ready_line)


if __name__ == "__main__":
    main()
