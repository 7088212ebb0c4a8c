"""Stand-in of backend servers; one process hosts several of them."""

from __future__ import annotations

import argparse
import json
from collections.abc import Sequence
from pathlib import Path
from typing import NamedTuple, TypedDict, cast

from mulberrybay_testing.backend_faults import ServerSettings
from mulberrybay_testing.backend_model import ServerSpec
from mulberrybay_testing.backend_server import BackendServer
from mulberrybay_testing.control_document import parse_control
from mulberrybay_testing.control_server import serve_control
from mulberrybay_testing.event_log import EventLog


class BackendSettings(NamedTuple):
    """Settings of the process that hosts the backend servers."""

    spec: Path
    log: Path
    control_port: int
    log_requests: bool


class BackendControl(TypedDict, total=False):
    """A control document: the selected servers and their new settings."""

    vm_ids: list[str]
    failure_domain: str
    all: bool
    set: ServerSettings


class BackendStandin:
    """Hosts backend servers that control documents change."""

    def __init__(self, settings: BackendSettings, log: EventLog) -> None:
        self._servers = [
            BackendServer(spec, log, logs_requests=settings.log_requests)
            for spec in read_specs(settings.spec)
        ]

    def components(self) -> list[BackendServer]:
        """Returns the backend servers."""
        return self._servers

    def counters(self) -> dict[str, object]:
        """Returns the counters of each server, by vm_id."""
        return {item.spec.vm_id: item.counters() for item in self._servers}

    async def apply_control(self, body: bytes) -> dict[str, object]:
        """Applies the settings to the servers that the document selects."""
        document = parse_control(
            body, BackendControl.__annotations__, ServerSettings.__annotations__
        )
        control = cast(BackendControl, document)
        chosen = [item for item in self._servers if _is_selected(item, control)]
        for server in chosen:
            await server.apply(control["set"])
        return {"servers": len(chosen)}


def _is_selected(server: BackendServer, control: BackendControl) -> bool:
    if control.get("all"):
        return True
    if "failure_domain" in control:
        return server.spec.failure_domain == control["failure_domain"]
    return server.spec.vm_id in control.get("vm_ids", [])


def read_specs(path: Path) -> list[ServerSpec]:
    """Reads the specs of the servers from a JSON file."""
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
    log = EventLog(settings.log)
    serve_control(BackendStandin(settings, log), log, settings.control_port)


if __name__ == "__main__":
    main()
