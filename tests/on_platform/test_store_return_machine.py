"""Nodes follow a store that returns from older copies, in any order of faults.

The views, watches and caches of three nodes run on a clock of the test against
a model of the store. Hypothesis chooses what operators and backend servers
write, and when the store returns from a copy, forgets its history, refuses a
node, loses replies, sends them late or falls silent. A configuration must be in
force in time, and none may go back.
"""

import heapq
import itertools
import math
import os
import random
from collections.abc import Callable
from typing import Any, Final

from hypothesis import HealthCheck, Phase, settings, strategies
from hypothesis.stateful import (
    RuleBasedStateMachine,
    initialize,
    invariant,
    rule,
    run_state_machine_as_test,
)
from model_store import ModelClient, ModelCopy, ModelStore

from mulberrybay_core.follow_times import DEFAULT_FOLLOW_TIMES
from mulberrybay_core.restore_rules import RESTORE_PERIOD_S
from mulberrybay_core.store_position import era_of
from mulberrybay_deployment.documents import DeploymentDocuments
from mulberrybay_edge.decision_log import DecisionLog
from mulberrybay_edge.platform_view import PlatformView
from mulberrybay_edge.store_watch import (
    FIRST_RETRY_S,
    MAX_RETRY_S,
    StoreWatch,
)
from mulberrybay_runtime.backoff import Backoff

NODE_COUNT: Final = 3
STEP_S: Final = 0.1
AWAY_S: Final = 0.5
MAX_COPY_AGE_S: Final = 4.0
# Stale lists lack the changes of this time.
MAX_STALE_S: Final = 1.5
# Within this time, all that the copy lacks has been written again.
MAX_WRITE_AGAIN_S: Final = 2.0
# A node notices the return within its bound, and then prefers what it knows for a
# while; so does a node that takes it from this one at the end of that time. The
# last term is for calls, and for peers that ask for the list.
CONTACT_S: Final = 4.0
CONFIG_APPLY_S: Final = 3.0
SETTLE_S: Final = CONTACT_S + 2 * RESTORE_PERIOD_S + 2.0
EXAMPLE_COUNT: Final = int(os.environ.get("MULBERRYBAY_EXAMPLES", "250"))
MAX_SILENCE_S: Final = 11.0
SERVICE: Final = "records"
DOMAINS: Final = ("zone-a", "zone-b")
# The time after each step is one of these.
SPANS_S: Final = (0.1, 0.1, 0.4, 1.0, 2.0)
node_numbers = strategies.integers(0, NODE_COUNT - 1)


class _Clock:
    """A clock with timers."""

    def __init__(self) -> None:
        self.now_s = 100.0
        self._heap: list[tuple[float, int, Callable[[], None]]] = []
        self._numbers = itertools.count()

    def read_s(self) -> float:
        return self.now_s

    def call_later(self, delay_s: float, callback: Callable[[], None]) -> None:
        due_s = self.now_s + delay_s
        heapq.heappush(self._heap, (due_s, next(self._numbers), callback))

    def advance(self, span_s: float) -> None:
        end_s = self.now_s + span_s
        while self._heap and self._heap[0][0] <= end_s:
            due_s, _, callback = heapq.heappop(self._heap)
            self.now_s = max(self.now_s, due_s)
            callback()
        self.now_s = end_s


class _Node:
    """The view of one incarnation of a node."""

    def __init__(self, store: ModelStore, clock: _Clock, seed: int) -> None:
        self.client = ModelClient(store, clock.call_later, random.Random(seed))
        self.view = PlatformView(
            self.client,  # type: ignore[arg-type]
            clock,  # type: ignore[arg-type]
            DeploymentDocuments(),
            DecisionLog(clock.read_s),
            lambda table: None,
            0.0,
            clock.read_s,
        )
        # What this incarnation has known: servers that left, out domains.
        self.left_ids: set[str] = set()
        self.seen_ids: set[str] = set()
        self.out_domains: set[str] = set()
        self.revision = 0
        self.disrupted_until_s = clock.read_s()
        for watch in self.view.watches:
            watch.serves_others = True
            watch._backoff = Backoff(
                FIRST_RETRY_S, MAX_RETRY_S, random.Random(seed)
            )
            watch._random = random.Random(seed)
            watch.start()

    def out_orders(self) -> dict[str, int]:
        """Returns the numbers of the orders by which domains are out."""
        objects = self.view.watches[-1].cache.all_objects().items
        assert {o.name for o in objects} == self.view.directory.out_domains
        return {stored.name: stored.value["number"] for stored in objects}

    @property
    def server_position(self) -> int:
        """The position up to which this node has read servers' entries."""
        kind = self.view.documents.kinds.servers
        (watch,) = (w for w in self.view.watches if w.kind == kind)
        return watch.version or 0

    def usable_ids(self) -> set[str]:
        return {
            server.entry.server_id
            for server in self.view.directory.usable(SERVICE)
        }


def _entry(number: int, state: str) -> dict[str, Any]:
    return {
        "service": SERVICE,
        "address": f"127.0.0.1:{9000 + number}",
        "zone": DOMAINS[number % 2],
        "revision": "v1",
        "warmup_left_ms": 0,
        "concurrency": 2,
        "state": state,
        "born": 1000 + number,
        "sequence": 1,
    }


class StoreReturnMachine(RuleBasedStateMachine):
    """The truth that is written, the store, and what nodes make of it."""

    def __init__(self) -> None:
        super().__init__()
        self.clock = _Clock()
        self.store = ModelStore()
        self.random = random.Random(0)
        self.copies: list[tuple[float, ModelCopy]] = []
        self.revision = 1
        self.states: dict[int, str] = {}
        # Where the store says that a server leaves or has left.
        self.left_positions: dict[str, int] = {}
        self.out_domains: set[str] = set()
        # Tells one time that a domain is out of service from the next.
        self.toggle_count = 0
        self.toggled_at = dict.fromkeys(DOMAINS, 0)
        # When the store's last disruption ended, and when the configuration was
        # confirmed; infinite while it isn't.
        self.disrupted_until_s = 0.0
        self.confirmed_at_s = math.inf
        self.nodes: list[_Node] = []

    @initialize(seed=strategies.integers(0, 2**16))
    def start(self, seed: int = 0) -> None:
        self.random = random.Random(seed)
        self.states = dict.fromkeys(range(4), "ready")
        self._write_again()
        self.nodes = [
            _Node(self.store, self.clock, seed + number)
            for number in range(NODE_COUNT)
        ]
        self._advance(1.0)

    # What operators and backend servers write.

    def _write_again(self) -> None:
        """Writes all that the store doesn't have as it should be."""
        if self.store.is_away or self.store.is_silent:
            delay_s = self.random.uniform(STEP_S, MAX_WRITE_AGAIN_S)
            self.clock.call_later(delay_s, self._write_again)
            return
        store = self.store
        wanted: dict[tuple[str, str], dict[str, Any] | None] = {
            ("config", "main"): {
                "revision": self.revision,
                "routes": [],
                "services": [],
            }
        }
        for number, state in self.states.items():
            is_gone = state == "gone"
            key = ("servers", f"i-{number}")
            wanted[key] = None if is_gone else _entry(number, state)
        for domain in DOMAINS:
            is_out = domain in self.out_domains
            value = {"number": self.toggled_at[domain]}
            wanted["evacuations", domain] = value if is_out else None
        if store.value("config", "main") != wanted["config", "main"]:
            self.confirmed_at_s = self.clock.now_s
        for (kind, name), value in wanted.items():
            if value is not None and store.value(kind, name) != value:
                store.put(kind, name, value)
            elif value is None and store.value(kind, name) is not None:
                store.remove(kind, name)
            else:
                continue
            if kind == "servers" and (
                value is None or value["state"] != "ready"
            ):
                known = self.left_positions.get(name, 0)
                if era_of(known) < store.era or not known:
                    self.left_positions[name] = store.position

    @rule()
    def configure(self) -> None:
        if self.store.is_away or self.store.is_silent:
            # The operator's call is not confirmed.
            return
        self.revision += self.random.randint(1, 3)
        self.confirmed_at_s = math.inf
        self._write_again()
        self._pass_time()

    @rule()
    def start_server(self) -> None:
        self.states[len(self.states)] = "ready"
        self._write_again()
        self._pass_time()

    @rule(
        number=strategies.integers(0, 9),
        state=strategies.sampled_from(["draining", "gone"]),
    )
    def take_server_away(self, number: int, state: str) -> None:
        number %= len(self.states)
        if self.states[number] != "gone":
            self.states[number] = state
            self._write_again()
        self._pass_time()

    @rule(domain=strategies.sampled_from(DOMAINS))
    def toggle_domain(self, domain: str) -> None:
        self._toggle(domain)
        self._write_again()
        self._pass_time()

    def _toggle(self, domain: str) -> None:
        self.out_domains ^= {domain}
        self.toggle_count += 1
        self.toggled_at[domain] = self.toggle_count

    def _change_anything(self) -> None:
        if self.store.is_away or self.store.is_silent:
            return
        number = self.random.randrange(len(self.states))
        if self.states[number] == "ready":
            self.states[number] = self.random.choice(["draining", "gone"])
        self.states[len(self.states)] = "ready"
        self._toggle(self.random.choice(DOMAINS))
        self.revision += 1
        self.confirmed_at_s = math.inf
        self._write_again()
        self._pass_time()

    # Faults.

    @rule(age_s=strategies.floats(0, MAX_COPY_AGE_S))
    def return_from_copy_soon(self, age_s: float) -> None:
        """Returns from a copy after something has just been written."""
        self._change_anything()
        self._start_return(age_s)

    @rule(age_s=strategies.floats(0, MAX_COPY_AGE_S))
    def return_from_copy(self, age_s: float) -> None:
        self._start_return(age_s)

    def _start_return(self, age_s: float) -> None:
        if self.store.is_away or self.store.is_silent:
            return
        old = [
            copy
            for at_s, copy in self.copies
            if at_s <= self.clock.now_s - age_s
        ]
        copy = old[-1] if old else self.copies[0][1]
        self.store.is_away = True

        def come_back() -> None:
            self.store.return_from(copy)
            self.store.is_away = False
            self._end_disruption()
            self.copies = [(self.clock.now_s, self.store.take_copy())]
            again_s = self.random.uniform(0, MAX_WRITE_AGAIN_S)
            self.clock.call_later(again_s, self._write_again)

        self.clock.call_later(AWAY_S, come_back)
        self._pass_time()

    @rule(span_s=strategies.floats(0.0, MAX_SILENCE_S))
    def fall_silent(self, span_s: float) -> None:
        """Calls that wait or come are never answered; the shortest is a reset."""
        if self.store.is_away or self.store.is_silent:
            return
        self.store.fall_silent()

        def answer_again() -> None:
            self.store.answer_again()
            self._end_disruption()

        self.clock.call_later(span_s, answer_again)
        self._pass_time()

    @rule(
        age_s=strategies.floats(0, MAX_COPY_AGE_S),
        span_s=strategies.floats(RESTORE_PERIOD_S, MAX_SILENCE_S),
    )
    def fall_silent_before_it_is_written_again(
        self, age_s: float, span_s: float
    ) -> None:
        """What the copy lacks is written again after a long silence only."""
        self.return_from_copy_soon(age_s)
        while self.store.is_away:
            self._advance(STEP_S)
        self.fall_silent(span_s)

    @property
    def is_disrupted(self) -> bool:
        store = self.store
        return bool(
            store.is_away
            or store.is_silent
            or store.late_ratio
            or store.lost_ratio
        )

    def _end_disruption(self) -> None:
        self.disrupted_until_s = self.clock.now_s
        if self.store.value("config", "main") != {
            "revision": self.revision,
            "routes": [],
            "services": [],
        }:
            self.confirmed_at_s = math.inf

    @rule()
    def forget_history(self) -> None:
        self.store.forget_history()
        self._pass_time()

    @rule(number=node_numbers, is_refused=strategies.booleans())
    def refuse(self, number: int, is_refused: bool) -> None:
        self.nodes[number].client.is_refused = is_refused
        # Other nodes that the store serves tell it what it misses.
        self.nodes[number].disrupted_until_s = (
            math.inf if is_refused else self.clock.now_s
        )
        self._pass_time()

    @rule(number=node_numbers)
    def restart(self, number: int) -> None:
        """Starts another incarnation of a node, which knows nothing."""
        seed = self.random.randrange(2**16)
        self.nodes[number] = _Node(self.store, self.clock, seed)
        self.nodes[number].disrupted_until_s = self.clock.now_s
        self._pass_time()

    @rule(
        late=strategies.sampled_from([0.0, 0.3]),
        lost=strategies.sampled_from([0.0, 0.2]),
    )
    def disturb_replies(self, late: float, lost: float) -> None:
        self.store.late_ratio, self.store.lost_ratio = late, lost
        self.disrupted_until_s = self.clock.now_s
        self._pass_time()

    @rule(span_s=strategies.sampled_from([3.0, 6.0, 12.0]))
    def wait(self, span_s: float) -> None:
        self._advance(span_s)

    # Nodes.

    def _pass_time(self) -> None:
        self._advance(self.random.choice(SPANS_S))

    def _advance(self, span_s: float) -> None:
        for _ in range(max(1, round(span_s / STEP_S))):
            self.clock.advance(STEP_S)
            if not self.store.is_away:
                self.copies.append((self.clock.now_s, self.store.take_copy()))
                old = len(self.copies) - 1 - round(MAX_STALE_S / STEP_S)
                self.store.stale_copy = self.copies[max(0, old)][1]
            for node in self.nodes:
                node.view.check()
                node.view.directory.expire(self.clock.now_s)
                node.view.directory.pop_dropped_ids()
                self._exchange(node)
                self._check(node)

    def _exchange(self, node: _Node) -> None:
        """Asks a peer that has newer changes, as nodes do."""
        for index, watch in enumerate(node.view.watches):
            peers = [
                peer.view.watches[index]
                for peer in self.nodes
                if peer is not node
            ]
            if node is self.nodes[-1]:
                # It stands in only while the store answers no other node.
                watch.set_paused(
                    any(
                        peer.age_s(self.clock.now_s)
                        < DEFAULT_FOLLOW_TIMES.max_peer_age_s
                        for peer in peers
                    )
                )
            self._ask_for_restored_objects(node, watch, peers)
            newest = max(peer.changed_version for peer in peers)
            if not watch.is_behind(newest, self.clock.now_s):
                continue
            watch.restart(newest)
            since = watch.version or 0
            newer = [peer for peer in peers if peer.changed_version > since]
            if newer and self.random.random() < 0.7:
                update = self.random.choice(newer).cache.update_since(since)
                delay_s = self.random.choice([0.005, 0.3])
                if update is not None:
                    self.clock.call_later(
                        delay_s,
                        lambda watch=watch, update=update: (  # type: ignore[misc]
                            watch.apply_peer_update(update)
                        ),
                    )

    def _ask_for_restored_objects(
        self, node: _Node, watch: StoreWatch, peers: list[StoreWatch]
    ) -> None:
        """Asks a peer as the nodes' links do after a return of the store."""
        restoring = [peer for peer in peers if peer.is_restoring]
        settled = [peer for peer in peers if not peer.is_restoring]
        if restoring and watch.needs_kept_objects(restoring[0].changed_version):
            # Heartbeats and replies may be lost.
            update = restoring[0].cache.update_since(0)
            if update is not None and self.random.random() < 0.7:
                watch.apply_kept_objects(update)
        elif settled and watch.needs_complete_update:
            update = settled[0].cache.update_since(0)
            if update is not None:
                watch.apply_complete_update(update)

    # What must hold.

    def _check(self, node: _Node) -> None:
        table = node.view.route_table
        revision = table.revision if table else 0
        assert revision >= node.revision, "the configuration went back"
        node.revision = revision
        due_s = max(
            self.confirmed_at_s + CONFIG_APPLY_S,
            self.disrupted_until_s + CONTACT_S,
            node.disrupted_until_s + CONTACT_S,
        )
        if self.clock.now_s > due_s and not self.is_disrupted:
            assert revision == self.revision, "a configuration is late"
        usable = node.usable_ids()
        assert not usable & node.left_ids, "a server that left is used"
        node.left_ids |= {
            f"i-{number}"
            for number, state in self.states.items()
            if state != "ready"
            and f"i-{number}" in node.seen_ids
            and f"i-{number}" not in usable
            and node.server_position
            >= self.left_positions.get(f"i-{number}", math.inf)
        }
        # A server in a domain that is out of service is unusable for that.
        node.left_ids -= {
            server_id
            for server_id in node.left_ids
            if DOMAINS[int(server_id[2:]) % 2]
            in node.view.directory.out_domains
        }
        node.seen_ids |= usable
        known_out = node.view.directory.out_domains
        assert node.out_domains & self.out_domains <= known_out, (
            "a domain came back into service"
        )
        # What it knows of an earlier order may end before it hears of the next.
        node.out_domains = {
            domain
            for domain, number in node.out_orders().items()
            if number == self.toggled_at[domain]
        }

    @invariant()
    def check_nodes(self) -> None:
        for node in self.nodes:
            self._check(node)

    def teardown(self) -> None:
        if not self.nodes:
            return
        for node in self.nodes:
            node.client.is_refused = False
            node.disrupted_until_s = self.clock.now_s
        if self.store.is_silent:
            self._advance(MAX_SILENCE_S)
        self.disrupted_until_s = self.clock.now_s
        self.store.late_ratio = self.store.lost_ratio = 0.0
        self._advance(AWAY_S + MAX_WRITE_AGAIN_S)
        self._write_again()
        self._advance(SETTLE_S)
        expected = {
            f"i-{number}"
            for number, state in self.states.items()
            if state == "ready" and DOMAINS[number % 2] not in self.out_domains
        }
        for node in self.nodes:
            assert node.revision == self.revision
            assert node.view.directory.out_domains == self.out_domains
            assert node.usable_ids() == expected


def test_nodes_follow_a_store_that_returns_from_older_copies() -> None:
    run_state_machine_as_test(
        StoreReturnMachine,
        settings=settings(
            max_examples=EXAMPLE_COUNT,
            stateful_step_count=30,
            deadline=None,
            derandomize=True,
            database=None,
            phases=(Phase.generate,),
            suppress_health_check=list(HealthCheck),
        ),
    )
