"""Injects random faults into a proxied deployment, several at a time."""

from __future__ import annotations

import random
import signal
from collections.abc import Callable
from typing import Any, Final, NamedTuple

from mulberrybay_core.run_record import record_kind
from mulberrybay_testing.http_caller import make_key
from mulberrybay_testing.proxied_deployment import PLATFORM, ProxiedDeployment

ALL_SERVERS: Final = {"all": True}


class Fault(NamedTuple):
    """A step that starts a fault or ends one or more faults.

    Attributes:
        name: Describes the step and the process that it affects.
        inject: Runs the step.
    """

    name: str
    inject: Callable[[], object]


class FaultInjector:
    """Injects pairs of faults; equal seeds choose equal faults."""

    def __init__(
        self, deployment: ProxiedDeployment, source: random.Random
    ) -> None:
        self._deployment = deployment
        self._random = source

    def inject(self) -> list[str]:
        """Runs two steps that start or end faults; returns their names."""
        chosen = self._random.sample(self._faults(), 2)
        for fault in chosen:
            fault.inject()
        return [fault.name for fault in chosen]

    def _faults(self) -> list[Fault]:
        index = self._random.randrange(3)
        loss = {
            "kind": record_kind(make_key()),
            "count": self._random.randrange(1, 4),
        }
        outage = self._random.choice(["refuse", "silent", "unavailable"])
        reply_fault = self._random.choice(["cut_short", "duplicate", "swap"])
        return [
            *self._process_faults(index),
            *self._link_faults(f"node-{index + 1}"),
            self._platform_fault(outage=outage),
            self._platform_fault(outage=None, delay_s=0.0),
            self._platform_fault(outage=None, delay_s=0.0),
            self._platform_fault(delay_s=0.3),
            self._platform_fault(lose_answers=loss),
            self._platform_fault(lose_requests=loss),
            self._server_fault(
                reply_fault=reply_fault, reply_fault_probability=0.3
            ),
            self._server_fault(refuse_shed=True),
            self._server_fault(refuse_shed=False, slow_factor=20.0),
            self._server_fault(
                refuse_shed=False, reply_fault=None, slow_factor=1.0
            ),
        ]

    def _process_faults(self, index: int) -> list[Fault]:
        node = self._deployment.nodes[index]
        process, name = node.process, node.node_id
        return [
            Fault(f"freeze {name}", process.freeze),
            Fault(f"kill {name}", lambda: process.signal(signal.SIGKILL)),
            Fault(f"stop {name}", lambda: process.signal(signal.SIGTERM)),
            Fault("thaw all nodes", self._thaw_all),
        ]

    def _thaw_all(self) -> None:
        for node in self._deployment.nodes:
            node.process.thaw()

    def _link_faults(self, name: str) -> list[Fault]:
        return [
            self._proxy_fault(name, drop_existing=True),
            self._proxy_fault(name, silent=True),
            self._proxy_fault(name, cut=True),
            self._proxy_fault(name, cut=False),
            self._proxy_fault(PLATFORM, drop_existing=True),
            self._proxy_fault(PLATFORM, silent=True),
        ]

    def _proxy_fault(self, name: str, **settings: bool) -> Fault:
        return Fault(
            f"links of {name}: {settings}",
            lambda: self._deployment.control_proxies(name, **settings),
        )

    def _platform_fault(self, **settings: Any) -> Fault:  # noqa: ANN401
        return Fault(
            f"platform: {settings}",
            lambda: self._deployment.control_platform(**settings),
        )

    def _server_fault(self, **settings: Any) -> Fault:  # noqa: ANN401
        return Fault(
            f"backend servers: {settings}",
            lambda: self._deployment.control_backends(ALL_SERVERS, **settings),
        )
