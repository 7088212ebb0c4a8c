"""Access to a deployment's platform, backend servers and nodes."""

from __future__ import annotations

import json
import time
import uuid
from collections.abc import Mapping
from pathlib import Path
from typing import Any, NamedTuple

from mulberrybay_core.configuration import Configuration
from mulberrybay_core.documents import encode_configuration, encode_snapshots
from mulberrybay_core.snapshot import IndexSnapshot
from mulberrybay_testing.class_spec import ClassSpec
from mulberrybay_testing.control_client import get_control, post_control
from mulberrybay_testing.event_log import Event, read_events
from mulberrybay_testing.http_caller import HttpAnswer, send_request
from mulberrybay_testing.processes import ManagedProcess


class NodeProcess(NamedTuple):
    """One node, its ports and its process."""

    node_id: str
    failure_domain: str
    caller_port: int
    peer_port: int
    operator_port: int
    process: ManagedProcess
    settings_path: Path


class DeploymentAccess:
    """Sends requests to the processes of a deployment and controls them.

    Attributes:
        classes: The classes of work.
        platform_port: The port of the platform.
        backend_control_port: The control port of the backend servers.
        nodes: The nodes that were started, also those that ended since.
        backends: The specifications of the backend servers.
    """

    def __init__(
        self,
        folder: Path,
        classes: tuple[ClassSpec, ...],
        platform_port: int,
        backend_control_port: int,
    ) -> None:
        self._folder = folder
        self.classes = classes
        self.platform_port = platform_port
        self.backend_control_port = backend_control_port
        self.nodes: list[NodeProcess] = []
        self.backends: list[dict[str, Any]] = []
        self._vms: list[dict[str, Any]] = []

    # Objects in the platform's store.

    def put_object(
        self, kind: str, name: str, value: object, expected_version: int = 0
    ) -> HttpAnswer:
        """Writes an object directly to the platform's store.

        Args:
            kind: The kind of the object.
            name: Its name; slashes are escaped.
            value: Its value, written as JSON.
            expected_version: The version to replace; 0 if there must be none.
        """
        condition = {"If-Match": f'"{expected_version}"'}
        if not expected_version:
            condition = {"If-None-Match": "*"}
        return send_request(
            self.platform_port,
            "PUT",
            f"/v1/objects/{kind}/{name.replace('/', '%2F')}",
            json.dumps(value).encode(),
            condition,
        )

    def get_object(self, kind: str, name: str) -> HttpAnswer:
        """Reads an object directly from the platform's store."""
        return send_request(
            self.platform_port, "GET", f"/v1/objects/{kind}/{name}"
        )

    def put_configuration(self, **changes: Any) -> int:  # noqa: ANN401
        """Writes the next configuration revision directly to the store.

        Args:
            changes: Fields of `Configuration` that differ from the default.

        Returns:
            The number of the revision.
        """
        stored = self.get_object("configuration", "current")
        version = stored.json()["version"] if stored.status == 200 else 0
        revision = 1
        if version:
            revision = stored.json()["value"]["revision"] + 1
        configuration = Configuration(
            revision=revision,
            change_id=f"change-{revision}",
            author="test",
            changed_at_s=time.time(),
            classes=tuple(spec.work_class for spec in self.classes),
            out_domains=frozenset(),
            out_servers=frozenset(),
        )._replace(**changes)
        self.put_object(
            "configuration",
            "current",
            encode_configuration(configuration),
            version,
        )
        return revision

    def put_snapshots(self) -> None:
        """Writes index version 1 of every class directly to the store."""
        for spec in self.classes:
            name = spec.work_class.name
            snapshot = IndexSnapshot(name, 1, spec.services)
            self.put_object("snapshots", name, encode_snapshots((snapshot,)))

    # Control and observation.

    def control_platform(self, **document: Any) -> None:  # noqa: ANN401
        """Changes the behaviour of the platform, for example its faults."""
        post_control(self.platform_port, document)

    def control_backends(
        self,
        target: Mapping[str, Any],
        **changes: Any,  # noqa: ANN401
    ) -> None:
        """Changes the behaviour of backend servers.

        Args:
            target: The servers, by "vm_ids", "failure_domain" or "all".
            changes: The settings to change and their new values.
        """
        document = {**target, "set": changes}
        post_control(self.backend_control_port, document)

    def backend_counters(self) -> dict[str, Any]:
        """Returns the counters of the backend servers, by vm_id."""
        return get_control(self.backend_control_port)

    def backend_events(self, name: str | None = None) -> list[Event]:
        """Returns the backend servers' log events, by default of any name."""
        events = read_events(self._folder / "backends.log")
        return [e for e in events if name is None or e["event"] == name]

    def vms(self) -> list[dict[str, Any]]:
        """Returns the VMs that the platform was started with."""
        return list(self._vms)

    def platform_events(self) -> list[Event]:
        """Returns the platform's log events."""
        return read_events(self._folder / "platform.log")

    def status(self, node: NodeProcess) -> dict[str, Any]:
        """Returns a node's status."""
        answer = send_request(
            node.operator_port,
            "GET",
            "/v1/status",
            headers={"Authorization": "Bearer test-token"},
        )
        document: dict[str, Any] = answer.json()
        return document

    def change(
        self,
        node: NodeProcess,
        path: str,
        document: object,
        **headers: str,
    ) -> HttpAnswer:
        """Sends a change through a node's administration API.

        Args:
            node: The node that receives the request.
            path: For example "/v1/domains/d2" or "/v1/servers/vm-1".
            document: The request body, for example {"state": "out"}.
            headers: Additional headers, with an underscore for each hyphen:
                If_Match for If-Match.
        """
        named = {key.replace("_", "-"): text for key, text in headers.items()}
        return send_request(
            node.operator_port,
            "PUT",
            path,
            json.dumps(document).encode(),
            {
                "Authorization": "Bearer test-token",
                "Change-Id": uuid.uuid4().hex,
                "Operator": "test",
                **named,
            },
        )

    # Callers' requests.

    def query(
        self,
        node: NodeProcess,
        class_name: str = "field-search",
        body: object = "valve",
        deadline_ms: int = 2000,
        **headers: str,
    ) -> HttpAnswer:
        """Sends a query to a node."""
        path = f"/v1/query/{class_name}"
        return _send_caller_request(node, path, body, deadline_ms, headers)

    def run(
        self,
        node: NodeProcess,
        idempotency_key: str,
        class_name: str = "route-planner",
        body: object = "van",
        deadline_ms: int = 2000,
    ) -> HttpAnswer:
        """Sends a non-idempotent request to a node."""
        headers = {"Idempotency-Key": idempotency_key}
        path = f"/v1/run/{class_name}"
        return _send_caller_request(node, path, body, deadline_ms, headers)


def _send_caller_request(
    node: NodeProcess,
    path: str,
    body: object,
    deadline_ms: int,
    headers: Mapping[str, str],
) -> HttpAnswer:
    return send_request(
        node.caller_port,
        "POST",
        path,
        json.dumps(body).encode(),
        {"X-Deadline-Ms": str(deadline_ms), **headers},
    )
