"""Fixtures that start stand-ins as processes."""

from __future__ import annotations

import json
from collections.abc import Callable, Iterator
from pathlib import Path

import pytest

from mulberrybay_testing.ports import free_port
from mulberrybay_testing.processes import Processes
from mulberrybay_testing.standin_calls import (
    Backend,
)


@pytest.fixture
def processes(tmp_path: Path) -> Iterator[Processes]:
    with Processes(tmp_path / "output") as owner:
        yield owner


@pytest.fixture
def platform(processes: Processes, tmp_path: Path) -> int:
    port = free_port()
    log = tmp_path / "platform.jsonl"
    processes.start_module(
        "platform_standin", "platform_standin", "--port", port, "--log", log
    ).wait_ready()
    return port


@pytest.fixture
def start_backend(
    processes: Processes, tmp_path: Path
) -> Callable[..., Backend]:
    def start(**overrides: object) -> Backend:
        spec = {
            "vm_id": "b1",
            "host": "127.0.0.1",
            "port": free_port(),
            "service": "field-search",
            "failure_domain": "d1",
            "slot_count": 3,
            "connection_cap": 30,
            "service_time_ms": 5,
            **overrides,
        }
        spec_path = tmp_path / "spec.json"
        spec_path.write_text(json.dumps([spec]))
        backend = Backend(spec["port"], free_port(), tmp_path / "b.jsonl")
        options = ("--spec", spec_path, "--log", backend.log)
        control = ("--control-port", backend.control_port)
        processes.start_module(
            "backend_standin", "backend_standin", *options, *control
        ).wait_ready()
        return backend

    return start
