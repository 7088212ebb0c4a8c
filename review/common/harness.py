"""Stand-ins and real nodes on loopback for the scripts of the review.

The store, the backend servers and the callers are small programs of one event
loop; the nodes are started as the deploy file says, each as a process. Only the
standard library is used.
"""

import asyncio
import contextlib
import itertools
import json
import os
import pathlib
import re
import signal
import socket
import subprocess
import sys
import tempfile
import time
import tomllib
from collections.abc import Awaitable, Callable, Iterable
from typing import Any, Final, NamedTuple, Self, TextIO

HOST: Final = "127.0.0.1"
ROOT: Final = pathlib.Path(__file__).resolve().parents[2]
HAS_TROUBLE: Final = os.environ.get("TROUBLE", "1") != "0"
HELD: Final = 0
BROKEN: Final = 1
COULD_NOT_RUN: Final = 2
START_TIMEOUT_S: Final = 15.0
PLAY_TIMEOUT_S: Final = 110.0
STOP_TIMEOUT_S: Final = 10.0
PAGE_COUNT: Final = 500
CALLER_HOST: Final = "a.example"

_used_ports: set[int] = set()


class CouldNotRunError(Exception):
    """The case could not be played, so nothing is known of the rule."""


def free_port() -> int:
    """Returns a free loopback port that was not returned before."""
    while True:
        with socket.socket() as probe:
            probe.bind((HOST, 0))
            port = int(probe.getsockname()[1])
        if port not in _used_ports:
            _used_ports.add(port)
            return port


class Record:
    """Writes what was sent, answered and run, one JSON object a line."""

    def __init__(self, path: pathlib.Path) -> None:
        self._file: TextIO = path.open("w", encoding="utf-8")
        self._started_at_s = time.monotonic()

    def __enter__(self) -> Self:
        return self

    def __exit__(self, *_: object) -> None:
        self._file.close()

    def write(self, what: str, **fields: object) -> None:
        """Writes one line."""
        at_s = round(time.monotonic() - self._started_at_s, 4)
        line = {"at_s": at_s, "what": what, **fields}
        self._file.write(json.dumps(line) + "\n")
        self._file.flush()


class Message(NamedTuple):
    """An HTTP request or reply; header names are in lower case."""

    start: str
    headers: dict[str, str]
    body: bytes

    @property
    def status(self) -> int:
        """The status of a reply."""
        return int(self.start.split(" ", 2)[1])

    @property
    def method(self) -> str:
        """The method of a request."""
        return self.start.split(" ", 1)[0]

    @property
    def target(self) -> str:
        """The path and query of a request."""
        return self.start.split(" ", 2)[1]


async def read_message(reader: asyncio.StreamReader) -> Message | None:
    """Reads a message with Content-Length; None at the end of the stream.

    Raises:
        asyncio.IncompleteReadError: The stream ended within the message.
    """
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except asyncio.IncompleteReadError as error:
        if not error.partial:
            return None
        raise
    lines = head.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        name, separator, value = line.partition(":")
        if separator:
            headers[name.lower()] = value.strip()
    body = await reader.readexactly(int(headers.get("content-length", 0)))
    return Message(lines[0], headers, body)


def encode_reply(
    status: int, headers: Iterable[tuple[str, str]] = (), body: bytes = b""
) -> bytes:
    """Returns an HTTP reply."""
    lines = [f"HTTP/1.1 {status} Status"]
    lines += [f"{name}: {value}" for name, value in headers]
    lines.append(f"Content-Length: {len(body)}")
    return "\r\n".join([*lines, "", ""]).encode("latin-1") + body


def encode_request(
    method: str,
    path: str,
    request_id: str,
    deadline_ms: int,
    headers: Iterable[tuple[str, str]] = (),
    body: bytes | None = None,
) -> bytes:
    """Returns a caller's request."""
    lines = [
        f"{method} {path} HTTP/1.1",
        f"Host: {CALLER_HOST}",
        f"X-Request-Id: {request_id}",
        f"X-Deadline-Ms: {deadline_ms}",
        *(f"{name}: {value}" for name, value in headers),
    ]
    if body is not None:
        lines.append(f"Content-Length: {len(body)}")
    head = "\r\n".join([*lines, "", ""]).encode("latin-1")
    return head + (body or b"")


class StoreCopy(NamedTuple):
    """The store's content at a moment."""

    revision: int
    objects: dict[str, dict[str, dict[str, Any]]]
    changes: list[tuple[int, str, dict[str, Any], bool]]


class Store:
    """The platform's store: objects, conditional writes and watches."""

    def __init__(self) -> None:
        self.port = free_port()
        self.writers: set[asyncio.StreamWriter] = set()
        self.era = 0
        self._server: asyncio.Server | None = None
        self._revision = 1
        self._objects: dict[str, dict[str, dict[str, Any]]] = {}
        self._changes: list[tuple[int, str, dict[str, Any], bool]] = []
        self._changed = asyncio.Event()

    async def listen(self) -> None:
        """Starts to serve."""
        self._server = await asyncio.start_server(self._serve, HOST, self.port)

    def go_away(self) -> None:
        """Ends all connections and refuses new ones until `listen`."""
        if self._server is not None:
            self._server.close()
        for writer in self.writers:
            writer.transport.abort()
        self.writers.clear()

    def take_copy(self) -> StoreCopy:
        """Returns a copy, from which the store can come back later."""
        objects = {kind: {**named} for kind, named in self._objects.items()}
        return StoreCopy(self._revision, objects, [*self._changes])

    def come_back_from(self, copy: StoreCopy) -> None:
        """Loses what was written since a copy, and begins a new era."""
        self._revision = copy.revision
        self._objects = {
            kind: {**named} for kind, named in copy.objects.items()
        }
        self._changes = [*copy.changes]
        self.era += 1

    @property
    def revision(self) -> int:
        """The revision of the last change."""
        return self._revision

    def put(self, kind: str, name: str, spec: object) -> dict[str, Any]:
        """Writes an object."""
        self._revision += 1
        meta = {
            "name": name,
            "rev": self._revision,
            "create_revision": self._revision,
            "finalizers": [],
            "deleting": False,
        }
        value = {"meta": meta, "spec": spec, "status": None}
        self._objects.setdefault(kind, {})[name] = value
        self._add_change(kind, value, is_deleted=False)
        return value

    def remove(self, kind: str, name: str) -> None:
        """Removes an object."""
        value = self._objects[kind].pop(name)
        self._revision += 1
        meta = {**value["meta"], "rev": self._revision}
        self._add_change(kind, {**value, "meta": meta}, is_deleted=True)

    def _add_change(
        self, kind: str, value: dict[str, Any], *, is_deleted: bool
    ) -> None:
        self._changes.append((self._revision, kind, value, is_deleted))
        self._changed.set()
        self._changed = asyncio.Event()

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self.writers.add(writer)
        with contextlib.suppress(OSError, asyncio.IncompleteReadError):
            while (request := await read_message(reader)) is not None:
                status, document = await self._answer(request)
                headers = (
                    ("Content-Type", "application/json"),
                    ("Store-Era", str(self.era)),
                )
                body = json.dumps(document).encode()
                writer.write(encode_reply(status, headers, body))
                await writer.drain()
        self.writers.discard(writer)
        writer.close()

    async def _answer(self, request: Message) -> tuple[int, object]:
        path, _, query_text = request.target.partition("?")
        kind, _, name = path.removeprefix("/api/objects/").partition("/")
        query = dict(
            part.split("=", 1) for part in query_text.split("&") if part
        )
        objects = self._objects.get(kind, {})
        if request.method == "GET" and "watch" in query:
            return await self._watch(kind, query)
        if request.method == "GET":
            return self._list(objects, query.get("after", ""))
        current = objects.get(name)
        if request.method == "POST":
            document = json.loads(request.body)
            name = document["meta"]["name"]
            if name in objects:
                return 409, objects[name]
            return 200, self.put(kind, name, document["spec"])
        if current is None:
            return 404, {}
        if request.method == "PUT":
            document = json.loads(request.body)
            rev = document["meta"].get("rev", current["meta"]["rev"])
            if rev != current["meta"]["rev"]:
                return 409, current
            return 200, self.put(kind, name, document["spec"])
        if (
            int(query.get("rev", current["meta"]["rev"]))
            != (current["meta"]["rev"])
        ):
            return 409, current
        self.remove(kind, name)
        return 200, current

    def _list(
        self, objects: dict[str, dict[str, Any]], after: str
    ) -> tuple[int, object]:
        names = [name for name in sorted(objects) if name > after]
        return 200, {
            "items": [objects[name] for name in names[:PAGE_COUNT]],
            "has_more": len(names) > PAGE_COUNT,
            "as_of": self._revision,
        }

    async def _watch(
        self, kind: str, query: dict[str, str]
    ) -> tuple[int, object]:
        since = int(query["watch"])
        ends_at_s = time.monotonic() + int(query["wait_ms"]) / 1000
        while True:
            if since > self._revision:
                return 410, {}
            events = [
                {"object": value, "deleted": is_deleted}
                for revision, changed_kind, value, is_deleted in self._changes
                if changed_kind == kind and revision > since
            ]
            left_s = ends_at_s - time.monotonic()
            if events or left_s <= 0:
                return 200, {"events": events, "as_of": self._revision}
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(left_s):
                    await self._changed.wait()


class Exchange(NamedTuple):
    """A request that a backend server runs, and where its reply goes."""

    backend: "Backend"
    request: Message
    request_id: str
    writer: asyncio.StreamWriter


ReplyMaker = Callable[[Exchange], Awaitable[bytes]]


class Backend:
    """A backend server.

    Attributes:
        run: Returns the bytes of the reply to a request, after its work.
    """

    _numbers = itertools.count(1)

    def __init__(
        self, service: str, zone: str, record: Record, run: ReplyMaker
    ) -> None:
        self.number = next(self._numbers)
        self.server_id = f"i-{self.number:08x}"
        self.service = service
        self.zone = zone
        self.port = free_port()
        self.writers: set[asyncio.StreamWriter] = set()
        self.run = run
        self.crashed_at_s: list[float] = []
        self.born_ms = 1_700_000_000_000 + self.number
        self._server: asyncio.Server | None = None
        self._record = record
        self._stamps = itertools.count(1)

    async def listen(self) -> None:
        """Starts to serve."""
        self._server = await asyncio.start_server(self._serve, HOST, self.port)

    async def crash(self, away_s: float, store: Store) -> None:
        """Ends all connections and refuses new ones for a while.

        It starts again under its identifier and registers.
        """
        if self._server is None:
            return
        self.crashed_at_s.append(time.monotonic())
        self._record.write("crash", server=self.server_id)
        self._server.close()
        self._server = None
        for writer in self.writers:
            writer.transport.abort()
        self.writers.clear()
        await asyncio.sleep(away_s)
        await self.listen()
        self.born_ms += int(1000 * away_s)
        store.put("servers", self.server_id, self.entry())

    def entry(self, **changes: object) -> dict[str, object]:
        """Returns its entry in the store; `changes` override fields."""
        return {
            "service": self.service,
            "address": f"{HOST}:{self.port}",
            "zone": self.zone,
            "revision": "v1",
            "concurrency": 6,
            "state": "ready",
            "warmup_left_ms": 0,
            "sequence": 1,
            "born": self.born_ms,
            **changes,
        }

    def headers(self, request_id: str) -> list[tuple[str, str]]:
        """Returns the headers of a reply to a request that has run."""
        stamp = f"{self.number:04x}.{next(self._stamps):04x}.{request_id}"
        return [
            ("X-Server-Stamp", stamp),
            ("X-Request-Id", request_id),
            ("Keep-Alive", "timeout=10"),
        ]

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self.writers.add(writer)
        with contextlib.suppress(OSError, asyncio.IncompleteReadError):
            while (request := await read_message(reader)) is not None:
                writer.write(await self._handle(request, writer))
                await writer.drain()
        self.writers.discard(writer)
        writer.close()

    async def _handle(
        self, request: Message, writer: asyncio.StreamWriter
    ) -> bytes:
        if request.target == "/health":
            return encode_reply(200, [("X-Instance-Id", self.server_id)])
        request_id = request.headers.get("x-request-id", "")
        expected = request.headers.get("x-expect-instance", self.server_id)
        if expected != self.server_id:
            return encode_reply(421, [("X-Request-Id", request_id)])
        self._record.write(
            "run",
            server=self.server_id,
            service=self.service,
            request_id=request_id,
            request=request.start,
            body_bytes=len(request.body),
        )
        return await self.run(Exchange(self, request, request_id, writer))


class Node:
    """A node's process and its settings."""

    def __init__(
        self, name: str, zone: str, store_port: int, folder: pathlib.Path
    ) -> None:
        self.name = name
        self.callers_port = free_port()
        self.ready_port = free_port()
        self._folder = folder
        self._process: subprocess.Popen[bytes] | None = None
        with (ROOT / "deploy/system.toml").open("rb") as file:
            self._role = tomllib.load(file)["roles"]["node"]
        self._fields = {
            "node_name": name,
            "zone": zone,
            "ip": HOST,
            "internal_ports": [free_port()],
            "listen": {
                "front": f"{HOST}:{self.callers_port}",
                "ready": f"{HOST}:{self.ready_port}",
                "directory": f"{HOST}:{free_port()}",
            },
            "limits": {
                "cpu_share": 0.537,
                "cores": 2,
                "memory_mb": 160,
                "max_fds": 4100,
            },
            "bounds": {
                "grace_s": 6,
                "ttl_max_s": 5,
                "cold_over": 1.5,
                "drain_ms": 3000,
                "retry_ratio": 0.2,
                "retry_window_s": 10,
                "retry_slack": 56,
            },
            "platform": {"address": f"{HOST}:{store_port}"},
        }

    def start(self) -> None:
        """Starts the process with the command of the deploy file."""
        settings = self._folder / f"{self.name}.toml"
        template = (ROOT / self._role["template"]).read_text(encoding="utf-8")
        text = render(template, self._fields)
        # Nodes share one address here, so each has its own metrics port.
        text = text.replace(
            "[listen]\n", f"[listen]\nmetrics_port = {free_port()}\n"
        )
        settings.write_text(text, encoding="utf-8")
        names = ("PATH", "HOME", "LANG")
        environment = {
            name: os.environ[name] for name in names if name in os.environ
        }
        environment["MULBERRYBAY_SETTINGS"] = str(settings)
        environment["PYTHONPATH"] = str(ROOT / "target/deps")
        environment["PYTHONDONTWRITEBYTECODE"] = "1"
        with (self._folder / f"{self.name}.log").open("ab") as log:
            self._process = subprocess.Popen(
                self._role["run"].split(" "),
                cwd=ROOT,
                env=environment,
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=log,
            )

    def log_lines(self) -> list[str]:
        """Returns what the process has written."""
        path = self._folder / f"{self.name}.log"
        return path.read_text(encoding="utf-8", errors="replace").splitlines()

    @property
    def exit_code(self) -> int | None:
        """The exit code; None while the process runs."""
        return None if self._process is None else self._process.poll()

    def send_signal(self, number: signal.Signals) -> None:
        """Sends a signal to the process."""
        if self._process is not None and self._process.poll() is None:
            self._process.send_signal(number)

    def end(self) -> None:
        """Ends the process, whatever it does."""
        if self._process is not None:
            self.send_signal(signal.SIGCONT)
            self.send_signal(signal.SIGKILL)
            self._process.wait(STOP_TIMEOUT_S)

    async def wait_until_ready(self) -> None:
        """Waits until the readiness check succeeds.

        Raises:
            CouldNotRunError: The node has ended or isn't ready in time.
        """
        ends_at_s = time.monotonic() + START_TIMEOUT_S
        while time.monotonic() < ends_at_s:
            if self.exit_code is not None:
                raise CouldNotRunError("\n".join(self.log_lines()[-5:]))
            with contextlib.suppress(OSError, asyncio.IncompleteReadError):
                if await self._is_ready():
                    return
            await asyncio.sleep(0.1)
        raise CouldNotRunError(f"{self.name} isn't ready")

    async def _is_ready(self) -> bool:
        reader, writer = await asyncio.open_connection(HOST, self.ready_port)
        request = "GET /api/readiness HTTP/1.1\r\nHost: ready\r\n\r\n"
        writer.write(request.encode())
        reply = await read_message(reader)
        writer.close()
        return reply is not None and reply.status == 200


def render(template: str, fields: dict[str, Any]) -> str:
    """Fills in a settings template as the platform does.

    Only what the project's template uses: values, JSON values, and sections of
    values that are present.
    """

    def find(name: str) -> Any:  # noqa: ANN401
        value: Any = fields
        for part in name.split("."):
            value = value[int(part)] if isinstance(value, list) else value[part]
        return value

    text = re.sub(r"\{\{[#/][^}]*\}\}", "", template)

    def fill(match: re.Match[str]) -> str:
        name, _, form = match[1].partition("|")
        value = find(name)
        return json.dumps(value) if form == "json" else str(value)

    return re.sub(r"\{\{([^}]*)\}\}", fill, text)


def route(name: str, prefix: str, **fields: object) -> dict[str, object]:
    """Returns a route of the operator's config; `fields` override fields."""
    return {
        "name": name,
        "hostname": CALLER_HOST,
        "path_prefix": prefix,
        "route_type": "idempotent",
        "timeout_ms": 8000,
        "target_latency_ms": 800,
        "priority": 1,
        "max_attempts": 2,
        **fields,
    }


def config(
    services: Iterable[str], routes: list[dict[str, object]], revision: int = 1
) -> dict[str, object]:
    """Returns an operator's config."""
    return {
        "revision": revision,
        "routes": routes,
        "services": [
            {
                "name": name,
                "health_path": "/health",
                "max_conns": 110,
                "warmup_s": 3.0,
                "warmup_per_s": 0.0,
            }
            for name in services
        ],
        "limits": {
            "max_header_bytes": 16384,
            "max_body_bytes": 262144,
            "header_timeout_ms": 3000,
            "idle_timeout_ms": 15000,
        },
    }


class Deployment:
    """A store, backend servers and nodes; an asynchronous context manager."""

    def __init__(self, record: Record) -> None:
        self.record = record
        self.store = Store()
        self.backends: list[Backend] = []
        self.nodes: list[Node] = []
        self._exit_stack = contextlib.ExitStack()
        self._folder = pathlib.Path(
            self._exit_stack.enter_context(
                tempfile.TemporaryDirectory(prefix="mulberrybay-review-")
            )
        )

    async def __aenter__(self) -> Self:
        await self.store.listen()
        return self

    async def __aexit__(self, *_: object) -> None:
        for node in self.nodes:
            node.end()
        for server in (self.store, *self.backends):
            for writer in server.writers:
                writer.transport.abort()
        await asyncio.sleep(0.1)
        self._exit_stack.close()

    async def add_backend(
        self, service: str, zone: str, run: ReplyMaker
    ) -> Backend:
        """Starts a backend server and registers it."""
        backend = Backend(service, zone, self.record, run)
        await backend.listen()
        self.backends.append(backend)
        self.store.put("servers", backend.server_id, backend.entry())
        return backend

    async def start_nodes(self, zones: Iterable[str]) -> list[Node]:
        """Starts a node in each zone and waits until all are ready."""
        for number, zone in enumerate(zones, 1):
            node = Node(
                f"edge-{zone}-{number}", zone, self.store.port, self._folder
            )
            self.nodes.append(node)
            node.start()
        for node in self.nodes:
            await node.wait_until_ready()
        # Until the nodes have heard of each other.
        await asyncio.sleep(2.0)
        return self.nodes


class Answer(NamedTuple):
    """What a caller got: a message, or why there was none."""

    message: Message | None
    ending: str = ""

    def describe(self) -> str:
        """Returns the status, or how the connection ended."""
        if self.message is None:
            return self.ending
        return str(self.message.status)


class Caller:
    """A caller with one connection to a node, which it keeps if it can."""

    def __init__(self, port: int) -> None:
        self._port = port
        self._streams: (
            tuple[asyncio.StreamReader, asyncio.StreamWriter] | None
        ) = None

    @property
    def has_unread_bytes(self) -> bool:
        """Whether bytes have come that belong to no request sent so far."""
        if self._streams is None:
            return False
        # A StreamReader shows its buffer by no other name.
        return bool(self._streams[0]._buffer)  # type: ignore[attr-defined]

    async def send(self, data: bytes, timeout_s: float) -> Answer:
        """Sends a request and returns the answer to it."""
        if self._streams is None:
            self._streams = await asyncio.open_connection(HOST, self._port)
        reader, writer = self._streams
        try:
            async with asyncio.timeout(timeout_s):
                writer.write(data)
                await writer.drain()
                message = await read_message(reader)
        except TimeoutError:
            self.close()
            return Answer(None, "no answer")
        except (OSError, asyncio.IncompleteReadError) as error:
            self.close()
            return Answer(None, f"connection ended: {type(error).__name__}")
        if message is None:
            self.close()
            return Answer(None, "connection closed")
        if message.headers.get("connection", "").lower() == "close":
            self.close()
        return Answer(message)

    def close(self) -> None:
        """Closes the connection."""
        if self._streams is not None:
            self._streams[1].close()
            self._streams = None


Case = Callable[[Deployment], Awaitable[int]]


def run_case(case: Case, folder: pathlib.Path) -> int:
    """Plays a case; returns the exit code of its script."""

    async def play(record: Record) -> int:
        async with asyncio.timeout(PLAY_TIMEOUT_S):
            async with Deployment(record) as deployment:
                return await case(deployment)

    with Record(folder / "record.txt") as record:
        record.write("start", trouble=HAS_TROUBLE)
        try:
            code = asyncio.run(play(record))
        except (CouldNotRunError, OSError, ExceptionGroup) as error:
            record.write("could not run", cause=str(error))
            print(f"could not run: {error}", file=sys.stderr)
            return COULD_NOT_RUN
        verdict = "the rule was broken" if code == BROKEN else "the rule held"
        record.write("end", verdict=verdict, exit_code=code)
        print(verdict)
        return code
