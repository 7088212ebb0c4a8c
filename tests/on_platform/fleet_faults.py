"""Injects random, overlapping faults into a deployment and ends them again."""

import heapq
import itertools
import random
import signal
import time
from collections.abc import Callable
from typing import Final, NamedTuple

from deployment import RunningNode, configuration, route
from faulty_deployment import STORE, ZONES, FaultyDeployment
from fleet_callers import CallerFaults
from fleet_checks import CONFIG_APPLY_S
from fleet_history import FleetHistory, NamedLimit, Withdrawal
from standins import BackendStandIn, StoreCopy

from mulberrybay_testing.http_server import Delivery
from mulberrybay_testing.proxy_link import ProxySettings

# The nodes' setting stop_grace_s is 3; a node that needs a second more fails.
STOP_LIMIT_S: Final = 4.0
MIN_FAULT_S: Final = 0.3
MAX_FAULT_S: Final = 4.0
# The store rests until a change after its fault must be in force, and then some.
REST_RATIO: Final = 0.7
REST_S: Final = 2 * CONFIG_APPLY_S + 1.0
# Of so many seeds, one has faults of the store only: a node that starts again, or
# is told of a change by another fault's end, would hide what the others miss.
STORE_SEED_PERIOD: Final = 3
# How often all is written again, and changed, before nodes ask the store that has
# returned.
AT_ONCE_RATIO: Final = 0.5
# By then all nodes wait for the next change.
STEP_S: Final = 0.6
MAX_SILENCE_S: Final = 11.0
MAX_PAUSE_S: Final = 2.5
MAX_SLOW_S: Final = 1.5
LIMITS_PER_S: Final = (0.0, 2.0, 10.0)
UNREADABLE_LIMITS: Final = ("", "-1", "ten", "9" * 400)
# Series of signals and changes, each soon after the one before.
SERIES_COUNTS: Final = (4, 8)
MAX_SERIES_GAP_S: Final = 0.4
# Fields that make an entry name no server; empty for one that is missing.
ODD_FIELDS: Final[tuple[dict[str, object], ...]] = (
    {"address": "::1:8104", "revision": "", "sequence": ""},
    {"address": "a.example:80"},
    {"address": "127.0.0.1:99999"},
    {"address": ["127.0.0.1", 80]},
    {"warmup_left_ms": ""},
    {"state": "resting"},
)
# Longer than the time in which nodes must react, so that violations show.
WITHDRAWAL_S: Final = 7.0
# The store returns from one of the last copies, each a second apart.
COPY_PERIOD_S: Final = 1.0
MAX_COPY_COUNT: Final = 4
# Changes just before the store returns, of which only the last is written again.
LOST_COUNTS: Final = (0, 3)
CHANGE_COUNTS: Final = (1, 2)
MAX_AWAY_S: Final = 1.0
MAX_WRITE_AGAIN_S: Final = 2.0
NO_LINK_FAULTS: Final[ProxySettings] = {
    "cut": False,
    "delay_ms": 0,
    "silent_all": False,
    "one_way": None,
}
LINK_FAULTS: Final[tuple[ProxySettings, ...]] = (
    {"cut": True},
    {"delay_ms": 150},
    {"silent_all": True},
    {"one_way": "to_target"},
    {"one_way": "from_target"},
    {"drop_existing": True},
    # Open connections are silent for good, new ones work.
    {"silent": True},
)


class _ScheduledUndo(NamedTuple):
    """A scheduled end of a fault."""

    at_s: float
    number: int
    undo: Callable[[], None]


def disturbs_only_store(seed: int) -> bool:
    """Whether a seed has faults of the store only."""
    return seed % STORE_SEED_PERIOD == 0


class FleetFaults:
    """Injects faults and records them in the history.

    Attributes:
        problems: Processes that exited without being told to, and graceful
            stops that took too long or failed.
        fault_log: The faults so far, one line each, for the report.
        spares_servers: Whether backend servers have no faults, as during a
            rollout, where these would be faults of the version.
    """

    def __init__(
        self, deployment: FaultyDeployment, history: FleetHistory, seed: int
    ) -> None:
        self._deployment = deployment
        self._history = history
        self._random = random.Random(seed)
        self._caller_faults = CallerFaults(seed)
        self._scheduled: list[_ScheduledUndo] = []
        self._numbers = itertools.count()
        self._disrupted: set[str] = set()
        self._copies: list[StoreCopy] = []
        self._copied_at_s = 0.0
        self._disturbs_only_store = disturbs_only_store(seed)
        self._returns_store = seed % (2 * STORE_SEED_PERIOD) != 0
        self._revision = 1
        self._sequence = 1
        self.spares_servers = False
        self.problems: list[str] = []
        self.fault_log: list[str] = []
        self._kinds: tuple[Callable[[], None], ...] = (
            self._kill,
            self.stop_node,
            self._pause,
            self._reload,
            self._degrade_store,
            self._silence_store,
            self._disturb_store_link,
            self._forget_store_history,
            self._return_store,
            self._disturb_server_link,
            self._disturb_server_link,
            self._degrade_server,
            self._degrade_server,
            self._drain,
            self._remove,
            self._write_odd_entry,
            self._evacuate,
            self._change_configuration,
            self._limit_server,
            self._cut_off,
            self._start_series,
        )

    def inject(self) -> None:
        """Begins a random fault; with some seeds, one of the store."""
        kinds = self._kinds[:9] if self.spares_servers else self._kinds
        if self._disturbs_only_store:
            kinds = (self._silence_store,)
            if self._returns_store:
                kinds = (self._silence_store, self._return_store)
        elif self._caller_faults.is_due():
            self._send_as_callers()
        self._random.choice(kinds)()

    def tick(self) -> None:
        """Ends faults that are due, and restarts nodes that have exited."""
        if STORE not in self._disrupted and (
            time.monotonic() - self._copied_at_s >= COPY_PERIOD_S
        ):
            self._copied_at_s = time.monotonic()
            copy = self._deployment.take_store_copy()
            self._copies = [*self._copies[1 - MAX_COPY_COUNT :], copy]
        while self._scheduled and self._scheduled[0].at_s <= time.monotonic():
            heapq.heappop(self._scheduled).undo()
        for node in self._deployment.nodes:
            code = node.process.returncode
            if code is not None and node.name not in self._disrupted:
                self.problems.append(
                    f"{node.name} exited by itself with {code}"
                )
                self._restart(node)

    def end_all(self) -> None:
        """Waits until each fault's scheduled end and ends it."""
        while self._scheduled:
            scheduled = heapq.heappop(self._scheduled)
            time.sleep(max(0.0, scheduled.at_s - time.monotonic()))
            scheduled.undo()

    def _schedule(self, undo: Callable[[], None], after_s: float) -> None:
        at_s = time.monotonic() + after_s
        heapq.heappush(
            self._scheduled, _ScheduledUndo(at_s, next(self._numbers), undo)
        )

    def _duration_s(self, max_s: float = MAX_FAULT_S) -> float:
        return self._random.uniform(MIN_FAULT_S, max_s)

    def _begin(self, component: str, kind: str) -> None:
        self._disrupted.add(component)
        self._history.begin(component, kind)
        self.fault_log.append(f"{time.monotonic():.2f} {kind} {component}")

    def _end(self, component: str, kind: str) -> None:
        self._disrupted.discard(component)
        self._history.end(component, kind)
        self.fault_log.append(
            f"{time.monotonic():.2f} end of {kind} {component}"
        )

    # Nodes.

    def _pick_node(self) -> RunningNode | None:
        undisrupted = [
            n for n in self._deployment.nodes if n.name not in self._disrupted
        ]
        return self._random.choice(undisrupted) if undisrupted else None

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

        self._schedule(undo, self._duration_s())

    def stop_node(self) -> None:
        """Stops a node gracefully and starts it again."""
        node = self._pick_node()
        if node is None or not node.handles_signals():
            return
        self._begin(node.name, "stop")
        node.process.signal(signal.SIGTERM)

        def undo() -> None:
            if node.process.returncode != 0:
                self.problems.append(
                    f"{node.name}: exit code {node.process.returncode}"
                    f" {STOP_LIMIT_S} s after SIGTERM"
                )
                node.process.kill()
            self._restart(node)
            self._end(node.name, "stop")

        self._schedule(undo, STOP_LIMIT_S)

    def _pause(self) -> None:
        node = self._pick_node()
        if node is None:
            return
        self._begin(node.name, "pause")
        node.process.freeze()

        def undo() -> None:
            node.process.thaw()
            self._end(node.name, "pause")

        self._schedule(undo, self._duration_s(MAX_PAUSE_S))

    def _send_as_callers(self) -> None:
        nodes = self._deployment.nodes
        node = next((n for n in nodes if n.name not in self._disrupted), None)
        if node is None:
            return
        fault = self._caller_faults.start(node)
        self._begin(node.name, fault.name)

        def undo() -> None:
            self.problems += fault.end()
            self._end(node.name, fault.name)

        self._schedule(undo, MAX_FAULT_S)

    def _reload(self) -> None:
        node = self._pick_node()
        if node is not None and node.handles_signals():
            self.fault_log.append(f"{time.monotonic():.2f} reload {node.name}")
            node.process.signal(signal.SIGHUP)

    def _cut_off(self) -> None:
        """Cuts one to all nodes off from all backend servers."""
        deployment = self._deployment
        if not deployment.has_node_links:
            return
        names = [node.name for node in deployment.nodes]
        for name in self._random.sample(
            names, self._random.randint(1, len(names))
        ):
            component = f"{name} links"
            if component in self._disrupted:
                continue
            self._begin(component, "cut off")
            deployment.set_cut(name, is_cut=True)

            def undo(name: str = name, component: str = component) -> None:
                deployment.set_cut(name, is_cut=False)
                self._end(component, "cut off")

            self._schedule(undo, WITHDRAWAL_S)

    def _start_series(self) -> None:
        """Sends signals and makes changes in quick succession."""
        at_s = 0.0
        for _ in range(self._random.randint(*SERIES_COUNTS)):
            step = self._random.choice(
                (
                    self._reload,
                    self._reload,
                    self.stop_node,
                    self._kill,
                    self._change_configuration,
                    self._drain,
                )
            )
            self._schedule(step, at_s)
            at_s += self._random.uniform(0.0, MAX_SERIES_GAP_S)

    # The store.

    def _degrade_store(self) -> None:
        kinds = ("down", "busy", "silent", "lost answers")
        self._disturb_store(self._random.choice(kinds))

    def _silence_store(self) -> None:
        """Silences the store soon after a change, which all nodes then await."""
        if STORE not in self._disrupted:
            self._change_configuration()
            self._schedule(lambda: self._disturb_store("silent"), STEP_S)

    def _disturb_store(self, kind: str) -> None:
        if STORE in self._disrupted:
            return
        store = self._deployment.store
        self._begin(STORE, kind)
        store.status = {"down": 503, "busy": 429}.get(kind, 0)
        if kind == "silent":
            store.fall_silent()
        if kind == "lost answers":
            store.lost_answer_count = self._random.randint(1, 6)

        def undo() -> None:
            store.status = store.lost_answer_count = 0
            store.answer_again()
            self._end(STORE, kind)
            self._change_after_store_fault()

        max_s = MAX_SILENCE_S if kind == "silent" else MAX_FAULT_S
        self._schedule(undo, self._duration_s(max_s))

    def _change_after_store_fault(self, *, has_changed: bool = False) -> None:
        """Changes the configuration soon, and often lets the store rest then.

        The change must be in force in time only if nothing disturbs it.

        Args:
            has_changed: Whether it has just been changed.
        """
        rests = self._random.random() < REST_RATIO
        if rests or self._disturbs_only_store:
            self._disrupted.add(STORE)
            self._schedule(lambda: self._disrupted.discard(STORE), REST_S)
        if not has_changed:
            delay_s = self._random.uniform(0, CONFIG_APPLY_S)
            self._schedule(self._change_configuration, delay_s)

    def _disturb_store_link(self) -> None:
        if STORE not in self._disrupted:
            self._disturb_link(STORE)

    def _disturb_link(self, name: str) -> None:
        fault = self._random.choice(LINK_FAULTS)
        kind = " ".join(fault)
        self._begin(name, kind)
        self._deployment.set_link_faults(name, fault)

        def undo() -> None:
            # Existing connections are dropped: bytes were lost on them.
            self._deployment.set_link_faults(
                name, {**NO_LINK_FAULTS, "drop_existing": True}
            )
            self._end(name, kind)

        self._schedule(undo, self._duration_s())

    def _return_store(self) -> None:
        """Lets the store lose changes that the nodes have just learned.

        What is written again has other revisions of the store than before.
        """
        if STORE in self._disrupted or not self._copies:
            return
        for _ in range(self._random.randint(*LOST_COUNTS)):
            self._change_configuration()
        self._schedule(self._start_return, STEP_S)

    def _start_return(self) -> None:
        """Lets the store return from a copy that is some seconds old.

        What it lost is written again within the time that the users state.
        """
        if STORE in self._disrupted or not self._copies:
            return
        copy = self._random.choice(self._copies)
        self._copies.clear()
        store = self._deployment.store
        self._begin(STORE, "return")
        store.status = 503
        self._deployment.set_link_faults(STORE, {"drop_existing": True})

        def come_back() -> None:
            self._deployment.return_store_from(copy)
            if self._random.random() < AT_ONCE_RATIO:
                # So many that revisions of the store may be given out again.
                write_again(self._random.randint(*CHANGE_COUNTS))
                store.status = 0
                return
            store.status = 0
            again_s = self._random.uniform(0, MAX_WRITE_AGAIN_S)
            self._schedule(write_again, again_s)

        def write_again(change_count: int = 0) -> None:
            self._deployment.write_again()
            for _ in range(change_count):
                self._change_configuration()
            self._end(STORE, "return")
            self._change_after_store_fault(has_changed=change_count > 0)

        self._schedule(come_back, self._duration_s(MAX_AWAY_S))

    def _forget_store_history(self) -> None:
        if STORE not in self._disrupted:
            self.fault_log.append(f"{time.monotonic():.2f} forget history")
            self._deployment.forget_history()

    # Backend servers. The first zone's servers stay free of faults.

    def _pick_server(self) -> BackendStandIn | None:
        undisrupted = [
            server
            for servers in self._deployment.backends.values()
            for server in servers
            if server.server_id not in self._disrupted
            and server.zone != ZONES[0]
        ]
        return self._random.choice(undisrupted) if undisrupted else None

    def _disturb_server_link(self) -> None:
        server = self._pick_server()
        if server is not None:
            self._disturb_link(server.server_id)

    def _degrade_server(self) -> None:
        server = self._pick_server()
        if server is None:
            return
        kind = self._random.choice(
            ("slow", "shed", "fail", "cut short", "unresponsive")
        )
        self._begin(server.server_id, kind)
        if kind == "slow":
            server.delay_s = self._random.uniform(0.1, MAX_SLOW_S)
        elif kind in ("shed", "fail"):
            server.status = 503 if kind == "shed" else 500
        else:
            server.delivery = (
                Delivery.CUT_SHORT if kind == "cut short" else Delivery.LOST
            )

        def undo() -> None:
            server.delay_s, server.status = 0.0, 200
            server.delivery = Delivery.WHOLE
            self._end(server.server_id, kind)

        self._schedule(undo, self._duration_s())

    def _limit_server(self) -> None:
        """Lets a server name a limit of its rate, or bytes that are none."""
        server = self._pick_server()
        if server is None:
            return
        per_s = self._random.choice((*LIMITS_PER_S, None))
        value = (
            self._random.choice(UNREADABLE_LIMITS) if per_s is None else per_s
        )
        kind = f"limit of {value}"
        self._begin(server.server_id, kind)
        server.headers = (("Server-Limit", str(value)),)
        began_at_s = time.monotonic()

        def undo() -> None:
            server.headers = ()
            if per_s is not None:
                self._history.limits.append(
                    NamedLimit(
                        server.server_id, per_s, began_at_s, time.monotonic()
                    )
                )
            self._end(server.server_id, kind)

        self._schedule(undo, WITHDRAWAL_S)

    def _withdraw(
        self,
        component: str,
        reason: str,
        servers: list[BackendStandIn],
        begin: Callable[[], None],
        restore: Callable[[], None],
    ) -> None:
        self._begin(component, reason)
        begin()
        began_at_s = time.monotonic()

        def undo() -> None:
            self._history.withdrawals += [
                Withdrawal(
                    server.server_id, reason, began_at_s, time.monotonic()
                )
                for server in servers
            ]
            restore()
            self._end(component, reason)

        self._schedule(undo, WITHDRAWAL_S)

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

    def _write_odd_entry(self) -> None:
        """Writes entries of another writer, which name no server to use."""
        name = f"odd-{next(self._numbers)}"
        for servers in self._deployment.backends.values():
            odd = self._random.choice(ODD_FIELDS)
            entry = {**servers[0].entry(), **odd}
            entry = {key: value for key, value in entry.items() if value != ""}
            self._deployment.put(
                "servers", f"{name}-{servers[0].service}", entry
            )
        self.fault_log.append(f"{time.monotonic():.2f} odd entries {name}")

        def undo() -> None:
            for service in self._deployment.backends:
                self._deployment.remove("servers", f"{name}-{service}")

        self._schedule(undo, WITHDRAWAL_S)

    # The operator.

    def _evacuate(self) -> None:
        zone = ZONES[1]
        if zone in self._disrupted:
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

    def _change_configuration(self) -> None:
        self._revision += 1
        name = f"revision-{self._revision}"
        document = configuration(self._revision)
        document["routes"].append(route(name, f"/{name}/", service="records"))
        self._deployment.put("config", "main", document)
        self._history.configured_at_s[self._revision] = time.monotonic()
        self.fault_log.append(f"{time.monotonic():.2f} configure {name}")
