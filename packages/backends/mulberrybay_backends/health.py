"""Health checks of backend servers, on one persistent connection to each."""

import json
from collections.abc import Callable, Collection
from typing import Final, Self

import httptools

from mulberrybay_core.decode_errors import DECODE_ERRORS
from mulberrybay_core.fleet import BackendServer
from mulberrybay_runtime.clock import read_clock_s
from mulberrybay_runtime.http_exchange import (
    HttpReply,
    ReplyParser,
    ReplyTooLargeError,
    encode_request,
)
from mulberrybay_runtime.streams import Stream, Streams

HEALTH_REPLY_TIMEOUT_S: Final = 1.0

# Receives whether the server is leaving.
HealthHandler = Callable[[bool], None]


class _HealthConnection:
    """A connection with at most one health check in progress."""

    def __init__(self, server: BackendServer) -> None:
        self.server = server
        self.stream: Stream | None = None
        self.check_sent_at_s = read_clock_s()
        self.reply: HealthHandler | None = None
        self._parser = ReplyParser()

    def send_check(self, reply: HealthHandler) -> None:
        """Sends a health check now, or as soon as the connection opens."""
        self.reply = reply
        self.check_sent_at_s = read_clock_s()
        if self.stream is not None and not self.stream.is_connecting:
            self.on_connected(self.stream)

    def on_connected(self, stream: Stream) -> None:
        """Sends the health check."""
        stream.send(encode_request("GET", "/v1/health", self.server.address))

    def on_data(self, stream: Stream, data: bytes) -> None:
        """Parses received bytes and handles complete replies."""
        try:
            replies = self._parser.feed(data)
        except (httptools.HttpParserError, ReplyTooLargeError):
            self.close()
            return
        for http_reply in replies:
            reply, self.reply = self.reply, None
            is_leaving = parse_is_leaving(http_reply)
            if reply is not None and is_leaving is not None:
                reply(is_leaving)

    def on_closed(self, stream: Stream, reason: str) -> None:
        """Handles the end of the connection."""
        del stream, reason
        self.stream = None

    def close(self) -> None:
        """Closes the connection."""
        if self.stream is not None:
            self.stream.close()
            self.stream = None


def parse_is_leaving(reply: HttpReply) -> bool | None:
    """Returns whether the server is leaving; None if the reply is invalid."""
    try:
        status = json.loads(reply.body)["status"]
        return {"live": False, "leaving": True}.get(status)
    except DECODE_ERRORS:
        return None


class HealthConnections:
    """Health check connections to all backend servers that a node holds."""

    def __init__(self, streams: Streams) -> None:
        self._streams = streams
        self._connections: dict[str, _HealthConnection] = {}

    def __enter__(self) -> Self:
        return self

    def __exit__(self, *_: object) -> None:
        self.close_all_except(())

    def check(self, server: BackendServer, reply: HealthHandler) -> None:
        """Checks a server; the handler is called only on a valid reply.

        Does nothing while the previous check may still be answered.
        """
        connection = self._connections.get(server.server_id)
        if connection is not None and connection.reply is not None:
            age_s = read_clock_s() - connection.check_sent_at_s
            if connection.stream is not None and age_s < HEALTH_REPLY_TIMEOUT_S:
                return
            connection.close()
        if connection is None or connection.stream is None:
            connection = _HealthConnection(server)
            self._connections[server.server_id] = connection
            connection.send_check(reply)
            connection.stream = self._streams.dial(server.address, connection)
            return
        connection.send_check(reply)

    def close_all_except(self, server_ids: Collection[str]) -> None:
        """Closes the connections to servers whose ids are not given."""
        for server_id in list(self._connections):
            if server_id not in server_ids:
                self._connections.pop(server_id).close()
