"""A small deployment on loopback: stand-ins for the platform, and real nodes.

Standard library only. The store and the backend servers run on an event loop in
a thread of this process; each node is a process of its own, started with the
command of `deploy/system.toml`.
"""

import asyncio
import contextlib
import hashlib
import json
import os
import pathlib
import random
import re
import signal
import socket
import subprocess
import sys
import tempfile
import threading
import time
import tomllib
import urllib.parse
from collections.abc import Callable, Coroutine, Mapping
from typing import Any, Final, NamedTuple, NoReturn, Self, TypeVar

T = TypeVar("T")

HOST: Final = "127.0.0.1"
ROOT: Final = pathlib.Path(__file__).resolve().parents[2]
DEPLOY_FILE: Final = ROOT / "deploy" / "system.toml"
OBJECTS_PATH: Final = "/api/objects/"
RECORD_BYTES: Final = 16
# The settings of a small deployment, from the users' pages.
BOUNDS: Final = {
    "seed_lag_s": 3,
    "addr_reuse_s": 2,
    "contact_ms": 4000,
    "ack_ms": 5000,
    "catch_up_s": 4,
    "drain_ms": 3000,
    "grace_s": 6,
    "loss_slack_ms": 200,
    "config_apply_ms": 3000,
    "rollback_slack_ms": 250,
    "max_stretch_ms": 12000,
    "retry_ratio": 0.2,
    "retry_window_s": 10,
    "retry_slack": 56,
    "cold_over": 1.5,
    "cold_slack": 5,
    "evacuate_ms": 5000,
    "recovery_s": 12,
    "ttl_max_s": 5,
}
MEMORY_MB: Final = 300
RESTART_DELAY_S: Final = 0.5
JSON_HEADERS: Final = (("Content-Type", "application/json"),)
# Stands in what is written to the store for a byte that can't be read.
RAW_MARK: Final = "@raw byte@"
# How long the store keeps its history.
RETENTION_S: Final = 20.0


_used_ports: set[int] = set()


def free_port() -> int:
    """Returns a loopback port that nothing uses."""
    while True:
        with socket.socket() as probe:
            probe.bind((HOST, 0))
            port = probe.getsockname()[1]
        if port not in _used_ports:
            _used_ports.add(port)
            return port


class Record:
    """Writes what was sent, answered and run to `record.txt`."""

    def __init__(self, path: pathlib.Path) -> None:
        self._file = path.open("w", encoding="utf-8")
        self._lock = threading.Lock()
        self._started_at_s = time.monotonic()

    def write(self, text: str) -> None:
        """Writes a line with the time since the start."""
        at_s = time.monotonic() - self._started_at_s
        with self._lock:
            self._file.write(f"{at_s:9.3f} {text}\n")
            self._file.flush()


class Head:
    """The header lines of a request, which are searched when asked for."""

    def __init__(self, head: bytes) -> None:
        self._head = head
        self._lower = head.lower()

    def get(self, name: str, default: str = "") -> str:
        """Returns a header's value; its name is in lower case."""
        mark = f"\r\n{name}:".encode()
        at = self._lower.find(mark)
        if at < 0:
            return default
        end = self._head.index(b"\r\n", at + 2)
        return self._head[at + len(mark) : end].decode("latin-1").strip()


class Request(NamedTuple):
    """A request as a stand-in has read it."""

    method: str
    target: str
    headers: Head
    body: bytes

    @property
    def path(self) -> str:
        """The path without the query."""
        return self.target.partition("?")[0]

    @property
    def query(self) -> dict[str, str]:
        """The query's fields."""
        text = self.target.partition("?")[2]
        return dict(urllib.parse.parse_qsl(text))


class Response(NamedTuple):
    """What a stand-in answers."""

    status: int
    body: bytes = b""
    headers: tuple[tuple[str, str], ...] = ()

    def encode(self) -> bytes:
        """Returns the bytes of the response."""
        lines = [f"HTTP/1.1 {self.status} Status"]
        lines += [f"{name}: {value}" for name, value in self.headers]
        lines.append(f"Content-Length: {len(self.body)}\r\n\r\n")
        return "\r\n".join(lines).encode() + self.body


async def read_request(reader: asyncio.StreamReader) -> Request | None:
    """Reads one request; None if the connection ends before its end."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
        line = head[: head.index(b"\r\n")].decode("latin-1")
        method, target, _ = line.split(" ", 2)
        headers = Head(head)
        body = await reader.readexactly(int(headers.get("content-length", "0")))
    except (OSError, asyncio.IncompleteReadError, ValueError):
        return None
    return Request(method, target, headers, body)


class Server:
    """An HTTP server of a stand-in, on the loop of the rig."""

    def __init__(self, port: int) -> None:
        self.port = port
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()

    async def listen(self) -> None:
        """Starts to listen."""
        self._server = await asyncio.start_server(
            self._serve, HOST, self.port, limit=2**20
        )

    async def stop(self) -> None:
        """Ends all connections and refuses new ones."""
        if self._server is not None:
            self._server.close()
        for writer in [*self._writers]:
            writer.transport.abort()

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self._writers.add(writer)
        try:
            while (request := await read_request(reader)) is not None:
                if not await self.answer(request, reader, writer):
                    break
        except (OSError, asyncio.CancelledError):
            pass
        finally:
            self._writers.discard(writer)
            writer.close()

    async def answer(
        self,
        request: Request,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> bool:
        """Answers a request; False ends the connection."""
        del reader
        response = await self.handle(request)
        writer.write(response.encode())
        await writer.drain()
        return True

    async def handle(self, request: Request) -> Response:
        """Returns the answer to a request."""
        raise NotImplementedError


def _encode_json(value: object) -> bytes:
    """Returns JSON, in which `RAW_MARK` stands for a byte that isn't UTF-8."""
    return json.dumps(value).encode().replace(RAW_MARK.encode(), b"\xfc")


def _json(status: int, value: object) -> Response:
    return Response(status, _encode_json(value), JSON_HEADERS)


class _Change(NamedTuple):
    at_s: float
    revision: int
    kind: str
    event: bytes


def _make_change(
    revision: int, kind: str, body: dict[str, Any], *, is_deleted: bool
) -> _Change:
    event = _encode_json({"object": body, "deleted": is_deleted})
    return _Change(time.monotonic(), revision, kind, event)


class Store(Server):
    """The platform's metadata store."""

    def __init__(self, port: int) -> None:
        super().__init__(port)
        self._revision = 100
        self._objects: dict[str, dict[str, dict[str, Any]]] = {}
        self._changes: list[_Change] = []
        # The last revision whose change is forgotten.
        self._forgotten = 0
        self._changed = asyncio.Event()

    def spec(self, kind: str, name: str) -> Any:  # noqa: ANN401
        """Returns an object's content; None without such an object."""
        body = self._objects.get(kind, {}).get(name)
        return None if body is None else body["spec"]

    async def put(self, kind: str, name: str, spec: object) -> None:
        """Writes an object, as the operator or a server would."""
        self._write(kind, name, spec, None)

    async def remove(self, kind: str, name: str) -> None:
        """Removes an object."""
        if name in self._objects.get(kind, {}):
            self._remove(kind, name)

    def _notify(self) -> None:
        self._changed.set()
        self._changed = asyncio.Event()

    def _write(
        self, kind: str, name: str, spec: object, status: object
    ) -> dict[str, Any]:
        self._revision += 1
        known = self._objects.get(kind, {}).get(name)
        created = known["meta"]["create_revision"] if known else self._revision
        meta = {
            "name": name,
            "rev": self._revision,
            "create_revision": created,
            "finalizers": [],
            "deleting": False,
        }
        body = {"meta": meta, "spec": spec, "status": status}
        self._objects.setdefault(kind, {})[name] = body
        self._changes.append(
            _make_change(self._revision, kind, body, is_deleted=False)
        )
        self._notify()
        return body

    def _remove(self, kind: str, name: str) -> None:
        body = self._objects[kind].pop(name)
        self._revision += 1
        deleted = {**body, "meta": {**body["meta"], "rev": self._revision}}
        self._changes.append(
            _make_change(self._revision, kind, deleted, is_deleted=True)
        )
        self._notify()

    async def handle(self, request: Request) -> Response:
        """Answers a call."""
        path = request.path.removeprefix(OBJECTS_PATH)
        parts = [urllib.parse.unquote(part) for part in path.split("/")]
        kind, name = parts[0], parts[1] if len(parts) > 1 else ""
        if request.method == "GET" and "watch" in request.query:
            response = await self._watch(kind, request.query)
        elif request.method == "GET" and name:
            known = self._objects.get(kind, {}).get(name)
            response = _json(200, known) if known else Response(404)
        elif request.method == "GET":
            response = self._list(kind, request.query)
        else:
            part = parts[2] if len(parts) > 2 else "spec"
            response = self._change(request, kind, name, part)
        return response._replace(
            headers=(*response.headers, ("Store-Era", "0"))
        )

    def _list(self, kind: str, query: Mapping[str, str]) -> Response:
        objects = self._objects.get(kind, {})
        names = [n for n in sorted(objects) if n > query.get("after", "")]
        return _json(
            200,
            {
                "items": [objects[name] for name in names[:500]],
                "has_more": len(names) > 500,
                "as_of": self._revision,
            },
        )

    def _forget(self) -> None:
        """Forgets changes after `RETENTION_S`."""
        oldest_s = time.monotonic() - RETENTION_S
        while self._changes and self._changes[0].at_s < oldest_s:
            self._forgotten = self._changes.pop(0).revision

    async def _watch(self, kind: str, query: Mapping[str, str]) -> Response:
        since = int(query["watch"])
        ends_at_s = time.monotonic() + int(query.get("wait_ms", 0)) / 1000
        while True:
            self._forget()
            if since < self._forgotten:
                return Response(410)
            events = [
                change.event
                for change in self._changes
                if change.kind == kind and change.revision > since
            ]
            left_s = ends_at_s - time.monotonic()
            if events or left_s <= 0:
                text = b", ".join(events)
                body = b'{"events": [%b], "as_of": %d}' % (text, self._revision)
                return Response(200, body, JSON_HEADERS)
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(left_s):
                    await self._changed.wait()

    def _change(
        self, request: Request, kind: str, name: str, part: str
    ) -> Response:
        document = json.loads(request.body) if request.body else {}
        meta = document.get("meta", {})
        name = name or meta.get("name", "")
        known = self._objects.get(kind, {}).get(name)
        if request.method == "POST":
            if known is not None:
                return _json(409, known)
            spec = document.get("spec")
            return _json(200, self._write(kind, name, spec, None))
        if known is None:
            return Response(404)
        expected = int(meta.get("rev") or request.query.get("rev") or 0)
        if expected and expected != known["meta"]["rev"]:
            return _json(409, known)
        if request.method == "DELETE":
            self._remove(kind, name)
            return _json(200, known)
        fields = {"spec": known["spec"], "status": known["status"]}
        fields[part] = document.get(part)
        if fields[part] == known[part]:
            return _json(200, known)
        return _json(
            200, self._write(kind, name, fields["spec"], fields["status"])
        )


class Backend(Server):
    """One backend server of a service.

    Attributes:
        runs: The ids of the requests that it ran, in order.
        work_s: How long it works on a request.
    """

    def __init__(self, rig: "Rig", service: str, zone: str) -> None:
        super().__init__(free_port())
        self.rig = rig
        self.service = service
        self.zone = zone
        self.server_id = f"i-{random.randrange(16**8):08x}"
        self.born = int(time.time() * 1000)
        self.sequence = 0
        self.runs: list[str] = []
        self.work_s = 0.005

    def entry(self, **changes: object) -> dict[str, object]:
        """Returns what the server writes of itself to the store."""
        self.sequence += 1
        return {
            "service": self.service,
            "address": f"{HOST}:{self.port}",
            "zone": self.zone,
            "revision": "v1",
            "concurrency": 6,
            "state": "ready",
            "warmup_left_ms": 0,
            "sequence": self.sequence,
            "born": self.born,
            **changes,
        }

    def records(self, request: Request) -> bytes:
        """Returns the server's part of a gathered answer."""
        seed = f"{self.service} {request.target}".encode()
        return b"".join(
            hashlib.blake2b(
                seed + bytes([n]), digest_size=RECORD_BYTES
            ).digest()
            for n in range(12)
        )

    def stamp(self, request: Request) -> str:
        """Returns the signature of a reply."""
        request_id = request.headers.get("x-request-id", "")
        return f"{self.server_id}.{request_id}.{len(self.runs)}"

    async def handle(self, request: Request) -> Response:
        """Answers a request."""
        if request.path == "/health":
            return Response(200, b"", (("X-Instance-Id", self.server_id),))
        request_id = request.headers.get("x-request-id", "")
        if request.headers.get("x-expect-instance") != self.server_id:
            return Response(421, b"", (("X-Request-Id", request_id),))
        self.runs.append(request_id)
        return await self.run(request)

    async def run(self, request: Request) -> Response:
        """Runs a request."""
        stamp = self.stamp(request)
        await asyncio.sleep(self.work_s)
        return Response(
            200,
            self.records(request),
            (
                ("X-Request-Id", request.headers.get("x-request-id", "")),
                ("X-Server-Stamp", stamp),
                ("X-Server-Load", "1,0,6"),
            ),
        )


class Answer(NamedTuple):
    """A node's answer; header names are in lower case."""

    status: int
    headers: Mapping[str, str]
    body: bytes


def read_answer(stream: socket.socket) -> Answer | None:
    """Reads a complete answer with a length; None if it isn't complete."""
    data = b""
    while b"\r\n\r\n" not in data:
        more = stream.recv(65536)
        if not more:
            return None
        data += more
    head, _, body = data.partition(b"\r\n\r\n")
    lines = head.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        name, _, value = line.partition(":")
        headers[name.lower()] = value.strip()
    length = int(headers.get("content-length", 0))
    while len(body) < length:
        more = stream.recv(65536)
        if not more:
            return None
        body += more
    return Answer(int(lines[0].split(" ")[1]), headers, body[:length])


class Node:
    """One node process and its ports."""

    def __init__(self, rig: "Rig", name: str, zone: str) -> None:
        self._rig = rig
        self.name = name
        self.zone = zone
        self.front, self.ready, self.directory, self.metrics = (
            free_port() for _ in range(4)
        )
        self.peer = free_port()
        self.process: subprocess.Popen[bytes] | None = None
        self.start_count = 0
        self._restart_at_s: float | None = None
        # Why the platform or the process itself ended it, in order.
        self.ends: list[str] = []
        self.peak_mb = 0.0

    def settings(self) -> str:
        """Returns the settings as the platform renders the template."""
        bounds = BOUNDS | self._rig.more_bounds
        return "\n".join(
            [
                f"node_name = {json.dumps(self.name)}",
                f"failure_domain = {json.dumps(self.zone)}",
                f"stop_grace_s = {bounds['grace_s']}",
                f"max_address_life_s = {bounds['ttl_max_s']}",
                f"cold_factor = {bounds['cold_over']}",
                f"bounds = '{json.dumps(bounds)}'",
                f"server_drain_ms = {bounds['drain_ms']}",
                "cpu_share = 0.537",
                "core_speed = 2",
                f"memory_mb = {MEMORY_MB}",
                "max_descriptors = 4100",
                f'store_address = "{HOST}:{self._rig.store.port}"',
                "[listen]",
                f'host = "{HOST}"',
                f"peer_port = {self.peer}",
                f'callers = "{HOST}:{self.front}"',
                f'readiness = "{HOST}:{self.ready}"',
                f'directory = "{HOST}:{self.directory}"',
                f"metrics_port = {self.metrics}",
                "[repeats]",
                f"ratio = {bounds['retry_ratio']}",
                f"window_s = {bounds['retry_window_s']}",
                f"slack_count = {bounds['retry_slack']}",
                "",
            ]
        )

    def start(self) -> None:
        """Starts the process with the command of the deploy file."""
        path = self._rig.folder / f"{self.name}.toml"
        path.write_text(self.settings(), encoding="utf-8")
        roles = tomllib.loads(DEPLOY_FILE.read_text(encoding="utf-8"))["roles"]
        (role,) = roles.values()
        environment = {
            name: os.environ[name]
            for name in ("PATH", "HOME", "LANG")
            if name in os.environ
        }
        environment["MULBERRYBAY_SETTINGS"] = str(path)
        environment["PYTHONPATH"] = str(ROOT / "target" / "deps")
        log = (self._rig.folder / f"{self.name}.log").open("ab")
        self.process = subprocess.Popen(
            role["run"].split(),
            cwd=ROOT,
            env=environment,
            stdin=subprocess.DEVNULL,
            stdout=log,
            stderr=subprocess.STDOUT,
        )
        log.close()
        self.start_count += 1
        self._rig.record.write(f"{self.name} started, pid {self.process.pid}")

    def memory_mb(self) -> float:
        """Returns the resident memory of the process."""
        if self.process is None:
            return 0.0
        path = pathlib.Path(f"/proc/{self.process.pid}/status")
        with contextlib.suppress(OSError):
            match = re.search(r"^VmRSS:\s+(\d+) kB", path.read_text(), re.M)
            return int(match[1]) / 1024 if match else 0.0
        return 0.0

    def supervise(self) -> None:
        """Does what the platform does: memory limit and restarts."""
        if self.process is None:
            return
        now_s = time.monotonic()
        if self._restart_at_s is not None:
            if now_s >= self._restart_at_s:
                self._restart_at_s = None
                self.start()
            return
        code = self.process.poll()
        if code is not None:
            self._end(f"exit code {code}")
            return
        memory_mb = self.memory_mb()
        self.peak_mb = max(self.peak_mb, memory_mb)
        if memory_mb > MEMORY_MB:
            self.process.kill()
            self.process.wait()
            self._end(f"memory: {memory_mb:.0f} MB")

    def _end(self, cause: str) -> None:
        self.ends.append(cause)
        self._rig.record.write(f"{self.name} ended: {cause}")
        self._restart_at_s = time.monotonic() + RESTART_DELAY_S

    def signal(self, number: signal.Signals) -> None:
        """Sends a signal to the process."""
        if self.process is not None:
            self._rig.record.write(f"{self.name} gets {number.name}")
            self.process.send_signal(number)

    def is_ready(self) -> bool:
        """Whether the node answers its readiness check with 200."""
        with contextlib.suppress(OSError):
            request = b"GET /api/readiness HTTP/1.1\r\nHost: a\r\n\r\n"
            with socket.create_connection((HOST, self.ready), 1) as stream:
                stream.sendall(request)
                answer = read_answer(stream)
                return answer is not None and answer.status == 200
        return False


async def _end_tasks() -> None:
    """Ends what still runs on the loop of the stand-ins."""
    own = asyncio.current_task()
    tasks = [task for task in asyncio.all_tasks() if task is not own]
    for task in tasks:
        task.cancel()
    await asyncio.gather(*tasks, return_exceptions=True)


class Rig:
    """The deployment; a context manager that ends all it has started."""

    def __init__(
        self,
        record: Record,
        *,
        services: Mapping[str, int],
        config: Mapping[str, Any],
        node_count: int = 3,
        more_bounds: Mapping[str, float] | None = None,
        make_backend: Callable[["Rig", str, str], Backend] = Backend,
    ) -> None:
        self.record = record
        self.more_bounds = dict(more_bounds or {})
        self._services = services
        self._config = config
        self._make_backend = make_backend
        self._temporary = tempfile.TemporaryDirectory()
        self.folder = pathlib.Path(self._temporary.name)
        self.loop = asyncio.new_event_loop()
        self._thread = threading.Thread(target=self.loop.run_forever)
        self._stop = threading.Event()
        self._supervisor = threading.Thread(target=self._supervise)
        self.backends: dict[str, list[Backend]] = {}
        zones = ("zone-a", "zone-b", "zone-c")
        self.nodes = [
            Node(self, f"edge-{zones[n % 3]}-{n}", zones[n % 3])
            for n in range(node_count)
        ]

    def run(self, coroutine: Coroutine[Any, Any, T]) -> T:
        """Runs a coroutine on the loop of the stand-ins."""
        return asyncio.run_coroutine_threadsafe(coroutine, self.loop).result(20)

    def put(self, kind: str, name: str, spec: object) -> None:
        """Writes an object to the store, as the operator or a server would."""
        self.record.write(f"store: {kind}/{name} written")
        self.run(self.store.put(kind, name, spec))

    def __enter__(self) -> Self:
        self._thread.start()
        self.store = Store(free_port())
        self.run(self.store.listen())
        zones = ("zone-a", "zone-b", "zone-c")
        for service, count in self._services.items():
            for number in range(count):
                backend = self._make_backend(self, service, zones[number % 3])
                self.run(backend.listen())
                self.backends.setdefault(service, []).append(backend)
                self.run(
                    self.store.put(
                        "servers", backend.server_id, backend.entry()
                    )
                )
        self.run(self.store.put("config", "main", self._config))
        for node in self.nodes:
            node.start()
        self._supervisor.start()
        return self

    def __exit__(self, *_: object) -> None:
        self._stop.set()
        self._supervisor.join()
        for node in self.nodes:
            if node.process is not None and node.process.poll() is None:
                node.process.kill()
                node.process.wait()
        self.run(_end_tasks())
        self.loop.call_soon_threadsafe(self.loop.stop)
        self._thread.join()
        if os.environ.get("KEEP_LOGS"):
            for path in self.folder.glob("*.log"):
                pathlib.Path(os.environ["KEEP_LOGS"], path.name).write_bytes(
                    path.read_bytes()
                )
        self._temporary.cleanup()

    def _supervise(self) -> None:
        while not self._stop.wait(0.01):
            for node in self.nodes:
                node.supervise()

    def wait_ready(self, timeout_s: float = 20.0) -> bool:
        """Waits until all nodes are ready; False if they aren't in time."""
        ends_at_s = time.monotonic() + timeout_s
        while time.monotonic() < ends_at_s:
            if all(node.is_ready() for node in self.nodes):
                self.record.write("all nodes are ready")
                return True
            time.sleep(0.1)
        return False


def route(name: str, prefix: str, **fields: object) -> dict[str, Any]:
    """Returns a route of the operator's configuration."""
    return {
        "name": name,
        "hostname": "a.example",
        "path_prefix": prefix,
        "route_type": "idempotent",
        "timeout_ms": 8000,
        "target_latency_ms": 800,
        "priority": 1,
        "max_attempts": 2,
        **fields,
    }


def service(name: str, **fields: object) -> dict[str, Any]:
    """Returns a service of the operator's configuration."""
    return {
        "name": name,
        "health_path": "/health",
        "max_conns": 110,
        "protocol": "h1",
        "tls": False,
        "warmup_s": 3.0,
        "warmup_per_s": 0.0,
        **fields,
    }


def config(
    revision: int,
    routes: list[dict[str, Any]],
    services: list[dict[str, Any]],
) -> dict[str, Any]:
    """Returns an operator's configuration."""
    return {
        "revision": revision,
        "routes": routes,
        "services": services,
        "limits": {
            "max_header_bytes": 16384,
            "max_body_bytes": 262144,
            "header_timeout_ms": 3000,
            "idle_timeout_ms": 15000,
        },
    }


def run_case(folder: pathlib.Path, play: Callable[[Record], bool]) -> NoReturn:
    """Runs a case and exits with 0 (held), 1 (broken) or 2 (could not run).

    Args:
        folder: The folder of the case, for `record.txt`.
        play: Plays it; returns whether the rule held.
    """
    record = Record(folder / "record.txt")
    try:
        held = play(record)
    except Exception as error:
        record.write(f"the case could not run: {error!r}")
        print(f"could not run: {error!r}", file=sys.stderr)
        sys.exit(2)
    record.write("the rule held" if held else "the rule was broken")
    print("held" if held else "broken")
    sys.exit(0 if held else 1)
