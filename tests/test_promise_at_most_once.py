"""A non-idempotent request runs at most once, whatever fails."""

import random
import signal
import time
from collections.abc import Callable, Iterator
from concurrent.futures import Future, ThreadPoolExecutor

import pytest

from mulberrybay_core.run_record import record_kind
from mulberrybay_testing.http_caller import make_key
from mulberrybay_testing.processes import ManagedProcess
from mulberrybay_testing.proxied_deployment import ProxiedDeployment
from mulberrybay_testing.run_history import RunHistory, RunTry, check_history

WAIT_S = 8.0
# Above the lease of 2 s and above the deadlines used here.
FREEZE_S = 2.6
CALLER_COUNT = 6
KEY_COUNT = 120
CHAOS_S = 8.0
CALL_PERIOD_S = 0.02
FAULT_PERIOD_S = 0.5
SERVERS = {"all": True}


class Bookings:
    """A deployment and the history of the requests sent to it."""

    def __init__(
        self, deployment: ProxiedDeployment, pool: ThreadPoolExecutor
    ) -> None:
        self.deployment = deployment
        self.history = RunHistory()
        self._pool = pool

    def start(
        self,
        index: int,
        key: str,
        body: object = "van",
        deadline_ms: int = 2000,
    ) -> Future[RunTry]:
        """Sends a request to a node from another thread."""
        node = self.deployment.nodes[index]
        return self._pool.submit(
            self.history.run,
            node.node_id,
            node.caller_port,
            key,
            body,
            deadline_ms,
        )

    def run(self, index: int, key: str, body: object = "van") -> RunTry:
        """Sends a request, again while the node can't reach the platform."""
        ends_at_s = time.monotonic() + WAIT_S
        entry = self.start(index, key, body).result()
        while entry.kind == "platform" and time.monotonic() < ends_at_s:
            time.sleep(entry.retry_after_s or 0.0)
            entry = self.start(index, key, body).result()
        return entry

    def effect_count(self, key: str) -> int:
        """Returns how often the backend servers did what the key asks."""
        events = self.deployment.backend_events("effect")
        return sum(event["idempotency_key"] == key for event in events)

    def record_state(self, key: str) -> str | None:
        """Returns the state of a key's record, past the nodes."""
        kind = record_kind(key)
        answer = self.deployment.get_object(kind, f"route-planner:{key}")
        if answer.status != 200:
            return None
        state: str = answer.json()["value"]["state"]
        return state

    def wait_record(self, key: str, state: str) -> None:
        """Waits until a key's record has a state."""
        wait_until(lambda: self.record_state(key) == state)

    def process(self, index: int) -> ManagedProcess:
        """Returns the process of a node."""
        return self.deployment.nodes[index].process


def wait_until(condition: Callable[[], bool]) -> None:
    ends_at_s = time.monotonic() + WAIT_S
    while not condition():
        assert time.monotonic() < ends_at_s, "the condition did not come true"
        time.sleep(0.01)


@pytest.fixture(scope="module")
def deployment(
    tmp_path_factory: pytest.TempPathFactory,
) -> Iterator[ProxiedDeployment]:
    with ProxiedDeployment(tmp_path_factory.mktemp("runs")) as running:
        yield running


@pytest.fixture
def bookings(deployment: ProxiedDeployment) -> Iterator[Bookings]:
    """Checks the history of each test at its end, after all faults."""
    with ThreadPoolExecutor(max_workers=32) as pool:
        bookings = Bookings(deployment, pool)
        yield bookings
        deployment.heal()
    events = deployment.backend_events()
    keys = {entry.key for entry in bookings.history.tries}
    own = [e for e in events if e.get("idempotency_key", "") in keys]
    assert check_history(bookings.history.tries, own) == []


def start_recorded(bookings: Bookings, key: str) -> Future[RunTry]:
    """Returns a run at node 0 whose record is written and not yet known."""
    bookings.deployment.control_proxies("platform", delay_ms=400)
    run = bookings.start(0, key)
    bookings.wait_record(key, "unknown")
    return run


def test_node_killed_between_record_and_dispatch(bookings: Bookings) -> None:
    key = make_key()
    run = start_recorded(bookings, key)
    bookings.process(0).kill()
    assert run.result().outcome == "unknown"
    bookings.deployment.heal()
    # Nobody can know that the dead node did not dispatch.
    assert bookings.run(1, key).outcome == "unknown"
    assert bookings.effect_count(key) == 0


def test_node_frozen_past_the_deadline_after_the_record(
    bookings: Bookings,
) -> None:
    key = make_key()
    began_at_s = time.time()
    run = start_recorded(bookings, key)
    bookings.process(0).freeze()
    time.sleep(FREEZE_S)
    bookings.process(0).thaw()
    assert run.result().outcome == "not_run"
    # Nothing was sent, so it did not take the backend server's own check.
    sent = bookings.deployment.backend_events("request")
    assert [event for event in sent if event["at_s"] > began_at_s] == []
    bookings.deployment.heal()
    bookings.wait_record(key, "not_run")
    assert bookings.run(1, key).outcome == "ran"
    assert bookings.effect_count(key) == 1


@pytest.mark.parametrize("with_outage", [False, True])
def test_holder_frozen_longer_than_its_lease_with_work_queued(
    bookings: Bookings, with_outage: bool
) -> None:
    keys = [make_key() for _ in range(18)]
    bookings.deployment.control_backends(SERVERS, slow_factor=60.0)
    runs = [bookings.start(i % 3, key) for i, key in enumerate(keys)]
    wait_until(lambda: bookings.record_state(keys[-1]) is not None)
    bookings.process(2).freeze()
    if with_outage:
        bookings.deployment.control_platform(outage="silent")
    repeats = [bookings.start(i % 2, key) for i, key in enumerate(keys)]
    time.sleep(FREEZE_S)
    bookings.process(2).thaw()
    for run in [*runs, *repeats]:
        run.result()
    bookings.deployment.heal()
    for key in keys:
        bookings.run(0, key)


@pytest.mark.parametrize("fault", ["lose_answers", "lose_requests"])
@pytest.mark.parametrize("count", [1, 2, 4])
@pytest.mark.parametrize("at_two_nodes", [False, True])
def test_write_whose_answer_or_request_is_lost(
    bookings: Bookings, fault: str, count: int, at_two_nodes: bool
) -> None:
    key = make_key()
    order = {fault: {"kind": record_kind(key), "count": count}}
    bookings.deployment.control_platform(**order)
    with ThreadPoolExecutor() as pool:
        indexes = range(1 + at_two_nodes)
        runs = list(pool.map(lambda index: bookings.run(index, key), indexes))
    assert "ran" in {run.outcome for run in runs}, runs
    assert bookings.effect_count(key) == 1
    # The outcome reaches the record in spite of the fault.
    bookings.wait_record(key, "ran")
    repeat = bookings.run(2, key)
    assert repeat.outcome == "ran", repeat


@pytest.mark.parametrize("body", ["van", "another van"])
def test_same_key_at_two_nodes_at_once(bookings: Bookings, body: str) -> None:
    for _ in range(10):
        key = make_key()
        runs = [bookings.start(0, key), bookings.start(1, key, body)]
        outcomes = sorted(run.result().outcome for run in runs)
        assert "ran" in outcomes
        if body != "van":
            assert outcomes == ["not_run", "ran"]
        assert bookings.run(2, key).outcome in {"ran", "not_run"}
        assert bookings.effect_count(key) == 1


@pytest.mark.parametrize("link_fault", [None, "cut", "silent_all"])
def test_connection_cut_after_the_effect(
    bookings: Bookings, link_fault: str | None
) -> None:
    """The caller repeats at other nodes what may have run."""
    deployment = bookings.deployment
    deployment.control_backends(SERVERS, reply_fault="cut_short")
    keys = [make_key() for _ in range(6)]
    if link_fault is not None:
        deployment.control_proxies("node-1", "node-2", **{link_fault: True})
    first = [bookings.start(i % 3, key) for i, key in enumerate(keys)]
    outcomes = {run.result().outcome for run in first}
    assert outcomes <= {"unknown", "not_run"}
    repeats = [bookings.start((i + 1) % 3, key) for i, key in enumerate(keys)]
    for run in repeats:
        run.result()
    if link_fault is None:
        assert all(bookings.effect_count(key) == 1 for key in keys)


def test_caller_repeats_after_a_timeout_at_another_node(
    bookings: Bookings,
) -> None:
    """The request reaches the backend server after the caller's timeout."""
    deployment = bookings.deployment
    server_ids = [server["vm_id"] for server in deployment.backends]
    deployment.control_proxies(*server_ids, delay_ms=600)
    key = make_key()
    first = bookings.start(0, key, deadline_ms=300).result()
    second = bookings.start(1, key, deadline_ms=300).result()
    assert (first.outcome, second.outcome) == ("unknown", "unknown")
    wait_until(lambda: bookings.effect_count(key) == 1)
    assert bookings.run(2, key).outcome in {"ran", "unknown"}


def test_keys_out_of_their_time_are_refused(bookings: Bookings) -> None:
    now_s = int(time.time())
    for key in (f"{now_s - 3700}-aaaaaaaa", f"{now_s + 300}-aaaaaaaa"):
        entry = bookings.run(0, key)
        assert (entry.status, entry.outcome) == (400, "not_run")
        assert bookings.effect_count(key) == 0


class Chaos:
    """Injects one fault after the other, some of them at the same time."""

    def __init__(self, bookings: Bookings, source: random.Random) -> None:
        self._bookings = bookings
        self._deployment = bookings.deployment
        self._random = source

    def inject(self) -> None:
        """Begins two faults, or ends some."""
        for fault in self._random.sample(self._faults(), 2):
            fault()

    def _faults(self) -> list[Callable[[], None]]:
        deployment = self._deployment
        index = self._random.randrange(3)
        name = f"node-{index + 1}"
        process = self._bookings.process(index)
        kind = record_kind(make_key())
        lost = {"kind": kind, "count": self._random.randrange(1, 4)}
        outage = self._random.choice(["refuse", "silent", "unavailable"])
        fault = self._random.choice(["cut_short", "duplicate", "swap"])
        platform, servers = deployment.control_platform, self._set_servers
        return [
            process.freeze,
            lambda: process.signal(signal.SIGKILL),
            lambda: process.signal(signal.SIGTERM),
            lambda: [n.process.thaw() for n in deployment.nodes] and None,
            lambda: deployment.control_proxies(name, drop_existing=True),
            lambda: deployment.control_proxies(name, silent=True),
            lambda: deployment.control_proxies(name, cut=True),
            lambda: deployment.control_proxies(name, cut=False),
            lambda: deployment.control_proxies("platform", drop_existing=True),
            lambda: deployment.control_proxies("platform", silent=True),
            lambda: platform(outage=outage),
            lambda: platform(outage=None, delay_s=0.0),
            lambda: platform(outage=None, delay_s=0.0),
            lambda: platform(delay_s=0.3),
            lambda: platform(lose_answers=lost),
            lambda: platform(lose_requests=lost),
            lambda: servers(reply_fault=fault, reply_fault_probability=0.3),
            lambda: servers(refuse_shed=True),
            lambda: servers(refuse_shed=False, slow_factor=20.0),
            lambda: servers(
                refuse_shed=False, reply_fault=None, slow_factor=1.0
            ),
        ]

    def _set_servers(self, **settings: object) -> None:
        self._deployment.control_backends(SERVERS, **settings)


@pytest.mark.parametrize("seed", [1, 2, 3, 4])
def test_history_of_concurrent_runs_under_pairs_of_faults(
    bookings: Bookings, seed: int
) -> None:
    source = random.Random(seed)
    keys = [make_key(source) for _ in range(KEY_COUNT)]
    ends_at_s = time.monotonic() + CHAOS_S
    chaos = Chaos(bookings, source)

    def call(caller: int) -> None:
        own = random.Random(seed * 100 + caller)
        while time.monotonic() < ends_at_s:
            time.sleep(CALL_PERIOD_S)
            body = own.choice(["van", "van", "van", "another van"])
            deadline_ms = own.choice([300, 1000, 2000])
            index, key = own.randrange(3), own.choice(keys)
            bookings.start(index, key, body, deadline_ms).result()

    with ThreadPoolExecutor(CALLER_COUNT) as pool:
        callers = [pool.submit(call, index) for index in range(CALLER_COUNT)]
        while time.monotonic() < ends_at_s:
            chaos.inject()
            time.sleep(FAULT_PERIOD_S)
        bookings.deployment.heal()
        for caller in callers:
            caller.result()
    bookings.deployment.heal()
    for index, key in enumerate(keys):
        bookings.run(index % 3, key)
    # The faults left something to check on both sides.
    counts = bookings.history.outcome_counts()
    assert counts["ran"] > KEY_COUNT / 4
    assert counts["not_run"] > 0
