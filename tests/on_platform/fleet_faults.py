"""Random faults of a deployment: begun, overlapping, and ended again."""

import heapq
import itertools
import random
import signal
import time
from collections.abc import Callable
from typing import Final, NamedTuple

from deployment import RunningNode, configuration, route
from faulty_deployment import STORE, ZONES, FaultyDeployment
from fleet_history import FleetHistory, Withdrawn
from standins import BackendStandIn

from mulberrybay_testing.http_server import Delivery
from mulberrybay_testing.proxy_link import ProxySettings

# The settings of the deployment give a stop 3 s; a second more is a miss.
STOP_LIMIT_S: Final = 4.0
MIN_FAULT_S: Final = 0.3
MAX_FAULT_S: Final = 4.0
MAX_PAUSE_S: Final = 2.5
MAX_SLOW_S: Final = 1.5
# Longer than the rules give the nodes to follow, so that a miss shows.
WITHDRAWN_S: Final = 7.0
HEALED: Final[ProxySettings] = {
    "cut": False,
    "delay_ms": 0,
    "silent_all": False,
    "one_way": None,
}
WAY_FAULTS: Final[tuple[ProxySettings, ...]] = (
    {"cut": True},
    {"delay_ms": 150},
    {"silent_all": True},
    {"one_way": "to_target"},
    {"one_way": "from_target"},
    {"drop_existing": True},
)


class _Due(NamedTuple):
    """What ends a fault, and when."""

    at_s: float
    number: int
    undo: Callable[[], None]


class FleetFaults:
    """Injects faults and notes them in the history.

    Attributes:
        problems: Ends of processes that nobody asked for, and stops that
            took too long.
        told: The faults so far, for the report.
    """

    def __init__(
        self, deployment: FaultyDeployment, history: FleetHistory, seed: int
    ) -> None:
        self._deployment = deployment
        self._history = history
        self._random = random.Random(seed)
        self._due: list[_Due] = []
        self._numbers = itertools.count()
        self._busy: set[str] = set()
        self._revision = 1
        self._sequence = 1
        self.problems: list[str] = []
        self.told: list[str] = []
        self._kinds: tuple[Callable[[], None], ...] = (
            self._kill,
            self._stop,
            self._pause,
            self._hang_up,
            self._harm_store,
            self._cut_store,
            self._forget,
            self._cut_server,
            self._cut_server,
            self._harm_server,
            self._harm_server,
            self._drain,
            self._remove,
            self._evacuate,
            self._configure,
        )

    def inject(self) -> None:
        """Begins a random fault."""
        self._random.choice(self._kinds)()

    def tick(self) -> None:
        """Ends the faults that are due and looks after the processes."""
        while self._due and self._due[0].at_s <= time.monotonic():
            heapq.heappop(self._due).undo()
        for node in self._deployment.nodes:
            code = node.process.returncode
            if code is not None and node.name not in self._busy:
                self.problems.append(f"{node.name} ended by itself: {code}")
                self._restart(node)

    def heal(self) -> None:
        """Ends all faults, those that wait for a stop included."""
        while self._due:
            due = heapq.heappop(self._due)
            time.sleep(max(0.0, due.at_s - time.monotonic()))
            due.undo()

    def _later(self, undo: Callable[[], None], after_s: float) -> None:
        at_s = time.monotonic() + after_s
        heapq.heappush(self._due, _Due(at_s, next(self._numbers), undo))

    def _duration_s(self, most_s: float = MAX_FAULT_S) -> float:
        return self._random.uniform(MIN_FAULT_S, most_s)

    def _begin(self, where: str, kind: str) -> None:
        self._busy.add(where)
        self._history.begin(where, kind)
        self.told.append(f"{time.monotonic():.2f} {kind} {where}")

    def _end(self, where: str, kind: str) -> None:
        self._busy.discard(where)
        self._history.end(where, kind)
        self.told.append(f"{time.monotonic():.2f} end of {kind} {where}")

    # Nodes.

    def _pick_node(self) -> RunningNode | None:
        idle = [n for n in self._deployment.nodes if n.name not in self._busy]
        return self._random.choice(idle) if idle else None

    def _restart(self, node: RunningNode) -> None:
        self._deployment.restart(node)

    def _kill(self) -> None:
        node = self._pick_node()
        if node is None:
            return
        self._begin(node.name, "kill")
        node.process.kill()

        def undo() -> None:
            self._restart(node)
            self._end(node.name, "kill")

        self._later(undo, self._duration_s())

    def _stop(self) -> None:
        node = self._pick_node()
        if node is None or not node.takes_signals():
            return
        self._begin(node.name, "stop")
        node.process.signal(signal.SIGTERM)

        def undo() -> None:
            if node.process.returncode != 0:
                self.problems.append(
                    f"{node.name}: {node.process.returncode} after"
                    f" {STOP_LIMIT_S} s of a stop"
                )
                node.process.kill()
            self._restart(node)
            self._end(node.name, "stop")

        self._later(undo, STOP_LIMIT_S)

    def _pause(self) -> None:
        node = self._pick_node()
        if node is None:
            return
        self._begin(node.name, "pause")
        node.process.freeze()

        def undo() -> None:
            node.process.thaw()
            self._end(node.name, "pause")

        self._later(undo, self._duration_s(MAX_PAUSE_S))

    def _hang_up(self) -> None:
        node = self._pick_node()
        if node is not None and node.takes_signals():
            self.told.append(f"{time.monotonic():.2f} hang up {node.name}")
            node.process.signal(signal.SIGHUP)

    # The store.

    def _harm_store(self) -> None:
        if STORE in self._busy:
            return
        store = self._deployment.store
        kind = self._random.choice(("down", "busy", "mute", "lost"))
        self._begin(STORE, kind)
        store.status = {"down": 503, "busy": 429}.get(kind, 0)
        store.is_silent = kind == "mute"
        if kind == "lost":
            store.lost_count = self._random.randint(1, 6)

        def undo() -> None:
            store.status, store.is_silent, store.lost_count = 0, False, 0
            self._end(STORE, kind)

        self._later(undo, self._duration_s())

    def _cut_store(self) -> None:
        if STORE not in self._busy:
            self._cut_way(STORE)

    def _cut_way(self, name: str) -> None:
        fault = self._random.choice(WAY_FAULTS)
        kind = " ".join(fault)
        self._begin(name, kind)
        self._deployment.set_way(name, fault)

        def undo() -> None:
            # Bytes were lost on the connections that went through it.
            self._deployment.set_way(name, {**HEALED, "drop_existing": True})
            self._end(name, kind)

        self._later(undo, self._duration_s())

    def _forget(self) -> None:
        if STORE not in self._busy:
            self.told.append(f"{time.monotonic():.2f} forget history")
            self._deployment.forget_history()

    # Backend servers. One zone at least is left alone.

    def _pick_server(self) -> BackendStandIn | None:
        idle = [
            server
            for servers in self._deployment.backends.values()
            for server in servers
            if server.server_id not in self._busy and server.zone != ZONES[0]
        ]
        return self._random.choice(idle) if idle else None

    def _cut_server(self) -> None:
        server = self._pick_server()
        if server is not None:
            self._cut_way(server.server_id)

    def _harm_server(self) -> None:
        server = self._pick_server()
        if server is None:
            return
        kind = self._random.choice(("slow", "shed", "fail", "short", "mute"))
        self._begin(server.server_id, kind)
        if kind == "slow":
            server.delay_s = self._random.uniform(0.1, MAX_SLOW_S)
        elif kind in ("shed", "fail"):
            server.status = 503 if kind == "shed" else 500
        else:
            server.delivery = (
                Delivery.CUT_SHORT if kind == "short" else Delivery.LOST
            )

        def undo() -> None:
            server.delay_s, server.status = 0.0, 200
            server.delivery = Delivery.WHOLE
            self._end(server.server_id, kind)

        self._later(undo, self._duration_s())

    def _withdraw(
        self,
        where: str,
        rule: str,
        servers: list[BackendStandIn],
        begin: Callable[[], None],
        take_back: Callable[[], None],
    ) -> None:
        self._begin(where, rule)
        begin()
        began_at_s = time.monotonic()

        def undo() -> None:
            self._history.withdrawn += [
                Withdrawn(server.server_id, rule, began_at_s, time.monotonic())
                for server in servers
            ]
            take_back()
            self._end(where, rule)

        self._later(undo, WITHDRAWN_S)

    def _register(self, server: BackendStandIn, state: str) -> None:
        self._sequence += 1
        entry = server.entry(state=state, sequence=self._sequence)
        self._deployment.put("servers", server.server_id, entry)

    def _drain(self) -> None:
        server = self._pick_server()
        if server is not None:
            self._withdraw(
                server.server_id,
                "drain",
                [server],
                lambda: self._register(server, "draining"),
                lambda: self._register(server, "ready"),
            )

    def _remove(self) -> None:
        server = self._pick_server()
        if server is not None:
            self._withdraw(
                server.server_id,
                "remove",
                [server],
                lambda: self._deployment.remove("servers", server.server_id),
                lambda: self._register(server, "ready"),
            )

    # The operator.

    def _evacuate(self) -> None:
        zone = ZONES[1]
        if zone in self._busy:
            return
        servers = [
            server
            for servers in self._deployment.backends.values()
            for server in servers
            if server.zone == zone
        ]
        self._withdraw(
            zone,
            "evacuate",
            servers,
            lambda: self._deployment.put("evacuations", zone, {}),
            lambda: self._deployment.remove("evacuations", zone),
        )

    def _configure(self) -> None:
        self._revision += 1
        name = f"revision-{self._revision}"
        document = configuration(self._revision)
        document["routes"].append(route(name, f"/{name}/", service="records"))
        self._deployment.put("config", "main", document)
        self._history.configured[self._revision] = time.monotonic()
        self.told.append(f"{time.monotonic():.2f} configure {name}")
