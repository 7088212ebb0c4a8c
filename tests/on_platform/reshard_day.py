"""Plays a day on which the index is cut anew after the store was silent.

    scripts/play-reshard-day --site hardwell --seed 1 --count 10

Plays the nodes, shards, routes and classes of a site as real processes and
stand-ins. Seed 0 has the moments of `review/4/day.toml`; each other seed draws
its own phase of the silence. Prints a line for each day, and what broke a rule.
Exits with 0 if nothing did, else with 1.
"""

import argparse
import http.client
import itertools
import pathlib
import random
import sys
import tempfile
import threading
import time
from collections import Counter
from collections.abc import Iterator, Sequence
from typing import Any, Final, NamedTuple, Self

from deployment import (
    Deployment,
    RunningNode,
    configuration,
    route,
    service_settings,
)
from fleet_history import ArrivalIndex, CallerRequest

from mulberrybay_testing.ports import HOST
from mulberrybay_testing.waiting import wait_until

# The users' bounds of the smaller deployments.
CONTACT_S: Final = 4.0
CONFIG_APPLY_S: Final = 3.0
ROLLBACK_SLACK_S: Final = 0.25
MIN_LATER_SERVED_RATIO: Final = 0.25
MIN_LATER_COUNT: Final = 20
DENIED_SLACK_COUNT: Final = 5
DENIED_RATIO: Final = 1 / 500
NOT_RUN_STATUSES: Final = (408, 421, 429, 503)

CALLER_COUNT: Final = 24
CALL_TIMEOUT_S: Final = 10.0
# The share of requests that go to any node, whatever the directory names.
DIRECT_RATIO: Final = 0.2
ADDRESS_TTL_S: Final = 2.0
# Well within the nodes' idle timeout.
MAX_IDLE_S: Final = 2.0
START_TIMEOUT_S: Final = 30.0
# Old servers drain once the version is due, and end later.
REMOVE_AFTER_S: Final = 1.2
LAST_CHECK_S: Final = 5.0
ADDED: Final = "added"
DROPPED: Final = "dropped"


class RequestClass(NamedTuple):
    """A class of work and its route.

    Attributes:
        per_s: The requests a second.
        timeout_ms: The route's timeout.
        target_ms: The route's target latency.
        top_count: The records of an answer; 0 for one that isn't gathered.
        least_ratio: The share of shards that an answer needs.
    """

    name: str
    per_s: float
    timeout_ms: int
    target_ms: int
    top_count: int = 0
    least_ratio: float = 0.0


class Site(NamedTuple):
    """A deployment of the users.

    Attributes:
        node_count: The nodes, in three failure domains.
        old_shard_count: The shards before the index is cut anew.
        new_shard_count: The shards after.
        work_s: The time that a shard's server works on a request.
        single_work_s: The same for a server of the other services.
    """

    node_count: int
    old_shard_count: int
    new_shard_count: int
    work_s: float
    single_work_s: float
    classes: tuple[RequestClass, ...]


SITES: Final = {
    "hardwell": Site(
        node_count=8,
        old_shard_count=20,
        new_shard_count=30,
        work_s=0.035,
        single_work_s=0.244,
        classes=(
            RequestClass("history-scan", 33.7, 2000, 247, 10, 0.89),
            RequestClass("caller-lookup", 11.2, 800, 95, 5, 0.75),
            RequestClass("salt-schedule", 11.2, 8000, 878),
        ),
    ),
    "ikirezi": Site(
        node_count=6,
        old_shard_count=20,
        new_shard_count=30,
        work_s=0.019,
        single_work_s=0.12,
        classes=(
            RequestClass("union-lookup", 33.7, 800, 145, 10, 0.89),
            RequestClass("avail-check", 11.2, 300, 68, 5, 0.75),
            RequestClass("loan-fetch", 11.2, 3000, 500),
        ),
    ),
}


class Moments(NamedTuple):
    """When what happens, in seconds since the start of traffic."""

    route_change_s: float = 4.0
    silent_at_s: float = 10.5
    silent_for_s: float = 4.5
    servers_start_s: float = 14.7
    reshard_s: float = 17.7

    @property
    def silent_until_s(self) -> float:
        """When the store answers again."""
        return self.silent_at_s + self.silent_for_s

    def due_s(self, confirmed_at_s: float) -> float:
        """Returns from when on a version must be in force.

        The nodes are in touch again some time after the silence.
        """
        due_s = confirmed_at_s + CONFIG_APPLY_S
        if self.silent_at_s <= due_s:
            due_s = max(due_s, self.silent_until_s + CONTACT_S)
        return due_s


def draw_moments(seed: int) -> Moments:
    """Returns the moments of the review's day, or another phase of it."""
    if seed == 0:
        return Moments()
    source = random.Random(seed)
    silent_at_s = source.uniform(5.0, 14.5)
    silent_for_s = source.uniform(2.5, 5.0)
    reshard_s = silent_at_s + silent_for_s + source.uniform(0.0, 4.0)
    return Moments(
        silent_at_s=silent_at_s,
        silent_for_s=silent_for_s,
        servers_start_s=reshard_s - 3.0,
        reshard_s=reshard_s,
    )


class SiteDeployment(Deployment):
    """The nodes, services and routes of a site."""

    zones = ("zone-a", "zone-b")

    def __init__(self, folder: pathlib.Path, site: Site) -> None:
        super().__init__(folder)
        self.site = site
        self.old_shards = _names("old", site.old_shard_count)
        self.new_shards = _names("new", site.new_shard_count)
        self.shards = (*self.old_shards, *self.new_shards)
        self.services = (*self.old_shards, "single")
        self._revision = 1

    def first_configuration(self) -> dict[str, Any]:
        """Returns the version that has the old shards."""
        return self._version(self.old_shards, DROPPED)

    def _version(
        self, shards: Sequence[str], extra_name: str
    ) -> dict[str, Any]:
        classes = self.site.classes
        routes = [
            route(
                item.name,
                f"/{item.name}/",
                timeout_ms=item.timeout_ms,
                target_latency_ms=item.target_ms,
                **(
                    {
                        "gather": [*shards],
                        "top_k": item.top_count,
                        "oldest_version": item.least_ratio,
                    }
                    if item.top_count
                    else {"service": "single"}
                ),
            )
            for item in classes
        ]
        routes.append(route(extra_name, f"/{extra_name}/", service="single"))
        services = [service_settings(name) for name in (*shards, "single")]
        return configuration(self._revision, routes=routes, services=services)

    def configure(self, shards: Sequence[str]) -> None:
        """Writes a version with these shards and the added route."""
        self._revision += 1
        self.put("config", "main", self._version(shards, ADDED))

    def start_site(self) -> None:
        """Starts the nodes and waits until all are ready."""
        for servers in self.backends.values():
            for server in servers:
                self._set_work(server.service)
        for number in range(self.site.node_count):
            zone = f"zone-{'abc'[number % 3]}"
            self.start_node(f"node-{number + 1}", zone)
        for node in self.nodes:
            wait_until(node.is_ready, START_TIMEOUT_S, f"{node.name} is ready")

    def start_new_shards(self) -> None:
        """Starts the servers of the new shards."""
        for name in self.new_shards:
            for zone in self.zones:
                self.add_backend(name, zone=zone)
            self._set_work(name)

    def drain_old_shards(self) -> None:
        """Marks the servers of the old shards as leaving."""
        for server in self._old_servers():
            entry = server.entry(state="draining", sequence=2)
            self.put("servers", server.server_id, entry)

    def remove_old_shards(self) -> None:
        """Ends the servers of the old shards."""
        for server in self._old_servers():
            self.remove("servers", server.server_id)
            self.stop_listening(server)

    def _old_servers(self) -> list[Any]:
        return [
            server for name in self.old_shards for server in self.backends[name]
        ]

    def _set_work(self, service: str) -> None:
        site = self.site
        for server in self.backends[service]:
            server.delay_s = (
                site.single_work_s if service == "single" else site.work_s
            )


def _names(prefix: str, count: int) -> tuple[str, ...]:
    return tuple(f"{prefix}-{number}" for number in range(count))


class Caller(threading.Thread):
    """Sends requests of the site's classes on connections that it keeps."""

    _numbers = itertools.count(1)

    def __init__(
        self,
        deployment: SiteDeployment,
        requests: list[CallerRequest],
        seed: int,
    ) -> None:
        super().__init__(name=f"caller-{seed}")
        self._deployment = deployment
        self._requests = requests
        self._random = random.Random(seed)
        self._connections: dict[str, http.client.HTTPConnection] = {}
        self._used_at_s: dict[str, float] = {}
        self._ports: list[int] = []
        self._ports_expire_at_s = 0.0
        self._stop_requested = threading.Event()

    def run(self) -> None:
        """Sends requests until `stop` is called."""
        classes = self._deployment.site.classes
        rates_per_s = [item.per_s / CALLER_COUNT for item in classes]
        # The routes that were added and dropped are asked for now and then.
        names = [*(item.name for item in classes), ADDED, DROPPED]
        weights = [*rates_per_s, *[sum(rates_per_s) / 20] * 2]
        while not self._stop_requested.wait(
            self._random.expovariate(sum(weights))
        ):
            name = self._random.choices(names, weights)[0]
            self._send_request(name, self._choose_node())
        for connection in self._connections.values():
            connection.close()

    def stop(self) -> None:
        """Stops the thread after the request in progress."""
        self._stop_requested.set()

    def _choose_node(self) -> RunningNode:
        nodes = self._deployment.nodes
        if time.monotonic() >= self._ports_expire_at_s:
            self._ports_expire_at_s = time.monotonic() + ADDRESS_TTL_S
            addresses = self._random.choice(nodes).advertised_addresses()
            self._ports = [int(text.rpartition(":")[2]) for text in addresses]
        named = [node for node in nodes if node.callers_port in self._ports]
        is_direct = self._random.random() < DIRECT_RATIO
        return self._random.choice(nodes if is_direct or not named else named)

    def _connect(self, node: RunningNode) -> http.client.HTTPConnection:
        """Returns the kept connection to a node, or a new one."""
        connection = self._connections.setdefault(
            node.name,
            http.client.HTTPConnection(
                HOST, node.callers_port, timeout=CALL_TIMEOUT_S
            ),
        )
        idle_s = time.monotonic() - self._used_at_s.get(node.name, 0.0)
        if idle_s > MAX_IDLE_S:
            connection.close()
        return connection

    def _send_request(self, name: str, node: RunningNode) -> None:
        request_id = f"d-{next(self._numbers)}"
        path = f"/{name}/{self._random.randrange(1000)}"
        sent_at_s = time.monotonic()
        status, headers, body = 0, {}, b""
        connection = self._connect(node)
        try:
            connection.request(
                "GET",
                path,
                headers={
                    "Host": "a.example",
                    "X-Request-Id": request_id,
                    "X-Deadline-Ms": "2000",
                },
            )
            reply = connection.getresponse()
            status, body = reply.status, reply.read()
            headers = dict(reply.getheaders())
        except (OSError, http.client.HTTPException):
            connection.close()
        self._used_at_s[node.name] = time.monotonic()
        self._requests.append(
            CallerRequest(
                request_id,
                name,
                path,
                node.name,
                node.process.pid,
                sent_at_s,
                time.monotonic(),
                status,
                headers,
                body,
                0,
            )
        )


class ReshardDay:
    """One day; a context manager that runs the callers.

    Attributes:
        requests: The requests that have ended.
        confirmed_at_s: When the two versions were confirmed.
    """

    def __init__(
        self, deployment: SiteDeployment, moments: Moments, seed: int
    ) -> None:
        self._deployment = deployment
        self.moments = moments
        self.requests: list[CallerRequest] = []
        self.confirmed_at_s: list[float] = []
        self.started_at_s = time.monotonic()
        self._callers = [
            Caller(deployment, self.requests, seed * CALLER_COUNT + number)
            for number in range(CALLER_COUNT)
        ]

    def __enter__(self) -> Self:
        for caller in self._callers:
            caller.start()
        return self

    def __exit__(self, *_: object) -> None:
        for caller in self._callers:
            caller.stop()
        for caller in self._callers:
            caller.join()

    def play(self) -> None:
        """Plays the day until some seconds after the last version is due."""
        deployment, moments = self._deployment, self.moments
        store = deployment.store
        reshard_due_s = moments.due_s(moments.reshard_s)
        drain_s = moments.reshard_s + CONFIG_APPLY_S
        events = [
            (moments.route_change_s, self._add_route),
            (moments.silent_at_s, store.fall_silent),
            (moments.silent_until_s, store.answer_again),
            (moments.servers_start_s, deployment.start_new_shards),
            (moments.reshard_s, self._reshard),
            (drain_s, deployment.drain_old_shards),
            (drain_s + REMOVE_AFTER_S, deployment.remove_old_shards),
            (reshard_due_s + LAST_CHECK_S, lambda: None),
        ]
        for at_s, action in sorted(events, key=lambda event: event[0]):
            delay_s = self.started_at_s + at_s - time.monotonic()
            time.sleep(max(0.0, delay_s))
            action()

    def _add_route(self) -> None:
        self._deployment.configure(self._deployment.old_shards)
        self._note_confirmed()

    def _reshard(self) -> None:
        self._deployment.configure(self._deployment.new_shards)
        self._note_confirmed()

    def _note_confirmed(self) -> None:
        self.confirmed_at_s.append(time.monotonic() - self.started_at_s)

    # What the rules say of the day.

    def find_problems(self) -> list[str]:
        """Returns what broke a rule, one line each."""
        return [
            *self._late_problems(),
            *self._rollback_problems(),
            *self._denied_problems(),
            *self._later_problems(),
        ]

    def _is_judged(self, request: CallerRequest, confirmed_at_s: float) -> bool:
        """Whether a request must be handled by a version.

        Nodes are out of touch while the store is silent, and soon after.
        """
        sent_s = request.sent_at_s - self.started_at_s
        silent_at_s = self.moments.silent_at_s
        in_touch_s = self.moments.silent_until_s + CONTACT_S
        return sent_s > confirmed_at_s + CONFIG_APPLY_S and not (
            silent_at_s <= sent_s <= in_touch_s
        )

    def _old_handling(self, request: CallerRequest, index: ArrivalIndex) -> str:
        """Returns how a request was handled that only an old shard allows."""
        old_shards = self._deployment.old_shards
        if any(
            server.service in old_shards
            for server, _ in index.by_request[request.request_id]
        ):
            return "reached an old shard"
        return ""

    def _late_problems(self) -> Iterator[str]:
        index = ArrivalIndex(self._deployment.backends)
        route_at_s, reshard_at_s = self.confirmed_at_s
        for request in self.requests:
            problem = ""
            if self._is_judged(request, route_at_s):
                if request.kind == ADDED and request.status == 404:
                    problem = "404 on a route that was added"
                if request.kind == DROPPED and request.status == 200:
                    problem = "served on a route that was dropped"
            if self._is_judged(request, reshard_at_s):
                problem = problem or self._old_handling(request, index)
            if problem:
                yield (
                    f"{request.node_name}: {problem}, {request.path} sent at"
                    f" {request.sent_at_s - self.started_at_s:.2f} s"
                )

    def _rollback_problems(self) -> Iterator[str]:
        index = ArrivalIndex(self._deployment.backends)
        new_shards = self._deployment.new_shards
        first_effect_s: dict[str, float] = {}
        for request in self.requests:
            for server, arrival in index.by_request[request.request_id]:
                if server.service in new_shards:
                    name = request.node_name
                    first_effect_s[name] = min(
                        arrival.at_s, first_effect_s.get(name, arrival.at_s)
                    )
        for request in self.requests:
            effect_s = first_effect_s.get(request.node_name)
            if (
                effect_s is not None
                and request.sent_at_s > effect_s + ROLLBACK_SLACK_S
                and self._old_handling(request, index)
            ):
                yield f"{request.node_name} went back with {request.path}"

    def _denied_problems(self) -> Iterator[str]:
        denied = [
            request
            for request in self.requests
            if request.kind not in (ADDED, DROPPED)
            and 300 <= request.status < 500
            and request.status not in NOT_RUN_STATUSES
        ]
        limit = DENIED_SLACK_COUNT + DENIED_RATIO * len(self.requests)
        if len(denied) > limit:
            yield f"{len(denied)} proper requests were denied"

    def _later_problems(self) -> Iterator[str]:
        """The new shards are to be served about as well as the old ones."""
        before = self.served_ratio(0.0, self.moments.silent_at_s)
        due_s = self.moments.due_s(self.confirmed_at_s[1])
        after = self.served_ratio(due_s, due_s + LAST_CHECK_S)
        if after < MIN_LATER_SERVED_RATIO * before:
            yield f"served {after:.3f} of the requests, {before:.3f} before"

    def served_ratio(self, from_s: float, to_s: float) -> float:
        """Returns the share of requests of a time that were served."""
        statuses = [
            request.status
            for request in self.requests
            if from_s <= request.sent_at_s - self.started_at_s < to_s
            and request.kind not in (ADDED, DROPPED)
        ]
        if len(statuses) < MIN_LATER_COUNT:
            return 0.0
        return statuses.count(200) / len(statuses)


class DayResult(NamedTuple):
    """The result of one day.

    Attributes:
        statuses: The number of requests by status; 0 for no answer.
        served_after_ratio: The share served once the new shards are due.
        problems: What broke a rule, one line each.
    """

    statuses: Counter[int]
    served_after_ratio: float
    problems: list[str]


def play_day(folder: pathlib.Path, site: Site, seed: int) -> DayResult:
    """Plays the day of a seed and judges it."""
    moments = draw_moments(seed)
    with SiteDeployment(folder, site) as deployment:
        deployment.start_site()
        with ReshardDay(deployment, moments, seed) as day:
            day.play()
        due_s = moments.due_s(day.confirmed_at_s[1])
        return DayResult(
            Counter(request.status for request in day.requests),
            day.served_ratio(due_s, due_s + LAST_CHECK_S),
            day.find_problems(),
        )


def main(arguments: Sequence[str] | None = None) -> int:
    """Plays the days given on the command line; returns the exit code."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--site", choices=SITES, default="hardwell")
    parser.add_argument("--seed", type=int, default=0)
    parser.add_argument("--count", type=int, default=1)
    parser.add_argument(
        "--keep", type=pathlib.Path, help="folder in which logs are kept"
    )
    settings = parser.parse_args(arguments)
    broken_count = 0
    with tempfile.TemporaryDirectory() as scratch:
        folder = settings.keep or pathlib.Path(scratch)
        for seed in range(settings.seed, settings.seed + settings.count):
            result = play_day(
                folder / f"{settings.site}-{seed}", SITES[settings.site], seed
            )
            broken_count += bool(result.problems)
            verdict = "broken" if result.problems else "held"
            print(
                f"{settings.site} seed {seed}: {verdict},"
                f" {len(result.problems)} problems,"
                f" answers {dict(sorted(result.statuses.items()))},"
                f" served after {result.served_after_ratio:.3f},"
                f" {draw_moments(seed)}",
                flush=True,
            )
            for line in result.problems[:5]:
                print(f"  {line}", flush=True)
    return 1 if broken_count else 0


if __name__ == "__main__":
    sys.exit(main())
