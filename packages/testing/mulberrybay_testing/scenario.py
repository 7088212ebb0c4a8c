"""Scenarios: a deployment, its load and timed actions, such as faults."""

from __future__ import annotations

import asyncio
import json
import signal
import tomllib
from pathlib import Path
from typing import Any, Final, NamedTuple

from mulberrybay_core.configuration import Targets
from mulberrybay_core.documents import encode_snapshots
from mulberrybay_core.snapshot import IndexSnapshot
from mulberrybay_testing.class_spec import ClassSpec, search_class
from mulberrybay_testing.deployment import Deployment
from mulberrybay_testing.load_generator import LoadSpec

SCENARIO_FOLDER: Final = Path(__file__).with_name("scenarios")
_SIGNALS: Final = {
    "kill": signal.SIGKILL,
    "freeze": signal.SIGSTOP,
    "thaw": signal.SIGCONT,
}


class ClassLoad(NamedTuple):
    """One class of work of a scenario and its load.

    Attributes:
        load: The load to send.
        targets: The targets of the class of work.
        shard_count: Number of shards, each with its own service.
        class_options: Further arguments of `search_class`.
    """

    load: LoadSpec
    targets: Targets
    shard_count: int
    class_options: dict[str, Any]

    def make_class_spec(self) -> ClassSpec:
        """Returns the specification of the class of work and its servers."""
        return search_class(
            self.load.class_name,
            self.shard_count,
            targets=self.targets,
            **self.class_options,
        )


class Scenario(NamedTuple):
    """A scenario as read from its TOML file.

    Attributes:
        name: The name of the file without its suffix.
        classes: The classes of work; `index_version` actions apply to the
            first.
        settle_s: Time to settle; nearly all figures leave out queries sent
            before it.
        node_count: Number of nodes.
        actions: Changes and faults during the load: tables with `at_s` and
            one of `backends`, `platform`, `out_domains`, `index_version` or
            `node`.
    """

    name: str
    classes: tuple[ClassLoad, ...]
    settle_s: float
    node_count: int
    actions: tuple[dict[str, Any], ...]

    def make_deployment(self, folder: Path, arm: str) -> Deployment:
        """Returns a deployment for a policy arm, not yet started."""
        classes = tuple(item.make_class_spec() for item in self.classes)
        return Deployment(folder, classes, self.node_count, {"policy.arm": arm})


def load_scenario(name: str) -> Scenario:
    """Reads a scenario of this package by name, or any `.toml` file.

    Raises:
        OSError: The file cannot be read.
        tomllib.TOMLDecodeError: The file is not valid TOML.
    """
    path = Path(name)
    if path.suffix != ".toml":
        path = SCENARIO_FOLDER / f"{name}.toml"
    document = tomllib.loads(path.read_text(encoding="utf-8"))
    return Scenario(
        name=path.stem,
        classes=tuple(
            _read_class(item) for item in (document, *document.get("other", []))
        ),
        settle_s=document.get("settle_s", 0.0),
        node_count=document.get("node_count", 3),
        actions=tuple(
            sorted(document.get("actions", []), key=lambda act: act["at_s"])
        ),
    )


def _read_class(document: dict[str, Any]) -> ClassLoad:
    return ClassLoad(
        load=LoadSpec(**document["load"]),
        targets=Targets(**document["targets"]),
        shard_count=document["shard_count"],
        class_options=document.get("class", {}),
    )


async def perform_actions(scenario: Scenario, deployment: Deployment) -> None:
    """Performs the actions, each at its time relative to the call."""
    started_at_s = asyncio.get_running_loop().time()
    for action in scenario.actions:
        now_s = asyncio.get_running_loop().time()
        await asyncio.sleep(max(0, started_at_s + action["at_s"] - now_s))
        await asyncio.to_thread(_perform_action, action, deployment)


def _perform_action(action: dict[str, Any], deployment: Deployment) -> None:
    match action:
        case {"backends": target, "set": changes}:
            if "servers" in target:
                vm_ids = [
                    deployment.backends[i]["vm_id"] for i in target["servers"]
                ]
                target = {"vm_ids": vm_ids}
            deployment.control_backends(target, **changes)
        case {"platform": document}:
            deployment.control_platform(**document)
        case {"out_domains": domains}:
            deployment.put_configuration(out_domains=frozenset(domains))
        case {"index_version": version}:
            _put_next_snapshot(deployment, version, action.get("services"))
        case {"node": index, "do": operation}:
            deployment.nodes[index].process.signal(_SIGNALS[operation])
        case _:
            raise ValueError(f"unknown action {json.dumps(action)}")


def _put_next_snapshot(
    deployment: Deployment, version: int, service_count: int | None
) -> None:
    """Adds an index version that uses the first `service_count` services.

    All services are used if `service_count` is None.
    """
    spec = deployment.classes[0]
    name = spec.work_class.name
    stored_object = deployment.get_object("snapshots", name).json()
    services = spec.services[:service_count]
    snapshots = (
        IndexSnapshot(name, version - 1, spec.services),
        IndexSnapshot(name, version, services),
    )
    deployment.put_object(
        "snapshots", name, encode_snapshots(snapshots), stored_object["version"]
    )
