"""A TCP proxy that injects faults between two processes."""

from __future__ import annotations

import argparse
import asyncio
import json
from collections.abc import Sequence
from pathlib import Path
from typing import NamedTuple, TypedDict, cast

from mulberrybay_testing.control_document import parse_control
from mulberrybay_testing.control_server import HOST, serve_control
from mulberrybay_testing.event_log import EventLog
from mulberrybay_testing.proxy_link import Link, ProxyFaults, ProxySettings


class ProxySpec(NamedTuple):
    """A forwarded port and its target."""

    name: str
    listen_port: int
    target_host: str
    target_port: int


class ProxyControl(TypedDict, total=False):
    """A control document: the selected proxies and their new settings."""

    names: list[str]
    all: bool
    set: ProxySettings


class ProxyProcessSettings(NamedTuple):
    """Settings of the process that hosts the proxies."""

    specs: tuple[ProxySpec, ...]
    control_port: int
    log: Path


class Proxy:
    """Forwards the connections to one port."""

    def __init__(self, spec: ProxySpec) -> None:
        self.spec = spec
        self._faults = ProxyFaults()
        self._links: set[Link] = set()
        self._accepted_count = 0
        self._server: asyncio.Server | None = None

    async def __aenter__(self) -> Proxy:
        """Starts to listen."""
        await self._listen()
        return self

    async def __aexit__(self, *_: object) -> None:
        """Stops listening and closes the connections."""
        self._stop_listening()
        self._drop_links()

    async def apply(self, settings: ProxySettings) -> None:
        """Applies the settings of a control document."""
        self._faults.apply(settings)
        if "silent" in settings:
            for link in self._links:
                link.silent = bool(settings["silent"])
        if settings.get("drop_existing"):
            self._drop_links()
        if self._faults.cut or self._faults.target_down:
            self._stop_listening()
            self._drop_links()
        else:
            await self._listen()

    def counters(self) -> dict[str, int]:
        """Returns the numbers of open and of accepted connections."""
        return {"open": len(self._links), "accepted": self._accepted_count}

    async def _listen(self) -> None:
        if self._server is None:
            self._server = await asyncio.start_server(
                self._serve, HOST, self.spec.listen_port, backlog=1024
            )

    def _stop_listening(self) -> None:
        if self._server is not None:
            self._server.close()
            self._server = None

    def _drop_links(self) -> None:
        for link in list(self._links):
            link.abort()

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self._accepted_count += 1
        link = Link(self._faults)
        self._links.add(link)
        try:
            target = await asyncio.open_connection(
                self.spec.target_host, self.spec.target_port
            )
            if self._faults.cut:
                target[1].transport.abort()
            else:
                await link.run((reader, writer), target)
        except OSError:
            pass
        finally:
            self._links.discard(link)
            writer.transport.abort()


class ProxyProcess:
    """Hosts proxies that control documents change."""

    def __init__(self, settings: ProxyProcessSettings, log: EventLog) -> None:
        self._log = log
        self._proxies = [Proxy(spec) for spec in settings.specs]

    def components(self) -> list[Proxy]:
        """Returns the proxies."""
        return self._proxies

    def counters(self) -> dict[str, object]:
        """Returns the counters of each proxy, by name."""
        return {item.spec.name: item.counters() for item in self._proxies}

    async def apply_control(self, body: bytes) -> dict[str, object]:
        """Applies the settings to the proxies that the document selects."""
        document = parse_control(
            body, ProxyControl.__annotations__, ProxySettings.__annotations__
        )
        control = cast(ProxyControl, document)
        names = control.get("names", [])
        for proxy in self._proxies:
            if control.get("all") or proxy.spec.name in names:
                await proxy.apply(control["set"])
                self._log_settings(proxy, control["set"])
        return {}

    def _log_settings(self, proxy: Proxy, settings: ProxySettings) -> None:
        name = proxy.spec.name
        self._log.write("control", {"name": name, "settings": dict(settings)})


def _parse_arguments(arguments: Sequence[str] | None) -> ProxyProcessSettings:
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--spec", type=Path)
    parser.add_argument("--listen", type=int)
    parser.add_argument("--target", help="HOST:PORT")
    parser.add_argument("--control-port", type=int, required=True)
    parser.add_argument("--log", type=Path, required=True)
    parsed = parser.parse_args(arguments)
    if parsed.spec is not None:
        documents = json.loads(parsed.spec.read_text(encoding="utf-8"))
        specs = tuple(ProxySpec(**document) for document in documents)
    elif parsed.listen is not None and parsed.target is not None:
        host, _, port = parsed.target.rpartition(":")
        specs = (ProxySpec("proxy", parsed.listen, host, int(port)),)
    else:
        parser.error("--spec or both of --listen and --target are needed")
    return ProxyProcessSettings(specs, parsed.control_port, parsed.log)


def main(arguments: Sequence[str] | None = None) -> None:
    """Runs the proxies until SIGTERM."""
    settings = _parse_arguments(arguments)
    log = EventLog(settings.log)
    serve_control(ProxyProcess(settings, log), log, settings.control_port)


if __name__ == "__main__":
    main()
